package wingroad.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides the next maintenance steps from the committed plan and from what its driver has observed
 * of the members. It only proposes: the replicated plan refuses every step that breaks a limit or
 * comes under a stale epoch. No I/O; the clock is passed in.
 */
public final class MaintenanceController {
    /**
     * The largest fraction of its capacity that a member may use after another member of its group
     * is taken out.
     */
    private static final double MAX_CAPACITY_USE = 0.8;

    /**
     * A machine that was put back because of harm is considered again after so many watch periods.
     */
    private static final int COOLDOWN_WATCH_PERIODS = 3;

    /**
     * While a machine drains, the remaining members may lag behind the log by so many times the
     * usual limit.
     */
    private static final int DRAINING_LAG_FACTOR = 2;

    /**
     * An operator is alerted if drivers have not confirmed an announcement for so many watch
     * periods.
     */
    private static final int CONFIRMATION_ALERT_WATCH_PERIODS = 6;

    /**
     * Limits the machines considered in one pass to so many times the concurrent ones, plus {@link
     * #EXTRA_CANDIDATES}, because all of their members have to be observed.
     */
    private static final int CANDIDATES_PER_SLOT = 2;

    /** See {@link #CANDIDATES_PER_SLOT}. */
    private static final int EXTRA_CANDIDATES = 8;

    /**
     * A proposed step.
     *
     * @param target a stage's name, {@code IN} (back in service) or {@code note} (only the note
     *     changes)
     * @param stageRevision the machine's stage revision that the step is based on
     */
    public record Step(String machine, String target, long stageRevision, String reason) {}

    private final MaintenanceSettings settings;
    private final HarmMonitor harmMonitor;
    private final GroupCapacity groupCapacity;
    private final Collection<String> voters;
    private final Map<String, Duration> returningSince = new TreeMap<>();
    private final Map<String, Duration> unhealthySince = new HashMap<>();
    private final Map<String, Duration> cooldownUntil = new HashMap<>();
    private final Map<String, String> pendingAlerts = new HashMap<>();
    private final Map<Integer, Long> previousBusyMs = new TreeMap<>();
    private final Map<Integer, Double> concurrentTxns = new TreeMap<>();
    private final Map<String, Duration> plannedSince = new HashMap<>();

    /** Planned machines whose missing confirmations were already alerted on. */
    private final Set<String> confirmationAlerted = new HashSet<>();

    /** Machines whose deadline was already alerted on. */
    private final Set<String> deadlineAlerted = new HashSet<>();

    private Duration busySampledAt;

    /** Machines that are out, as of the last pass. */
    private Set<String> outMachines = Set.of();

    /** Machines that the current pass starts to drain. */
    private final Set<String> chosenToDrain = new HashSet<>();

    /** Machines whose members the last pass had to consider. */
    private final Set<String> consideredMachines = new HashSet<>();

    /** When a machine was last seen to go out, or null. */
    private Duration lastOutAt;

    /**
     * Creates a controller without observations.
     *
     * @param voters names of the voters; never more of them are taken out than a majority can spare
     */
    public MaintenanceController(MaintenanceSettings settings, Collection<String> voters) {
        this.settings = settings;
        this.voters = voters;
        harmMonitor = new HarmMonitor(settings.watchPeriod(), settings.maxHarmIncrease());
        groupCapacity = new GroupCapacity(settings.watchPeriod());
    }

    /**
     * Returns the alerts for operators since the last call: texts by machine. Each is returned
     * once.
     */
    public Map<String, String> takeAlerts() {
        Map<String, String> alerts = new TreeMap<>(pendingAlerts);
        pendingAlerts.clear();
        return alerts;
    }

    /** Returns the groups whose members must be observed for the next pass. */
    public Set<Integer> groupsToObserve(PlanCopy plan) {
        Set<Integer> groups = new TreeSet<>();
        consideredMachines.stream()
                .map(machine -> plan.machines().get(machine))
                .filter(machine -> machine != null)
                .forEach(machine -> groups.addAll(machine.groups()));
        return groups;
    }

