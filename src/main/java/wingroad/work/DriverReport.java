package wingroad.work;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What a driver tells the maintenance plan, under its session.
 *
 * @param planRevision the plan's revision that its router has taken over
 * @param drainedMachines draining or out machines that the driver sends nothing new to and has
 *     nothing left on
 * @param primaries member taken for the primary, by group, for the groups that the plan affects
 * @param servedCount txns committed in time since its start
 * @param harmedCount txns declined, rolled back or late since its start
 * @param busyMsByGroup total time of its submissions at members since its start in milliseconds, by
 *     group, only for the groups that the plan affects
 */
public record DriverReport(
        long planRevision,
        Set<String> drainedMachines,
        Map<Integer, String> primaries,
        long servedCount,
        long harmedCount,
        Map<Integer, Long> busyMsByGroup) {
    static final DriverReport EMPTY = new DriverReport(0, Set.of(), Map.of(), 0, 0, Map.of());

    /** Returns whether the other report differs in more than its counters. */
    public boolean differsBeyondFigures(DriverReport other) {
        return planRevision != other.planRevision
                || !drainedMachines.equals(other.drainedMachines)
                || !primaries.equals(other.primaries);
    }

    /** Returns the report as one line that starts with the session's id. */
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

    /**
     * Reads a line of {@link #toLine}; throws {@link IllegalArgumentException} if it is malformed.
     */
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
