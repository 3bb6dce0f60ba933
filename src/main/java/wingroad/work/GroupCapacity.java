package wingroad.work;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * Learns from observed harm, rather than from a setting, how many txns in progress the members of a
 * group can sustain. When txns are harmed while a machine of the group is out, the load per
 * remaining member was too high, and the same load is not risked again soon. The learned limit is
 * relaxed over time, since machines get faster, txns shorter, and the harm may have had another
 * cause.
 */
final class GroupCapacity {
    /** Loads from this fraction of the learned limit on are not risked. */
    private static final double SAFETY_RATIO = 0.95;

    /** The learned limit grows by this fraction in each watch period. */
    private static final double RECOVERY_PER_WATCH_PERIOD = 0.002;

    /** The limit is discarded once it has grown by this factor. */
    private static final double DISCARD_GROWTH_FACTOR = 2;

    /** The load per member at which harm was seen, in txns in progress. */
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

    /**
     * Records that txns were harmed while each of the group's remaining members had so many in
     * progress.
     */
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

    /** Returns the current limit for each member; infinite if none has been learned. */
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

    /** Returns whether this load per member is at the learned limit or too close to it. */
    boolean exceedsLimit(int group, double txnsPerMember, Duration now) {
        return txnsPerMember >= currentLimit(group, now) * SAFETY_RATIO;
    }

    /** Returns the number of groups with a learned limit. */
    int knownGroupCount() {
        return ceilings.size();
    }
}
