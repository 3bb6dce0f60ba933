package wingroad.work;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/**
 * Derives at one driver what the maintenance plan means for the members that discovery lists; the
 * router is given the result. It is valid only as long as the driver's lease, since the plan may
 * have changed unseen after that. docs/notes/work.md has the table. No I/O; the clock is passed in.
 */
public final class MemberAvailability {
    /** What a member counts as. */
    public enum State {
        /** As discovery lists it. */
        AS_LISTED,
        /** Finishes what it has and gets nothing new. */
        DRAINING,
        /** Not used at all. */
        GONE,
        /** Used, but its caches are cold. */
        COLD
    }

    private final MaintenanceSettings settings;
    private final Duration startedAt;
    private final Duration startupTimeout;
    private final MachineIndex configuredMachines;
    private PlanCopy planCopy;
    private Duration leaseUntil = Duration.ZERO;
    private boolean leaseEnded = true;

    /**
     * Whether the plan has been known under a lease. Before that, what a voter sends may be old: a
     * voter that has just started sends its own state, and nobody waits for what this driver
     * derives from it.
     */
    private boolean planKnown;

    /** Returning machines, and since when this driver has known of their return. */
    private final Map<String, Duration> returningMachines = new TreeMap<>();

    /**
     * Creates the state of a driver that does not know the plan yet.
     *
     * @param startedAt when the driver started
     * @param startupTimeout with {@link MaintenanceSettings.LostViewPolicy#SERVE}: how long after a
     *     start the plan is waited for
     */
    public MemberAvailability(
            MaintenanceSettings settings, Duration startedAt, Duration startupTimeout) {
        this.settings = settings;
        this.configuredMachines = new MachineIndex(settings.machines().values());
        this.startedAt = startedAt;
        this.startupTimeout = startupTimeout;
    }

    /** Takes over the committed plan. */
    public void updatePlan(PlanCopy plan, Duration now) {
        planCopy = plan;
        returningMachines
                .keySet()
                .removeIf(
                        machine ->
                                plan.entry(machine) == null
                                        || plan.entry(machine).stage != MaintenanceStage.RETURNING);
        plan.entries().stream()
                .filter(entry -> entry.stage == MaintenanceStage.RETURNING)
                .forEach(entry -> returningMachines.putIfAbsent(entry.machine, now));
    }

    /**
     * Makes the known plan valid up to this time. After {@link #endLease} only a new lease makes it
     * valid again, not an update of the plan.
     */
    public void extendLease(Duration expiresAt) {
        leaseUntil = expiresAt;
        leaseEnded = false;
        planKnown |= planCopy != null;
    }

    /** Ends the lease at once, since the session has ended or the driver leaves it. */
    public void endLease() {
        leaseEnded = true;
    }

    public boolean isKnown() {
        return planKnown;
    }

    /**
     * Returns whether the plan is known and the lease holds, so that the plan cannot have changed
     * unseen.
     */
    public boolean isCurrent(Duration now) {
        return planKnown && !leaseEnded && now.compareTo(leaseUntil) < 0;
    }

    /** Returns when a member's state may change though nothing is received, or null. */
    public Duration nextChangeAt(Duration now) {
        if (!planKnown) {
            return settings.lostViewPolicy() == MaintenanceSettings.LostViewPolicy.SERVE
                    ? startedAt.plus(startupTimeout)
                    : null;
        }
        return isCurrent(now)
                ? leaseUntil
                : settings.lostViewPolicy() == MaintenanceSettings.LostViewPolicy.STRICT
                        ? leaseUntil.plus(settings.strictHorizon())
                        : null;
    }

    /**
     * Returns what a member counts as.
     *
     * @param hasOtherMember whether its group has another member that is listed as healthy and may
     *     be sent to
     */
    public State state(String uid, BooleanSupplier hasOtherMember, Duration now) {
        if (!planKnown) {
            boolean configured = configuredMachines.find(uid) != null;
            boolean waits =
                    settings.lostViewPolicy() != MaintenanceSettings.LostViewPolicy.SERVE
                            || now.compareTo(startedAt.plus(startupTimeout)) < 0;
            return configured && waits ? State.GONE : State.AS_LISTED;
        }
        Machine machine = planCopy.machineOf(uid);
        MaintenancePlan.Entry entry = machine == null ? null : planCopy.entry(machine.name());
        if (machine == null) {
            return State.AS_LISTED;
        }
        if (isCurrent(now)) {
            return entry == null
                    ? State.AS_LISTED
                    : switch (entry.stage) {
                        case ASKED, PLANNED -> State.AS_LISTED;
                        case DRAINING -> State.DRAINING;
                        case OUT -> State.GONE;
                        case RETURNING -> State.COLD;
                    };
        }
        if (entry != null && entry.stage.announced()) {
            boolean serves =
                    settings.lostViewPolicy() == MaintenanceSettings.LostViewPolicy.SERVE
                            && entry.stage != MaintenanceStage.OUT
                            && !hasOtherMember.getAsBoolean();
            return !serves
                    ? State.GONE
                    : entry.stage == MaintenanceStage.RETURNING ? State.COLD : State.AS_LISTED;
        }
        boolean horizonPassed =
                settings.lostViewPolicy() == MaintenanceSettings.LostViewPolicy.STRICT
                        && now.compareTo(leaseUntil.plus(settings.strictHorizon())) >= 0;
        return horizonPassed ? State.GONE : State.AS_LISTED;
    }

    /**
     * Returns since when this driver has known that the member's machine returns, or null; used for
     * members that count as cold.
     */
    public Duration returningSince(String uid) {
        Machine machine = planCopy == null ? null : planCopy.machineOf(uid);
        return machine == null ? null : returningMachines.get(machine.name());
    }

    /** Returns the entries of machines that this driver must leave. */
    public Collection<MaintenancePlan.Entry> drainingEntries() {
        return planCopy == null
                ? java.util.List.of()
                : planCopy.entries().stream()
                        .filter(
                                entry ->
                                        entry.stage == MaintenanceStage.DRAINING
                                                || entry.stage == MaintenanceStage.OUT)
                        .toList();
    }

    /** Returns the revision of the plan that is in effect here, or 0. */
    public long revision() {
        return !planKnown ? 0 : Math.max(0, planCopy.revision());
    }

    /** Returns the newest copy of the plan, or null. */
    public PlanCopy planCopy() {
        return planCopy;
    }
}
