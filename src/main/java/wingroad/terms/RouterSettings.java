package wingroad.terms;

import wingroad.protocol.Json;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Translates a deployment's settings into the flat map that the router reads. The input object is
 * the same in the simulator's protocol and in a driver's configuration. Values become {@link
 * Double}, {@link Duration}, {@link String} or {@link Boolean}; unknown keys are skipped and absent
 * keys take their defaults.
 */
public final class RouterSettings {
    private static final int NUMBER = 0;
    private static final int DURATION_MS = 1;
    private static final int WORD = 2;
    private static final int FLAG = 3;

    /**
     * One setting.
     *
     * @param wirePath its path in the input
     * @param name its name in the router's map
     * @param type one of the constants above
     */
    private record Setting(String wirePath, String name, int type, Object defaultValue) {}

    private static final Setting[] DEPLOYMENT_SETTINGS = {
        new Setting("balancers", "drivers", NUMBER, 1.0),
        new Setting("index", "driver", NUMBER, 0.0),
        new Setting("zone", "zone", NUMBER, 0.0),
        new Setting("granularity", "step", DURATION_MS, Duration.ZERO),
        new Setting("discovery", "member-list", WORD, "push"),
        new Setting("weights", "weights", WORD, "silent"),
        new Setting("family-info.checks", "members-check", WORD, "silent"),
        new Setting("family-info.holds-for", "members-hold-for", DURATION_MS, Duration.ZERO),
        new Setting("family-info.role-in-list", "role-in-list", WORD, "silent"),
        new Setting("family-info.stamps", "answers-tell-position", FLAG, Boolean.FALSE),
        new Setting("family-info.waits-for-copy", "writes-wait-for-replica", FLAG, Boolean.FALSE),
        new Setting("family-info.write-marks", "session-marks", WORD, "router"),
        new Setting("report.source", "reports", WORD, "silent"),
        new Setting("callers.marks-retry", "clients-mark-retries", FLAG, Boolean.FALSE),
        new Setting("limits.cancelling", "may-cancel", FLAG, Boolean.FALSE),
        new Setting("limits.probes", "may-probe", FLAG, Boolean.FALSE),
        new Setting("limits.retry-after", "may-advise-come-back", FLAG, Boolean.FALSE),
        new Setting("limits.second-copies", "second-copies", FLAG, Boolean.FALSE),
        new Setting("limits.max-attempts", "most-submissions", NUMBER, 1.0),
        new Setting("limits.max-retry-after", "longest-come-back", DURATION_MS, Duration.ZERO),
        new Setting("limits.connect-timeout", "connect-time-out", DURATION_MS, Duration.ZERO),
        new Setting("limits.keepalive", "idle-time", DURATION_MS, Duration.ZERO),
        new Setting("limits.streams-per-conn", "submissions-a-connection", NUMBER, 1.0),
        new Setting("rules.answer-slack", "answer-slack", DURATION_MS, Duration.ZERO),
        new Setting("rules.ask-within", "ask-within", DURATION_MS, Duration.ZERO),
        new Setting("rules.cold", "cold", DURATION_MS, Duration.ZERO),
        new Setting("rules.cold-share", "cold-share", NUMBER, 1.0),
        new Setting("rules.drain-grace", "drain-grace", DURATION_MS, Duration.ZERO),
        new Setting("rules.fall", "fall", DURATION_MS, Duration.ZERO),
        new Setting("rules.fall-multiple", "fall-multiple", NUMBER, 1.0),
        new Setting("rules.removal-not-binding", "removal-not-binding", FLAG, Boolean.FALSE),
        new Setting("prices.cross-zone", "price.cross-zone", NUMBER, 0.0),
        new Setting("prices.waste", "price.waste", NUMBER, 0.0),
        new Setting("prices.probe", "price.probe", NUMBER, 0.0),
        new Setting("prices.late-fail", "price.late-rollback", NUMBER, 0.0),
    };

