package wingroad.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The plan's state machine: what is settled, and what is refused whoever proposes it. */
class PlanTest {
    private final Plan plan = new Plan();

    /** Two groups over two zones; two drivers with a session. */
    PlanTest() {
        assertThat(inventory("2 STEADY")).isEmpty();
        plan.opened("d1/a", "i1", "d1");
        plan.opened("d2/a", "i2", "d2");
    }

    private String inventory(String limits) {
        return plan.inventory(
                List.of(
                        limits,
                        "A1 a p1#1,q1#2 ",
                        "A2 a p2#1 ",
                        "A3 a q2#2 d2",
                        "B1 b p3#1,q3#2 d9"));
    }

    private String ask(String machine, String... after) {
        return plan.ask(machine, machine, "why", 0, 0, List.of(after), 1000);
    }

    private String step(String machine, String to) {
        return plan.step(machine, to, plan.entry(machine).stageAt, "test", true, 2000);
    }

    private void report(String driver, long knows, String... clear) {
        plan.reports(
                List.of(
                        new Report(knows, Set.of(clear), Map.of(), 0, 0, Map.of())
                                .line(driver + "/a")));
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
        assertThat(plan.waitsFor(plan.entry("A2"))).isEqualTo("to know of it: [d2]");
        allKnow();
        assertThat(step("A2", "DRAINING")).isEmpty();
        // What was said before it drained counts for nothing.
        report("d1", plan.revision() - 1, "A2");
        report("d2", plan.revision(), "A2");
        assertThat(step("A2", "OUT")).isEqualTo("not everybody has left it");
        assertThat(plan.waitsFor(plan.entry("A2"))).isEqualTo("to leave it: [d1]");
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
        plan.opened("d3/a", "i3", "d3");
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
        plan.ended("d2/a", false);
        assertThat(step("A2", "OUT")).isEqualTo("not everybody has left it");
        Plan.LostDriver a = plan.astray().iterator().next();
        assertThat(plan.stopped(a.identity(), a.number() + 1, 1)).isNotEmpty();
        assertThat(plan.stopped(a.identity(), a.number(), 1)).isEmpty();
        assertThat(step("A2", "OUT")).isEmpty();
    }

    @Test
    void oneLostBeforeItHeardIsWaitedForWhateverTheClockSays() {
        plan.ended("d2/a", false);
        ask("A2");
        step("A2", "PLANNED");
        report("d1", plan.revision());
        Plan.LostDriver a = plan.astray().iterator().next();
        plan.stopped(a.identity(), a.number(), 1);
        assertThat(step("A2", "DRAINING")).isEqualTo("not everybody knows of it");
        assertThat(plan.word("gone", "d2", 0)).isEmpty();
        assertThat(step("A2", "DRAINING")).isEmpty();
    }

    @Test
    void oneThatComesBackUnderItsIdentityIsAstrayNoMore() {
        plan.ended("d2/a", false);
        plan.opened("d2/b", "i2", "d2");
        assertThat(plan.astray()).isEmpty();
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
        assertThat(plan.word("hold", Plan.ALL, 0)).isEmpty();
        assertThat(plan.entry("A2").stage()).isEqualTo(Stage.OUT);
        assertThat(plan.entry("A3").stage()).isEqualTo(Stage.ASKED);
        assertThat(step("A3", "PLANNED")).isEqualTo("held");
        plan.word("go", Plan.ALL, 0);
        assertThat(step("A3", "PLANNED")).isEmpty();
    }

    @Test
    void aStepForWhatHasMovedOnIsRefused() {
        ask("A2");
        long before = plan.entry("A2").stageAt;
        out("A2");
        assertThat(plan.step("A2", "PLANNED", before, "late", true, 0)).contains("moved on");
        assertThat(plan.step("A2", "IN", plan.entry("A2").stageAt, "early", true, 0))
                .isEqualTo("it does not return");
    }

    @Test
    void aMachineWithADriverThatHasADutyIsNotOut() {
        ask("A3");
        step("A3", "PLANNED");
        allKnow();
        step("A3", "DRAINING");
        allKnow("A3");
        assertThat(plan.leaves("d2")).isTrue();
        assertThat(plan.step("A3", "OUT", plan.entry("A3").stageAt, "", false, 0))
                .isEqualTo("a driver on it has a duty");
    }

