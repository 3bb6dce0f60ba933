package wingroad.door;

import wingroad.state.TimingWheel;

/** A time at which somebody was told to come back; while it stands it is a claim of its account. */
final class Booking extends TimingWheel.Timer {
    final int row;
    final long at;

    /** It stands no more. */
    boolean over;

    /** In the ring of its account's bookings. */
    Booking before;

    Booking behind;

    Booking(int row, long at) {
        this.row = row;
        this.at = at;
    }
}
