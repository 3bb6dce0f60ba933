package wingroad.work;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What is settled of the work on machines: what was asked for, how far each machine has come, who
 * has confirmed what. Part of the state that follows from the agreed log: it reads no clock, draws
 * nothing and iterates in order of names, and it refuses each step that breaks a limit, whoever
 * proposes it.
 */
public class MaintenancePlan {
    private static final int MOST_ASKS = 4096;
    private static final int MOST_ASTRAY = 1024;
    private static final String MANY = "many";
    private static final int HISTORY = 4096;
    private static final int MOST_GONE = 1024;
    private static final int LONGEST_TEXT = 200;

    /** What a word or step is called that concerns all. */
    public static final String ALL_MACHINES = "*";

    /** One machine that is asked for. */
    public static final class Entry {
        final String machine;
        final String requestId;
        final String reason;
        final long durationMs;
        final long deadlineMs;
        final List<String> afterMachines;
        final long requestedAtMs;
        final long requestNumber;
        MaintenanceStage stage = MaintenanceStage.ASKED;

        /** The plan's revision when it was planned, and when its stage changed last. */
        long announcedRevision;

        long stageRevision;

        /** Wall clock of the last change, and of when it was out, for people. */
        long changedAtMs;

        long outSinceMs;
        boolean held;

        /**
         * Derived: each driver knows that it is planned; each has nothing there; nobody believes in
         * a primary there.
         */
        boolean confirmedByAll;

        boolean drained;
        boolean noPrimaryReported;

        /** The conductor's word on what it waits for. */
        String note = "";

        long lastChange;

        Entry(
                String machine,
                String ask,
                String why,
                long forMs,
                long before,
                List<String> after,
                long askedAt,
                long number) {
            this.machine = machine;
            this.requestId = ask;
            this.reason = why;
            this.durationMs = forMs;
            this.deadlineMs = before;
            this.afterMachines = List.copyOf(after);
            this.requestedAtMs = askedAt;
            this.requestNumber = number;
        }

        public String machine() {
            return machine;
        }

        public MaintenanceStage stage() {
            return stage;
        }

        public String note() {
            return note;
        }

        /** For people. */
        public Map<String, Object> statusFields(String waits) {
            Map<String, Object> m = new TreeMap<>();
            m.put("machine", machine);
            m.put("stage", stage.name().toLowerCase(java.util.Locale.ROOT));
            m.put("why", reason);
            m.put("for-ms", durationMs);
            m.put("before", deadlineMs);
            m.put("after", afterMachines);
            m.put("asked", requestedAtMs);
            m.put("since", changedAtMs);
            m.put("out-since", outSinceMs);
            m.put("held", held);
            m.put("waits", waits);
            return m;
        }

        /** As plain values, for drivers and snapshots. */
        public List<Object> toValues() {
            return List.of(
                    machine,
                    requestId,
                    reason,
                    durationMs,
                    deadlineMs,
                    afterMachines,
                    requestedAtMs,
                    requestNumber,
                    stage.name(),
                    announcedRevision,
                    stageRevision,
                    changedAtMs,
                    outSinceMs,
                    held,
                    confirmedByAll,
                    drained,
                    noPrimaryReported,
                    note,
                    lastChange);
        }

        /** Reads what {@link #values} has written. */
        public static Entry fromValues(List<?> v) {
            List<String> after = new ArrayList<>();
            ((List<?>) v.get(5)).forEach(a -> after.add((String) a));
            Entry e =
                    new Entry(
                            (String) v.get(0),
                            (String) v.get(1),
                            (String) v.get(2),
                            number(v.get(3)),
                            number(v.get(4)),
                            after,
                            number(v.get(6)),
                            number(v.get(7)));
            e.stage = MaintenanceStage.valueOf((String) v.get(8));
            e.announcedRevision = number(v.get(9));
            e.stageRevision = number(v.get(10));
            e.changedAtMs = number(v.get(11));
            e.outSinceMs = number(v.get(12));
            e.held = (Boolean) v.get(13);
            e.confirmedByAll = (Boolean) v.get(14);
            e.drained = (Boolean) v.get(15);
            e.noPrimaryReported = (Boolean) v.get(16);
            e.note = (String) v.get(17);
            e.lastChange = number(v.get(18));
            return e;
        }
    }

