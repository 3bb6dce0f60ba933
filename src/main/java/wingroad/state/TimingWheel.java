package wingroad.state;

/**
 * Timers by the time at which they are due: a hashed wheel. Adding and taking out cost the same
 * however many there are; what is due comes out when its slot of about 4 ms has passed, in the
 * order of the slots, within one in the order in which it was added. A timer is its own link in the
 * wheel, so nothing is allocated for it. Measured against a heap in bench/fair-queues.sh.
 */
public final class TimingWheel {
    private static final int SLOT_NANOS_BITS = 22;
    private static final int SLOT_COUNT = 1024;

    /** What is due at a time; it is in one wheel at most. */
    public static class Timer {
        private long dueNanos;
        private Timer previous;
        private Timer next;
        private TimingWheel wheel;
        private int slotIndex;

        /** In nanoseconds; counts only while it is set. */
        public final long dueNanos() {
            return dueNanos;
        }

        public final boolean isScheduled() {
            return wheel != null;
        }
    }

    /** The ends of each slot's ring. */
    private final Timer[] slots = new Timer[SLOT_COUNT];

    private final long[] occupiedSlots = new long[SLOT_COUNT / 64];
    private long currentSlot;
    private int size;

    public int size() {
        return size;
    }

    /**
     * Sets the timer, anew where it was set. One that is due in the past comes out with the present
     * slot.
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

    public void cancel(Timer timer) {
        if (timer.wheel == null) {
            return;
        }
        if (timer.wheel != this) {
            throw new IllegalArgumentException("the timer is set in another wheel");
        }
        timer.previous.next = timer.next;
        timer.next.previous = timer.previous;
        if (timer.previous == timer.next) {
            // Only the slot's end is left.
            occupiedSlots[timer.slotIndex >> 6] &= ~(1L << timer.slotIndex);
        }
        timer.previous = null;
        timer.next = null;
        timer.wheel = null;
        size--;
    }

    /** Takes out a timer whose slot has passed, or null where there is none. */
    public Timer poll(long nowNanos) {
        long nowSlot = nowNanos >> SLOT_NANOS_BITS;
        if (size == 0) {
            currentSlot = Math.max(currentSlot, nowSlot);
            return null;
        }
        // Once round meets every slot; what is due in a later round stays where it is.
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
     * When to poll next, in nanoseconds: no later than the end of the slot in which the first is
     * due; -1 where none is set.
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
