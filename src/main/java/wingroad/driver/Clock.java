package wingroad.driver;

import static wingroad.state.Durations.min;

import java.time.Duration;
import java.time.Instant;

/**
 * A monotonic clock whose times are durations since its creation. The wall clock is read once, at
 * creation.
 */
final class Clock {
    /** A hundred years; times further away are cut to this, so that nanoseconds can't overflow. */
    private static final double MAX_OFFSET_MS = 100 * 365.0 * 24 * 3600 * 1000;

    /**
     * How far ahead of now a received time may be; all machines share one clock, but may round up.
     */
    private static final Duration MAX_CLOCK_SKEW = Duration.ofMillis(50);

    private final long startNanos = System.nanoTime();
    private final Instant startInstant = Instant.now();

    Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    /** Converts a Unix time in milliseconds; the result is negative before the clock's creation. */
    Duration fromUnixMs(double unixMs) {
        double startMs = startInstant.getEpochSecond() * 1e3 + startInstant.getNano() / 1e6;
        // Further computation with the result must stay within the range of nanoseconds.
        double offsetMs = Math.max(-MAX_OFFSET_MS, Math.min(MAX_OFFSET_MS, unixMs - startMs));
        return Duration.ofNanos(Math.round(offsetMs * 1e6));
    }

    /**
     * Converts a Unix time in milliseconds that must be in the past; returns null if it can't be.
     * Guards against a log position ahead of now, which would count as reached forever.
     */
    Duration pastFromUnixMs(double unixMs) {
        Duration at = fromUnixMs(unixMs);
        Duration now = now();
        return unixMs < 0 || at.minus(now).compareTo(MAX_CLOCK_SKEW) > 0 ? null : min(at, now);
    }

    /** The wall-clock time for a time of this clock. */
    Instant wallTime(Duration sinceStart) {
        return startInstant.plus(sinceStart);
    }
}
