package wingroad.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The table of docs/notes/work.md, a line each: what a member counts as at a driver. */
class ViewTest {
    private static final Duration LEASE_ENDS = Duration.ofSeconds(10);

    private static WorkRules rules(WorkRules.Lost lost) {
        return new WorkRules(
                Map.of("A", Machine.of("A a m1#7 "), "B", Machine.of("B b m2#7 ")),
                1,
                lost,
                Duration.ofSeconds(60),
                Duration.ofSeconds(1),
                0.1,
                Duration.ofSeconds(1),
                0,
                Duration.ofSeconds(5),
                Duration.ZERO,
                Duration.ofSeconds(1));
    }

    private static PlanCopy planCopy(WorkRules rules, Stage stage) {
        Plan plan = new Plan();
        plan.inventory(rules.lines());
        plan.opened("d1/a", "i1", "d1");
        plan.ask("A", "A", "", 0, 0, List.of(), 0);
        for (Stage s : List.of(Stage.PLANNED, Stage.DRAINING, Stage.OUT, Stage.RETURNING)) {
            if (stage.compareTo(s) >= 0) {
                plan.reports(
                        List.of(
                                new Report(plan.revision(), Set.of("A"), Map.of(), 0, 0, Map.of())
                                        .line("d1/a")));
                String not =
                        s == Stage.RETURNING
                                ? plan.word("done", "A", 0)
                                : plan.step("A", s.name(), plan.entry("A").stageAt, "", true, 0);
                assertThat(not).isEmpty();
            }
        }
        PlanCopy p = new PlanCopy();
        p.news(plan.news(0));
        return p;
    }

    /** {@code at} in seconds; the lease ends at 10, the horizon is 60 s behind that. */
    @ParameterizedTest
    @CsvSource({
        // view current: by its stage
        "STEADY, ASKED,     5, true,  AS_LISTED, AS_LISTED",
        "STEADY, PLANNED,   5, true,  AS_LISTED, AS_LISTED",
        "STEADY, DRAINING,  5, true,  DRAINING,  AS_LISTED",
        "STEADY, OUT,       5, true,  GONE,      AS_LISTED",
        "STEADY, RETURNING, 5, true,  COLD,      AS_LISTED",
        // view ended, steady: nothing new where it was announced, all else is served on, for ever
        "STEADY, ASKED,     11, true,  AS_LISTED, AS_LISTED",
        "STEADY, PLANNED,   11, true,  GONE,      AS_LISTED",
        "STEADY, PLANNED,   11, false, GONE,      AS_LISTED",
        "STEADY, DRAINING,  11, true,  GONE,      AS_LISTED",
        "STEADY, RETURNING, 11, false, GONE,      AS_LISTED",
        "STEADY, PLANNED,   9999, true, GONE,     AS_LISTED",
        // strict: the same up to the horizon, then nothing
        "STRICT, ASKED,     11, true,  AS_LISTED, AS_LISTED",
        "STRICT, PLANNED,   69, false, GONE,      AS_LISTED",
        "STRICT, PLANNED,   70, true,  GONE,      GONE",
        "STRICT, ASKED,     70, true,  GONE,      GONE",
        // serve: what was announced only where it is all there is, and never what was out
        "SERVE,  PLANNED,   11, true,  GONE,      AS_LISTED",
        "SERVE,  PLANNED,   11, false, AS_LISTED, AS_LISTED",
        "SERVE,  DRAINING,  11, false, AS_LISTED, AS_LISTED",
        "SERVE,  OUT,       11, false, GONE,      AS_LISTED",
        "SERVE,  RETURNING, 11, false, COLD,      AS_LISTED",
    })
    void byStageAndView(
            WorkRules.Lost lost,
            Stage stage,
            long at,
            boolean others,
            View.State planned,
            View.State other) {
        View view = new View(rules(lost), Duration.ZERO, Duration.ofSeconds(3));
        view.told(planCopy(rules(lost), stage), Duration.ofSeconds(1));
        view.leased(LEASE_ENDS);
        assertThat(view.state("m1", () -> others, Duration.ofSeconds(at))).isEqualTo(planned);
        assertThat(view.state("m2", () -> others, Duration.ofSeconds(at))).isEqualTo(other);
        assertThat(view.state("elsewhere", () -> others, Duration.ofSeconds(at)))
                .isEqualTo(View.State.AS_LISTED);
    }

    @ParameterizedTest
    @CsvSource({
        "STEADY, 1, GONE",
        "STEADY, 9999, GONE",
        "STRICT, 9999, GONE",
        "SERVE, 2, GONE",
        "SERVE, 3, AS_LISTED",
    })
    void beforeAnythingIsKnown(WorkRules.Lost lost, long at, View.State state) {
        View view = new View(rules(lost), Duration.ZERO, Duration.ofSeconds(3));
        assertThat(view.state("m1", () -> true, Duration.ofSeconds(at))).isEqualTo(state);
        // A voter that has just started tells what it knew when it ended: without a lease that is
        // nothing.
        view.told(planCopy(rules(lost), Stage.ASKED), Duration.ZERO);
        assertThat(view.state("m1", () -> true, Duration.ofSeconds(at))).isEqualTo(state);
        assertThat(view.state("elsewhere", () -> true, Duration.ofSeconds(at)))
                .isEqualTo(View.State.AS_LISTED);
    }

    @ParameterizedTest
    @CsvSource({"PLANNED, GONE", "OUT, GONE", "ASKED, AS_LISTED"})
    void onceTheSessionIsLeftItsLeaseCountsForNothing(Stage stage, View.State state) {
        View view = new View(rules(WorkRules.Lost.STEADY), Duration.ZERO, Duration.ofSeconds(3));
        view.told(planCopy(rules(WorkRules.Lost.STEADY), stage), Duration.ofSeconds(1));
        view.leased(LEASE_ENDS);
        view.ended();
        // What is still told on the way out makes it no view that holds.
        view.told(planCopy(rules(WorkRules.Lost.STEADY), stage), Duration.ofSeconds(1));
        assertThat(view.state("m1", () -> true, Duration.ofSeconds(2))).isEqualTo(state);
    }
}
