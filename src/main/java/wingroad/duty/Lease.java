package wingroad.duty;

import java.time.Duration;

/**
 * How long a session lasts without being renewed, for those that hold it and for those that would
 * end it.
 *
 * @param duration what an owner counts, on its own clock, from before it asked
 * @param maxClockDrift how far a clock may run fast or slow, as a part of one
 */
public record Lease(Duration duration, double maxClockDrift) {
    /**
     * What a voter counts, on its own clock, from when it applied the renewal: never shorter than
     * held by the owner.
     */
    public Duration voterTimeout() {
        return Duration.ofNanos(
                (long) Math.ceil(duration.toNanos() * (1 + maxClockDrift) / (1 - maxClockDrift))
                        + 1);
    }

    /** How often a session is renewed. */
    public Duration heartbeatInterval() {
        return duration.dividedBy(8);
    }
}
