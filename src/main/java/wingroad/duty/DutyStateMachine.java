package wingroad.duty;

import wingroad.work.MaintenancePlan;
import wingroad.work.MaintenanceSettings;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * What the council has settled: sessions, duties, their owners and epochs. Fed with the agreed
 * log's entries in order, it comes to the same state in every voter: it reads no clock, draws
 * nothing and iterates in order of names.
 *
 * <p>Rounds, the number of settled beats, are its only time: coarse, and alike everywhere.
 */
public class DutyStateMachine {
    private static final int MOST_SESSIONS = 1024;
    private static final int MOST_DUTIES = 1024;
    private static final int HISTORY = 32;
    private static final int MOST_VOTERS = 64;
    private static final int MOST_ANSWERS = 256;

    /**
     * A driver that let its leases run out k times waits two to the k rounds, at most two to this.
     */
    private static final int LONGEST_WAIT = 10;

    private static final int LOOK_AGAIN = 16;
    private static final String LEFT = "left";

    /** So many rounds without another loss and it is as if there had been none. */
    private static final long FORGIVEN = 4096;

    /** One driver's standing with the council. */
    public static final class Session {
        final String id;
        final String identity;
        final SortedSet<String> duties;
        long lastHeartbeat;
        final long openedAtMs;

        Session(String id, String identity, Collection<String> duties, long beat, long since) {
            this.id = id;
            this.identity = identity;
            this.duties = new TreeSet<>(duties);
            this.lastHeartbeat = beat;
            this.openedAtMs = since;
        }

        public String id() {
            return id;
        }

        /** The driver's name: a session is "name/run". */
        public String driverName() {
            return driverNameOf(id);
        }

        public long lastHeartbeat() {
            return lastHeartbeat;
        }

        /** Unix milliseconds by the wall clock of whoever proposed it. */
        public long openedAtMs() {
            return openedAtMs;
        }
    }

    /** One duty; {@code owner} is a session, or empty. */
    public static final class Duty {
        final String name;
        String owner = "";
        long epoch;
        long ownedSinceMs;
        long run;

        /** How the last turn ended; empty while it has not been told. */
        String outcome = "";

        /** Its owner is to give it up: to the driver named, or with "*" to any other. */
        String handOverTarget = "";

        /** The session that had it last. */
        String previousOwner = "";

        /** Changed by the op of this number. */
        long revision;

        final ArrayDeque<String> history = new ArrayDeque<>();

        Duty(String name) {
            this.name = name;
        }

        public String name() {
            return name;
        }

        public String owner() {
            return owner;
        }

        public long epoch() {
            return epoch;
        }

        public long ownedSinceMs() {
            return ownedSinceMs;
        }

        public long run() {
            return run;
        }

        public String outcome() {
            return outcome;
        }

        public String handOverTarget() {
            return handOverTarget;
        }

        public long revision() {
            return revision;
        }

        public Collection<String> history() {
            return history;
        }
    }

    /** A driver's lost leases. */
    private static final class Losses {
        int count;
        long until;
        long last;
    }

    private final TreeMap<String, Session> sessions = new TreeMap<>();
    private final TreeMap<String, Duty> duties = new TreeMap<>();

    /**
     * What was changed of the voters that the files name: an address, or empty for one taken out.
     */
    private final TreeMap<String, String> voterChanges = new TreeMap<>();

    private final TreeMap<String, Losses> losses = new TreeMap<>();

    /** The results of the newest asks that have a name, oldest first. */
    private final ArrayDeque<String[]> answers = new ArrayDeque<>();

    private final MaintenancePlan plan;
    private long epochs;
    private long heartbeatRounds;
    private long revision;
    private long staleCommandCount;

    /**
     * @param first the council's first epoch is the next one
     */
    public DutyStateMachine(long first) {
        this(first, new MaintenancePlan());
    }

    /** The same with a plan of its own, for tests. */
    protected DutyStateMachine(long first, MaintenancePlan plan) {
        epochs = first;
        this.plan = plan;
    }

    /** The driver that a session is of. */
    public static String driverNameOf(String session) {
        int slash = session.indexOf('/');
        return slash < 0 ? session : session.substring(0, slash);
    }

    public Collection<Session> sessions() {
        return sessions.values();
    }

