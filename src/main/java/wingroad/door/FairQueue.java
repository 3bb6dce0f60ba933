package wingroad.door;

/**
 * The fair queue of one group for the txns that only its primary serves, or for all its other txns:
 * a resource of its own, with its own virtual time and concurrency limit. Weights apply among the
 * flows of one queue.
 */
final class FairQueue {
    /**
     * How many admitted txns of one type the decision module may hold without a submission: it
     * needs some demand above its limits to learn them.
     */
    static final int MAX_PENDING_PER_TXN_TYPE = 2;

    /** Half-life of the decaying counts that admission rates are measured with. */
    private static final double RATE_HALF_LIFE_NANOS = 400e6;

    /** A queue without progress for this multiple of the mean latency is stalled. */
    private static final double STALL_LATENCY_FACTOR = 3;

    /** Added to the time without progress after which a queue is stalled. */
    private static final double STALL_GRACE_NANOS = 50e6;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Approximate memory of an empty queue without its heaps. */
    private static final int FIXED_MEMORY_BYTES = 200;

    private static final double LN2 = Math.log(2);

    final int index;
    final String name;
    final AdaptiveConcurrencyLimit concurrencyLimit = new AdaptiveConcurrencyLimit();

    /**
     * For each txn type, the eligible flows whose first queued txn is of this type, by start tag.
     */
    final TagHeap[] flowHeaps;

    /** Admitted txns without a submission in flight, by txn type. */
    final int[] pendingByTxnType;

    /** The largest start tag of an admitted txn. */
    double virtualTime;

    /** The largest finish tag of an admitted txn, at its estimated work. */
    double maxFinishTag;

    /** Finish tags of evicted flows, or null if there were none. */
    TagSketch evictedTags;

    /** Txns that count against the concurrency limit because of a submission in flight. */
    int inFlight;

    /** The sum of {@link #pendingByTxnType}. */
    int pendingCount;

    int queuedCount;

    /** Sum of the weights of the flows with queued txns. */
    double backloggedWeight;

    /** Since when the queue has not been empty, or -1 if it is empty. */
    long backloggedSinceNanos = -1;

    /** When a txn was last admitted or submitted. */
    long lastProgressNanos;

    /** Whether the queue is in the list of those to dispatch. */
    boolean dispatchScheduled;

    /** Whether the queue is logged as saturated: txns have been queued for some time. */
    boolean saturated;

    /** Decaying count of admitted txns as of {@link #admissionCountAtNanos}. */
    private double admissionCount;

    private long admissionCountAtNanos;

    FairQueue(int index, String name, int txnTypeCount, TagHeap[] flowHeaps) {
        this.index = index;
        this.name = name;
        this.flowHeaps = flowHeaps;
        this.pendingByTxnType = new int[txnTypeCount];
    }

    /**
     * The heap whose first flow is served next, or null if no flow is eligible or the decision
     * module holds enough txns of the types that are queued.
     */
    TagHeap nextFlowHeap(double[] startTags) {
        TagHeap best = null;
        for (int i = 0; i < flowHeaps.length; i++) {
            TagHeap heap = flowHeaps[i];
            if (heap.size() > 0
                    && pendingByTxnType[i] < MAX_PENDING_PER_TXN_TYPE
                    && (best == null || startTags[heap.first()] < startTags[best.first()])) {
                best = heap;
            }
        }
        return best;
    }

    /** Whether a flow has queued txns and is not blocked by its own concurrency cap. */
    boolean hasEligibleFlow() {
        for (TagHeap heap : flowHeaps) {
            if (heap.size() > 0) {
                return true;
            }
        }
        return false;
    }

    /** Whether the concurrency limit allows another txn to be admitted. */
    boolean hasCapacity() {
        return inFlight + pendingCount < concurrencyLimit.currentLimit();
    }

    /**
     * Whether txns are queued while the decision module holds admitted ones and there has been no
     * progress for some time: queue times cannot be predicted from the rate then.
     */
    boolean isStalled(long nowNanos) {
        return pendingCount > 0
                && queuedCount > 0
                && nowNanos - lastProgressNanos
                        > STALL_LATENCY_FACTOR * concurrencyLimit.meanLatencyNanos()
                                + STALL_GRACE_NANOS;
    }

    /** Counts an admitted txn. */
    void onAdmitted(long nowNanos) {
        if (isStalled(nowNanos)) {
            backloggedSinceNanos = nowNanos;
        }
        admissionCount = decayedCount(admissionCount, admissionCountAtNanos, nowNanos) + 1;
        admissionCountAtNanos = nowNanos;
        lastProgressNanos = nowNanos;
    }

    /**
     * The rate at which txns are admitted. Where txns have not been queued for long enough to
     * measure it, at least the rate that the concurrency limit and the mean latency allow.
     */
    double admissionsPerSecond(long nowNanos) {
        double measured =
                decayedCount(admissionCount, admissionCountAtNanos, nowNanos)
                        * LN2
                        / RATE_HALF_LIFE_NANOS
                        * NANOS_PER_SECOND;
        boolean measurable =
                backloggedSinceNanos >= 0
                        && nowNanos - backloggedSinceNanos > 2 * RATE_HALF_LIFE_NANOS;
        return measurable
                ? measured
                : Math.max(
                        measured,
                        concurrencyLimit.fullLimit()
                                / concurrencyLimit.meanLatencyNanos()
                                * NANOS_PER_SECOND);
    }

    /** A decaying count, brought forward from the time of its last update. */
    static double decayedCount(double count, long countedAtNanos, long nowNanos) {
        return count == 0
                ? 0
                : count * Math.exp(-LN2 * (nowNanos - countedAtNanos) / RATE_HALF_LIFE_NANOS);
    }

    /** The rate at which events occur that keep a decaying count at this value. */
    static double ratePerSecond(double decayedCount) {
        return decayedCount * LN2 / RATE_HALF_LIFE_NANOS * NANOS_PER_SECOND;
    }

    /** Memory used by the queue, without flows and queued txns. */
    int memoryBytes() {
        int total = FIXED_MEMORY_BYTES + (evictedTags == null ? 0 : evictedTags.memoryBytes());
        for (TagHeap heap : flowHeaps) {
            total += heap.memoryBytes();
        }
        return total;
    }
}
