package wingroad.door;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

import wingroad.state.Submission.Outcome;
import wingroad.state.TimingWheel;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Time for one txn in admission control, from its arrival to its end, with some txns always queued;
 * and the same with plain collections.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DoorBench {
    private static final Duration TIME_LEFT = Duration.ofSeconds(2);
    private static final long ARRIVAL_INTERVAL_NANOS = 4_000_000;
    private static final int QUEUED_TXNS = 40;

    @Param({"10", "10000", "1000000"})
    public int tenants;

    private String[] names;
    private final ArrayDeque<QueuedTxn> admitted = new ArrayDeque<>();
    private FairQueues fairQueues;
    private Plain plain;
    private long nowNanos;
    private int nextTenant;

    @Setup
    public void setup() {
        names = new String[tenants];
        for (int i = 0; i < tenants; i++) {
            names[i] = "10.0." + i;
        }
        fairQueues = newFairQueues();
        plain = new Plain();
        for (int i = 0; i < QUEUED_TXNS; i++) {
            arrive();
            plain.arrive(names[nextTenant]);
        }
    }

    private static FairQueues newFairQueues() {
        Map<String, Object> routingSettings = new HashMap<>();
        routingSettings.put("txn-types", 1.0);
        routingSettings.put("txn-type.0.sla-time", Duration.ofMillis(750));
        routingSettings.put("txn-type.0.expiry", TIME_LEFT);
        routingSettings.put("may-advise-come-back", true);
        routingSettings.put("longest-come-back", Duration.ofMillis(500));
        return new FairQueues(routingSettings, FairQueueSettings.DEFAULTS, 3, line -> {});
    }

    private void arrive() {
        nowNanos += ARRIVAL_INTERVAL_NANOS;
        nextTenant = nextTenant + 1 == tenants ? 0 : nextTenant + 1;
        fairQueues.onTxnArrived(
                Duration.ofNanos(nowNanos),
                "t",
                0,
                1,
                TIME_LEFT,
                new ClientContext(names[nextTenant], Map.of()),
                null,
                false);
        takeDecisions();
    }

    private void takeDecisions() {
        Duration now = Duration.ofNanos(nowNanos);
        for (AdmissionDecision decision = fairQueues.nextDecision(now);
                decision != null;
                decision = fairQueues.nextDecision(now)) {
            if (decision.admitted()) {
                admitted.add(decision.queuedTxn());
                fairQueues.onSubmitted(now, decision.queuedTxn());
            }
        }
    }

    @Benchmark
    public void door() {
        arrive();
        QueuedTxn txn = admitted.poll();
        if (txn != null) {
            Duration now = Duration.ofNanos(nowNanos);
            fairQueues.onSubmissionEnded(now, txn, Outcome.COMMITTED, Duration.ofMillis(50));
            fairQueues.onTxnClosed(now, txn);
            takeDecisions();
        }
    }

    @Benchmark
    public String plain() {
        nowNanos += ARRIVAL_INTERVAL_NANOS;
        nextTenant = nextTenant + 1 == tenants ? 0 : nextTenant + 1;
        plain.arrive(names[nextTenant]);
        return plain.leave();
    }

    /**
     * The simplest implementation: a map with a queue for each tenant ever seen, and a heap of the
     * backlogged queues.
     */
    private static final class Plain {
        private static final class Queue {
            final ArrayDeque<String> txns = new ArrayDeque<>(2);
            double tag;
        }

        private final Map<String, Queue> queues = new HashMap<>();
        private final PriorityQueue<Queue> backlogged =
                new PriorityQueue<>((a, b) -> Double.compare(a.tag, b.tag));
        private double virtualTime;

        void arrive(String name) {
            Queue queue = queues.computeIfAbsent(name, key -> new Queue());
            queue.txns.add(name);
            if (queue.txns.size() == 1) {
                queue.tag = Math.max(queue.tag, virtualTime);
                backlogged.add(queue);
            }
        }

        String leave() {
            Queue queue = backlogged.poll();
            virtualTime = queue.tag;
            queue.tag += 50;
            String name = queue.txns.poll();
            if (!queue.txns.isEmpty()) {
                backlogged.add(queue);
            }
            return name;
        }
    }

    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * Heap memory in bytes of one {@link FairQueues} after one txn of each of so many tenants, and
     * of ten thousand more at the same time.
     */
    public static double stateBytes(int tenants, int instances) {
        long bytesBefore = usedHeapBytes();
        FairQueues[] all = new FairQueues[instances];
        for (int instance = 0; instance < instances; instance++) {
            all[instance] = newFairQueues();
            submitFromManyTenants(all[instance], tenants);
        }
        double heldBytes = usedHeapBytes() - bytesBefore;
        int queuedCount = 0;
        for (FairQueues fairQueues : all) {
            queuedCount += fairQueues.queuedCount();
        }
        if (queuedCount == 0) {
            throw new IllegalStateException("no txns are queued, but the queues should be full");
        }
        return heldBytes / instances;
    }

    private static void submitFromManyTenants(FairQueues fairQueues, int tenants) {
        for (int i = 0; i < tenants + 10_000; i++) {
            Duration now = Duration.ofNanos(Math.min(i, tenants) * 20_000L);
            fairQueues.onTxnArrived(
                    now,
                    "t",
                    0,
                    1,
                    TIME_LEFT,
                    new ClientContext("10.1." + i, Map.of()),
                    null,
                    false);
            for (AdmissionDecision decision = fairQueues.nextDecision(now);
                    decision != null;
                    decision = fairQueues.nextDecision(now)) {
                if (decision.admitted()) {
                    fairQueues.onSubmitted(now, decision.queuedTxn());
                    if (i < tenants) {
                        fairQueues.onSubmissionEnded(
                                now,
                                decision.queuedTxn(),
                                Outcome.COMMITTED,
                                Duration.ofMillis(50));
                        fairQueues.onTxnClosed(now, decision.queuedTxn());
                    }
                }
            }
        }
    }

    /** Heap memory in bytes of the plain collections after one txn of each of so many tenants. */
    public static double plainBytes(int tenants) {
        long bytesBefore = usedHeapBytes();
        Plain plain = new Plain();
        for (int i = 0; i < tenants; i++) {
            plain.arrive("10.1." + i);
            plain.leave();
        }
        double heldBytes = usedHeapBytes() - bytesBefore;
        return plain.queues.isEmpty() ? 0 : heldBytes;
    }

    /** Nanoseconds to cancel and set one of a thousand timers, on the wheel or on a binary heap. */
    public static double timers(boolean useWheel) {
        int timerCount = 1000;
        int rounds = 400;
        Random random = new Random(1);
        TimingWheel timerWheel = new TimingWheel();
        TimingWheel.Timer[] timers = new TimingWheel.Timer[timerCount];
        PriorityQueue<Long> heap = new PriorityQueue<>();
        Long[] dues = new Long[timerCount];
        long bestNanos = Long.MAX_VALUE;
        for (int i = 0; i < timerCount; i++) {
            timers[i] = new TimingWheel.Timer();
            dues[i] = random.nextInt(1000) * 1_000_000L + i;
            timerWheel.schedule(timers[i], dues[i]);
            heap.add(dues[i]);
        }
        for (int round = 0; round < rounds; round++) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < timerCount; i++) {
                long newDue = dues[i] + 7_000_000L * (round % 100);
                if (useWheel) {
                    timerWheel.cancel(timers[i]);
                    timerWheel.schedule(timers[i], newDue);
                } else {
                    heap.remove(dues[i]);
                    dues[i] = newDue;
                    heap.add(dues[i]);
                }
            }
            bestNanos = Math.min(bestNanos, System.nanoTime() - startNanos);
        }
        return bestNanos / (double) timerCount;
    }
}
