package wingroad.state;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * The txns of a group that wait for a member, in order of arrival. Txns that are answered while
 * they wait stay until an iteration removes them, or until they outnumber the others.
 */
public final class HeldTxns implements Iterable<Txn> {
    /** So many answered txns may stay however few others there are. */
    private static final int MIN_PURGED_COUNT = 256;

    private final ArrayDeque<Txn> txns = new ArrayDeque<>();

    /** Txns answered while held since the last purge; iterations may have removed some of them. */
    private int answeredCount;

    public void add(Txn txn) {
        txns.add(txn);
    }

    /** Records that a txn was answered that is held here. */
    public void txnAnswered() {
        answeredCount++;
        if (answeredCount >= MIN_PURGED_COUNT && answeredCount > txns.size() / 2) {
            removeAnswered();
        }
    }

    public void removeAnswered() {
        answeredCount = 0;
        txns.removeIf(txn -> txn.answered);
    }

    public boolean isEmpty() {
        return txns.isEmpty();
    }

    /** The number of txns, including answered ones that were not removed yet. */
    public int size() {
        return txns.size();
    }

    /** Iterates from the oldest to the newest. */
    @Override
    public Iterator<Txn> iterator() {
        return txns.iterator();
    }

    /** Iterates from the newest to the oldest. */
    public Iterator<Txn> descendingIterator() {
        return txns.descendingIterator();
    }
}