    /** A driver without a session whose process may still run. */
    public static final class LostDriver {
        final String identity;
        final String name;
        final long planRevision;
        final long lossNumber;

        /**
         * It has said that it ends: its process does, within the time that such an end takes at the
         * most.
         */
        final boolean exiting;

        /** 0: lately lost; 1: what it knew to be announced has nothing of it any more. */
        int stoppedLevel;

        LostDriver(String identity, String name, long knows, long number, boolean ends) {
            this.identity = identity;
            this.name = name;
            this.planRevision = knows;
            this.lossNumber = number;
            this.exiting = ends;
        }

        public boolean exiting() {
            return exiting;
        }

        public String identity() {
            return identity;
        }

        /** By which people tell it from another one of the name. */
        public String displayName() {
            return name + "/" + identity;
        }

        public String name() {
            return name;
        }

        public long lossNumber() {
            return lossNumber;
        }

        public int stoppedLevel() {
            return stoppedLevel;
        }
    }

    private static final class Live {
        final String identity;
        final String name;
        DriverReport report = DriverReport.NONE;

        Live(String identity, String name) {
            this.identity = identity;
            this.name = name;
        }
    }

    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final TreeMap<String, Entry> entries = new TreeMap<>();

    /**
     * The same by their last changes: what is new is asked for by each driver, after each change.
     */
    private final TreeMap<Long, Entry> byChange = new TreeMap<>();

    private final TreeMap<String, Live> live = new TreeMap<>();
    private final TreeMap<String, LostDriver> lostDrivers = new TreeMap<>();

    /** Machines that were taken off the plan, with the change's number, oldest first. */
    private final ArrayDeque<Object[]> gone = new ArrayDeque<>();

    private final ArrayDeque<String> history = new ArrayDeque<>();
    private List<String> lines = List.of();
    private long linesChanged;
    private int atOnce = 1;
    private MaintenanceSettings.LostViewPolicy lostViewPolicy =
            MaintenanceSettings.LostViewPolicy.STEADY;
    private boolean held;
    private long revision;
    private long changeNumber;
    private long asks;
    private long losses;

    public Collection<Entry> entries() {
        return entries.values();
    }

    public Entry entry(String machine) {
        return entries.get(machine);
    }

    public Collection<LostDriver> lostDrivers() {
        return lostDrivers.values();
    }

    public Map<String, Machine> machines() {
        return machines;
    }

    public MaintenanceSettings.LostViewPolicy lostViewPolicy() {
        return lostViewPolicy;
    }

    public boolean held() {
        return held;
    }

    /** Counts what drivers have to know of. */
    public long revision() {
        return revision;
    }

    /** Counts what anybody is to be told of. */
    public long changeNumber() {
        return changeNumber;
    }

    public Collection<String> history() {
        return history;
    }

    // ---- who is there ----

    /**
     * A driver has a session from now on; where it had another one, that one's process has ended or
     * is the same.
     */
    public void sessionOpened(String session, String identity, String name) {
        lostDrivers.remove(identity);
        live.put(session, new Live(identity, name));
        derive();
    }

    /**
     * A session has ended, by itself where {@code ends}: its process may run on, and is waited for.
     */
    public void sessionEnded(String session, boolean ends) {
        Live l = live.remove(session);
        if (l != null) {
            // More than there can be drivers: one stands for the rest, and nothing goes out until
            // somebody has looked.
            boolean room = lostDrivers.size() < MOST_ASTRAY || lostDrivers.containsKey(l.identity);
            String identity = room ? l.identity : MANY;
            lostDrivers.put(
                    identity,
                    new LostDriver(
                            identity,
                            room ? l.name : MANY,
                            room ? l.report.planRevision() : 0,
                            ++losses,
                            room && ends));
        }
        derive();
    }

