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
    private static final int MAX_SESSIONS = 1024;
    private static final int MAX_DUTIES = 1024;
    private static final int MAX_HISTORY_LINES = 32;
    private static final int MAX_VOTER_CHANGES = 64;
    private static final int MAX_RECENT_RESULTS = 256;

    /**
     * A driver that let its leases run out k times waits two to the k rounds, at most two to this.
     */
    private static final int MAX_BACKOFF_EXPONENT = 10;

    private static final int REASSIGN_INTERVAL_ROUNDS = 16;
    private static final String REASON_LEFT = "left";

    /** So many rounds without another loss and it is as if there had been none. */
    private static final long LOSS_RETENTION_ROUNDS = 4096;

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
    private static final class LeaseLosses {
        int count;
        long backoffUntilRound;
        long lastLossRound;
    }

    private final TreeMap<String, Session> sessions = new TreeMap<>();
    private final TreeMap<String, Duty> duties = new TreeMap<>();

    /**
     * What was changed of the voters that the files name: an address, or empty for one taken out.
     */
    private final TreeMap<String, String> voterChanges = new TreeMap<>();

    private final TreeMap<String, LeaseLosses> leaseLosses = new TreeMap<>();

    /** The results of the newest asks that have a name, oldest first. */
    private final ArrayDeque<String[]> recentResults = new ArrayDeque<>();

    private final MaintenancePlan plan;
    private long lastEpoch;
    private long heartbeatRounds;
    private long revision;
    private long staleCommandCount;

    /**
     * @param first the council's first epoch is the next one
     */
    public DutyStateMachine(long initialEpoch) {
        this(initialEpoch, new MaintenancePlan());
    }

    /** The same with a plan of its own, for tests. */
    protected DutyStateMachine(long initialEpoch, MaintenancePlan plan) {
        lastEpoch = initialEpoch;
        this.plan = plan;
    }

    /** The driver that a session is of. */
    public static String driverNameOf(String sessionId) {
        int slash = sessionId.indexOf('/');
        return slash < 0 ? sessionId : sessionId.substring(0, slash);
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
    public String apply(Command command) {
        if (!command.requestId().isEmpty()) {
            for (String[] a : recentResults) {
                if (a[0].equals(command.requestId())) {
                    return a[1];
                }
            }
        }
        revision++;
        String result =
                switch (command.kind()) {
                    case TERM -> "";
                    case OPEN -> openSession(command);
                    case BEAT -> applyHeartbeats(command);
                    case EXPIRE -> expireSession(command);
                    case LEAVE ->
                            endSession(command.sessionId(), REASON_LEFT, command.proposedAtMs());
                    case GIVE_UP -> releaseDuty(command);
                    case HAND_OVER -> requestHandOver(command);
                    case TURN -> startRun(command);
                    case TOLD -> recordRunOutcome(command);
                    case VOTER -> changeVoter(command);
                    case WORK_MACHINES ->
                            applyControllerCommand(
                                    command, () -> plan.applyInventory(command.items()));
                    case WORK_ASK ->
                            plan.addRequest(
                                    command.subject(),
                                    command.requestId(),
                                    command.argument(),
                                    command.number(),
                                    command.epoch(),
                                    command.items(),
                                    command.proposedAtMs());
                    case WORK_WORD ->
                            plan.applyOperatorCommand(
                                    command.argument(), command.subject(), command.proposedAtMs());
                    case WORK_STEP ->
                            applyControllerCommand(
                                    command,
                                    () ->
                                            plan.applyStep(
                                                    command.subject(),
                                                    command.argument(),
                                                    command.number(),
                                                    command.items().get(0),
                                                    ownsNoDuty(command.subject()),
                                                    command.proposedAtMs()));
                    case WORK_REPORTS -> plan.applyReports(command.items());
                    case WORK_STOPPED ->
                            plan.driverStopped(
                                    command.argument(), command.number(), command.epoch());
                };
        if (!command.requestId().isEmpty()) {
            recentResults.add(new String[] {command.requestId(), result});
            if (recentResults.size() > MAX_RECENT_RESULTS) {
                recentResults.poll();
            }
        }
        // Beats are most of all ops, and change who has what only where somebody's wait has ended.
        if (command.kind() != Command.Kind.BEAT && command.kind() != Command.Kind.WORK_REPORTS
                || heartbeatRounds % REASSIGN_INTERVAL_ROUNDS == 0) {
            assignDuties(command.proposedAtMs());
        }
        return result;
    }

    /** An order of the conductor's: only under the epoch that is in force. */
    private String applyControllerCommand(Command command, Supplier<String> action) {
        if (!isFromCurrentController(command)) {
            staleCommandCount++;
            return "not the conductor under epoch " + command.epoch();
        }
        return action.get();
    }

    /** Whether an order comes from whoever conducts, under its epoch. */
    protected boolean isFromCurrentController(Command command) {
        Duty duty = duties.get(MaintenanceSettings.CONTROLLER_DUTY);
        return duty != null
                && duty.epoch == command.epoch()
                && duty.owner.equals(command.sessionId());
    }

    /** Whether no driver on the machine owns a duty. */
    private boolean ownsNoDuty(String machine) {
        return !plan.machines().containsKey(machine)
                || duties.values().stream()
                        .noneMatch(
                                duty ->
                                        !duty.owner.isEmpty()
                                                && plan.machines()
                                                        .get(machine)
                                                        .drivers()
                                                        .contains(driverNameOf(duty.owner)));
    }

    private String openSession(Command command) {
        if (sessions.containsKey(command.sessionId())) {
            return "";
        }
        String name = driverNameOf(command.sessionId());
        for (Session session : List.copyOf(sessions.values())) {
            if (session.driverName().equals(name)) {
                if (!session.identity.equals(command.argument())) {
                    return "another driver is known by the name '" + name + "'";
                }
                // The same state folder, whose lock only one process can have: the former one is
                // dead.
                endSession(session.id, "restarted", command.proposedAtMs());
            }
        }
        if (sessions.size() >= MAX_SESSIONS) {
            return "there are " + MAX_SESSIONS + " sessions already";
        }
        sessions.put(
                command.sessionId(),
                new Session(
                        command.sessionId(),
                        command.argument(),
                        command.items(),
                        0,
                        command.proposedAtMs()));
        plan.sessionOpened(command.sessionId(), command.argument(), name);
        for (String duty : command.items()) {
            if (duties.size() < MAX_DUTIES) {
                duties.computeIfAbsent(duty, Duty::new);
            }
        }
        return "";
    }

    private String applyHeartbeats(Command command) {
        heartbeatRounds++;
        command.heartbeats()
                .forEach(
                        (id, heartbeat) -> {
                            Session session = sessions.get(id);
                            if (session != null) {
                                session.lastHeartbeat = Math.max(session.lastHeartbeat, heartbeat);
                            }
                        });
        leaseLosses
                .values()
                .removeIf(losses -> heartbeatRounds - losses.lastLossRound > LOSS_RETENTION_ROUNDS);
        return "";
    }

    private String expireSession(Command command) {
        Session session = sessions.get(command.sessionId());
        if (session == null) {
            return "";
        }
        if (session.lastHeartbeat != command.number()) {
            return "it was renewed since";
        }
        if (duties.values().stream().anyMatch(duty -> duty.owner.equals(session.id))) {
            LeaseLosses losses =
                    leaseLosses.computeIfAbsent(session.driverName(), n -> new LeaseLosses());
            losses.count = Math.min(losses.count + 1, MAX_BACKOFF_EXPONENT);
            losses.backoffUntilRound = heartbeatRounds + (1L << losses.count);
            losses.lastLossRound = heartbeatRounds;
        }
        return endSession(session.id, "lease ran out", command.proposedAtMs());
    }

    private String endSession(String id, String reason, long proposedAtMs) {
        if (sessions.remove(id) != null) {
            plan.sessionEnded(id, reason.equals(REASON_LEFT));
            for (Duty duty : duties.values()) {
                if (duty.owner.equals(id)) {
                    clearOwner(duty, reason, proposedAtMs);
                }
            }
        }
        return "";
    }

    private void clearOwner(Duty duty, String reason, long proposedAtMs) {
        addHistory(
                duty,
                proposedAtMs,
                driverNameOf(duty.owner)
                        + " has it no more, epoch "
                        + duty.epoch
                        + ": "
                        + reason
                        + (duty.run > 0 && duty.outcome.isEmpty()
                                ? "; turn " + duty.run + " has run or not"
                                : ""));
        if (duty.outcome.isEmpty() && duty.run > 0) {
            duty.outcome = "unknown";
        }
        duty.previousOwner = duty.owner;
        duty.owner = "";
        duty.revision = revision;
    }

    private static void addHistory(Duty duty, long proposedAtMs, String text) {
        duty.history.add(proposedAtMs + " " + text);
        if (duty.history.size() > MAX_HISTORY_LINES) {
            duty.history.poll();
        }
    }

    private String releaseDuty(Command command) {
        Duty duty = heldDuty(command);
        if (duty == null) {
            return "not held under epoch " + command.epoch();
        }
        clearOwner(duty, "given up", command.proposedAtMs());
        return "";
    }

    private String changeVoter(Command command) {
        if (voterChanges.size() >= MAX_VOTER_CHANGES
                && !voterChanges.containsKey(command.argument())) {
            return "more than " + MAX_VOTER_CHANGES + " changes of voters";
        }
        voterChanges.put(command.argument(), command.subject());
        return "";
    }

    private Duty heldDuty(Command command) {
        Duty duty = duties.get(command.subject());
        return duty != null
                        && duty.epoch == command.epoch()
                        && duty.owner.equals(command.sessionId())
                        && !command.sessionId().isEmpty()
                ? duty
                : null;
    }

    private String requestHandOver(Command command) {
        Duty duty = duties.get(command.subject());
        if (duty == null) {
            return "there is no duty '" + command.subject() + "'";
        }
        boolean anyDriver = command.argument().isEmpty();
        boolean hasCandidate =
                sessions.values().stream()
                        .anyMatch(
                                session ->
                                        session.duties.contains(duty.name)
                                                && (anyDriver
                                                        ? !session.id.equals(duty.owner)
                                                        : session.driverName()
                                                                .equals(command.argument())));
        if (!hasCandidate) {
            return anyDriver
                    ? "nobody else would do it"
                    : "'" + command.argument() + "' is not there or would not do it";
        }
        if (!anyDriver && driverNameOf(duty.owner).equals(command.argument())) {
            return "";
        }
        duty.handOverTarget = anyDriver ? "*" : command.argument();
        duty.revision = revision;
        return "";
    }

    private String startRun(Command command) {
        Duty duty = heldDuty(command);
        if (duty == null) {
            return "not held under epoch " + command.epoch();
        }
        if (command.number() != duty.run + 1) {
            return command.number() == duty.run ? "" : "turn " + (duty.run + 1) + " is next";
        }
        duty.run = command.number();
        duty.outcome = "";
        duty.revision = revision;
        return "";
    }

    private String recordRunOutcome(Command command) {
        Duty duty = heldDuty(command);
        if (duty == null || duty.run != command.number()) {
            return "not the turn that runs";
        }
        if (duty.outcome.isEmpty()) {
            duty.outcome = command.argument();
            duty.revision = revision;
            addHistory(
                    duty,
                    command.proposedAtMs(),
                    "turn " + duty.run + " of epoch " + duty.epoch + ": " + command.argument());
        }
        return "";
    }

    /** Duties without an owner get one; who has more than its share is asked for the surplus. */
    private void assignDuties(long proposedAtMs) {
        Map<String, Integer> dutyCountBySession = new TreeMap<>();
        SortedSet<String> acceptedDuties = new TreeSet<>();
        for (Session session : sessions.values()) {
            acceptedDuties.addAll(session.duties);
            if (!session.duties.isEmpty()) {
                dutyCountBySession.put(session.id, 0);
            }
        }
        for (Duty duty : duties.values()) {
            dutyCountBySession.computeIfPresent(duty.owner, (session, n) -> n + 1);
        }
        int maxPerSession =
                RendezvousHashing.maxDutiesPerDriver(
                        (int) duties.keySet().stream().filter(acceptedDuties::contains).count(),
                        dutyCountBySession.size());
        for (Duty duty : duties.values()) {
            if (duty.owner.isEmpty()) {
                Session newOwner = chooseOwner(duty, dutyCountBySession, maxPerSession);
                if (newOwner != null) {
                    duty.owner = newOwner.id;
                    duty.epoch = ++lastEpoch;
                    duty.ownedSinceMs = proposedAtMs;
                    duty.handOverTarget = "";
                    duty.revision = revision;
                    addHistory(
                            duty,
                            proposedAtMs,
                            newOwner.driverName() + " has it, epoch " + duty.epoch);
                    dutyCountBySession.merge(newOwner.id, 1, Integer::sum);
                }
            }
        }
        dutyCountBySession.forEach((session, n) -> releaseSurplus(session, n - maxPerSession));
        releaseOnDrainingMachines();
    }

    /**
     * Whoever is on a machine that drains is asked for all that it has, where somebody else would
     * do it.
     */
    private void releaseOnDrainingMachines() {
        for (Duty duty : duties.values()) {
            if (!duty.owner.isEmpty()
                    && duty.handOverTarget.isEmpty()
                    && plan.isOnDrainingMachine(driverNameOf(duty.owner))
                    && sessions.values().stream()
                            .anyMatch(
                                    session ->
                                            !session.id.equals(duty.owner)
                                                    && session.duties.contains(duty.name)
                                                    && !plan.isOnDrainingMachine(
                                                            session.driverName()))) {
                duty.handOverTarget = "*";
                duty.revision = revision;
            }
        }
    }

    private Session chooseOwner(
            Duty duty, Map<String, Integer> dutyCountBySession, int maxPerSession) {
        List<Session> candidates = new ArrayList<>();
        for (Session session : sessions.values()) {
            if (session.duties.contains(duty.name)) {
                if (session.driverName().equals(duty.handOverTarget)) {
                    return session;
                }
                candidates.add(session);
            }
        }
        // Each of these only where it leaves somebody: better a driver that loses it again than
        // nobody.
        retainIfAny(candidates, session -> !plan.isOnDrainingMachine(session.driverName()));
        retainIfAny(
                candidates,
                session ->
                        !duty.handOverTarget.equals("*") || !session.id.equals(duty.previousOwner));
        retainIfAny(candidates, session -> !isBackedOff(session.driverName()));
        retainIfAny(candidates, session -> dutyCountBySession.get(session.id) < maxPerSession);
        if (candidates.isEmpty()) {
            return null;
        }
        TreeMap<String, Session> byName = new TreeMap<>();
        candidates.forEach(session -> byName.put(session.driverName(), session));
        return byName.get(RendezvousHashing.select(duty.name, byName.keySet()));
    }

    private static void retainIfAny(List<Session> candidates, Predicate<Session> condition) {
        if (candidates.stream().anyMatch(condition)) {
            candidates.removeIf(condition.negate());
        }
    }

    private boolean isBackedOff(String driver) {
        LeaseLosses losses = leaseLosses.get(driver);
        return losses != null && losses.backoffUntilRound > heartbeatRounds;
    }

    private void releaseSurplus(String sessionId, int surplus) {
        List<Duty> ownedDuties =
                new ArrayList<>(
                        duties.values().stream()
                                .filter(duty -> duty.owner.equals(sessionId))
                                .toList());
        int pendingReleases =
                (int) ownedDuties.stream().filter(duty -> !duty.handOverTarget.isEmpty()).count();
        String driver = driverNameOf(sessionId);
        ownedDuties.removeIf(
                duty ->
                        !duty.handOverTarget.isEmpty()
                                || sessions.values().stream()
                                        .noneMatch(
                                                session ->
                                                        !session.id.equals(sessionId)
                                                                && session.duties.contains(
                                                                        duty.name)
                                                                && !isBackedOff(
                                                                        session.driverName())));
        ownedDuties.sort(
                (a, b) ->
                        Long.compare(
                                RendezvousHashing.weight(a.name, driver),
                                RendezvousHashing.weight(b.name, driver)));
        for (int i = 0; i < Math.min(surplus - pendingReleases, ownedDuties.size()); i++) {
            ownedDuties.get(i).handOverTarget = "*";
            ownedDuties.get(i).revision = revision;
        }
    }

    // ---- as a whole ----

    /** All of it, for a snapshot. */
    public Map<String, Object> snapshot() {
        Map<String, Object> state = new TreeMap<>();
        state.put("epochs", lastEpoch);
        state.put("rounds", heartbeatRounds);
        state.put("revision", revision);
        state.put(
                "sessions",
                sessions.values().stream()
                        .map(
                                session ->
                                        List.of(
                                                session.id,
                                                session.identity,
                                                List.copyOf(session.duties),
                                                session.lastHeartbeat,
                                                session.openedAtMs))
                        .toList());
        state.put(
                "duties",
                duties.values().stream()
                        .map(
                                duty ->
                                        List.of(
                                                duty.name,
                                                duty.owner,
                                                duty.epoch,
                                                duty.ownedSinceMs,
                                                duty.run,
                                                duty.outcome,
                                                duty.handOverTarget,
                                                duty.previousOwner,
                                                duty.revision,
                                                List.copyOf(duty.history)))
                        .toList());
        List<Object> lost = new ArrayList<>();
        leaseLosses.forEach(
                (n, losses) ->
                        lost.add(
                                List.of(
                                        n,
                                        (long) losses.count,
                                        losses.backoffUntilRound,
                                        losses.lastLossRound)));
        state.put("losses", lost);
        state.put("voters", new TreeMap<>(voterChanges));
        state.put("late-orders", staleCommandCount);
        state.put("work", plan.snapshot());
        state.put("answers", recentResults.stream().map(a -> List.of(a[0], a[1])).toList());
        return state;
    }

    /** Takes over a snapshot in place of all that is there. */
    public void restore(Map<?, ?> state) {
        lastEpoch = number(state.get("epochs"));
        heartbeatRounds = number(state.get("rounds"));
        revision = number(state.get("revision"));
        sessions.clear();
        duties.clear();
        leaseLosses.clear();
        recentResults.clear();
        for (List<?> values : lists(state.get("sessions"))) {
            List<String> mine = new ArrayList<>();
            ((List<?>) values.get(2)).forEach(duty -> mine.add((String) duty));
            sessions.put(
                    (String) values.get(0),
                    new Session(
                            (String) values.get(0),
                            (String) values.get(1),
                            mine,
                            number(values.get(3)),
                            number(values.get(4))));
        }
        for (List<?> values : lists(state.get("duties"))) {
            Duty duty = new Duty((String) values.get(0));
            duty.owner = (String) values.get(1);
            duty.epoch = number(values.get(2));
            duty.ownedSinceMs = number(values.get(3));
            duty.run = number(values.get(4));
            duty.outcome = (String) values.get(5);
            duty.handOverTarget = (String) values.get(6);
            duty.previousOwner = (String) values.get(7);
            duty.revision = number(values.get(8));
            ((List<?>) values.get(9)).forEach(h -> duty.history.add((String) h));
            duties.put(duty.name, duty);
        }
        for (List<?> values : lists(state.get("losses"))) {
            LeaseLosses lost = new LeaseLosses();
            lost.count = (int) number(values.get(1));
            lost.backoffUntilRound = number(values.get(2));
            lost.lastLossRound = number(values.get(3));
            leaseLosses.put((String) values.get(0), lost);
        }
        voterChanges.clear();
        ((Map<?, ?>) state.get("voters"))
                .forEach((n, a) -> voterChanges.put((String) n, (String) a));
        staleCommandCount = state.get("late-orders") instanceof Number n ? n.longValue() : 0;
        plan.restore(state.get("work"));
        if (state.get("work") == null) {
            sessions.values()
                    .forEach(
                            values ->
                                    plan.sessionOpened(
                                            values.id, values.identity, values.driverName()));
        }
        for (List<?> a : lists(state.get("answers"))) {
            recentResults.add(new String[] {(String) a.get(0), (String) a.get(1)});
        }
    }

    private static long number(Object value) {
        return ((Number) value).longValue();
    }

    private static List<List<?>> lists(Object value) {
        List<List<?>> result = new ArrayList<>();
        ((List<?>) value).forEach(item -> result.add((List<?>) item));
        return result;
    }
}