    @Test
    void askedTwiceUnderOneIdItIsOneAsk() {
        assertThat(ask("A2")).isEmpty();
        assertThat(ask("A2")).isEmpty();
        assertThat(plan.ask("A2", "another", "", 0, 0, List.of(), 0)).contains("asked already");
        assertThat(ask("A3", "A2")).isEmpty();
        assertThat(step("A3", "PLANNED")).isEqualTo("it comes after A2");
        plan.word("cancel", "A2", 0);
        assertThat(ask("A2", "A3")).as("A3 still comes after A2").contains("comes after");
        assertThat(plan.ask("A1", "x", "", 0, 0, List.of("A1"), 0)).contains("comes after");
    }

    @Test
    void aMachineWithTwoOfAGroupOrTheOnlyOneCanNeverBeHad() {
        plan.inventory(List.of("1 STEADY", "X a u1#5,u2#5 ", "Y a v1#6 ", "Z b u3#5 "));
        assertThat(ask("X")).contains("more than one member of group 5");
        assertThat(ask("Y")).contains("the only member of group 6");
        assertThat(ask("Z")).isEmpty();
    }

    @Test
    void aMachineOnItsWayKeepsWhatTheFileSaidOfIt() {
        ask("A2");
        step("A2", "PLANNED");
        assertThat(plan.inventory(List.of("1 STEADY", "A2 b p2#1 ", "B1 b p3#1 ")))
                .contains("on its way");
        plan.word("cancel", "A2", 0);
        assertThat(plan.inventory(List.of("1 STEADY", "A2 b p2#1 ", "B1 b p3#1 "))).isEmpty();
    }

    @Test
    void aSnapshotIsTheSamePlan() {
        ask("A2");
        out("A2");
        plan.ended("d2/a", true);
        Plan other = new Plan();
        other.become(plan.whole());
        assertThat(other.whole()).isEqualTo(plan.whole());
    }

    @Test
    void newsMakeTheSamePicture() {
        PlanCopy p = new PlanCopy();
        p.news(plan.news(0));
        long seen = plan.changes();
        ask("A2");
        ask("A3");
        p.news(plan.news(seen));
        seen = plan.changes();
        plan.word("cancel", "A3", 0);
        out("A2");
        p.news(plan.news(seen));
        assertThat(p.entries())
                .extracting(e -> e.machine() + " " + e.stage())
                .containsExactly("A2 OUT");
        assertThat(p.revision()).isEqualTo(plan.revision());
    }

    @Test
    void strayDriversAreCountedByTheVotersClocksSlowly() {
        WorkRules rules =
                new WorkRules(
                        Map.of(),
                        1,
                        WorkRules.Lost.STEADY,
                        Duration.ofSeconds(60),
                        Duration.ofSeconds(1),
                        0.1,
                        Duration.ofSeconds(1),
                        0,
                        Duration.ofSeconds(10),
                        Duration.ZERO,
                        Duration.ZERO);
        LostDrivers lostDrivers = new LostDrivers(rules, 0.1);
        plan.ended("d1/a", false);
        plan.ended("d2/a", true);
        lostDrivers.look(plan, Duration.ofSeconds(100));
        assertThat(lostDrivers.stopped(plan, Duration.ofSeconds(112))).isEmpty();
        assertThat(lostDrivers.stopped(plan, Duration.ofMillis(112_300)))
                .extracting(LostDrivers.Stopped::level)
                .containsExactly(1L, 1L);
        // One that has said that it ends has ended for certain, some time later.
        assertThat(lostDrivers.stopped(plan, Duration.ofSeconds(130)))
                .extracting(s -> s.identity() + s.level())
                .contains("i22", "i11");
        inventory("2 STRICT");
        assertThat(lostDrivers.stopped(plan, Duration.ofSeconds(190)))
                .extracting(LostDrivers.Stopped::level)
                .containsExactly(2L, 2L);
        inventory("2 SERVE");
        assertThat(lostDrivers.stopped(plan, Duration.ofSeconds(190)))
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
        Holders h =
                new Holders(
                        List.of(
                                Machine.of("A a db-1#1 "),
                                Machine.of("B b db-17*#1 "),
                                Machine.of("C c db-*#2 "),
                                Machine.of("D c db-25*#2 ")));
        assertThat(h.of(uid) == null ? "" : h.of(uid).name()).isEqualTo(machine);
    }
}
