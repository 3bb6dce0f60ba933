package wingroad.state;

import java.time.Duration;

/** How long one txn type takes of one kind of member, in milliseconds. */
public final class ResponseTimes {
    public final DecayingSum totalMs;
    public final DecayingSum sampleCount;

    /** A low mean: what it takes of a member that is not crowded. */
    public double baselineMs;

    public ResponseTimes(Duration halfLife, double initialBaselineMs) {
        this.totalMs = new DecayingSum(halfLife);
        this.sampleCount = new DecayingSum(halfLife);
        this.baselineMs = initialBaselineMs;
    }

    public void add(Duration now, double ms) {
        totalMs.add(now, ms);
        sampleCount.add(now, 1);
    }

    /** The present mean, or {@link #baselineMs} where too little is known. */
    public double meanMs(Duration now) {
        double samples = sampleCount.valueAt(now);
        return samples < 1 ? baselineMs : totalMs.valueAt(now) / samples;
    }
}
