package wingroad.door;

import java.util.Arrays;

/**
 * Which of the names that come from one address are told apart: the first few. A name keeps its
 * slot for a while after its last use. Guards against a heavy one that washes itself clean by a
 * change of name: whoever has no slot is counted under the address. Addresses that share a row
 * share its slots, which costs them no more than that.
 */
final class Names {
    static final int MOST = 16;
    private static final int ROWS = 512;
    private static final int FREE = Integer.MIN_VALUE;

    /** A slot is free again so long after its last use, in ticks of 100 ms. */
    private static final int HELD_TICKS = 100;

    private static final long TICK_NANOS = 100_000_000;

    private final int[] tags = new int[ROWS * MOST];
    private final int[] usedAt = new int[ROWS * MOST];
    private int each;

    Names(int each) {
        this.each = each;
        Arrays.fill(usedAt, FREE);
    }

    /** From now on so many names an address; those beyond keep their slots while they are used. */
    void each(int names) {
        each = names;
    }

    /** Whether the name has a slot of its own at the address. */
    boolean apart(long now, long name, long address) {
        int tick = (int) (now / TICK_NANOS);
        int tag = (int) (name >>> 32);
        int row = (int) (address >>> 48 & ROWS - 1) * MOST;
        int free = -1;
        for (int i = row; i < row + MOST; i++) {
            boolean held = usedAt[i] != FREE && tick - usedAt[i] < HELD_TICKS;
            if (held && tags[i] == tag) {
                usedAt[i] = tick;
                return true;
            }
            free = !held && free < 0 && i < row + each ? i : free;
        }
        if (free < 0) {
            return false;
        }
        tags[free] = tag;
        usedAt[free] = tick;
        return true;
    }

    int bytes() {
        return 8 * tags.length;
    }
}
