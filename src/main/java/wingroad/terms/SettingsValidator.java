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
    private static final double MAX_NUMBER = 1e6;

    private final Map<String, Object> settings;
    private final List<String> problems = new ArrayList<>();

    private SettingsValidator(Map<String, Object> settings) {
        this.settings = settings;
    }

    /** The problems, in the order of the wire's page; none where the settings can be used. */
    public static List<String> problems(Map<String, Object> settings) {
        SettingsValidator check = new SettingsValidator(settings);
        check.checkDeploymentSettings();
        check.checkTxnTypes();
        check.checkConsistency();
        return check.problems;
    }

    private void checkDeploymentSettings() {
        checkNumber("balancers", 1, MAX_NUMBER);
        checkNumber("index", 0, MAX_NUMBER);
        checkNumber("zone", 0, MAX_NUMBER);
        checkNumber("granularity", 0, 1000);
        checkWord("discovery", Set.of("push", "ask"));
        checkWord("family-info.checks", Set.of("silent", "reject", "hold"));
        checkNumber("family-info.holds-for", 0, DAY_MS);
        checkWord("family-info.role-in-list", Set.of("delayed", "initial", "silent"));
        checkFlag("family-info.stamps");
        checkWord("family-info.write-marks", Set.of("client", "router"));
        checkWord("report.source", Set.of("piggyback", "pull", "silent"));
        checkFlag("callers.marks-retry");
        for (String name :
                List.of("cancelling", "peers", "probes", "retry-after", "second-copies")) {
            checkFlag("limits." + name);
        }
        checkNumber("limits.max-attempts", 1, MAX_NUMBER);
        checkNumber("limits.max-retry-after", 0, DAY_MS);
        checkNumber("limits.connect-timeout", 1, DAY_MS);
        checkNumber("limits.keepalive", 0, DAY_MS);
        checkNumber("limits.streams-per-conn", 1, MAX_NUMBER);
        checkNumber("rules.answer-slack", 0, DAY_MS);
        checkNumber("rules.ask-within", 0, DAY_MS);
        checkNumber("rules.cold", 0, DAY_MS);
        checkNumber("rules.cold-share", 0, 1);
        checkNumber("rules.drain-grace", 0, DAY_MS);
        checkNumber("rules.fall", 0, DAY_MS);
        checkNumber("rules.fall-multiple", 0, MAX_NUMBER);
        checkFlag("rules.removal-not-binding");
        for (String name : List.of("cross-zone", "waste", "probe", "late-fail")) {
            checkNumber("prices." + name, 0, MAX_NUMBER);
        }
    }

    private void checkTxnTypes() {
        if (!(RouterSettings.valueAt(settings, "grades") instanceof List<?> types)
                || types.isEmpty()) {
            problems.add("grades: a list of the txn types, one at the least, is needed");
            return;
        }
        for (int i = 0; i < types.size(); i++) {
            String typePath = "grades[" + i + "].";
            checkNumber(typePath + "aim", 1, DAY_MS);
            checkNumber(typePath + "deadline", 1, DAY_MS);
            checkNumber(typePath + "worth", 0, MAX_NUMBER);
            checkNumber(typePath + "late-share", 0, 1);
            checkWord(typePath + "semantics", Set.of("repeatable", "by_key", "once"));
            checkWord(typePath + "group", Set.of("all", "zone", "cell"));
            checkNumber(typePath + "window", 0, DAY_MS);
            checkWord(
                    "family-info.consistency[" + i + "]",
                    Set.of("update", "latest", "own_writes", "recent", "loose"));
            checkNumber("family-info.oldest-data[" + i + "]", 0, DAY_MS);
            if (numberAt(typePath + "aim", 0) > numberAt(typePath + "deadline", DAY_MS)) {
                problems.add(typePath + "deadline: earlier than " + typePath + "aim");
            }
            if ("by_key".equals(valueAt(typePath + "semantics"))
                    && numberAt(typePath + "window", 0) <= 0) {
                problems.add(typePath + "window: needed where semantics is by_key");
            }
        }
        for (String list : List.of("family-info.consistency", "family-info.oldest-data")) {
            if (valueAt(list) != null
                    && (!(valueAt(list) instanceof List<?> l) || l.size() != types.size())) {
                problems.add(list + ": a list of as many values as grades has is needed");
            }
        }
    }

    /** Settings that hold at different shapes of deployment and together mean nothing. */
    private void checkConsistency() {
        if ("ask".equals(valueAt("discovery")) && numberAt("rules.ask-within", 0) <= 0) {
            problems.add("rules.ask-within: needed where discovery is ask");
        }
        boolean membersHold = "hold".equals(valueAt("family-info.checks"));
        if (membersHold != numberAt("family-info.holds-for", 0) > 0) {
            problems.add("family-info.holds-for: goes with checks hold, and with it alone");
        }
        if ("pull".equals(valueAt("report.source"))
                && !Boolean.TRUE.equals(valueAt("limits.probes"))) {
            problems.add("limits.probes: needed where report.source is pull");
        }
        if (numberAt("rules.drain-grace", DAY_MS) < 2 * numberAt("granularity", 0)) {
            problems.add("rules.drain-grace: shorter than two steps of granularity");
        }
        boolean positionsKnown =
                !"silent".equals(textAt("family-info.checks", "silent"))
                        || Boolean.TRUE.equals(valueAt("family-info.stamps"))
                        || !"silent".equals(textAt("report.source", "silent"))
                                && valueAt("report.names") instanceof List<?> names
                                && names.stream()
                                        .anyMatch(
                                                n ->
                                                        "position"
                                                                .equals(
                                                                        RouterSettings.gaugeName(
                                                                                String.valueOf(
                                                                                        n))));
        int typeCount = valueAt("grades") instanceof List<?> l ? l.size() : 0;
        for (int i = 0; i < typeCount; i++) {
            boolean recent = "recent".equals(valueAt("family-info.consistency[" + i + "]"));
            if (recent != numberAt("family-info.oldest-data[" + i + "]", 0) > 0) {
                problems.add(
                        "family-info.oldest-data["
                                + i
                                + "]: goes with consistency recent, and with it alone");
            }
            if (recent && !positionsKnown) {
                problems.add(
                        "family-info.stamps: members neither check nor tell a position, so no"
                                + " replica may be read");
            }
        }
    }

    private Object valueAt(String path) {
        return RouterSettings.valueAt(settings, path);
    }

    private String textAt(String path, String defaultValue) {
        return valueAt(path) instanceof String s ? s : defaultValue;
    }

    private double numberAt(String path, double defaultValue) {
        return valueAt(path) instanceof Number n ? n.doubleValue() : defaultValue;
    }

    private void checkNumber(String path, double min, double max) {
        Object value = valueAt(path);
        if (value == null) {
            return;
        }
        double number = value instanceof Number n ? n.doubleValue() : Double.NaN;
        if (!(number >= min && number <= max)) {
            problems.add(
                    path
                            + ": a number from "
                            + (long) min
                            + " to "
                            + (long) max
                            + " is needed, not "
                            + abbreviated(value));
        }
    }

    private void checkWord(String path, Set<String> allowed) {
        Object value = valueAt(path);
        if (value != null && !(value instanceof String s && allowed.contains(s))) {
            problems.add(
                    path
                            + ": one of "
                            + String.join(", ", allowed.stream().sorted().toList())
                            + " is needed, not "
                            + abbreviated(value));
        }
    }

    private void checkFlag(String path) {
        Object value = valueAt(path);
        if (value != null && !(value instanceof Boolean)) {
            problems.add(path + ": true or false is needed, not " + abbreviated(value));
        }
    }

    private static String abbreviated(Object value) {
        String text = value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
        return text.length() > 40 ? text.substring(0, 40) + "..." : text;
    }
}
