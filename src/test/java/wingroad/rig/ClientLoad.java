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
 * Client load on all running drivers: each client sends one txn after the other, every fifth a
 * write. A txn whose connection ends counts as lost, unless its driver is being disturbed by the
 * test.
 */
@SuppressWarnings("try")
public final class ClientLoad implements AutoCloseable {
    public final AtomicLong sent = new AtomicLong();
    public final AtomicLong committed = new AtomicLong();
    public final AtomicLong refused = new AtomicLong();
    public final AtomicLong lost = new AtomicLong();

    /** Time, txn id and responses of the first refused txns. */
    public final java.util.Queue<String> firstRefusals =
            new java.util.concurrent.ConcurrentLinkedQueue<>();

    /** Names of drivers that the test disturbs; their txns are not counted. */
    public final Set<String> excludedDrivers = ConcurrentHashMap.newKeySet();

    private final TestCluster cluster;
    private final List<Integer> groups;
    private final long intervalMs;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean closed;

    /**
     * Starts one client at each driver.
     *
     * @param groups groups that the txns address in turn
     * @param intervalMs pause before each txn
     */
    public ClientLoad(TestCluster cluster, List<Integer> groups, long intervalMs) {
        this(cluster, groups, intervalMs, 1);
    }

    /** Starts that many clients at each driver. */
    public ClientLoad(
            TestCluster cluster, List<Integer> groups, long intervalMs, int clientsPerDriver) {
        this.cluster = cluster;
        this.groups = groups;
        this.intervalMs = intervalMs;
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            for (int i = 0; i < clientsPerDriver; i++) {
                String clientName = driver.name + "c" + i;
                Thread thread = new Thread(() -> run(driver, clientName), "load " + clientName);
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
        }
    }

    private void run(TestCluster.DriverProcess driver, String clientName) {
        TestClient client = null;
        int connectedStartCount = -1;
        for (int txnIndex = 0; !closed; txnIndex++) {
            boolean undisturbed = !excludedDrivers.contains(driver.name);
            int startCount = driver.startCount;
            try {
                TimeUnit.MILLISECONDS.sleep(intervalMs);
                if (!driver.isAlive() || driver.paused || driver.port() == 0) {
                    client = null;
                    continue;
                }
                if (client == null || connectedStartCount != startCount) {
                    client = new TestClient(driver.port());
                    connectedStartCount = startCount;
                    client.sendStartup().readResponses();
                }
                String id = clientName + "-" + startCount + "-" + txnIndex;
                String group = "cluster=" + groups.get(txnIndex % groups.size());
                List<String> responses =
                        client.query(
                                        (txnIndex % 5 == 4
                                                        ? Fixtures.writeStatement(id)
                                                        : Fixtures.readStatement(id))
                                                .replace("cluster=7", group))
                                .readResponses();
                if (undisturbed
                        && !excludedDrivers.contains(driver.name)
                        && driver.startCount == startCount) {
                    sent.incrementAndGet();
                    if (responses.contains("row value")) {
                        committed.incrementAndGet();
                    } else if (responses.contains("end")) {
                        lost.incrementAndGet();
                    } else {
                        if (refused.incrementAndGet() <= 20) {
                            firstRefusals.add(java.time.Instant.now() + " " + id + " " + responses);
                        }
                    }
                }
                if (responses.contains("end")) {
                    client = null;
                }
            } catch (IOException e) {
                if (client != null
                        && undisturbed
                        && !excludedDrivers.contains(driver.name)
                        && driver.startCount == startCount
                        && driver.isAlive()
                        && !closed) {
                    sent.incrementAndGet();
                    lost.incrementAndGet();
                }
                client = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Returns the committed share of the counted txns, 1 if there are none. */
    public double committedShare() {
        return sent.get() == 0 ? 1 : (double) committed.get() / sent.get();
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(20));
        }
    }
}
