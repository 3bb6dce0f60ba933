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
 * @param knows the plan's revision that its module has been told of
 * @param clear machines that drain or are out where nothing new of its own goes and nothing of its
 *     own is
 * @param believes whom it takes for the primary, by group, of groups that the plan touches
 * @param served txns committed in time since its start
 * @param harmed txns declined, rolled back or late since its start
 * @param busy by group: milliseconds that its txns have been at members, all together
 */
public record Report(
        long knows,
        Set<String> clear,
        Map<Integer, String> believes,
        long served,
        long harmed,
        Map<Integer, Long> busy) {
    static final Report NONE = new Report(0, Set.of(), Map.of(), 0, 0, Map.of());

    /** Whether the other one says more than new figures. */
    public boolean differs(Report other) {
        return knows != other.knows
                || !clear.equals(other.clear)
                || !believes.equals(other.believes);
    }

    /** As a line behind its session. */
    public String line(String session) {
        List<String> b = new ArrayList<>();
        believes.forEach((g, uid) -> b.add(g + "=" + uid));
        List<String> u = new ArrayList<>();
        busy.forEach((g, ms) -> u.add(g + "=" + ms));
        return session
                + " "
                + knows
                + " "
                + String.join(",", clear)
                + " "
                + String.join(",", b)
                + " "
                + served
                + " "
                + harmed
                + " "
                + String.join(",", u);
    }

    static String sessionOf(String line) {
        return line.substring(0, Math.max(0, line.indexOf(' ')));
    }

    /** Reads such a line; throws {@link IllegalArgumentException} where it is none. */
    static Report of(String line) {
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
        return new Report(
                Long.parseLong(w[1]),
                new TreeSet<>(Machine.split(w[2])),
                b,
                Long.parseLong(w[4]),
                Long.parseLong(w[5]),
                u);
    }
}
