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
 * The replicated state machine of the fleet's voters: sessions, duties with their owners and
 * epochs, changes of voters and the maintenance plan. All voters apply the same log entries in
 * order and reach the same state, byte for byte: it reads no clock, uses no randomness and iterates
 * in order of names.
 *
 * <p>Its only measure of time is the number of committed heartbeat rounds, which is coarse but the
 * same in every voter.
 */
public class DutyStateMachine {
    private static final int MAX_SESSIONS = 1024;
    private static final int MAX_DUTIES = 1024;
    private static final int MAX_HISTORY_LINES = 32;
    private static final int MAX_VOTER_CHANGES = 64;
    private static final int MAX_RECENT_RESULTS = 256;

    /**
     * Exponential backoff: a driver whose lease has expired k times while it owned duties gets none
     * for 2^k rounds if another driver accepts them. This is the largest k.
     */
    private static final int MAX_BACKOFF_EXPONENT = 10;

    /**
     * Duties are reassigned on every so many heartbeat rounds, so that drivers whose backoff has
     * ended are considered.
     */
    private static final int REASSIGN_INTERVAL_ROUNDS = 16;

    private static final String REASON_LEFT = "left";

    /** Value of {@link Duty#handOverTarget} that stands for any driver but the owner. */
    private static final String ANY_OTHER_DRIVER = "*";

    /** A driver's lost leases are forgotten after so many rounds without another one. */
    private static final long LOSS_RETENTION_ROUNDS = 4096;

    /** The session of a driver with the voters, which renews its lease by heartbeats. */
    public static final class Session {
        final String id;

        /** Identity of the driver's state folder. */
        final String identity;

        final SortedSet<String> duties;
        long lastHeartbeat;
        final long openedAtMs;

        Session(
                String id,
                String identity,
                Collection<String> duties,
                long lastHeartbeat,
                long openedAtMs) {
            this.id = id;
            this.identity = identity;
            this.duties = new TreeSet<>(duties);
            this.lastHeartbeat = lastHeartbeat;
            this.openedAtMs = openedAtMs;
        }

        public String id() {
            return id;
        }

        /** Returns the name of the driver; session ids have the form {@code DRIVER/NUMBER}. */
        public String driverName() {
            return driverNameOf(id);
        }

        /** Returns the number of the newest committed heartbeat. */
        public long lastHeartbeat() {
            return lastHeartbeat;
        }

        /** Returns the opening time in Unix milliseconds, by the wall clock of the proposer. */
        public long openedAtMs() {
            return openedAtMs;
        }
    }

    /** A singleton task and its owner. {@code owner} is a session id, or empty. */
    public static final class Duty {
        final String name;
        String owner = "";

        /** Fencing token: grows each time any duty gets an owner. */
        long epoch;

        /** Wall clock of the proposer when the owner was chosen, in Unix milliseconds. */
        long ownedSinceMs;

        /** Number of the newest run that was started, or 0; histories call a run a turn. */
        long run;

        /** Outcome of the newest run; empty until it has been reported. */
        String outcome = "";

        /**
         * If not empty, the owner is asked to release the duty to the driver named, or to any other
         * one if {@link #ANY_OTHER_DRIVER}.
         */
        String handOverTarget = "";

        /** The session that owned the duty last. */
        String previousOwner = "";

        /** Revision of the state machine at which the duty changed last. */
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

    /** The expired leases of a driver, for its backoff. */
    private static final class LeaseLosses {
        int count;
        long backoffUntilRound;
        long lastLossRound;
    }

    private final TreeMap<String, Session> sessions = new TreeMap<>();
    private final TreeMap<String, Duty> duties = new TreeMap<>();

    /** Voters changed since the founding: addresses by name, empty for those removed. */
    private final TreeMap<String, String> voterChanges = new TreeMap<>();

    private final TreeMap<String, LeaseLosses> leaseLosses = new TreeMap<>();

    /** Request ids and results of the newest commands that have a request id, oldest first. */
    private final ArrayDeque<String[]> recentResults = new ArrayDeque<>();

