package wingroad.work;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tests the maintenance controller on a plan that commits the steps that it proposes, and on
 * members whose reports the tests set.
 */
class MaintenanceControllerTest {
    /** Time between two passes of the controller. */
    private static final int PASS_INTERVAL_MS = 250;

    private static final int DRIVER_COUNT = 3;

    private final MaintenanceSettings settings = settings(2, 0);
    private final MaintenancePlan plan = new MaintenancePlan();
    private final PlanCopy planCopy = new PlanCopy();
    private final MemberObservations observations = new MemberObservations(Duration.ofSeconds(3));
    private MaintenanceController controller =
            new MaintenanceController(settings, List.of("d1", "d2", "d3"));
    private Duration now = Duration.ofSeconds(100);
    private long servedCount = 1000;
    private long harmedCount;
    private long busyMs;
    private final Map<String, Boolean> silentMembers = new TreeMap<>();
    private String primary = "p1";
    private final Map<String, Long> replicationLagMs = new TreeMap<>();
    private boolean driversReportDrained = true;

    private static MaintenanceSettings settings(int maxConcurrent, double memberCapacityTxns) {
        Map<String, Machine> machines = new TreeMap<>();
        for (String line :
                List.of("A a p1#1 ", "B b p2#1 d2", "C c p3#1 d3", "D b q2#2 ", "E c q3#2 d1")) {
            Machine machine = Machine.parse(line);
            machines.put(machine.name(), machine);
        }
        return new MaintenanceSettings(
                machines,
                maxConcurrent,
                MaintenanceSettings.LostViewPolicy.STEADY,
                Duration.ofSeconds(60),
                Duration.ofSeconds(1),
                0.05,
                Duration.ofMillis(500),
                memberCapacityTxns,
                Duration.ofSeconds(5),
                Duration.ofSeconds(2),
                Duration.ofSeconds(1));
    }

    MaintenanceControllerTest() {
        plan.applyInventory(settings.toLines());
        for (String driver : List.of("d1", "d2", "d3")) {
            plan.sessionOpened(driver + "/a", driver, driver);
        }
        for (String uid : List.of("p1", "p2", "p3")) {
            observations.updateListing(uid, 1, false, true);
        }
        observations.updateListing("q1", 2, false, true);
        observations.updateListing("q2", 2, false, true);
        observations.updateListing("q3", 2, false, true);
    }

    private void addRequest(String machine) {
        assertThat(plan.addRequest(machine, machine, "", 5000, 0, List.of(), plan.revision()))
                .isEmpty();
    }

    /**
     * Runs one pass: members answer, all drivers confirm the newest revision, the controller's
     * steps are applied. Returns the steps, with the reason if the plan refused one.
     */
    private List<String> runPass() {
        now = now.plusMillis(PASS_INTERVAL_MS);
        servedCount += 100;
        for (String uid : List.of("p1", "p2", "p3", "q1", "q2", "q3")) {
            if (!silentMembers.containsKey(uid)) {
                observations.recordReport(
                        uid,
                        uid.equals(primary) || uid.equals("q1"),
                        Duration.ofMillis(replicationLagMs.getOrDefault(uid, 20L)),
                        now);
            }
        }
        Set<String> drainedMachines = new java.util.TreeSet<>();
        plan.entries().stream()
                .filter(entry -> driversReportDrained)
                .forEach(entry -> drainedMachines.add(entry.machine()));
        for (String driver : List.of("d1", "d2", "d3")) {
            Map<Integer, String> primaries = Map.of(1, primary);
            plan.applyReports(
                    List.of(
                            new DriverReport(
                                            plan.revision(),
                                            drainedMachines,
                                            primaries,
                                            servedCount,
                                            harmedCount,
                                            Map.of(1, busyMs))
                                    .toLine(driver + "/a")));
        }
        planCopy.applyChanges(plan.changesSince(0));
        planCopy.updateFleetFigures(plan.totals(), List.of("d1", "d2", "d3"));
        List<String> steps = new ArrayList<>();
        for (MaintenanceController.Step step :
                controller.nextSteps(planCopy, observations, now.toMillis(), now)) {
            String refusal =
                    plan.applyStep(
                            step.machine(),
                            step.target(),
                            step.stageRevision(),
                            step.reason(),
                            true,
                            now.toMillis());
            steps.add(
                    step.machine()
                            + " "
                            + step.target()
                            + (refusal.isEmpty() ? "" : " refused: " + refusal));
        }
        return steps;
    }

    private void runPasses(int count) {
        for (int i = 0; i < count; i++) {
            runPass();
        }
    }