    /**
     * By the voters' clocks: level 1, nothing of it is left at what it knew to be announced; level
     * 2, nothing at all.
     */
    public String driverStopped(String identity, long number, long level) {
        LostDriver a = lostDrivers.get(identity);
        if (a == null || a.lossNumber != number) {
            return "not lost, or lost anew";
        }
        if (level >= 2) {
            lostDrivers.remove(identity);
        } else {
            a.stoppedLevel = 1;
        }
        derive();
        return "";
    }

    /** Drivers' reports, a line each; those without a session count for nothing. */
    public String applyReports(List<String> all) {
        for (String line : all) {
            Live l = live.get(DriverReport.sessionOf(line));
            if (l != null) {
                l.report = DriverReport.of(line);
            }
        }
        derive();
        return "";
    }

    // ---- what is asked ----

    /**
     * The machines that there are, and the limits, by the conductor's file; what is away stays as
     * it was.
     */
    public String applyInventory(List<String> all) {
        if (all.equals(lines)) {
            return "";
        }
        String[] limits = all.get(0).split(" ");
        TreeMap<String, Machine> next = new TreeMap<>();
        all.stream().skip(1).map(Machine::of).forEach(m -> next.put(m.name(), m));
        for (Entry e : entries.values()) {
            if (e.stage.announced() && !machines.get(e.machine).equals(next.get(e.machine))) {
                return e.machine
                        + " is on its way, and the file has changed it: not before it is in";
            }
        }
        entries.values()
                .removeIf(
                        e -> {
                            boolean over = !next.containsKey(e.machine);
                            if (over) {
                                remove(e);
                            }
                            return over;
                        });
        atOnce = Integer.parseInt(limits[0]);
        lostViewPolicy = MaintenanceSettings.LostViewPolicy.valueOf(limits[1]);
        machines.clear();
        machines.putAll(next);
        lines = List.copyOf(all);
        revision++;
        linesChanged = ++changeNumber;
        derive();
        return "";
    }

    /** Somebody wants a machine; empty, or why it can never be had. */
    public String addRequest(
            String machine,
            String ask,
            String why,
            long forMs,
            long before,
            List<String> after,
            long wall) {
        Machine m = machines.get(machine);
        if (m == null) {
            return machines.isEmpty()
                    ? "no machines are settled yet: is there a conductor?"
                    : "there is no machine '" + machine + "'";
        }
        Entry old = entries.get(machine);
        if (old != null) {
            return old.requestId.equals(ask)
                    ? ""
                    : "'"
                            + machine
                            + "' is "
                            + old.stage.name().toLowerCase(java.util.Locale.ROOT)
                            + " already: "
                            + old.reason;
        }
        if (entries.size() >= MOST_ASKS) {
            return "more than " + MOST_ASKS + " machines are asked for";
        }
        if (before > 0 && before <= wall) {
            return "the time before which it is wanted has passed";
        }
        for (int g : m.groups()) {
            if (m.members().stream().filter(p -> p.group() == g).count() > 1) {
                return "it holds more than one member of group "
                        + g
                        + ": no two of a group are away together";
            }
            if (machines.values().stream()
                    .noneMatch(o -> !o.name().equals(machine) && o.groups().contains(g))) {
                return "it holds the only member of group " + g;
            }
        }
        for (String a : after) {
            if (!machines.containsKey(a)) {
                return "there is no machine '" + a + "' to come after";
            }
            if (a.equals(machine) || comesAfter(a, machine, new HashSet<>())) {
                return "'" + a + "' comes after '" + machine + "' itself";
            }
        }
        Entry e = new Entry(machine, ask, text(why), forMs, before, after, wall, ++asks);
        entries.put(machine, e);
        moved(e, wall, "asked: " + e.reason);
        derive();
        return "";
    }

