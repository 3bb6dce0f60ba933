package wingroad.duty;

import java.time.Duration;

/**
 * When the next turn of a duty is due. Clocks are not shared, so each driver counts from when it
 * heard that the last turn was settled; whoever owns the duty then is about a message's way apart
 * from the one before. A turn that is missed is told and not made up for.
 */
public final class RunSchedule {
    private final Duration interval;
    private long lastRun = -1;
    private Duration lastRunAt;

    public RunSchedule(Duration interval) {
        this.interval = interval;
    }

    /** The newest turn that is settled; returns how many turns were missed before it. */
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

    /** The number of the turn that is due, or 0. */
    public long dueRun(Duration now) {
        return lastRunAt != null && now.minus(lastRunAt).compareTo(interval) >= 0 ? lastRun + 1 : 0;
    }

    /** How long until the next one is due; zero where it is. */
    public Duration timeUntilDue(Duration now) {
        Duration remaining = lastRunAt == null ? interval : interval.minus(now.minus(lastRunAt));
        return remaining.isNegative() ? Duration.ZERO : remaining;
    }
}
