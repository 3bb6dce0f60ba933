package wingroad.work;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tests the replicated maintenance plan: which steps it commits, and which it refuses whoever
 * proposes them.
 */
class MaintenancePlanTest {
    private final MaintenancePlan plan = new MaintenancePlan();

    /** Two groups in two zones, and two drivers with a session. */
    MaintenancePlanTest() {
        assertThat(applyInventory("2 STEADY")).isEmpty();
        plan.sessionOpened("d1/a", "i1", "d1");
        plan.sessionOpened("d2/a", "i2", "d2");
    }

    private String applyInventory(String limits) {
        return plan.applyInventory(
                List.of(
                        limits,
                        "A1 a p1#1,q1#2 ",
                        "A2 a p2#1 ",
                        "A3 a q2#2 d2",
                        "B1 b p3#1,q3#2 d9"));
    }

    private String addRequest(String machine, String... afterMachines) {
        return plan.addRequest(machine, machine, "why", 0, 0, List.of(afterMachines), 1000);
    }

    /** Proposes a step at the machine's current stage revision. */
    private String applyStep(String machine, String target) {
        return plan.applyStep(
                machine, target, plan.entry(machine).stageRevision, "test", true, 2000);
    }

    private void applyReport(String driver, long planRevision, String... drainedMachines) {
        plan.applyReports(
                List.of(
                        new DriverReport(
                                        planRevision,
                                        Set.of(drainedMachines),
                                        Map.of(),
                                        0,
                                        0,
                                        Map.of())
                                .toLine(driver + "/a")));
    }

    /** Both drivers confirm the newest revision. */
    private void reportFromAllDrivers(String... drainedMachines) {
        applyReport("d1", plan.revision(), drainedMachines);
        applyReport("d2", plan.revision(), drainedMachines);
    }

    /** Takes a requested machine through all stages up to OUT. */
    private void takeOut(String machine) {
        assertThat(applyStep(machine, "PLANNED")).isEmpty();
        reportFromAllDrivers();
        assertThat(applyStep(machine, "DRAINING")).isEmpty();
        reportFromAllDrivers(machine);
        assertThat(applyStep(machine, "OUT")).isEmpty();
    }

    @Test
    void machineIsOutOnlyAfterEveryDriverHasConfirmed() {
        addRequest("A2");
        applyStep("A2", "PLANNED");
        applyReport("d1", plan.revision());
        assertThat(applyStep("A2", "DRAINING")).isEqualTo("not everybody knows of it");
        assertThat(plan.waitReason(plan.entry("A2"))).isEqualTo("to be confirmed by: [d2]");
        reportFromAllDrivers();
        assertThat(applyStep("A2", "DRAINING")).isEmpty();
        // A report on a revision before the machine drained does not count.
        applyReport("d1", plan.revision() - 1, "A2");
        applyReport("d2", plan.revision(), "A2");
        assertThat(applyStep("A2", "OUT")).isEqualTo("not everybody has left it");
        assertThat(plan.waitReason(plan.entry("A2"))).isEqualTo("to be drained by: [d1]");
        reportFromAllDrivers("A2");
        assertThat(applyStep("A2", "OUT")).isEmpty();
    }

    @Test
    void sessionOpenedWhileDrainingMustConfirmToo() {
        addRequest("A2");
        applyStep("A2", "PLANNED");
        reportFromAllDrivers();
        applyStep("A2", "DRAINING");
        reportFromAllDrivers("A2");
        plan.sessionOpened("d3/a", "i3", "d3");
        assertThat(applyStep("A2", "OUT")).isEqualTo("not everybody has left it");
        applyReport("d3", plan.revision(), "A2");
        assertThat(applyStep("A2", "OUT")).isEmpty();
    }

    /**
     * The driver has confirmed the announcement, so it stops using the machine when its lease ends.
     */
    @Test
    void driverLostAfterConfirmingCountsOnceItsLeaseHasCertainlyEnded() {
        addRequest("A2");
        applyStep("A2", "PLANNED");
        reportFromAllDrivers();
        applyStep("A2", "DRAINING");
        applyReport("d1", plan.revision(), "A2");
        plan.sessionEnded("d2/a", false);
        assertThat(applyStep("A2", "OUT")).isEqualTo("not everybody has left it");
        MaintenancePlan.LostDriver lostDriver = plan.lostDrivers().iterator().next();
        assertThat(plan.driverStopped(lostDriver.identity(), lostDriver.lossNumber() + 1, 1))
                .isNotEmpty();
        assertThat(plan.driverStopped(lostDriver.identity(), lostDriver.lossNumber(), 1)).isEmpty();
        assertThat(applyStep("A2", "OUT")).isEmpty();
    }

