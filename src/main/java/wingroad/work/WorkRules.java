package wingroad.work;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * What the operator's file says of machines and of work on them, and what the deployment's settings
 * add.
 *
 * @param machines by name
 * @param atOnce so many may be between planned and in at a time, all of one zone and no two of a
 *     group
 * @param lost what a driver does whose view of the plan has ended
 * @param horizon with {@link Lost#STRICT}: so long after that it still serves by what was not
 *     announced
 * @param watch so long must be without harm before the next machine drains
 * @param harm how far the part of the txns declined or late may rise over what it was before
 * @param lag so far behind the log may a member be that is to carry on alone, or to count as back
 * @param room txns that a member can have at work at a time, or 0: not known, only harm is looked
 *     at
 * @param settle the longest that something sent before a view ended may still be at a member; from
 *     the settings
 * @param cold how long a member counts as cold after its start; from the settings
 * @param grace how long after the word a draining member may still get something; from the settings
 */
public record WorkRules(
        Map<String, Machine> machines,
        int atOnce,
        Lost lost,
        Duration horizon,
        Duration watch,
        double harm,
        Duration lag,
        double room,
        Duration settle,
        Duration cold,
        Duration grace) {
    /** The duty of conducting the work. */
    public static final String CONDUCTOR = "conductor";

    /** What a driver does whose view has ended; docs/notes/work.md has the table. */
    public enum Lost {
        STRICT,
        STEADY,
        SERVE
    }

    /** The same with what the deployment's settings say. */
    public WorkRules in(Duration longestExpiry, Duration coldTime, Duration drainGrace) {
        return new WorkRules(
                machines,
                atOnce,
                lost,
                horizon,
                watch,
                harm,
                lag,
                room,
                drainGrace.plus(longestExpiry),
                coldTime,
                drainGrace);
    }

    /** What all drivers must have alike, as lines: limits first, then the machines. */
    public List<String> lines() {
        List<String> all = new java.util.ArrayList<>();
        all.add(atOnce + " " + lost);
        machines.values().stream()
                .sorted(java.util.Comparator.comparing(Machine::name))
                .forEach(m -> all.add(m.line()));
        return all;
    }
}
