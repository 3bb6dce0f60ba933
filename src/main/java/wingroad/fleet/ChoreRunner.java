package wingroad.fleet;

import wingroad.fleet.FleetConfig.Chore;

import java.time.Duration;

/** What runs a chore's statement at the primary of its group. */
public interface ChoreRunner {
    /**
     * Runs it once, if that may still be, and says how it ended on the fleet's thread.
     *
     * @param until on the monotone clock, {@code System.nanoTime()}: from then on it may no more be
     *     begun nor waited for
     */
    void run(Chore chore, long epoch, long run, Duration deadline, Completion completion);

    /** Hears how a statement ended, once. */
    interface Completion {
        void completed(String outcome);
    }
}