    /**
     * The driver does not know of the announcement and may use the machine for as long as its
     * process runs, whatever time has passed.
     */
    @Test
    void driverLostBeforeTheAnnouncementIsWaitedForUntilAnOperatorDeclaresItGone() {
        plan.sessionEnded("d2/a", false);
        addRequest("A2");
        applyStep("A2", "PLANNED");
        applyReport("d1", plan.revision());
        MaintenancePlan.LostDriver lostDriver = plan.lostDrivers().iterator().next();
        plan.driverStopped(lostDriver.identity(), lostDriver.lossNumber(), 1);
        assertThat(applyStep("A2", "DRAINING")).isEqualTo("not everybody knows of it");
        assertThat(plan.applyOperatorCommand("gone", "d2", 0)).isEmpty();
        assertThat(applyStep("A2", "DRAINING")).isEmpty();
    }

    @Test
    void driverThatReconnectsUnderItsIdentityIsNotLost() {
        plan.sessionEnded("d2/a", false);
        plan.sessionOpened("d2/b", "i2", "d2");
        assertThat(plan.lostDrivers()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "A1, A2, it shares a group with A1",
        "A2, A3, ''",
        "A2, B1, zone a is worked on",
    })
    void machinesOutTogetherShareAZoneAndNoGroup(
            String first, String second, String expectedRefusal) {
        addRequest(first);
        addRequest(second);
        takeOut(first);
        assertThat(applyStep(second, "PLANNED")).isEqualTo(expectedRefusal);
    }

    @Test
    void concurrencyLimitIsEnforced() {
        applyInventory("1 STEADY");
        addRequest("A2");
        addRequest("A3");
        applyStep("A2", "PLANNED");
        assertThat(applyStep("A3", "PLANNED")).contains("at most 1");
    }

    @Test
    void holdPutsBackAnnouncedMachinesButNotThoseOut() {
        addRequest("A2");
        addRequest("A3");
        takeOut("A2");
        applyStep("A3", "PLANNED");
        assertThat(plan.applyOperatorCommand("hold", MaintenancePlan.ALL_MACHINES, 0)).isEmpty();
        assertThat(plan.entry("A2").stage()).isEqualTo(MaintenanceStage.OUT);
        assertThat(plan.entry("A3").stage()).isEqualTo(MaintenanceStage.ASKED);
        assertThat(applyStep("A3", "PLANNED")).isEqualTo("held");
        plan.applyOperatorCommand("go", MaintenancePlan.ALL_MACHINES, 0);
        assertThat(applyStep("A3", "PLANNED")).isEmpty();
    }

    @Test
    void stepOnAnOldStageRevisionIsRefused() {
        addRequest("A2");
        long staleRevision = plan.entry("A2").stageRevision;
        takeOut("A2");
        assertThat(plan.applyStep("A2", "PLANNED", staleRevision, "late", true, 0))
                .contains("moved on");
        assertThat(plan.applyStep("A2", "IN", plan.entry("A2").stageRevision, "early", true, 0))
                .isEqualTo("it does not return");
    }

    @Test
    void machineWhoseDriverOwnsADutyIsNotOut() {
        addRequest("A3");
        applyStep("A3", "PLANNED");
        reportFromAllDrivers();
        applyStep("A3", "DRAINING");
        reportFromAllDrivers("A3");
        assertThat(plan.isOnDrainingMachine("d2")).isTrue();
        assertThat(plan.applyStep("A3", "OUT", plan.entry("A3").stageRevision, "", false, 0))
                .isEqualTo("a driver on it has a duty");
    }

    @Test
    void repeatedRequestIdIsOneRequestAndCyclesAreRefused() {
        assertThat(addRequest("A2")).isEmpty();
        assertThat(addRequest("A2")).isEmpty();
        assertThat(plan.addRequest("A2", "another", "", 0, 0, List.of(), 0))
                .contains("asked already");
        assertThat(addRequest("A3", "A2")).isEmpty();
        assertThat(applyStep("A3", "PLANNED")).isEqualTo("it comes after A2");
        plan.applyOperatorCommand("cancel", "A2", 0);
        assertThat(addRequest("A2", "A3"))
                .as("A3 still has to follow A2, so A2 cannot follow A3")
                .contains("comes after");
        assertThat(plan.addRequest("A1", "x", "", 0, 0, List.of("A1"), 0)).contains("comes after");
    }

    @Test
    void refusesAMachineWithTwoMembersOfAGroupOrItsOnlyOne() {
        plan.applyInventory(List.of("1 STEADY", "X a u1#5,u2#5 ", "Y a v1#6 ", "Z b u3#5 "));
        assertThat(addRequest("X")).contains("more than one member of group 5");
        assertThat(addRequest("Y")).contains("the only member of group 6");
        assertThat(addRequest("Z")).isEmpty();
    }

