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
    private static final double SHY = 0.95;

    /** What was too much grows by this part with each watched span. */
    private static final double LET_OFF = 0.002;

    /** Grown to so many times what it was, it is forgotten. */
    private static final double FORGOTTEN = 2;

    private static final class Ceiling {
        double first;
        double most;
        Duration at;
    }

    private final Duration span;
    private final Map<Integer, Ceiling> ceilings = new TreeMap<>();

    /**
     * @param span the watched span
     */
    GroupCapacity(Duration span) {
        this.span = span;
    }

    /** Each of the group's members that were left had so many txns at work when harm was seen. */
    void harmed(int group, double each, Duration now) {
        if (each <= 0) {
            return;
        }
        Ceiling c = ceilings.get(group);
        if (c == null || each < most(group, now)) {
            c = new Ceiling();
            c.first = each;
            c.most = each;
            c.at = now;
            ceilings.put(group, c);
        }
    }

    /** What is too much for each member now; infinite where nothing is known. */
    private double most(int group, Duration now) {
        Ceiling c = ceilings.get(group);
        if (c == null) {
            return Double.POSITIVE_INFINITY;
        }
        double spans = (double) now.minus(c.at).toNanos() / span.toNanos();
        double grown = c.most * Math.pow(1 + LET_OFF, spans);
        if (grown > c.first * FORGOTTEN) {
            ceilings.remove(group);
            return Double.POSITIVE_INFINITY;
        }
        return grown;
    }

    /** Whether so many at each are as much as was too much. */
    boolean tooMuch(int group, double each, Duration now) {
        return each >= most(group, now) * SHY;
    }

    /** The groups of which something is known, for people. */
    int known() {
        return ceilings.size();
    }
}
