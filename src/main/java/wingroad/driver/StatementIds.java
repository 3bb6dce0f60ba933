package wingroad.driver;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The ids of clients' statements that may not be used again yet: no statement runs twice because
 * its id arrives twice, also where its client has left and comes again. No I/O; the clock is passed
 * in.
 */
final class StatementIds {
    /** Bounds the memory; several times what clients use within the longest expiry. */
    static final int MAX_COUNT = 32_768;

    /** The longest time that a client gives a statement. */
    private final Duration longestExpiry;

    /** When each id may be used again. */
    private final Map<String, Duration> freeAtById = new HashMap<>();

    StatementIds(Duration longestExpiry) {
        this.longestExpiry = longestExpiry;
    }

    boolean isInUse(String id) {
        return freeAtById.containsKey(id);
    }

    /** Whether no further id can be remembered. */
    boolean isFull() {
        return freeAtById.size() >= MAX_COUNT;
    }

    /** Keeps an id for the time that its client gives, or the longest expiry if that is shorter. */
    void use(String id, Duration timeLeft, Duration now) {
        freeAtById.put(
                id, now.plus(timeLeft.compareTo(longestExpiry) < 0 ? timeLeft : longestExpiry));
    }

    /** Keeps the id of a statement that may have taken effect for another longest expiry. */
    void mayHaveRun(String id, Duration now) {
        freeAtById.put(id, now.plus(longestExpiry));
    }

    /** Frees the id of a statement that no member has seen. */
    void release(String id) {
        freeAtById.remove(id);
    }

    /** Frees the ids whose time is over. */
    void expire(Duration now) {
        freeAtById.values().removeIf(freeAt -> freeAt.compareTo(now) <= 0);
    }
}
