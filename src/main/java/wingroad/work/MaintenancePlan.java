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
    private static final int MAX_REQUESTS = 4096;
    private static final int MAX_LOST_DRIVERS = 1024;
    private static final String OVERFLOW_IDENTITY = "many";
    private static final int MAX_HISTORY_LINES = 4096;
    private static final int MAX_REMOVALS = 1024;
    private static final int MAX_TEXT_CHARS = 200;

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
                String requestId,
                String reason,
                long durationMs,
                long deadlineMs,
                List<String> afterMachines,
                long requestedAtMs,
                long requestNumber) {
            this.machine = machine;
            this.requestId = requestId;
            this.reason = reason;
            this.durationMs = durationMs;
            this.deadlineMs = deadlineMs;
            this.afterMachines = List.copyOf(afterMachines);
            this.requestedAtMs = requestedAtMs;
            this.requestNumber = requestNumber;
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
        public Map<String, Object> statusFields(String waitReason) {
            Map<String, Object> fields = new TreeMap<>();
            fields.put("machine", machine);
            fields.put("stage", stage.name().toLowerCase(java.util.Locale.ROOT));
            fields.put("why", reason);
            fields.put("for-ms", durationMs);
            fields.put("before", deadlineMs);
            fields.put("after", afterMachines);
            fields.put("asked", requestedAtMs);
            fields.put("since", changedAtMs);
            fields.put("out-since", outSinceMs);
            fields.put("held", held);
            fields.put("waits", waitReason);
            return fields;
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
        public static Entry fromValues(List<?> values) {
            List<String> afterMachines = new ArrayList<>();
            ((List<?>) values.get(5))
                    .forEach(predecessor -> afterMachines.add((String) predecessor));
            Entry entry =
                    new Entry(
                            (String) values.get(0),
                            (String) values.get(1),
                            (String) values.get(2),
                            number(values.get(3)),
                            number(values.get(4)),
                            afterMachines,
                            number(values.get(6)),
                            number(values.get(7)));
            entry.stage = MaintenanceStage.valueOf((String) values.get(8));
            entry.announcedRevision = number(values.get(9));
            entry.stageRevision = number(values.get(10));
            entry.changedAtMs = number(values.get(11));
            entry.outSinceMs = number(values.get(12));
            entry.held = (Boolean) values.get(13);
            entry.confirmedByAll = (Boolean) values.get(14);
            entry.drained = (Boolean) values.get(15);
            entry.noPrimaryReported = (Boolean) values.get(16);
            entry.note = (String) values.get(17);
            entry.lastChange = number(values.get(18));
            return entry;
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

        LostDriver(
                String identity, String name, long planRevision, long lossNumber, boolean exiting) {
            this.identity = identity;
            this.name = name;
            this.planRevision = planRevision;
            this.lossNumber = lossNumber;
            this.exiting = exiting;
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

    private static final class ConnectedDriver {
        final String identity;
        final String name;
        DriverReport report = DriverReport.EMPTY;

        ConnectedDriver(String identity, String name) {
            this.identity = identity;
            this.name = name;
        }
    }

    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final TreeMap<String, Entry> entries = new TreeMap<>();

    /**
     * The same by their last changes: what is new is asked for by each driver, after each change.
     */
    private final TreeMap<Long, Entry> entriesByChange = new TreeMap<>();

    private final TreeMap<String, ConnectedDriver> connectedDrivers = new TreeMap<>();
    private final TreeMap<String, LostDriver> lostDrivers = new TreeMap<>();

    /** Machines that were taken off the plan, with the change's number, oldest first. */
    private final ArrayDeque<Object[]> removals = new ArrayDeque<>();

    private final ArrayDeque<String> history = new ArrayDeque<>();
    private List<String> inventoryLines = List.of();
    private long inventoryChange;
    private int maxConcurrent = 1;
    private MaintenanceSettings.LostViewPolicy lostViewPolicy =
            MaintenanceSettings.LostViewPolicy.STEADY;
    private boolean held;
    private long revision;
    private long changeNumber;
    private long requestCount;
    private long lossCount;

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
        connectedDrivers.put(session, new ConnectedDriver(identity, name));
        updateConfirmations();
    }

    /**
     * A session has ended, by itself where {@code ends}: its process may run on, and is waited for.
     */
    public void sessionEnded(String session, boolean exiting) {
        ConnectedDriver driver = connectedDrivers.remove(session);
        if (driver != null) {
            // More than there can be drivers: one stands for the rest, and nothing goes out until
            // somebody has looked.
            boolean hasRoom =
                    lostDrivers.size() < MAX_LOST_DRIVERS
                            || lostDrivers.containsKey(driver.identity);
            String identity = hasRoom ? driver.identity : OVERFLOW_IDENTITY;
            lostDrivers.put(
                    identity,
                    new LostDriver(
                            identity,
                            hasRoom ? driver.name : OVERFLOW_IDENTITY,
                            hasRoom ? driver.report.planRevision() : 0,
                            ++lossCount,
                            hasRoom && exiting));
        }
        updateConfirmations();
    }

    /**
     * By the voters' clocks: level 1, nothing of it is left at what it knew to be announced; level
     * 2, nothing at all.
     */
    public String driverStopped(String identity, long lossNumber, long stoppedLevel) {
        LostDriver lostDriver = lostDrivers.get(identity);
        if (lostDriver == null || lostDriver.lossNumber != lossNumber) {
            return "not lost, or lost anew";
        }
        if (stoppedLevel >= 2) {
            lostDrivers.remove(identity);
        } else {
            lostDriver.stoppedLevel = 1;
        }
        updateConfirmations();
        return "";
    }

    /** Drivers' reports, a line each; those without a session count for nothing. */
    public String applyReports(List<String> lines) {
        for (String line : lines) {
            ConnectedDriver driver = connectedDrivers.get(DriverReport.sessionOf(line));
            if (driver != null) {
                driver.report = DriverReport.parse(line);
            }
        }
        updateConfirmations();
        return "";
    }

    // ---- what is asked ----

    /**
     * The machines that there are, and the limits, by the conductor's file; what is away stays as
     * it was.
     */
    public String applyInventory(List<String> lines) {
        if (lines.equals(inventoryLines)) {
            return "";
        }
        String[] limits = lines.get(0).split(" ");
        TreeMap<String, Machine> newMachines = new TreeMap<>();
        lines.stream()
                .skip(1)
                .map(Machine::parse)
                .forEach(machine -> newMachines.put(machine.name(), machine));
        for (Entry entry : entries.values()) {
            if (entry.stage.announced()
                    && !machines.get(entry.machine).equals(newMachines.get(entry.machine))) {
                return entry.machine
                        + " is on its way, and the file has changed it: not before it is in";
            }
        }
        entries.values()
                .removeIf(
                        entry -> {
                            boolean removed = !newMachines.containsKey(entry.machine);
                            if (removed) {
                                recordRemoval(entry);
                            }
                            return removed;
                        });
        maxConcurrent = Integer.parseInt(limits[0]);
        lostViewPolicy = MaintenanceSettings.LostViewPolicy.valueOf(limits[1]);
        machines.clear();
        machines.putAll(newMachines);
        inventoryLines = List.copyOf(lines);
        revision++;
        inventoryChange = ++changeNumber;
        updateConfirmations();
        return "";
    }

    /** Somebody wants a machine; empty, or why it can never be had. */
    public String addRequest(
            String machine,
            String requestId,
            String reason,
            long durationMs,
            long deadlineMs,
            List<String> afterMachines,
            long proposedAtMs) {
        Machine requestedMachine = machines.get(machine);
        if (requestedMachine == null) {
            return machines.isEmpty()
                    ? "no machines are settled yet: is there a conductor?"
                    : "there is no machine '" + machine + "'";
        }
        Entry existing = entries.get(machine);
        if (existing != null) {
            return existing.requestId.equals(requestId)
                    ? ""
                    : "'"
                            + machine
                            + "' is "
                            + existing.stage.name().toLowerCase(java.util.Locale.ROOT)
                            + " already: "
                            + existing.reason;
        }
        if (entries.size() >= MAX_REQUESTS) {
            return "more than " + MAX_REQUESTS + " machines are asked for";
        }
        if (deadlineMs > 0 && deadlineMs <= proposedAtMs) {
            return "the time before which it is wanted has passed";
        }
        for (int group : requestedMachine.groups()) {
            if (requestedMachine.members().stream()
                            .filter(member -> member.group() == group)
                            .count()
                    > 1) {
                return "it holds more than one member of group "
                        + group
                        + ": no two of a group are away together";
            }
            if (machines.values().stream()
                    .noneMatch(
                            other ->
                                    !other.name().equals(machine)
                                            && other.groups().contains(group))) {
                return "it holds the only member of group " + group;
            }
        }
        for (String predecessor : afterMachines) {
            if (!machines.containsKey(predecessor)) {
                return "there is no machine '" + predecessor + "' to come after";
            }
            if (predecessor.equals(machine) || comesAfter(predecessor, machine, new HashSet<>())) {
                return "'" + predecessor + "' comes after '" + machine + "' itself";
            }
        }
        Entry entry =
                new Entry(
                        machine,
                        requestId,
                        truncate(reason),
                        durationMs,
                        deadlineMs,
                        afterMachines,
                        proposedAtMs,
                        ++requestCount);
        entries.put(machine, entry);
        recordMove(entry, proposedAtMs, "asked: " + entry.reason);
        updateConfirmations();
        return "";
    }

    private boolean comesAfter(String first, String second, Set<String> visited) {
        Entry entry = entries.get(first);
        return entry != null
                && visited.add(first)
                && entry.afterMachines.stream()
                        .anyMatch(
                                predecessor ->
                                        predecessor.equals(second)
                                                || comesAfter(predecessor, second, visited));
    }

    /** An operator's word on a machine, or on all. */
    public String applyOperatorCommand(String command, String machine, long proposedAtMs) {
        if (command.equals("gone")) {
            return lostDrivers
                            .values()
                            .removeIf(
                                    lostDriver ->
                                            lostDriver.name.equals(machine)
                                                    || lostDriver.displayName().equals(machine))
                    ? updateAndAccept()
                    : "no driver '" + machine + "' is waited for without a session";
        }
        if (machine.equals(ALL_MACHINES)) {
            return applyToAll(command, proposedAtMs);
        }
        Entry entry = entries.get(machine);
        if (entry == null) {
            return machines.containsKey(machine)
                    ? command.equals("done") || command.equals("back")
                            ? ""
                            : "'" + machine + "' is not asked for"
                    : "there is no machine '" + machine + "'";
        }
        boolean out =
                entry.stage == MaintenanceStage.OUT || entry.stage == MaintenanceStage.RETURNING;
        switch (command) {
            case "hold" -> {
                entry.held = true;
                putBack(entry, proposedAtMs, "held");
                recordMove(entry, proposedAtMs, "held");
            }
            case "go" -> {
                entry.held = false;
                recordMove(entry, proposedAtMs, "goes on");
            }
            case "done", "back" -> {
                if (entry.stage == MaintenanceStage.OUT) {
                    moveTo(
                            entry,
                            MaintenanceStage.RETURNING,
                            proposedAtMs,
                            command.equals("done") ? "work is done" : "called back");
                } else if (entry.stage == MaintenanceStage.DRAINING && command.equals("back")
                        || !out && command.equals("back")) {
                    withdraw(entry, proposedAtMs, "called back");
                } else if (!out) {
                    return "'" + machine + "' is not out yet";
                }
            }
            case "cancel" -> {
                if (out) {
                    return "'" + machine + "' is out: 'done' or 'back' brings it back";
                }
                withdraw(entry, proposedAtMs, "cancelled");
            }
            default -> {
                return "no word '" + command + "'";
            }
        }
        return updateAndAccept();
    }

    private String applyToAll(String command, long proposedAtMs) {
        if (!command.equals("hold") && !command.equals("go")) {
            return "'" + command + "' needs a machine";
        }
        held = command.equals("hold");
        revision++;
        changeNumber++;
        addHistory(proposedAtMs, ALL_MACHINES, held ? "all held" : "all go on");
        if (held) {
            entries.values().forEach(entry -> putBack(entry, proposedAtMs, "all held"));
        }
        return updateAndAccept();
    }

    private void putBack(Entry entry, long proposedAtMs, String reason) {
        if (entry.stage == MaintenanceStage.PLANNED || entry.stage == MaintenanceStage.DRAINING) {
            moveTo(entry, MaintenanceStage.ASKED, proposedAtMs, reason);
        }
    }

    private void withdraw(Entry entry, long proposedAtMs, String reason) {
        addHistory(proposedAtMs, entry.machine, reason);
        entries.remove(entry.machine);
        recordRemoval(entry);
    }

    private void recordRemoval(Entry entry) {
        entriesByChange.remove(entry.lastChange);
        revision++;
        changeNumber++;
        removals.add(new Object[] {entry.machine, changeNumber});
        if (removals.size() > MAX_REMOVALS) {
            removals.poll();
        }
    }

    // ---- the conductor's steps ----

    /**
     * A step under the conductor's epoch, which has been looked at; {@code stageAt} is what the
     * conductor knew of the machine, {@code idle} whether no driver on it owns a duty. Empty, or
     * why it is not taken.
     */
    public String applyStep(
            String machine,
            String target,
            long stageRevision,
            String reason,
            boolean ownsNoDuty,
            long proposedAtMs) {
        Entry entry = entries.get(machine);
        if (entry == null || entry.stageRevision != stageRevision) {
            return "'" + machine + "' has moved on";
        }
        if (target.equals("note")) {
            if (!entry.note.equals(truncate(reason))) {
                entry.note = truncate(reason);
                markChanged(entry);
            }
            return "";
        }
        String refusal =
                switch (target) {
                    case "ASKED" ->
                            entry.stage == MaintenanceStage.PLANNED
                                            || entry.stage == MaintenanceStage.DRAINING
                                    ? ""
                                    : "it can't be put back";
                    case "PLANNED" ->
                            entry.stage != MaintenanceStage.ASKED
                                    ? "it is not waiting"
                                    : planningBlocker(entry);
                    case "DRAINING" ->
                            entry.stage != MaintenanceStage.PLANNED
                                    ? "it is not planned"
                                    : entry.held || held
                                            ? "held"
                                            : !entry.confirmedByAll
                                                    ? "not everybody knows of it"
                                                    : !entry.noPrimaryReported
                                                            ? "somebody believes its member to be"
                                                                    + " primary"
                                                            : "";
                    case "OUT" ->
                            entry.stage != MaintenanceStage.DRAINING
                                    ? "it does not drain"
                                    : !entry.drained
                                            ? "not everybody has left it"
                                            : ownsNoDuty ? "" : "a driver on it has a duty";
                    case "IN" ->
                            entry.stage == MaintenanceStage.RETURNING ? "" : "it does not return";
                    default -> "no stage '" + target + "'";
                };
        if (!refusal.isEmpty()) {
            return refusal;
        }
        if (target.equals("IN")) {
            withdraw(entry, proposedAtMs, "in: " + truncate(reason));
        } else {
            moveTo(entry, MaintenanceStage.valueOf(target), proposedAtMs, truncate(reason));
        }
        return updateAndAccept();
    }

    private String planningBlocker(Entry entry) {
        Machine machine = machines.get(entry.machine);
        int awayCount = 0;
        for (Entry otherEntry : entries.values()) {
            if (otherEntry.stage.announced()) {
                awayCount++;
                Machine otherMachine = machines.get(otherEntry.machine);
                if (!otherMachine.zone().equals(machine.zone())) {
                    return "zone " + otherMachine.zone() + " is worked on";
                }
                if (otherMachine.sharesGroup(machine)) {
                    return "it shares a group with " + otherEntry.machine;
                }
            }
            if (entry.afterMachines.contains(otherEntry.machine)) {
                return "it comes after " + otherEntry.machine;
            }
        }
        return entry.held || held
                ? "held"
                : awayCount >= maxConcurrent
                        ? "there are " + awayCount + " on their way, at most " + maxConcurrent
                        : "";
    }

    private void moveTo(Entry entry, MaintenanceStage target, long proposedAtMs, String reason) {
        entry.stage = target;
        entry.note = "";
        recordMove(
                entry,
                proposedAtMs,
                target.name().toLowerCase(java.util.Locale.ROOT) + ": " + reason);
        entry.stageRevision = revision;
        entry.announcedRevision =
                target == MaintenanceStage.PLANNED ? revision : entry.announcedRevision;
        entry.outSinceMs = target == MaintenanceStage.OUT ? proposedAtMs : entry.outSinceMs;
        entry.confirmedByAll = false;
        entry.drained = false;
    }

    private void recordMove(Entry entry, long proposedAtMs, String text) {
        revision++;
        markChanged(entry);
        entry.changedAtMs = proposedAtMs;
        if (entry.stageRevision == 0) {
            entry.stageRevision = revision;
        }
        addHistory(proposedAtMs, entry.machine, text);
    }

    private void markChanged(Entry entry) {
        entriesByChange.remove(entry.lastChange);
        entry.lastChange = ++changeNumber;
        entriesByChange.put(entry.lastChange, entry);
    }

    private void addHistory(long proposedAtMs, String machine, String text) {
        history.add(proposedAtMs + " " + machine + " " + text);
        if (history.size() > MAX_HISTORY_LINES) {
            history.poll();
        }
    }

    private static String truncate(String text) {
        return text.length() > MAX_TEXT_CHARS ? text.substring(0, MAX_TEXT_CHARS) : text;
    }

    // ---- what follows ----

    private String updateAndAccept() {
        updateConfirmations();
        return "";
    }

    private void updateConfirmations() {
        for (Entry entry : entries.values()) {
            boolean confirmedByAll =
                    entry.stage.announced() && mayProceedWithout(unconfirmedDrivers(entry));
            boolean drained =
                    entry.stage == MaintenanceStage.DRAINING
                            && mayProceedWithout(undrainedDrivers(entry));
            // Of what only waits nothing is asked: there may be a thousand of them.
            boolean noPrimaryReported =
                    entry.stage.announced()
                            && connectedDrivers.values().stream()
                                    .noneMatch(
                                            driver ->
                                                    reportsPrimaryOn(
                                                            driver.report,
                                                            machines.get(entry.machine)));
            if (confirmedByAll != entry.confirmedByAll
                    || drained != entry.drained
                    || noPrimaryReported != entry.noPrimaryReported) {
                entry.confirmedByAll = confirmedByAll;
                entry.drained = drained;
                entry.noPrimaryReported = noPrimaryReported;
                markChanged(entry);
            }
        }
    }

    /** Whether those who have not said so may be left out of account: nobody may. */
    protected boolean mayProceedWithout(Set<String> missing) {
        return missing.isEmpty();
    }

    private static boolean reportsPrimaryOn(DriverReport report, Machine machine) {
        return machine != null
                && machine.members().stream()
                        .anyMatch(
                                member ->
                                        report.primaries().containsKey(member.group())
                                                && member.matches(
                                                        report.primaries().get(member.group())));
    }

    /** Those who have not confirmed that the machine is announced. */
    public Set<String> unconfirmedDrivers(Entry entry) {
        Set<String> unconfirmed = new TreeSet<>();
        connectedDrivers.values().stream()
                .filter(driver -> driver.report.planRevision() < entry.announcedRevision)
                .forEach(driver -> unconfirmed.add(driver.name));
        lostDrivers.values().stream()
                .filter(lostDriver -> lostDriver.planRevision < entry.announcedRevision)
                .forEach(lostDriver -> unconfirmed.add(lostDriver.name + " (without a session)"));
        return unconfirmed;
    }

    /** How many drivers have a session. */
    protected int sessionCount() {
        return connectedDrivers.size();
    }

    /** Those who may have something at a machine that drains. */
    public Set<String> undrainedDrivers(Entry entry) {
        Set<String> undrained = new TreeSet<>();
        connectedDrivers.values().stream()
                .filter(
                        driver ->
                                driver.report.planRevision() < entry.stageRevision
                                        || !driver.report.drainedMachines().contains(entry.machine))
                .forEach(driver -> undrained.add(driver.name));
        lostDrivers.values().stream()
                .filter(
                        lostDriver ->
                                lostDriver.stoppedLevel < 1
                                        || lostDriver.planRevision < entry.announcedRevision)
                .forEach(lostDriver -> undrained.add(lostDriver.name + " (without a session)"));
        return undrained;
    }

    /** What a machine waits for, for people. */
    public String waitReason(Entry entry) {
        if (entry.held || held) {
            return "held";
        }
        return switch (entry.stage) {
            case ASKED -> {
                String blocker = planningBlocker(entry);
                yield blocker.isEmpty() ? entry.note : blocker;
            }
            case PLANNED ->
                    entry.confirmedByAll
                            ? entry.note
                            : "to know of it: " + unconfirmedDrivers(entry);
            case DRAINING -> entry.drained ? entry.note : "to leave it: " + undrainedDrivers(entry);
            default -> entry.note;
        };
    }

    /** Whether a driver runs on a machine that drains or is out: it gets no duties. */
    public boolean isOnDrainingMachine(String driver) {
        return entries.values().stream()
                .anyMatch(
                        entry ->
                                entry.stage != MaintenanceStage.ASKED
                                        && entry.stage != MaintenanceStage.PLANNED
                                        && entry.stage != MaintenanceStage.RETURNING
                                        && machines.get(entry.machine).drivers().contains(driver));
    }

    /**
     * The fleet's figures, all drivers together: served, harmed, and by group the milliseconds at
     * members.
     */
    public List<Object> totals() {
        long servedCount = 0;
        long harmedCount = 0;
        TreeMap<String, Long> busyMsByGroup = new TreeMap<>();
        for (ConnectedDriver driver : connectedDrivers.values()) {
            servedCount += driver.report.servedCount();
            harmedCount += driver.report.harmedCount();
            driver.report
                    .busyMsByGroup()
                    .forEach(
                            (group, busyMs) ->
                                    busyMsByGroup.merge(
                                            Integer.toString(group), busyMs, Long::sum));
        }
        return List.of(servedCount, harmedCount, busyMsByGroup);
    }

    /**
     * What has changed for drivers since a change's number; all of it where that lies too far back.
     */
    public Map<String, Object> changesSince(long sinceChange) {
        Map<String, Object> changes = new TreeMap<>();
        boolean complete =
                sinceChange <= 0
                        || !removals.isEmpty()
                                && removals.size() >= MAX_REMOVALS
                                && (long) removals.peek()[1] > sinceChange;
        changes.put("whole", complete);
        changes.put("rev", revision);
        changes.put("held", held);
        changes.put(
                "entries",
                (complete ? entries : entriesByChange.tailMap(sinceChange, false))
                        .values().stream().map(Entry::toValues).toList());
        changes.put(
                "gone",
                complete
                        ? List.of()
                        : removals.stream()
                                .filter(
                                        removal ->
                                                (long) removal[1] > sinceChange
                                                        && !entries.containsKey(
                                                                (String) removal[0]))
                                .map(removal -> removal[0])
                                .toList());
        if (complete || inventoryChange > sinceChange) {
            changes.put("lines", inventoryLines);
        }
        return changes;
    }

    // ---- as a whole ----

    /** All of it, for a snapshot. */
    public Map<String, Object> snapshot() {
        Map<String, Object> state = new TreeMap<>();
        state.put("lines", inventoryLines);
        state.put(
                "figures",
                List.of(revision, changeNumber, requestCount, lossCount, inventoryChange, held));
        state.put("entries", entries.values().stream().map(Entry::toValues).toList());
        List<Object> connected = new ArrayList<>();
        connectedDrivers.forEach(
                (sessionId, driver) ->
                        connected.add(
                                List.of(
                                        sessionId,
                                        driver.identity,
                                        driver.name,
                                        driver.report.toLine(sessionId))));
        state.put("live", connected);
        state.put(
                "astray",
                lostDrivers.values().stream()
                        .map(
                                lostDriver ->
                                        List.of(
                                                lostDriver.identity,
                                                lostDriver.name,
                                                lostDriver.planRevision,
                                                lostDriver.lossNumber,
                                                (long) lostDriver.stoppedLevel,
                                                lostDriver.exiting))
                        .toList());
        state.put(
                "gone", removals.stream().map(removal -> List.of(removal[0], removal[1])).toList());
        state.put("history", List.copyOf(history));
        return state;
    }

    /**
     * Takes over a snapshot in place of all that is there; one from before there was a plan is
     * empty.
     */
    public void restore(Object snapshot) {
        machines.clear();
        entries.clear();
        entriesByChange.clear();
        connectedDrivers.clear();
        lostDrivers.clear();
        removals.clear();
        history.clear();
        inventoryLines = List.of();
        if (!(snapshot instanceof Map<?, ?> state)) {
            return;
        }
        List<String> lines = new ArrayList<>();
        ((List<?>) state.get("lines")).forEach(item -> lines.add((String) item));
        inventoryLines = List.copyOf(lines);
        inventoryLines.stream()
                .skip(1)
                .map(Machine::parse)
                .forEach(machine -> machines.put(machine.name(), machine));
        if (!inventoryLines.isEmpty()) {
            maxConcurrent = Integer.parseInt(inventoryLines.get(0).split(" ")[0]);
            lostViewPolicy =
                    MaintenanceSettings.LostViewPolicy.valueOf(inventoryLines.get(0).split(" ")[1]);
        }
        List<?> figures = (List<?>) state.get("figures");
        revision = number(figures.get(0));
        changeNumber = number(figures.get(1));
        requestCount = number(figures.get(2));
        lossCount = number(figures.get(3));
        inventoryChange = number(figures.get(4));
        held = (Boolean) figures.get(5);
        ((List<?>) state.get("entries"))
                .forEach(
                        values -> {
                            Entry entry = Entry.fromValues((List<?>) values);
                            entries.put(entry.machine, entry);
                            entriesByChange.put(entry.lastChange, entry);
                        });
        ((List<?>) state.get("live"))
                .forEach(
                        item -> {
                            List<?> values = (List<?>) item;
                            ConnectedDriver driver =
                                    new ConnectedDriver(
                                            (String) values.get(1), (String) values.get(2));
                            driver.report = DriverReport.parse((String) values.get(3));
                            connectedDrivers.put((String) values.get(0), driver);
                        });
        ((List<?>) state.get("astray"))
                .forEach(
                        item -> {
                            List<?> values = (List<?>) item;
                            LostDriver lostDriver =
                                    new LostDriver(
                                            (String) values.get(0),
                                            (String) values.get(1),
                                            number(values.get(2)),
                                            number(values.get(3)),
                                            (Boolean) values.get(5));
                            lostDriver.stoppedLevel = (int) number(values.get(4));
                            lostDrivers.put(lostDriver.identity, lostDriver);
                        });
        ((List<?>) state.get("gone"))
                .forEach(
                        item ->
                                removals.add(
                                        new Object[] {
                                            ((List<?>) item).get(0), number(((List<?>) item).get(1))
                                        }));
        ((List<?>) state.get("history")).forEach(line -> history.add((String) line));
    }

    private static long number(Object value) {
        return ((Number) value).longValue();
    }
}
