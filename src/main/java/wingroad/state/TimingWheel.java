package wingroad.state;

/**
 * Timers by the time at which they are due: a hashed wheel. Adding and taking out cost the same
 * however many there are; what is due comes out when its slot of about 4 ms has passed, in the
 * order of the slots, within one in the order in which it was added. A timer is its own link in the
 * wheel, so nothing is allocated for it. Measured against a heap in bench/fair-queues.sh.
 */
public final class TimingWheel {
    private static final int SLOT_BITS = 22;
    private static final int SLOTS = 1024;

    /** What is due at a time; it is in one wheel at most. */
    public static class Timer {
        private long dueNanos;
        private Timer before;
        private Timer behind;
        private TimingWheel wheel;
        private int at;

        /** In nanoseconds; counts only while it is set. */
        public final long dueNanos() {
            return dueNanos;
        }

        public final boolean isScheduled() {
            return wheel != null;
        }
    }

    /** The ends of each slot's ring. */
    private final Timer[] slots = new Timer[SLOTS];

    private final long[] used = new long[SLOTS / 64];
    private long slot;
    private int size;

    public int size() {
        return size;
    }

    /**
     * Sets the timer, anew where it was set. One that is due in the past comes out with the present
     * slot.
     */
    public void schedule(Timer t, long due) {
        cancel(t);
        t.dueNanos = due;
        t.wheel = this;
        int at = (int) Math.max(due >> SLOT_BITS, slot) & SLOTS - 1;
        t.at = at;
        Timer end = slots[at];
        if (end == null) {
            end = new Timer();
            end.before = end;
            end.behind = end;
            slots[at] = end;
        }
        t.before = end.before;
        t.behind = end;
        end.before.behind = t;
        end.before = t;
        used[at >> 6] |= 1L << at;
        size++;
    }

    public void cancel(Timer t) {
        if (t.wheel == null) {
            return;
        }
        if (t.wheel != this) {
            throw new IllegalArgumentException("the timer is set in another wheel");
        }
        t.before.behind = t.behind;
        t.behind.before = t.before;
        if (t.before == t.behind) {
            // Only the slot's end is left.
            used[t.at >> 6] &= ~(1L << t.at);
        }
        t.before = null;
        t.behind = null;
        t.wheel = null;
        size--;
    }

    /** Takes out a timer whose slot has passed, or null where there is none. */
    public Timer poll(long now) {
        long end = now >> SLOT_BITS;
        if (size == 0) {
            slot = Math.max(slot, end);
            return null;
        }
        // Once round meets every slot; what is due in a later round stays where it is.
        for (slot = Math.max(slot, end - SLOTS); slot < end; slot++) {
            int at = (int) slot & SLOTS - 1;
            if ((used[at >> 6] & 1L << at) != 0) {
                Timer last = slots[at];
                for (Timer t = last.behind; t != last; t = t.behind) {
                    if (t.dueNanos <= now) {
                        cancel(t);
                        return t;
                    }
                }
            }
        }
        return null;
    }

    /**
     * When to poll next, in nanoseconds: no later than the end of the slot in which the first is
     * due; -1 where none is set.
     */
    public long nextPollNanos() {
        if (size == 0) {
            return -1;
        }
        for (int i = 0; i < SLOTS; ) {
            int at = (int) (slot + i) & SLOTS - 1;
            long word = used[at >> 6] >>> (at & 63);
            if (word != 0) {
                return slot + i + Long.numberOfTrailingZeros(word) + 1 << SLOT_BITS;
            }
            i += 64 - (at & 63);
        }
        return slot + SLOTS << SLOT_BITS;
    }
}
