package wingroad.door;

import wingroad.state.Submission.Outcome;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

/**
 * The door before one lane of members, played in virtual time: places that each take so long for a
 * txn, a module that holds what finds none below its limit, and tenants that ask again. The same
 * seed plays the same.
 */
final class Play {
    static final int READ = 0;
    static final int WRITE = 1;

    /** Reads that take four times as long. */
    static final int LONG = 2;

    /** One connection of a tenant. */
    final class Asker {
        final Crowd crowd;
        ClientContext caller;
        QueuedTxn queued;
        double askedAt;
        double toldAt = -1;

        Asker(Crowd crowd, String address) {
            this.crowd = crowd;
            this.caller = new ClientContext(address, Map.of());
        }

        void ask() {
            askedAt = now;
            String id = "t" + number++;
            asked.put(id, this);
            crowd.asked++;
            boolean retry = toldAt >= 0;
            queued =
                    door.onTxnArrived(
                            at(now),
                            id,
                            crowd.type,
                            crowd.group,
                            at(crowd.left),
                            caller,
                            crowd.name.get(),
                            retry);
            pull();
        }

        void answered(boolean committed, Duration comeBack) {
            if (toldAt >= 0) {
                crowd.returns++;
                crowd.letIn += committed ? 1 : 0;
            }
            toldAt = -1;
            queued = null;
            if (committed) {
                crowd.committed++;
                crowd.times.add(now - askedAt);
            } else {
                crowd.declined++;
                crowd.told += comeBack == null ? 0 : 1;
                crowd.declinedAfter.add(now - askedAt);
            }
            double wait =
                    committed
                            ? crowd.think
                            : crowd.patient && comeBack != null
                                    ? comeBack.toNanos() / 1e6 * (1 + 0.2 * random.nextDouble())
                                    : crowd.again;
            if (!committed && crowd.patient && comeBack != null) {
                toldAt = now + comeBack.toNanos() / 1e6;
            }
            if (!crowd.once) {
                caller =
                        crowd.newConnections ? new ClientContext(caller.address, Map.of()) : caller;
                later(now + wait, this::ask);
            }
        }
    }

    /** A tenant: so many connections that act alike. */
    final class Crowd {
        java.util.function.Supplier<String> name;
        int type = READ;
        int group = 7;
        double left = 2000;
        double think;
        double again = 20;
        boolean patient = true;
        boolean once;
        boolean newConnections;
        int asked;
        int committed;
        int declined;
        int told;
        int returns;
        int letIn;
        final List<Double> times = new ArrayList<>();
        final List<Double> declinedAfter = new ArrayList<>();

        Crowd(String name, int connections, double think) {
            this(name, connections, think, "10.0.0.1");
        }

        Crowd(String name, int connections, double think, String address) {
            this.name = () -> name;
            crowds.add(this);
            this.think = think;
            for (int i = 0; i < connections; i++) {
                Asker a = new Asker(this, address);
                later(now + random.nextDouble() * Math.max(think, 20), a::ask);
            }
        }

        double p99() {
            List<Double> all = new ArrayList<>(times);
            all.sort(null);
            return all.get((int) Math.min(all.size() - 1, 0.99 * all.size()));
        }

        void forget() {
            asked = 0;
            committed = 0;
            declined = 0;
            told = 0;
            returns = 0;
            letIn = 0;
            times.clear();
            declinedAfter.clear();
        }
    }

    /** What has been counted up to now does not count. */
    void forget() {
        crowds.forEach(Crowd::forget);
    }

    private record Event(double at, long number, Runnable what) {}

    final Map<String, Object> terms = new HashMap<>();
    final List<Crowd> crowds = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    final Random random = new Random(5);
    FairQueues door;
    double now;

    /** Places at the members, and how long one txn takes. */
    int places = 12;

    double takes = 50;

    /** 0: always the same; 1: as an exponential one. */
    double varies;

