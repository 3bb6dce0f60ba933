package wingroad.duty;

import java.time.Duration;

/**
 * When the next run of a periodic duty is due. Clocks are not shared, so each driver counts from
 * when it learned that the last run was committed; after a change of owner the schedule is shifted
 * by about one message delay. Missed runs are counted and not made up for.
 */
public final class RunSchedule {
    private final Duration interval;
    private long lastRun = -1;

    /** When this driver learned of the last run, on its own clock; null before the first one. */
    private Duration lastRunAt;

    public RunSchedule(Duration interval) {
        this.interval = interval;
    }

    /** Records the newest committed run; returns how many runs were missed before it. */
    public long onRunCommitted(long run, Duration now) {
        long missed = 0;
        if (run != lastRun) {
            if (lastRun >= 0 && lastRunAt != null) {
                missed = Math.max(0, now.minus(lastRunAt).toNanos() / interval.toNanos() - 1);
            }
            lastRun = run;
            lastRunAt = now;
        }
        return missed;
    }

    /** Returns the number of the run that is due, or 0 if none is. */
    public long dueRun(Duration now) {
        return lastRunAt != null && now.minus(lastRunAt).compareTo(interval) >= 0 ? lastRun + 1 : 0;
    }

    /** Returns how long it is until the next run is due; zero if it is due. */
    public Duration timeUntilDue(Duration now) {
        Duration remaining = lastRunAt == null ? interval : interval.minus(now.minus(lastRunAt));
        return remaining.isNegative() ? Duration.ZERO : remaining;
    }
}
