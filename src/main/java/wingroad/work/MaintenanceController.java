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
    private static final double MOST_USE = 0.8;

    /**
     * A machine that was put back for harm is looked at again after so many times the watched span.
     */
    private static final int REST = 3;

    /** So many times the bound may one that carries on be behind, while a machine drains. */
    private static final int FAR = 2;

    /** Drivers that have not confirmed for so many watched spans are told about. */
    private static final int PATIENCE = 6;

    /**
     * So many times what may go at a time, and some, are looked at in one look: their members have
     * to be asked.
     */
    private static final int LOOKS = 2;

    private static final int AND_SOME = 8;

    /** A step to be settled; {@code to} is a stage's name, "IN" or "note". */
    public record Step(String machine, String target, long stageRevision, String reason) {}

    private final MaintenanceSettings rules;
    private final HarmMonitor harm;
    private final GroupCapacity capacity;
    private final Collection<String> voters;
    private final Map<String, Duration> returningSince = new TreeMap<>();
    private final Map<String, Duration> unfitSince = new HashMap<>();
    private final Map<String, Duration> restUntil = new HashMap<>();
    private final Map<String, String> takeAlerts = new HashMap<>();
    private final Map<Integer, Long> busyBefore = new TreeMap<>();
    private final Map<Integer, Double> use = new TreeMap<>();
    private final Map<String, Duration> plannedSince = new HashMap<>();

    /**
     * Machines of which it has been told that they wait for confirmations, and that they are too
     * late.
     */
    private final Set<String> told = new HashSet<>();

    private final Set<String> late = new HashSet<>();
    private Duration busyAt;

    /** Machines that are out, and when the last one was seen to have become so. */
    private Set<String> outs = Set.of();

    /** Those that are to drain by the look that is under way. */
    private final Set<String> chosen = new HashSet<>();

    /** Those whose members had to be known in the last look. */
    private final Set<String> looked = new HashSet<>();

    private Duration outAt;

    /**
     * @param voters who decides in the council: never more of them away than a majority can spare
     */
    public MaintenanceController(MaintenanceSettings rules, Collection<String> voters) {
        this.rules = rules;
        this.voters = voters;
        harm = new HarmMonitor(rules.watchPeriod(), rules.maxHarmIncrease());
        capacity = new GroupCapacity(rules.watchPeriod());
    }

    /** Lines that somebody should be woken up for, each once: machine to text. */
    public Map<String, String> takeAlerts() {
        Map<String, String> all = new TreeMap<>(takeAlerts);
        takeAlerts.clear();
        return all;
    }

    /** The groups whose members have to be seen for the next look. */
    public Set<Integer> groupsToObserve(PlanCopy plan) {
        Set<Integer> all = new TreeSet<>();
        looked.stream()
                .map(m -> plan.machines().get(m))
                .filter(m -> m != null)
                .forEach(m -> all.addAll(m.groups()));
        return all;
    }

    /** The steps that are next; asked again and again until they are seen settled. */
    public List<Step> nextSteps(
            PlanCopy plan, MemberObservations observations, long wall, Duration now) {
        List<Step> steps = new ArrayList<>();
        List<MaintenancePlan.Entry> all = new ArrayList<>(plan.entries());
        chosen.clear();
        looked.clear();
        all.stream().filter(e -> e.stage.announced()).forEach(e -> looked.add(e.machine));
        boolean atWork =
                all.stream()
                        .anyMatch(
                                e ->
                                        e.stage == MaintenanceStage.DRAINING
                                                || e.stage == MaintenanceStage.OUT
                                                || e.stage == MaintenanceStage.RETURNING);
        harm.figures(plan.served(), plan.harmed(), atWork, now);
        uses(plan, now);
        Set<String> out = new HashSet<>();
        all.stream().filter(e -> e.stage == MaintenanceStage.OUT).forEach(e -> out.add(e.machine));
        if (!outs.containsAll(out)) {
            outAt = now;
        }
        outs = out;
        returningSince
                .keySet()
                .removeIf(
                        m ->
                                plan.entry(m) == null
                                        || plan.entry(m).stage != MaintenanceStage.RETURNING);
        plannedSince
                .keySet()
                .removeIf(
                        m ->
                                plan.entry(m) == null
                                        || plan.entry(m).stage != MaintenanceStage.PLANNED);
        told.retainAll(plannedSince.keySet());
        late.removeIf(m -> plan.entry(m) == null);
        restUntil.values().removeIf(t -> now.compareTo(t) >= 0);
        for (MaintenancePlan.Entry e : all) {
            Machine m = plan.machines().get(e.machine);
            if (m != null) {
                switch (e.stage) {
                    case PLANNED -> planned(e, m, plan, observations, wall, now, steps);
                    case DRAINING -> draining(e, m, observations, now, steps);
                    case OUT -> out(e, m, observations, wall, now, steps);
                    case RETURNING -> returning(e, m, observations, now, steps);
                    default -> soon(e, wall, steps);
                }
            }
        }
        if (!plan.held()) {
            begin(all, plan, observations, now, steps);
        }
        return steps;
    }

    /**
     * One that has to be out before a time that it can't keep any more is told about, once; it goes
     * on waiting.
     */
    private void soon(MaintenancePlan.Entry e, long wall, List<Step> steps) {
        long least = rules.drainGrace().plus(rules.watchPeriod()).toMillis();
        if (e.deadlineMs > 0 && wall + least > e.deadlineMs && late.add(e.machine)) {
            takeAlerts.put(
                    e.machine,
                    "PAGE: wanted out before "
                            + java.time.Instant.ofEpochMilli(e.deadlineMs)
                            + " and still "
                            + e.stage.name().toLowerCase(Locale.ROOT)
                            + (e.note.isEmpty() ? "" : ": " + e.note));
            steps.add(new Step(e.machine, "note", e.stageRevision, "PAGE: too late for its time"));
        }
    }

    /** How many txns are at members of each group at a time, from the fleet's sums. */
    private void uses(PlanCopy plan, Duration now) {
        if (busyAt != null && now.minus(busyAt).compareTo(rules.watchPeriod().dividedBy(4)) < 0) {
            return;
        }
        if (busyAt != null) {
            double span = Math.max(1, now.minus(busyAt).toMillis());
            plan.busy()
                    .forEach(
                            (g, ms) -> {
                                if (busyBefore.containsKey(g) && ms >= busyBefore.get(g)) {
                                    use.put(g, (ms - busyBefore.get(g)) / span);
                                }
                            });
        }
        busyAt = now;
        busyBefore.clear();
        busyBefore.putAll(plan.busy());
        use.keySet().retainAll(plan.busy().keySet());
    }

    private void planned(
            MaintenancePlan.Entry e,
            Machine m,
            PlanCopy plan,
            MemberObservations observations,
            long wall,
            Duration now,
            List<Step> steps) {
        Duration since = plannedSince.computeIfAbsent(e.machine, k -> now);
        soon(e, wall, steps);
        if (!e.confirmedByAll) {
            if (now.minus(since).compareTo(rules.watchPeriod().multipliedBy(PATIENCE)) > 0
                    && told.add(e.machine)) {
                takeAlerts.put(
                        e.machine,
                        "PAGE: drivers have not confirmed it for "
                                + now.minus(since).toSeconds()
                                + " s; 'work plan' has"
                                + " their names");
            }
            return;
        }
        String not = whyNotDrain(e, m, plan, observations, now);
        if (not.isEmpty()) {
            chosen.add(e.machine);
            steps.add(
                    new Step(
                            e.machine,
                            MaintenanceStage.DRAINING.name(),
                            e.stageRevision,
                            "everybody knows of it"));
        } else {
            note(e, not, steps);
        }
    }

    /** Why a machine can't be spared now, or empty. */
    private String whyNotDrain(
            MaintenancePlan.Entry e,
            Machine m,
            PlanCopy plan,
            MemberObservations observations,
            Duration now) {
        if (!harm.calm(now)
                || outAt != null && now.minus(outAt).compareTo(rules.watchPeriod()) < 0) {
            return "watches for harm: "
                    + part(harm.part())
                    + " of the txns, before "
                    + part(harm.before());
        }
        String others = othersUnfit(m, observations, now);
        if (!others.isEmpty()) {
            return others;
        }
        for (int g : m.groups()) {
            String primary = observations.primary(g, now);
            if (primary == null) {
                return "no primary of group " + g + " is seen";
            }
            if (m.holds(primary)) {
                return "the primary of group "
                        + g
                        + " is here: to be moved to "
                        + couldLead(m, g, observations, now);
            }
            List<String> left = left(m, g, observations, now);
            double most = rules.memberCapacityTxns() * left.size() * MOST_USE;
            double used = use.getOrDefault(g, 0.0);
            if (rules.memberCapacityTxns() > 0 && used > most) {
                return String.format(
                        Locale.ROOT,
                        "group %d has %.1f txns at work, room for %.1f without it",
                        g,
                        used,
                        most);
            }
            if (capacity.tooMuch(g, used / Math.max(1, left.size()), now)) {
                return String.format(
                        Locale.ROOT,
                        "group %d has %.1f txns at work: as much as did harm without it",
                        g,
                        used);
            }
        }
        if (!e.noPrimaryReported) {
            return "some driver still takes a member here for a primary";
        }
        // Those that are chosen in the same look count as well; two that only wait for each other's
        // turn do not.
        Set<String> away = new HashSet<>(m.drivers());
        plan.entries().stream()
                .filter(
                        o ->
                                o.stage == MaintenanceStage.DRAINING
                                        || o.stage == MaintenanceStage.OUT
                                        || chosen.contains(o.machine))
                .map(o -> plan.machines().get(o.machine))
                .filter(o -> o != null)
                .forEach(o -> away.addAll(o.drivers()));
        long gone =
                voters.stream().filter(v -> !plan.live().contains(v) || away.contains(v)).count();
        if (m.drivers().stream().anyMatch(voters::contains) && gone > (voters.size() - 1) / 2) {
            return "a voter is on it, and " + (gone - 1) + " of " + voters.size() + " are away";
        }
        return "";
    }

    private static String part(double p) {
        return p < 0 ? "too few to say" : String.format(Locale.ROOT, "%.1f%%", p * 100);
    }

    /** The fit members of a group that are on other machines. */
    private List<String> left(Machine m, int group, MemberObservations observations, Duration now) {
        return observations.membersOf(group).stream()
                .filter(u -> !m.holds(u) && observations.isHealthy(u, now))
                .toList();
    }

    private String couldLead(Machine m, int group, MemberObservations observations, Duration now) {
        List<String> fit =
                left(m, group, observations, now).stream()
                        .filter(
                                u ->
                                        observations.replicationLag(u, now) != null
                                                && observations
                                                                .replicationLag(u, now)
                                                                .compareTo(
                                                                        rules.maxReplicationLag())
                                                        <= 0)
                        .toList();
        return fit.isEmpty() ? "none that is fit and close on the log" : String.join(" or ", fit);
    }

    /** What of its groups' others is not fit, or empty: one that fails by itself counts as away. */
    private String othersUnfit(Machine m, MemberObservations observations, Duration now) {
        for (int g : m.groups()) {
            for (String u : observations.membersOf(g)) {
                if (!m.holds(u) && !observations.isHealthy(u, now)) {
                    return "group " + g + ": " + u + " is not fit";
                }
            }
            if (left(m, g, observations, now).isEmpty()) {
                return "group " + g + " has no other member that is seen";
            }
        }
        return "";
    }

    private void draining(
            MaintenancePlan.Entry e,
            Machine m,
            MemberObservations observations,
            Duration now,
            List<Step> steps) {
        String others = lasting(e.machine, othersUnfit(m, observations, now), now);
        String late = behind(m, observations, now);
        others = others.isEmpty() ? lasting(e.machine + " log", late, now) : others;
        if (!others.isEmpty() || harm.harms(now)) {
            if (others.isEmpty()) {
                m.groups()
                        .forEach(
                                g ->
                                        capacity.harmed(
                                                g,
                                                use.getOrDefault(g, 0.0)
                                                        / Math.max(
                                                                1,
                                                                left(m, g, observations, now)
                                                                        .size()),
                                                now));
            }
            restUntil.put(e.machine, now.plus(rules.watchPeriod().multipliedBy(REST)));
            steps.add(
                    new Step(
                            e.machine,
                            MaintenanceStage.ASKED.name(),
                            e.stageRevision,
                            "put back: "
                                    + (others.isEmpty()
                                            ? part(harm.part())
                                                    + " of the txns harmed, before "
                                                    + part(harm.before())
                                            : others)));
        } else if (e.drained) {
            steps.add(
                    new Step(
                            e.machine,
                            MaintenanceStage.OUT.name(),
                            e.stageRevision,
                            "nothing of anybody's is there"));
        }
    }

    /**
     * Which of the others has fallen behind the log since its machine's share came to them, or
     * empty.
     */
    private String behind(Machine m, MemberObservations observations, Duration now) {
        for (int g : m.groups()) {
            for (String u : left(m, g, observations, now)) {
                Duration behind = observations.replicationLag(u, now);
                if (!u.equals(observations.primary(g, now))
                        && behind != null
                        && behind.compareTo(rules.maxReplicationLag().multipliedBy(FAR)) > 0) {
                    return "group "
                            + g
                            + ": "
                            + u
                            + " is "
                            + behind.toMillis()
                            + " ms behind on the log";
                }
            }
        }
        return "";
    }

    /** Only what is seen for a while: a single probe may go astray. */
    private String lasting(String machine, String what, Duration now) {
        if (what.isEmpty()) {
            unfitSince.remove(machine);
            return "";
        }
        Duration since = unfitSince.computeIfAbsent(machine, k -> now);
        return now.minus(since).compareTo(rules.watchPeriod().dividedBy(2)) >= 0 ? what : "";
    }

    private void out(
            MaintenancePlan.Entry e,
            Machine m,
            MemberObservations observations,
            long wall,
            Duration now,
            List<Step> steps) {
        String others = lasting(e.machine, othersUnfit(m, observations, now), now);
        if (!others.isEmpty()) {
            note(e, "PAGE: wanted back: " + others, steps);
        } else if (e.durationMs > 0 && wall - e.outSinceMs > e.durationMs) {
            note(e, "PAGE: out for longer than " + e.durationMs / 1000 + " s", steps);
        } else {
            note(e, "work on it", steps);
        }
    }

    private void returning(
            MaintenancePlan.Entry e,
            Machine m,
            MemberObservations observations,
            Duration now,
            List<Step> steps) {
        Duration since = returningSince.computeIfAbsent(e.machine, k -> now);
        for (int g : m.groups()) {
            List<String> here = observations.membersOf(g).stream().filter(m::holds).toList();
            if (here.isEmpty()) {
                note(e, "no member of group " + g + " on it is listed", steps);
                return;
            }
            for (String u : here) {
                if (!observations.isHealthy(u, now)) {
                    note(e, u + " has not answered", steps);
                    return;
                }
                Duration behind = observations.replicationLag(u, now);
                if (!u.equals(observations.primary(g, now))
                        && (behind == null || behind.compareTo(rules.maxReplicationLag()) > 0)) {
                    note(
                            e,
                            u
                                    + " is "
                                    + (behind == null
                                            ? "not known to be close"
                                            : behind.toMillis() + " ms behind")
                                    + " on the log",
                            steps);
                    return;
                }
            }
        }
        if (now.minus(since).compareTo(rules.coldTime()) < 0) {
            note(e, "cold", steps);
            return;
        }
        steps.add(new Step(e.machine, "IN", e.stageRevision, "close on the log and warm"));
    }

    private void note(MaintenancePlan.Entry e, String what, List<Step> steps) {
        // Measured figures change with each look: what stands in the log is changed only where the
        // rest is another.
        if (!words(e.note).equals(words(what))) {
            steps.add(new Step(e.machine, "note", e.stageRevision, what));
            if (what.startsWith("PAGE")) {
                takeAlerts.put(e.machine, what);
            }
        }
    }

    private static String words(String of) {
        return of.replaceAll("[0-9]+\\.[0-9]+|[0-9]+ ms", "0");
    }

    /** Announces what may go next: as much together as the limits let. */
    private void begin(
            List<MaintenancePlan.Entry> all,
            PlanCopy plan,
            MemberObservations observations,
            Duration now,
            List<Step> steps) {
        List<MaintenancePlan.Entry> away =
                new ArrayList<>(all.stream().filter(e -> e.stage.announced()).toList());
        List<MaintenancePlan.Entry> waiting =
                new ArrayList<>(
                        all.stream()
                                .filter(
                                        e ->
                                                e.stage == MaintenanceStage.ASKED
                                                        && !e.held
                                                        && !restUntil.containsKey(e.machine)
                                                        && plan.machines().containsKey(e.machine))
                                .toList());
        // Whoever has a time to keep first, then replicas before primaries, then whoever has waited
        // longest.
        waiting.sort(
                Comparator.<MaintenancePlan.Entry>comparingLong(
                                e -> e.deadlineMs > 0 ? e.deadlineMs : Long.MAX_VALUE)
                        .thenComparingLong(
                                e -> primaries(plan.machines().get(e.machine), observations, now))
                        .thenComparingLong(e -> e.requestNumber));
        Set<String> stillThere = new HashSet<>();
        all.forEach(e -> stillThere.add(e.machine));
        int most = limit(plan) * LOOKS + AND_SOME + looked.size();
        for (MaintenancePlan.Entry e : waiting) {
            Machine m = plan.machines().get(e.machine);
            if (away.size() >= limit(plan) || looked.size() >= most) {
                break;
            }
            boolean fits =
                    away.stream()
                                    .map(o -> plan.machines().get(o.machine))
                                    .allMatch(
                                            o ->
                                                    o != null
                                                            && o.zone().equals(m.zone())
                                                            && !o.sharesGroup(m))
                            && e.afterMachines.stream().noneMatch(stillThere::contains);
            if (!fits) {
                continue;
            }
            looked.add(e.machine);
            String others = othersUnfit(m, observations, now);
            if (others.isEmpty()) {
                away.add(e);
                steps.add(
                        new Step(
                                e.machine,
                                MaintenanceStage.PLANNED.name(),
                                e.stageRevision,
                                "its turn"));
            } else {
                if (!lasting(e.machine, others, now).isEmpty()) {
                    // Those behind it have their turn meanwhile.
                    restUntil.put(e.machine, now.plus(rules.watchPeriod()));
                }
                note(e, others, steps);
            }
        }
    }

    private int limit(PlanCopy plan) {
        return plan.inventoryLines().isEmpty()
                ? 1
                : Integer.parseInt(plan.inventoryLines().get(0).split(" ")[0]);
    }

    private static long primaries(Machine m, MemberObservations observations, Duration now) {
        return m.groups().stream()
                .filter(
                        g ->
                                observations.primary(g, now) != null
                                        && m.holds(observations.primary(g, now)))
                .count();
    }
}
