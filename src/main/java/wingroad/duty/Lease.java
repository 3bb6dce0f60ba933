package wingroad.duty;

import java.time.Duration;

/**
 * How long a session lasts without being renewed, for those that hold it and for those that would
 * end it.
 *
 * @param held what an owner counts, on its own clock, from before it asked
 * @param drift how far a clock may run fast or slow, as a part of one
 */
public record Lease(Duration held, double drift) {
    /**
     * What a voter counts, on its own clock, from when it applied the renewal: never shorter than
     * held by the owner.
     */
    public Duration waited() {
        return Duration.ofNanos((long) Math.ceil(held.toNanos() * (1 + drift) / (1 - drift)) + 1);
    }

    /** How often a session is renewed. */
    public Duration beat() {
        return held.dividedBy(8);
    }
}
