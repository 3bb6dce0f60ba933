package wingroad.ci;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What CI makes of reports and of the list of tests that are known to be red. */
class KnownRedTest {
    private static final String KNOWN = "LinkTest#breaks, a reset is missed, issue 7\n";

    @TempDir Path dir;

    private record Said(int status, String text) {}

    /** One test that is red, one that is green, one that was skipped, as Surefire writes them. */
    @BeforeEach
    void report() throws Exception {
        report(
                "<testcase name=\"breaks\" classname=\"a.LinkTest\" time=\"0.1\">\n"
                        + "    <failure message=\"x\" type=\"y\"><![CDATA[at]]></failure>\n  </testcase>\n"
                        + "  <testcase name=\"holds\" classname=\"a.LinkTest\" time=\"0.1\"/>\n"
                        + "  <testcase name=\"later\" classname=\"a.LinkTest\" time=\"0\">\n    <skipped/>\n  </testcase>\n");
    }

    private void report(String cases) throws Exception {
        Files.writeString(
                dir.resolve("TEST-a.xml"),
                "<?xml version=\"1.0\"?>\n<testsuite name=\"a.LinkTest\" tests=\"3\">\n  "
                        + cases
                        + "</testsuite>\n");
    }

    private Said says(String known, boolean withReports) throws Exception {
        Path file = Files.writeString(dir.resolve("KNOWN-RED.txt"), known);
        List<String> command = new ArrayList<>(List.of("bash", ".ci/known-red", file.toString()));
        if (withReports) {
            command.add(dir.toString());
            command.add(dir.resolve("none").toString());
        }
        Process p = new ProcessBuilder(command).redirectErrorStream(true).start();
        String text = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Said(p.waitFor(), text);
    }

    @Test
    void justTheKnownOnesMayBeRedAndArePrinted() throws Exception {
        Said s = says(KNOWN, true);
        assertThat(s.text()).contains("LinkTest#breaks is red").contains("a reset is missed");
        assertThat(s.status()).isZero();
    }

    @Test
    void anyOtherRedOneFails() throws Exception {
        Said s = says("LinkTest#holds, a reset is missed, issue 7\n", true);
        assertThat(s.status()).isEqualTo(1);
        assertThat(s.text())
                .contains("not known to be: a.LinkTest#breaks")
                .contains("LinkTest#holds is green");
    }

    /** A line that no longer names a test would let one with that name be red for ever. */
    @Test
    void aLineThatNamesNoTestFails() throws Exception {
        assertThat(says(KNOWN + "LinkTest#gone, moved, issue 8\n", true))
                .isEqualTo(
                        new Said(
                                1,
                                "known red: LinkTest#breaks is red\nknown red: no such test has run: LinkTest#gone\n"
                                        + "known red: LinkTest#breaks, a reset is missed, issue 7\nknown red: LinkTest#gone, moved, issue 8\n"));
        assertThat(says("inkTest#breaks, a part of a name, issue 8\n", true).status()).isEqualTo(1);
    }

    @Test
    void moreThanThreeLinesOrALineOfAnotherFormFail() throws Exception {
        assertThat(says(KNOWN.repeat(3), false).status()).isZero();
        for (String wrong :
                new String[] {
                    KNOWN.repeat(4),
                    "LinkTest#breaks\n",
                    "LinkTest, all of it, issue 7\n",
                    "LinkTest#breaks, no issue\n"
                }) {
            assertThat(says(wrong, false).status()).as(wrong).isEqualTo(1);
        }
    }

    /** One that could not even be set up stands under no test, or under its class. */
    @Test
    void aFailureUnderNoTestAndARunWithoutReportsFail() throws Exception {
        report("<error message=\"no class\"/>\n");
        assertThat(says(KNOWN, true).status()).isEqualTo(1);
        report(
                "<testcase name=\"\" classname=\"a.LinkTest\">\n<error message=\"x\"/>\n</testcase>\n"
                        + "<testcase name=\"breaks\" classname=\"a.LinkTest\"/>\n");
        assertThat(says(KNOWN, true).status()).isEqualTo(1);
        Files.delete(dir.resolve("TEST-a.xml"));
        assertThat(says(KNOWN, true).status()).isEqualTo(1);
    }

    @Test
    void oneOfManyRunsOfATestCountsForItsName() throws Exception {
        report(
                "<testcase name=\"breaks(boolean)[1]\" classname=\"a.LinkTest\" time=\"0.1\">\n<failure/>\n</testcase>\n"
                        + "<testcase name=\"breaks(boolean)[2]\" classname=\"a.LinkTest\" time=\"0.1\"/>\n");
        assertThat(says(KNOWN, true).status()).isZero();
    }
}
