package wingroad.door;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import static wingroad.door.Play.LONG;
import static wingroad.door.Play.WRITE;
import static wingroad.door.Play.at;

import org.junit.jupiter.api.Test;

import wingroad.door.FairQueueSettings.TenantSettings;
import wingroad.door.Play.Crowd;
import wingroad.state.Submission.End;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The door in virtual time: twelve places of 50 ms, 240 txns a second, unless a test says
 * otherwise.
 */
class FairQueuesTest {
    private final Play play = new Play().open(FairQueueSettings.DEFAULTS);

    private static FairQueueSettings listed(Object... namesAndWeights) {
        Map<String, TenantSettings> tenants = new HashMap<>();
        for (int i = 0; i < namesAndWeights.length; i += 2) {
            tenants.put(
                    (String) namesAndWeights[i],
                    new TenantSettings((double) namesAndWeights[i + 1], 1));
        }
        return rules(tenants, FairQueueSettings.DEFAULTS.defaultTenant(), 2000);
    }

    private static FairQueueSettings rules(
            Map<String, TenantSettings> tenants, TenantSettings others, int mostWaiting) {
        return new FairQueueSettings(
                FairQueueSettings.DEFAULTS.tenantNameSources(), 8, mostWaiting, others, tenants);
    }

    private List<Crowd> light() {
        List<Crowd> all = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            all.add(play.new Crowd("light" + i, 3, 500));
        }
        return all;
    }

    /** Plays on for so long and counts only that. */
    private void playFor(double ms) {
        play.forget();
        play.until(play.now + ms);
    }

    private static void assertServedAsIfAlone(List<Crowd> light) {
        assertThat(light)
                .allSatisfy(
                        c -> {
                            assertThat(c.committed).isGreaterThan(8);
                            assertThat(c.declined).isZero();
                            assertThat(c.p99()).isLessThan(110);
                        });
    }

    @Test
    void lightTenantsAreServedBesideAHeavyOneAndNoCapacityIsLost() {
        List<Crowd> light = light();
        Crowd heavy = play.new Crowd("heavy", 120, 0);
        play.until(4000);
        playFor(10_000);
        assertServedAsIfAlone(light);
        int all = heavy.committed + light.stream().mapToInt(c -> c.committed).sum();
        assertThat(all / 10.0).isGreaterThan(0.96 * 240);
    }

    @Test
    void aHeavyOnesRetriesCountAgainstItsOwnShare() {
        List<Crowd> light = light();
        Crowd heavy = play.new Crowd("heavy", 120, 0);
        heavy.patient = false;
        heavy.again = 5;
        play.until(4000);
        playFor(8000);
        assertServedAsIfAlone(light);
        assertThat(heavy.declined).isGreaterThan(10_000);
    }

    @Test
    void connectionsDoNotAddToAShare() {
        Crowd many = play.new Crowd("many", 300, 0);
        Crowd few = play.new Crowd("few", 30, 0);
        play.until(4000);
        playFor(10_000);
        assertThat((double) few.committed / many.committed).isCloseTo(1, within(0.05));
    }

    @Test
    void aNewConnectionForEachTxnChangesNothing() {
        play.terms.put("clients-mark-retries", true);
        play.open(FairQueueSettings.DEFAULTS);
        List<Crowd> light = light();
        Crowd heavy = play.new Crowd("heavy", 120, 0);
        heavy.newConnections = true;
        play.until(4000);
        playFor(8000);
        assertServedAsIfAlone(light);
        assertThat(heavy.returns).isGreaterThan(200);
        assertThat((double) heavy.letIn / heavy.returns).isGreaterThan(0.85);
    }

    @Test
    void whoChangesItsNameWithEachTxnGetsOneShareAndLittleMore() {
        Crowd honest = play.new Crowd("honest", 60, 0, "10.0.0.2");
        Crowd masked = play.new Crowd("", 120, 0, "10.0.0.3");
        int[] n = new int[1];
        masked.name = () -> "mask" + n[0]++;
        play.until(4000);
        playFor(10_000);
        assertThat((double) masked.committed / honest.committed).isLessThan(1.15);
    }

    @Test
    void namesThatNobodyListsAreToldApartUpToTheLimitOfTheirAddress() {
        Crowd honest = play.new Crowd("honest", 60, 0, "10.0.0.2");
        Crowd masked = play.new Crowd("", 400, 0, "10.0.0.3");
        int[] n = new int[1];
        masked.name = () -> "mask" + n[0]++ % 1000;
        play.until(4000);
        playFor(10_000);
        assertThat((double) masked.committed / honest.committed).isLessThan(9.5);
    }

    @Test
    void sharesFollowTheWeights() {
        play.open(listed("a", 1.0, "b", 2.0, "c", 7.0));
        Crowd a = play.new Crowd("a", 50, 0);
        Crowd b = play.new Crowd("b", 60, 0);
        Crowd c = play.new Crowd("c", 120, 0);
        play.until(4000);
        playFor(15_000);
        double all = a.committed + b.committed + c.committed;
        assertThat(a.committed / all).isCloseTo(0.1, within(0.01));
        assertThat(b.committed / all).isCloseTo(0.2, within(0.015));
        assertThat(c.committed / all).isCloseTo(0.7, within(0.02));
    }

    @Test
    void sharesAreOfWorkAndNotOfTxns() {
        Crowd brief = play.new Crowd("brief", 80, 0);
        Crowd costly = play.new Crowd("costly", 80, 0);
        costly.type = LONG;
        costly.left = 4000;
        play.until(8000);
        playFor(20_000);
        assertThat((double) brief.committed / costly.committed).isCloseTo(4, within(0.6));
    }

    @Test
    void theWindowFollowsHalfTheCapacityAndBackWithinTwoSeconds() {
        List<Crowd> light = light();
        Crowd heavy = play.new Crowd("heavy", 120, 0);
        play.until(6000);
        play.places = 6;
        play.until(play.now + 2000);
        playFor(2000);
        assertServedAsIfAlone(light);
        assertThat(heavy.committed / 2.0 + 30).isGreaterThan(0.9 * 120);
        assertThat(play.door.concurrencyLimit(7, false)).isBetween(5.0, 10.5);
        play.places = 12;
        play.until(play.now + 2000);
        playFor(2000);
        assertServedAsIfAlone(light);
        assertThat(heavy.committed / 2.0 + 30).isGreaterThan(0.9 * 240);
    }

    @Test
    void membersThatBecomeSlowWithoutBeingCrowdedKeepTheirWindow() {
        Crowd heavy = play.new Crowd("heavy", 120, 0);
        play.until(6000);
        play.takes = 100;
        play.until(play.now + 6000);
        playFor(4000);
        assertThat(heavy.committed / 4.0).isGreaterThan(0.85 * 120);
    }

    @Test
    void whatTheModuleDoesNotTakeIsNotMadeUpForByAWiderWindow() {
        play.moduleLimit = 5;
        Crowd heavy = play.new Crowd("heavy", 120, 0);
        play.until(6000);
        playFor(2000);
        // Its limit is seen to be wanted: something is always held for it to learn from.
        assertThat(play.out).isBetween(4, 5);
        assertThat(play.door.concurrencyLimit(7, false)).isLessThan(12);
        assertThat(heavy.committed / 2.0).isGreaterThan(0.9 * 100);
        play.moduleLimit = 1000;
        play.until(play.now + 2000);
        playFor(2000);
        assertThat(heavy.committed / 2.0).isGreaterThan(0.95 * 240);
    }

    @Test
    void aGroupWithoutAPrimaryKeepsNobodyElseOut() {
        List<Crowd> light = light();
        Crowd writes = play.new Crowd("writer", 40, 0);
        writes.type = WRITE;
        writes.left = 5000;
        play.until(4000);
        play.headless.add(7);
        playFor(4000);
        assertServedAsIfAlone(light);
        // They wait, as the design wants it: nothing of it is declined for a forecast that nobody
        // can make.
        assertThat(writes.committed).isLessThan(40);
        assertThat(writes.declined).isZero();
        assertThat(play.door.queuedCount()).isGreaterThan(30);
        play.headless.clear();
        play.submit();
        playFor(3000);
        assertThat(writes.committed / 3.0).isGreaterThan(150);
        assertThat(writes.declined).isZero();
    }

    @Test
    void adviceIsTrueSpreadAndNeverAboveTheLongest() {
        Crowd heavy = play.new Crowd("heavy", 120, 0);
        play.until(4000);
        playFor(8000);
        assertThat(heavy.told).isEqualTo(heavy.declined).isGreaterThan(200);
        assertThat((double) heavy.letIn / heavy.returns).isGreaterThan(0.95);
        // Declines are said at once: by the forecast, on arrival.
        assertThat(heavy.declinedAfter).filteredOn(d -> d > 1).hasSizeLessThan(heavy.declined / 20);
    }

    @Test
    void aThousandToldAtOnceAreNotToldTheSameTime() {
        TreeSet<Duration> told = new TreeSet<>();
        for (int i = 0; i < 1000; i++) {
            play.door.onTxnArrived(
                    at(0),
                    "t" + i,
                    0,
                    7,
                    at(2000),
                    new ClientContext("10.0.0.1", Map.of()),
                    null,
                    false);
        }
        for (AdmissionDecision v = play.door.nextDecision(at(0));
                v != null;
                v = play.door.nextDecision(at(0))) {
            if (!v.admitted()) {
                assertThat(v.retryAfter()).isBetween(at(10), at(500));
                told.add(v.retryAfter());
            }
        }
        assertThat(told).hasSizeGreaterThan(800);
        assertThat(told.first()).isLessThan(at(200));
    }

    @Test
    void withoutTheRightToAdviseNothingIsAdvised() {
        play.terms.put("may-advise-come-back", false);
        play.open(FairQueueSettings.DEFAULTS);
        Crowd heavy = play.new Crowd("heavy", 120, 0);
        play.until(3000);
        assertThat(heavy.declined).isGreaterThan(100);
        assertThat(heavy.told).isZero();
    }

    @Test
    void anIdleTenantThatWakesHasSavedNothingUp() {
        Crowd busy = play.new Crowd("busy", 60, 0);
        play.until(20_000);
        Crowd woken = play.new Crowd("woken", 60, 0);
        play.until(play.now + 300);
        playFor(1000);
        assertThat((double) woken.committed / busy.committed).isCloseTo(1, within(0.1));
    }

    @Test
    void whatCannotBeInTimeIsDeclinedAtOnceAndNeverLetIn() {
        play.new Crowd("heavy", 200, 0);
        play.until(4000);
        Crowd hasty = play.new Crowd("heavy", 20, 0);
        hasty.left = 80;
        playFor(3000);
        assertThat(hasty.declined).isGreaterThan(50);
        assertThat(hasty.declinedAfter).allSatisfy(d -> assertThat(d).isLessThan(40));
    }

    @Test
    void afterTheWordToStopAllHaveTheirVerdictsInTime() {
        Crowd heavy = play.new Crowd("heavy", 120, 0);
        heavy.type = WRITE;
        heavy.left = 5000;
        play.until(4000);
        assertThat(play.door.queuedCount()).isGreaterThan(50);
        heavy.once = true;
        play.door.drainBy(at(play.now + 300));
        play.headless.add(7);
        play.pull();
        play.until(play.now + 300);
        assertThat(play.door.queuedCount()).isZero();
    }

    @Test
    void newRulesCountAtOnceAndQueuesKeepTheirOrder() {
        play.open(listed("a", 1.0, "b", 1.0));
        Crowd a = play.new Crowd("a", 60, 0);
        Crowd b = play.new Crowd("b", 100, 0);
        play.until(4000);
        int waiting = play.door.queuedCount();
        play.door.updateSettings(at(play.now), listed("a", 1.0, "b", 4.0));
        assertThat(play.door.queuedCount()).isEqualTo(waiting);
        play.until(play.now + 500);
        playFor(8000);
        assertThat((double) b.committed / a.committed).isCloseTo(4, within(0.3));
        play.door.updateSettings(at(play.now), FairQueueSettings.DEFAULTS);
        play.until(play.now + 500);
        playFor(8000);
        assertThat((double) b.committed / a.committed).isCloseTo(1, within(0.1));
    }

    @Test
    void aCapHoldsEvenWherePlacesStandEmpty() {
        play.open(
                rules(
                        Map.of("capped", new TenantSettings(1, 0.25)),
                        FairQueueSettings.DEFAULTS.defaultTenant(),
                        2000));
        Crowd capped = play.new Crowd("capped", 60, 0);
        play.until(3000);
        playFor(3000);
        assertThat(capped.committed / 3.0).isBetween(30.0, 60.0);
    }

    @Test
    void whereAllPlacesToWaitAreTakenALongQueueMakesRoom() {
        play.open(rules(Map.of(), FairQueueSettings.DEFAULTS.defaultTenant(), 40));
        Crowd heavy = play.new Crowd("heavy", 100, 0);
        heavy.type = WRITE;
        heavy.left = 5000;
        play.until(4000);
        assertThat(play.door.queuedCount()).isEqualTo(40);
        Crowd light = play.new Crowd("light", 2, 200);
        light.type = WRITE;
        light.left = 5000;
        playFor(5000);
        assertThat(light.declined).isZero();
        assertThat(light.committed).isGreaterThan(30);
    }

    @Test
    void tenThousandClientsOfOneTxnEachStayWithinAMebibyteAndEachHasOneVerdict() {
        int verdicts = 0;
        for (int i = 0; i < 10_000; i++) {
            play.door.onTxnArrived(
                    at(0),
                    "t" + i,
                    0,
                    7,
                    at(2000),
                    new ClientContext("10." + i, Map.of()),
                    null,
                    false);
        }
        List<QueuedTxn> in = new ArrayList<>();
        for (double now = 0; now < 3000; now += 5) {
            for (AdmissionDecision v = play.door.nextDecision(at(now));
                    v != null;
                    v = play.door.nextDecision(at(now))) {
                verdicts++;
                if (v.admitted()) {
                    play.door.onSubmitted(at(now), v.queuedTxn());
                    in.add(v.queuedTxn());
                }
            }
            if (!in.isEmpty() && now % 50 == 0) {
                for (QueuedTxn v : in) {
                    play.door.onSubmissionEnded(at(now), v, End.COMMITTED, at(50));
                    play.door.onTxnClosed(at(now), v);
                }
                in.clear();
            }
        }
        assertThat(verdicts).isEqualTo(10_000);
        assertThat(play.door.memoryBytes()).isLessThan(1 << 20);
        assertThat(play.door.flowCount()).isLessThanOrEqualTo(FlowTable.CAPACITY);
    }

    @Test
    void aSilentMemberFillsNoPlacesForLong() {
        ClientContext caller = new ClientContext("10.0.0.1", Map.of());
        List<QueuedTxn> stuck = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            play.door.onTxnArrived(at(i), "s" + i, 0, 7, at(2000), caller, null, false);
            QueuedTxn v = play.door.nextDecision(at(i)).queuedTxn();
            play.door.onSubmitted(at(i), v);
            stuck.add(v);
        }
        assertThat(play.door.inFlight(7, false)).isEqualTo(8);
        play.door.onTxnArrived(at(20), "next", 0, 7, at(5000), caller, null, false);
        assertThat(play.door.nextDecision(at(20))).isNull();
        assertThat(play.door.nextDecision(play.door.nextWakeUp())).isNotNull();
        // Their ends come after all, and change nothing twice.
        stuck.forEach(
                v -> {
                    play.door.onSubmissionEnded(at(3000), v, End.TIMED_OUT, at(2900));
                    play.door.onTxnClosed(at(3000), v);
                    play.door.onTxnClosed(at(3000), v);
                });
        assertThat(play.door.inFlight(7, false)).isZero();
    }

    @Test
    void aClientThatLeavesWhileItsTxnWaitsLeavesNothingBehind() {
        ClientContext caller = new ClientContext("10.0.0.1", Map.of());
        List<QueuedTxn> all = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            all.add(
                    play.door.onTxnArrived(
                            at(0), "t" + i, WRITE, 7, at(5000), caller, null, false));
        }
        all.forEach(v -> play.door.onTxnClosed(at(1), v));
        assertThat(play.door.queuedCount()).isZero();
        assertThat(play.door.nextDecision(at(10_000))).isNull();
        assertThat(play.door.nextWakeUp()).isNull();
    }
}
