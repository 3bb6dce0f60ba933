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
    static final DriverReport EMPTY = new DriverReport(0, Set.of(), Map.of(), 0, 0, Map.of());

    /** Whether the other one says more than new figures. */
    public boolean differsBeyondFigures(DriverReport other) {
        return planRevision != other.planRevision
                || !drainedMachines.equals(other.drainedMachines)
                || !primaries.equals(other.primaries);
    }

    /** As a line behind its session. */
    public String toLine(String sessionId) {
        List<String> primaryPairs = new ArrayList<>();
        primaries.forEach((group, uid) -> primaryPairs.add(group + "=" + uid));
        List<String> busyPairs = new ArrayList<>();
        busyMsByGroup.forEach((group, busyMs) -> busyPairs.add(group + "=" + busyMs));
        return sessionId
                + " "
                + planRevision
                + " "
                + String.join(",", drainedMachines)
                + " "
                + String.join(",", primaryPairs)
                + " "
                + servedCount
                + " "
                + harmedCount
                + " "
                + String.join(",", busyPairs);
    }

    static String sessionOf(String line) {
        return line.substring(0, Math.max(0, line.indexOf(' ')));
    }

    /** Reads such a line; throws {@link IllegalArgumentException} where it is none. */
    static DriverReport parse(String line) {
        String[] fields = line.split(" ", -1);
        if (fields.length != 7) {
            throw new IllegalArgumentException("no report: " + line);
        }
        Map<Integer, String> primaries = new TreeMap<>();
        for (String pair : Machine.splitList(fields[3])) {
            primaries.put(
                    Integer.parseInt(pair.substring(0, pair.indexOf('='))),
                    pair.substring(pair.indexOf('=') + 1));
        }
        Map<Integer, Long> busyMsByGroup = new TreeMap<>();
        for (String pair : Machine.splitList(fields[6])) {
            busyMsByGroup.put(
                    Integer.parseInt(pair.substring(0, pair.indexOf('='))),
                    Long.parseLong(pair.substring(pair.indexOf('=') + 1)));
        }
        return new DriverReport(
                Long.parseLong(fields[1]),
                new TreeSet<>(Machine.splitList(fields[2])),
                primaries,
                Long.parseLong(fields[4]),
                Long.parseLong(fields[5]),
                busyMsByGroup);
    }
}
