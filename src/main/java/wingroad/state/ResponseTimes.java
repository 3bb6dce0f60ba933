package wingroad.state;

import java.time.Duration;

/** How long one txn type takes of one kind of member, in milliseconds. */
public final class ResponseTimes {
    public final DecayingSum totalMs;
    public final DecayingSum sampleCount;

    /** A low mean: what it takes of a member that is not crowded. */
    public double baselineMs;

    public ResponseTimes(Duration memory, double calm) {
        this.totalMs = new DecayingSum(memory);
        this.sampleCount = new DecayingSum(memory);
        this.baselineMs = calm;
    }

    public void add(Duration now, double ms) {
        totalMs.add(now, ms);
        sampleCount.add(now, 1);
    }

    /** The present mean, or {@link #baselineMs} where too little is known. */
    public double meanMs(Duration now) {
        double n = sampleCount.valueAt(now);
        return n < 1 ? baselineMs : totalMs.valueAt(now) / n;
    }
}