    /**
     * Returns the next steps. They are proposed again in each pass until they are seen committed.
     *
     * @param nowMs wall clock in Unix milliseconds, for deadlines
     * @param now monotonic clock
     */
    public List<Step> nextSteps(
            PlanCopy plan, MemberObservations observations, long nowMs, Duration now) {
        List<Step> steps = new ArrayList<>();
        List<MaintenancePlan.Entry> entries = new ArrayList<>(plan.entries());
        chosenToDrain.clear();
        consideredMachines.clear();
        entries.stream()
                .filter(entry -> entry.stage.announced())
                .forEach(entry -> consideredMachines.add(entry.machine));
        boolean maintenanceRunning =
                entries.stream()
                        .anyMatch(
                                entry ->
                                        entry.stage == MaintenanceStage.DRAINING
                                                || entry.stage == MaintenanceStage.OUT
                                                || entry.stage == MaintenanceStage.RETURNING);
        harmMonitor.addSample(plan.servedCount(), plan.harmedCount(), maintenanceRunning, now);
        updateConcurrency(plan, now);
        Set<String> nowOut = new HashSet<>();
        entries.stream()
                .filter(entry -> entry.stage == MaintenanceStage.OUT)
                .forEach(entry -> nowOut.add(entry.machine));
        if (!outMachines.containsAll(nowOut)) {
            lastOutAt = now;
        }
        outMachines = nowOut;
        returningSince
                .keySet()
                .removeIf(
                        machine ->
                                plan.entry(machine) == null
                                        || plan.entry(machine).stage != MaintenanceStage.RETURNING);
        plannedSince
                .keySet()
                .removeIf(
                        machine ->
                                plan.entry(machine) == null
                                        || plan.entry(machine).stage != MaintenanceStage.PLANNED);
        confirmationAlerted.retainAll(plannedSince.keySet());
        deadlineAlerted.removeIf(machine -> plan.entry(machine) == null);
        cooldownUntil.values().removeIf(until -> now.compareTo(until) >= 0);
        for (MaintenancePlan.Entry entry : entries) {
            Machine machine = plan.machines().get(entry.machine);
            if (machine != null) {
                switch (entry.stage) {
                    case PLANNED ->
                            stepPlanned(entry, machine, plan, observations, nowMs, now, steps);
                    case DRAINING -> stepDraining(entry, machine, observations, now, steps);
                    case OUT -> stepOut(entry, machine, observations, nowMs, now, steps);
                    case RETURNING -> stepReturning(entry, machine, observations, now, steps);
                    default -> checkDeadline(entry, nowMs, steps);
                }
            }
        }
        if (!plan.held()) {
            announceNext(entries, plan, observations, now, steps);
        }
        return steps;
    }

    /**
     * Alerts once about a machine that cannot be out before its deadline any more; it keeps
     * waiting.
     */
    private void checkDeadline(MaintenancePlan.Entry entry, long nowMs, List<Step> steps) {
        long minDrainMs = settings.drainGrace().plus(settings.watchPeriod()).toMillis();
        if (entry.deadlineMs > 0
                && nowMs + minDrainMs > entry.deadlineMs
                && deadlineAlerted.add(entry.machine)) {
            pendingAlerts.put(
                    entry.machine,
                    "PAGE: must be out before "
                            + java.time.Instant.ofEpochMilli(entry.deadlineMs)
                            + " and is still "
                            + entry.stage.name().toLowerCase(Locale.ROOT)
                            + (entry.note.isEmpty() ? "" : ": " + entry.note));
            steps.add(
                    new Step(
                            entry.machine,
                            "note",
                            entry.stageRevision,
                            "PAGE: too late for its time"));
        }
    }

