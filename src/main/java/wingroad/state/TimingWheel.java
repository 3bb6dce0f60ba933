package wingroad.state;

/**
 * A hashed timing wheel. Scheduling and cancelling take constant time whatever the number of
 * timers. A timer expires when its slot of about 4 ms has passed; timers expire in the order of
 * their slots and within a slot in the order in which they were scheduled. Timers are linked into
 * the wheel themselves, so that nothing is allocated. {@code bench/fair-queues.sh} compares it with
 * a heap.
 */
public final class TimingWheel {
    /** Binary logarithm of a slot's length in nanoseconds. */
    private static final int SLOT_NANOS_BITS = 22;

    /** Must be a power of two and a multiple of 64. */
    private static final int SLOT_COUNT = 1024;

    /** A timer, scheduled in at most one wheel. */
    public static class Timer {
        private long dueNanos;
        private Timer previous;
        private Timer next;
        private TimingWheel wheel;
        private int slotIndex;

        /** Time at which it is due, in nanoseconds; valid only while it is scheduled. */
        public final long dueNanos() {
            return dueNanos;
        }

        public final boolean isScheduled() {
            return wheel != null;
        }
    }

    /** The sentinel of each slot's circular list, or null if the slot was never used. */
    private final Timer[] slots = new Timer[SLOT_COUNT];

    /** One bit for each slot that holds a timer. */
    private final long[] occupiedSlots = new long[SLOT_COUNT / 64];

    /** Absolute number of the first slot that has not passed; not reduced to an index. */
    private long currentSlot;

    private int size;

    /** Number of scheduled timers. */
    public int size() {
        return size;
    }

    /**
     * Schedules the timer, again if it was scheduled. One that is due in the past expires with the
     * current slot.
     */
    public void schedule(Timer timer, long dueNanos) {
        cancel(timer);
        timer.dueNanos = dueNanos;
        timer.wheel = this;
        int slotIndex = (int) Math.max(dueNanos >> SLOT_NANOS_BITS, currentSlot) & SLOT_COUNT - 1;
        timer.slotIndex = slotIndex;
        Timer sentinel = slots[slotIndex];
        if (sentinel == null) {
            sentinel = new Timer();
            sentinel.previous = sentinel;
            sentinel.next = sentinel;
            slots[slotIndex] = sentinel;
        }
        timer.previous = sentinel.previous;
        timer.next = sentinel;
        sentinel.previous.next = timer;
        sentinel.previous = timer;
        occupiedSlots[slotIndex >> 6] |= 1L << slotIndex;
        size++;
    }

    /** Cancels the timer; does nothing if it is not scheduled. */
    public void cancel(Timer timer) {
        if (timer.wheel == null) {
            return;
        }
        if (timer.wheel != this) {
            throw new IllegalArgumentException("the timer is scheduled in another wheel");
        }
        timer.previous.next = timer.next;
        timer.next.previous = timer.previous;
        if (timer.previous == timer.next) {
            // Only the sentinel is left.
            occupiedSlots[timer.slotIndex >> 6] &= ~(1L << timer.slotIndex);
        }
        timer.previous = null;
        timer.next = null;
        timer.wheel = null;
        size--;
    }

    /** Removes and returns a timer whose slot has passed, or null if there is none. */
    public Timer poll(long nowNanos) {
        long nowSlot = nowNanos >> SLOT_NANOS_BITS;
        if (size == 0) {
            currentSlot = Math.max(currentSlot, nowSlot);
            return null;
        }
        // One round visits every slot; timers that are due in a later round stay where they are.
        for (currentSlot = Math.max(currentSlot, nowSlot - SLOT_COUNT);
                currentSlot < nowSlot;
                currentSlot++) {
            int slotIndex = (int) currentSlot & SLOT_COUNT - 1;
            if ((occupiedSlots[slotIndex >> 6] & 1L << slotIndex) != 0) {
                Timer sentinel = slots[slotIndex];
                for (Timer timer = sentinel.next; timer != sentinel; timer = timer.next) {
                    if (timer.dueNanos <= nowNanos) {
                        cancel(timer);
                        return timer;
                    }
                }
            }
        }
        return null;
    }

    /**
     * When to poll next, in nanoseconds: not after the end of the slot in which the first timer is
     * due; -1 if none is scheduled.
     */
    public long nextPollNanos() {
        if (size == 0) {
            return -1;
        }
        for (int offset = 0; offset < SLOT_COUNT; ) {
            int slotIndex = (int) (currentSlot + offset) & SLOT_COUNT - 1;
            long word = occupiedSlots[slotIndex >> 6] >>> (slotIndex & 63);
            if (word != 0) {
                return currentSlot + offset + Long.numberOfTrailingZeros(word) + 1
                        << SLOT_NANOS_BITS;
            }
            offset += 64 - (slotIndex & 63);
        }
        return currentSlot + SLOT_COUNT << SLOT_NANOS_BITS;
    }
}