    private final MaintenancePlan plan;
    private long lastEpoch;
    private long heartbeatRounds;
    private long revision;
    private long staleCommandCount;

    /**
     * Creates the initial state.
     *
     * @param initialEpoch the first epoch assigned is the one after it
     */
    public DutyStateMachine(long initialEpoch) {
        this(initialEpoch, new MaintenancePlan());
    }

    /** Creates the initial state with a plan of the caller's, for tests. */
    protected DutyStateMachine(long initialEpoch, MaintenancePlan plan) {
        lastEpoch = initialEpoch;
        this.plan = plan;
    }

    /** Returns the name of the driver that a session belongs to. */
    public static String driverNameOf(String sessionId) {
        int slash = sessionId.indexOf('/');
        return slash < 0 ? sessionId : sessionId.substring(0, slash);
    }

    public Collection<Session> sessions() {
        return sessions.values();
    }

    /**
     * Returns the changes of the voters since the founding: addresses by name, empty for those
     * removed.
     */
    public Map<String, String> voterChanges() {
        return voterChanges;
    }

    /** Returns the committed maintenance plan. */
    public MaintenancePlan plan() {
        return plan;
    }

    /**
     * Returns how many of a maintenance controller's commands were refused because they came under
     * a stale epoch.
     */
    public long staleCommandCount() {
        return staleCommandCount;
    }

    /** Returns the session, or null. */
    public Session session(String id) {
        return sessions.get(id);
    }

    public Collection<Duty> duties() {
        return duties.values();
    }

    /** Returns the duty, or null. */
    public Duty duty(String name) {
        return duties.get(name);
    }

    /** Returns the number of applied commands. */
    public long revision() {
        return revision;
    }

    /** Returns the number of committed heartbeat rounds. */
    public long heartbeatRounds() {
        return heartbeatRounds;
    }

    /**
     * Applies one committed command. Returns an empty string if it took effect or had done so
     * before, else the reason why it did not. The texts are part of the replicated state.
     */
    public String apply(Command command) {
        if (!command.requestId().isEmpty()) {
            for (String[] recent : recentResults) {
                if (recent[0].equals(command.requestId())) {
                    return recent[1];
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
        // Heartbeats and reports are by far the most frequent commands; owners can change after a
        // heartbeat only when a driver's backoff has ended, so they are not recomputed each time.
        if (command.kind() != Command.Kind.BEAT && command.kind() != Command.Kind.WORK_REPORTS
                || heartbeatRounds % REASSIGN_INTERVAL_ROUNDS == 0) {
            assignDuties(command.proposedAtMs());
        }
        return result;
    }

    /**
     * Applies a maintenance controller's command, which is refused under any epoch but the current
     * one.
     */
    private String applyControllerCommand(Command command, Supplier<String> action) {
        if (!isFromCurrentController(command)) {
            staleCommandCount++;
            return "not the conductor under epoch " + command.epoch();
        }
        return action.get();
    }

    /**
     * Returns whether a command comes from the current owner of the controller's duty, under its
     * epoch.
     */
    protected boolean isFromCurrentController(Command command) {
        Duty duty = duties.get(MaintenanceSettings.CONTROLLER_DUTY);
        return duty != null
                && duty.epoch == command.epoch()
                && duty.owner.equals(command.sessionId());
    }

    /** Returns whether no driver on the machine owns a duty. */
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
                // The same identity means the same state folder, whose lock only one process can
                // hold, so the former process has ended.
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
                    leaseLosses.computeIfAbsent(session.driverName(), name -> new LeaseLosses());
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

    /**
     * Returns the command's duty if the command's session owns it under the command's epoch, else
     * null.
     */
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
        duty.handOverTarget = anyDriver ? ANY_OTHER_DRIVER : command.argument();
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

    /**
     * Assigns the duties that have no owner, and asks drivers with more than their share to release
     * the surplus.
     */
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
            dutyCountBySession.computeIfPresent(duty.owner, (sessionId, count) -> count + 1);
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
        dutyCountBySession.forEach(
                (sessionId, count) -> releaseSurplus(sessionId, count - maxPerSession));
        releaseOnDrainingMachines();
    }

    /**
     * Asks drivers on draining machines to release all their duties that another driver accepts.
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
                duty.handOverTarget = ANY_OTHER_DRIVER;
                duty.revision = revision;
            }
        }
    }

    /** Returns the session that the duty goes to, or null if no session accepts it. */
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
        // Preferences, each applied only if a candidate is left: an owner that is likely to lose
        // the duty again is better than none.
        retainIfAny(candidates, session -> !plan.isOnDrainingMachine(session.driverName()));
        retainIfAny(
                candidates,
                session ->
                        !duty.handOverTarget.equals(ANY_OTHER_DRIVER)
                                || !session.id.equals(duty.previousOwner));
        retainIfAny(candidates, session -> !isBackedOff(session.driverName()));
        retainIfAny(candidates, session -> dutyCountBySession.get(session.id) < maxPerSession);
        if (candidates.isEmpty()) {
            return null;
        }
        TreeMap<String, Session> byName = new TreeMap<>();
        candidates.forEach(session -> byName.put(session.driverName(), session));
        return byName.get(RendezvousHashing.select(duty.name, byName.keySet()));
    }

    /** Keeps only the candidates that meet the condition, unless none does. */
    private static void retainIfAny(List<Session> candidates, Predicate<Session> condition) {
        if (candidates.stream().anyMatch(condition)) {
            candidates.removeIf(condition.negate());
        }
    }

    /** Returns whether the driver is kept from new duties because its leases expired lately. */
    private boolean isBackedOff(String driver) {
        LeaseLosses losses = leaseLosses.get(driver);
        return losses != null && losses.backoffUntilRound > heartbeatRounds;
    }

    /**
     * Asks a session to release as many duties as it has over its share, the ones with the least
     * weight first, as far as another driver would accept them.
     */
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
            ownedDuties.get(i).handOverTarget = ANY_OTHER_DRIVER;
            ownedDuties.get(i).revision = revision;
        }
    }

