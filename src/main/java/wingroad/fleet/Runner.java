package wingroad.fleet;

import java.time.Duration;
import wingroad.fleet.FleetRules.Chore;

/** What runs a chore's statement at the primary of its group. */
public interface Runner {
    /**
     * Runs it once, if that may still be, and says how it ended on the fleet's thread.
     *
     * @param until on the monotone clock, {@code System.nanoTime()}: from then on it may no more be
     *     begun nor waited for
     */
    void run(Chore chore, long epoch, long turn, Duration until, Ended ended);

    /** Hears how a statement ended, once. */
    interface Ended {
        void ended(String outcome);
    }
}
