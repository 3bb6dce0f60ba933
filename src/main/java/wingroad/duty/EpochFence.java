package wingroad.duty;

import java.util.HashMap;
import java.util.Map;

/**
 * What whoever receives effects keeps: for each duty the highest epoch that was seen. An effect of
 * a lower one comes from an owner that woke up late, and is refused. One entry for each duty that
 * is known here; others are refused.
 */
public final class EpochFence {
    private final Map<String, Long> highestEpoch = new HashMap<>();
    private long refusedCount;

    /**
     * An epoch is in force for a duty, by the council's word: nothing below it counts from now on.
     */
    public void advance(String duty, long epoch) {
        highestEpoch.merge(duty, epoch, Math::max);
    }

    /** Whether an effect may take place; its epoch is seen from then on. */
    public boolean admits(String duty, long epoch) {
        Long highest = highestEpoch.get(duty);
        if (highest == null || epoch < highest) {
            refusedCount++;
            return false;
        }
        highestEpoch.put(duty, epoch);
        return true;
    }

    public long highestEpoch(String duty) {
        return highestEpoch.getOrDefault(duty, 0L);
    }

    public long refusedCount() {
        return refusedCount;
    }
}
