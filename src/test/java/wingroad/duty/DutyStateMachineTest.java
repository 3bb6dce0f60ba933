package wingroad.duty;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tests the replicated state machine of duties command by command, and what goes with it at the
 * owner ({@link SessionLease}, {@link RunSchedule}) and where its effects arrive ({@link
 * EpochFence}).
 */
class DutyStateMachineTest {
    private static final Lease LEASE = new Lease(Duration.ofSeconds(4), 0.05);
    private final DutyStateMachine stateMachine = new DutyStateMachine(1000);

    /** Opens sessions of drivers that accept the duties x, y and z. */
    private DutyStateMachine openSessions(String... sessions) {
        for (String sessionId : sessions) {
            assertThat(
                            stateMachine.apply(
                                    Command.openSession(
                                            sessionId,
                                            "id-" + DutyStateMachine.driverNameOf(sessionId),
                                            List.of("x", "y", "z"))))
                    .isEmpty();
        }
        return stateMachine;
    }

    private Map<String, String> ownersByDuty() {
        Map<String, String> owners = new TreeMap<>();
        stateMachine.duties().forEach(duty -> owners.put(duty.name(), duty.owner()));
        return owners;
    }

    @Test
    void assignsEachDutyToOneOwnerUnderItsOwnEpoch() {
        openSessions("a/1", "b/1");
        assertThat(ownersByDuty().values()).doesNotContain("");
        assertThat(stateMachine.duties().stream().map(DutyStateMachine.Duty::epoch).distinct())
                .hasSize(3);
    }

    @Test
    void asksAnOwnerAboveItsShareToReleaseTheSurplus() {
        openSessions("a/1");
        assertThat(stateMachine.duties()).allMatch(duty -> duty.owner().equals("a/1"));
        openSessions("b/1", "c/1");
        // With three duties and three drivers, a driver may own at most two.
        assertThat(stateMachine.duties().stream().filter(duty -> duty.handOverTarget().equals("*")))
                .hasSize(1);
    }

    @Test
    void reassignsAReleasedDutyUnderAHigherEpoch() {
        openSessions("a/1", "b/1");
        DutyStateMachine.Duty duty = stateMachine.duty("x");
        String formerOwner = duty.owner();
        long formerEpoch = duty.epoch();
        assertThat(stateMachine.apply(Command.handOver("x", "", "q1"))).isEmpty();
        assertThat(stateMachine.apply(Command.releaseDuty(formerOwner, "x", formerEpoch)))
                .isEmpty();
        assertThat(duty.owner()).isNotEqualTo(formerOwner);
        assertThat(duty.epoch()).isGreaterThan(formerEpoch);
        assertThat(stateMachine.apply(Command.releaseDuty(formerOwner, "x", formerEpoch)))
                .as("a second release of the same ownership")
                .isNotEmpty();
    }

    /** A repeated request id returns the first result, even if the command would now succeed. */
    @Test
    void refusesHandOverToAnAbsentDriverAndRepeatsTheResultOfARequestId() {
        openSessions("a/1");
        assertThat(stateMachine.apply(Command.handOver("x", "nobody", "q1"))).contains("not there");
        openSessions("nobody/1");
        assertThat(stateMachine.apply(Command.handOver("x", "nobody", "q1"))).contains("not there");
        assertThat(stateMachine.apply(Command.handOver("x", "nobody", "q2"))).isEmpty();
    }

    /**
     * A voter may propose to expire a session while a heartbeat of it is being committed; the
     * renewed session must survive.
     */
    @Test
    void ignoresAnExpiryProposedBeforeALaterHeartbeat() {
        openSessions("a/1");
        stateMachine.apply(Command.heartbeat(Map.of("a/1", 7L)));
        assertThat(stateMachine.apply(Command.expireSession("a/1", 6))).contains("renewed");
        assertThat(stateMachine.session("a/1")).isNotNull();
        assertThat(stateMachine.apply(Command.expireSession("a/1", 7))).isEmpty();
        assertThat(ownersByDuty().values()).containsOnly("");
    }

    @Test
    void heartbeatDoesNotRenewAnExpiredSession() {
        openSessions("a/1", "b/1");
        stateMachine.apply(Command.expireSession("a/1", 0));
        stateMachine.apply(Command.heartbeat(Map.of("a/1", 9L)));
        assertThat(stateMachine.session("a/1")).isNull();
        assertThat(ownersByDuty().values()).containsOnly("b/1");
    }

    @Test
    void refusesASecondIdentityUnderTheSameDriverName() {
        openSessions("a/1");
        assertThat(stateMachine.apply(Command.openSession("a/2", "another", List.of("x"))))
                .contains("known by the name 'a'");
        assertThat(stateMachine.apply(Command.openSession("a/2", "id-a", List.of("x")))).isEmpty();
        assertThat(stateMachine.session("a/1")).isNull();
        assertThat(stateMachine.duty("x").owner()).isEqualTo("a/2");
    }

    /** A run that was started and not reported when its owner left has an unknown outcome. */
    @Test
    void onlyTheOwnerStartsRunsAndInOrder() {
        openSessions("a/1", "b/1");
        DutyStateMachine.Duty duty = stateMachine.duty("x");
        String otherSession = duty.owner().equals("a/1") ? "b/1" : "a/1";
        assertThat(stateMachine.apply(Command.startRun(otherSession, "x", duty.epoch(), 1)))
                .contains("not held");
        assertThat(stateMachine.apply(Command.startRun(duty.owner(), "x", duty.epoch(), 2)))
                .contains("turn 1 is next");
        assertThat(stateMachine.apply(Command.startRun(duty.owner(), "x", duty.epoch(), 1)))
                .isEmpty();
        assertThat(duty.run()).isEqualTo(1);
        stateMachine.apply(Command.leaveSession(duty.owner()));
        assertThat(duty.history()).anyMatch(line -> line.contains("turn 1 has run or not"));
    }