    private boolean comesAfter(String first, String second, Set<String> seen) {
        Entry e = entries.get(first);
        return e != null
                && seen.add(first)
                && e.afterMachines.stream()
                        .anyMatch(a -> a.equals(second) || comesAfter(a, second, seen));
    }

    /** An operator's word on a machine, or on all. */
    public String applyOperatorCommand(String word, String machine, long wall) {
        if (word.equals("gone")) {
            return lostDrivers
                            .values()
                            .removeIf(
                                    a -> a.name.equals(machine) || a.displayName().equals(machine))
                    ? derived()
                    : "no driver '" + machine + "' is waited for without a session";
        }
        if (machine.equals(ALL_MACHINES)) {
            return all(word, wall);
        }
        Entry e = entries.get(machine);
        if (e == null) {
            return machines.containsKey(machine)
                    ? word.equals("done") || word.equals("back")
                            ? ""
                            : "'" + machine + "' is not asked for"
                    : "there is no machine '" + machine + "'";
        }
        boolean out = e.stage == MaintenanceStage.OUT || e.stage == MaintenanceStage.RETURNING;
        switch (word) {
            case "hold" -> {
                e.held = true;
                putBack(e, wall, "held");
                moved(e, wall, "held");
            }
            case "go" -> {
                e.held = false;
                moved(e, wall, "goes on");
            }
            case "done", "back" -> {
                if (e.stage == MaintenanceStage.OUT) {
                    turn(
                            e,
                            MaintenanceStage.RETURNING,
                            wall,
                            word.equals("done") ? "work is done" : "called back");
                } else if (e.stage == MaintenanceStage.DRAINING && word.equals("back")
                        || !out && word.equals("back")) {
                    withdraw(e, wall, "called back");
                } else if (!out) {
                    return "'" + machine + "' is not out yet";
                }
            }
            case "cancel" -> {
                if (out) {
                    return "'" + machine + "' is out: 'done' or 'back' brings it back";
                }
                withdraw(e, wall, "cancelled");
            }
            default -> {
                return "no word '" + word + "'";
            }
        }
        return derived();
    }

    private String all(String word, long wall) {
        if (!word.equals("hold") && !word.equals("go")) {
            return "'" + word + "' needs a machine";
        }
        held = word.equals("hold");
        revision++;
        changeNumber++;
        note(wall, ALL_MACHINES, held ? "all held" : "all go on");
        if (held) {
            entries.values().forEach(e -> putBack(e, wall, "all held"));
        }
        return derived();
    }

    private void putBack(Entry e, long wall, String why) {
        if (e.stage == MaintenanceStage.PLANNED || e.stage == MaintenanceStage.DRAINING) {
            turn(e, MaintenanceStage.ASKED, wall, why);
        }
    }

    private void withdraw(Entry e, long wall, String why) {
        note(wall, e.machine, why);
        entries.remove(e.machine);
        remove(e);
    }

    private void remove(Entry e) {
        byChange.remove(e.lastChange);
        revision++;
        changeNumber++;
        gone.add(new Object[] {e.machine, changeNumber});
        if (gone.size() > MOST_GONE) {
            gone.poll();
        }
    }

    // ---- the conductor's steps ----

