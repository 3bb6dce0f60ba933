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
 * The work's conductor: what the next steps are, from what is settled and from what its driver has
 * seen of the members. It only proposes; the log refuses what breaks a limit, and whatever comes
 * under an older epoch. No I/O; the clock is handed in.
 */
public final class MaintenanceController {
    /** A member may have this part of its room in use once another one of its group is away. */
    private static final double MAX_CAPACITY_USE = 0.8;

    /**
     * A machine that was put back for harm is looked at again after so many times the watched span.
     */
    private static final int COOLDOWN_WATCH_PERIODS = 3;

    /** So many times the bound may one that carries on be behind, while a machine drains. */
    private static final int DRAINING_LAG_FACTOR = 2;

    /** Drivers that have not confirmed for so many watched spans are told about. */
    private static final int CONFIRMATION_ALERT_WATCH_PERIODS = 6;

    /**
     * So many times what may go at a time, and some, are looked at in one look: their members have
     * to be asked.
     */
    private static final int CANDIDATES_PER_SLOT = 2;

    private static final int EXTRA_CANDIDATES = 8;

    /** A step to be settled; {@code to} is a stage's name, "IN" or "note". */
    public record Step(String machine, String target, long stageRevision, String reason) {}

    private final MaintenanceSettings settings;
    private final HarmMonitor harmMonitor;
    private final GroupCapacity groupCapacity;
    private final Collection<String> voters;
    private final Map<String, Duration> returningSince = new TreeMap<>();
    private final Map<String, Duration> unhealthySince = new HashMap<>();
    private final Map<String, Duration> cooldownUntil = new HashMap<>();
    private final Map<String, String> takeAlerts = new HashMap<>();
    private final Map<Integer, Long> previousBusyMs = new TreeMap<>();
    private final Map<Integer, Double> concurrentTxns = new TreeMap<>();
    private final Map<String, Duration> plannedSince = new HashMap<>();

    /**
     * Machines of which it has been told that they wait for confirmations, and that they are too
     * late.
     */
    private final Set<String> confirmationAlerted = new HashSet<>();

    private final Set<String> deadlineAlerted = new HashSet<>();
    private Duration busySampledAt;

    /** Machines that are out, and when the last one was seen to have become so. */
    private Set<String> outMachines = Set.of();

    /** Those that are to drain by the look that is under way. */
    private final Set<String> chosenToDrain = new HashSet<>();

    /** Those whose members had to be known in the last look. */
    private final Set<String> consideredMachines = new HashSet<>();

    private Duration lastOutAt;

    /**
     * @param voters who decides in the council: never more of them away than a majority can spare
     */
    public MaintenanceController(MaintenanceSettings settings, Collection<String> voters) {
        this.settings = settings;
        this.voters = voters;
        harmMonitor = new HarmMonitor(settings.watchPeriod(), settings.maxHarmIncrease());
        groupCapacity = new GroupCapacity(settings.watchPeriod());
    }

    /** Lines that somebody should be woken up for, each once: machine to text. */
    public Map<String, String> takeAlerts() {
        Map<String, String> alerts = new TreeMap<>(takeAlerts);
        takeAlerts.clear();
        return alerts;
    }

    /** The groups whose members have to be seen for the next look. */
    public Set<Integer> groupsToObserve(PlanCopy plan) {
        Set<Integer> groups = new TreeSet<>();
        consideredMachines.stream()
                .map(machine -> plan.machines().get(machine))
                .filter(machine -> machine != null)
                .forEach(machine -> groups.addAll(machine.groups()));
        return groups;
    }

    /** The steps that are next; asked again and again until they are seen settled. */
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
     * One that has to be out before a time that it can't keep any more is told about, once; it goes
     * on waiting.
     */
    private void checkDeadline(MaintenancePlan.Entry entry, long nowMs, List<Step> steps) {
        long minDrainMs = settings.drainGrace().plus(settings.watchPeriod()).toMillis();
        if (entry.deadlineMs > 0
                && nowMs + minDrainMs > entry.deadlineMs
                && deadlineAlerted.add(entry.machine)) {
            takeAlerts.put(
                    entry.machine,
                    "PAGE: wanted out before "
                            + java.time.Instant.ofEpochMilli(entry.deadlineMs)
                            + " and still "
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

    /** How many txns are at members of each group at a time, from the fleet's sums. */
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
        Duration since = plannedSince.computeIfAbsent(entry.machine, k -> now);
        checkDeadline(entry, nowMs, steps);
        if (!entry.confirmedByAll) {
            if (now.minus(since)
                                    .compareTo(
                                            settings.watchPeriod()
                                                    .multipliedBy(CONFIRMATION_ALERT_WATCH_PERIODS))
                            > 0
                    && confirmationAlerted.add(entry.machine)) {
                takeAlerts.put(
                        entry.machine,
                        "PAGE: drivers have not confirmed it for "
                                + now.minus(since).toSeconds()
                                + " s; 'work plan' has"
                                + " their names");
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

    /** Why a machine can't be spared now, or empty. */
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
        // Those that are chosen in the same look count as well; two that only wait for each other's
        // turn do not.
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

    /** The fit members of a group that are on other machines. */
    private List<String> healthyElsewhere(
            Machine machine, int group, MemberObservations observations, Duration now) {
        return observations.membersOf(group).stream()
                .filter(uid -> !machine.holds(uid) && observations.isHealthy(uid, now))
                .toList();
    }

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

    /** What of its groups' others is not fit, or empty: one that fails by itself counts as away. */
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
     * Which of the others has fallen behind the log since its machine's share came to them, or
     * empty.
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

    /** Only what is seen for a while: a single probe may go astray. */
    private String ifPersistent(String machine, String text, Duration now) {
        if (text.isEmpty()) {
            unhealthySince.remove(machine);
            return "";
        }
        Duration since = unhealthySince.computeIfAbsent(machine, k -> now);
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
        Duration since = returningSince.computeIfAbsent(entry.machine, k -> now);
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
        // Measured figures change with each look: what stands in the log is changed only where the
        // rest is another.
        if (!withoutFigures(entry.note).equals(withoutFigures(text))) {
            steps.add(new Step(entry.machine, "note", entry.stageRevision, text));
            if (text.startsWith("PAGE")) {
                takeAlerts.put(entry.machine, text);
            }
        }
    }

    private static String withoutFigures(String text) {
        return text.replaceAll("[0-9]+\\.[0-9]+|[0-9]+ ms", "0");
    }

    /** Announces what may go next: as much together as the limits let. */
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
        // Whoever has a time to keep first, then replicas before primaries, then whoever has waited
        // longest.
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
                    // Those behind it have their turn meanwhile.
                    cooldownUntil.put(entry.machine, now.plus(settings.watchPeriod()));
                }
                setNote(entry, unhealthy, steps);
            }
        }
    }

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
