package wingroad.duty;

import java.util.HashMap;
import java.util.Map;

/**
 * What whoever receives effects keeps: for each duty the highest epoch that was seen. An effect of
 * a lower one comes from an owner that woke up late, and is refused. One entry for each duty that
 * is known here; others are refused.
 */
public final class Fence {
    private final Map<String, Long> highest = new HashMap<>();
    private long refused;

    /**
     * An epoch is in force for a duty, by the council's word: nothing below it counts from now on.
     */
    public void raise(String duty, long epoch) {
        highest.merge(duty, epoch, Math::max);
    }

    /** Whether an effect may take place; its epoch is seen from then on. */
    public boolean admits(String duty, long epoch) {
        Long seen = highest.get(duty);
        if (seen == null || epoch < seen) {
            refused++;
            return false;
        }
        highest.put(duty, epoch);
        return true;
    }

    public long highest(String duty) {
        return highest.getOrDefault(duty, 0L);
    }

    public long refused() {
        return refused;
    }
}