    /**
     * A step under the conductor's epoch, which has been looked at; {@code stageAt} is what the
     * conductor knew of the machine, {@code idle} whether no driver on it owns a duty. Empty, or
     * why it is not taken.
     */
    public String applyStep(
            String machine, String to, long stageAt, String why, boolean idle, long wall) {
        Entry e = entries.get(machine);
        if (e == null || e.stageRevision != stageAt) {
            return "'" + machine + "' has moved on";
        }
        if (to.equals("note")) {
            if (!e.note.equals(text(why))) {
                e.note = text(why);
                changed(e);
            }
            return "";
        }
        String not =
                switch (to) {
                    case "ASKED" ->
                            e.stage == MaintenanceStage.PLANNED
                                            || e.stage == MaintenanceStage.DRAINING
                                    ? ""
                                    : "it can't be put back";
                    case "PLANNED" ->
                            e.stage != MaintenanceStage.ASKED
                                    ? "it is not waiting"
                                    : whyNotPlanned(e);
                    case "DRAINING" ->
                            e.stage != MaintenanceStage.PLANNED
                                    ? "it is not planned"
                                    : e.held || held
                                            ? "held"
                                            : !e.confirmedByAll
                                                    ? "not everybody knows of it"
                                                    : !e.noPrimaryReported
                                                            ? "somebody believes its member to be"
                                                                  + " primary"
                                                            : "";
                    case "OUT" ->
                            e.stage != MaintenanceStage.DRAINING
                                    ? "it does not drain"
                                    : !e.drained
                                            ? "not everybody has left it"
                                            : idle ? "" : "a driver on it has a duty";
                    case "IN" -> e.stage == MaintenanceStage.RETURNING ? "" : "it does not return";
                    default -> "no stage '" + to + "'";
                };
        if (!not.isEmpty()) {
            return not;
        }
        if (to.equals("IN")) {
            withdraw(e, wall, "in: " + text(why));
        } else {
            turn(e, MaintenanceStage.valueOf(to), wall, text(why));
        }
        return derived();
    }

    private String whyNotPlanned(Entry e) {
        Machine m = machines.get(e.machine);
        int away = 0;
        for (Entry o : entries.values()) {
            if (o.stage.announced()) {
                away++;
                Machine other = machines.get(o.machine);
                if (!other.zone().equals(m.zone())) {
                    return "zone " + other.zone() + " is worked on";
                }
                if (other.sharesGroup(m)) {
                    return "it shares a group with " + o.machine;
                }
            }
            if (e.afterMachines.contains(o.machine)) {
                return "it comes after " + o.machine;
            }
        }
        return e.held || held
                ? "held"
                : away >= atOnce ? "there are " + away + " on their way, at most " + atOnce : "";
    }

    private void turn(Entry e, MaintenanceStage to, long wall, String why) {
        e.stage = to;
        e.note = "";
        moved(e, wall, to.name().toLowerCase(java.util.Locale.ROOT) + ": " + why);
        e.stageRevision = revision;
        e.announcedRevision = to == MaintenanceStage.PLANNED ? revision : e.announcedRevision;
        e.outSinceMs = to == MaintenanceStage.OUT ? wall : e.outSinceMs;
        e.confirmedByAll = false;
        e.drained = false;
    }

    private void moved(Entry e, long wall, String what) {
        revision++;
        changed(e);
        e.changedAtMs = wall;
        if (e.stageRevision == 0) {
            e.stageRevision = revision;
        }
        note(wall, e.machine, what);
    }

    private void changed(Entry e) {
        byChange.remove(e.lastChange);
        e.lastChange = ++changeNumber;
        byChange.put(e.lastChange, e);
    }

    private void note(long wall, String machine, String what) {
        history.add(wall + " " + machine + " " + what);
        if (history.size() > HISTORY) {
            history.poll();
        }
    }

    private static String text(String any) {
        return any.length() > LONGEST_TEXT ? any.substring(0, LONGEST_TEXT) : any;
    }

    // ---- what follows ----

    private String derived() {
        derive();
        return "";
    }

    private void derive() {
        for (Entry e : entries.values()) {
            boolean known = e.stage.announced() && mayProceedWithout(unconfirmedDrivers(e));
            boolean clear =
                    e.stage == MaintenanceStage.DRAINING && mayProceedWithout(undrainedDrivers(e));
            // Of what only waits nothing is asked: there may be a thousand of them.
            boolean unbelieved =
                    e.stage.announced()
                            && live.values().stream()
                                    .noneMatch(l -> believes(l.report, machines.get(e.machine)));
            if (known != e.confirmedByAll
                    || clear != e.drained
                    || unbelieved != e.noPrimaryReported) {
                e.confirmedByAll = known;
                e.drained = clear;
                e.noPrimaryReported = unbelieved;
                changed(e);
            }
        }
    }

