package wingroad.rig;

import wingroad.Fixtures;
import wingroad.Fixtures.TestClient;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients of all drivers that live: a txn after the other, every fifth a write. What is broken off
 * while its driver is left alone counts as lost.
 */
public final class ClientLoad implements AutoCloseable {
    public final AtomicLong sent = new AtomicLong();
    public final AtomicLong committed = new AtomicLong();
    public final AtomicLong refused = new AtomicLong();
    public final AtomicLong lost = new AtomicLong();

    /** What was heard by the first that were refused, and when. */
    public final java.util.Queue<String> firstRefusals =
            new java.util.concurrent.ConcurrentLinkedQueue<>();

    /** Drivers that are not left alone: what fails there is not counted. */
    public final Set<String> excludedDrivers = ConcurrentHashMap.newKeySet();

    private final TestCluster cluster;
    private final List<Integer> groups;
    private final long intervalMs;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean closed;

    public ClientLoad(TestCluster rig, List<Integer> groups, long everyMs) {
        this(rig, groups, everyMs, 1);
    }

    /** The same with so many clients at each driver. */
    public ClientLoad(TestCluster rig, List<Integer> groups, long everyMs, int clients) {
        this.cluster = rig;
        this.groups = groups;
        this.intervalMs = everyMs;
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            for (int i = 0; i < clients; i++) {
                String name = d.name + "c" + i;
                Thread t = new Thread(() -> run(d, name), "load " + name);
                t.setDaemon(true);
                t.start();
                threads.add(t);
            }
        }
    }

    private void run(TestCluster.DriverProcess d, String client) {
        TestClient c = null;
        int starts = -1;
        for (int n = 0; !closed; n++) {
            boolean alone = !excludedDrivers.contains(d.name);
            int now = d.startCount;
            try {
                TimeUnit.MILLISECONDS.sleep(intervalMs);
                if (!d.isAlive() || d.paused || d.port() == 0) {
                    c = null;
                    continue;
                }
                if (c == null || starts != now) {
                    c = new TestClient(d.port());
                    starts = now;
                    c.sendStartup().readResponses();
                }
                String id = client + "-" + now + "-" + n;
                String group = "cluster=" + groups.get(n % groups.size());
                List<String> heard =
                        c.query(
                                        (n % 5 == 4
                                                        ? Fixtures.writeStatement(id)
                                                        : Fixtures.readStatement(id))
                                                .replace("cluster=7", group))
                                .readResponses();
                if (alone && !excludedDrivers.contains(d.name) && d.startCount == now) {
                    sent.incrementAndGet();
                    if (heard.contains("row value")) {
                        committed.incrementAndGet();
                    } else if (heard.contains("end")) {
                        lost.incrementAndGet();
                    } else {
                        if (refused.incrementAndGet() <= 20) {
                            firstRefusals.add(java.time.Instant.now() + " " + id + " " + heard);
                        }
                    }
                }
                if (heard.contains("end")) {
                    c = null;
                }
            } catch (IOException e) {
                if (c != null
                        && alone
                        && !excludedDrivers.contains(d.name)
                        && d.startCount == now
                        && d.isAlive()
                        && !closed) {
                    sent.incrementAndGet();
                    lost.incrementAndGet();
                }
                c = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    public double committedShare() {
        return sent.get() == 0 ? 1 : (double) committed.get() / sent.get();
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        for (Thread t : threads) {
            t.join(TimeUnit.SECONDS.toMillis(20));
        }
    }
}
