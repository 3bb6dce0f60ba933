package wingroad.work;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What a driver says of itself under a session.
 *
 * @param planRevision the plan's revision that its module has been told of
 * @param drainedMachines machines that drain or are out where nothing new of its own goes and
 *     nothing of its own is
 * @param primaries whom it takes for the primary, by group, of groups that the plan touches
 * @param servedCount txns committed in time since its start
 * @param harmedCount txns declined, rolled back or late since its start
 * @param busyMsByGroup by group: milliseconds that its txns have been at members, all together
 */
public record DriverReport(
        long planRevision,
        Set<String> drainedMachines,
        Map<Integer, String> primaries,
        long servedCount,
        long harmedCount,
        Map<Integer, Long> busyMsByGroup) {
    static final DriverReport NONE = new DriverReport(0, Set.of(), Map.of(), 0, 0, Map.of());

    /** Whether the other one says more than new figures. */
    public boolean differsBeyondFigures(DriverReport other) {
        return planRevision != other.planRevision
                || !drainedMachines.equals(other.drainedMachines)
                || !primaries.equals(other.primaries);
    }

    /** As a line behind its session. */
    public String toLine(String session) {
        List<String> b = new ArrayList<>();
        primaries.forEach((g, uid) -> b.add(g + "=" + uid));
        List<String> u = new ArrayList<>();
        busyMsByGroup.forEach((g, ms) -> u.add(g + "=" + ms));
        return session
                + " "
                + planRevision
                + " "
                + String.join(",", drainedMachines)
                + " "
                + String.join(",", b)
                + " "
                + servedCount
                + " "
                + harmedCount
                + " "
                + String.join(",", u);
    }

    static String sessionOf(String line) {
        return line.substring(0, Math.max(0, line.indexOf(' ')));
    }

    /** Reads such a line; throws {@link IllegalArgumentException} where it is none. */
    static DriverReport of(String line) {
        String[] w = line.split(" ", -1);
        if (w.length != 7) {
            throw new IllegalArgumentException("no report: " + line);
        }
        Map<Integer, String> b = new TreeMap<>();
        for (String p : Machine.split(w[3])) {
            b.put(
                    Integer.parseInt(p.substring(0, p.indexOf('='))),
                    p.substring(p.indexOf('=') + 1));
        }
        Map<Integer, Long> u = new TreeMap<>();
        for (String p : Machine.split(w[6])) {
            u.put(
                    Integer.parseInt(p.substring(0, p.indexOf('='))),
                    Long.parseLong(p.substring(p.indexOf('=') + 1)));
        }
        return new DriverReport(
                Long.parseLong(w[1]),
                new TreeSet<>(Machine.split(w[2])),
                b,
                Long.parseLong(w[4]),
                Long.parseLong(w[5]),
                u);
    }
}
