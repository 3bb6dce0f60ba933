package wingroad.ci;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Tests how the CI script evaluates test reports against the list of known failures. */
class KnownRedTest {
    private static final String KNOWN = "LinkTest#breaks, a reset is missed, issue 7\n";

    @TempDir Path dir;

    private record Result(int status, String text) {}

    /** A failed, a passed and a skipped test in Surefire's format. */
    @BeforeEach
    void report() throws Exception {
        report(
                "<testcase name=\"breaks\" classname=\"a.LinkTest\" time=\"0.1\">\n"
                        + "    <failure message=\"x\" type=\"y\"><![CDATA[at]]></failure>\n"
                        + "  </testcase>\n"
                        + "  <testcase name=\"holds\" classname=\"a.LinkTest\" time=\"0.1\"/>\n"
                        + "  <testcase name=\"later\" classname=\"a.LinkTest\" time=\"0\">\n"
                        + "    <skipped/>\n"
                        + "  </testcase>\n");
    }

    private void report(String cases) throws Exception {
        Files.writeString(
                dir.resolve("TEST-a.xml"),
                "<?xml version=\"1.0\"?>\n<testsuite name=\"a.LinkTest\" tests=\"3\">\n  "
                        + cases
                        + "</testsuite>\n");
    }

    private Result runScript(String known, boolean withReports) throws Exception {
        Path file = Files.writeString(dir.resolve("KNOWN-RED.txt"), known);
        List<String> command = new ArrayList<>(List.of("bash", ".ci/known-red", file.toString()));
        if (withReports) {
            command.add(dir.toString());
            command.add(dir.resolve("none").toString());
        }
        Process p = new ProcessBuilder(command).redirectErrorStream(true).start();
        String text = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Result(p.waitFor(), text);
    }

    @Test
    void onlyKnownFailuresPassAndArePrinted() throws Exception {
        Result s = runScript(KNOWN, true);
        assertThat(s.text()).contains("LinkTest#breaks is red").contains("a reset is missed");
        assertThat(s.status()).isZero();
    }

    @Test
    void unknownFailureFails() throws Exception {
        Result s = runScript("LinkTest#holds, a reset is missed, issue 7\n", true);
        assertThat(s.status()).isEqualTo(1);
        assertThat(s.text())
                .contains("not known to be: a.LinkTest#breaks")
                .contains("LinkTest#holds is green");
    }

    /** A stale line would excuse any later failure of a test with that name. */
    @Test
    void lineWithoutMatchingTestFails() throws Exception {
        assertThat(runScript(KNOWN + "LinkTest#gone, moved, issue 8\n", true))
                .isEqualTo(
                        new Result(
                                1,
                                "known red: LinkTest#breaks is red\n"
                                        + "known red: no such test has run: LinkTest#gone\n"
                                        + "known red: LinkTest#breaks, a reset is missed, issue 7\n"
                                        + "known red: LinkTest#gone, moved, issue 8\n"));
        assertThat(runScript("inkTest#breaks, a part of a name, issue 8\n", true).status())
                .isEqualTo(1);
    }

    @Test
    void tooManyOrMalformedLinesFail() throws Exception {
        assertThat(runScript(KNOWN.repeat(3), false).status()).isZero();
        for (String wrong :
                new String[] {
                    KNOWN.repeat(4),
                    "LinkTest#breaks\n",
                    "LinkTest, all of it, issue 7\n",
                    "LinkTest#breaks, no issue\n"
                }) {
            assertThat(runScript(wrong, false).status()).as(wrong).isEqualTo(1);
        }
    }

    /**
     * A class that failed to initialize is reported without a test name, or under the class name.
     */
    @Test
    void failureOutsideOfTestsAndMissingReportsFail() throws Exception {
        report("<error message=\"no class\"/>\n");
        assertThat(runScript(KNOWN, true).status()).isEqualTo(1);
        report(
                "<testcase name=\"\" classname=\"a.LinkTest\">\n"
                        + "<error message=\"x\"/>\n"
                        + "</testcase>\n"
                        + "<testcase name=\"breaks\" classname=\"a.LinkTest\"/>\n");
        assertThat(runScript(KNOWN, true).status()).isEqualTo(1);
        Files.delete(dir.resolve("TEST-a.xml"));
        assertThat(runScript(KNOWN, true).status()).isEqualTo(1);
    }

    @Test
    void oneFailedInvocationCountsForTheTest() throws Exception {
        report(
                "<testcase name=\"breaks(boolean)[1]\" classname=\"a.LinkTest\" time=\"0.1\">\n"
                        + "<failure/>\n"
                        + "</testcase>\n"
                        + "<testcase name=\"breaks(boolean)[2]\" classname=\"a.LinkTest\""
                        + " time=\"0.1\"/>\n");
        assertThat(runScript(KNOWN, true).status()).isZero();
    }
}