    /**
     * The changes of the voters since the founding: names with their addresses, empty for those
     * taken out.
     */
    public Map<String, String> voterChanges() {
        return voterChanges;
    }

    /** What is settled of the work on machines. */
    public MaintenancePlan plan() {
        return plan;
    }

    /** How many of a conductor's orders came under an epoch that was over. */
    public long staleCommandCount() {
        return staleCommandCount;
    }

    public Session session(String id) {
        return sessions.get(id);
    }

    public Collection<Duty> duties() {
        return duties.values();
    }

    public Duty duty(String name) {
        return duties.get(name);
    }

    /** Counts the ops that were applied. */
    public long revision() {
        return revision;
    }

    public long heartbeatRounds() {
        return heartbeatRounds;
    }

    /**
     * Applies one settled entry; empty where it took effect or had done so before, else why it did
     * not.
     */
    public String apply(Command op) {
        if (!op.requestId().isEmpty()) {
            for (String[] a : answers) {
                if (a[0].equals(op.requestId())) {
                    return a[1];
                }
            }
        }
        revision++;
        String result =
                switch (op.kind()) {
                    case TERM -> "";
                    case OPEN -> open(op);
                    case BEAT -> beat(op);
                    case EXPIRE -> expire(op);
                    case LEAVE -> end(op.sessionId(), LEFT, op.proposedAtMs());
                    case GIVE_UP -> giveUp(op);
                    case HAND_OVER -> handOver(op);
                    case TURN -> turn(op);
                    case TOLD -> told(op);
                    case VOTER -> voter(op);
                    case WORK_MACHINES -> ordered(op, () -> plan.applyInventory(op.items()));
                    case WORK_ASK ->
                            plan.addRequest(
                                    op.subject(),
                                    op.requestId(),
                                    op.argument(),
                                    op.number(),
                                    op.epoch(),
                                    op.items(),
                                    op.proposedAtMs());
                    case WORK_WORD ->
                            plan.applyOperatorCommand(
                                    op.argument(), op.subject(), op.proposedAtMs());
                    case WORK_STEP ->
                            ordered(
                                    op,
                                    () ->
                                            plan.applyStep(
                                                    op.subject(),
                                                    op.argument(),
                                                    op.number(),
                                                    op.items().get(0),
                                                    idle(op.subject()),
                                                    op.proposedAtMs()));
                    case WORK_REPORTS -> plan.applyReports(op.items());
                    case WORK_STOPPED -> plan.driverStopped(op.argument(), op.number(), op.epoch());
                };
        if (!op.requestId().isEmpty()) {
            answers.add(new String[] {op.requestId(), result});
            if (answers.size() > MOST_ANSWERS) {
                answers.poll();
            }
        }
        // Beats are most of all ops, and change who has what only where somebody's wait has ended.
        if (op.kind() != Command.Kind.BEAT && op.kind() != Command.Kind.WORK_REPORTS
                || heartbeatRounds % LOOK_AGAIN == 0) {
            give(op.proposedAtMs());
        }
        return result;
    }

    /** An order of the conductor's: only under the epoch that is in force. */
    private String ordered(Command op, Supplier<String> what) {
        if (!isFromCurrentController(op)) {
            staleCommandCount++;
            return "not the conductor under epoch " + op.epoch();
        }
        return what.get();
    }

    /** Whether an order comes from whoever conducts, under its epoch. */
    protected boolean isFromCurrentController(Command op) {
        Duty d = duties.get(MaintenanceSettings.CONTROLLER_DUTY);
        return d != null && d.epoch == op.epoch() && d.owner.equals(op.sessionId());
    }

    /** Whether no driver on the machine owns a duty. */
    private boolean idle(String machine) {
        return !plan.machines().containsKey(machine)
                || duties.values().stream()
                        .noneMatch(
                                d ->
                                        !d.owner.isEmpty()
                                                && plan.machines()
                                                        .get(machine)
                                                        .drivers()
                                                        .contains(driverNameOf(d.owner)));
    }