    @Test
    void inventoryOfAnAnnouncedMachineCannotChange() {
        addRequest("A2");
        applyStep("A2", "PLANNED");
        assertThat(plan.applyInventory(List.of("1 STEADY", "A2 b p2#1 ", "B1 b p3#1 ")))
                .contains("on its way");
        plan.applyOperatorCommand("cancel", "A2", 0);
        assertThat(plan.applyInventory(List.of("1 STEADY", "A2 b p2#1 ", "B1 b p3#1 "))).isEmpty();
    }

    @Test
    void snapshotRestoresTheSamePlan() {
        addRequest("A2");
        takeOut("A2");
        plan.sessionEnded("d2/a", true);
        MaintenancePlan restored = new MaintenancePlan();
        restored.restore(plan.snapshot());
        assertThat(restored.snapshot()).isEqualTo(plan.snapshot());
    }

    @Test
    void changesKeepACopyUpToDate() {
        PlanCopy planCopy = new PlanCopy();
        planCopy.applyChanges(plan.changesSince(0));
        long seenChangeNumber = plan.changeNumber();
        addRequest("A2");
        addRequest("A3");
        planCopy.applyChanges(plan.changesSince(seenChangeNumber));
        seenChangeNumber = plan.changeNumber();
        plan.applyOperatorCommand("cancel", "A3", 0);
        takeOut("A2");
        planCopy.applyChanges(plan.changesSince(seenChangeNumber));
        assertThat(planCopy.entries())
                .extracting(entry -> entry.machine() + " " + entry.stage())
                .containsExactly("A2 OUT");
        assertThat(planCopy.revision()).isEqualTo(plan.revision());
    }

    /**
     * d1 has lost its session, d2 has announced its exit. The settle time is 10 s; clocks may drift
     * by 10 %.
     */
    @Test
    void lostDriversStopAfterTimeoutsLengthenedByTheDrift() {
        MaintenanceSettings settings =
                new MaintenanceSettings(
                        Map.of(),
                        1,
                        MaintenanceSettings.LostViewPolicy.STEADY,
                        Duration.ofSeconds(60),
                        Duration.ofSeconds(1),
                        0.1,
                        Duration.ofSeconds(1),
                        0,
                        Duration.ofSeconds(10),
                        Duration.ZERO,
                        Duration.ZERO);
        LostDriverMonitor lostDriverMonitor = new LostDriverMonitor(settings, 0.1);
        plan.sessionEnded("d1/a", false);
        plan.sessionEnded("d2/a", true);
        lostDriverMonitor.observe(plan, Duration.ofSeconds(100));
        assertThat(lostDriverMonitor.newlyStopped(plan, Duration.ofSeconds(112))).isEmpty();
        assertThat(lostDriverMonitor.newlyStopped(plan, Duration.ofMillis(112_300)))
                .extracting(LostDriverMonitor.StoppedDriver::level)
                .containsExactly(1L, 1L);
        // A driver that has announced its exit has certainly ended after the exit grace.
        assertThat(lostDriverMonitor.newlyStopped(plan, Duration.ofSeconds(130)))
                .extracting(stopped -> stopped.identity() + stopped.level())
                .contains("i22", "i11");
        applyInventory("2 STRICT");
        assertThat(lostDriverMonitor.newlyStopped(plan, Duration.ofSeconds(190)))
                .extracting(LostDriverMonitor.StoppedDriver::level)
                .containsExactly(2L, 2L);
        applyInventory("2 SERVE");
        assertThat(lostDriverMonitor.newlyStopped(plan, Duration.ofSeconds(190)))
                .extracting(stopped -> stopped.identity() + stopped.level())
                .containsExactly("i22");
    }

    @ParameterizedTest
    @CsvSource({
        "db-1, A",
        "db-17, B",
        "db-171, B",
        "db-2, C",
        "db, ''",
        "db-3, C",
        "web-1, ''",
        "db-25, D",
        "db-2x, C"
    })
    void memberBelongsToTheMachineWithItsIdOrTheLongestPrefix(String uid, String machine) {
        MachineIndex machineIndex =
                new MachineIndex(
                        List.of(
                                Machine.parse("A a db-1#1 "),
                                Machine.parse("B b db-17*#1 "),
                                Machine.parse("C c db-*#2 "),
                                Machine.parse("D c db-25*#2 ")));
        assertThat(machineIndex.find(uid) == null ? "" : machineIndex.find(uid).name())
                .isEqualTo(machine);
    }
}
