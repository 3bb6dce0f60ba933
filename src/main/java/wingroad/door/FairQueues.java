package wingroad.door;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

import wingroad.state.Spans;
import wingroad.state.Submission.End;
import wingroad.state.Took;
import wingroad.state.TxnType;
import wingroad.state.Wheel;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Decides who goes next to the module, who is declined at the door, and when to come back:
 * start-time fair queueing by tenant, charged by work, within a window that each lane finds for
 * itself. The reasons: docs/notes/fair-queues.md. The host tells what happens, then pulls {@link
 * #next} until it is null, and again at {@link #nextWakeUp}. Which member, whether to submit again
 * and what is declined once it is in stays with the module.
 */
public final class FairQueues implements FlowTable.EvictionHandler {
    /**
     * The part of the time that the module would hold a txn which may pass at the door: some is
     * left for the module.
     */
    private static final double QUEUE_TIME_SHARE = 0.9;

    /**
     * Waits are foretold only for accounts with so many claims: one who asks for little is never
     * declined by a forecast.
     */
    private static final int MIN_FORECAST_CLAIMS = 2;

    /**
     * A submission out for so many usual answer times no longer fills a place: it may never be
     * answered.
     */
    private static final double STUCK_LATENCY_FACTOR = 4;

    /**
     * A txn that turns out to be so many times the usual work is charged no more: a silent member
     * is no tenant's work.
     */
    private static final double MAX_CHARGE_FACTOR = 4;

    private static final double MIN_CHARGE_FACTOR = 0.05;
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(10);

    /** Who comes so much before its time is as good as on time: advice is in whole milliseconds. */
    private static final long EARLY_RETRY_TOLERANCE_NANOS = 5_000_000;

    /** A booking stands for a quarter of its wait past its time, and so much more. */
    private static final long RESERVATION_GRACE_NANOS = 30_000_000;

    private static final int MAX_RESERVATIONS = 1024;

    /** How many accounts are drawn to find a long queue when all is full. */
    private static final int OVERFLOW_SAMPLE_COUNT = 8;

    private static final Duration SATURATED_AFTER = Duration.ofMillis(500);

    private final TxnType[] txnTypes;

    /**
     * The work of each type as lately measured, and its usual answer time over a long span: the
     * unit of the windows.
     */
    private final Took[] workEstimates;

    private final Took[] latencyEstimates;
    private final boolean sendsRetryAfter;
    private final boolean clientsMarkRetries;
    private final Duration maxRetryAfter;
    private final Random random;
    private final Consumer<String> log;
    private final Hasher64 hasher;

    private final FlowTable flows = new FlowTable();
    private final RetryReservation[] firstReservations = new RetryReservation[FlowTable.CAPACITY];
    private final TenantNameSlots tenantNameSlots;
    private final List<FairQueue> queues = new ArrayList<>();
    private final Map<Long, FairQueue> queuesByGroup = new HashMap<>();
    private final Wheel timers = new Wheel();
    private final ArrayDeque<FairQueue> dispatchQueue = new ArrayDeque<>();
    private final ArrayDeque<AdmissionDecision> decisions = new ArrayDeque<>();
    private FairQueueSettings settings;
    private int queuedCount;
    private int reservationCount;
    private Duration drainDeadline;
    private long admittedCount;
    private long declinedCount;

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
        this.txnTypes = TxnType.all(routingSettings);
        this.workEstimates = new Took[txnTypes.length];
        this.latencyEstimates = new Took[txnTypes.length];
        for (int i = 0; i < txnTypes.length; i++) {
            double initialEstimateMs = Math.max(1, Spans.ms(txnTypes[i].slaTime()) / 4);
            workEstimates[i] = new Took(Duration.ofSeconds(4), initialEstimateMs);
            latencyEstimates[i] = new Took(Duration.ofSeconds(60), initialEstimateMs);
        }
    }

    // ---- inputs: they only update what is known ----

    /**
     * Other rules from now on. What waits keeps its place; weights count from the next txn that is
     * let in.
     */
    public void updateSettings(Duration now, FairQueueSettings newSettings) {
        settings = newSettings;
        tenantNameSlots.setSlotsPerAddress(newSettings.maxNamesPerAddress());
        // First as if nobody were listed; whose queue is empty learns what it is due when it comes
        // again.
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

    /** The program ends: nothing waits past this time. */
    public void drainBy(Duration deadline) {
        drainDeadline = deadline;
        for (QueuedTxn head : flows.heads) {
            for (QueuedTxn txn = head; txn != null; txn = txn.next) {
                Duration latestAdmission =
                        deadline.minus(Spans.millis(usualLatencyMs(txn.txnType, deadline)));
                timers.set(txn, Math.min(txn.due(), latestAdmission.toNanos()));
            }
        }
    }

    /**
     * A txn has come. Its verdict is pulled.
     *
     * @param name the tenant's name as far as the txn or the connection tells one, or null
     * @param retry the client is known to have asked before
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
        FairQueue queue = queueFor(group, txnTypes[txnType].toPrimary());
        int row = findOrCreateFlow(nowNanos, queue, client, tenantName);
        boolean reserved = row >= 0 && consumeReservation(nowNanos, row, client, isRetry);
        QueuedTxn txn = new QueuedTxn(txnId, txnType, queue.index, row, now, client);
        if (row < 0) {
            txn.state = QueuedTxn.State.CLOSED;
            decisions.add(
                    new AdmissionDecision(
                            txn, false, sendsRetryAfter ? withJitter(maxRetryAfter, 0.9) : null));
            return txn;
        }
        long queueBudgetNanos = maxQueueTime(txnTypes[txnType], now, timeLeft).toNanos();
        int claims = flows.queuedCounts[row] + flows.reservationCounts[row];
        if (!reserved
                && claims >= MIN_FORECAST_CLAIMS
                && !queue.isStalled(nowNanos)
                && claims / admissionsPerSecond(row, queue, nowNanos) * 1e9 > queueBudgetNanos) {
            decline(txn, now, queueBudgetNanos);
            return txn;
        }
        if (queuedCount >= settings.maxQueuedTxns() && !displaceFromLongerFlow(row, now)) {
            decline(txn, now, queueBudgetNanos);
            return txn;
        }
        enqueue(txn, row, queue, nowNanos);
        timers.set(txn, nowNanos + Math.max(0, queueBudgetNanos));
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
     * Puts an account with something waiting among those that may be next. An idle one hoards no
     * credit.
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

    /** A submission of a txn that is in goes out. */
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
            timers.set(
                    txn,
                    now.toNanos()
                            + (long)
                                    (STUCK_LATENCY_FACTOR
                                            * Math.max(
                                                    usualLatencyMs(txn.txnType, now) * 1e6,
                                                    queue.concurrencyLimit.meanLatencyNanos())));
            scheduleDispatch(queue);
        }
    }

    /** A submission of a txn that is in has ended. */
    public void onSubmissionEnded(Duration now, QueuedTxn txn, End outcome, Duration latency) {
        FairQueue queue = queues.get(txn.queueIndex);
        double latencyMs = Spans.ms(latency);
        txn.inFlightSubmissions--;
        txn.workMs += outcome.neverRan() ? 0 : latencyMs;
        if (outcome == End.COMMITTED) {
            double relativeLatency = latencyMs / Math.max(0.01, usualLatencyMs(txn.txnType, now));
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

    /** The txn has its final answer, or its client has left. */
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

    private void settleCharge(QueuedTxn txn, FairQueue queue) {
        int row = txn.flowRow;
        flows.admittedCounts[row]--;
        // What it has cost is known now: the account is charged the difference.
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
            // Nobody is here: nobody is ahead of anybody.
            queue.virtualTime = Math.max(queue.virtualTime, queue.maxFinishTag);
        }
    }

    // ---- decisions ----

    /** The next verdict, or null where there is none for now. */
    public AdmissionDecision nextDecision(Duration now) {
        long nowNanos = now.toNanos();
        while (true) {
            if (!decisions.isEmpty()) {
                return decisions.poll();
            }
            Wheel.Timer timer = timers.poll(nowNanos);
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

    /** When to call {@link #nextDecision} again even if nothing comes in, or null. */
    public Duration nextWakeUp() {
        long due = timers.nextDue();
        return due < 0 ? null : Duration.ofNanos(due);
    }

    private void onTimeout(QueuedTxn txn, Duration now) {
        FairQueue queue = queues.get(txn.queueIndex);
        if (txn.state == QueuedTxn.State.QUEUED) {
            dequeue(txn);
            decline(txn, now, 0);
        } else if (txn.state == QueuedTxn.State.IN_FLIGHT) {
            // Guards against a silent member that would fill the lane's places with what it never
            // answers.
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
                    "door "
                            + queue.name
                            + (saturated ? " is full: " : " is open: ")
                            + "window "
                            + Math.round(queue.concurrencyLimit.fullLimit())
                            + ", out "
                            + queue.inFlight
                            + ", held "
                            + queue.pendingCount
                            + ", waiting "
                            + queue.queuedCount
                            + ", let in "
                            + Math.round(queue.admissionsPerSecond(nowNanos))
                            + " a second");
        }
    }

    private void admit(QueuedTxn txn, int row, FairQueue queue, long nowNanos, Duration now) {
        double startTag = flows.startTags[row];
        queue.virtualTime = Math.max(queue.virtualTime, startTag);
        txn.chargedWorkMs = workEstimates[txn.txnType].usual(now);
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
     * All places to wait are taken: one that waits in a long queue makes room for one of a short
     * queue, the last of it. False where the newcomer's own is as long as any that was drawn.
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
     * One in which somebody stands, by chance: the first from a lane and type that were drawn; null
     * where there is none.
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

    // ---- when to come back ----

    /**
     * For a txn that the module declines: when its client should come back, or null where none may
     * be told.
     */
    public Duration retryAfter(Duration now, QueuedTxn txn) {
        return txn.state == QueuedTxn.State.CLOSED ? null : reserveRetry(txn, now, 0);
    }

    private Duration reserveRetry(QueuedTxn txn, Duration now, long queueBudgetNanos) {
        if (!sendsRetryAfter || maxRetryAfter.isZero()) {
            return null;
        }
        FairQueue queue = queues.get(txn.queueIndex);
        long nowNanos = now.toNanos();
        int claims = flows.queuedCounts[txn.flowRow] + flows.reservationCounts[txn.flowRow];
        double nanosPerTxn =
                1e9 / Math.max(1e-3, admissionsPerSecond(txn.flowRow, queue, nowNanos));
        double waitNanos =
                Math.max(
                                MIN_RETRY_AFTER.toNanos(),
                                Math.max(
                                        nanosPerTxn, claims * nanosPerTxn - queueBudgetNanos / 2.0))
                        * (1 + 0.1 * random.nextDouble());
        if (queue.isStalled(nowNanos)
                || waitNanos > maxRetryAfter.toNanos()
                || reservationCount >= MAX_RESERVATIONS) {
            return withJitter(maxRetryAfter, 0.9);
        }
        RetryReservation reservation =
                new RetryReservation(txn.flowRow, nowNanos + (long) waitNanos);
        // In the order of their times: that is the order in which they are made, but for the
        // spread.
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
        timers.set(reservation, nowNanos + (long) (1.25 * waitNanos) + RESERVATION_GRACE_NANOS);
        txn.client.reservation = reservation;
        return Duration.ofNanos((long) waitNanos);
    }

    private Duration withJitter(Duration longest, double minShare) {
        return Spans.times(longest, minShare + (1 - minShare) * random.nextDouble());
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

    /** Whether it was told to come now; its booking has served, or is forfeit. */
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
        // Marked as a retry, or where nobody marks them over a new connection: the first due was
        // meant for one like it.
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

    // ---- who, where, how fast ----

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
     * How many txns a second the account is let in: as measured, or its fair share where that is
     * more.
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
     * How long it may wait at the door: by the module's own measure it can still be in time then.
     */
    private Duration maxQueueTime(TxnType txnType, Duration now, Duration timeLeft) {
        Duration usualLatency = Spans.millis(usualLatencyMs(txnType.index(), now));
        Duration longest =
                (txnType.lateShare() > 0 ? timeLeft : Spans.min(txnType.slaTime(), timeLeft))
                        .minus(usualLatency);
        if (txnType.lateShare() == 0) {
            longest = Spans.min(longest, txnType.slaTime().minus(usualLatency).dividedBy(2));
        }
        longest = Spans.times(longest, QUEUE_TIME_SHARE);
        return drainDeadline == null
                ? longest
                : Spans.min(longest, drainDeadline.minus(now).minus(usualLatency));
    }

    private double usualLatencyMs(int txnType, Duration now) {
        return latencyEstimates[txnType].usual(now);
    }

    // ---- for the log, the bench and the tests ----

    /** What was done since the last time, and how it stands; null where nothing was. */
    public String takeStatsLine() {
        if (admittedCount + declinedCount == 0) {
            return null;
        }
        StringBuilder line =
                new StringBuilder("door let in ")
                        .append(admittedCount)
                        .append(", declined ")
                        .append(declinedCount)
                        .append(", waiting ")
                        .append(queuedCount)
                        .append(", booked ")
                        .append(reservationCount)
                        .append(", accounts ")
                        .append(flows.usedCount())
                        .append(", gave way ")
                        .append(flows.evictedCount());
        for (FairQueue queue : queues) {
            if (queue.saturated) {
                line.append("; ")
                        .append(queue.name)
                        .append(" window ")
                        .append(Math.round(queue.concurrencyLimit.fullLimit()))
                        .append(" out ")
                        .append(queue.inFlight)
                        .append(" waiting ")
                        .append(queue.queuedCount);
            }
        }
        admittedCount = 0;
        declinedCount = 0;
        return line.toString();
    }

    public int queuedCount() {
        return queuedCount;
    }

    int flowCount() {
        return flows.usedCount();
    }

    /** The width of the group's window. */
    double concurrencyLimit(int group, boolean toPrimary) {
        return queueFor(group, toPrimary).concurrencyLimit.fullLimit();
    }

    int inFlight(int group, boolean toPrimary) {
        return queueFor(group, toPrimary).inFlight;
    }

    /** Bytes of its own state, txns that wait aside. */
    public int memoryBytes() {
        int total = flows.memoryBytes() + tenantNameSlots.memoryBytes() + 4 * FlowTable.CAPACITY;
        for (FairQueue queue : queues) {
            total += queue.memoryBytes();
        }
        return total;
    }
}
