package wingroad.state;

import java.time.Duration;
import java.util.PriorityQueue;

/**
 * Checks that are scheduled for a certain time, in the order in which they are due. Those of closed
 * txns are dropped once they outnumber the others: a txn may be closed long before its checks are
 * due.
 */
public final class EventQueue {
    /** So many checks of closed txns may stay however few others there are. */
    private static final int MIN_PURGED_COUNT = 1024;

    /**
     * A scheduled check.
     *
     * @param sequence orders events that are due at the same time
     */
    private record Event(Duration dueAt, long sequence, Object target)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return dueAt.equals(other.dueAt)
                    ? Long.compare(sequence, other.sequence)
                    : dueAt.compareTo(other.dueAt);
        }

        boolean isObsolete() {
            return target instanceof Txn txn && txn.answered;
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nextSequence;

    /** Events of closed txns. */
    private int obsoleteCount;

    public void add(Duration dueAt, Object target) {
        events.add(new Event(dueAt, nextSequence++, target));
        if (target instanceof Txn txn) {
            txn.scheduledEventCount++;
        }
    }

    /** When the next event is due, or null if there is none. */
    public Duration nextDueAt() {
        return events.isEmpty() ? null : events.peek().dueAt;
    }

    /** Removes the next event if it is due, and returns its target; null if none is due. */
    public Object pollDue(Duration now) {
        if (events.isEmpty() || events.peek().dueAt.compareTo(now) > 0) {
            return null;
        }
        Object target = events.poll().target;
        if (target instanceof Txn txn) {
            txn.scheduledEventCount--;
            obsoleteCount -= txn.answered ? 1 : 0;
        }
        return target;
    }

    /** Records that a txn was closed: its events are obsolete. */
    public void txnClosed(Txn txn) {
        obsoleteCount += txn.scheduledEventCount;
        if (obsoleteCount >= MIN_PURGED_COUNT && obsoleteCount > events.size() / 2) {
            obsoleteCount = 0;
            events.removeIf(Event::isObsolete);
        }
    }

    int size() {
        return events.size();
    }
}