    private MaintenanceStage stageOf(String machine) {
        return plan.entry(machine) == null ? null : plan.entry(machine).stage();
    }

    private String waitReason(String machine) {
        return plan.waitReason(plan.entry(machine));
    }

    @Test
    void machinesOfOneZoneGoTogetherAndOthersAfterThem() {
        addRequest("C");
        addRequest("B");
        addRequest("D");
        runPasses(12);
        // C was requested first. D shares no group with it, but is in another zone.
        assertThat(stageOf("C")).isEqualTo(MaintenanceStage.OUT);
        assertThat(stageOf("B")).isEqualTo(MaintenanceStage.ASKED);
        assertThat(stageOf("D")).isEqualTo(MaintenanceStage.ASKED);
        plan.applyOperatorCommand("done", "C", 0);
        runPasses(30);
        assertThat(stageOf("C")).isNull();
        assertThat(List.of(stageOf("B"), stageOf("D"))).containsOnly(MaintenanceStage.OUT);
    }

    @Test
    void replicasGoFirstAndAPrimaryWaitsUntilItHasMoved() {
        addRequest("A");
        addRequest("C");
        runPasses(12);
        assertThat(stageOf("A")).isEqualTo(MaintenanceStage.ASKED);
        assertThat(stageOf("C")).isEqualTo(MaintenanceStage.OUT);
        plan.applyOperatorCommand("done", "C", 0);
        runPasses(20);
        assertThat(stageOf("A")).isEqualTo(MaintenanceStage.PLANNED);
        assertThat(waitReason("A"))
                .isEqualTo("the primary of group 1 is here: to be moved to p2 or p3");
        // The note must be updated when it names other members; only a change of measured figures
        // in
        // it may be left out.
        silentMembers.put("p3", true);
        runPasses(16);
        assertThat(waitReason("A")).isEqualTo("group 1: p3 is not fit");
        silentMembers.clear();
        runPasses(4);
        assertThat(waitReason("A")).contains("moved to p2 or p3");
        primary = "p2";
        runPasses(20);
        assertThat(stageOf("A")).isEqualTo(MaintenanceStage.OUT);
    }

    /**
     * A member that fails on its own leaves its group one short, so no other may be taken out, and
     * one that is out already is wanted back.
     */
    @Test
    void unhealthyMemberCountsAsAway() {
        silentMembers.put("p3", true);
        addRequest("B");
        runPasses(15);
        assertThat(stageOf("B")).isEqualTo(MaintenanceStage.ASKED);
        assertThat(waitReason("B")).isEqualTo("group 1: p3 is not fit");
        silentMembers.clear();
        runPasses(12);
        assertThat(stageOf("B")).isEqualTo(MaintenanceStage.OUT);
        silentMembers.put("p3", true);
        runPasses(25);
        assertThat(waitReason("B")).isEqualTo("PAGE: wanted back: group 1: p3 is not fit");
    }

    @Test
    void drainingMachineIsPutBackOnHarm() {
        addRequest("B");
        while (stageOf("B") != MaintenanceStage.DRAINING) {
            runPass();
        }
        harmedCount += 500;
        assertThat(runPass()).contains("B ASKED");
        assertThat(stageOf("B")).isEqualTo(MaintenanceStage.ASKED);
        // It is not drained again before the cooldown has passed.
        runPasses(8);
        assertThat(stageOf("B")).isEqualTo(MaintenanceStage.ASKED);
        runPasses(20);
        assertThat(stageOf("B")).isEqualTo(MaintenanceStage.OUT);
    }

    @Test
    void loadMustFitIntoTheRemainingCapacity() {
        controller = new MaintenanceController(settings(2, 10), List.of("d1", "d2", "d3"));
        addRequest("B");
        for (int i = 0; i < 12; i++) {
            // 20 concurrent txns over all drivers. The two remaining members have a capacity of 20,
            // of
            // which four fifths may be used.
            busyMs += PASS_INTERVAL_MS * 20 / DRIVER_COUNT;
            runPass();
        }
        assertThat(stageOf("B")).isEqualTo(MaintenanceStage.PLANNED);
        assertThat(waitReason("B")).startsWith("group 1 has ").contains("room for 16.0");
        for (int i = 0; i < 12; i++) {
            busyMs += PASS_INTERVAL_MS * 12 / DRIVER_COUNT;
            runPass();
        }
        assertThat(stageOf("B")).isEqualTo(MaintenanceStage.OUT);
    }

    @Test
    void votersAwayLeaveAQuorum() {
        addRequest("C");
        addRequest("E");
        runPasses(12);
        // Both are in zone c and share no group. Each holds a voter, and one of three may be away.
        assertThat(List.of(stageOf("C"), stageOf("E")))
                .containsExactlyInAnyOrder(MaintenanceStage.OUT, MaintenanceStage.PLANNED);
        assertThat(waitReason(stageOf("C") == MaintenanceStage.OUT ? "E" : "C"))
                .contains("a voter is on it");
    }