    /**
     * Updates the mean number of txns in progress at the members of each group, from the sums of
     * the drivers' reports.
     */
    private void updateConcurrency(PlanCopy plan, Duration now) {
        if (busySampledAt != null
                && now.minus(busySampledAt).compareTo(settings.watchPeriod().dividedBy(4)) < 0) {
            return;
        }
        if (busySampledAt != null) {
            double elapsedMs = Math.max(1, now.minus(busySampledAt).toMillis());
            plan.busyMsByGroup()
                    .forEach(
                            (group, busyMs) -> {
                                if (previousBusyMs.containsKey(group)
                                        && busyMs >= previousBusyMs.get(group)) {
                                    concurrentTxns.put(
                                            group,
                                            (busyMs - previousBusyMs.get(group)) / elapsedMs);
                                }
                            });
        }
        busySampledAt = now;
        previousBusyMs.clear();
        previousBusyMs.putAll(plan.busyMsByGroup());
        concurrentTxns.keySet().retainAll(plan.busyMsByGroup().keySet());
    }

    private void stepPlanned(
            MaintenancePlan.Entry entry,
            Machine machine,
            PlanCopy plan,
            MemberObservations observations,
            long nowMs,
            Duration now,
            List<Step> steps) {
        Duration since = plannedSince.computeIfAbsent(entry.machine, key -> now);
        checkDeadline(entry, nowMs, steps);
        if (!entry.confirmedByAll) {
            if (now.minus(since)
                                    .compareTo(
                                            settings.watchPeriod()
                                                    .multipliedBy(CONFIRMATION_ALERT_WATCH_PERIODS))
                            > 0
                    && confirmationAlerted.add(entry.machine)) {
                pendingAlerts.put(
                        entry.machine,
                        "PAGE: some drivers have not confirmed the announcement for "
                                + now.minus(since).toSeconds()
                                + " s; 'work plan'"
                                + " lists them");
            }
            return;
        }
        String blocker = drainBlocker(entry, machine, plan, observations, now);
        if (blocker.isEmpty()) {
            chosenToDrain.add(entry.machine);
            steps.add(
                    new Step(
                            entry.machine,
                            MaintenanceStage.DRAINING.name(),
                            entry.stageRevision,
                            "everybody knows of it"));
        } else {
            setNote(entry, blocker, steps);
        }
    }

    /** Returns why a machine can't be drained now, or an empty string. */
    private String drainBlocker(
            MaintenancePlan.Entry entry,
            Machine machine,
            PlanCopy plan,
            MemberObservations observations,
            Duration now) {
        if (!harmMonitor.isCalm(now)
                || lastOutAt != null
                        && now.minus(lastOutAt).compareTo(settings.watchPeriod()) < 0) {
            return "watches for harm: "
                    + formatShare(harmMonitor.harmedShare())
                    + " of the txns, before "
                    + formatShare(harmMonitor.baseline());
        }
        String unhealthy = unhealthyPeer(machine, observations, now);
        if (!unhealthy.isEmpty()) {
            return unhealthy;
        }
        for (int group : machine.groups()) {
            String primary = observations.primary(group, now);
            if (primary == null) {
                return "no primary of group " + group + " is seen";
            }
            if (machine.holds(primary)) {
                return "the primary of group "
                        + group
                        + " is here: to be moved to "
                        + primaryCandidates(machine, group, observations, now);
            }
            List<String> healthyMembers = healthyElsewhere(machine, group, observations, now);
            double maxTxns =
                    settings.memberCapacityTxns() * healthyMembers.size() * MAX_CAPACITY_USE;
            double txnsAtWork = concurrentTxns.getOrDefault(group, 0.0);
            if (settings.memberCapacityTxns() > 0 && txnsAtWork > maxTxns) {
                return String.format(
                        Locale.ROOT,
                        "group %d has %.1f txns at work, room for %.1f without it",
                        group,
                        txnsAtWork,
                        maxTxns);
            }
            if (groupCapacity.exceedsLimit(
                    group, txnsAtWork / Math.max(1, healthyMembers.size()), now)) {
                return String.format(
                        Locale.ROOT,
                        "group %d has %.1f txns at work: as much as did harm without it",
                        group,
                        txnsAtWork);
            }
        }
        if (!entry.noPrimaryReported) {
            return "some driver still takes a member here for a primary";
        }
        // Machines chosen in this pass count as well; two that only wait for their announcement do
        // not block each other.
        Set<String> away = new HashSet<>(machine.drivers());
        plan.entries().stream()
                .filter(
                        other ->
                                other.stage == MaintenanceStage.DRAINING
                                        || other.stage == MaintenanceStage.OUT
                                        || chosenToDrain.contains(other.machine))
                .map(other -> plan.machines().get(other.machine))
                .filter(other -> other != null)
                .forEach(other -> away.addAll(other.drivers()));
        long votersAway =
                voters.stream()
                        .filter(
                                voter ->
                                        !plan.liveDrivers().contains(voter) || away.contains(voter))
                        .count();
        if (machine.drivers().stream().anyMatch(voters::contains)
                && votersAway > (voters.size() - 1) / 2) {
            return "a voter is on it, and "
                    + (votersAway - 1)
                    + " of "
                    + voters.size()
                    + " are away";
        }
        return "";
    }

