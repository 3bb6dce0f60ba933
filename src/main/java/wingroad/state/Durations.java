package wingroad.state;

import java.time.Duration;

/** Arithmetic on spans of time. */
public final class Durations {
    private Durations() {}

    public static double toMillis(Duration d) {
        return d.toNanos() / 1e6;
    }

    public static Duration ofMillis(double ms) {
        return Duration.ofNanos((long) (ms * 1e6));
    }

    public static Duration scale(Duration d, double by) {
        return Duration.ofNanos((long) (d.toNanos() * by));
    }

    public static Duration max(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    public static Duration min(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }
}