    private String open(Command op) {
        if (sessions.containsKey(op.sessionId())) {
            return "";
        }
        String name = driverNameOf(op.sessionId());
        for (Session s : List.copyOf(sessions.values())) {
            if (s.driverName().equals(name)) {
                if (!s.identity.equals(op.argument())) {
                    return "another driver is known by the name '" + name + "'";
                }
                // The same state folder, whose lock only one process can have: the former one is
                // dead.
                end(s.id, "restarted", op.proposedAtMs());
            }
        }
        if (sessions.size() >= MOST_SESSIONS) {
            return "there are " + MOST_SESSIONS + " sessions already";
        }
        sessions.put(
                op.sessionId(),
                new Session(op.sessionId(), op.argument(), op.items(), 0, op.proposedAtMs()));
        plan.sessionOpened(op.sessionId(), op.argument(), name);
        for (String d : op.items()) {
            if (duties.size() < MOST_DUTIES) {
                duties.computeIfAbsent(d, Duty::new);
            }
        }
        return "";
    }

    private String beat(Command op) {
        heartbeatRounds++;
        op.heartbeats()
                .forEach(
                        (id, n) -> {
                            Session s = sessions.get(id);
                            if (s != null) {
                                s.lastHeartbeat = Math.max(s.lastHeartbeat, n);
                            }
                        });
        losses.values().removeIf(l -> heartbeatRounds - l.last > FORGIVEN);
        return "";
    }

    private String expire(Command op) {
        Session s = sessions.get(op.sessionId());
        if (s == null) {
            return "";
        }
        if (s.lastHeartbeat != op.number()) {
            return "it was renewed since";
        }
        if (duties.values().stream().anyMatch(d -> d.owner.equals(s.id))) {
            Losses l = losses.computeIfAbsent(s.driverName(), n -> new Losses());
            l.count = Math.min(l.count + 1, LONGEST_WAIT);
            l.until = heartbeatRounds + (1L << l.count);
            l.last = heartbeatRounds;
        }
        return end(s.id, "lease ran out", op.proposedAtMs());
    }

    private String end(String id, String how, long wall) {
        if (sessions.remove(id) != null) {
            plan.sessionEnded(id, how.equals(LEFT));
            for (Duty d : duties.values()) {
                if (d.owner.equals(id)) {
                    free(d, how, wall);
                }
            }
        }
        return "";
    }

    private void free(Duty d, String how, long wall) {
        note(
                d,
                wall,
                driverNameOf(d.owner)
                        + " has it no more, epoch "
                        + d.epoch
                        + ": "
                        + how
                        + (d.run > 0 && d.outcome.isEmpty()
                                ? "; turn " + d.run + " has run or not"
                                : ""));
        if (d.outcome.isEmpty() && d.run > 0) {
            d.outcome = "unknown";
        }
        d.previousOwner = d.owner;
        d.owner = "";
        d.revision = revision;
    }

    private static void note(Duty d, long wall, String what) {
        d.history.add(wall + " " + what);
        if (d.history.size() > HISTORY) {
            d.history.poll();
        }
    }

    private String giveUp(Command op) {
        Duty d = held(op);
        if (d == null) {
            return "not held under epoch " + op.epoch();
        }
        free(d, "given up", op.proposedAtMs());
        return "";
    }

    private String voter(Command op) {
        if (voterChanges.size() >= MOST_VOTERS && !voterChanges.containsKey(op.argument())) {
            return "more than " + MOST_VOTERS + " changes of voters";
        }
        voterChanges.put(op.argument(), op.subject());
        return "";
    }

    private Duty held(Command op) {
        Duty d = duties.get(op.subject());
        return d != null
                        && d.epoch == op.epoch()
                        && d.owner.equals(op.sessionId())
                        && !op.sessionId().isEmpty()
                ? d
                : null;
    }

    private String handOver(Command op) {
        Duty d = duties.get(op.subject());
        if (d == null) {
            return "there is no duty '" + op.subject() + "'";
        }
        boolean any = op.argument().isEmpty();
        boolean there =
                sessions.values().stream()
                        .anyMatch(
                                s ->
                                        s.duties.contains(d.name)
                                                && (any
                                                        ? !s.id.equals(d.owner)
                                                        : s.driverName().equals(op.argument())));
        if (!there) {
            return any
                    ? "nobody else would do it"
                    : "'" + op.argument() + "' is not there or would not do it";
        }
        if (!any && driverNameOf(d.owner).equals(op.argument())) {
            return "";
        }
        d.handOverTarget = any ? "*" : op.argument();
        d.revision = revision;
        return "";
    }