    private static String formatShare(double share) {
        return share < 0 ? "too few to say" : String.format(Locale.ROOT, "%.1f%%", share * 100);
    }

    /** Returns the healthy members of a group on other machines. */
    private List<String> healthyElsewhere(
            Machine machine, int group, MemberObservations observations, Duration now) {
        return observations.membersOf(group).stream()
                .filter(uid -> !machine.holds(uid) && observations.isHealthy(uid, now))
                .toList();
    }

    /** Returns the members that could take over as primary, as a text for operators. */
    private String primaryCandidates(
            Machine machine, int group, MemberObservations observations, Duration now) {
        List<String> candidates =
                healthyElsewhere(machine, group, observations, now).stream()
                        .filter(
                                uid ->
                                        observations.replicationLag(uid, now) != null
                                                && observations
                                                                .replicationLag(uid, now)
                                                                .compareTo(
                                                                        settings
                                                                                .maxReplicationLag())
                                                        <= 0)
                        .toList();
        return candidates.isEmpty()
                ? "none that is fit and close on the log"
                : String.join(" or ", candidates);
    }

    /**
     * Returns which other member of the machine's groups is unhealthy, or an empty string. A member
     * that fails by itself counts as taken out.
     */
    private String unhealthyPeer(Machine machine, MemberObservations observations, Duration now) {
        for (int group : machine.groups()) {
            for (String uid : observations.membersOf(group)) {
                if (!machine.holds(uid) && !observations.isHealthy(uid, now)) {
                    return "group " + group + ": " + uid + " is not fit";
                }
            }
            if (healthyElsewhere(machine, group, observations, now).isEmpty()) {
                return "group " + group + " has no other member that is seen";
            }
        }
        return "";
    }

    private void stepDraining(
            MaintenancePlan.Entry entry,
            Machine machine,
            MemberObservations observations,
            Duration now,
            List<Step> steps) {
        String problem =
                ifPersistent(entry.machine, unhealthyPeer(machine, observations, now), now);
        String lagging = laggingPeer(machine, observations, now);
        problem = problem.isEmpty() ? ifPersistent(entry.machine + " log", lagging, now) : problem;
        if (!problem.isEmpty() || harmMonitor.isHarmSeen(now)) {
            if (problem.isEmpty()) {
                machine.groups()
                        .forEach(
                                group ->
                                        groupCapacity.recordHarm(
                                                group,
                                                concurrentTxns.getOrDefault(group, 0.0)
                                                        / Math.max(
                                                                1,
                                                                healthyElsewhere(
                                                                                machine,
                                                                                group,
                                                                                observations,
                                                                                now)
                                                                        .size()),
                                                now));
            }
            cooldownUntil.put(
                    entry.machine,
                    now.plus(settings.watchPeriod().multipliedBy(COOLDOWN_WATCH_PERIODS)));
            steps.add(
                    new Step(
                            entry.machine,
                            MaintenanceStage.ASKED.name(),
                            entry.stageRevision,
                            "put back: "
                                    + (problem.isEmpty()
                                            ? formatShare(harmMonitor.harmedShare())
                                                    + " of the txns harmed, before "
                                                    + formatShare(harmMonitor.baseline())
                                            : problem)));
        } else if (entry.drained) {
            steps.add(
                    new Step(
                            entry.machine,
                            MaintenanceStage.OUT.name(),
                            entry.stageRevision,
                            "nothing of anybody's is there"));
        }
    }