    /** A driver whose lease expired while it owned duties is in backoff after its restart. */
    @Test
    void driverInBackoffGetsADutyIfNoOtherAcceptsIt() {
        openSessions("a/1", "b/1");
        String firstOwner = stateMachine.duty("x").owner();
        String firstDriver = DutyStateMachine.driverNameOf(firstOwner);
        String otherSession = firstOwner.equals("a/1") ? "b/1" : "a/1";
        stateMachine.apply(Command.expireSession(firstOwner, 0));
        openSessions(firstDriver + "/2");
        stateMachine.apply(Command.leaveSession(otherSession));
        // No other driver has a session, so the one in backoff gets the duty.
        assertThat(stateMachine.duty("x").owner()).isEqualTo(firstDriver + "/2");
        openSessions(DutyStateMachine.driverNameOf(otherSession) + "/3");
        stateMachine.apply(Command.handOver("x", "", "q"));
        stateMachine.apply(
                Command.releaseDuty(firstDriver + "/2", "x", stateMachine.duty("x").epoch()));
        stateMachine.apply(Command.handOver("x", "", "q2"));
        stateMachine.apply(
                Command.leaveSession(DutyStateMachine.driverNameOf(otherSession) + "/3"));
        assertThat(stateMachine.duty("x").owner()).isEqualTo(firstDriver + "/2");
    }

    /** The restored state must also apply the next command to the same result. */
    @Test
    void snapshotRestoresTheWholeState() {
        openSessions("a/1", "b/1");
        stateMachine.apply(
                Command.startRun(
                        stateMachine.duty("x").owner(), "x", stateMachine.duty("x").epoch(), 1));
        stateMachine.apply(Command.handOver("y", "", "q"));
        stateMachine.apply(Command.heartbeat(Map.of("a/1", 3L)));
        stateMachine.apply(Command.expireSession("b/1", 0));
        DutyStateMachine restored = new DutyStateMachine(0);
        restored.restore(stateMachine.snapshot());
        assertThat(restored.snapshot()).isEqualTo(stateMachine.snapshot());
        Command command = Command.openSession("c/1", "id-c", List.of("x", "new"));
        stateMachine.apply(command);
        restored.apply(command);
        assertThat(restored.snapshot()).isEqualTo(stateMachine.snapshot());
    }

    /**
     * The lease is measured from when the heartbeat was sent, not from when it was confirmed:
     * otherwise the owner could act longer than the voters allow.
     */
    @Test
    void leaseStartsWhenTheHeartbeatIsSent() {
        SessionLease sessionLease = new SessionLease(LEASE, "a/1");
        long heartbeat = sessionLease.nextHeartbeat(Duration.ofSeconds(10));
        sessionLease.markOpen();
        sessionLease.updateDuty(new SessionLease.DutyState("x", "a/1", 5, 0, "", ""));
        sessionLease.heartbeatCommitted(heartbeat, Duration.ofSeconds(13));
        assertThat(sessionLease.mayAct("x", 5, Duration.ofMillis(13_999))).isTrue();
        assertThat(sessionLease.mayAct("x", 5, Duration.ofSeconds(14))).isFalse();
        assertThat(sessionLease.mayAct("x", 4, Duration.ofSeconds(13)))
                .as("an older epoch")
                .isFalse();
        sessionLease.updateDuty(new SessionLease.DutyState("x", "a/1", 5, 0, "", "*"));
        assertThat(sessionLease.mayAct("x", 5, Duration.ofSeconds(13)))
                .as("the owner is asked to release the duty")
                .isFalse();
    }

    @Test
    void voterTimeoutCoversTheLeaseOnAnyClockWithinTheDrift() {
        double longestLeaseNanos = LEASE.duration().toNanos() / (1 - LEASE.maxClockDrift());
        double shortestTimeoutNanos = LEASE.voterTimeout().toNanos() / (1 + LEASE.maxClockDrift());
        assertThat(shortestTimeoutNanos).isGreaterThanOrEqualTo(longestLeaseNanos);
    }

    @Test
    void fenceRefusesEpochsBelowTheHighestSeen() {
        EpochFence fence = new EpochFence();
        assertThat(fence.admits("x", 5)).as("the duty's epoch has not been announced").isFalse();
        fence.advance("x", 5);
        assertThat(fence.admits("x", 4)).isFalse();
        assertThat(fence.admits("x", 7)).isTrue();
        assertThat(fence.admits("x", 5)).isFalse();
        assertThat(fence.refusedCount()).isEqualTo(3);
    }

    @Test
    void missedRunsAreNotMadeUpFor() {
        RunSchedule schedule = new RunSchedule(Duration.ofSeconds(10));
        schedule.onRunCommitted(4, Duration.ofSeconds(100));
        assertThat(schedule.dueRun(Duration.ofSeconds(109))).isZero();
        assertThat(schedule.dueRun(Duration.ofSeconds(135))).isEqualTo(5);
        assertThat(schedule.onRunCommitted(5, Duration.ofSeconds(135)))
                .as("missed runs")
                .isEqualTo(2);
        assertThat(schedule.dueRun(Duration.ofSeconds(136))).isZero();
    }
}
