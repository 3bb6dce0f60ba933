package wingroad.duty;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the council settles, op by op; the owner's and the receiver's side of it. */
class RegisterTest {
    private static final Lease LEASE = new Lease(Duration.ofSeconds(4), 0.05);
    private final DutyStateMachine r = new DutyStateMachine(1000);

    private DutyStateMachine with(String... sessions) {
        for (String s : sessions) {
            assertThat(
                            r.apply(
                                    Command.openSession(
                                            s,
                                            "id-" + DutyStateMachine.driverNameOf(s),
                                            List.of("x", "y", "z"))))
                    .isEmpty();
        }
        return r;
    }

    private Map<String, String> owners() {
        Map<String, String> all = new TreeMap<>();
        r.duties().forEach(d -> all.put(d.name(), d.owner()));
        return all;
    }

    @Test
    void eachDutyHasOneOwnerUnderAnEpochOfItsOwn() {
        with("a/1", "b/1");
        assertThat(owners().values()).doesNotContain("");
        assertThat(r.duties().stream().map(DutyStateMachine.Duty::epoch).distinct()).hasSize(3);
    }

    @Test
    void whoHasMoreThanItsShareIsAskedForTheSurplus() {
        with("a/1");
        assertThat(r.duties()).allMatch(d -> d.owner().equals("a/1"));
        with("b/1", "c/1");
        // Three duties, three drivers: two each at the most.
        assertThat(r.duties().stream().filter(d -> d.handOverTarget().equals("*"))).hasSize(1);
    }

    @Test
    void aDutyGivenUpGoesToAnotherAndUnderAHigherEpoch() {
        with("a/1", "b/1");
        DutyStateMachine.Duty d = r.duty("x");
        String before = d.owner();
        long epoch = d.epoch();
        assertThat(r.apply(Command.handOver("x", "", "q1"))).isEmpty();
        assertThat(r.apply(Command.releaseDuty(before, "x", epoch))).isEmpty();
        assertThat(d.owner()).isNotEqualTo(before);
        assertThat(d.epoch()).isGreaterThan(epoch);
        assertThat(r.apply(Command.releaseDuty(before, "x", epoch))).as("again").isNotEmpty();
    }

    @Test
    void aHandOverToNobodyIsRefusedAndAskedTwiceIsAnsweredAlike() {
        with("a/1");
        assertThat(r.apply(Command.handOver("x", "nobody", "q1"))).contains("not there");
        with("nobody/1");
        assertThat(r.apply(Command.handOver("x", "nobody", "q1"))).contains("not there");
        assertThat(r.apply(Command.handOver("x", "nobody", "q2"))).isEmpty();
    }

    @Test
    void anEndThatWasAskedForBeforeALaterBeatIsVoid() {
        with("a/1");
        r.apply(Command.heartbeat(Map.of("a/1", 7L)));
        assertThat(r.apply(Command.expireSession("a/1", 6))).contains("renewed");
        assertThat(r.session("a/1")).isNotNull();
        assertThat(r.apply(Command.expireSession("a/1", 7))).isEmpty();
        assertThat(owners().values()).containsOnly("");
    }

    @Test
    void aSessionThatEndedIsNotRenewed() {
        with("a/1", "b/1");
        r.apply(Command.expireSession("a/1", 0));
        r.apply(Command.heartbeat(Map.of("a/1", 9L)));
        assertThat(r.session("a/1")).isNull();
        assertThat(owners().values()).containsOnly("b/1");
    }

    @Test
    void aNameBelongsToOneStateFolder() {
        with("a/1");
        assertThat(r.apply(Command.openSession("a/2", "another", List.of("x"))))
                .contains("known by the name 'a'");
        assertThat(r.apply(Command.openSession("a/2", "id-a", List.of("x")))).isEmpty();
        assertThat(r.session("a/1")).isNull();
        assertThat(r.duty("x").owner()).isEqualTo("a/2");
    }

    @Test
    void aTurnIsSettledOnceAndByTheOwnerAlone() {
        with("a/1", "b/1");
        DutyStateMachine.Duty d = r.duty("x");
        String other = d.owner().equals("a/1") ? "b/1" : "a/1";
        assertThat(r.apply(Command.startRun(other, "x", d.epoch(), 1))).contains("not held");
        assertThat(r.apply(Command.startRun(d.owner(), "x", d.epoch(), 2)))
                .contains("turn 1 is next");
        assertThat(r.apply(Command.startRun(d.owner(), "x", d.epoch(), 1))).isEmpty();
        assertThat(d.run()).isEqualTo(1);
        r.apply(Command.leaveSession(d.owner()));
        assertThat(d.history()).anyMatch(h -> h.contains("turn 1 has run or not"));
    }

