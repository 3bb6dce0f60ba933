package wingroad.door;

import java.util.Arrays;

/**
 * One account for each tenant and lane that matters now: rows of plain arrays behind an index with
 * open addresses. Exact is kept who has something waiting, in, or booked, or is ahead of the share;
 * all others are as if they had never come.
 */
final class FlowTable {
    static final int CAPACITY = 4096;
    private static final int INDEX_SIZE = 2 * CAPACITY;

    /**
     * How many rows are looked at for one that may be let go, before the least ahead of them gives
     * way.
     */
    private static final int EVICTION_SCAN_ROWS = 24;

    final long[] keys = new long[CAPACITY];
    final double[] startTags = new double[CAPACITY];
    final float[] weights = new float[CAPACITY];

    /** The largest part of the lane's window that it may fill. */
    final float[] maxConcurrencyShares = new float[CAPACITY];

    final short[] queueIndexes = new short[CAPACITY];
    final int[] queuedCounts = new int[CAPACITY];
    final int[] admittedCounts = new int[CAPACITY];
    final int[] reservationCounts = new int[CAPACITY];

    /** Decaying count of what was let in, and when it was brought up to date. */
    final double[] admissionCounts = new double[CAPACITY];

    final long[] admissionCountAtNanos = new long[CAPACITY];
    final QueuedTxn[] heads = new QueuedTxn[CAPACITY];
    final QueuedTxn[] tails = new QueuedTxn[CAPACITY];

    /** Its place in its lane's heap, or -1. */
    final int[] heapPositions = new int[CAPACITY];

    /**
     * Set aside from the heap though something waits: by its cap, or by what its first one is held
     * for.
     */
    final boolean[] capBlocked = new boolean[CAPACITY];

    /** Row and 1, or 0 for an empty place. */
    private final int[] index = new int[INDEX_SIZE];

    private final int[] freeRows = new int[CAPACITY];
    private int freeCount = CAPACITY;
    private int clockHand;
    private int evictedCount;

    /** Tells how far the lanes are, and takes the debts of those that give way. */
    interface EvictionHandler {
        double virtualTime(int queueIndex);

        void onEvicted(int queueIndex, long key, double startTag);
    }

    FlowTable() {
        Arrays.fill(heapPositions, -1);
        for (int i = 0; i < CAPACITY; i++) {
            freeRows[i] = CAPACITY - 1 - i;
        }
    }

    int usedCount() {
        return CAPACITY - freeCount;
    }

    int evictedCount() {
        return evictedCount;
    }

    /** The row of the key, or -1. */
    int find(long key) {
        for (int slot = homeSlot(key); index[slot] != 0; slot = slot + 1 & INDEX_SIZE - 1) {
            if (keys[index[slot] - 1] == key) {
                return index[slot] - 1;
            }
        }
        return -1;
    }

    /** A row for a key that has none; -1 where all rows are in use by txns or bookings. */
    int insert(long key, int queueIndex, EvictionHandler evictionHandler) {
        if (freeCount == 0 && !evict(evictionHandler)) {
            return -1;
        }
        int row = freeRows[--freeCount];
        keys[row] = key;
        queueIndexes[row] = (short) queueIndex;
        startTags[row] = 0;
        admissionCounts[row] = 0;
        admissionCountAtNanos[row] = 0;
        int slot = homeSlot(key);
        while (index[slot] != 0) {
            slot = slot + 1 & INDEX_SIZE - 1;
        }
        index[slot] = row + 1;
        return row;
    }

    boolean isIdle(int row) {
        return queuedCounts[row] == 0 && admittedCounts[row] == 0 && reservationCounts[row] == 0;
    }

    /**
     * Lets go of all that the hand meets and that is no longer ahead, or of the idle one that is
     * the least ahead.
     */
    private boolean evict(EvictionHandler evictionHandler) {
        int victim = -1;
        double victimLead = 0;
        for (int scanned = 0;
                scanned < CAPACITY
                        && (scanned < EVICTION_SCAN_ROWS || victim < 0 && freeCount == 0);
                scanned++) {
            int row = clockHand;
            clockHand = clockHand + 1 & CAPACITY - 1;
            if (isIdle(row)) {
                double lead = startTags[row] - evictionHandler.virtualTime(queueIndexes[row]);
                if (lead <= 0) {
                    remove(row);
                } else if (victim < 0 || lead < victimLead) {
                    victim = row;
                    victimLead = lead;
                }
            }
        }
        if (freeCount == 0 && victim >= 0) {
            evictedCount++;
            evictionHandler.onEvicted(queueIndexes[victim], keys[victim], startTags[victim]);
            remove(victim);
        }
        return freeCount > 0;
    }

    private void remove(int row) {
        int slot = homeSlot(keys[row]);
        while (index[slot] != row + 1) {
            slot = slot + 1 & INDEX_SIZE - 1;
        }
        // What stands behind it moves up, as far as it may: a chain has no gaps.
        int gap = slot;
        for (int next = gap + 1 & INDEX_SIZE - 1;
                index[next] != 0;
                next = next + 1 & INDEX_SIZE - 1) {
            int homeSlot = homeSlot(keys[index[next] - 1]);
            if ((next - homeSlot & INDEX_SIZE - 1) >= (next - gap & INDEX_SIZE - 1)) {
                index[gap] = index[next];
                gap = next;
            }
        }
        index[gap] = 0;
        freeRows[freeCount++] = row;
    }

    private static int homeSlot(long key) {
        return (int) (key ^ key >>> 32) & INDEX_SIZE - 1;
    }

    int memoryBytes() {
        return CAPACITY * (8 + 8 + 4 + 4 + 2 + 4 + 4 + 4 + 8 + 8 + 4 + 4 + 4 + 1)
                + 4 * INDEX_SIZE
                + 4 * CAPACITY;
    }
}
