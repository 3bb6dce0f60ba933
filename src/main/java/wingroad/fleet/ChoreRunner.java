package wingroad.fleet;

import wingroad.fleet.FleetConfig.Chore;

import java.time.Duration;

/** Runs a chore's statement on the primary of its group. */
public interface ChoreRunner {
    /**
     * Runs the statement at most once, before the deadline.
     *
     * @param epoch the duty's epoch under which it runs
     * @param run the number of the run
     * @param deadline in {@code System.nanoTime()}: from then on the statement is neither started
     *     nor waited for
     * @param completion called once, on the fleet's thread
     */
    void run(Chore chore, long epoch, long run, Duration deadline, Completion completion);

    /** Called once when the statement has ended. */
    interface Completion {
        /**
         * Reports the outcome of the statement.
         *
         * @param outcome the outcome in text
         * @param mayStillRun whether the outcome is unknown, so that the statement may still be
         *     running at the member or may yet begin, until its deadline
         */
        void completed(String outcome, boolean mayStillRun);
    }
}
