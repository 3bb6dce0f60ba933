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
public final class LostDrivers {
    /** So long may the end of a process take that has said that it ends, beside its last txns. */
    private static final Duration ENDING = Duration.ofSeconds(10);

    /**
     * What is certain of a lost driver: at level 1 nothing at what it knew to be announced, at 2
     * nothing at all.
     */
    public record Stopped(String identity, long number, long level) {}

    private record Seen(long number, Duration at) {}

    private final WorkRules rules;
    private final double slow;
    private final Map<String, Seen> seen = new HashMap<>();

    /**
     * @param drift how far two clocks may run apart, as a part of one
     */
    public LostDrivers(WorkRules rules, double drift) {
        this.rules = rules;
        this.slow = (1 + drift) / (1 - drift);
    }

    /** Compares with what is settled now. */
    public void look(Plan plan, Duration now) {
        seen.keySet().removeIf(i -> plan.astray().stream().noneMatch(a -> a.identity.equals(i)));
        for (Plan.LostDriver a : plan.astray()) {
            Seen was = seen.get(a.identity);
            if (was == null || was.number != a.number) {
                seen.put(a.identity, new Seen(a.number, now));
            }
        }
    }

    /** What is certain by now and not settled yet. */
    public List<Stopped> stopped(Plan plan, Duration now) {
        List<Stopped> all = new ArrayList<>();
        for (Plan.LostDriver a : plan.astray()) {
            Seen s = seen.get(a.identity);
            if (s == null || s.number != a.number) {
                continue;
            }
            Duration ago = now.minus(s.at);
            boolean strict = plan.lost() == WorkRules.Lost.STRICT;
            if (a.ends && past(ago, rules.settle().plus(ENDING))
                    || strict && past(ago, rules.horizon().plus(rules.settle()))) {
                all.add(new Stopped(a.identity, a.number, 2));
            } else if (a.level < 1
                    && plan.lost() != WorkRules.Lost.SERVE
                    && past(ago, rules.settle())) {
                all.add(new Stopped(a.identity, a.number, 1));
            }
        }
        return all;
    }

    private boolean past(Duration ago, Duration span) {
        return ago.toNanos() > span.toNanos() * slow;
    }
}
