package wingroad.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks on a voter's own clock how long ago each driver lost its session, and so what has
 * certainly stopped there. It only proposes; a driver that was lost again has another loss number,
 * which makes the proposal void.
 */
public final class LostDriverMonitor {
    /** How long a process that has announced its exit may take to end, on top of its last txns. */
    private static final Duration EXIT_GRACE = Duration.ofSeconds(10);

    /**
     * What is certain of a lost driver.
     *
     * @param level 1: nothing of it is left on machines that it knew to be announced; 2: nothing at
     *     all
     */
    public record StoppedDriver(String identity, long lossNumber, long level) {}

    private record Observation(long lossNumber, Duration observedAt) {}

    private final MaintenanceSettings settings;

    /**
     * Lengthens timeouts so that a fast clock here and a slow one at the driver cannot shorten
     * them.
     */
    private final double driftFactor;

    private final Map<String, Observation> observations = new HashMap<>();

    /**
     * Creates a monitor without observations.
     *
     * @param maxClockDrift the largest rate error of any clock, as a fraction
     */
    public LostDriverMonitor(MaintenanceSettings settings, double maxClockDrift) {
        this.settings = settings;
        this.driftFactor = (1 + maxClockDrift) / (1 - maxClockDrift);
    }

    /** Compares the observations with the committed plan. */
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

    /** Returns what is certain by now and not committed yet. */
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
