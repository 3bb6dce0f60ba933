package wingroad.work;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * What the operator's file says of machines and of work on them, and what the deployment's settings
 * add.
 *
 * @param machines by name
 * @param maxConcurrent so many may be between planned and in at a time, all of one zone and no two
 *     of a group
 * @param lostViewPolicy what a driver does whose view of the plan has ended
 * @param strictHorizon with {@link LostViewPolicy#STRICT}: so long after that it still serves by
 *     what was not announced
 * @param watchPeriod so long must be without harm before the next machine drains
 * @param maxHarmIncrease how far the part of the txns declined or late may rise over what it was
 *     before
 * @param maxReplicationLag so far behind the log may a member be that is to carry on alone, or to
 *     count as back
 * @param memberCapacityTxns txns that a member can have at work at a time, or 0: not known, only
 *     harm is looked at
 * @param settleTime the longest that something sent before a view ended may still be at a member;
 *     from the settings
 * @param coldTime how long a member counts as cold after its start; from the settings
 * @param drainGrace how long after the word a draining member may still get something; from the
 *     settings
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
    /** The duty of conducting the work. */
    public static final String CONTROLLER_DUTY = "conductor";

    /** What a driver does whose view has ended; docs/notes/work.md has the table. */
    public enum LostViewPolicy {
        STRICT,
        STEADY,
        SERVE
    }

    /** The same with what the deployment's settings say. */
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

    /** What all drivers must have alike, as lines: limits first, then the machines. */
    public List<String> toLines() {
        List<String> lines = new java.util.ArrayList<>();
        lines.add(maxConcurrent + " " + lostViewPolicy);
        machines.values().stream()
                .sorted(java.util.Comparator.comparing(Machine::name))
                .forEach(machine -> lines.add(machine.toLine()));
        return lines;
    }
}
