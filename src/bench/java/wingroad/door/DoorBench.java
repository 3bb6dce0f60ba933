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
 * What one txn costs at the door, from its arrival to its end, with some always waiting; and the
 * same with plain collections.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DoorBench {
    private static final Duration LEFT = Duration.ofSeconds(2);
    private static final long STEP = 4_000_000;
    private static final int WAITING = 40;

    @Param({"10", "10000", "1000000"})
    public int tenants;

    private String[] names;
    private final ArrayDeque<QueuedTxn> in = new ArrayDeque<>();
    private FairQueues door;
    private Plain plain;
    private long now;
    private int next;

    @Setup
    public void setup() {
        names = new String[tenants];
        for (int i = 0; i < tenants; i++) {
            names[i] = "10.0." + i;
        }
        door = newDoor();
        plain = new Plain();
        for (int i = 0; i < WAITING; i++) {
            arrive();
            plain.arrive(names[next]);
        }
    }

    private static FairQueues newDoor() {
        Map<String, Object> terms = new HashMap<>();
        terms.put("txn-types", 1.0);
        terms.put("txn-type.0.sla-time", Duration.ofMillis(750));
        terms.put("txn-type.0.expiry", LEFT);
        terms.put("may-advise-come-back", true);
        terms.put("longest-come-back", Duration.ofMillis(500));
        return new FairQueues(terms, FairQueueSettings.DEFAULTS, 3, line -> {});
    }

    private void arrive() {
        now += STEP;
        next = next + 1 == tenants ? 0 : next + 1;
        door.onTxnArrived(
                Duration.ofNanos(now),
                "t",
                0,
                1,
                LEFT,
                new ClientContext(names[next], Map.of()),
                null,
                false);
        pull();
    }

    private void pull() {
        Duration at = Duration.ofNanos(now);
        for (AdmissionDecision v = door.nextDecision(at); v != null; v = door.nextDecision(at)) {
            if (v.admitted()) {
                in.add(v.queuedTxn());
                door.onSubmitted(at, v.queuedTxn());
            }
        }
    }

    @Benchmark
    public void door() {
        arrive();
        QueuedTxn v = in.poll();
        if (v != null) {
            Duration at = Duration.ofNanos(now);
            door.onSubmissionEnded(at, v, Outcome.COMMITTED, Duration.ofMillis(50));
            door.onTxnClosed(at, v);
            pull();
        }
    }

    @Benchmark
    public String plain() {
        now += STEP;
        next = next + 1 == tenants ? 0 : next + 1;
        plain.arrive(names[next]);
        return plain.leave();
    }

    /**
     * What one would write first: a map with a queue for each tenant that ever came, and a heap of
     * those that wait.
     */
    private static final class Plain {
        private static final class Queue {
            final ArrayDeque<String> waiting = new ArrayDeque<>(2);
            double tag;
        }

        private final Map<String, Queue> queues = new HashMap<>();
        private final PriorityQueue<Queue> order =
                new PriorityQueue<>((a, b) -> Double.compare(a.tag, b.tag));
        private double virtualTime;

        void arrive(String name) {
            Queue q = queues.computeIfAbsent(name, n -> new Queue());
            q.waiting.add(name);
            if (q.waiting.size() == 1) {
                q.tag = Math.max(q.tag, virtualTime);
                order.add(q);
            }
        }

        String leave() {
            Queue q = order.poll();
            virtualTime = q.tag;
            q.tag += 50;
            String name = q.waiting.poll();
            if (!q.waiting.isEmpty()) {
                order.add(q);
            }
            return name;
        }
    }

    private static long used() {
        Runtime r = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return r.totalMemory() - r.freeMemory();
    }

    /**
     * Heap that a door holds after so many tenants came with one txn each, and ten thousand more at
     * once.
     */
    public static double stateBytes(int tenants, int doors) {
        long before = used();
        FairQueues[] all = new FairQueues[doors];
        for (int d = 0; d < doors; d++) {
            all[d] = newDoor();
            crowd(all[d], tenants);
        }
        double held = used() - before;
        int waiting = 0;
        for (FairQueues door : all) {
            waiting += door.queuedCount();
        }
        if (waiting == 0) {
            throw new IllegalStateException("nothing waits: the queues were to be full");
        }
        return held / doors;
    }

    private static void crowd(FairQueues door, int tenants) {
        for (int i = 0; i < tenants + 10_000; i++) {
            Duration at = Duration.ofNanos(Math.min(i, tenants) * 20_000L);
            door.onTxnArrived(
                    at, "t", 0, 1, LEFT, new ClientContext("10.1." + i, Map.of()), null, false);
            for (AdmissionDecision v = door.nextDecision(at);
                    v != null;
                    v = door.nextDecision(at)) {
                if (v.admitted()) {
                    door.onSubmitted(at, v.queuedTxn());
                    if (i < tenants) {
                        door.onSubmissionEnded(
                                at, v.queuedTxn(), Outcome.COMMITTED, Duration.ofMillis(50));
                        door.onTxnClosed(at, v.queuedTxn());
                    }
                }
            }
        }
    }

    /** The same for the plain collections. */
    public static double plainBytes(int tenants) {
        long before = used();
        Plain plain = new Plain();
        for (int i = 0; i < tenants; i++) {
            plain.arrive("10.1." + i);
            plain.leave();
        }
        double held = used() - before;
        return plain.queues.isEmpty() ? 0 : held;
    }

    /** Nanoseconds to set and to take out a timer among a thousand, on the wheel or on a heap. */
    public static double timers(boolean wheel) {
        int among = 1000;
        int rounds = 400;
        Random random = new Random(1);
        TimingWheel w = new TimingWheel();
        TimingWheel.Timer[] timers = new TimingWheel.Timer[among];
        PriorityQueue<Long> heap = new PriorityQueue<>();
        Long[] dues = new Long[among];
        long best = Long.MAX_VALUE;
        for (int i = 0; i < among; i++) {
            timers[i] = new TimingWheel.Timer();
            dues[i] = random.nextInt(1000) * 1_000_000L + i;
            w.schedule(timers[i], dues[i]);
            heap.add(dues[i]);
        }
        for (int r = 0; r < rounds; r++) {
            long from = System.nanoTime();
            for (int i = 0; i < among; i++) {
                long due = dues[i] + 7_000_000L * (r % 100);
                if (wheel) {
                    w.cancel(timers[i]);
                    w.schedule(timers[i], due);
                } else {
                    heap.remove(dues[i]);
                    dues[i] = due;
                    heap.add(dues[i]);
                }
            }
            best = Math.min(best, System.nanoTime() - from);
        }
        return best / (double) among;
    }
}
