package wingroad.driver;

import static wingroad.state.Spans.min;

import java.time.Duration;
import java.time.Instant;

/** Spans since the start, by the monotonic clock. The wall's time is read once, at the start. */
final class Clock {
    /** A hundred years: no time that is meant lies further away. */
    private static final double MAX_OFFSET_MS = 100 * 365.0 * 24 * 3600 * 1000;

    /** One clock is read by all machines; what is sent may be rounded up. */
    private static final Duration MAX_CLOCK_SKEW = Duration.ofMillis(50);

    private final long startNanos = System.nanoTime();
    private final Instant startInstant = Instant.now();

    Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    /** The span that stands for a Unix time in milliseconds; before the start it is negative. */
    Duration fromUnixMs(double unixMs) {
        double startMs = startInstant.getEpochSecond() * 1e3 + startInstant.getNano() / 1e6;
        // Whatever it is counted with has to stay within what nanoseconds can count.
        double offsetMs = Math.max(-MAX_OFFSET_MS, Math.min(MAX_OFFSET_MS, unixMs - startMs));
        return Duration.ofNanos(Math.round(offsetMs * 1e6));
    }

    /**
     * The span for a time at which something is said to have been, or null where that can't be: a
     * log's position that lies ahead of now would count as proven for good.
     */
    Duration pastFromUnixMs(double unixMs) {
        Duration at = fromUnixMs(unixMs);
        Duration now = now();
        return unixMs < 0 || at.minus(now).compareTo(MAX_CLOCK_SKEW) > 0 ? null : min(at, now);
    }

    /** The wall's time, for the log. */
    Instant wallTime(Duration sinceStart) {
        return startInstant.plus(sinceStart);
    }
}