    /** Whether those who have not said so may be left out of account: nobody may. */
    protected boolean mayProceedWithout(Set<String> missing) {
        return missing.isEmpty();
    }

    private static boolean believes(DriverReport r, Machine m) {
        return m != null
                && m.members().stream()
                        .anyMatch(
                                p ->
                                        r.primaries().containsKey(p.group())
                                                && p.is(r.primaries().get(p.group())));
    }

    /** Those who have not confirmed that the machine is announced. */
    public Set<String> unconfirmedDrivers(Entry e) {
        Set<String> not = new TreeSet<>();
        live.values().stream()
                .filter(l -> l.report.planRevision() < e.announcedRevision)
                .forEach(l -> not.add(l.name));
        lostDrivers.values().stream()
                .filter(a -> a.planRevision < e.announcedRevision)
                .forEach(a -> not.add(a.name + " (without a session)"));
        return not;
    }

    /** How many drivers have a session. */
    protected int sessionCount() {
        return live.size();
    }

    /** Those who may have something at a machine that drains. */
    public Set<String> undrainedDrivers(Entry e) {
        Set<String> there = new TreeSet<>();
        live.values().stream()
                .filter(
                        l ->
                                l.report.planRevision() < e.stageRevision
                                        || !l.report.drainedMachines().contains(e.machine))
                .forEach(l -> there.add(l.name));
        lostDrivers.values().stream()
                .filter(a -> a.stoppedLevel < 1 || a.planRevision < e.announcedRevision)
                .forEach(a -> there.add(a.name + " (without a session)"));
        return there;
    }

    /** What a machine waits for, for people. */
    public String waitReason(Entry e) {
        if (e.held || held) {
            return "held";
        }
        return switch (e.stage) {
            case ASKED -> {
                String not = whyNotPlanned(e);
                yield not.isEmpty() ? e.note : not;
            }
            case PLANNED -> e.confirmedByAll ? e.note : "to know of it: " + unconfirmedDrivers(e);
            case DRAINING -> e.drained ? e.note : "to leave it: " + undrainedDrivers(e);
            default -> e.note;
        };
    }

    /** Whether a driver runs on a machine that drains or is out: it gets no duties. */
    public boolean isOnDrainingMachine(String driver) {
        return entries.values().stream()
                .anyMatch(
                        e ->
                                e.stage != MaintenanceStage.ASKED
                                        && e.stage != MaintenanceStage.PLANNED
                                        && e.stage != MaintenanceStage.RETURNING
                                        && machines.get(e.machine).drivers().contains(driver));
    }

    /**
     * The fleet's figures, all drivers together: served, harmed, and by group the milliseconds at
     * members.
     */
    public List<Object> totals() {
        long served = 0;
        long harmed = 0;
        TreeMap<String, Long> busy = new TreeMap<>();
        for (Live l : live.values()) {
            served += l.report.servedCount();
            harmed += l.report.harmedCount();
            l.report
                    .busyMsByGroup()
                    .forEach((g, ms) -> busy.merge(Integer.toString(g), ms, Long::sum));
        }
        return List.of(served, harmed, busy);
    }

    /**
     * What has changed for drivers since a change's number; all of it where that lies too far back.
     */
    public Map<String, Object> changesSince(long since) {
        Map<String, Object> m = new TreeMap<>();
        boolean whole =
                since <= 0
                        || !gone.isEmpty()
                                && gone.size() >= MOST_GONE
                                && (long) gone.peek()[1] > since;
        m.put("whole", whole);
        m.put("rev", revision);
        m.put("held", held);
        m.put(
                "entries",
                (whole ? entries : byChange.tailMap(since, false))
                        .values().stream().map(Entry::toValues).toList());
        m.put(
                "gone",
                whole
                        ? List.of()
                        : gone.stream()
                                .filter(
                                        g ->
                                                (long) g[1] > since
                                                        && !entries.containsKey((String) g[0]))
                                .map(g -> g[0])
                                .toList());
        if (whole || linesChanged > since) {
            m.put("lines", lines);
        }
        return m;
    }

