package wingroad.state;

import java.time.Duration;

/** Recent response times of one txn type, for all members or for those of one hardware class. */
public final class ResponseTimes {
    /** Sum of recent response times in milliseconds. */
    public final DecayingSum totalMs;

    /** Number of recent response times. */
    public final DecayingSum sampleCount;

    /** Response time of a member that is not overloaded, in milliseconds. */
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

    /** Mean of recent response times, or {@link #baselineMs} if there are none. */
    public double meanMs(Duration now) {
        double samples = sampleCount.valueAt(now);
        return samples < 1 ? baselineMs : totalMs.valueAt(now) / samples;
    }
}
