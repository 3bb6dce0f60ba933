package wingroad.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A voter's own clock on drivers without a session: how long ago each was lost, and so what is
 * certain to have stopped there. It only ever proposes; a driver that was lost anew has another
 * number, which makes the proposal void.
 */
public final class LostDriverMonitor {
    /** So long may the end of a process take that has said that it ends, beside its last txns. */
    private static final Duration EXIT_GRACE = Duration.ofSeconds(10);

    /**
     * What is certain of a lost driver: at level 1 nothing at what it knew to be announced, at 2
     * nothing at all.
     */
    public record StoppedDriver(String identity, long lossNumber, long level) {}

    private record Observation(long lossNumber, Duration observedAt) {}

    private final MaintenanceSettings settings;
    private final double driftFactor;
    private final Map<String, Observation> observations = new HashMap<>();

    /**
     * @param drift how far two clocks may run apart, as a part of one
     */
    public LostDriverMonitor(MaintenanceSettings settings, double maxClockDrift) {
        this.settings = settings;
        this.driftFactor = (1 + maxClockDrift) / (1 - maxClockDrift);
    }

    /** Compares with what is settled now. */
    public void observe(MaintenancePlan plan, Duration now) {
        observations
                .keySet()
                .removeIf(
                        identity ->
                                plan.lostDrivers().stream()
                                        .noneMatch(
                                                lostDriver ->
                                                        lostDriver.identity.equals(identity)));
        for (MaintenancePlan.LostDriver lostDriver : plan.lostDrivers()) {
            Observation previous = observations.get(lostDriver.identity);
            if (previous == null || previous.lossNumber != lostDriver.lossNumber) {
                observations.put(lostDriver.identity, new Observation(lostDriver.lossNumber, now));
            }
        }
    }

    /** What is certain by now and not settled yet. */
    public List<StoppedDriver> newlyStopped(MaintenancePlan plan, Duration now) {
        List<StoppedDriver> stopped = new ArrayList<>();
        for (MaintenancePlan.LostDriver lostDriver : plan.lostDrivers()) {
            Observation observation = observations.get(lostDriver.identity);
            if (observation == null || observation.lossNumber != lostDriver.lossNumber) {
                continue;
            }
            Duration elapsed = now.minus(observation.observedAt);
            boolean strict = plan.lostViewPolicy() == MaintenanceSettings.LostViewPolicy.STRICT;
            if (lostDriver.exiting && hasElapsed(elapsed, settings.settleTime().plus(EXIT_GRACE))
                    || strict
                            && hasElapsed(
                                    elapsed,
                                    settings.strictHorizon().plus(settings.settleTime()))) {
                stopped.add(new StoppedDriver(lostDriver.identity, lostDriver.lossNumber, 2));
            } else if (lostDriver.stoppedLevel < 1
                    && plan.lostViewPolicy() != MaintenanceSettings.LostViewPolicy.SERVE
                    && hasElapsed(elapsed, settings.settleTime())) {
                stopped.add(new StoppedDriver(lostDriver.identity, lostDriver.lossNumber, 1));
            }
        }
        return stopped;
    }

    private boolean hasElapsed(Duration elapsed, Duration timeout) {
        return elapsed.toNanos() > timeout.toNanos() * driftFactor;
    }
}
