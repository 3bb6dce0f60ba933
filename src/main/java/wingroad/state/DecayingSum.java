package wingroad.state;

import java.time.Duration;

/**
 * A sum with exponential decay: what was added loses half its weight in each half-life. The decay
 * is applied when the sum is read. Times must not decrease.
 */
public final class DecayingSum {
    private static final double LN_2 = 0.6931471805599453;

    private final double halfLifeNanos;
    private double sum;
    private long updatedAtNanos;

    public DecayingSum(Duration halfLife) {
        this.halfLifeNanos = halfLife.toNanos();
    }

    public void add(Duration now, double amount) {
        sum = valueAt(now) + amount;
    }

    /** The decayed sum at the time {@code now}. */
    public double valueAt(Duration now) {
        long nowNanos = now.toNanos();
        if (nowNanos > updatedAtNanos) {
            if (sum != 0) {
                sum *= Math.exp(-LN_2 * (nowNanos - updatedAtNanos) / halfLifeNanos);
            }
            updatedAtNanos = nowNanos;
        }
        return sum;
    }
}
