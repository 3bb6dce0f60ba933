package wingroad.door;

/**
 * What of one group only its primary serves, or all else of it: a resource of its own, with its own
 * virtual time.
 */
final class Lane {
    /**
     * How many the module may hold of one txn type: it must see some demand at its limits, to learn
     * them.
     */
    static final int MOST_HELD = 2;

    private static final double RATE_HALF_LIFE = 400e6;
    private static final double LN2 = Math.log(2);

    final int number;
    final String name;
    final Window window = new Window();

    /** By the txn type that is first in the account's queue, accounts by their tags. */
    final TagHeap[] heaps;

    final int[] held;
    double virtualTime;
    double largestTag;
    TagSketch debts;
    int out;
    int heldAll;
    int waiting;

    /** The weights of those accounts together that have something waiting. */
    double waitingWeight;

    /** Since when something has waited without a stop, or -1. */
    long waitingSince = -1;

    long movedAt;
    boolean dirty;

    /** Mode: somebody has waited for longer than a moment. */
    boolean full;

    private double letIn;
    private long letInAt;

    Lane(int number, String name, int types, TagHeap[] heaps) {
        this.number = number;
        this.name = name;
        this.heaps = heaps;
        this.held = new int[types];
    }

    /**
     * The heap whose first account is next, or null: nobody waits, or only for what the module
     * holds too much of.
     */
    TagHeap next(double[] tags) {
        TagHeap best = null;
        for (int i = 0; i < heaps.length; i++) {
            TagHeap h = heaps[i];
            if (h.size() > 0
                    && held[i] < MOST_HELD
                    && (best == null || tags[h.first()] < tags[best.first()])) {
                best = h;
            }
        }
        return best;
    }

    /** Somebody waits who is not only held back by a cap of its own. */
    boolean anyInLine() {
        for (TagHeap h : heaps) {
            if (h.size() > 0) {
                return true;
            }
        }
        return false;
    }

    boolean mayLetIn() {
        return out + heldAll < window.limit();
    }

    /**
     * Something waits, the module holds what it was given, and nothing has moved for a while: no
     * rate tells the wait.
     */
    boolean stands(long now) {
        return heldAll > 0 && waiting > 0 && now - movedAt > 3 * window.meanNanos() + 50e6;
    }

    void letIn(long now) {
        if (stands(now)) {
            waitingSince = now;
        }
        letIn = decayed(letIn, letInAt, now) + 1;
        letInAt = now;
        movedAt = now;
    }

    /**
     * How many txns a second the lane lets in, or could let in where nobody has waited long enough
     * to tell.
     */
    double rate(long now) {
        double measured = decayed(letIn, letInAt, now) * LN2 / RATE_HALF_LIFE * 1e9;
        boolean known = waitingSince >= 0 && now - waitingSince > 2 * RATE_HALF_LIFE;
        return known ? measured : Math.max(measured, window.width() / window.meanNanos() * 1e9);
    }

    static double decayed(double count, long at, long now) {
        return count == 0 ? 0 : count * Math.exp(-LN2 * (now - at) / RATE_HALF_LIFE);
    }

    static double perSecond(double count) {
        return count * LN2 / RATE_HALF_LIFE * 1e9;
    }

    int bytes() {
        int all = 200 + (debts == null ? 0 : debts.bytes());
        for (TagHeap h : heaps) {
            all += h.bytes();
        }
        return all;
    }
}
