package wingroad.door;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

import wingroad.state.Durations;
import wingroad.state.ResponseTimes;
import wingroad.state.Submission.Outcome;
import wingroad.state.TimingWheel;
import wingroad.state.TxnType;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Admission control with weighted fair queueing, before the decision module: decides which queued
 * txn is admitted next, which txns are declined, and when the clients of declined txns should
 * retry. Uses start-time fair queueing among tenants, charged by the work of their txns, within an
 * adaptive concurrency limit for each queue. The design is described in docs/notes/fair-queues.md.
 *
 * <p>The host reports events, then calls {@link #nextDecision} until it returns null, and again at
 * {@link #nextWakeUp}. The choice of the member, further submissions of a txn and declining an
 * admitted txn are up to the decision module.
 */
public final class FairQueues implements FlowTable.EvictionHandler {
    /**
     * Fraction of the time that the decision module would keep a txn which the txn may spend in the
     * queue: the rest is left for the decision module.
     */
    private static final double QUEUE_TIME_SHARE = 0.9;

    /**
     * Queue times are predicted only for flows with so many queued txns and reservations: a tenant
     * that asks for little is never declined by a prediction.
     */
    private static final int MIN_FORECAST_CLAIMS = 2;

    /**
     * Multiple of the usual latency after which a txn in flight no longer counts against the
     * concurrency limit: its submission may never be answered.
     */
    private static final double STUCK_LATENCY_FACTOR = 4;

    /**
     * Upper bound of a txn's final charge, as a multiple of its estimated work: time lost to an
     * unresponsive member is not the tenant's work.
     */
    private static final double MAX_CHARGE_FACTOR = 4;

    /** Lower bound of a txn's final charge, as a multiple of its estimated work. */
    private static final double MIN_CHARGE_FACTOR = 0.05;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(10);

    /**
     * A retry that is early by at most this time is on time: retry times are sent in whole
     * milliseconds.
     */
    private static final long EARLY_RETRY_TOLERANCE_NANOS = 5_000_000;

    /**
     * An unused reservation is released at this multiple of the wait until the retry, plus {@link
     * #RESERVATION_GRACE_NANOS}.
     */
    private static final double RESERVATION_WAIT_FACTOR = 1.25;

    /** Added to the time at which an unused reservation is released. */
    private static final long RESERVATION_GRACE_NANOS = 30_000_000;

    /** Outstanding reservations over all flows; without one, a retry time is not predicted. */
    private static final int MAX_RESERVATIONS = 1024;

    /** Relative random addition to the predicted wait, so that clients don't retry all at once. */
    private static final double RETRY_JITTER = 0.1;

    /** Lower bound of an unpredicted wait until the retry, as a fraction of the longest one. */
    private static final double MIN_UNPREDICTED_WAIT_SHARE = 0.9;

    /** Lower bound of the admission rate in the prediction of a wait. */
    private static final double MIN_ADMISSIONS_PER_SECOND = 1e-3;

    /** Number of flows sampled to find one to displace a txn from at the maximum of queued txns. */
    private static final int OVERFLOW_SAMPLE_COUNT = 8;

    private static final long SATURATED_AFTER_MS = 500;

    /** A queue that has not been empty for this time is logged, and again once it is empty. */
    private static final Duration SATURATED_AFTER = Duration.ofMillis(SATURATED_AFTER_MS);

    /** Time over which the mean work of a txn type is taken. */
    private static final long WORK_MEMORY_SECONDS = 4;

    /** Time over which the mean latency of a txn type is taken. */
    private static final long LATENCY_MEMORY_SECONDS = 60;

    /** Lower bound of the usual latency that a latency is divided by. */
    private static final double MIN_LATENCY_MS = 0.01;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MS = 1e6;

    private final TxnType[] txnTypes;

    /**
     * The work of each txn type in milliseconds, over a short time: what a txn is charged when it
     * is admitted.
     */
    private final ResponseTimes[] workEstimates;

    /**
     * The latency of each txn type in milliseconds, over a long time: the concurrency limits'
     * latencies are relative to it.
     */
    private final ResponseTimes[] latencyEstimates;

    private final boolean sendsRetryAfter;
    private final boolean clientsMarkRetries;
    private final Duration maxRetryAfter;
    private final Random random;
    private final Consumer<String> log;
    private final Hasher64 hasher;

    private final FlowTable flows = new FlowTable();

    /** By row of the flow: its reservation with the earliest time, or null. */
    private final RetryReservation[] firstReservations = new RetryReservation[FlowTable.CAPACITY];

    private final TenantNameSlots tenantNameSlots;
    private final List<FairQueue> queues = new ArrayList<>();

    /** Keys combine the group with whether txns need its primary. */
    private final Map<Long, FairQueue> queuesByGroup = new HashMap<>();

    private final TimingWheel timers = new TimingWheel();

    /** Queues in which txns may have become admissible. */
    private final ArrayDeque<FairQueue> dispatchQueue = new ArrayDeque<>();

    private final ArrayDeque<AdmissionDecision> decisions = new ArrayDeque<>();
    private FairQueueSettings settings;
    private int queuedCount;
    private int reservationCount;

    /** Null while the process is not stopping. */
    private Duration drainDeadline;

    private long admittedCount;
    private long declinedCount;

    /**
     * @param routingSettings the decision module's settings
     * @param seed of the jitter, the sampling and the hashes
     * @param log receives lines for the operator
     */
    public FairQueues(
            Map<String, Object> routingSettings,
            FairQueueSettings settings,
            long seed,
            Consumer<String> log) {
        this.settings = settings;
        this.random = new Random(seed);
        this.log = log;
        this.hasher = Hashing.komihash5_0(random.nextLong());
        this.tenantNameSlots = new TenantNameSlots(settings.maxNamesPerAddress());
        this.sendsRetryAfter = Boolean.TRUE.equals(routingSettings.get("may-advise-come-back"));
        this.clientsMarkRetries = Boolean.TRUE.equals(routingSettings.get("clients-mark-retries"));
        this.maxRetryAfter =
                routingSettings.get("longest-come-back") instanceof Duration longest
                        ? longest
                        : Duration.ZERO;
        this.txnTypes = TxnType.fromSettings(routingSettings);
        this.workEstimates = new ResponseTimes[txnTypes.length];
        this.latencyEstimates = new ResponseTimes[txnTypes.length];
        for (int i = 0; i < txnTypes.length; i++) {
            double initialEstimateMs = Math.max(1, Durations.toMillis(txnTypes[i].slaTime()) / 4);
            workEstimates[i] =
                    new ResponseTimes(Duration.ofSeconds(WORK_MEMORY_SECONDS), initialEstimateMs);
            latencyEstimates[i] =
                    new ResponseTimes(
                            Duration.ofSeconds(LATENCY_MEMORY_SECONDS), initialEstimateMs);
        }
    }

    // ---- events: they update the state, decisions follow in nextDecision ----

    /**
     * Replaces the settings. Queued txns keep their order; new weights apply from the next admitted
     * txn.
     */
    public void updateSettings(Duration now, FairQueueSettings newSettings) {
        settings = newSettings;
        tenantNameSlots.setSlotsPerAddress(newSettings.maxNamesPerAddress());
        // All backlogged flows first get the default, since tenants may no longer be listed; flows
        // without queued txns get their settings when their next txn arrives.
        for (int row = 0; row < FlowTable.CAPACITY; row++) {
            if (flows.queuedCounts[row] > 0) {
                applyTenantSettings(row, newSettings.defaultTenant());
            }
        }
        for (FairQueue queue : queues) {
            newSettings
                    .tenants()
                    .forEach(
                            (tenantName, tenant) -> {
                                int row =
                                        flows.find(
                                                flowKey(hasher.hashCharsToLong(tenantName), queue));
                                if (row >= 0) {
                                    applyTenantSettings(row, tenant);
                                }
                            });
            scheduleDispatch(queue);
        }
    }

    private void applyTenantSettings(int row, FairQueueSettings.TenantSettings tenant) {
        if (flows.queuedCounts[row] > 0) {
            queues.get(flows.queueIndexes[row]).backloggedWeight +=
                    tenant.weight() - flows.weights[row];
        }
        flows.weights[row] = (float) tenant.weight();
        flows.maxConcurrencyShares[row] = (float) tenant.maxConcurrencyShare();
    }

    /** The process is stopping: no txn stays queued past the deadline. */
    public void drainBy(Duration deadline) {
        drainDeadline = deadline;
        for (QueuedTxn head : flows.heads) {
            for (QueuedTxn txn = head; txn != null; txn = txn.next) {
                Duration latestAdmission =
                        deadline.minus(Durations.ofMillis(usualLatencyMs(txn.txnType, deadline)));
                timers.schedule(txn, Math.min(txn.dueNanos(), latestAdmission.toNanos()));
            }
        }
    }

    /**
     * A txn has arrived. {@link #nextDecision} returns the decision on it.
     *
     * @param txnType index of the txn type
     * @param timeLeft time until the txn expires
     * @param tenantName the tenant's name as given by the txn or by the connection, or null
     * @param isRetry whether the txn is known to be a retry of a declined one
     */
    public QueuedTxn onTxnArrived(
            Duration now,
            String txnId,
            int txnType,
            int group,
            Duration timeLeft,
            ClientContext client,
            String tenantName,
            boolean isRetry) {
        long nowNanos = now.toNanos();
        FairQueue queue = queueFor(group, txnTypes[txnType].requiresPrimary());
        int row = findOrCreateFlow(nowNanos, queue, client, tenantName);
        boolean reserved = row >= 0 && consumeReservation(nowNanos, row, client, isRetry);
        QueuedTxn txn = new QueuedTxn(txnId, txnType, queue.index, row, now, client);
        if (row < 0) {
            txn.state = QueuedTxn.State.CLOSED;
            decisions.add(
                    new AdmissionDecision(
                            txn,
                            false,
                            sendsRetryAfter
                                    ? withJitter(maxRetryAfter, MIN_UNPREDICTED_WAIT_SHARE)
                                    : null));
            return txn;
        }
        long queueBudgetNanos = maxQueueTime(txnTypes[txnType], now, timeLeft).toNanos();
        int claims = flows.queuedCounts[row] + flows.reservationCounts[row];
        if (!reserved
                && claims >= MIN_FORECAST_CLAIMS
                && !queue.isStalled(nowNanos)
                && claims / admissionsPerSecond(row, queue, nowNanos) * NANOS_PER_SECOND
                        > queueBudgetNanos) {
            decline(txn, now, queueBudgetNanos);
            return txn;
        }
        if (queuedCount >= settings.maxQueuedTxns() && !displaceFromLongerFlow(row, now)) {
            decline(txn, now, queueBudgetNanos);
            return txn;
        }
        enqueue(txn, row, queue, nowNanos);
        timers.schedule(txn, nowNanos + Math.max(0, queueBudgetNanos));
        return txn;
    }

    private void enqueue(QueuedTxn txn, int row, FairQueue queue, long nowNanos) {
        txn.previous = flows.tails[row];
        if (txn.previous == null) {
            flows.heads[row] = txn;
        } else {
            txn.previous.next = txn;
        }
        flows.tails[row] = txn;
        queuedCount++;
        if (queue.queuedCount++ == 0) {
            queue.backloggedSinceNanos = nowNanos;
        }
        if (flows.queuedCounts[row]++ == 0) {
            queue.backloggedWeight += flows.weights[row];
            makeEligible(row, queue);
        }
        scheduleDispatch(queue);
    }

    /**
     * Adds a backlogged flow to those that may be served next. Its start tag is at least the
     * virtual time, so that an idle flow accumulates no credit.
     */
    private void makeEligible(int row, FairQueue queue) {
        flows.capBlocked[row] = false;
        flows.startTags[row] = Math.max(flows.startTags[row], queue.virtualTime);
        queue.flowHeaps[flows.heads[row].txnType].add(row);
    }

    private void dequeue(QueuedTxn txn) {
        int row = txn.flowRow;
        FairQueue queue = queues.get(txn.queueIndex);
        boolean wasFirst = txn.previous == null;
        if (wasFirst) {
            if (flows.heapPositions[row] >= 0) {
                queue.flowHeaps[txn.txnType].remove(row);
            }
            flows.heads[row] = txn.next;
        } else {
            txn.previous.next = txn.next;
        }
        if (txn.next == null) {
            flows.tails[row] = txn.previous;
        } else {
            txn.next.previous = txn.previous;
        }
        txn.previous = null;
        txn.next = null;
        queuedCount--;
        if (--queue.queuedCount == 0) {
            queue.backloggedSinceNanos = -1;
        }
        if (--flows.queuedCounts[row] == 0) {
            queue.backloggedWeight =
                    queue.queuedCount == 0 ? 0 : queue.backloggedWeight - flows.weights[row];
            flows.capBlocked[row] = false;
        } else if (wasFirst && !flows.capBlocked[row]) {
            makeEligible(row, queue);
        }
    }

    /** A submission of an admitted txn is sent to a member. */
    public void onSubmitted(Duration now, QueuedTxn txn) {
        FairQueue queue = queues.get(txn.queueIndex);
        txn.inFlightSubmissions++;
        if (txn.state == QueuedTxn.State.PENDING) {
            txn.state = QueuedTxn.State.IN_FLIGHT;
            queue.pendingCount--;
            queue.pendingByTxnType[txn.txnType]--;
            queue.inFlight++;
            txn.limitRound = queue.concurrencyLimit.round();
            queue.concurrencyLimit.onSubmissionStarted(queue.inFlight);
            queue.lastProgressNanos = now.toNanos();
            timers.schedule(
                    txn,
                    now.toNanos()
                            + (long)
                                    (STUCK_LATENCY_FACTOR
                                            * Math.max(
                                                    usualLatencyMs(txn.txnType, now) * NANOS_PER_MS,
                                                    queue.concurrencyLimit.meanLatencyNanos())));
            scheduleDispatch(queue);
        }
    }

    /**
     * A submission of an admitted txn has ended.
     *
     * @param latency from the submission to its end
     */
    public void onSubmissionEnded(Duration now, QueuedTxn txn, Outcome outcome, Duration latency) {
        FairQueue queue = queues.get(txn.queueIndex);
        double latencyMs = Durations.toMillis(latency);
        txn.inFlightSubmissions--;
        txn.workMs += outcome.neverRan() ? 0 : latencyMs;
        if (outcome == Outcome.COMMITTED) {
            double relativeLatency =
                    latencyMs / Math.max(MIN_LATENCY_MS, usualLatencyMs(txn.txnType, now));
            latencyEstimates[txn.txnType].add(now, latencyMs);
            workEstimates[txn.txnType].add(now, txn.workMs);
            queue.concurrencyLimit.onCommitted(
                    now.toNanos(),
                    txn.state == QueuedTxn.State.IN_FLIGHT ? txn.limitRound : -1,
                    relativeLatency,
                    latency.toNanos());
        }
        if (txn.inFlightSubmissions == 0
                && (txn.state == QueuedTxn.State.IN_FLIGHT || txn.state == QueuedTxn.State.STUCK)) {
            queue.inFlight -= txn.state == QueuedTxn.State.IN_FLIGHT ? 1 : 0;
            timers.cancel(txn);
            markPending(txn, queue);
            scheduleDispatch(queue);
        }
    }

    private void markPending(QueuedTxn txn, FairQueue queue) {
        txn.state = QueuedTxn.State.PENDING;
        queue.pendingCount++;
        queue.pendingByTxnType[txn.txnType]++;
    }

    /** The txn has its final answer, or its client has disconnected. Later calls do nothing. */
    public void onTxnClosed(Duration now, QueuedTxn txn) {
        FairQueue queue = queues.get(txn.queueIndex);
        timers.cancel(txn);
        switch (txn.state) {
            case QUEUED -> dequeue(txn);
            case PENDING -> {
                queue.pendingCount--;
                queue.pendingByTxnType[txn.txnType]--;
                settleCharge(txn, queue);
            }
            case IN_FLIGHT -> {
                queue.inFlight--;
                settleCharge(txn, queue);
            }
            case STUCK -> settleCharge(txn, queue);
            default -> {
                return;
            }
        }
        txn.state = QueuedTxn.State.CLOSED;
        scheduleDispatch(queue);
    }

    /** Replaces the estimated charge of a closed txn by one for its actual work. */
    private void settleCharge(QueuedTxn txn, FairQueue queue) {
        int row = txn.flowRow;
        flows.admittedCounts[row]--;
        // The actual work is known now, so the flow is charged the difference to the estimate.
        double finalChargeMs =
                Math.max(
                        MIN_CHARGE_FACTOR * txn.chargedWorkMs,
                        Math.min(MAX_CHARGE_FACTOR * txn.chargedWorkMs, txn.workMs));
        flows.startTags[row] += (finalChargeMs - txn.chargedWorkMs) / flows.weights[row];
        if (flows.heapPositions[row] >= 0) {
            flows.startTags[row] = Math.max(flows.startTags[row], queue.virtualTime);
            queue.flowHeaps[flows.heads[row].txnType].onTagChanged(row);
        } else if (flows.capBlocked[row]) {
            makeEligible(row, queue);
        }
        if (queue.queuedCount == 0 && queue.inFlight + queue.pendingCount == 0) {
            // The queue is idle: no flow is ahead of another one any longer.
            queue.virtualTime = Math.max(queue.virtualTime, queue.maxFinishTag);
        }
    }

    // ---- decisions ----

    /** The next decision, or null if there is none at present. */
    public AdmissionDecision nextDecision(Duration now) {
        long nowNanos = now.toNanos();
        while (true) {
            if (!decisions.isEmpty()) {
                return decisions.poll();
            }
            TimingWheel.Timer timer = timers.poll(nowNanos);
            if (timer instanceof QueuedTxn txn) {
                onTimeout(txn, now);
            } else if (timer instanceof RetryReservation reservation) {
                releaseReservation(reservation);
            } else if (!dispatchQueue.isEmpty()) {
                FairQueue queue = dispatchQueue.poll();
                queue.dispatchScheduled = false;
                dispatch(queue, now);
            } else {
                return null;
            }
        }
    }

    /**
     * When to call {@link #nextDecision} again even without an event, or null if no timer is set.
     */
    public Duration nextWakeUp() {
        long due = timers.nextPollNanos();
        return due < 0 ? null : Duration.ofNanos(due);
    }

    private void onTimeout(QueuedTxn txn, Duration now) {
        FairQueue queue = queues.get(txn.queueIndex);
        if (txn.state == QueuedTxn.State.QUEUED) {
            dequeue(txn);
            decline(txn, now, 0);
        } else if (txn.state == QueuedTxn.State.IN_FLIGHT) {
            // Guards against an unresponsive member whose unanswered submissions would use up the
            // concurrency limit.
            txn.state = QueuedTxn.State.STUCK;
            queue.inFlight--;
        }
        scheduleDispatch(queue);
    }

    private void dispatch(FairQueue queue, Duration now) {
        long nowNanos = now.toNanos();
        while (queue.hasCapacity()) {
            TagHeap heap = queue.nextFlowHeap(flows.startTags);
            if (heap == null) {
                break;
            }
            int row = heap.first();
            if (flows.admittedCounts[row]
                    >= Math.max(
                            1,
                            flows.maxConcurrencyShares[row]
                                    * queue.concurrencyLimit.currentLimit())) {
                heap.remove(row);
                flows.capBlocked[row] = true;
                continue;
            }
            admit(flows.heads[row], row, queue, nowNanos, now);
        }
        if (queue.hasEligibleFlow()) {
            queue.concurrencyLimit.onBacklog(!queue.hasCapacity());
        }
        boolean saturated =
                queue.queuedCount > 0
                        && nowNanos - queue.backloggedSinceNanos > SATURATED_AFTER.toNanos();
        if (saturated != queue.saturated && (saturated || queue.queuedCount == 0)) {
            queue.saturated = saturated;
            log.accept(
                    "fair queue of "
                            + queue.name
                            + (saturated
                                    ? ": not empty for more than " + SATURATED_AFTER_MS + " ms: "
                                    : ": empty again: ")
                            + "full concurrency limit "
                            + Math.round(queue.concurrencyLimit.fullLimit())
                            + ", in flight "
                            + queue.inFlight
                            + ", admitted but waiting to be submitted "
                            + queue.pendingCount
                            + ", queued "
                            + queue.queuedCount
                            + ", admitted "
                            + Math.round(queue.admissionsPerSecond(nowNanos))
                            + " per second");
        }
    }

    private void admit(QueuedTxn txn, int row, FairQueue queue, long nowNanos, Duration now) {
        double startTag = flows.startTags[row];
        queue.virtualTime = Math.max(queue.virtualTime, startTag);
        txn.chargedWorkMs = workEstimates[txn.txnType].meanMs(now);
        flows.admissionCounts[row] =
                FairQueue.decayedCount(
                                flows.admissionCounts[row],
                                flows.admissionCountAtNanos[row],
                                nowNanos)
                        + 1;
        flows.admissionCountAtNanos[row] = nowNanos;
        flows.admittedCounts[row]++;
        timers.cancel(txn);
        queue.flowHeaps[txn.txnType].remove(row);
        flows.startTags[row] = startTag + txn.chargedWorkMs / flows.weights[row];
        queue.maxFinishTag = Math.max(queue.maxFinishTag, flows.startTags[row]);
        dequeue(txn);
        queue.onAdmitted(nowNanos);
        markPending(txn, queue);
        admittedCount++;
        decisions.add(new AdmissionDecision(txn, true, null));
    }

    private void decline(QueuedTxn txn, Duration now, long queueBudgetNanos) {
        txn.state = QueuedTxn.State.CLOSED;
        declinedCount++;
        decisions.add(new AdmissionDecision(txn, false, reserveRetry(txn, now, queueBudgetNanos)));
    }

    /**
     * The maximum number of txns is queued: declines the last txn of a flow with a long queue,
     * relative to its weight, in favour of a flow with a shorter one. Returns false if no sampled
     * flow has a longer queue than the arriving txn's flow.
     */
    private boolean displaceFromLongerFlow(int row, Duration now) {
        int longestRow = row;
        for (int i = 0; i < OVERFLOW_SAMPLE_COUNT; i++) {
            TagHeap heap = randomNonEmptyHeap();
            if (heap != null) {
                int sampledRow = heap.rowAt(random.nextInt(heap.size()));
                longestRow =
                        flows.queuedCounts[sampledRow] / flows.weights[sampledRow]
                                        > (flows.queuedCounts[longestRow]
                                                        + (longestRow == row ? 1 : 0))
                                                / flows.weights[longestRow]
                                ? sampledRow
                                : longestRow;
            }
        }
        if (longestRow == row) {
            return false;
        }
        QueuedTxn displaced = flows.tails[longestRow];
        timers.cancel(displaced);
        dequeue(displaced);
        decline(displaced, now, 0);
        return true;
    }

    /**
     * The first non-empty heap from a random queue and txn type on, or null if all heaps are empty.
     */
    private TagHeap randomNonEmptyHeap() {
        int heapsPerQueue = txnTypes.length;
        int start = random.nextInt(queues.size() * heapsPerQueue);
        for (int i = 0; i < queues.size() * heapsPerQueue; i++) {
            int heapIndex = (start + i) % (queues.size() * heapsPerQueue);
            TagHeap heap =
                    queues.get(heapIndex / heapsPerQueue).flowHeaps[heapIndex % heapsPerQueue];
            if (heap.size() > 0) {
                return heap;
            }
        }
        return null;
    }

    // ---- retry times ----

    /**
     * For a txn that the decision module declines: the time after which its client should retry, or
     * null if clients are not told a time.
     */
    public Duration retryAfter(Duration now, QueuedTxn txn) {
        return txn.state == QueuedTxn.State.CLOSED ? null : reserveRetry(txn, now, 0);
    }

    /**
     * Predicts when the flow can be served again and reserves this time for the client's retry,
     * unless no prediction is possible. Returns null if clients are not told a time.
     */
    private Duration reserveRetry(QueuedTxn txn, Duration now, long queueBudgetNanos) {
        if (!sendsRetryAfter || maxRetryAfter.isZero()) {
            return null;
        }
        FairQueue queue = queues.get(txn.queueIndex);
        long nowNanos = now.toNanos();
        int claims = flows.queuedCounts[txn.flowRow] + flows.reservationCounts[txn.flowRow];
        double nanosPerTxn =
                NANOS_PER_SECOND
                        / Math.max(
                                MIN_ADMISSIONS_PER_SECOND,
                                admissionsPerSecond(txn.flowRow, queue, nowNanos));
        double waitNanos =
                Math.max(
                                MIN_RETRY_AFTER.toNanos(),
                                Math.max(
                                        nanosPerTxn, claims * nanosPerTxn - queueBudgetNanos / 2.0))
                        * (1 + RETRY_JITTER * random.nextDouble());
        if (queue.isStalled(nowNanos)
                || waitNanos > maxRetryAfter.toNanos()
                || reservationCount >= MAX_RESERVATIONS) {
            return withJitter(maxRetryAfter, MIN_UNPREDICTED_WAIT_SHARE);
        }
        RetryReservation reservation =
                new RetryReservation(txn.flowRow, nowNanos + (long) waitNanos);
        // The list is in order of the reserved times: except for the jitter, that is the order in
        // which reservations are made.
        if (firstReservations[txn.flowRow] == null) {
            firstReservations[txn.flowRow] = reservation;
            reservation.next = reservation;
            reservation.previous = reservation;
        } else {
            RetryReservation head = firstReservations[txn.flowRow];
            reservation.previous = head.previous;
            reservation.next = head;
            head.previous.next = reservation;
            head.previous = reservation;
        }
        reservationCount++;
        flows.reservationCounts[txn.flowRow]++;
        timers.schedule(
                reservation,
                nowNanos + (long) (RESERVATION_WAIT_FACTOR * waitNanos) + RESERVATION_GRACE_NANOS);
        txn.client.reservation = reservation;
        return Duration.ofNanos((long) waitNanos);
    }

    private Duration withJitter(Duration longest, double minShare) {
        return Durations.scale(longest, minShare + (1 - minShare) * random.nextDouble());
    }

    private void releaseReservation(RetryReservation reservation) {
        timers.cancel(reservation);
        reservationCount--;
        flows.reservationCounts[reservation.flowRow]--;
        if (reservation.next == reservation) {
            firstReservations[reservation.flowRow] = null;
        } else {
            reservation.previous.next = reservation.next;
            reservation.next.previous = reservation.previous;
            firstReservations[reservation.flowRow] =
                    firstReservations[reservation.flowRow] == reservation
                            ? reservation.next
                            : firstReservations[reservation.flowRow];
        }
        reservation.released = true;
    }

    /**
     * Releases the reservation that the arriving txn belongs to. Returns whether there is one and
     * its time has come; a client that retries too early loses its reservation.
     */
    private boolean consumeReservation(
            long nowNanos, int row, ClientContext client, boolean isRetry) {
        RetryReservation ownReservation = client.reservation;
        client.reservation = null;
        boolean isFirstTxn = !client.hasSentTxn;
        client.hasSentTxn = true;
        if (ownReservation != null && !ownReservation.released) {
            releaseReservation(ownReservation);
            return ownReservation.flowRow == row
                    && nowNanos >= ownReservation.retryAtNanos - EARLY_RETRY_TOLERANCE_NANOS;
        }
        // A retry over another connection: marked as one or, where clients don't mark retries, the
        // first txn of a connection. It takes over the flow's earliest reservation.
        RetryReservation nextReservation =
                ownReservation == null && (clientsMarkRetries ? isRetry : isFirstTxn)
                        ? firstReservations[row]
                        : null;
        if (nextReservation == null
                || nowNanos < nextReservation.retryAtNanos - EARLY_RETRY_TOLERANCE_NANOS) {
            return false;
        }
        releaseReservation(nextReservation);
        return true;
    }

    // ---- flows, queues and rates ----

    /** The row of the flow of the tenant in the queue, or -1 if the flow table is full. */
    private int findOrCreateFlow(
            long nowNanos, FairQueue queue, ClientContext client, String tenantName) {
        if (!client.addressHashed) {
            client.addressHashed = true;
            client.addressHash = hasher.hashCharsToLong(client.address);
        }
        FairQueueSettings.TenantSettings tenant =
                settings.tenants().get(tenantName == null ? client.address : tenantName);
        long tenantHash = client.addressHash;
        if (tenantName != null) {
            if (!tenantName.equals(client.lastTenantName)) {
                client.lastTenantName = tenantName;
                client.lastTenantHash = hasher.hashCharsToLong(tenantName);
            }
            if (tenant != null
                    || tenantNameSlots.claimSlot(
                            nowNanos, client.lastTenantHash, client.addressHash)) {
                tenantHash = client.lastTenantHash;
            }
        }
        tenant = tenant == null ? settings.defaultTenant() : tenant;
        long key = flowKey(tenantHash, queue);
        int row = flows.find(key);
        if (row < 0) {
            row = flows.insert(key, queue.index, this);
            if (row < 0) {
                return -1;
            }
            flows.startTags[row] = queue.evictedTags == null ? 0 : queue.evictedTags.tag(key);
            flows.weights[row] = (float) tenant.weight();
            flows.maxConcurrencyShares[row] = (float) tenant.maxConcurrencyShare();
        } else if (flows.weights[row] != (float) tenant.weight()
                || flows.maxConcurrencyShares[row] != (float) tenant.maxConcurrencyShare()) {
            applyTenantSettings(row, tenant);
        }
        return row;
    }

    private static long flowKey(long tenantHash, FairQueue queue) {
        long mixed = (tenantHash ^ queue.index * 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
        return mixed ^ mixed >>> 29;
    }

    private FairQueue queueFor(int group, boolean toPrimary) {
        return queuesByGroup.computeIfAbsent(
                2L * group + (toPrimary ? 1 : 0),
                k -> {
                    TagHeap[] flowHeaps = new TagHeap[txnTypes.length];
                    for (int i = 0; i < flowHeaps.length; i++) {
                        flowHeaps[i] = new TagHeap(flows.startTags, flows.heapPositions);
                    }
                    FairQueue queue =
                            new FairQueue(
                                    queues.size(),
                                    "group " + group + (toPrimary ? " primary" : " reads"),
                                    txnTypes.length,
                                    flowHeaps);
                    queues.add(queue);
                    return queue;
                });
    }

    private void scheduleDispatch(FairQueue queue) {
        if (!queue.dispatchScheduled) {
            queue.dispatchScheduled = true;
            dispatchQueue.add(queue);
        }
    }

    @Override
    public double virtualTime(int queueIndex) {
        return queues.get(queueIndex).virtualTime;
    }

    @Override
    public void onEvicted(int queueIndex, long key, double startTag) {
        FairQueue queue = queues.get(queueIndex);
        queue.evictedTags = queue.evictedTags == null ? new TagSketch() : queue.evictedTags;
        queue.evictedTags.put(key, startTag);
    }

    /**
     * Rate at which the flow's txns are admitted: the measured rate or its fair share of the
     * queue's rate, whichever is higher.
     */
    private double admissionsPerSecond(int row, FairQueue queue, long nowNanos) {
        double weight = flows.weights[row];
        double backloggedWeight =
                queue.backloggedWeight + (flows.queuedCounts[row] > 0 ? 0 : weight);
        double measured =
                FairQueue.ratePerSecond(
                        FairQueue.decayedCount(
                                flows.admissionCounts[row],
                                flows.admissionCountAtNanos[row],
                                nowNanos));
        return Math.max(
                measured,
                queue.admissionsPerSecond(nowNanos) * weight / Math.max(weight, backloggedWeight));
    }

    /**
     * The longest time that a txn may be queued so that, by the decision module's own estimate, it
     * can still be committed in time.
     */
    private Duration maxQueueTime(TxnType txnType, Duration now, Duration timeLeft) {
        Duration usualLatency = Durations.ofMillis(usualLatencyMs(txnType.index(), now));
        Duration longest =
                (txnType.lateShare() > 0 ? timeLeft : Durations.min(txnType.slaTime(), timeLeft))
                        .minus(usualLatency);
        if (txnType.lateShare() == 0) {
            longest = Durations.min(longest, txnType.slaTime().minus(usualLatency).dividedBy(2));
        }
        longest = Durations.scale(longest, QUEUE_TIME_SHARE);
        return drainDeadline == null
                ? longest
                : Durations.min(longest, drainDeadline.minus(now).minus(usualLatency));
    }

    private double usualLatencyMs(int txnType, Duration now) {
        return latencyEstimates[txnType].meanMs(now);
    }

    // ---- statistics ----

    /**
     * A log line with the decisions since the last call and the present state, or null if there
     * were no decisions.
     */
    public String takeStatsLine() {
        if (admittedCount + declinedCount == 0) {
            return null;
        }
        StringBuilder line =
                new StringBuilder("fair queues admitted ")
                        .append(admittedCount)
                        .append(", declined ")
                        .append(declinedCount)
                        .append(", queued ")
                        .append(queuedCount)
                        .append(", reservations ")
                        .append(reservationCount)
                        .append(", flows ")
                        .append(flows.usedCount())
                        .append(", evicted flows ")
                        .append(flows.evictedCount());
        for (FairQueue queue : queues) {
            if (queue.saturated) {
                line.append("; ")
                        .append(queue.name)
                        .append(" concurrency limit ")
                        .append(Math.round(queue.concurrencyLimit.fullLimit()))
                        .append(" in flight ")
                        .append(queue.inFlight)
                        .append(" queued ")
                        .append(queue.queuedCount);
            }
        }
        admittedCount = 0;
        declinedCount = 0;
        return line.toString();
    }

    /** Number of queued txns in all queues. */
    public int queuedCount() {
        return queuedCount;
    }

    int flowCount() {
        return flows.usedCount();
    }

    /** The full concurrency limit of the group's queue. */
    double concurrencyLimit(int group, boolean toPrimary) {
        return queueFor(group, toPrimary).concurrencyLimit.fullLimit();
    }

    int inFlight(int group, boolean toPrimary) {
        return queueFor(group, toPrimary).inFlight;
    }

    /** Memory used by the state in bytes, except for queued txns. */
    public int memoryBytes() {
        // The last term are the references in firstReservations.
        int total = flows.memoryBytes() + tenantNameSlots.memoryBytes() + 4 * FlowTable.CAPACITY;
        for (FairQueue queue : queues) {
            total += queue.memoryBytes();
        }
        return total;
    }
}
