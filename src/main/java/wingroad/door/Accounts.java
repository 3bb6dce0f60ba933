package wingroad.door;

import java.util.Arrays;

/**
 * One account for each tenant and lane that matters now: rows of plain arrays behind an index with
 * open addresses. Exact is kept who has something waiting, in, or booked, or is ahead of the share;
 * all others are as if they had never come.
 */
final class Accounts {
    static final int ROWS = 4096;
    private static final int INDEX = 2 * ROWS;

    /**
     * How many rows are looked at for one that may be let go, before the least ahead of them gives
     * way.
     */
    private static final int LOOKS = 24;

    final long[] keys = new long[ROWS];
    final double[] tags = new double[ROWS];
    final float[] weights = new float[ROWS];

    /** The largest part of the lane's window that it may fill. */
    final float[] caps = new float[ROWS];

    final short[] lanes = new short[ROWS];
    final int[] waiting = new int[ROWS];
    final int[] in = new int[ROWS];
    final int[] booked = new int[ROWS];

    /** Decaying count of what was let in, and when it was brought up to date. */
    final double[] letIn = new double[ROWS];

    final long[] letInAt = new long[ROWS];
    final QueuedTxn[] first = new QueuedTxn[ROWS];
    final QueuedTxn[] last = new QueuedTxn[ROWS];

    /** Its place in its lane's heap, or -1. */
    final int[] places = new int[ROWS];

    /**
     * Set aside from the heap though something waits: by its cap, or by what its first one is held
     * for.
     */
    final boolean[] aside = new boolean[ROWS];

    /** Row and 1, or 0 for an empty place. */
    private final int[] index = new int[INDEX];

    private final int[] free = new int[ROWS];
    private int frees = ROWS;
    private int hand;
    private int gaveWay;

    /** Tells how far the lanes are, and takes the debts of those that give way. */
    interface Lanes {
        double virtualTime(int lane);

        void owes(int lane, long key, double tag);
    }

    Accounts() {
        Arrays.fill(places, -1);
        for (int i = 0; i < ROWS; i++) {
            free[i] = ROWS - 1 - i;
        }
    }

    int used() {
        return ROWS - frees;
    }

    int gaveWay() {
        return gaveWay;
    }

    /** The row of the key, or -1. */
    int find(long key) {
        for (int at = home(key); index[at] != 0; at = at + 1 & INDEX - 1) {
            if (keys[index[at] - 1] == key) {
                return index[at] - 1;
            }
        }
        return -1;
    }

    /** A row for a key that has none; -1 where all rows are in use by txns or bookings. */
    int open(long key, int lane, Lanes state) {
        if (frees == 0 && !makeRoom(state)) {
            return -1;
        }
        int row = free[--frees];
        keys[row] = key;
        lanes[row] = (short) lane;
        tags[row] = 0;
        letIn[row] = 0;
        letInAt[row] = 0;
        int at = home(key);
        while (index[at] != 0) {
            at = at + 1 & INDEX - 1;
        }
        index[at] = row + 1;
        return row;
    }

    boolean idle(int row) {
        return waiting[row] == 0 && in[row] == 0 && booked[row] == 0;
    }

    /**
     * Lets go of all that the hand meets and that is no longer ahead, or of the idle one that is
     * the least ahead.
     */
    private boolean makeRoom(Lanes state) {
        int least = -1;
        double leastAhead = 0;
        for (int looked = 0;
                looked < ROWS && (looked < LOOKS || least < 0 && frees == 0);
                looked++) {
            int row = hand;
            hand = hand + 1 & ROWS - 1;
            if (idle(row)) {
                double ahead = tags[row] - state.virtualTime(lanes[row]);
                if (ahead <= 0) {
                    close(row);
                } else if (least < 0 || ahead < leastAhead) {
                    least = row;
                    leastAhead = ahead;
                }
            }
        }
        if (frees == 0 && least >= 0) {
            gaveWay++;
            state.owes(lanes[least], keys[least], tags[least]);
            close(least);
        }
        return frees > 0;
    }

    private void close(int row) {
        int at = home(keys[row]);
        while (index[at] != row + 1) {
            at = at + 1 & INDEX - 1;
        }
        // What stands behind it moves up, as far as it may: a chain has no gaps.
        int gap = at;
        for (int next = gap + 1 & INDEX - 1; index[next] != 0; next = next + 1 & INDEX - 1) {
            int home = home(keys[index[next] - 1]);
            if ((next - home & INDEX - 1) >= (next - gap & INDEX - 1)) {
                index[gap] = index[next];
                gap = next;
            }
        }
        index[gap] = 0;
        free[frees++] = row;
    }

    private static int home(long key) {
        return (int) (key ^ key >>> 32) & INDEX - 1;
    }

    int bytes() {
        return ROWS * (8 + 8 + 4 + 4 + 2 + 4 + 4 + 4 + 8 + 8 + 4 + 4 + 4 + 1)
                + 4 * INDEX
                + 4 * ROWS;
    }
}