    // ---- snapshots ----

    /** Returns the whole state as plain values, for a snapshot. */
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
                (driver, losses) ->
                        lost.add(
                                List.of(
                                        driver,
                                        (long) losses.count,
                                        losses.backoffUntilRound,
                                        losses.lastLossRound)));
        state.put("losses", lost);
        state.put("voters", new TreeMap<>(voterChanges));
        state.put("late-orders", staleCommandCount);
        state.put("work", plan.snapshot());
        state.put(
                "answers",
                recentResults.stream().map(request -> List.of(request[0], request[1])).toList());
        return state;
    }

    /** Replaces the whole state by a snapshot's. */
    public void restore(Map<?, ?> state) {
        lastEpoch = number(state.get("epochs"));
        heartbeatRounds = number(state.get("rounds"));
        revision = number(state.get("revision"));
        sessions.clear();
        duties.clear();
        leaseLosses.clear();
        recentResults.clear();
        for (List<?> values : lists(state.get("sessions"))) {
            List<String> acceptedDuties = new ArrayList<>();
            ((List<?>) values.get(2)).forEach(duty -> acceptedDuties.add((String) duty));
            sessions.put(
                    (String) values.get(0),
                    new Session(
                            (String) values.get(0),
                            (String) values.get(1),
                            acceptedDuties,
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
            ((List<?>) values.get(9)).forEach(line -> duty.history.add((String) line));
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
                .forEach((name, address) -> voterChanges.put((String) name, (String) address));
        staleCommandCount =
                state.get("late-orders") instanceof Number count ? count.longValue() : 0;
        plan.restore(state.get("work"));
        if (state.get("work") == null) {
            sessions.values()
                    .forEach(
                            session ->
                                    plan.sessionOpened(
                                            session.id, session.identity, session.driverName()));
        }
        for (List<?> values : lists(state.get("answers"))) {
            recentResults.add(new String[] {(String) values.get(0), (String) values.get(1)});
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
