package wingroad.work;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The table of docs/notes/work.md, a line each: what a member counts as at a driver. */
class ViewTest {
    private static final Duration LEASE_ENDS = Duration.ofSeconds(10);

    private static MaintenanceSettings rules(MaintenanceSettings.LostViewPolicy lost) {
        return new MaintenanceSettings(
                Map.of("A", Machine.parse("A a m1#7 "), "B", Machine.parse("B b m2#7 ")),
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

    private static PlanCopy planCopy(MaintenanceSettings rules, MaintenanceStage stage) {
        MaintenancePlan plan = new MaintenancePlan();
        plan.applyInventory(rules.toLines());
        plan.sessionOpened("d1/a", "i1", "d1");
        plan.addRequest("A", "A", "", 0, 0, List.of(), 0);
        for (MaintenanceStage s :
                List.of(
                        MaintenanceStage.PLANNED,
                        MaintenanceStage.DRAINING,
                        MaintenanceStage.OUT,
                        MaintenanceStage.RETURNING)) {
            if (stage.compareTo(s) >= 0) {
                plan.applyReports(
                        List.of(
                                new DriverReport(
                                                plan.revision(),
                                                Set.of("A"),
                                                Map.of(),
                                                0,
                                                0,
                                                Map.of())
                                        .toLine("d1/a")));
                String not =
                        s == MaintenanceStage.RETURNING
                                ? plan.applyOperatorCommand("done", "A", 0)
                                : plan.applyStep(
                                        "A", s.name(), plan.entry("A").stageRevision, "", true, 0);
                assertThat(not).isEmpty();
            }
        }
        PlanCopy p = new PlanCopy();
        p.applyChanges(plan.changesSince(0));
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
            MaintenanceSettings.LostViewPolicy lost,
            MaintenanceStage stage,
            long at,
            boolean others,
            MemberAvailability.State planned,
            MemberAvailability.State other) {
        MemberAvailability view =
                new MemberAvailability(rules(lost), Duration.ZERO, Duration.ofSeconds(3));
        view.updatePlan(planCopy(rules(lost), stage), Duration.ofSeconds(1));
        view.extendLease(LEASE_ENDS);
        assertThat(view.state("m1", () -> others, Duration.ofSeconds(at))).isEqualTo(planned);
        assertThat(view.state("m2", () -> others, Duration.ofSeconds(at))).isEqualTo(other);
        assertThat(view.state("elsewhere", () -> others, Duration.ofSeconds(at)))
                .isEqualTo(MemberAvailability.State.AS_LISTED);
    }

    @ParameterizedTest
    @CsvSource({
        "STEADY, 1, GONE",
        "STEADY, 9999, GONE",
        "STRICT, 9999, GONE",
        "SERVE, 2, GONE",
        "SERVE, 3, AS_LISTED",
    })
    void beforeAnythingIsKnown(
            MaintenanceSettings.LostViewPolicy lost, long at, MemberAvailability.State state) {
        MemberAvailability view =
                new MemberAvailability(rules(lost), Duration.ZERO, Duration.ofSeconds(3));
        assertThat(view.state("m1", () -> true, Duration.ofSeconds(at))).isEqualTo(state);
        // A voter that has just started tells what it knew when it ended: without a lease that is
        // nothing.
        view.updatePlan(planCopy(rules(lost), MaintenanceStage.ASKED), Duration.ZERO);
        assertThat(view.state("m1", () -> true, Duration.ofSeconds(at))).isEqualTo(state);
        assertThat(view.state("elsewhere", () -> true, Duration.ofSeconds(at)))
                .isEqualTo(MemberAvailability.State.AS_LISTED);
    }

    @ParameterizedTest
    @CsvSource({"PLANNED, GONE", "OUT, GONE", "ASKED, AS_LISTED"})
    void onceTheSessionIsLeftItsLeaseCountsForNothing(
            MaintenanceStage stage, MemberAvailability.State state) {
        MemberAvailability view =
                new MemberAvailability(
                        rules(MaintenanceSettings.LostViewPolicy.STEADY),
                        Duration.ZERO,
                        Duration.ofSeconds(3));
        view.updatePlan(
                planCopy(rules(MaintenanceSettings.LostViewPolicy.STEADY), stage),
                Duration.ofSeconds(1));
        view.extendLease(LEASE_ENDS);
        view.endLease();
        // What is still told on the way out makes it no view that holds.
        view.updatePlan(
                planCopy(rules(MaintenanceSettings.LostViewPolicy.STEADY), stage),
                Duration.ofSeconds(1));
        assertThat(view.state("m1", () -> true, Duration.ofSeconds(2))).isEqualTo(state);
    }
}
