package wingroad.work;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The plan's state machine: what is settled, and what is refused whoever proposes it. */
class PlanTest {
    private final MaintenancePlan plan = new MaintenancePlan();

    /** Two groups over two zones; two drivers with a session. */
    PlanTest() {
        assertThat(inventory("2 STEADY")).isEmpty();
        plan.sessionOpened("d1/a", "i1", "d1");
        plan.sessionOpened("d2/a", "i2", "d2");
    }

    private String inventory(String limits) {
        return plan.applyInventory(
                List.of(
                        limits,
                        "A1 a p1#1,q1#2 ",
                        "A2 a p2#1 ",
                        "A3 a q2#2 d2",
                        "B1 b p3#1,q3#2 d9"));
    }

    private String ask(String machine, String... after) {
        return plan.addRequest(machine, machine, "why", 0, 0, List.of(after), 1000);
    }

    private String step(String machine, String to) {
        return plan.applyStep(machine, to, plan.entry(machine).stageRevision, "test", true, 2000);
    }

    private void report(String driver, long knows, String... clear) {
        plan.applyReports(
                List.of(
                        new DriverReport(knows, Set.of(clear), Map.of(), 0, 0, Map.of())
                                .toLine(driver + "/a")));
    }

    private void allKnow(String... clear) {
        report("d1", plan.revision(), clear);
        report("d2", plan.revision(), clear);
    }

    private void out(String machine) {
        assertThat(step(machine, "PLANNED")).isEmpty();
        allKnow();
        assertThat(step(machine, "DRAINING")).isEmpty();
        allKnow(machine);
        assertThat(step(machine, "OUT")).isEmpty();
    }

    @Test
    void nothingIsOutBeforeEverybodyHasSaidSo() {
        ask("A2");
        step("A2", "PLANNED");
        report("d1", plan.revision());
        assertThat(step("A2", "DRAINING")).isEqualTo("not everybody knows of it");
        assertThat(plan.waitReason(plan.entry("A2"))).isEqualTo("to be confirmed by: [d2]");
        allKnow();
        assertThat(step("A2", "DRAINING")).isEmpty();
        // What was said before it drained counts for nothing.
        report("d1", plan.revision() - 1, "A2");
        report("d2", plan.revision(), "A2");
        assertThat(step("A2", "OUT")).isEqualTo("not everybody has left it");
        assertThat(plan.waitReason(plan.entry("A2"))).isEqualTo("to be drained by: [d1]");
        allKnow("A2");
        assertThat(step("A2", "OUT")).isEmpty();
    }

    @Test
    void aSessionThatOpensMeanwhileHasToSaySoToo() {
        ask("A2");
        step("A2", "PLANNED");
        allKnow();
        step("A2", "DRAINING");
        allKnow("A2");
        plan.sessionOpened("d3/a", "i3", "d3");
        assertThat(step("A2", "OUT")).isEqualTo("not everybody has left it");
        report("d3", plan.revision(), "A2");
        assertThat(step("A2", "OUT")).isEmpty();
    }

    @Test
    void oneLostBehindItsWordCountsOnceItsViewIsCertainToHaveEnded() {
        ask("A2");
        step("A2", "PLANNED");
        allKnow();
        step("A2", "DRAINING");
        report("d1", plan.revision(), "A2");
        plan.sessionEnded("d2/a", false);
        assertThat(step("A2", "OUT")).isEqualTo("not everybody has left it");
        MaintenancePlan.LostDriver a = plan.lostDrivers().iterator().next();
        assertThat(plan.driverStopped(a.identity(), a.lossNumber() + 1, 1)).isNotEmpty();
        assertThat(plan.driverStopped(a.identity(), a.lossNumber(), 1)).isEmpty();
        assertThat(step("A2", "OUT")).isEmpty();
    }

    @Test
    void oneLostBeforeItHeardIsWaitedForWhateverTheClockSays() {
        plan.sessionEnded("d2/a", false);
        ask("A2");
        step("A2", "PLANNED");
        report("d1", plan.revision());
        MaintenancePlan.LostDriver a = plan.lostDrivers().iterator().next();
        plan.driverStopped(a.identity(), a.lossNumber(), 1);
        assertThat(step("A2", "DRAINING")).isEqualTo("not everybody knows of it");
        assertThat(plan.applyOperatorCommand("gone", "d2", 0)).isEmpty();
        assertThat(step("A2", "DRAINING")).isEmpty();
    }