    @Test
    void alertsWhenAMachineIsOutForTooLong() {
        addRequest("B");
        runPasses(12);
        assertThat(stageOf("B")).isEqualTo(MaintenanceStage.OUT);
        runPasses(24);
        assertThat(waitReason("B")).isEqualTo("PAGE: out for longer than 5 s");
    }

    @Test
    void machineIsBackOnceItsMemberHasCaughtUpAndIsWarm() {
        addRequest("B");
        runPasses(12);
        plan.applyOperatorCommand("done", "B", 0);
        silentMembers.put("p2", true);
        observations.recordReport("p2", false, Duration.ofSeconds(9), now);
        runPasses(4);
        assertThat(waitReason("B")).contains("p2 is 9000 ms behind on the log");
        silentMembers.clear();
        runPasses(4);
        assertThat(stageOf("B")).isEqualTo(MaintenanceStage.RETURNING);
        assertThat(waitReason("B")).isEqualTo("cold");
        runPasses(6);
        assertThat(stageOf("B")).isNull();
    }

    @Test
    void loadThatDidHarmIsNotTriedAgainBeforeItFalls() {
        addRequest("B");
        for (int i = 0; i < 60 && stageOf("B") != MaintenanceStage.DRAINING; i++) {
            busyMs += PASS_INTERVAL_MS * 20 / DRIVER_COUNT;
            runPass();
        }
        harmedCount += 500;
        busyMs += PASS_INTERVAL_MS * 20 / DRIVER_COUNT;
        assertThat(runPass()).contains("B ASKED");
        for (int i = 0; i < 40; i++) {
            busyMs += PASS_INTERVAL_MS * 20 / DRIVER_COUNT;
            runPass();
        }
        assertThat(stageOf("B")).isEqualTo(MaintenanceStage.PLANNED);
        assertThat(waitReason("B")).contains("as much as did harm without it");
        for (int i = 0; i < 20; i++) {
            busyMs += PASS_INTERVAL_MS * 14 / DRIVER_COUNT;
            runPass();
        }
        assertThat(stageOf("B")).isEqualTo(MaintenanceStage.OUT);
    }

    @Test
    void learnedLimitIsRelaxedOverTime() {
        GroupCapacity groupCapacity = new GroupCapacity(Duration.ofSeconds(10));
        groupCapacity.recordHarm(1, 8, Duration.ZERO);
        assertThat(groupCapacity.exceedsLimit(1, 7.9, Duration.ofSeconds(10))).isTrue();
        assertThat(groupCapacity.exceedsLimit(1, 7, Duration.ofSeconds(10))).isFalse();
        assertThat(groupCapacity.exceedsLimit(2, 100, Duration.ZERO)).isFalse();
        assertThat(groupCapacity.exceedsLimit(1, 9, Duration.ofSeconds(300))).isTrue();
        assertThat(groupCapacity.exceedsLimit(1, 9, Duration.ofSeconds(3000))).isFalse();
        assertThat(groupCapacity.exceedsLimit(1, 1000, Duration.ofSeconds(4000))).isFalse();
        assertThat(groupCapacity.knownGroupCount()).isZero();
    }

    @Test
    void alertsOnceWhenAMachineMissesItsDeadline() {
        assertThat(
                        plan.addRequest(
                                "A", "A", "", 0, now.toMillis() + 5000, List.of(), now.toMillis()))
                .isEmpty();
        runPasses(12);
        assertThat(controller.takeAlerts()).isEmpty();
        runPasses(6);
        assertThat(controller.takeAlerts().get("A"))
                .startsWith("PAGE: must be out before 1970-01-01T00:01:45Z and is still planned");
        runPasses(6);
        assertThat(controller.takeAlerts()).isEmpty();
    }

    @Test
    void laggingMemberPutsBackADrainingMachine() {
        addRequest("B");
        while (stageOf("B") != MaintenanceStage.DRAINING) {
            runPass();
        }
        replicationLagMs.put("p3", 5000L);
        // Drivers report machines as drained at once in these tests; the lag has to be seen before
        // that, so they stop doing so.
        driversReportDrained = false;
        runPasses(6);
        assertThat(stageOf("B")).isEqualTo(MaintenanceStage.ASKED);
        assertThat(plan.history())
                .anyMatch(
                        line ->
                                line.contains(
                                        "put back: group 1: p3 is 5000 ms behind on the log"));
    }
}
