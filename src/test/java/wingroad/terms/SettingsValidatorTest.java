package wingroad.terms;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import wingroad.protocol.Json;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

class SettingsValidatorTest {
    /** The member list is pushed, and members report their state with their answers. */
    private static final String PUSH_SETTINGS =
            """
            {"balancers": 12, "granularity": 5, "discovery": "push",
             "grades": [{"name": "a", "aim": 500, "deadline": 1000, "semantics": "repeatable"},
                        {"name": "b", "aim": 900, "deadline": 4000, "semantics": "by_key", "group": "cell", "window": 3000}],
             "family-info": {"consistency": ["own_writes", "update"], "checks": "silent", "role-in-list": "delayed",
                             "stamps": true, "write-marks": "router"},
             "report": {"source": "piggyback", "names": ["x0", "x1", "q"]},
             "limits": {"peers": true, "probes": true, "retry-after": true}, "rules": {"drain-grace": 250}}\
            """;

    /** The member list must be requested, and members report their state when probed. */
    private static final String ASK_SETTINGS =
            """
            {"balancers": 3, "granularity": 5, "discovery": "ask",
             "grades": [{"name": "a", "aim": 500, "deadline": 1000, "semantics": "repeatable"},
                        {"name": "b", "aim": 900, "deadline": 4000, "semantics": "once"}],
             "family-info": {"consistency": ["recent", "update"], "oldest-data": [700, 0], "checks": "hold", "holds-for": 40,
                             "role-in-list": "delayed", "stamps": true},
             "report": {"source": "pull", "names": ["x0", "x1"]},
             "limits": {"probes": true, "retry-after": false},
             "rules": {"ask-within": 9000, "drain-grace": 250, "removal-not-binding": true}}\
            """;

    private static Map<String, Object> parse(String json) {
        try {
            return Json.object(json.getBytes(StandardCharsets.UTF_8), "the settings");
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void validSettingsHaveNoProblems() throws IOException {
        assertThat(SettingsValidator.problems(parse(PUSH_SETTINGS))).isEmpty();
        assertThat(SettingsValidator.problems(parse(ASK_SETTINGS))).isEmpty();
        Map<String, Object> example =
                Json.object(Files.readAllBytes(Path.of("examples/config.json")), "the example");
        assertThat(
                        SettingsValidator.problems(
                                Json.object(example.get("settings"), "the example's settings")))
                .isEmpty();
    }

    @Test
    void absentKeysTakeDefaultsAndUnknownKeysAreIgnored() {
        Map<String, Object> partialSettings =
                new HashMap<>(
                        parse(
                                """
                                {"grades": [{"name": "a"}], "something-new": {"x": [1]}}\
                                """));
        assertThat(SettingsValidator.problems(partialSettings)).isEmpty();
        assertThat(RouterSettings.fromWire(partialSettings))
                .containsEntry("drivers", 1.0)
                .containsEntry("may-advise-come-back", false);
    }

    /**
     * Replaces one text of {@link #PUSH_SETTINGS}, so that a value is invalid or contradicts
     * others.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "\"balancers\": 12 | \"balancers\": 0 | balancers",
                "\"balancers\": 12 | \"balancers\": \"many\" | balancers",
                "\"peers\": true | \"peers\": 1 | limits.peers",
                "\"delayed\" | \"soon\" | family-info.role-in-list",
                "\"retry-after\": true | \"retry-after\": \"no\" | limits.retry-after",
                "\"own_writes\" | \"newest\" | family-info.consistency[0]",
                "\"consistency\": [\"own_writes\", | \"consistency\": [ | family-info.consistency",
                "\"window\": 3000 | \"window\": 0 | grades[1].window",
                "\"aim\": 900 | \"aim\": 9000 | grades[1].deadline",
                "\"drain-grace\": 250 | \"drain-grace\": 5 | rules.drain-grace",
                "\"own_writes\" | \"recent\" | family-info.oldest-data[0]",
                "\"discovery\": \"push\" | \"discovery\": \"ask\" | rules.ask-within",
                "\"checks\": \"silent\" | \"checks\": \"hold\" | family-info.holds-for",
                "\"checks\": \"silent\" | \"checks\": \"silent\", \"holds-for\": 40 |"
                        + " family-info.holds-for",
                "\"source\": \"piggyback\" | \"source\": \"answers\" | report.source"
            })
    void invalidOrContradictoryValueIsReportedUnderItsKey(
            String original, String replacement, String key) {
        assertThat(PUSH_SETTINGS).contains(original);
        List<String> problems =
                SettingsValidator.problems(parse(PUSH_SETTINGS.replace(original, replacement)));
        assertThat(problems).anyMatch(problem -> problem.startsWith(key + ": "));
    }

    @Test
    void pulledReportsRequireProbes() {
        assertThat(
                        SettingsValidator.problems(
                                parse(
                                        ASK_SETTINGS.replace(
                                                "\"probes\": true", "\"probes\": false"))))
                .containsExactly("limits.probes: required if report.source is pull");
    }

    /** Guards against settings under which no replica could ever prove that its data is recent. */
    @Test
    void readsWithAMaximumAgeRequireAKnownPosition() {
        String withoutPositions =
                ASK_SETTINGS
                        .replace("\"stamps\": true", "\"stamps\": false")
                        .replace("\"hold\", \"holds-for\": 40", "\"silent\"")
                        .replace("[\"x0\", \"x1\"]", "[\"x1\"]");
        assertThat(SettingsValidator.problems(parse(withoutPositions)))
                .containsExactly(
                        "family-info.stamps: members neither check freshness nor report a position,"
                                + " so no replica may be read");
    }
}
