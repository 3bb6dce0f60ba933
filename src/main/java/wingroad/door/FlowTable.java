package wingroad.door;

import java.util.Arrays;

/**
 * The flows, one for each active tenant and fair queue: rows of parallel arrays, found through a
 * hash index with open addressing and linear probing. A flow with queued or admitted txns or
 * reservations keeps its row, and so does one ahead of the virtual time as long as there is room;
 * any other flow may be evicted, which changes nothing for it.
 */
final class FlowTable {
    static final int CAPACITY = 4096;
    private static final int INDEX_SIZE = 2 * CAPACITY;

    /**
     * How many rows are scanned for flows to evict that are not ahead of the virtual time, before
     * the idle one with the smallest lead is evicted.
     */
    private static final int EVICTION_SCAN_ROWS = 24;

    final long[] keys = new long[CAPACITY];

    /**
     * The start tag of the flow's next txn: the finish tag of its last admitted one, or the virtual
     * time if that was larger when the flow became eligible.
     */
    final double[] startTags = new double[CAPACITY];

    final float[] weights = new float[CAPACITY];

    /** Fraction of the queue's concurrency limit that the flow may use. */
    final float[] maxConcurrencyShares = new float[CAPACITY];

    final short[] queueIndexes = new short[CAPACITY];
    final int[] queuedCounts = new int[CAPACITY];

    /** Admitted txns that are not closed. */
    final int[] admittedCounts = new int[CAPACITY];

    /** Outstanding {@link RetryReservation}s. */
    final int[] reservationCounts = new int[CAPACITY];

    /** Decaying count of admitted txns as of {@link #admissionCountAtNanos}. */
    final double[] admissionCounts = new double[CAPACITY];

    final long[] admissionCountAtNanos = new long[CAPACITY];

    /** The first and the last queued txn, or null. */
    final QueuedTxn[] heads = new QueuedTxn[CAPACITY];

    final QueuedTxn[] tails = new QueuedTxn[CAPACITY];

    /** The flow's position in a heap of its queue, or -1. */
    final int[] heapPositions = new int[CAPACITY];

    /**
     * Whether the flow is in no heap although it has queued txns, because it has reached its
     * concurrency cap.
     */
    final boolean[] capBlocked = new boolean[CAPACITY];

    /** For each slot the row plus 1, or 0 if the slot is empty. */
    private final int[] index = new int[INDEX_SIZE];

    /** Stack of the unused rows. */
    private final int[] freeRows = new int[CAPACITY];

    private int freeCount = CAPACITY;

    /** The row at which the next scan for flows to evict begins. */
    private int clockHand;

    private int evictedCount;

    /** Gives the virtual times of the queues and keeps the tags of evicted flows. */
    interface EvictionHandler {
        /** The present virtual time of a queue. */
        double virtualTime(int queueIndex);

        /** A flow ahead of the virtual time was evicted. */
        void onEvicted(int queueIndex, long key, double startTag);
    }

    FlowTable() {
        Arrays.fill(heapPositions, -1);
        for (int i = 0; i < CAPACITY; i++) {
            freeRows[i] = CAPACITY - 1 - i;
        }
    }

    /** Number of rows in use. */
    int usedCount() {
        return CAPACITY - freeCount;
    }

    /** Number of flows evicted so far while they were ahead of the virtual time. */
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

    /** Assigns a row to a key that has none; -1 if txns or reservations use all rows. */
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

    /** Whether the flow has neither queued nor admitted txns nor reservations. */
    boolean isIdle(int row) {
        return queuedCounts[row] == 0 && admittedCounts[row] == 0 && reservationCounts[row] == 0;
    }

    /**
     * Removes the scanned idle flows that are not ahead of the virtual time, or else evicts the
     * scanned idle flow with the smallest lead. Returns whether a row is free.
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
        // Moves later entries of the probe sequence into the gap, which would end a search early.
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

    /** Memory used by the arrays. */
    int memoryBytes() {
        // Element sizes of the arrays in the order of their declaration, then index and freeRows.
        return CAPACITY * (8 + 8 + 4 + 4 + 2 + 4 + 4 + 4 + 8 + 8 + 4 + 4 + 4 + 1)
                + 4 * INDEX_SIZE
                + 4 * CAPACITY;
    }
}
