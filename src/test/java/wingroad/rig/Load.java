package wingroad.rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import wingroad.Fixtures;
import wingroad.Fixtures.Client;

/**
 * Clients of all drivers that live: a txn after the other, every fifth a write. What is broken off
 * while its driver is left alone counts as lost.
 */
public final class Load implements AutoCloseable {
    public final AtomicLong sent = new AtomicLong();
    public final AtomicLong committed = new AtomicLong();
    public final AtomicLong refused = new AtomicLong();
    public final AtomicLong lost = new AtomicLong();

    /** What was heard by the first that were refused, and when. */
    public final java.util.Queue<String> refusals =
            new java.util.concurrent.ConcurrentLinkedQueue<>();

    /** Drivers that are not left alone: what fails there is not counted. */
    public final Set<String> away = ConcurrentHashMap.newKeySet();

    private final Rig rig;
    private final List<Integer> groups;
    private final long everyMs;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;

    public Load(Rig rig, List<Integer> groups, long everyMs) {
        this(rig, groups, everyMs, 1);
    }

    /** The same with so many clients at each driver. */
    public Load(Rig rig, List<Integer> groups, long everyMs, int clients) {
        this.rig = rig;
        this.groups = groups;
        this.everyMs = everyMs;
        for (Rig.Driver d : rig.drivers.values()) {
            for (int i = 0; i < clients; i++) {
                String name = d.name + "c" + i;
                Thread t = new Thread(() -> run(d, name), "load " + name);
                t.setDaemon(true);
                t.start();
                threads.add(t);
            }
        }
    }

    private void run(Rig.Driver d, String client) {
        Client c = null;
        int starts = -1;
        for (int n = 0; !over; n++) {
            boolean alone = !away.contains(d.name);
            int now = d.starts;
            try {
                TimeUnit.MILLISECONDS.sleep(everyMs);
                if (!d.alive() || d.stopped || d.port() == 0) {
                    c = null;
                    continue;
                }
                if (c == null || starts != now) {
                    c = new Client(d.port());
                    starts = now;
                    c.startup().heard();
                }
                String id = client + "-" + now + "-" + n;
                String group = "cluster=" + groups.get(n % groups.size());
                List<String> heard =
                        c.ask(
                                        (n % 5 == 4 ? Fixtures.write(id) : Fixtures.read(id))
                                                .replace("cluster=7", group))
                                .heard();
                if (alone && !away.contains(d.name) && d.starts == now) {
                    sent.incrementAndGet();
                    if (heard.contains("row value")) {
                        committed.incrementAndGet();
                    } else if (heard.contains("end")) {
                        lost.incrementAndGet();
                    } else {
                        if (refused.incrementAndGet() <= 20) {
                            refusals.add(java.time.Instant.now() + " " + id + " " + heard);
                        }
                    }
                }
                if (heard.contains("end")) {
                    c = null;
                }
            } catch (IOException e) {
                if (c != null
                        && alone
                        && !away.contains(d.name)
                        && d.starts == now
                        && d.alive()
                        && !over) {
                    sent.incrementAndGet();
                    lost.incrementAndGet();
                }
                c = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    public double servedShare() {
        return sent.get() == 0 ? 1 : (double) committed.get() / sent.get();
    }

    @Override
    public void close() throws InterruptedException {
        over = true;
        for (Thread t : threads) {
            t.join(TimeUnit.SECONDS.toMillis(20));
        }
    }
}
