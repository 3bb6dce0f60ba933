package wingroad.protocol;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Parses the load report of a member, such as {@code inflight=7,util=0.61}. Malformed entries are
 * ignored.
 */
public final class Gauges {
    private static final Pattern NUMBER =
            Pattern.compile("-?[0-9]{1,18}(\\.[0-9]{1,18})?([eE][-+]?[0-9]{1,2})?");

    private Gauges() {}

    public static Map<String, Double> parse(String text) {
        Map<String, Double> gauges = new HashMap<>();
        for (String gauge : text.split(",")) {
            int equals = gauge.indexOf('=');
            Double value = equals <= 0 ? null : parseNumber(gauge.substring(equals + 1));
            if (value != null) {
                gauges.put(gauge.substring(0, equals).strip(), value);
            }
        }
        return gauges;
    }

    /** Parses a finite number; returns null if the text is null or no number. */
    public static Double parseNumber(String text) {
        return text != null && NUMBER.matcher(text.strip()).matches()
                ? Double.valueOf(text.strip())
                : null;
    }
}
