package wingroad.duty;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks fencing tokens where the effects of a duty arrive: remembers the highest epoch seen for
 * each duty and refuses effects of a lower one, which come from a former owner that does not know
 * yet that it lost the duty. Effects of a duty whose epoch has not been announced by {@link
 * #advance} are refused too.
 */
public final class EpochFence {
    private final Map<String, Long> highestEpoch = new HashMap<>();
    private long refusedCount;

    /**
     * Announces that the voters have committed this epoch for the duty; effects under a lower epoch
     * are refused from now on.
     */
    public void advance(String duty, long epoch) {
        highestEpoch.merge(duty, epoch, Math::max);
    }

    /**
     * Returns whether an effect under this epoch may take place, and raises the duty's highest
     * epoch to it if so.
     */
    public boolean admits(String duty, long epoch) {
        Long highest = highestEpoch.get(duty);
        if (highest == null || epoch < highest) {
            refusedCount++;
            return false;
        }
        highestEpoch.put(duty, epoch);
        return true;
    }

    /** Returns the highest epoch seen for the duty, or 0 if none was seen. */
    public long highestEpoch(String duty) {
        return highestEpoch.getOrDefault(duty, 0L);
    }

    /** Returns how many effects were refused. */
    public long refusedCount() {
        return refusedCount;
    }
}
