package wingroad.rig;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import wingroad.Fixtures;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/** What the rig owes the processes that it starts. */
class RigTest {
    @TempDir Path dir;

    /**
     * Guards against a driver that starts while a test asks for its file, finds it empty and runs
     * without a fleet.
     */
    @Test
    void anOperatorsFileIsNeverWrittenWhereAProcessMayReadIt() throws Exception {
        try (TestCluster rig =
                new TestCluster(dir, 1, 1, "    lease-ms 3000\n", Fixtures.SETTINGS_JSON)) {
            Path file = rig.driver("d1").operatorFile();
            String first = Files.readString(file);
            Object was = key(file);
            assertThat(key(rig.driver("d1").operatorFile())).isEqualTo(was);
            // An open one goes on with what it had: another file takes its name.
            try (var open = Files.newBufferedReader(file)) {
                rig.driver("d1").fleetSettings = "    lease-ms 4000\n";
                assertThat(key(rig.driver("d1").operatorFile())).isNotEqualTo(was);
                assertThat(String.join("\n", open.lines().toList()) + "\n").isEqualTo(first);
            }
            assertThat(Files.readString(file)).contains("lease-ms 4000");
        }
    }

    private static Object key(Path file) throws Exception {
        return Files.readAttributes(file, BasicFileAttributes.class).fileKey();
    }
}
