package wingroad.work;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tests what a member counts as at a driver, by the stage of its machine, the driver's lease and
 * the lost-view policy: one line for each row of the table in docs/notes/work.md. Machine A with
 * member m1 is under maintenance, machine B with member m2 is in service.
 */
class MemberAvailabilityTest {
    private static final Duration LEASE_EXPIRES_AT = Duration.ofSeconds(10);

    private static MaintenanceSettings settings(MaintenanceSettings.LostViewPolicy lostViewPolicy) {
        return new MaintenanceSettings(
                Map.of("A", Machine.parse("A a m1#7 "), "B", Machine.parse("B b m2#7 ")),
                1,
                lostViewPolicy,
                Duration.ofSeconds(60),
                Duration.ofSeconds(1),
                0.1,
                Duration.ofSeconds(1),
                0,
                Duration.ofSeconds(5),
                Duration.ZERO,
                Duration.ofSeconds(1));
    }

    /** Returns a plan that has taken machine A up to this stage. */
    private static PlanCopy planCopyAt(MaintenanceSettings settings, MaintenanceStage stage) {
        MaintenancePlan plan = new MaintenancePlan();
        plan.applyInventory(settings.toLines());
        plan.sessionOpened("d1/a", "i1", "d1");
        plan.addRequest("A", "A", "", 0, 0, List.of(), 0);
        for (MaintenanceStage nextStage :
                List.of(
                        MaintenanceStage.PLANNED,
                        MaintenanceStage.DRAINING,
                        MaintenanceStage.OUT,
                        MaintenanceStage.RETURNING)) {
            if (stage.compareTo(nextStage) >= 0) {
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
                String refusal =
                        nextStage == MaintenanceStage.RETURNING
                                ? plan.applyOperatorCommand("done", "A", 0)
                                : plan.applyStep(
                                        "A",
                                        nextStage.name(),
                                        plan.entry("A").stageRevision,
                                        "",
                                        true,
                                        0);
                assertThat(refusal).isEmpty();
            }
        }
        PlanCopy planCopy = new PlanCopy();
        planCopy.applyChanges(plan.changesSince(0));
        return planCopy;
    }

    /** The lease expires at 10 s, and the strict horizon 60 s after that. */
    @ParameterizedTest
    @CsvSource({
        // the lease holds: by stage
        "STEADY, ASKED,     5, true,  AS_LISTED, AS_LISTED",
        "STEADY, PLANNED,   5, true,  AS_LISTED, AS_LISTED",
        "STEADY, DRAINING,  5, true,  DRAINING,  AS_LISTED",
        "STEADY, OUT,       5, true,  GONE,      AS_LISTED",
        "STEADY, RETURNING, 5, true,  COLD,      AS_LISTED",
        // lease expired, steady: announced machines are not used, all others are, without a limit
        "STEADY, ASKED,     11, true,  AS_LISTED, AS_LISTED",
        "STEADY, PLANNED,   11, true,  GONE,      AS_LISTED",
        "STEADY, PLANNED,   11, false, GONE,      AS_LISTED",
        "STEADY, DRAINING,  11, true,  GONE,      AS_LISTED",
        "STEADY, RETURNING, 11, false, GONE,      AS_LISTED",
        "STEADY, PLANNED,   9999, true, GONE,     AS_LISTED",
        // lease expired, strict: the same up to the horizon, then none is used
        "STRICT, ASKED,     11, true,  AS_LISTED, AS_LISTED",
        "STRICT, PLANNED,   69, false, GONE,      AS_LISTED",
        "STRICT, PLANNED,   70, true,  GONE,      GONE",
        "STRICT, ASKED,     70, true,  GONE,      GONE",
        // lease expired, serve: an announced machine only if the group has no other member, and
        // never
        // one that was out
        "SERVE,  PLANNED,   11, true,  GONE,      AS_LISTED",
        "SERVE,  PLANNED,   11, false, AS_LISTED, AS_LISTED",
        "SERVE,  DRAINING,  11, false, AS_LISTED, AS_LISTED",
        "SERVE,  OUT,       11, false, GONE,      AS_LISTED",
        "SERVE,  RETURNING, 11, false, COLD,      AS_LISTED",
    })
    void stateFollowsStageLeaseAndLostViewPolicy(
            MaintenanceSettings.LostViewPolicy lostViewPolicy,
            MaintenanceStage stage,
            long nowSeconds,
            boolean hasOtherMember,
            MemberAvailability.State expectedUnderMaintenance,
            MemberAvailability.State expectedInService) {
        MemberAvailability availability =
                new MemberAvailability(
                        settings(lostViewPolicy), Duration.ZERO, Duration.ofSeconds(3));
        availability.updatePlan(planCopyAt(settings(lostViewPolicy), stage), Duration.ofSeconds(1));
        availability.extendLease(LEASE_EXPIRES_AT);
        assertThat(availability.state("m1", () -> hasOtherMember, Duration.ofSeconds(nowSeconds)))
                .isEqualTo(expectedUnderMaintenance);
        assertThat(availability.state("m2", () -> hasOtherMember, Duration.ofSeconds(nowSeconds)))
                .isEqualTo(expectedInService);
        assertThat(
                        availability.state(
                                "elsewhere", () -> hasOtherMember, Duration.ofSeconds(nowSeconds)))
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
    void configuredMembersAreGoneUntilThePlanIsKnown(
            MaintenanceSettings.LostViewPolicy lostViewPolicy,
            long nowSeconds,
            MemberAvailability.State expected) {
        MemberAvailability availability =
                new MemberAvailability(
                        settings(lostViewPolicy), Duration.ZERO, Duration.ofSeconds(3));
        assertThat(availability.state("m1", () -> true, Duration.ofSeconds(nowSeconds)))
                .isEqualTo(expected);
        // A voter that has just started sends the state that it had when it stopped, which may be
        // old: without a lease it does not count.
        availability.updatePlan(
                planCopyAt(settings(lostViewPolicy), MaintenanceStage.ASKED), Duration.ZERO);
        assertThat(availability.state("m1", () -> true, Duration.ofSeconds(nowSeconds)))
                .isEqualTo(expected);
        assertThat(availability.state("elsewhere", () -> true, Duration.ofSeconds(nowSeconds)))
                .isEqualTo(MemberAvailability.State.AS_LISTED);
    }

    /**
     * A driver that has left its session is no longer waited for, so announced machines may be
     * taken out before its last lease would have expired.
     */
    @ParameterizedTest
    @CsvSource({"PLANNED, GONE", "OUT, GONE", "ASKED, AS_LISTED"})
    void endedLeaseIsNotRevivedByPlanUpdates(
            MaintenanceStage stage, MemberAvailability.State expected) {
        MemberAvailability availability =
                new MemberAvailability(
                        settings(MaintenanceSettings.LostViewPolicy.STEADY),
                        Duration.ZERO,
                        Duration.ofSeconds(3));
        availability.updatePlan(
                planCopyAt(settings(MaintenanceSettings.LostViewPolicy.STEADY), stage),
                Duration.ofSeconds(1));
        availability.extendLease(LEASE_EXPIRES_AT);
        availability.endLease();
        // Updates that still arrive while the driver leaves must not make the plan valid again.
        availability.updatePlan(
                planCopyAt(settings(MaintenanceSettings.LostViewPolicy.STEADY), stage),
                Duration.ofSeconds(1));
        assertThat(availability.state("m1", () -> true, Duration.ofSeconds(2))).isEqualTo(expected);
    }
}
