package wingroad.work;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a group's members have been seen to bear: learned from harm, not from a setting. While a
 * machine of the group is away and txns are harmed, each of the others had so many at work; that
 * was too much, and as much is not tried again soon. What was too much is let off by and by:
 * machines get stronger, txns shorter, and the harm may have had another cause.
 */
final class GroupCapacity {
    /** So near to what was too much it is not tried. */
    private static final double SAFETY_RATIO = 0.95;

    /** What was too much grows by this part with each watched span. */
    private static final double RECOVERY_PER_WATCH_PERIOD = 0.002;

    /** Grown to so many times what it was, it is forgotten. */
    private static final double DISCARD_GROWTH_FACTOR = 2;

    private static final class Ceiling {
        double initialLimit;
        double limit;
        Duration observedAt;
    }

    private final Duration watchPeriod;
    private final Map<Integer, Ceiling> ceilings = new TreeMap<>();

    /**
     * @param watchPeriod the watched span
     */
    GroupCapacity(Duration watchPeriod) {
        this.watchPeriod = watchPeriod;
    }

    /** Each of the group's members that were left had so many txns at work when harm was seen. */
    void recordHarm(int group, double txnsPerMember, Duration now) {
        if (txnsPerMember <= 0) {
            return;
        }
        Ceiling ceiling = ceilings.get(group);
        if (ceiling == null || txnsPerMember < currentLimit(group, now)) {
            ceiling = new Ceiling();
            ceiling.initialLimit = txnsPerMember;
            ceiling.limit = txnsPerMember;
            ceiling.observedAt = now;
            ceilings.put(group, ceiling);
        }
    }

    /** What is too much for each member now; infinite where nothing is known. */
    private double currentLimit(int group, Duration now) {
        Ceiling ceiling = ceilings.get(group);
        if (ceiling == null) {
            return Double.POSITIVE_INFINITY;
        }
        double periods = (double) now.minus(ceiling.observedAt).toNanos() / watchPeriod.toNanos();
        double limit = ceiling.limit * Math.pow(1 + RECOVERY_PER_WATCH_PERIOD, periods);
        if (limit > ceiling.initialLimit * DISCARD_GROWTH_FACTOR) {
            ceilings.remove(group);
            return Double.POSITIVE_INFINITY;
        }
        return limit;
    }

    /** Whether so many at each are as much as was too much. */
    boolean exceedsLimit(int group, double txnsPerMember, Duration now) {
        return txnsPerMember >= currentLimit(group, now) * SAFETY_RATIO;
    }

    /** The groups of which something is known, for people. */
    int knownGroupCount() {
        return ceilings.size();
    }
}
