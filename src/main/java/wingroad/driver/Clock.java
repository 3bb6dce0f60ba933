package wingroad.driver;

import java.time.Duration;
import java.time.Instant;

/** Spans since the start, by the monotonic clock. The wall's time is read once, at the start. */
final class Clock {
    private final long startNanos = System.nanoTime();
    private final Instant startWall = Instant.now();

    Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    /** The span that stands for a Unix time in milliseconds; before the start it is negative. */
    Duration at(double unixMs) {
        double startMs = startWall.getEpochSecond() * 1e3 + startWall.getNano() / 1e6;
        return Duration.ofNanos(Math.round((unixMs - startMs) * 1e6));
    }

    /** The wall's time, for the log. */
    Instant wall(Duration at) {
        return startWall.plus(at);
    }
}
