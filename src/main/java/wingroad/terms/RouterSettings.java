package wingroad.terms;

import wingroad.protocol.Json;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Renames the start-up object, the same on the simulator's wire and in a driver's configuration,
 * into the flat map of names to values that the module reads: the users' words, times as Durations.
 * What has no name here is skipped; what is absent takes the wire's default.
 */
public final class RouterSettings {
    private static final int NUMBER = 0;
    private static final int TIME = 1;
    private static final int WORD = 2;
    private static final int FLAG = 3;

    private record Name(String wire, String ours, int form, Object absent) {}

    private static final Name[] WHOLE = {
        new Name("balancers", "drivers", NUMBER, 1.0),
        new Name("index", "driver", NUMBER, 0.0),
        new Name("zone", "zone", NUMBER, 0.0),
        new Name("granularity", "step", TIME, Duration.ZERO),
        new Name("discovery", "member-list", WORD, "push"),
        new Name("weights", "weights", WORD, "silent"),
        new Name("family-info.checks", "members-check", WORD, "silent"),
        new Name("family-info.holds-for", "members-hold-for", TIME, Duration.ZERO),
        new Name("family-info.role-in-list", "role-in-list", WORD, "silent"),
        new Name("family-info.stamps", "answers-tell-position", FLAG, Boolean.FALSE),
        new Name("family-info.waits-for-copy", "writes-wait-for-replica", FLAG, Boolean.FALSE),
        new Name("family-info.write-marks", "session-marks", WORD, "router"),
        new Name("report.source", "reports", WORD, "silent"),
        new Name("callers.marks-retry", "clients-mark-retries", FLAG, Boolean.FALSE),
        new Name("limits.cancelling", "may-cancel", FLAG, Boolean.FALSE),
        new Name("limits.probes", "may-probe", FLAG, Boolean.FALSE),
        new Name("limits.retry-after", "may-advise-come-back", FLAG, Boolean.FALSE),
        new Name("limits.second-copies", "second-copies", FLAG, Boolean.FALSE),
        new Name("limits.max-attempts", "most-submissions", NUMBER, 1.0),
        new Name("limits.max-retry-after", "longest-come-back", TIME, Duration.ZERO),
        new Name("limits.connect-timeout", "connect-time-out", TIME, Duration.ZERO),
        new Name("limits.keepalive", "idle-time", TIME, Duration.ZERO),
        new Name("limits.streams-per-conn", "submissions-a-connection", NUMBER, 1.0),
        new Name("rules.answer-slack", "answer-slack", TIME, Duration.ZERO),
        new Name("rules.ask-within", "ask-within", TIME, Duration.ZERO),
        new Name("rules.cold", "cold", TIME, Duration.ZERO),
        new Name("rules.cold-share", "cold-share", NUMBER, 1.0),
        new Name("rules.drain-grace", "drain-grace", TIME, Duration.ZERO),
        new Name("rules.fall", "fall", TIME, Duration.ZERO),
        new Name("rules.fall-multiple", "fall-multiple", NUMBER, 1.0),
        new Name("rules.removal-not-binding", "removal-not-binding", FLAG, Boolean.FALSE),
        new Name("prices.cross-zone", "price.cross-zone", NUMBER, 0.0),
        new Name("prices.waste", "price.waste", NUMBER, 0.0),
        new Name("prices.probe", "price.probe", NUMBER, 0.0),
        new Name("prices.late-fail", "price.late-rollback", NUMBER, 0.0),
    };

    private static final Name[] TYPE = {
        new Name("aim", "sla-time", TIME, Duration.ZERO),
        new Name("deadline", "expiry", TIME, Duration.ZERO),
        new Name("worth", "value", NUMBER, 1.0),
        new Name("late-share", "late-share", NUMBER, 0.0),
        new Name("semantics", "repeat", WORD, "once"),
        new Name("group", "repeats-dropped-by", WORD, "all"),
        new Name("window", "window", TIME, Duration.ZERO),
    };

    private static final Map<String, String> WORDS =
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

    /** What a figure in a member's report is called here; one that is not known keeps its name. */
    private static final Map<String, String> FIGURES =
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

    public static String gaugeName(String wire) {
        return FIGURES.getOrDefault(wire, wire);
    }

    public static Map<String, Object> fromWire(Map<String, Object> wire) {
        Map<String, Object> terms = new HashMap<>();
        for (Name name : WHOLE) {
            terms.put(name.ours, value(name, valueAt(wire, name.wire)));
        }
        List<?> types = wire.get("grades") instanceof List<?> l ? l : List.of();
        terms.put("txn-types", (double) types.size());
        for (int i = 0; i < types.size(); i++) {
            String prefix = "txn-type." + i + ".";
            for (Name name : TYPE) {
                Object v = types.get(i) instanceof Map<?, ?> m ? m.get(name.wire) : null;
                terms.put(prefix + name.ours, value(name, v));
            }
            Object fresh = element(valueAt(wire, "family-info.consistency"), i);
            terms.put(prefix + "reads", fresh instanceof String s ? word(s) : "loose");
            terms.put(
                    prefix + "oldest-data",
                    element(valueAt(wire, "family-info.oldest-data"), i) instanceof Number n
                            ? Json.span(n)
                            : Duration.ZERO);
        }
        return terms;
    }

    private static Object element(Object list, int i) {
        return list instanceof List<?> l && i < l.size() ? l.get(i) : null;
    }

    /** What stands at this path, such as {@code grades[0].aim}, or null. */
    static Object valueAt(Map<String, Object> wire, String path) {
        Object v = wire;
        for (String part : path.split("\\.")) {
            int open = part.indexOf('[');
            String name = open < 0 ? part : part.substring(0, open);
            v = v instanceof Map<?, ?> m ? m.get(name) : null;
            if (open >= 0) {
                v = element(v, Integer.parseInt(part.substring(open + 1, part.length() - 1)));
            }
        }
        return v;
    }

    private static Object value(Name name, Object v) {
        return switch (name.form) {
            case NUMBER -> v instanceof Number n ? (Object) n.doubleValue() : name.absent;
            case TIME -> v instanceof Number n ? Json.span(n) : name.absent;
            case WORD -> word(v instanceof String s ? s : (String) name.absent);
            default -> v instanceof Boolean b ? b : name.absent;
        };
    }

    private static String word(String s) {
        return WORDS.getOrDefault(s, s);
    }
}
