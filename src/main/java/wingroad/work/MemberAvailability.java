package wingroad.work;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/**
 * What the plan makes of the members that discovery lists, at one driver: the list that the module
 * is told. It holds only as long as the driver's lease runs: the plan may have gone on since. The
 * table is in docs/notes/work.md. No I/O; the clock is handed in.
 */
public final class MemberAvailability {
    /** What a member counts as. */
    public enum State {
        AS_LISTED,
        DRAINING,
        GONE,
        COLD
    }

    private final MaintenanceSettings rules;
    private final Duration began;
    private final Duration patience;
    private final Holders own;
    private PlanCopy planCopy;
    private Duration until = Duration.ZERO;
    private boolean over = true;

    /**
     * The plan has been known under a lease. Before that, what a voter tells may be old: one that
     * has just started tells what its own state says, and nobody waits for what this driver makes
     * of it.
     */
    private boolean learned;

    /** Machines that return, and since when this driver has known. */
    private final Map<String, Duration> returning = new TreeMap<>();

    /**
     * @param began when the driver started
     * @param patience with {@link MaintenanceSettings.LostViewPolicy#SERVE}: how long after a start
     *     the plan is waited for
     */
    public MemberAvailability(MaintenanceSettings rules, Duration began, Duration patience) {
        this.rules = rules;
        this.own = new Holders(rules.machines().values());
        this.began = began;
        this.patience = patience;
    }

    /** The plan as it is settled. */
    public void updatePlan(PlanCopy plan, Duration now) {
        planCopy = plan;
        returning
                .keySet()
                .removeIf(
                        m ->
                                plan.entry(m) == null
                                        || plan.entry(m).stage != MaintenanceStage.RETURNING);
        plan.entries().stream()
                .filter(e -> e.stage == MaintenanceStage.RETURNING)
                .forEach(e -> returning.putIfAbsent(e.machine, now));
    }

    /**
     * What was told last holds so long. Only a lease makes a view that has ended hold again, not
     * what is told.
     */
    public void extendLease(Duration ends) {
        until = ends;
        over = false;
        learned |= planCopy != null;
    }

    /** Nothing is renewed any more: the session is left or has been ended. */
    public void endLease() {
        over = true;
    }

    public boolean isKnown() {
        return learned;
    }

    /** Whether the plan is known and has not gone on unseen. */
    public boolean isCurrent(Duration now) {
        return learned && !over && now.compareTo(until) < 0;
    }

    /** When this driver's lists have to be looked at again though nothing is heard, or null. */
    public Duration nextChangeAt(Duration now) {
        if (!learned) {
            return rules.lostViewPolicy() == MaintenanceSettings.LostViewPolicy.SERVE
                    ? began.plus(patience)
                    : null;
        }
        return isCurrent(now)
                ? until
                : rules.lostViewPolicy() == MaintenanceSettings.LostViewPolicy.STRICT
                        ? until.plus(rules.strictHorizon())
                        : null;
    }

    /**
     * What a member counts as.
     *
     * @param others whether its group has another member that is listed as fit and may be sent to
     */
    public State state(String uid, BooleanSupplier others, Duration now) {
        if (!learned) {
            boolean planned = own.of(uid) != null;
            boolean waits =
                    rules.lostViewPolicy() != MaintenanceSettings.LostViewPolicy.SERVE
                            || now.compareTo(began.plus(patience)) < 0;
            return planned && waits ? State.GONE : State.AS_LISTED;
        }
        Machine m = planCopy.machineOf(uid);
        MaintenancePlan.Entry e = m == null ? null : planCopy.entry(m.name());
        if (m == null) {
            return State.AS_LISTED;
        }
        if (isCurrent(now)) {
            return e == null
                    ? State.AS_LISTED
                    : switch (e.stage) {
                        case ASKED, PLANNED -> State.AS_LISTED;
                        case DRAINING -> State.DRAINING;
                        case OUT -> State.GONE;
                        case RETURNING -> State.COLD;
                    };
        }
        if (e != null && e.stage.announced()) {
            boolean serves =
                    rules.lostViewPolicy() == MaintenanceSettings.LostViewPolicy.SERVE
                            && e.stage != MaintenanceStage.OUT
                            && !others.getAsBoolean();
            return !serves
                    ? State.GONE
                    : e.stage == MaintenanceStage.RETURNING ? State.COLD : State.AS_LISTED;
        }
        boolean past =
                rules.lostViewPolicy() == MaintenanceSettings.LostViewPolicy.STRICT
                        && now.compareTo(until.plus(rules.strictHorizon())) >= 0;
        return past ? State.GONE : State.AS_LISTED;
    }

    /** Since when a machine that returns has been known to; for a member that counts as cold. */
    public Duration returningSince(String uid) {
        Machine m = planCopy == null ? null : planCopy.machineOf(uid);
        return m == null ? null : returning.get(m.name());
    }

    /** The machines at which this driver must have nothing. */
    public Collection<MaintenancePlan.Entry> drainingEntries() {
        return planCopy == null
                ? java.util.List.of()
                : planCopy.entries().stream()
                        .filter(
                                e ->
                                        e.stage == MaintenanceStage.DRAINING
                                                || e.stage == MaintenanceStage.OUT)
                        .toList();
    }

    /** The plan's revision that counts here, or 0. */
    public long revision() {
        return !learned ? 0 : Math.max(0, planCopy.revision());
    }

    public PlanCopy planCopy() {
        return planCopy;
    }
}
