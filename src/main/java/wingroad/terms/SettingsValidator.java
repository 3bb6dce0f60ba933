package wingroad.terms;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What is wrong with a deployment's settings, each with the path of its key: a value of the wrong
 * form, out of range, a word that nobody knows, and settings that contradict each other because
 * they are of two shapes of deployment. What is absent takes its default; keys that are not read
 * are not looked at, as the wire asks.
 */
public final class SettingsValidator {
    private static final double DAY_MS = 86_400_000;
    private static final double MANY = 1e6;

    private final Map<String, Object> settings;
    private final List<String> problems = new ArrayList<>();

    private SettingsValidator(Map<String, Object> settings) {
        this.settings = settings;
    }

    /** The problems, in the order of the wire's page; none where the settings can be used. */
    public static List<String> problems(Map<String, Object> settings) {
        SettingsValidator check = new SettingsValidator(settings);
        check.whole();
        check.types();
        check.shapes();
        return check.problems;
    }

    private void whole() {
        number("balancers", 1, MANY);
        number("index", 0, MANY);
        number("zone", 0, MANY);
        number("granularity", 0, 1000);
        word("discovery", Set.of("push", "ask"));
        word("family-info.checks", Set.of("silent", "reject", "hold"));
        number("family-info.holds-for", 0, DAY_MS);
        word("family-info.role-in-list", Set.of("delayed", "initial", "silent"));
        flag("family-info.stamps");
        word("family-info.write-marks", Set.of("client", "router"));
        word("report.source", Set.of("piggyback", "pull", "silent"));
        flag("callers.marks-retry");
        for (String name :
                List.of("cancelling", "peers", "probes", "retry-after", "second-copies")) {
            flag("limits." + name);
        }
        number("limits.max-attempts", 1, MANY);
        number("limits.max-retry-after", 0, DAY_MS);
        number("limits.connect-timeout", 1, DAY_MS);
        number("limits.keepalive", 0, DAY_MS);
        number("limits.streams-per-conn", 1, MANY);
        number("rules.answer-slack", 0, DAY_MS);
        number("rules.ask-within", 0, DAY_MS);
        number("rules.cold", 0, DAY_MS);
        number("rules.cold-share", 0, 1);
        number("rules.drain-grace", 0, DAY_MS);
        number("rules.fall", 0, DAY_MS);
        number("rules.fall-multiple", 0, MANY);
        flag("rules.removal-not-binding");
        for (String name : List.of("cross-zone", "waste", "probe", "late-fail")) {
            number("prices." + name, 0, MANY);
        }
    }

    private void types() {
        if (!(RouterSettings.valueAt(settings, "grades") instanceof List<?> types)
                || types.isEmpty()) {
            problems.add("grades: a list of the txn types, one at the least, is needed");
            return;
        }
        for (int i = 0; i < types.size(); i++) {
            String type = "grades[" + i + "].";
            number(type + "aim", 1, DAY_MS);
            number(type + "deadline", 1, DAY_MS);
            number(type + "worth", 0, MANY);
            number(type + "late-share", 0, 1);
            word(type + "semantics", Set.of("repeatable", "by_key", "once"));
            word(type + "group", Set.of("all", "zone", "cell"));
            number(type + "window", 0, DAY_MS);
            word(
                    "family-info.consistency[" + i + "]",
                    Set.of("update", "latest", "own_writes", "recent", "loose"));
            number("family-info.oldest-data[" + i + "]", 0, DAY_MS);
            if (value(type + "aim", 0) > value(type + "deadline", DAY_MS)) {
                problems.add(type + "deadline: earlier than " + type + "aim");
            }
            if ("by_key".equals(get(type + "semantics")) && value(type + "window", 0) <= 0) {
                problems.add(type + "window: needed where semantics is by_key");
            }
        }
        for (String list : List.of("family-info.consistency", "family-info.oldest-data")) {
            if (get(list) != null
                    && (!(get(list) instanceof List<?> l) || l.size() != types.size())) {
                problems.add(list + ": a list of as many values as grades has is needed");
            }
        }
    }

    /** Settings that hold at different shapes of deployment and together mean nothing. */
    private void shapes() {
        if ("ask".equals(get("discovery")) && value("rules.ask-within", 0) <= 0) {
            problems.add("rules.ask-within: needed where discovery is ask");
        }
        boolean holds = "hold".equals(get("family-info.checks"));
        if (holds != value("family-info.holds-for", 0) > 0) {
            problems.add("family-info.holds-for: goes with checks hold, and with it alone");
        }
        if ("pull".equals(get("report.source")) && !Boolean.TRUE.equals(get("limits.probes"))) {
            problems.add("limits.probes: needed where report.source is pull");
        }
        if (value("rules.drain-grace", DAY_MS) < 2 * value("granularity", 0)) {
            problems.add("rules.drain-grace: shorter than two steps of granularity");
        }
        boolean proven =
                !"silent".equals(text("family-info.checks", "silent"))
                        || Boolean.TRUE.equals(get("family-info.stamps"))
                        || !"silent".equals(text("report.source", "silent"))
                                && get("report.names") instanceof List<?> names
                                && names.stream()
                                        .anyMatch(
                                                n ->
                                                        "position"
                                                                .equals(
                                                                        RouterSettings.gaugeName(
                                                                                String.valueOf(
                                                                                        n))));
        int types = get("grades") instanceof List<?> l ? l.size() : 0;
        for (int i = 0; i < types; i++) {
            boolean recent = "recent".equals(get("family-info.consistency[" + i + "]"));
            if (recent != value("family-info.oldest-data[" + i + "]", 0) > 0) {
                problems.add(
                        "family-info.oldest-data["
                                + i
                                + "]: goes with consistency recent, and with it alone");
            }
            if (recent && !proven) {
                problems.add(
                        "family-info.stamps: members neither check nor tell a position, so no"
                            + " replica may be read");
            }
        }
    }

    private Object get(String path) {
        return RouterSettings.valueAt(settings, path);
    }

    private String text(String path, String absent) {
        return get(path) instanceof String s ? s : absent;
    }

    private double value(String path, double absent) {
        return get(path) instanceof Number n ? n.doubleValue() : absent;
    }

    private void number(String path, double least, double most) {
        Object v = get(path);
        if (v == null) {
            return;
        }
        double d = v instanceof Number n ? n.doubleValue() : Double.NaN;
        if (!(d >= least && d <= most)) {
            problems.add(
                    path
                            + ": a number from "
                            + (long) least
                            + " to "
                            + (long) most
                            + " is needed, not "
                            + shown(v));
        }
    }

    private void word(String path, Set<String> words) {
        Object v = get(path);
        if (v != null && !(v instanceof String s && words.contains(s))) {
            problems.add(
                    path
                            + ": one of "
                            + String.join(", ", words.stream().sorted().toList())
                            + " is needed, not "
                            + shown(v));
        }
    }

    private void flag(String path) {
        Object v = get(path);
        if (v != null && !(v instanceof Boolean)) {
            problems.add(path + ": true or false is needed, not " + shown(v));
        }
    }

    private static String shown(Object v) {
        String s = v instanceof String ? "\"" + v + "\"" : String.valueOf(v);
        return s.length() > 40 ? s.substring(0, 40) + "..." : s;
    }
}