    @Test
    void whoLosesItsLeaseWaitsLongerEachTime() {
        with("a/1", "b/1");
        String first = r.duty("x").owner();
        String name = DutyStateMachine.driverNameOf(first);
        String other = first.equals("a/1") ? "b/1" : "a/1";
        r.apply(Command.expireSession(first, 0));
        with(name + "/2");
        r.apply(Command.leaveSession(other));
        // Nobody else is there: better it than nobody.
        assertThat(r.duty("x").owner()).isEqualTo(name + "/2");
        with(DutyStateMachine.driverNameOf(other) + "/3");
        r.apply(Command.handOver("x", "", "q"));
        r.apply(Command.releaseDuty(name + "/2", "x", r.duty("x").epoch()));
        r.apply(Command.handOver("x", "", "q2"));
        r.apply(Command.leaveSession(DutyStateMachine.driverNameOf(other) + "/3"));
        assertThat(r.duty("x").owner()).isEqualTo(name + "/2");
    }

    @Test
    void aSnapshotIsTheWholeOfIt() {
        with("a/1", "b/1");
        r.apply(Command.startRun(r.duty("x").owner(), "x", r.duty("x").epoch(), 1));
        r.apply(Command.handOver("y", "", "q"));
        r.apply(Command.heartbeat(Map.of("a/1", 3L)));
        r.apply(Command.expireSession("b/1", 0));
        DutyStateMachine copy = new DutyStateMachine(0);
        copy.restore(r.snapshot());
        assertThat(copy.snapshot()).isEqualTo(r.snapshot());
        Command next = Command.openSession("c/1", "id-c", List.of("x", "new"));
        r.apply(next);
        copy.apply(next);
        assertThat(copy.snapshot()).isEqualTo(r.snapshot());
    }

    @Test
    void aLeaseRunsFromBeforeItWasAskedFor() {
        SessionLease t = new SessionLease(LEASE, "a/1");
        long beat = t.nextHeartbeat(Duration.ofSeconds(10));
        t.markOpen();
        t.updateDuty(new SessionLease.DutyState("x", "a/1", 5, 0, "", ""));
        t.heartbeatCommitted(beat, Duration.ofSeconds(13));
        assertThat(t.mayAct("x", 5, Duration.ofMillis(13_999))).isTrue();
        assertThat(t.mayAct("x", 5, Duration.ofSeconds(14))).isFalse();
        assertThat(t.mayAct("x", 4, Duration.ofSeconds(13))).as("an older epoch").isFalse();
        t.updateDuty(new SessionLease.DutyState("x", "a/1", 5, 0, "", "*"));
        assertThat(t.mayAct("x", 5, Duration.ofSeconds(13))).as("asked back").isFalse();
    }

    @Test
    void theCouncilWaitsLongerThanAnyClockWithinTheDriftLetsAnOwnerAct() {
        double slowest = LEASE.duration().toNanos() / (1 - LEASE.maxClockDrift());
        double fastest = LEASE.voterTimeout().toNanos() / (1 + LEASE.maxClockDrift());
        assertThat(fastest).isGreaterThanOrEqualTo(slowest);
    }

    @Test
    void aFenceRefusesWhatIsBelowTheHighestEpochSeen() {
        EpochFence f = new EpochFence();
        assertThat(f.admits("x", 5)).as("a duty nobody told of").isFalse();
        f.advance("x", 5);
        assertThat(f.admits("x", 4)).isFalse();
        assertThat(f.admits("x", 7)).isTrue();
        assertThat(f.admits("x", 5)).isFalse();
        assertThat(f.refusedCount()).isEqualTo(3);
    }

    @Test
    void aTurnThatIsLateIsNotMadeUpFor() {
        RunSchedule t = new RunSchedule(Duration.ofSeconds(10));
        t.onRunCommitted(4, Duration.ofSeconds(100));
        assertThat(t.dueRun(Duration.ofSeconds(109))).isZero();
        assertThat(t.dueRun(Duration.ofSeconds(135))).isEqualTo(5);
        assertThat(t.onRunCommitted(5, Duration.ofSeconds(135))).as("missed").isEqualTo(2);
        assertThat(t.dueRun(Duration.ofSeconds(136))).isZero();
    }
}
