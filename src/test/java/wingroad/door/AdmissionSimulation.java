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
 * Simulates admission control in virtual time: members with a number of slots and a service time, a
 * decision module that holds txns above its own limit, and tenants that retry. Runs with the same
 * seed are identical.
 */
final class AdmissionSimulation {
    static final int READ = 0;
    static final int WRITE = 1;

    /** Reads with four times the service time. */
    static final int LONG_READ = 2;

    /** One client connection of a tenant. It has one txn at a time. */
    final class Connection {
        final SimulatedTenant tenant;
        ClientContext client;
        QueuedTxn queuedTxn;
        double sentAtMs;

        /** When the client was told to retry, or -1. */
        double retryAtMs = -1;

        Connection(SimulatedTenant tenant, String address) {
            this.tenant = tenant;
            this.client = new ClientContext(address, Map.of());
        }

        void sendTxn() {
            sentAtMs = nowMs;
            String txnId = "t" + txnNumber++;
            connectionsByTxnId.put(txnId, this);
            tenant.sent++;
            boolean isRetry = retryAtMs >= 0;
            queuedTxn =
                    fairQueues.onTxnArrived(
                            duration(nowMs),
                            txnId,
                            tenant.txnType,
                            tenant.group,
                            duration(tenant.timeLeftMs),
                            client,
                            tenant.name.get(),
                            isRetry);
            takeDecisions();
        }

        void onAnswer(boolean committed, Duration retryAfter) {
            if (retryAtMs >= 0) {
                tenant.timedRetries++;
                tenant.committedTimedRetries += committed ? 1 : 0;
            }
            retryAtMs = -1;
            queuedTxn = null;
            if (committed) {
                tenant.committed++;
                tenant.latenciesMs.add(nowMs - sentAtMs);
            } else {
                tenant.declined++;
                tenant.declinedWithRetryAfter += retryAfter == null ? 0 : 1;
                tenant.declineLatenciesMs.add(nowMs - sentAtMs);
            }
            double waitMs =
                    committed
                            ? tenant.thinkTimeMs
                            : tenant.honorsRetryAfter && retryAfter != null
                                    ? retryAfter.toNanos() / 1e6 * (1 + 0.2 * random.nextDouble())
                                    : tenant.retryDelayMs;
            if (!committed && tenant.honorsRetryAfter && retryAfter != null) {
                retryAtMs = nowMs + retryAfter.toNanos() / 1e6;
            }
            if (!tenant.stopsAfterAnswer) {
                client =
                        tenant.reconnectsForEachTxn
                                ? new ClientContext(client.address, Map.of())
                                : client;
                schedule(nowMs + waitMs, this::sendTxn);
            }
        }
    }

    /** A tenant with a number of connections that behave alike, and its counts. */
    final class SimulatedTenant {
        java.util.function.Supplier<String> name;
        int txnType = READ;
        int group = 7;

        /** Time from arrival to expiry. */
        double timeLeftMs = 2000;

        /** From a commit to the next txn. */
        double thinkTimeMs;

        /** From a decline to the retry, where no retry time was given or it is ignored. */
        double retryDelayMs = 20;

        boolean honorsRetryAfter = true;
        boolean stopsAfterAnswer;
        boolean reconnectsForEachTxn;
        int sent;
        int committed;
        int declined;
        int declinedWithRetryAfter;

        /** Retries at the time that was given. */
        int timedRetries;

        int committedTimedRetries;
        final List<Double> latenciesMs = new ArrayList<>();
        final List<Double> declineLatenciesMs = new ArrayList<>();

        SimulatedTenant(String name, int connections, double thinkTimeMs) {
            this(name, connections, thinkTimeMs, "10.0.0.1");
        }

        SimulatedTenant(String name, int connections, double thinkTimeMs, String address) {
            this.name = () -> name;
            tenants.add(this);
            this.thinkTimeMs = thinkTimeMs;
            for (int i = 0; i < connections; i++) {
                Connection connection = new Connection(this, address);
                schedule(
                        nowMs + random.nextDouble() * Math.max(thinkTimeMs, 20),
                        connection::sendTxn);
            }
        }

        double p99LatencyMs() {
            List<Double> sorted = new ArrayList<>(latenciesMs);
            sorted.sort(null);
            return sorted.get((int) Math.min(sorted.size() - 1, 0.99 * sorted.size()));
        }

        void resetCounts() {
            sent = 0;
            committed = 0;
            declined = 0;
            declinedWithRetryAfter = 0;
            timedRetries = 0;
            committedTimedRetries = 0;
            latenciesMs.clear();
            declineLatenciesMs.clear();
        }
    }

    /** Resets the counts of all tenants: what follows is measured. */
    void resetCounts() {
        tenants.forEach(SimulatedTenant::resetCounts);
    }

    private record Event(double atMs, long sequenceNumber, Runnable action) {}

    final Map<String, Object> routingSettings = new HashMap<>();
    final List<SimulatedTenant> tenants = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    final Random random = new Random(5);
    FairQueues fairQueues;
    double nowMs;

    /** How many txns the members serve at a time. */
    int memberSlots = 12;

    double serviceTimeMs = 50;

    /** 0 for constant service times, 1 for exponentially distributed ones. */
    double serviceTimeVariability;

    /** The decision module's own limit of txns in flight. */
    int moduleLimit = 1000;

