package wingroad.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wingroad.fleet.SimFleet.Wrong;

/** Short histories of work on machines in virtual time. */
class SimWorkTest {
    @Test
    void noShortHistoryBreaksARule() {
        AtomicInteger out = new AtomicInteger();
        List<String> broken =
                IntStream.range(0, 60)
                        .parallel()
                        .boxed()
                        .flatMap(
                                seed -> {
                                    SimFleet f = WorkSim.play(seed, Wrong.NONE);
                                    out.addAndGet(f.work.out);
                                    return f.broken.stream().map(b -> "seed " + seed + ": " + b);
                                })
                        .toList();
        assertThat(broken).isEmpty();
        assertThat(out.get()).as("machines that were out").isGreaterThan(60);
    }

    @ParameterizedTest
    @CsvSource({
        "NO_LEASE_ON_VIEW, a txn of",
        "OUT_BY_MAJORITY, was told to be out with",
        "ORDER_WITHOUT_EPOCH, a late order was taken",
    })
    void theCheckerFinds(Wrong wrong, String what) {
        List<String> broken = new ArrayList<>();
        for (int seed = 0; seed < 60 && broken.stream().noneMatch(b -> b.contains(what)); seed++) {
            broken.addAll(WorkSim.play(seed, wrong).broken);
        }
        assertThat(broken).anyMatch(b -> b.contains(what));
    }
}
