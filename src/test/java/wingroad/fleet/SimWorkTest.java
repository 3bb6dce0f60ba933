package wingroad.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import wingroad.fleet.SimFleet.InjectedBug;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/** Short histories of machine maintenance in virtual time. */
class SimWorkTest {
    @Test
    void randomHistoriesViolateNoInvariant() {
        AtomicInteger outCount = new AtomicInteger();
        List<String> violations =
                IntStream.range(0, 60)
                        .parallel()
                        .boxed()
                        .flatMap(
                                seed -> {
                                    SimFleet fleet = WorkSim.runHistory(seed, InjectedBug.NONE);
                                    outCount.addAndGet(fleet.maintenance.outCount);
                                    return fleet.violations.stream()
                                            .map(violation -> "seed " + seed + ": " + violation);
                                })
                        .toList();
        assertThat(violations).isEmpty();
        assertThat(outCount.get()).as("machines taken out of service").isGreaterThan(60);
    }

    @ParameterizedTest
    @CsvSource({
        "NO_LEASE_ON_VIEW, a txn of",
        "OUT_BY_MAJORITY, was committed as out with",
        "ORDER_WITHOUT_EPOCH, a stale controller step was accepted",
    })
    void checkerDetectsInjectedBug(InjectedBug injectedBug, String expectedViolation) {
        List<String> violations = new ArrayList<>();
        for (int seed = 0;
                seed < 60
                        && violations.stream()
                                .noneMatch(violation -> violation.contains(expectedViolation));
                seed++) {
            violations.addAll(WorkSim.runHistory(seed, injectedBug).violations);
        }
        assertThat(violations).anyMatch(violation -> violation.contains(expectedViolation));
    }
}