    /** How many the module would have out at most. */
    int moduleLimit = 1000;

    /** Groups without a primary: their writes are held. */
    final java.util.Set<Integer> headless = new java.util.HashSet<>();

    int out;
    private int busy;
    private long number;
    private final Map<String, Asker> asked = new HashMap<>();
    private final java.util.ArrayDeque<String> held = new java.util.ArrayDeque<>();
    private final java.util.ArrayDeque<String> queue = new java.util.ArrayDeque<>();
    private final Map<String, Double> sentAt = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Double.compare(a.at, b.at)
                                    : Long.compare(a.number, b.number));
    private long eventNumber;
    private boolean pulling;
    private double wakeAt = -1;

    Play() {
        terms.put("txn-types", 3.0);
        terms.put("may-advise-come-back", true);
        terms.put("longest-come-back", at(500));
        type(READ, "recent", 750, 2000, 0);
        type(WRITE, "update", 1200, 5000, 0.3);
        type(LONG, "recent", 2000, 4000, 0);
    }

    private void type(int i, String reads, double sla, double expiry, double late) {
        String t = "txn-type." + i + ".";
        terms.put(t + "reads", reads);
        terms.put(t + "sla-time", at(sla));
        terms.put(t + "expiry", at(expiry));
        terms.put(t + "late-share", late);
    }

    static Duration at(double ms) {
        return Duration.ofNanos((long) (ms * 1e6));
    }

    Play open(FairQueueSettings rules) {
        Consumer<String> hears = line -> log.add(Math.round(now) + " " + line);
        door = new FairQueues(terms, rules, 11, hears);
        return this;
    }

    void later(double at, Runnable what) {
        events.add(new Event(at, eventNumber++, what));
    }

    void until(double end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            now = Math.max(now, e.at);
            e.what.run();
        }
        now = end;
    }

    void pull() {
        if (pulling) {
            return;
        }
        pulling = true;
        for (AdmissionDecision v = door.nextDecision(at(now));
                v != null;
                v = door.nextDecision(at(now))) {
            String id = v.queuedTxn().txnId();
            Asker a = asked.get(id);
            if (a == null) {
                door.onTxnClosed(at(now), v.queuedTxn());
            } else if (v.admitted()) {
                a.queued = v.queuedTxn();
                held.add(id);
                submit();
            } else {
                asked.remove(id);
                Duration comeBack = v.retryAfter();
                later(now, () -> a.answered(false, comeBack));
            }
        }
        pulling = false;
        Duration wake = door.nextWakeUp();
        if (wake != null && (wakeAt <= now || wake.toNanos() / 1e6 < wakeAt)) {
            wakeAt = Math.max(now, wake.toNanos() / 1e6) + 0.001;
            later(wakeAt, this::pull);
        }
    }

    void submit() {
        for (int i = held.size(); i > 0 && out < moduleLimit; i--) {
            String id = held.poll();
            Asker a = asked.get(id);
            if (a.crowd.type == WRITE && headless.contains(a.crowd.group)) {
                held.add(id);
                continue;
            }
            out++;
            sentAt.put(id, now);
            queue.add(id);
            door.onSubmitted(at(now), a.queued);
        }
        begin();
    }

    private void begin() {
        while (busy < places && !queue.isEmpty()) {
            busy++;
            String id = queue.poll();
            double work =
                    (asked.get(id).crowd.type == LONG ? 4 : 1)
                            * takes
                            * (1 - varies + varies * -Math.log(1 - random.nextDouble()));
            later(now + work, () -> end(id));
        }
    }

    private void end(String id) {
        busy--;
        out--;
        Asker a = asked.remove(id);
        door.onSubmissionEnded(at(now), a.queued, Outcome.COMMITTED, at(now - sentAt.remove(id)));
        door.onTxnClosed(at(now), a.queued);
        later(now, () -> a.answered(true, null));
        submit();
        pull();
    }
}