    // ---- as a whole ----

    /** All of it, for a snapshot. */
    public Map<String, Object> snapshot() {
        Map<String, Object> all = new TreeMap<>();
        all.put("lines", lines);
        all.put("figures", List.of(revision, changeNumber, asks, losses, linesChanged, held));
        all.put("entries", entries.values().stream().map(Entry::toValues).toList());
        List<Object> l = new ArrayList<>();
        live.forEach((s, v) -> l.add(List.of(s, v.identity, v.name, v.report.toLine(s))));
        all.put("live", l);
        all.put(
                "astray",
                lostDrivers.values().stream()
                        .map(
                                a ->
                                        List.of(
                                                a.identity,
                                                a.name,
                                                a.planRevision,
                                                a.lossNumber,
                                                (long) a.stoppedLevel,
                                                a.exiting))
                        .toList());
        all.put("gone", gone.stream().map(g -> List.of(g[0], g[1])).toList());
        all.put("history", List.copyOf(history));
        return all;
    }

    /**
     * Takes over a snapshot in place of all that is there; one from before there was a plan is
     * empty.
     */
    public void restore(Object of) {
        machines.clear();
        entries.clear();
        byChange.clear();
        live.clear();
        lostDrivers.clear();
        gone.clear();
        history.clear();
        lines = List.of();
        if (!(of instanceof Map<?, ?> all)) {
            return;
        }
        List<String> l = new ArrayList<>();
        ((List<?>) all.get("lines")).forEach(o -> l.add((String) o));
        lines = List.copyOf(l);
        lines.stream().skip(1).map(Machine::of).forEach(m -> machines.put(m.name(), m));
        if (!lines.isEmpty()) {
            atOnce = Integer.parseInt(lines.get(0).split(" ")[0]);
            lostViewPolicy = MaintenanceSettings.LostViewPolicy.valueOf(lines.get(0).split(" ")[1]);
        }
        List<?> f = (List<?>) all.get("figures");
        revision = number(f.get(0));
        changeNumber = number(f.get(1));
        asks = number(f.get(2));
        losses = number(f.get(3));
        linesChanged = number(f.get(4));
        held = (Boolean) f.get(5);
        ((List<?>) all.get("entries"))
                .forEach(
                        v -> {
                            Entry e = Entry.fromValues((List<?>) v);
                            entries.put(e.machine, e);
                            byChange.put(e.lastChange, e);
                        });
        ((List<?>) all.get("live"))
                .forEach(
                        o -> {
                            List<?> v = (List<?>) o;
                            Live one = new Live((String) v.get(1), (String) v.get(2));
                            one.report = DriverReport.of((String) v.get(3));
                            live.put((String) v.get(0), one);
                        });
        ((List<?>) all.get("astray"))
                .forEach(
                        o -> {
                            List<?> v = (List<?>) o;
                            LostDriver a =
                                    new LostDriver(
                                            (String) v.get(0),
                                            (String) v.get(1),
                                            number(v.get(2)),
                                            number(v.get(3)),
                                            (Boolean) v.get(5));
                            a.stoppedLevel = (int) number(v.get(4));
                            lostDrivers.put(a.identity, a);
                        });
        ((List<?>) all.get("gone"))
                .forEach(
                        o ->
                                gone.add(
                                        new Object[] {
                                            ((List<?>) o).get(0), number(((List<?>) o).get(1))
                                        }));
        ((List<?>) all.get("history")).forEach(h -> history.add((String) h));
    }

    private static long number(Object n) {
        return ((Number) n).longValue();
    }
}
