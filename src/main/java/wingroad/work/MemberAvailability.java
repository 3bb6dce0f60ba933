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

    private final MaintenanceSettings settings;
    private final Duration startedAt;
    private final Duration startupTimeout;
    private final MachineIndex configuredMachines;
    private PlanCopy planCopy;
    private Duration leaseUntil = Duration.ZERO;
    private boolean leaseEnded = true;

    /**
     * The plan has been known under a lease. Before that, what a voter tells may be old: one that
     * has just started tells what its own state says, and nobody waits for what this driver makes
     * of it.
     */
    private boolean planKnown;

    /** Machines that return, and since when this driver has known. */
    private final Map<String, Duration> returningMachines = new TreeMap<>();

    /**
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

    /** The plan as it is settled. */
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
     * What was told last holds so long. Only a lease makes a view that has ended hold again, not
     * what is told.
     */
    public void extendLease(Duration expiresAt) {
        leaseUntil = expiresAt;
        leaseEnded = false;
        planKnown |= planCopy != null;
    }

    /** Nothing is renewed any more: the session is left or has been ended. */
    public void endLease() {
        leaseEnded = true;
    }

    public boolean isKnown() {
        return planKnown;
    }

    /** Whether the plan is known and has not gone on unseen. */
    public boolean isCurrent(Duration now) {
        return planKnown && !leaseEnded && now.compareTo(leaseUntil) < 0;
    }

    /** When this driver's lists have to be looked at again though nothing is heard, or null. */
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
     * What a member counts as.
     *
     * @param others whether its group has another member that is listed as fit and may be sent to
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

    /** Since when a machine that returns has been known to; for a member that counts as cold. */
    public Duration returningSince(String uid) {
        Machine machine = planCopy == null ? null : planCopy.machineOf(uid);
        return machine == null ? null : returningMachines.get(machine.name());
    }

    /** The machines at which this driver must have nothing. */
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

    /** The plan's revision that counts here, or 0. */
    public long revision() {
        return !planKnown ? 0 : Math.max(0, planCopy.revision());
    }

    public PlanCopy planCopy() {
        return planCopy;
    }
}
