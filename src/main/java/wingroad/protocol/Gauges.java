package wingroad.protocol;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * A member's report of itself: {@code inflight=7,util=0.61}. What is malformed counts as absent.
 */
public final class Gauges {
    private static final Pattern NUMBER =
            Pattern.compile("-?[0-9]{1,18}(\\.[0-9]{1,18})?([eE][-+]?[0-9]{1,2})?");

    private Gauges() {}

    public static Map<String, Double> parse(String text) {
        Map<String, Double> figures = new HashMap<>();
        for (String part : text.split(",")) {
            int equals = part.indexOf('=');
            Double v = equals <= 0 ? null : number(part.substring(equals + 1));
            if (v != null) {
                figures.put(part.substring(0, equals).strip(), v);
            }
        }
        return figures;
    }

    /** A finite number, or null. */
    public static Double number(String text) {
        return text != null && NUMBER.matcher(text.strip()).matches()
                ? Double.valueOf(text.strip())
                : null;
    }
}