    /**
     * Returns which remaining member has fallen behind the log since it took over load from the
     * machine, or an empty string.
     */
    private String laggingPeer(Machine machine, MemberObservations observations, Duration now) {
        for (int group : machine.groups()) {
            for (String uid : healthyElsewhere(machine, group, observations, now)) {
                Duration lag = observations.replicationLag(uid, now);
                if (!uid.equals(observations.primary(group, now))
                        && lag != null
                        && lag.compareTo(
                                        settings.maxReplicationLag()
                                                .multipliedBy(DRAINING_LAG_FACTOR))
                                > 0) {
                    return "group "
                            + group
                            + ": "
                            + uid
                            + " is "
                            + lag.toMillis()
                            + " ms behind on the log";
                }
            }
        }
        return "";
    }

    /**
     * Returns the problem if it has lasted for half a watch period, else an empty string: a single
     * probe may be lost.
     */
    private String ifPersistent(String machine, String text, Duration now) {
        if (text.isEmpty()) {
            unhealthySince.remove(machine);
            return "";
        }
        Duration since = unhealthySince.computeIfAbsent(machine, key -> now);
        return now.minus(since).compareTo(settings.watchPeriod().dividedBy(2)) >= 0 ? text : "";
    }

    private void stepOut(
            MaintenancePlan.Entry entry,
            Machine machine,
            MemberObservations observations,
            long nowMs,
            Duration now,
            List<Step> steps) {
        String problem =
                ifPersistent(entry.machine, unhealthyPeer(machine, observations, now), now);
        if (!problem.isEmpty()) {
            setNote(entry, "PAGE: wanted back: " + problem, steps);
        } else if (entry.durationMs > 0 && nowMs - entry.outSinceMs > entry.durationMs) {
            setNote(entry, "PAGE: out for longer than " + entry.durationMs / 1000 + " s", steps);
        } else {
            setNote(entry, "work on it", steps);
        }
    }

    private void stepReturning(
            MaintenancePlan.Entry entry,
            Machine machine,
            MemberObservations observations,
            Duration now,
            List<Step> steps) {
        Duration since = returningSince.computeIfAbsent(entry.machine, key -> now);
        for (int group : machine.groups()) {
            List<String> membersHere =
                    observations.membersOf(group).stream().filter(machine::holds).toList();
            if (membersHere.isEmpty()) {
                setNote(entry, "no member of group " + group + " on it is listed", steps);
                return;
            }
            for (String uid : membersHere) {
                if (!observations.isHealthy(uid, now)) {
                    setNote(entry, uid + " has not answered", steps);
                    return;
                }
                Duration lag = observations.replicationLag(uid, now);
                if (!uid.equals(observations.primary(group, now))
                        && (lag == null || lag.compareTo(settings.maxReplicationLag()) > 0)) {
                    setNote(
                            entry,
                            uid
                                    + " is "
                                    + (lag == null
                                            ? "not known to be close"
                                            : lag.toMillis() + " ms behind")
                                    + " on the log",
                            steps);
                    return;
                }
            }
        }
        if (now.minus(since).compareTo(settings.coldTime()) < 0) {
            setNote(entry, "cold", steps);
            return;
        }
        steps.add(new Step(entry.machine, "IN", entry.stageRevision, "close on the log and warm"));
    }

