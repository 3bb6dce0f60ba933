package wingroad.state;

import java.time.Duration;

/** Arithmetic on spans of time. */
public final class Spans {
    private Spans() {}

    public static double ms(Duration d) {
        return d.toNanos() / 1e6;
    }

    public static Duration millis(double ms) {
        return Duration.ofNanos((long) (ms * 1e6));
    }

    public static Duration times(Duration d, double by) {
        return Duration.ofNanos((long) (d.toNanos() * by));
    }

    public static Duration max(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    public static Duration min(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }
}
