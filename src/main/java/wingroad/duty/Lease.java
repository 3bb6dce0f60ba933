package wingroad.duty;

import java.time.Duration;

/**
 * The duration of a session lease, as its holder and the voters measure it.
 *
 * @param duration how long the holder may act after sending a heartbeat, on its own clock
 * @param maxClockDrift the largest rate error of any clock, as a fraction: 0.01 is 1 %
 */
public record Lease(Duration duration, double maxClockDrift) {
    private static final int HEARTBEATS_PER_LEASE = 8;

    /**
     * Returns how long a voter waits, on its own clock, after applying a renewal before it proposes
     * to expire the session. Never shorter than the holder's lease, even if the voter's clock runs
     * fast and the holder's runs slow.
     */
    public Duration voterTimeout() {
        return Duration.ofNanos(
                (long) Math.ceil(duration.toNanos() * (1 + maxClockDrift) / (1 - maxClockDrift))
                        + 1);
    }

    /** Returns the interval at which the holder sends heartbeats. */
    public Duration heartbeatInterval() {
        return duration.dividedBy(HEARTBEATS_PER_LEASE);
    }
}
