package wingroad.door;

import wingroad.state.Wheel;

/** A time at which somebody was told to come back; while it stands it is a claim of its account. */
final class RetryReservation extends Wheel.Timer {
    final int flowRow;
    final long retryAtNanos;

    /** It stands no more. */
    boolean released;

    /** In the ring of its account's bookings. */
    RetryReservation previous;

    RetryReservation next;

    RetryReservation(int flowRow, long retryAtNanos) {
        this.flowRow = flowRow;
        this.retryAtNanos = retryAtNanos;
    }
}
