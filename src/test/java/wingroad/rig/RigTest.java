package wingroad.rig;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import wingroad.Fixtures;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/** Checks what the cluster guarantees to the processes that it starts. */
class RigTest {
    @TempDir Path directory;

    /**
     * Guards against a driver that reads its operator's file while a test is rewriting it, finds it
     * empty and runs without a fleet.
     */
    @Test
    void operatorFileIsReplacedAtomically() throws Exception {
        try (TestCluster cluster =
                new TestCluster(directory, 1, 1, "    lease-ms 3000\n", Fixtures.SETTINGS_JSON)) {
            Path file = cluster.driver("d1").operatorFile();
            String originalContent = Files.readString(file);
            Object originalKey = fileKey(file);
            assertThat(fileKey(cluster.driver("d1").operatorFile())).isEqualTo(originalKey);
            // An open reader keeps the old content: a new file takes the name.
            try (var reader = Files.newBufferedReader(file)) {
                cluster.driver("d1").fleetSettings = "    lease-ms 4000\n";
                assertThat(fileKey(cluster.driver("d1").operatorFile())).isNotEqualTo(originalKey);
                assertThat(String.join("\n", reader.lines().toList()) + "\n")
                        .isEqualTo(originalContent);
            }
            assertThat(Files.readString(file)).contains("lease-ms 4000");
        }
    }

    private static Object fileKey(Path file) throws Exception {
        return Files.readAttributes(file, BasicFileAttributes.class).fileKey();
    }
}
