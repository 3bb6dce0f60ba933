package wingroad.door;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import static wingroad.door.AdmissionSimulation.LONG_READ;
import static wingroad.door.AdmissionSimulation.WRITE;
import static wingroad.door.AdmissionSimulation.duration;

import org.junit.jupiter.api.Test;

import wingroad.door.AdmissionSimulation.SimulatedTenant;
import wingroad.door.FairQueueSettings.TenantSettings;
import wingroad.state.Submission.Outcome;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Admission control in simulated time. Unless a test says otherwise, members have twelve slots and
 * a service time of 50 ms: 240 txns per second.
 */
class FairQueuesTest {
    private final AdmissionSimulation simulation =
            new AdmissionSimulation().open(FairQueueSettings.DEFAULTS);

    private static FairQueueSettings settingsWithWeights(Object... namesAndWeights) {
        Map<String, TenantSettings> tenants = new HashMap<>();
        for (int i = 0; i < namesAndWeights.length; i += 2) {
            tenants.put(
                    (String) namesAndWeights[i],
                    new TenantSettings((double) namesAndWeights[i + 1], 1));
        }
        return settings(tenants, FairQueueSettings.DEFAULTS.defaultTenant(), 2000);
    }

    private static FairQueueSettings settings(
            Map<String, TenantSettings> tenants, TenantSettings defaultTenant, int maxQueuedTxns) {
        return new FairQueueSettings(
                FairQueueSettings.DEFAULTS.tenantNameSources(),
                8,
                maxQueuedTxns,
                defaultTenant,
                tenants);
    }

