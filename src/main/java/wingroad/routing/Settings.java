package wingroad.routing;

import java.time.Duration;
import java.util.Map;

/**
 * Typed access to a deployment's settings by their names in {@code RouterSettings}.
 *
 * @param values durations as {@link Duration}, numbers as {@link Double}, flags as {@link Boolean}
 */
record Settings(Map<String, Object> values) {
    /** The number, or 0 if it is not set. */
    double number(String name) {
        return values.get(name) instanceof Double number ? number : 0;
    }

    /** The duration, or zero if it is not set. */
    Duration duration(String name) {
        return values.get(name) instanceof Duration duration ? duration : Duration.ZERO;
    }

    /** The flag, or false if it is not set. */
    boolean flag(String name) {
        return Boolean.TRUE.equals(values.get(name));
    }

    /** Whether the setting has this word as its value. */
    boolean is(String name, String word) {
        return word.equals(values.get(name));
    }
}
