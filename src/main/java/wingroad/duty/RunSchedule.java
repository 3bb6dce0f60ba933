package wingroad.duty;

import java.time.Duration;

/**
 * When the next turn of a duty is due. Clocks are not shared, so each driver counts from when it
 * heard that the last turn was settled; whoever owns the duty then is about a message's way apart
 * from the one before. A turn that is missed is told and not made up for.
 */
public final class RunSchedule {
    private final Duration every;
    private long turn = -1;
    private Duration heardAt;

    public RunSchedule(Duration every) {
        this.every = every;
    }

    /** The newest turn that is settled; returns how many turns were missed before it. */
    public long onRunCommitted(long newest, Duration now) {
        long missed = 0;
        if (newest != turn) {
            if (turn >= 0 && heardAt != null) {
                missed = Math.max(0, now.minus(heardAt).toNanos() / every.toNanos() - 1);
            }
            turn = newest;
            heardAt = now;
        }
        return missed;
    }

    /** The number of the turn that is due, or 0. */
    public long dueRun(Duration now) {
        return heardAt != null && now.minus(heardAt).compareTo(every) >= 0 ? turn + 1 : 0;
    }

    /** How long until the next one is due; zero where it is. */
    public Duration timeUntilDue(Duration now) {
        Duration left = heardAt == null ? every : every.minus(now.minus(heardAt));
        return left.isNegative() ? Duration.ZERO : left;
    }
}
