package wingroad.door;

/**
 * What of one group only its primary serves, or all else of it: a resource of its own, with its own
 * virtual time.
 */
final class FairQueue {
    /**
     * How many the module may hold of one txn type: it must see some demand at its limits, to learn
     * them.
     */
    static final int MAX_PENDING_PER_TXN_TYPE = 2;

    private static final double RATE_HALF_LIFE_NANOS = 400e6;
    private static final double LN2 = Math.log(2);

    final int index;
    final String name;
    final AdaptiveConcurrencyLimit concurrencyLimit = new AdaptiveConcurrencyLimit();

    /** By the txn type that is first in the account's queue, accounts by their tags. */
    final TagHeap[] flowHeaps;

    final int[] pendingByTxnType;
    double virtualTime;
    double maxFinishTag;
    TagSketch evictedTags;
    int inFlight;
    int pendingCount;
    int queuedCount;

    /** The weights of those accounts together that have something waiting. */
    double backloggedWeight;

    /** Since when something has waited without a stop, or -1. */
    long backloggedSinceNanos = -1;

    long lastProgressNanos;
    boolean dispatchScheduled;

    /** Mode: somebody has waited for longer than a moment. */
    boolean saturated;

    private double admissionCount;
    private long admissionCountAtNanos;

    FairQueue(int index, String name, int txnTypeCount, TagHeap[] flowHeaps) {
        this.index = index;
        this.name = name;
        this.flowHeaps = flowHeaps;
        this.pendingByTxnType = new int[txnTypeCount];
    }

    /**
     * The heap whose first account is next, or null: nobody waits, or only for what the module
     * holds too much of.
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

    /** Somebody waits who is not only held back by a cap of its own. */
    boolean hasEligibleFlow() {
        for (TagHeap heap : flowHeaps) {
            if (heap.size() > 0) {
                return true;
            }
        }
        return false;
    }

    boolean hasCapacity() {
        return inFlight + pendingCount < concurrencyLimit.currentLimit();
    }

    /**
     * Something waits, the module holds what it was given, and nothing has moved for a while: no
     * rate tells the wait.
     */
    boolean isStalled(long nowNanos) {
        return pendingCount > 0
                && queuedCount > 0
                && nowNanos - lastProgressNanos > 3 * concurrencyLimit.meanLatencyNanos() + 50e6;
    }

    void onAdmitted(long nowNanos) {
        if (isStalled(nowNanos)) {
            backloggedSinceNanos = nowNanos;
        }
        admissionCount = decayedCount(admissionCount, admissionCountAtNanos, nowNanos) + 1;
        admissionCountAtNanos = nowNanos;
        lastProgressNanos = nowNanos;
    }

    /**
     * How many txns a second the lane lets in, or could let in where nobody has waited long enough
     * to tell.
     */
    double admissionsPerSecond(long nowNanos) {
        double measured =
                decayedCount(admissionCount, admissionCountAtNanos, nowNanos)
                        * LN2
                        / RATE_HALF_LIFE_NANOS
                        * 1e9;
        boolean measurable =
                backloggedSinceNanos >= 0
                        && nowNanos - backloggedSinceNanos > 2 * RATE_HALF_LIFE_NANOS;
        return measurable
                ? measured
                : Math.max(
                        measured,
                        concurrencyLimit.fullLimit() / concurrencyLimit.meanLatencyNanos() * 1e9);
    }

    static double decayedCount(double count, long countedAtNanos, long nowNanos) {
        return count == 0
                ? 0
                : count * Math.exp(-LN2 * (nowNanos - countedAtNanos) / RATE_HALF_LIFE_NANOS);
    }

    static double ratePerSecond(double decayedCount) {
        return decayedCount * LN2 / RATE_HALF_LIFE_NANOS * 1e9;
    }

    int memoryBytes() {
        int total = 200 + (evictedTags == null ? 0 : evictedTags.memoryBytes());
        for (TagHeap heap : flowHeaps) {
            total += heap.memoryBytes();
        }
        return total;
    }
}
