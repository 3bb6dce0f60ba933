package wingroad.state;

import java.time.Duration;

/** A sum whose parts lose half their weight each half-life; brought up to date when it is read. */
public final class DecayingSum {
    private final double halfLifeNanos;
    private double sum;
    private long at;

    public DecayingSum(Duration halfLife) {
        this.halfLifeNanos = halfLife.toNanos();
    }

    public void add(Duration now, double amount) {
        sum = valueAt(now) + amount;
    }

    public double valueAt(Duration now) {
        long nanos = now.toNanos();
        if (nanos > at) {
            if (sum != 0) {
                sum *= Math.exp(-0.6931471805599453 * (nanos - at) / halfLifeNanos);
            }
            at = nanos;
        }
        return sum;
    }
}
