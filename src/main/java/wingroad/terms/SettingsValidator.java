package wingroad.terms;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Validates a deployment's settings. Finds values of the wrong type or out of range, unknown words,
 * and settings that contradict each other because they belong to different kinds of deployment.
 * Absent keys take their defaults; unknown keys are ignored, as the protocol requires.
 */
public final class SettingsValidator {
    private static final double DAY_MS = 86_400_000;

    /** Upper limit of counts, factors and prices. */
    private static final double MAX_NUMBER = 1e6;

    private static final double MAX_GRANULARITY_MS = 1000;

    /** Longer values are cut off in messages. */
    private static final int MAX_SHOWN_CHARS = 40;

    private final Map<String, Object> settings;
    private final List<String> problems = new ArrayList<>();

    private SettingsValidator(Map<String, Object> settings) {
        this.settings = settings;
    }

    /** The problems found, each starting with the path of its key; empty for valid settings. */
    public static List<String> problems(Map<String, Object> settings) {
        SettingsValidator validator = new SettingsValidator(settings);
        validator.checkDeploymentSettings();
        validator.checkTxnTypes();
        validator.checkConsistency();
        return validator.problems;
    }

    private void checkDeploymentSettings() {
        checkNumber("balancers", 1, MAX_NUMBER);
        checkNumber("index", 0, MAX_NUMBER);
        checkNumber("zone", 0, MAX_NUMBER);
        checkNumber("granularity", 0, MAX_GRANULARITY_MS);
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
            problems.add("grades: must be a list of at least one txn type");
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
                problems.add(typePath + "deadline: must not be earlier than " + typePath + "aim");
            }
            if ("by_key".equals(valueAt(typePath + "semantics"))
                    && numberAt(typePath + "window", 0) <= 0) {
                problems.add(typePath + "window: required if semantics is by_key");
            }
        }
        for (String listPath : List.of("family-info.consistency", "family-info.oldest-data")) {
            if (valueAt(listPath) != null
                    && (!(valueAt(listPath) instanceof List<?> l) || l.size() != types.size())) {
                problems.add(listPath + ": must be a list of as many values as grades has");
            }
        }
    }

    /** Finds settings that contradict each other. */
    private void checkConsistency() {
        if ("ask".equals(valueAt("discovery")) && numberAt("rules.ask-within", 0) <= 0) {
            problems.add("rules.ask-within: required if discovery is ask");
        }
        boolean membersHold = "hold".equals(valueAt("family-info.checks"));
        if (membersHold != numberAt("family-info.holds-for", 0) > 0) {
            problems.add("family-info.holds-for: must be set if and only if checks is hold");
        }
        if ("pull".equals(valueAt("report.source"))
                && !Boolean.TRUE.equals(valueAt("limits.probes"))) {
            problems.add("limits.probes: required if report.source is pull");
        }
        if (numberAt("rules.drain-grace", DAY_MS) < 2 * numberAt("granularity", 0)) {
            problems.add("rules.drain-grace: must be at least twice the granularity");
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
                                + "]: must be set if and only if consistency is recent");
            }
            if (recent && !positionsKnown) {
                problems.add(
                        "family-info.stamps: members neither check freshness nor report a"
                                + " position, so no replica may be read");
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
                            + ": must be a number from "
                            + (long) min
                            + " to "
                            + (long) max
                            + ", not "
                            + abbreviated(value));
        }
    }

    private void checkWord(String path, Set<String> allowed) {
        Object value = valueAt(path);
        if (value != null && !(value instanceof String s && allowed.contains(s))) {
            problems.add(
                    path
                            + ": must be one of "
                            + String.join(", ", allowed.stream().sorted().toList())
                            + ", not "
                            + abbreviated(value));
        }
    }

    private void checkFlag(String path) {
        Object value = valueAt(path);
        if (value != null && !(value instanceof Boolean)) {
            problems.add(path + ": must be true or false, not " + abbreviated(value));
        }
    }

    /** The value as shown in a message. */
    private static String abbreviated(Object value) {
        String text = value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
        return text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
    }
}
