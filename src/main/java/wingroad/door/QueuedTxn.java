package wingroad.door;

import wingroad.state.TimingWheel;

import java.time.Duration;

/**
 * A txn in admission control, from its arrival to its final answer. Its timer expires when it has
 * been queued or in flight for too long.
 */
public final class QueuedTxn extends TimingWheel.Timer {
    /** Stages of a txn. */
    enum State {
        /** Waits for admission. */
        QUEUED,

        /** Admitted; the decision module holds it and no submission is in flight. */
        PENDING,

        /** A submission is in flight. */
        IN_FLIGHT,

        /** In flight for so long that it no longer counts against the concurrency limit. */
        STUCK,

        /** Declined, answered, or its client has disconnected. */
        CLOSED
    }

    final String txnId;
    final int txnType;
    final int queueIndex;
    final int flowRow;
    final Duration arrivedAt;
    final ClientContext client;

    /** The estimated work that the flow was charged when the txn was admitted. */
    double chargedWorkMs;

    /** The time that ended submissions of the txn have taken at members. */
    double workMs;

    int inFlightSubmissions;

    /** The round of the concurrency limit in which the txn last came to be in flight. */
    long limitRound;

    State state = State.QUEUED;

    /** Neighbours in the queue of the flow, or null. */
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

    /** Time from arrival to now. */
    public Duration queueTime(Duration now) {
        return now.minus(arrivedAt);
    }

    public String txnId() {
        return txnId;
    }
}