    private void setNote(MaintenancePlan.Entry entry, String text, List<Step> steps) {
        // Measured figures change in each pass; the note in the log is replaced only if the rest of
        // the text differs.
        if (!withoutFigures(entry.note).equals(withoutFigures(text))) {
            steps.add(new Step(entry.machine, "note", entry.stageRevision, text));
            if (text.startsWith("PAGE")) {
                pendingAlerts.put(entry.machine, text);
            }
        }
    }

    private static String withoutFigures(String text) {
        return text.replaceAll("[0-9]+\\.[0-9]+|[0-9]+ ms", "0");
    }

    /** Announces the machines that may go out next, as many together as the limits allow. */
    private void announceNext(
            List<MaintenancePlan.Entry> entries,
            PlanCopy plan,
            MemberObservations observations,
            Duration now,
            List<Step> steps) {
        List<MaintenancePlan.Entry> away =
                new ArrayList<>(entries.stream().filter(entry -> entry.stage.announced()).toList());
        List<MaintenancePlan.Entry> waiting =
                new ArrayList<>(
                        entries.stream()
                                .filter(
                                        entry ->
                                                entry.stage == MaintenanceStage.ASKED
                                                        && !entry.held
                                                        && !cooldownUntil.containsKey(entry.machine)
                                                        && plan.machines()
                                                                .containsKey(entry.machine))
                                .toList());
        // Earliest deadline first, then replicas before primaries, then the oldest request.
        waiting.sort(
                Comparator.<MaintenancePlan.Entry>comparingLong(
                                entry -> entry.deadlineMs > 0 ? entry.deadlineMs : Long.MAX_VALUE)
                        .thenComparingLong(
                                entry ->
                                        primaryCount(
                                                plan.machines().get(entry.machine),
                                                observations,
                                                now))
                        .thenComparingLong(entry -> entry.requestNumber));
        Set<String> unfinished = new HashSet<>();
        entries.forEach(entry -> unfinished.add(entry.machine));
        int maxConsidered =
                maxConcurrent(plan) * CANDIDATES_PER_SLOT
                        + EXTRA_CANDIDATES
                        + consideredMachines.size();
        for (MaintenancePlan.Entry entry : waiting) {
            Machine machine = plan.machines().get(entry.machine);
            if (away.size() >= maxConcurrent(plan) || consideredMachines.size() >= maxConsidered) {
                break;
            }
            boolean compatible =
                    away.stream()
                                    .map(other -> plan.machines().get(other.machine))
                                    .allMatch(
                                            other ->
                                                    other != null
                                                            && other.zone().equals(machine.zone())
                                                            && !other.sharesGroup(machine))
                            && entry.afterMachines.stream().noneMatch(unfinished::contains);
            if (!compatible) {
                continue;
            }
            consideredMachines.add(entry.machine);
            String unhealthy = unhealthyPeer(machine, observations, now);
            if (unhealthy.isEmpty()) {
                away.add(entry);
                steps.add(
                        new Step(
                                entry.machine,
                                MaintenanceStage.PLANNED.name(),
                                entry.stageRevision,
                                "its turn"));
            } else {
                if (!ifPersistent(entry.machine, unhealthy, now).isEmpty()) {
                    // Lets later requests go first meanwhile.
                    cooldownUntil.put(entry.machine, now.plus(settings.watchPeriod()));
                }
                setNote(entry, unhealthy, steps);
            }
        }
    }

    /**
     * Returns how many machines may be announced at a time, from the first line of the inventory.
     */
    private int maxConcurrent(PlanCopy plan) {
        return plan.inventoryLines().isEmpty()
                ? 1
                : Integer.parseInt(plan.inventoryLines().get(0).split(" ")[0]);
    }

    private static long primaryCount(
            Machine machine, MemberObservations observations, Duration now) {
        return machine.groups().stream()
                .filter(
                        group ->
                                observations.primary(group, now) != null
                                        && machine.holds(observations.primary(group, now)))
                .count();
    }
}
