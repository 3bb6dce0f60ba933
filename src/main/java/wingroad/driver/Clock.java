package wingroad.driver;

import static wingroad.state.Durations.min;

import java.time.Duration;
import java.time.Instant;

/** Spans since the start, by the monotonic clock. The wall's time is read once, at the start. */
final class Clock {
    /** A hundred years: no time that is meant lies further away. */
    private static final double FURTHEST_MS = 100 * 365.0 * 24 * 3600 * 1000;

    /** One clock is read by all machines; what is sent may be rounded up. */
    private static final Duration APART = Duration.ofMillis(50);

    private final long startNanos = System.nanoTime();
    private final Instant startWall = Instant.now();

    Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    /** The span that stands for a Unix time in milliseconds; before the start it is negative. */
    Duration at(double unixMs) {
        double startMs = startWall.getEpochSecond() * 1e3 + startWall.getNano() / 1e6;
        // Whatever it is counted with has to stay within what nanoseconds can count.
        double fromStart = Math.max(-FURTHEST_MS, Math.min(FURTHEST_MS, unixMs - startMs));
        return Duration.ofNanos(Math.round(fromStart * 1e6));
    }

    /**
     * The span for a time at which something is said to have been, or null where that can't be: a
     * log's position that lies ahead of now would count as proven for good.
     */
    Duration past(double unixMs) {
        Duration at = at(unixMs);
        Duration now = now();
        return unixMs < 0 || at.minus(now).compareTo(APART) > 0 ? null : min(at, now);
    }

    /** The wall's time, for the log. */
    Instant wall(Duration at) {
        return startWall.plus(at);
    }
}
