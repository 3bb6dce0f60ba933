package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

import wingroad.rig.StopScene;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Planned stops drawn from seeds. A longer run is started with {@code -Dstop.seeds=COUNT} and
 * {@code -Dstop.first=SEED}; each scene prints its figures.
 */
@Isolated
class PlannedStopSoakIT {
    private static final int FIRST_SEED = Integer.getInteger("stop.first", 1);
    private static final int SEED_COUNT = Integer.getInteger("stop.seeds", 12);
    private static final int SHOWN_PROBLEMS = 5;

    @TempDir Path directory;

    @Test
    void everyCommandIsAnsweredAtAStop() throws Exception {
        List<String> failures = new ArrayList<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            StopScene scene = new StopScene(seed);
            scene.play(Files.createDirectory(directory.resolve("seed" + seed)));
            System.out.println(scene);
            if (!scene.problems().isEmpty()) {
                List<String> shown =
                        scene.problems()
                                .subList(0, Math.min(SHOWN_PROBLEMS, scene.problems().size()));
                System.out.println(shown);
                failures.add(scene + " " + shown);
                Files.write(Path.of("target", "stop-" + seed + ".log"), scene.log());
            }
        }
        assertThat(failures).isEmpty();
    }
}