    private String turn(Command op) {
        Duty d = held(op);
        if (d == null) {
            return "not held under epoch " + op.epoch();
        }
        if (op.number() != d.run + 1) {
            return op.number() == d.run ? "" : "turn " + (d.run + 1) + " is next";
        }
        d.run = op.number();
        d.outcome = "";
        d.revision = revision;
        return "";
    }

    private String told(Command op) {
        Duty d = held(op);
        if (d == null || d.run != op.number()) {
            return "not the turn that runs";
        }
        if (d.outcome.isEmpty()) {
            d.outcome = op.argument();
            d.revision = revision;
            note(
                    d,
                    op.proposedAtMs(),
                    "turn " + d.run + " of epoch " + d.epoch + ": " + op.argument());
        }
        return "";
    }

    /** Duties without an owner get one; who has more than its share is asked for the surplus. */
    private void give(long wall) {
        Map<String, Integer> load = new TreeMap<>();
        SortedSet<String> wanted = new TreeSet<>();
        for (Session s : sessions.values()) {
            wanted.addAll(s.duties);
            if (!s.duties.isEmpty()) {
                load.put(s.id, 0);
            }
        }
        for (Duty d : duties.values()) {
            load.computeIfPresent(d.owner, (s, n) -> n + 1);
        }
        int cap =
                RendezvousHashing.cap(
                        (int) duties.keySet().stream().filter(wanted::contains).count(),
                        load.size());
        for (Duty d : duties.values()) {
            if (d.owner.isEmpty()) {
                Session next = next(d, load, cap);
                if (next != null) {
                    d.owner = next.id;
                    d.epoch = ++epochs;
                    d.ownedSinceMs = wall;
                    d.handOverTarget = "";
                    d.revision = revision;
                    note(d, wall, next.driverName() + " has it, epoch " + d.epoch);
                    load.merge(next.id, 1, Integer::sum);
                }
            }
        }
        load.forEach((s, n) -> spread(s, n - cap));
        leaveMachines();
    }

    /**
     * Whoever is on a machine that drains is asked for all that it has, where somebody else would
     * do it.
     */
    private void leaveMachines() {
        for (Duty d : duties.values()) {
            if (!d.owner.isEmpty()
                    && d.handOverTarget.isEmpty()
                    && plan.isOnDrainingMachine(driverNameOf(d.owner))
                    && sessions.values().stream()
                            .anyMatch(
                                    s ->
                                            !s.id.equals(d.owner)
                                                    && s.duties.contains(d.name)
                                                    && !plan.isOnDrainingMachine(s.driverName()))) {
                d.handOverTarget = "*";
                d.revision = revision;
            }
        }
    }

    private Session next(Duty d, Map<String, Integer> load, int cap) {
        List<Session> may = new ArrayList<>();
        for (Session s : sessions.values()) {
            if (s.duties.contains(d.name)) {
                if (s.driverName().equals(d.handOverTarget)) {
                    return s;
                }
                may.add(s);
            }
        }
        // Each of these only where it leaves somebody: better a driver that loses it again than
        // nobody.
        keep(may, s -> !plan.isOnDrainingMachine(s.driverName()));
        keep(may, s -> !d.handOverTarget.equals("*") || !s.id.equals(d.previousOwner));
        keep(may, s -> !waits(s.driverName()));
        keep(may, s -> load.get(s.id) < cap);
        if (may.isEmpty()) {
            return null;
        }
        TreeMap<String, Session> byName = new TreeMap<>();
        may.forEach(s -> byName.put(s.driverName(), s));
        return byName.get(RendezvousHashing.most(d.name, byName.keySet()));
    }

    private static void keep(List<Session> of, Predicate<Session> which) {
        if (of.stream().anyMatch(which)) {
            of.removeIf(which.negate());
        }
    }

    private boolean waits(String driver) {
        Losses l = losses.get(driver);
        return l != null && l.until > heartbeatRounds;
    }

