package wingroad.work;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * Whether work does harm: the part of the txns that are declined, rolled back or late, now beside
 * before it began. Learned from the fleet's figures; a new conductor knows nothing and watches for
 * a while first.
 */
final class HarmMonitor {
    /** So few txns in a window say nothing. */
    private static final long MIN_WINDOW_TXNS = 20;

    private record Sample(Duration takenAt, long servedCount, long harmedCount) {}

    private final Duration watchPeriod;
    private final double maxIncrease;
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();
    private double baseline = -1;
    private Duration lastHarmAt;

    HarmMonitor(Duration watchPeriod, double maxIncrease) {
        this.watchPeriod = watchPeriod;
        this.maxIncrease = maxIncrease;
    }

    /** The fleet's figures since some start; {@code atWork} while a machine is on its way. */
    void addSample(long servedCount, long harmedCount, boolean maintenanceRunning, Duration now) {
        if (!samples.isEmpty()
                && (servedCount < samples.peekLast().servedCount
                        || harmedCount < samples.peekLast().harmedCount)) {
            // A driver has gone with its figures: they begin anew.
            samples.clear();
        }
        samples.add(new Sample(now, servedCount, harmedCount));
        while (samples.size() > 2
                && now.minus(samples.peekFirst().takenAt).compareTo(watchPeriod) > 0) {
            samples.poll();
        }
        double share = harmedShare();
        if (!maintenanceRunning && share >= 0) {
            baseline = baseline < 0 ? share : baseline * 0.9 + share * 0.1;
        }
        if (share >= 0 && share > Math.max(0, baseline) + maxIncrease) {
            lastHarmAt = now;
        }
    }

    /** The part that was harmed in the window, or -1 where too few came to say. */
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

    double baseline() {
        return Math.max(0, baseline);
    }

    /** Harm is seen now. */
    boolean isHarmSeen(Duration now) {
        return lastHarmAt != null && now.equals(lastHarmAt);
    }

    /** Nothing was seen for the whole of the time that has to be watched. */
    boolean isCalm(Duration now) {
        return !samples.isEmpty()
                && now.minus(samples.peekFirst().takenAt).compareTo(watchPeriod.dividedBy(2)) >= 0
                && (lastHarmAt == null || now.minus(lastHarmAt).compareTo(watchPeriod) >= 0);
    }
}
