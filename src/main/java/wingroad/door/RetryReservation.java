package wingroad.door;

import wingroad.state.TimingWheel;

/**
 * A time at which the client of a declined txn was told to retry. Until it is released it counts as
 * a claim of its flow on the queue. The timer expires if the client does not retry.
 */
final class RetryReservation extends TimingWheel.Timer {
    final int flowRow;
    final long retryAtNanos;

    /** Whether the client has retried or the timer has expired. */
    boolean released;

    /** Neighbours in the circular list of the flow's reservations. */
    RetryReservation previous;

    RetryReservation next;

    RetryReservation(int flowRow, long retryAtNanos) {
        this.flowRow = flowRow;
        this.retryAtNanos = retryAtNanos;
    }
}