    private List<SimulatedTenant> lightTenants() {
        List<SimulatedTenant> tenants = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            tenants.add(simulation.new SimulatedTenant("light" + i, 3, 500));
        }
        return tenants;
    }

    /** Resets the counts and runs the simulation for this time. */
    private void measureFor(double durationMs) {
        simulation.resetCounts();
        simulation.runUntil(simulation.nowMs + durationMs);
    }

    private static void assertServedAsIfAlone(List<SimulatedTenant> light) {
        assertThat(light)
                .allSatisfy(
                        tenant -> {
                            assertThat(tenant.committed).isGreaterThan(8);
                            assertThat(tenant.declined).isZero();
                            assertThat(tenant.p99LatencyMs()).isLessThan(110);
                        });
    }

    @Test
    void lightTenantsAreServedBesideAHeavyOneAtFullThroughput() {
        List<SimulatedTenant> light = lightTenants();
        SimulatedTenant heavy = simulation.new SimulatedTenant("heavy", 120, 0);
        simulation.runUntil(4000);
        measureFor(10_000);
        assertServedAsIfAlone(light);
        int totalCommitted =
                heavy.committed + light.stream().mapToInt(tenant -> tenant.committed).sum();
        assertThat(totalCommitted / 10.0).isGreaterThan(0.96 * 240);
    }

    @Test
    void retriesOfAHeavyTenantCountAgainstItsOwnShare() {
        List<SimulatedTenant> light = lightTenants();
        SimulatedTenant heavy = simulation.new SimulatedTenant("heavy", 120, 0);
        heavy.honorsRetryAfter = false;
        heavy.retryDelayMs = 5;
        simulation.runUntil(4000);
        measureFor(8000);
        assertServedAsIfAlone(light);
        assertThat(heavy.declined).isGreaterThan(10_000);
    }

    @Test
    void shareDoesNotDependOnTheNumberOfConnections() {
        SimulatedTenant many = simulation.new SimulatedTenant("many", 300, 0);
        SimulatedTenant few = simulation.new SimulatedTenant("few", 30, 0);
        simulation.runUntil(4000);
        measureFor(10_000);
        assertThat((double) few.committed / many.committed).isCloseTo(1, within(0.05));
    }

    @Test
    void reconnectingForEachTxnKeepsRetryReservations() {
        simulation.routingSettings.put("clients-mark-retries", true);
        simulation.open(FairQueueSettings.DEFAULTS);
        List<SimulatedTenant> light = lightTenants();
        SimulatedTenant heavy = simulation.new SimulatedTenant("heavy", 120, 0);
        heavy.reconnectsForEachTxn = true;
        simulation.runUntil(4000);
        measureFor(8000);
        assertServedAsIfAlone(light);
        assertThat(heavy.timedRetries).isGreaterThan(200);
        assertThat((double) heavy.committedTimedRetries / heavy.timedRetries).isGreaterThan(0.85);
    }

    @Test
    void changingTheNameWithEachTxnGivesLittleMoreThanOneShare() {
        SimulatedTenant honest = simulation.new SimulatedTenant("honest", 60, 0, "10.0.0.2");
        SimulatedTenant masked = simulation.new SimulatedTenant("", 120, 0, "10.0.0.3");
        int[] nextName = new int[1];
        masked.name = () -> "mask" + nextName[0]++;
        simulation.runUntil(4000);
        measureFor(10_000);
        assertThat((double) masked.committed / honest.committed).isLessThan(1.15);
    }

    @Test
    void unlistedNamesGetSharesUpToTheLimitOfTheirAddress() {
        SimulatedTenant honest = simulation.new SimulatedTenant("honest", 60, 0, "10.0.0.2");
        SimulatedTenant masked = simulation.new SimulatedTenant("", 400, 0, "10.0.0.3");
        int[] nextName = new int[1];
        masked.name = () -> "mask" + nextName[0]++ % 1000;
        simulation.runUntil(4000);
        measureFor(10_000);
        assertThat((double) masked.committed / honest.committed).isLessThan(9.5);
    }

    @Test
    void sharesFollowTheWeights() {
        simulation.open(settingsWithWeights("a", 1.0, "b", 2.0, "c", 7.0));
        SimulatedTenant a = simulation.new SimulatedTenant("a", 50, 0);
        SimulatedTenant b = simulation.new SimulatedTenant("b", 60, 0);
        SimulatedTenant c = simulation.new SimulatedTenant("c", 120, 0);
        simulation.runUntil(4000);
        measureFor(15_000);
        double all = a.committed + b.committed + c.committed;
        assertThat(a.committed / all).isCloseTo(0.1, within(0.01));
        assertThat(b.committed / all).isCloseTo(0.2, within(0.015));
        assertThat(c.committed / all).isCloseTo(0.7, within(0.02));
    }

    @Test
    void sharesAreOfWorkNotOfTxns() {
        SimulatedTenant brief = simulation.new SimulatedTenant("brief", 80, 0);
        SimulatedTenant costly = simulation.new SimulatedTenant("costly", 80, 0);
        costly.txnType = LONG_READ;
        costly.timeLeftMs = 4000;
        simulation.runUntil(8000);
        measureFor(20_000);
        assertThat((double) brief.committed / costly.committed).isCloseTo(4, within(0.6));
    }

    @Test
    void limitFollowsHalvedAndRestoredCapacityWithinTwoSeconds() {
        List<SimulatedTenant> light = lightTenants();
        SimulatedTenant heavy = simulation.new SimulatedTenant("heavy", 120, 0);
        simulation.runUntil(6000);
        simulation.memberSlots = 6;
        simulation.runUntil(simulation.nowMs + 2000);
        measureFor(2000);
        assertServedAsIfAlone(light);
        assertThat(heavy.committed / 2.0 + 30).isGreaterThan(0.9 * 120);
        assertThat(simulation.fairQueues.concurrencyLimit(7, false)).isBetween(5.0, 10.5);
        simulation.memberSlots = 12;
        simulation.runUntil(simulation.nowMs + 2000);
        measureFor(2000);
        assertServedAsIfAlone(light);
        assertThat(heavy.committed / 2.0 + 30).isGreaterThan(0.9 * 240);
    }

    @Test
    void slowMembersThatAreNotSaturatedKeepTheirLimit() {
        SimulatedTenant heavy = simulation.new SimulatedTenant("heavy", 120, 0);
        simulation.runUntil(6000);
        simulation.serviceTimeMs = 100;
        simulation.runUntil(simulation.nowMs + 6000);
        measureFor(4000);
        assertThat(heavy.committed / 4.0).isGreaterThan(0.85 * 120);
    }

    @Test
    void limitDoesNotGrowWhileTheDecisionModuleLimitsSubmissions() {
        simulation.moduleLimit = 5;
        SimulatedTenant heavy = simulation.new SimulatedTenant("heavy", 120, 0);
        simulation.runUntil(6000);
        measureFor(2000);
        // The decision module always holds some txns, so that it sees demand above its limit.
        assertThat(simulation.inFlight).isBetween(4, 5);
        assertThat(simulation.fairQueues.concurrencyLimit(7, false)).isLessThan(12);
        assertThat(heavy.committed / 2.0).isGreaterThan(0.9 * 100);
        simulation.moduleLimit = 1000;
        simulation.runUntil(simulation.nowMs + 2000);
        measureFor(2000);
        assertThat(heavy.committed / 2.0).isGreaterThan(0.95 * 240);
    }

    @Test
    void heldWritesOfAGroupWithoutAPrimaryDelayNoReads() {
        List<SimulatedTenant> light = lightTenants();
        SimulatedTenant writes = simulation.new SimulatedTenant("writer", 40, 0);
        writes.txnType = WRITE;
        writes.timeLeftMs = 5000;
        simulation.runUntil(4000);
        simulation.groupsWithoutPrimary.add(7);
        measureFor(4000);
        assertServedAsIfAlone(light);
        // Held writes wait by design: queue times cannot be predicted, so none is declined for a
        // prediction.
        assertThat(writes.committed).isLessThan(40);
        assertThat(writes.declined).isZero();
        assertThat(simulation.fairQueues.queuedCount()).isGreaterThan(30);
        simulation.groupsWithoutPrimary.clear();
        simulation.submitPending();
        measureFor(3000);
        assertThat(writes.committed / 3.0).isGreaterThan(150);
        assertThat(writes.declined).isZero();
    }

    @Test
    void retriesAtTheGivenTimeAreAdmitted() {
        SimulatedTenant heavy = simulation.new SimulatedTenant("heavy", 120, 0);
        simulation.runUntil(4000);
        measureFor(8000);
        assertThat(heavy.declinedWithRetryAfter).isEqualTo(heavy.declined).isGreaterThan(200);
        assertThat((double) heavy.committedTimedRetries / heavy.timedRetries).isGreaterThan(0.95);
        // Declines follow at once on arrival, from the predicted queue time.
        assertThat(heavy.declineLatenciesMs)
                .filteredOn(declineLatencyMs -> declineLatencyMs > 1)
                .hasSizeLessThan(heavy.declined / 20);
    }

    @Test
    void aThousandDeclinedAtOnceGetDifferentRetryTimes() {
        TreeSet<Duration> retryTimes = new TreeSet<>();
        for (int i = 0; i < 1000; i++) {
            simulation.fairQueues.onTxnArrived(
                    duration(0),
                    "t" + i,
                    0,
                    7,
                    duration(2000),
                    new ClientContext("10.0.0.1", Map.of()),
                    null,
                    false);
        }
        for (AdmissionDecision decision = simulation.fairQueues.nextDecision(duration(0));
                decision != null;
                decision = simulation.fairQueues.nextDecision(duration(0))) {
            if (!decision.admitted()) {
                assertThat(decision.retryAfter()).isBetween(duration(10), duration(500));
                retryTimes.add(decision.retryAfter());
            }
        }
        assertThat(retryTimes).hasSizeGreaterThan(800);
        assertThat(retryTimes.first()).isLessThan(duration(200));
    }

    @Test
    void noRetryTimeIsGivenWhereItIsDisabled() {
        simulation.routingSettings.put("may-advise-come-back", false);
        simulation.open(FairQueueSettings.DEFAULTS);
        SimulatedTenant heavy = simulation.new SimulatedTenant("heavy", 120, 0);
        simulation.runUntil(3000);
        assertThat(heavy.declined).isGreaterThan(100);
        assertThat(heavy.declinedWithRetryAfter).isZero();
    }

    @Test
    void anIdleTenantAccumulatesNoCredit() {
        SimulatedTenant busy = simulation.new SimulatedTenant("busy", 60, 0);
        simulation.runUntil(20_000);
        SimulatedTenant woken = simulation.new SimulatedTenant("woken", 60, 0);
        simulation.runUntil(simulation.nowMs + 300);
        measureFor(1000);
        assertThat((double) woken.committed / busy.committed).isCloseTo(1, within(0.1));
    }

    @Test
    void txnsThatCannotBeInTimeAreDeclinedAtOnce() {
        simulation.new SimulatedTenant("heavy", 200, 0);
        simulation.runUntil(4000);
        SimulatedTenant hasty = simulation.new SimulatedTenant("heavy", 20, 0);
        hasty.timeLeftMs = 80;
        measureFor(3000);
        assertThat(hasty.declined).isGreaterThan(50);
        assertThat(hasty.declineLatenciesMs)
                .allSatisfy(declineLatencyMs -> assertThat(declineLatencyMs).isLessThan(40));
    }

    @Test
    void drainingDecidesAllQueuedTxnsByTheDeadline() {
        SimulatedTenant heavy = simulation.new SimulatedTenant("heavy", 120, 0);
        heavy.txnType = WRITE;
        heavy.timeLeftMs = 5000;
        simulation.runUntil(4000);
        assertThat(simulation.fairQueues.queuedCount()).isGreaterThan(50);
        heavy.stopsAfterAnswer = true;
        simulation.fairQueues.drainBy(duration(simulation.nowMs + 300));
        simulation.groupsWithoutPrimary.add(7);
        simulation.takeDecisions();
        simulation.runUntil(simulation.nowMs + 300);
        assertThat(simulation.fairQueues.queuedCount()).isZero();
    }

    @Test
    void newWeightsApplyAtOnceAndQueuedTxnsStay() {
        simulation.open(settingsWithWeights("a", 1.0, "b", 1.0));
        SimulatedTenant a = simulation.new SimulatedTenant("a", 60, 0);
        SimulatedTenant b = simulation.new SimulatedTenant("b", 100, 0);
        simulation.runUntil(4000);
        int queuedCount = simulation.fairQueues.queuedCount();
        simulation.fairQueues.updateSettings(
                duration(simulation.nowMs), settingsWithWeights("a", 1.0, "b", 4.0));
        assertThat(simulation.fairQueues.queuedCount()).isEqualTo(queuedCount);
        simulation.runUntil(simulation.nowMs + 500);
        measureFor(8000);
        assertThat((double) b.committed / a.committed).isCloseTo(4, within(0.3));
        simulation.fairQueues.updateSettings(
                duration(simulation.nowMs), FairQueueSettings.DEFAULTS);
        simulation.runUntil(simulation.nowMs + 500);
        measureFor(8000);
        assertThat((double) b.committed / a.committed).isCloseTo(1, within(0.1));
    }

    @Test
    void aConcurrencyCapAppliesEvenWithUnusedCapacity() {
        simulation.open(
                settings(
                        Map.of("capped", new TenantSettings(1, 0.25)),
                        FairQueueSettings.DEFAULTS.defaultTenant(),
                        2000));
        SimulatedTenant capped = simulation.new SimulatedTenant("capped", 60, 0);
        simulation.runUntil(3000);
        measureFor(3000);
        assertThat(capped.committed / 3.0).isBetween(30.0, 60.0);
    }

    @Test
    void atTheMaximumOfQueuedTxnsALongQueueMakesRoom() {
        simulation.open(settings(Map.of(), FairQueueSettings.DEFAULTS.defaultTenant(), 40));
        SimulatedTenant heavy = simulation.new SimulatedTenant("heavy", 100, 0);
        heavy.txnType = WRITE;
        heavy.timeLeftMs = 5000;
        simulation.runUntil(4000);
        assertThat(simulation.fairQueues.queuedCount()).isEqualTo(40);
        SimulatedTenant light = simulation.new SimulatedTenant("light", 2, 200);
        light.txnType = WRITE;
        light.timeLeftMs = 5000;
        measureFor(5000);
        assertThat(light.declined).isZero();
        assertThat(light.committed).isGreaterThan(30);
    }

    @Test
    void tenThousandTenantsNeedLessThanAMebibyteAndEachTxnGetsOneDecision() {
        int decisions = 0;
        for (int i = 0; i < 10_000; i++) {
            simulation.fairQueues.onTxnArrived(
                    duration(0),
                    "t" + i,
                    0,
                    7,
                    duration(2000),
                    new ClientContext("10." + i, Map.of()),
                    null,
                    false);
        }
        List<QueuedTxn> admitted = new ArrayList<>();
        for (double nowMs = 0; nowMs < 3000; nowMs += 5) {
            for (AdmissionDecision decision = simulation.fairQueues.nextDecision(duration(nowMs));
                    decision != null;
                    decision = simulation.fairQueues.nextDecision(duration(nowMs))) {
                decisions++;
                if (decision.admitted()) {
                    simulation.fairQueues.onSubmitted(duration(nowMs), decision.queuedTxn());
                    admitted.add(decision.queuedTxn());
                }
            }
            if (!admitted.isEmpty() && nowMs % 50 == 0) {
                for (QueuedTxn txn : admitted) {
                    simulation.fairQueues.onSubmissionEnded(
                            duration(nowMs), txn, Outcome.COMMITTED, duration(50));
                    simulation.fairQueues.onTxnClosed(duration(nowMs), txn);
                }
                admitted.clear();
            }
        }
        assertThat(decisions).isEqualTo(10_000);
        assertThat(simulation.fairQueues.memoryBytes()).isLessThan(1 << 20);
        assertThat(simulation.fairQueues.flowCount()).isLessThanOrEqualTo(FlowTable.CAPACITY);
    }

    @Test
    void anUnresponsiveMemberBlocksTheLimitOnlyBriefly() {
        ClientContext client = new ClientContext("10.0.0.1", Map.of());
        List<QueuedTxn> stuck = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            simulation.fairQueues.onTxnArrived(
                    duration(i), "s" + i, 0, 7, duration(2000), client, null, false);
            QueuedTxn txn = simulation.fairQueues.nextDecision(duration(i)).queuedTxn();
            simulation.fairQueues.onSubmitted(duration(i), txn);
            stuck.add(txn);
        }
        assertThat(simulation.fairQueues.inFlight(7, false)).isEqualTo(8);
        simulation.fairQueues.onTxnArrived(
                duration(20), "next", 0, 7, duration(5000), client, null, false);
        assertThat(simulation.fairQueues.nextDecision(duration(20))).isNull();
        assertThat(simulation.fairQueues.nextDecision(simulation.fairQueues.nextWakeUp()))
                .isNotNull();
        // Late ends of the stuck submissions must not be counted twice.
        stuck.forEach(
                txn -> {
                    simulation.fairQueues.onSubmissionEnded(
                            duration(3000), txn, Outcome.TIMED_OUT, duration(2900));
                    simulation.fairQueues.onTxnClosed(duration(3000), txn);
                    simulation.fairQueues.onTxnClosed(duration(3000), txn);
                });
        assertThat(simulation.fairQueues.inFlight(7, false)).isZero();
    }

    @Test
    void disconnectingWithQueuedTxnsLeavesNoState() {
        ClientContext client = new ClientContext("10.0.0.1", Map.of());
        List<QueuedTxn> txns = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            txns.add(
                    simulation.fairQueues.onTxnArrived(
                            duration(0), "t" + i, WRITE, 7, duration(5000), client, null, false));
        }
        txns.forEach(txn -> simulation.fairQueues.onTxnClosed(duration(1), txn));
        assertThat(simulation.fairQueues.queuedCount()).isZero();
        assertThat(simulation.fairQueues.nextDecision(duration(10_000))).isNull();
        assertThat(simulation.fairQueues.nextWakeUp()).isNull();
    }
}
