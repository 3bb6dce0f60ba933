package wingroad.door;

import wingroad.state.TimingWheel;

import java.time.Duration;

/**
 * One txn at the door: from its arrival to its final answer. Its timer tells when it has waited or
 * been out too long.
 */
public final class QueuedTxn extends TimingWheel.Timer {
    /** Where it is. */
    enum Place {
        WAITING,
        HELD,
        OUT,
        STUCK,
        OVER
    }

    final String txnId;
    final int type;
    final int lane;
    final int row;
    final Duration arrivedAt;
    final ClientContext caller;

    /**
     * What it was charged when it was let in, and the work that it has been so far, in
     * milliseconds.
     */
    double charged;

    double work;
    int submissionsOut;

    /** The window's round in which its last submission began. */
    long round;

    Place place = Place.WAITING;
    QueuedTxn behind;
    QueuedTxn before;

    QueuedTxn(String txn, int type, int lane, int row, Duration arrivedAt, ClientContext caller) {
        this.txnId = txn;
        this.type = type;
        this.lane = lane;
        this.row = row;
        this.arrivedAt = arrivedAt;
        this.caller = caller;
    }

    /** How long it waited at the door, up to now. */
    public Duration queueTime(Duration now) {
        return now.minus(arrivedAt);
    }

    public String txnId() {
        return txnId;
    }
}