    private void spread(String session, int surplus) {
        List<Duty> own =
                new ArrayList<>(
                        duties.values().stream().filter(d -> d.owner.equals(session)).toList());
        int asked = (int) own.stream().filter(d -> !d.handOverTarget.isEmpty()).count();
        String driver = driverNameOf(session);
        own.removeIf(
                d ->
                        !d.handOverTarget.isEmpty()
                                || sessions.values().stream()
                                        .noneMatch(
                                                s ->
                                                        !s.id.equals(session)
                                                                && s.duties.contains(d.name)
                                                                && !waits(s.driverName())));
        own.sort(
                (a, b) ->
                        Long.compare(
                                RendezvousHashing.weight(a.name, driver),
                                RendezvousHashing.weight(b.name, driver)));
        for (int i = 0; i < Math.min(surplus - asked, own.size()); i++) {
            own.get(i).handOverTarget = "*";
            own.get(i).revision = revision;
        }
    }

    // ---- as a whole ----

    /** All of it, for a snapshot. */
    public Map<String, Object> snapshot() {
        Map<String, Object> all = new TreeMap<>();
        all.put("epochs", epochs);
        all.put("rounds", heartbeatRounds);
        all.put("revision", revision);
        all.put(
                "sessions",
                sessions.values().stream()
                        .map(
                                s ->
                                        List.of(
                                                s.id,
                                                s.identity,
                                                List.copyOf(s.duties),
                                                s.lastHeartbeat,
                                                s.openedAtMs))
                        .toList());
        all.put(
                "duties",
                duties.values().stream()
                        .map(
                                d ->
                                        List.of(
                                                d.name,
                                                d.owner,
                                                d.epoch,
                                                d.ownedSinceMs,
                                                d.run,
                                                d.outcome,
                                                d.handOverTarget,
                                                d.previousOwner,
                                                d.revision,
                                                List.copyOf(d.history)))
                        .toList());
        List<Object> lost = new ArrayList<>();
        losses.forEach((n, l) -> lost.add(List.of(n, (long) l.count, l.until, l.last)));
        all.put("losses", lost);
        all.put("voters", new TreeMap<>(voterChanges));
        all.put("late-orders", staleCommandCount);
        all.put("work", plan.snapshot());
        all.put("answers", answers.stream().map(a -> List.of(a[0], a[1])).toList());
        return all;
    }

    /** Takes over a snapshot in place of all that is there. */
    public void restore(Map<?, ?> all) {
        epochs = number(all.get("epochs"));
        heartbeatRounds = number(all.get("rounds"));
        revision = number(all.get("revision"));
        sessions.clear();
        duties.clear();
        losses.clear();
        answers.clear();
        for (List<?> s : lists(all.get("sessions"))) {
            List<String> mine = new ArrayList<>();
            ((List<?>) s.get(2)).forEach(d -> mine.add((String) d));
            sessions.put(
                    (String) s.get(0),
                    new Session(
                            (String) s.get(0),
                            (String) s.get(1),
                            mine,
                            number(s.get(3)),
                            number(s.get(4))));
        }
        for (List<?> l : lists(all.get("duties"))) {
            Duty d = new Duty((String) l.get(0));
            d.owner = (String) l.get(1);
            d.epoch = number(l.get(2));
            d.ownedSinceMs = number(l.get(3));
            d.run = number(l.get(4));
            d.outcome = (String) l.get(5);
            d.handOverTarget = (String) l.get(6);
            d.previousOwner = (String) l.get(7);
            d.revision = number(l.get(8));
            ((List<?>) l.get(9)).forEach(h -> d.history.add((String) h));
            duties.put(d.name, d);
        }
        for (List<?> l : lists(all.get("losses"))) {
            Losses lost = new Losses();
            lost.count = (int) number(l.get(1));
            lost.until = number(l.get(2));
            lost.last = number(l.get(3));
            losses.put((String) l.get(0), lost);
        }
        voterChanges.clear();
        ((Map<?, ?>) all.get("voters")).forEach((n, a) -> voterChanges.put((String) n, (String) a));
        staleCommandCount = all.get("late-orders") instanceof Number n ? n.longValue() : 0;
        plan.restore(all.get("work"));
        if (all.get("work") == null) {
            sessions.values().forEach(s -> plan.sessionOpened(s.id, s.identity, s.driverName()));
        }
        for (List<?> a : lists(all.get("answers"))) {
            answers.add(new String[] {(String) a.get(0), (String) a.get(1)});
        }
    }

    private static long number(Object n) {
        return ((Number) n).longValue();
    }

    private static List<List<?>> lists(Object of) {
        List<List<?>> all = new ArrayList<>();
        ((List<?>) of).forEach(l -> all.add((List<?>) l));
        return all;
    }
}
