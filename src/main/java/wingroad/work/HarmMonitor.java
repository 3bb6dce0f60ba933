package wingroad.work;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * Detects harm done by maintenance: compares the share of txns that are declined, rolled back or
 * late with its baseline while no maintenance runs. Uses the drivers' reported figures; a new
 * controller knows nothing yet and observes first.
 */
final class HarmMonitor {
    /** A window with fewer txns than this is not significant. */
    private static final long MIN_WINDOW_TXNS = 20;

    /** Weights of the exponential moving average that makes the baseline. */
    private static final double BASELINE_RETAINED_WEIGHT = 0.9;

    private static final double BASELINE_SAMPLE_WEIGHT = 0.1;

    private record Sample(Duration takenAt, long servedCount, long harmedCount) {}

    private final Duration watchPeriod;

    /** How far the harmed share may rise over the baseline. */
    private final double maxIncrease;

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    /** Moving average of the harmed share without maintenance, or -1 if not known yet. */
    private double baseline = -1;

    private Duration lastHarmAt;

    HarmMonitor(Duration watchPeriod, double maxIncrease) {
        this.watchPeriod = watchPeriod;
        this.maxIncrease = maxIncrease;
    }

    /**
     * Adds the counters of all drivers, which grow from some start.
     *
     * @param maintenanceRunning whether a machine drains, is out or returns; the baseline is kept
     *     meanwhile
     */
    void addSample(long servedCount, long harmedCount, boolean maintenanceRunning, Duration now) {
        if (!samples.isEmpty()
                && (servedCount < samples.peekLast().servedCount
                        || harmedCount < samples.peekLast().harmedCount)) {
            // A driver has left the sums, so the counters start anew.
            samples.clear();
        }
        samples.add(new Sample(now, servedCount, harmedCount));
        while (samples.size() > 2
                && now.minus(samples.peekFirst().takenAt).compareTo(watchPeriod) > 0) {
            samples.poll();
        }
        double share = harmedShare();
        if (!maintenanceRunning && share >= 0) {
            baseline =
                    baseline < 0
                            ? share
                            : baseline * BASELINE_RETAINED_WEIGHT + share * BASELINE_SAMPLE_WEIGHT;
        }
        if (share >= 0 && share > Math.max(0, baseline) + maxIncrease) {
            lastHarmAt = now;
        }
    }

    /** Returns the share of harmed txns in the window, or -1 if there were too few to tell. */
    double harmedShare() {
        if (samples.size() < 2) {
            return -1;
        }
        long servedDelta = samples.peekLast().servedCount - samples.peekFirst().servedCount;
        long harmedDelta = samples.peekLast().harmedCount - samples.peekFirst().harmedCount;
        return servedDelta + harmedDelta < MIN_WINDOW_TXNS
                ? -1
                : (double) harmedDelta / (servedDelta + harmedDelta);
    }

    /** Returns the baseline of the harmed share; 0 if not known yet. */
    double baseline() {
        return Math.max(0, baseline);
    }

    /** Returns whether the sample taken at this time shows harm. */
    boolean isHarmSeen(Duration now) {
        return lastHarmAt != null && now.equals(lastHarmAt);
    }

    /** Returns whether enough has been observed, and no harm seen for a whole watch period. */
    boolean isCalm(Duration now) {
        return !samples.isEmpty()
                && now.minus(samples.peekFirst().takenAt).compareTo(watchPeriod.dividedBy(2)) >= 0
                && (lastHarmAt == null || now.minus(lastHarmAt).compareTo(watchPeriod) >= 0);
    }
}
