package wingroad.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import wingroad.fleet.SimFleet.Wrong;

/** Short histories of a fleet in virtual time. */
class SimFleetTest {
    @Test
    void aFleetWithoutFaultsGivesEachDutyOneOwner() {
        SimFleet f = new SimFleet(1, 7, 3, 6, Wrong.NONE);
        f.procs.values().forEach(SimFleet.Proc::start);
        f.play(10_000);
        assertThat(f.owners()).hasSize(6);
        assertThat(f.owners().values()).doesNotContain("");
        assertThat(f.broken).isEmpty();
        assertThat(f.receiver.accepted).isGreaterThan(20);
    }

    @Test
    void noShortHistoryBreaksARule() {
        AtomicInteger late = new AtomicInteger();
        List<String> broken =
                IntStream.range(0, 200)
                        .parallel()
                        .boxed()
                        .flatMap(
                                seed -> {
                                    SimFleet f = history(seed, Wrong.NONE);
                                    late.addAndGet(f.lateRefused);
                                    return f.broken.stream().map(b -> "seed " + seed + ": " + b);
                                })
                        .toList();
        assertThat(broken).isEmpty();
        assertThat(late.get()).as("late effects that came to the fence").isPositive();
    }

    @Test
    void theCheckerFindsAReceiverWithoutAFence() {
        List<String> broken = new ArrayList<>();
        for (int seed = 0; seed < 10 && broken.isEmpty(); seed++) {
            broken.addAll(history(seed, Wrong.NO_FENCE).broken);
        }
        assertThat(broken).anyMatch(b -> b.contains("late effect accepted"));
    }

    @Test
    void theCheckerFindsALeaseThatIsCountedFromTheAnswer() {
        List<String> broken = new ArrayList<>();
        for (int seed = 0; seed < 10 && broken.isEmpty(); seed++) {
            broken.addAll(history(seed, Wrong.LEASE_FROM_ANSWER).broken);
        }
        assertThat(broken).anyMatch(b -> b.contains("two may act"));
    }

    @Test
    void theCheckerFindsAVoterThatForgetsItsVote() {
        // Who asks first after the restart is drawn: not in each of them is it the same term again.
        List<String> broken = new ArrayList<>();
        for (int seed = 0; seed < 10; seed++) {
            broken.addAll(voteAndStartAgain(seed, Wrong.VOTE_FORGOTTEN));
            assertThat(voteAndStartAgain(seed, Wrong.NONE)).isEmpty();
        }
        assertThat(broken).anyMatch(b -> b.contains("two votes"));
    }

    /**
     * Guards against the engine (0.7) losing its way: a voter that polled for an election and then
     * heard its old leader again in the same term takes no notice when that leader falls silent
     * later. Where its log is the newest, nobody else can lead.
     */
    @Test
    void aVoterThatPolledInVainStillMissesItsLeader() {
        for (int seed = 0; seed < 5; seed++) {
            SimFleet f = new SimFleet(seed, 3, 3, 2, Wrong.NONE);
            f.procs.values().forEach(SimFleet.Proc::start);
            f.play(8000);
            SimFleet.Proc leader =
                    f.procs.values().stream()
                            .filter(p -> p.consensusNode.isLeader())
                            .findFirst()
                            .orElseThrow();
            List<SimFleet.Proc> others =
                    f.procs.values().stream().filter(p -> p != leader).toList();
            SimFleet.Proc polls = others.get(0);
            f.hold(leader.name, polls.name);
            f.play(2200);
            f.heal();
            f.play(3000);
            assertThat(leader.consensusNode.isLeader())
                    .as("seed " + seed + ": it leads on")
                    .isTrue();
            f.hold(leader.name, others.get(1).name);
            f.play(700);
            leader.kill();
            f.heal();
            boolean another = false;
            for (int ms = 0; ms < 12_000 && !another; ms += 100) {
                f.play(100);
                another = others.stream().anyMatch(p -> p.consensusNode.isLeader());
            }
            assertThat(another).as("seed " + seed + ": another leads").isTrue();
            assertThat(f.broken).isEmpty();
        }
    }

    /**
     * Guards against a planned stop whose word is lost with its voter: the duties would wait for
     * beats, or for the lease.
     */
    @Test
    void aPlannedStopIsSettledThoughItsVoterIsStopped() {
        for (int seed = 0; seed < 5; seed++) {
            SimFleet f = new SimFleet(seed, 6, 3, 12, Duration.ofSeconds(60), Wrong.NONE);
            f.procs.values().forEach(SimFleet.Proc::start);
            f.play(10_000);
            SimFleet.Proc leaver =
                    f.procs.values().stream()
                            .filter(
                                    p ->
                                            p.consensusNode == null
                                                    && f.owners().values().stream()
                                                            .anyMatch(
                                                                    o -> o.startsWith(p.name + "/"))
                                                    && !f.procs
                                                            .get(p.councilSession.attachedVoter())
                                                            .consensusNode
                                                            .isLeader())
                            .findFirst()
                            .orElse(null);
            if (leaver == null) {
                continue;
            }
            f.procs.get(leaver.councilSession.attachedVoter()).paused = true;
            leaver.task(f.now, () -> leaver.councilSession.leave(() -> {}));
            f.play(450);
            assertThat(f.owners().values())
                    .as("seed " + seed)
                    .noneMatch(o -> o.startsWith(leaver.name + "/") || o.isEmpty());
        }
    }

    private static List<String> voteAndStartAgain(int seed, Wrong wrong) {
        SimFleet f = new SimFleet(seed, 5, 3, 2, wrong);
        f.voteAndStartAgain();
        return f.broken;
    }

    private static SimFleet history(int seed, Wrong wrong) {
        SimFleet f = new SimFleet(seed, 7, seed % 2 == 0 ? 3 : 5, 5, wrong);
        f.history(40);
        return f;
    }
}
