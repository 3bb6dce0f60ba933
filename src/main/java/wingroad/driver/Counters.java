package wingroad.driver;

import java.util.Map;
import java.util.TreeMap;

/** Counts what is too frequent for a line each. */
final class Counters {
    private static final int MAX_NAME_COUNT = 100;

    private final Map<String, Integer> counts = new TreeMap<>();

    void count(String name) {
        if (counts.size() < MAX_NAME_COUNT || counts.containsKey(name)) {
            counts.merge(name, 1, Integer::sum);
        }
    }

    /** What was counted since the last time, or null for nothing. */
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
