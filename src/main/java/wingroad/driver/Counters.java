package wingroad.driver;

import java.util.Map;
import java.util.TreeMap;

/** Counts what is too frequent for a line each. */
final class Counters {
    private static final int MOST_KINDS = 100;

    private final Map<String, Integer> counts = new TreeMap<>();

    void count(String what) {
        if (counts.size() < MOST_KINDS || counts.containsKey(what)) {
            counts.merge(what, 1, Integer::sum);
        }
    }

    /** What was counted since the last time, or null for nothing. */
    String take() {
        if (counts.isEmpty()) {
            return null;
        }
        StringBuilder all = new StringBuilder();
        counts.forEach(
                (what, n) ->
                        all.append(all.isEmpty() ? "" : ", ").append(what).append(' ').append(n));
        counts.clear();
        return all.toString();
    }
}
