package wingroad.operator;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import wingroad.door.FairQueueSettings;
import wingroad.door.FairQueueSettings.SourceType;
import wingroad.door.FairQueueSettings.TenantNameSource;
import wingroad.door.FairQueueSettings.TenantSettings;
import wingroad.kdl.Problem;

import java.nio.file.Files;
import java.nio.file.Path;

class OperatorFileTest {
    private static final int MAX_FILE_BYTES = 1 << 20;

    private static FairQueueSettings readFairQueues(String body) {
        OperatorFile.LoadResult result = OperatorFile.read("door {\n" + body + "\n}");
        assertThat(result.problems()).isEmpty();
        return result.file().fairQueues();
    }

    @Test
    void fairQueuesAreAbsentWithoutDoorNode() {
        assertThat(OperatorFile.read("// nothing").file().fairQueues()).isNull();
    }

    @Test
    void omittedFairQueueSettingsHaveDefaults() {
        assertThat(readFairQueues("")).isEqualTo(FairQueueSettings.DEFAULTS);
    }

    @Test
    void readsFairQueueSettings() {
        FairQueueSettings settings =
                readFairQueues(
                        """
                        tenant-from comment tenant
                        tenant-from startup user
                        tenant-from address
                        names-per-address 3; most-waiting 100
                        others weight=0.5 cap=0.25
                        tenant shop weight=7
                        tenant "10.0.0.9" cap=0.1
                        """);
        assertThat(settings.tenantNameSources())
                .containsExactly(
                        new TenantNameSource(SourceType.COMMENT, "tenant"),
                        new TenantNameSource(SourceType.STARTUP, "user"),
                        new TenantNameSource(SourceType.ADDRESS, null));
        assertThat(settings.maxNamesPerAddress()).isEqualTo(3);
        assertThat(settings.maxQueuedTxns()).isEqualTo(100);
        assertThat(settings.defaultTenant()).isEqualTo(new TenantSettings(0.5, 0.25));
        assertThat(settings.tenants())
                .containsEntry("shop", new TenantSettings(7, 1))
                .containsEntry("10.0.0.9", new TenantSettings(1, 0.1));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    tenant-from commnt x         | 2:13: found 'commnt', expected a place, one of comment, startup, address
                    tenant-from comment          | 2:1: 'tenant-from' needs the name of the value in the comment
                    tenant-from startup password | 2:21: found 'password', expected a startup parameter, one of user
                    tenant-from address; tenant-from comment x | 2:22: nothing counts behind the address
                    tenant-from comment x; tenant-from comment x | 2:24: this place is named already
                    names-per-address "8"        | 2:19: found the string "8", expected how many names, a whole number from 0 to 16
                    names-per-address 17         | 2:19: found the number 17
                    most-waiting 1.5             | 2:14: found the number 1.5
                    most-waiting 1; most-waiting 2 | 2:17: 'most-waiting' stands in line 2 already
                    others weight=0              | 2:15: found the number 0, expected weight from 0.01 to 1000
                    others weight=#nan           | 2:15: found the number NaN
                    others 3                     | 2:8: found the number 3, expected nothing more behind 'others'
                    others colour=1              | 2:15: 'colour' is not known for 'others', expected one of cap, weight
                    others cap=1 cap=0.5         | 2:18: 'cap' stands twice
                    others { x }                 | 2:10: 'others' has nothing within it
                    (x)others                    | 2:4: '(x)' means nothing here
                    tenant weight=1              | 2:1: 'tenant' needs a name
                    tenant a; tenant a           | 2:11: the tenant 'a' is listed already
                    waiting 3                    | 2:1: 'waiting' is not known in 'door', expected one of most-waiting
                    """)
    void reportsProblemsWithPositionAndExpectation(String line, String expectedPrefix) {
        OperatorFile.LoadResult result = OperatorFile.read("door {\n" + line + "\n}");
        assertThat(result.file()).isNull();
        assertThat(result.problems())
                .first()
                .extracting(Problem::toString)
                .asString()
                .startsWith(expectedPrefix);
    }

    @Test
    void reportsAllProblemsInOrder() {
        assertThat(OperatorFile.read("door {\n others weight=0\n nothing\n}\nnobody").problems())
                .extracting(Problem::line)
                .containsExactly(2, 3, 5);
    }

    @Test
    void printedFileReadsBackEqual() {
        OperatorFile file =
                OperatorFile.read(
                                "door {\n"
                                        + " tenant-from comment t\n"
                                        + " tenant \"a b\" weight=0.3\n"
                                        + " tenant c cap=0.5\n"
                                        + "}")
                        .file();
        assertThat(OperatorFile.read(file.toKdl()).file()).isEqualTo(file);
        assertThat(file.toKdl()).contains("names-per-address 8", "others weight=1 cap=1");
    }

    @Test
    void rejectsMissingEmptyOversizedAndNonUtf8Files(@TempDir Path directory) throws Exception {
        Path file = directory.resolve("operator.kdl");
        assertThat(OperatorFile.read(file).problems()).hasSize(1);
        Files.write(file, new byte[] {(byte) 0xff, 1});
        assertThat(OperatorFile.read(file).problems().get(0).message()).isEqualTo("no UTF-8");
        Files.write(file, new byte[0]);
        assertThat(OperatorFile.read(file).problems().get(0).message()).startsWith("empty: ");
        Files.writeString(file, "// all off\n");
        assertThat(OperatorFile.read(file).problems()).isEmpty();
        Files.write(file, new byte[MAX_FILE_BYTES + 1]);
        assertThat(OperatorFile.read(file).problems().get(0).message()).startsWith("longer than");
    }

    @Test
    void printedFleetSectionReadsBackEqual() {
        String file =
                """
                fleet "graz" {
                    driver "d1"
                    listen "127.0.0.1:7401"
                    voter "d1" "127.0.0.1:7401"
                    state "/tmp/x"
                    chore "purge" every=60 group=7 statement="SELECT purge_records({epoch}, 500)"
                }
                """;
        OperatorFile.LoadResult result = OperatorFile.read(file);
        assertThat(result.problems()).isEmpty();
        assertThat(result.file().fleet().duties()).containsExactly("chore purge");
        OperatorFile reread = OperatorFile.read(result.file().toKdl()).file();
        assertThat(reread.fleet()).isEqualTo(result.file().fleet());
    }

    @Test
    void reportsProblemsInFleetSection() {
        String file =
                """
                fleet "graz" {
                    voter "d1" "10.0.0.1:7401"
                    voter "d2" "127.0.0.1:7402"
                    lease-ms 100
                    chore "purge" every=60 group=7 statement="SELECT purge_records(500)"
                    chore "purge" group=7 statement="SELECT f({epoch})"
                }
                """;
        assertThat(
                        OperatorFile.read(file).problems().stream()
                                .map(Object::toString)
                                .toList()
                                .toString())
                .contains(
                        "needs state",
                        "expected 1, 3 or 5",
                        "trusted-network",
                        "lease lasts",
                        "needs {epoch}",
                        "listed already",
                        "needs every");
    }

    private static String fleetWithWork(String body) {
        return "fleet \"graz\" {\n"
                + " driver \"d1\"\n"
                + " listen \"127.0.0.1:7401\"\n"
                + " voter \"d1\" \"127.0.0.1:7401\"\n"
                + " state \"/tmp/x\"\n"
                + " work {\n"
                + body
                + "\n }\n}\n";
    }

    @Test
    void printedWorkSectionReadsBackEqual() {
        OperatorFile.LoadResult result =
                OperatorFile.read(
                        fleetWithWork(
                                """
                                at-once 3
                                lost-view "strict" horizon=90
                                watch 2.5
                                machine "r1" zone="a" { member "db-1*" group=7; member "db-2" group=8; driver "d1" }
                                machine "r2" zone="b" { member "db-3" group=7 }
                                """));
        assertThat(result.problems()).isEmpty();
        assertThat(result.file().fleet().duties()).containsExactly("conductor");
        assertThat(result.file().fleet().maintenance().toLines())
                .containsExactly("3 STRICT", "r1 a db-1*#7,db-2#8 d1", "r2 b db-3#7 ");
        assertThat(OperatorFile.read(result.file().toKdl()).file().fleet())
                .isEqualTo(result.file().fleet());
    }

    @Test
    void reportsProblemsInWorkSection() {
        assertThat(
                        OperatorFile.read(
                                        fleetWithWork(
                                                """
                                                at-once 0
                                                lost-view "never"
                                                machine "r 1" zone="a" { member "db-1" group=7 }
                                                machine "r2" { member "db-1" group=7; member "db-2" }
                                                machine "r3" zone="c"
                                                machine "r3" zone="c" { driver "d9" }
                                                """))
                                .problems()
                                .stream()
                                .map(Object::toString)
                                .toList()
                                .toString())
                .contains(
                        "from 1 to 64",
                        "one of strict, steady, serve",
                        "is no name",
                        "needs zone",
                        "'db-1' is on",
                        "a member needs group",
                        "holds members or drivers",
                        "listed already");
        assertThat(OperatorFile.read(fleetWithWork("")).problems().toString())
                .contains("needs machines");
    }
}
