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
    private static final Duration ENDING = Duration.ofSeconds(10);

    /**
     * What is certain of a lost driver: at level 1 nothing at what it knew to be announced, at 2
     * nothing at all.
     */
    public record StoppedDriver(String identity, long lossNumber, long level) {}

    private record Seen(long number, Duration at) {}

    private final MaintenanceSettings rules;
    private final double slow;
    private final Map<String, Seen> seen = new HashMap<>();

    /**
     * @param drift how far two clocks may run apart, as a part of one
     */
    public LostDriverMonitor(MaintenanceSettings rules, double drift) {
        this.rules = rules;
        this.slow = (1 + drift) / (1 - drift);
    }

    /** Compares with what is settled now. */
    public void observe(MaintenancePlan plan, Duration now) {
        seen.keySet()
                .removeIf(i -> plan.lostDrivers().stream().noneMatch(a -> a.identity.equals(i)));
        for (MaintenancePlan.LostDriver a : plan.lostDrivers()) {
            Seen was = seen.get(a.identity);
            if (was == null || was.number != a.lossNumber) {
                seen.put(a.identity, new Seen(a.lossNumber, now));
            }
        }
    }

    /** What is certain by now and not settled yet. */
    public List<StoppedDriver> newlyStopped(MaintenancePlan plan, Duration now) {
        List<StoppedDriver> all = new ArrayList<>();
        for (MaintenancePlan.LostDriver a : plan.lostDrivers()) {
            Seen s = seen.get(a.identity);
            if (s == null || s.number != a.lossNumber) {
                continue;
            }
            Duration ago = now.minus(s.at);
            boolean strict = plan.lostViewPolicy() == MaintenanceSettings.LostViewPolicy.STRICT;
            if (a.exiting && past(ago, rules.settleTime().plus(ENDING))
                    || strict && past(ago, rules.strictHorizon().plus(rules.settleTime()))) {
                all.add(new StoppedDriver(a.identity, a.lossNumber, 2));
            } else if (a.stoppedLevel < 1
                    && plan.lostViewPolicy() != MaintenanceSettings.LostViewPolicy.SERVE
                    && past(ago, rules.settleTime())) {
                all.add(new StoppedDriver(a.identity, a.lossNumber, 1));
            }
        }
        return all;
    }

    private boolean past(Duration ago, Duration span) {
        return ago.toNanos() > span.toNanos() * slow;
    }
}
