package wingroad.driver;

import java.util.Map;
import java.util.TreeMap;

/** Counts events that are too frequent for a log line each. */
final class Counters {
    /** Further names are not counted. Guards the memory, since names may contain error texts. */
    private static final int MAX_NAME_COUNT = 100;

    private final Map<String, Integer> counts = new TreeMap<>();

    void count(String name) {
        if (counts.size() < MAX_NAME_COUNT || counts.containsKey(name)) {
            counts.merge(name, 1, Integer::sum);
        }
    }

    /** Returns the counts since the last call and resets them; null if nothing was counted. */
    String takeSummary() {
        if (counts.isEmpty()) {
            return null;
        }
        StringBuilder summary = new StringBuilder();
        counts.forEach(
                (name, count) ->
                        summary.append(summary.isEmpty() ? "" : ", ")
                                .append(name)
                                .append(' ')
                                .append(count));
        counts.clear();
        return summary.toString();
    }
}
