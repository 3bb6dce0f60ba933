package wingroad.work;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Machines and maintenance limits from the operator's file, and what the deployment's settings add.
 *
 * @param machines by name
 * @param maxConcurrent how many machines may be announced and not yet back in service at a time,
 *     all of one zone and no two of a group
 * @param lostViewPolicy what a driver does whose lease on the plan has ended
 * @param strictHorizon with {@link LostViewPolicy#STRICT}: how long after that it still uses
 *     machines that were not announced
 * @param watchPeriod how long no harm must be seen before the next machine drains
 * @param maxHarmIncrease how far the share of declined, rolled back or late txns may rise over its
 *     baseline, as a fraction
 * @param maxReplicationLag how far behind the log a member may be that is to take over or to count
 *     as back
 * @param memberCapacityTxns txns that a member can have in progress, or 0 if not known; then only
 *     harm limits the load
 * @param settleTime the longest that something sent before a lease ended may still be at a member;
 *     from the settings
 * @param coldTime how long a member counts as cold after its start; from the settings
 * @param drainGrace how long after the announcement of draining a member may still receive
 *     something; from the settings
 */
public record MaintenanceSettings(
        Map<String, Machine> machines,
        int maxConcurrent,
        LostViewPolicy lostViewPolicy,
        Duration strictHorizon,
        Duration watchPeriod,
        double maxHarmIncrease,
        Duration maxReplicationLag,
        double memberCapacityTxns,
        Duration settleTime,
        Duration coldTime,
        Duration drainGrace) {
    /** Name of the duty whose owner runs the {@link MaintenanceController}. */
    public static final String CONTROLLER_DUTY = "conductor";

    /**
     * What a driver does whose lease on the plan has ended; docs/notes/work.md has the table. The
     * values are written by name.
     */
    public enum LostViewPolicy {
        STRICT,
        STEADY,
        SERVE
    }

    /** Returns a copy with what the deployment's settings say. */
    public MaintenanceSettings withDeploymentSettings(
            Duration longestExpiry, Duration coldTime, Duration drainGrace) {
        return new MaintenanceSettings(
                machines,
                maxConcurrent,
                lostViewPolicy,
                strictHorizon,
                watchPeriod,
                maxHarmIncrease,
                maxReplicationLag,
                memberCapacityTxns,
                drainGrace.plus(longestExpiry),
                coldTime,
                drainGrace);
    }

    /**
     * Returns what all drivers must agree on as lines: the limits, then one line for each machine.
     */
    public List<String> toLines() {
        List<String> lines = new java.util.ArrayList<>();
        lines.add(maxConcurrent + " " + lostViewPolicy);
        machines.values().stream()
                .sorted(java.util.Comparator.comparing(Machine::name))
                .forEach(machine -> lines.add(machine.toLine()));
        return lines;
    }
}