    /** Settings of each txn type; paths are relative to its entry in {@code grades}. */
    private static final Setting[] TXN_TYPE_SETTINGS = {
        new Setting("aim", "sla-time", DURATION_MS, Duration.ZERO),
        new Setting("deadline", "expiry", DURATION_MS, Duration.ZERO),
        new Setting("worth", "value", NUMBER, 1.0),
        new Setting("late-share", "late-share", NUMBER, 0.0),
        new Setting("semantics", "repeat", WORD, "once"),
        new Setting("group", "repeats-dropped-by", WORD, "all"),
        new Setting("window", "window", DURATION_MS, Duration.ZERO),
    };

    /** Names of the router for values of {@link #WORD} settings; other values stay as they are. */
    private static final Map<String, String> VALUE_NAMES =
            Map.of(
                    "by_key",
                    "referenced",
                    "once",
                    "once-only",
                    "own_writes",
                    "own-writes",
                    "delayed",
                    "late",
                    "initial",
                    "start",
                    "piggyback",
                    "answers",
                    "pull",
                    "probes");

    /** Names of the router for gauges in members' reports; other gauges keep their names. */
    private static final Map<String, String> GAUGE_NAMES =
            Map.of(
                    "x0",
                    "position",
                    "x1",
                    "primary",
                    "rif",
                    "held",
                    "inflight",
                    "held",
                    "q",
                    "waiting",
                    "queue",
                    "waiting",
                    "util",
                    "busy");

    private RouterSettings() {}

    /** The router's name for a gauge in a member's report. */
    public static String gaugeName(String wireName) {
        return GAUGE_NAMES.getOrDefault(wireName, wireName);
    }

    /** Translates the settings; values of a wrong type count as absent. */
    public static Map<String, Object> fromWire(Map<String, Object> wire) {
        Map<String, Object> settings = new HashMap<>();
        for (Setting setting : DEPLOYMENT_SETTINGS) {
            settings.put(setting.name, convert(setting, valueAt(wire, setting.wirePath)));
        }
        List<?> types = wire.get("grades") instanceof List<?> l ? l : List.of();
        settings.put("txn-types", (double) types.size());
        for (int i = 0; i < types.size(); i++) {
            String prefix = "txn-type." + i + ".";
            for (Setting setting : TXN_TYPE_SETTINGS) {
                Object value = types.get(i) instanceof Map<?, ?> m ? m.get(setting.wirePath) : null;
                settings.put(prefix + setting.name, convert(setting, value));
            }
            Object freshness = elementAt(valueAt(wire, "family-info.consistency"), i);
            settings.put(prefix + "reads", freshness instanceof String s ? valueName(s) : "loose");
            settings.put(
                    prefix + "oldest-data",
                    elementAt(valueAt(wire, "family-info.oldest-data"), i) instanceof Number n
                            ? Json.durationOfMillis(n)
                            : Duration.ZERO);
        }
        return settings;
    }

    private static Object elementAt(Object list, int index) {
        return list instanceof List<?> l && index < l.size() ? l.get(index) : null;
    }

    /** The value at a path such as {@code grades[0].aim}, or null. */
    static Object valueAt(Map<String, Object> wire, String path) {
        Object value = wire;
        for (String part : path.split("\\.")) {
            int bracket = part.indexOf('[');
            String name = bracket < 0 ? part : part.substring(0, bracket);
            value = value instanceof Map<?, ?> m ? m.get(name) : null;
            if (bracket >= 0) {
                value =
                        elementAt(
                                value,
                                Integer.parseInt(part.substring(bracket + 1, part.length() - 1)));
            }
        }
        return value;
    }

    private static Object convert(Setting setting, Object value) {
        return switch (setting.type) {
            case NUMBER ->
                    value instanceof Number n ? (Object) n.doubleValue() : setting.defaultValue;
            case DURATION_MS ->
                    value instanceof Number n ? Json.durationOfMillis(n) : setting.defaultValue;
            case WORD -> valueName(value instanceof String s ? s : (String) setting.defaultValue);
            default -> value instanceof Boolean b ? b : setting.defaultValue;
        };
    }

    private static String valueName(String wireValue) {
        return VALUE_NAMES.getOrDefault(wireValue, wireValue);
    }
}