    @Test
    void oneThatComesBackUnderItsIdentityIsAstrayNoMore() {
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
    void whatMayGoTogether(String first, String second, String why) {
        ask(first);
        ask(second);
        out(first);
        assertThat(step(second, "PLANNED")).isEqualTo(why);
    }

    @Test
    void noMoreAtATimeThanTheFileSays() {
        inventory("1 STEADY");
        ask("A2");
        ask("A3");
        step("A2", "PLANNED");
        assertThat(step("A3", "PLANNED")).contains("at most 1");
    }

    @Test
    void whatIsHeldIsPutBackAndWhatIsOutStaysOut() {
        ask("A2");
        ask("A3");
        out("A2");
        step("A3", "PLANNED");
        assertThat(plan.applyOperatorCommand("hold", MaintenancePlan.ALL_MACHINES, 0)).isEmpty();
        assertThat(plan.entry("A2").stage()).isEqualTo(MaintenanceStage.OUT);
        assertThat(plan.entry("A3").stage()).isEqualTo(MaintenanceStage.ASKED);
        assertThat(step("A3", "PLANNED")).isEqualTo("held");
        plan.applyOperatorCommand("go", MaintenancePlan.ALL_MACHINES, 0);
        assertThat(step("A3", "PLANNED")).isEmpty();
    }

    @Test
    void aStepForWhatHasMovedOnIsRefused() {
        ask("A2");
        long before = plan.entry("A2").stageRevision;
        out("A2");
        assertThat(plan.applyStep("A2", "PLANNED", before, "late", true, 0)).contains("moved on");
        assertThat(plan.applyStep("A2", "IN", plan.entry("A2").stageRevision, "early", true, 0))
                .isEqualTo("it does not return");
    }

    @Test
    void aMachineWithADriverThatHasADutyIsNotOut() {
        ask("A3");
        step("A3", "PLANNED");
        allKnow();
        step("A3", "DRAINING");
        allKnow("A3");
        assertThat(plan.isOnDrainingMachine("d2")).isTrue();
        assertThat(plan.applyStep("A3", "OUT", plan.entry("A3").stageRevision, "", false, 0))
                .isEqualTo("a driver on it has a duty");
    }

    @Test
    void askedTwiceUnderOneIdItIsOneAsk() {
        assertThat(ask("A2")).isEmpty();
        assertThat(ask("A2")).isEmpty();
        assertThat(plan.addRequest("A2", "another", "", 0, 0, List.of(), 0))
                .contains("asked already");
        assertThat(ask("A3", "A2")).isEmpty();
        assertThat(step("A3", "PLANNED")).isEqualTo("it comes after A2");
        plan.applyOperatorCommand("cancel", "A2", 0);
        assertThat(ask("A2", "A3")).as("A3 still comes after A2").contains("comes after");
        assertThat(plan.addRequest("A1", "x", "", 0, 0, List.of("A1"), 0)).contains("comes after");
    }

    @Test
    void aMachineWithTwoOfAGroupOrTheOnlyOneCanNeverBeHad() {
        plan.applyInventory(List.of("1 STEADY", "X a u1#5,u2#5 ", "Y a v1#6 ", "Z b u3#5 "));
        assertThat(ask("X")).contains("more than one member of group 5");
        assertThat(ask("Y")).contains("the only member of group 6");
        assertThat(ask("Z")).isEmpty();
    }

    @Test
    void aMachineOnItsWayKeepsWhatTheFileSaidOfIt() {
        ask("A2");
        step("A2", "PLANNED");
        assertThat(plan.applyInventory(List.of("1 STEADY", "A2 b p2#1 ", "B1 b p3#1 ")))
                .contains("on its way");
        plan.applyOperatorCommand("cancel", "A2", 0);
        assertThat(plan.applyInventory(List.of("1 STEADY", "A2 b p2#1 ", "B1 b p3#1 "))).isEmpty();
    }

    @Test
    void aSnapshotIsTheSamePlan() {
        ask("A2");
        out("A2");
        plan.sessionEnded("d2/a", true);
        MaintenancePlan other = new MaintenancePlan();
        other.restore(plan.snapshot());
        assertThat(other.snapshot()).isEqualTo(plan.snapshot());
    }

    @Test
    void newsMakeTheSamePicture() {
        PlanCopy p = new PlanCopy();
        p.applyChanges(plan.changesSince(0));
        long seen = plan.changeNumber();
        ask("A2");
        ask("A3");
        p.applyChanges(plan.changesSince(seen));
        seen = plan.changeNumber();
        plan.applyOperatorCommand("cancel", "A3", 0);
        out("A2");
        p.applyChanges(plan.changesSince(seen));
        assertThat(p.entries())
                .extracting(e -> e.machine() + " " + e.stage())
                .containsExactly("A2 OUT");
        assertThat(p.revision()).isEqualTo(plan.revision());
    }

    @Test
    void strayDriversAreCountedByTheVotersClocksSlowly() {
        MaintenanceSettings rules =
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
        LostDriverMonitor lostDrivers = new LostDriverMonitor(rules, 0.1);
        plan.sessionEnded("d1/a", false);
        plan.sessionEnded("d2/a", true);
        lostDrivers.observe(plan, Duration.ofSeconds(100));
        assertThat(lostDrivers.newlyStopped(plan, Duration.ofSeconds(112))).isEmpty();
        assertThat(lostDrivers.newlyStopped(plan, Duration.ofMillis(112_300)))
                .extracting(LostDriverMonitor.StoppedDriver::level)
                .containsExactly(1L, 1L);
        // One that has said that it ends has ended for certain, some time later.
        assertThat(lostDrivers.newlyStopped(plan, Duration.ofSeconds(130)))
                .extracting(s -> s.identity() + s.level())
                .contains("i22", "i11");
        inventory("2 STRICT");
        assertThat(lostDrivers.newlyStopped(plan, Duration.ofSeconds(190)))
                .extracting(LostDriverMonitor.StoppedDriver::level)
                .containsExactly(2L, 2L);
        inventory("2 SERVE");
        assertThat(lostDrivers.newlyStopped(plan, Duration.ofSeconds(190)))
                .extracting(s -> s.identity() + s.level())
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
    void aMemberIsHeldByWhoNamesItOrTheLongestOfItsBeginnings(String uid, String machine) {
        MachineIndex h =
                new MachineIndex(
                        List.of(
                                Machine.parse("A a db-1#1 "),
                                Machine.parse("B b db-17*#1 "),
                                Machine.parse("C c db-*#2 "),
                                Machine.parse("D c db-25*#2 ")));
        assertThat(h.find(uid) == null ? "" : h.find(uid).name()).isEqualTo(machine);
    }
}