    /** The decision module holds the writes of these groups. */
    final java.util.Set<Integer> groupsWithoutPrimary = new java.util.HashSet<>();

    int inFlight;
    private int busySlots;
    private long txnNumber;
    private final Map<String, Connection> connectionsByTxnId = new HashMap<>();
    private final java.util.ArrayDeque<String> pendingTxnIds = new java.util.ArrayDeque<>();

    /** Submitted txns that wait for a slot. */
    private final java.util.ArrayDeque<String> memberQueue = new java.util.ArrayDeque<>();

    private final Map<String, Double> submittedAtMs = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atMs != b.atMs
                                    ? Double.compare(a.atMs, b.atMs)
                                    : Long.compare(a.sequenceNumber, b.sequenceNumber));
    private long eventCount;

    private boolean takingDecisions;
    private double wakeUpAtMs = -1;

    AdmissionSimulation() {
        routingSettings.put("txn-types", 3.0);
        routingSettings.put("may-advise-come-back", true);
        routingSettings.put("longest-come-back", duration(500));
        setTxnType(READ, "recent", 750, 2000, 0);
        setTxnType(WRITE, "update", 1200, 5000, 0.3);
        setTxnType(LONG_READ, "recent", 2000, 4000, 0);
    }

    private void setTxnType(
            int txnType, String reads, double slaTimeMs, double expiryMs, double lateShare) {
        String prefix = "txn-type." + txnType + ".";
        routingSettings.put(prefix + "reads", reads);
        routingSettings.put(prefix + "sla-time", duration(slaTimeMs));
        routingSettings.put(prefix + "expiry", duration(expiryMs));
        routingSettings.put(prefix + "late-share", lateShare);
    }

    static Duration duration(double ms) {
        return Duration.ofNanos((long) (ms * 1e6));
    }

    AdmissionSimulation open(FairQueueSettings settings) {
        Consumer<String> logger = line -> log.add(Math.round(nowMs) + " " + line);
        fairQueues = new FairQueues(routingSettings, settings, 11, logger);
        return this;
    }

    void schedule(double atMs, Runnable action) {
        events.add(new Event(atMs, eventCount++, action));
    }

    void runUntil(double endMs) {
        while (!events.isEmpty() && events.peek().atMs <= endMs) {
            Event event = events.poll();
            nowMs = Math.max(nowMs, event.atMs);
            event.action.run();
        }
        nowMs = endMs;
    }

    void takeDecisions() {
        if (takingDecisions) {
            return;
        }
        takingDecisions = true;
        for (AdmissionDecision decision = fairQueues.nextDecision(duration(nowMs));
                decision != null;
                decision = fairQueues.nextDecision(duration(nowMs))) {
            String txnId = decision.queuedTxn().txnId();
            Connection connection = connectionsByTxnId.get(txnId);
            if (connection == null) {
                fairQueues.onTxnClosed(duration(nowMs), decision.queuedTxn());
            } else if (decision.admitted()) {
                connection.queuedTxn = decision.queuedTxn();
                pendingTxnIds.add(txnId);
                submitPending();
            } else {
                connectionsByTxnId.remove(txnId);
                Duration retryAfter = decision.retryAfter();
                schedule(nowMs, () -> connection.onAnswer(false, retryAfter));
            }
        }
        takingDecisions = false;
        Duration wakeUp = fairQueues.nextWakeUp();
        if (wakeUp != null && (wakeUpAtMs <= nowMs || wakeUp.toNanos() / 1e6 < wakeUpAtMs)) {
            wakeUpAtMs = Math.max(nowMs, wakeUp.toNanos() / 1e6) + 0.001;
            schedule(wakeUpAtMs, this::takeDecisions);
        }
    }

    void submitPending() {
        for (int i = pendingTxnIds.size(); i > 0 && inFlight < moduleLimit; i--) {
            String txnId = pendingTxnIds.poll();
            Connection connection = connectionsByTxnId.get(txnId);
            if (connection.tenant.txnType == WRITE
                    && groupsWithoutPrimary.contains(connection.tenant.group)) {
                pendingTxnIds.add(txnId);
                continue;
            }
            inFlight++;
            submittedAtMs.put(txnId, nowMs);
            memberQueue.add(txnId);
            fairQueues.onSubmitted(duration(nowMs), connection.queuedTxn);
        }
        startQueued();
    }

    private void startQueued() {
        while (busySlots < memberSlots && !memberQueue.isEmpty()) {
            busySlots++;
            String txnId = memberQueue.poll();
            double workMs =
                    (connectionsByTxnId.get(txnId).tenant.txnType == LONG_READ ? 4 : 1)
                            * serviceTimeMs
                            * (1
                                    - serviceTimeVariability
                                    + serviceTimeVariability * -Math.log(1 - random.nextDouble()));
            schedule(nowMs + workMs, () -> complete(txnId));
        }
    }

    private void complete(String txnId) {
        busySlots--;
        inFlight--;
        Connection connection = connectionsByTxnId.remove(txnId);
        fairQueues.onSubmissionEnded(
                duration(nowMs),
                connection.queuedTxn,
                Outcome.COMMITTED,
                duration(nowMs - submittedAtMs.remove(txnId)));
        fairQueues.onTxnClosed(duration(nowMs), connection.queuedTxn);
        schedule(nowMs, () -> connection.onAnswer(true, null));
        submitPending();
        takeDecisions();
    }
}
