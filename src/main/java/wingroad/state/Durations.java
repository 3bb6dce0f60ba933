package wingroad.state;

import java.time.Duration;

/** Arithmetic on durations. */
public final class Durations {
    private Durations() {}

    /** Milliseconds with fraction, unlike {@link Duration#toMillis}. */
    public static double toMillis(Duration duration) {
        return duration.toNanos() / 1e6;
    }

    /** A duration of milliseconds with fraction. */
    public static Duration ofMillis(double ms) {
        return Duration.ofNanos((long) (ms * 1e6));
    }

    public static Duration scale(Duration duration, double factor) {
        return Duration.ofNanos((long) (duration.toNanos() * factor));
    }

    public static Duration max(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    public static Duration min(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }
}
