package wingroad.door;

import wingroad.state.Wheel;

import java.time.Duration;

/**
 * One txn at the door: from its arrival to its final answer. Its timer tells when it has waited or
 * been out too long.
 */
public final class QueuedTxn extends Wheel.Timer {
    /** Where it is. */
    enum State {
        QUEUED,
        PENDING,
        IN_FLIGHT,
        STUCK,
        CLOSED
    }

    final String txnId;
    final int txnType;
    final int queueIndex;
    final int flowRow;
    final Duration arrivedAt;
    final ClientContext client;

    /**
     * What it was charged when it was let in, and the work that it has been so far, in
     * milliseconds.
     */
    double chargedWorkMs;

    double workMs;
    int inFlightSubmissions;

    /** The window's round in which its last submission began. */
    long limitRound;

    State state = State.QUEUED;
    QueuedTxn next;
    QueuedTxn previous;

    QueuedTxn(
            String txnId,
            int txnType,
            int queueIndex,
            int flowRow,
            Duration arrivedAt,
            ClientContext client) {
        this.txnId = txnId;
        this.txnType = txnType;
        this.queueIndex = queueIndex;
        this.flowRow = flowRow;
        this.arrivedAt = arrivedAt;
        this.client = client;
    }

    /** How long it waited at the door, up to now. */
    public Duration queueTime(Duration now) {
        return now.minus(arrivedAt);
    }

    public String txnId() {
        return txnId;
    }
}
