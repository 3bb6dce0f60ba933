package wingroad.state;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The last write of each session, which the session's reads must see. Old sessions share one time,
 * so that memory is bounded by the sessions that wrote lately.
 */
public final class SessionWrites {
    /** Time after which a session's last write is merged with those of other old sessions. */
    private static final Duration RETENTION = Duration.ofSeconds(60);

    /** Bounds the memory; older sessions are merged at once. */
    static final int MAX_TRACKED_COUNT = 32_768;

    /** Commit time of each session's last write, least recently used first. */
    private final Map<Long, Duration> lastWriteBySession = new LinkedHashMap<>(16, 0.75f, true);

    /** Latest write of all sessions that are no longer tracked one by one, or null. */
    private Duration lastWriteOfForgottenSessions;

    /**
     * Records a committed write.
     *
     * @param commitTime its commit time; null if its answer did not tell, as where the connection
     *     was lost behind the row: the answer's arrival, which is later, counts then
     */
    public void record(long session, Duration commitTime, Duration now) {
        lastWriteBySession.merge(session, commitTime == null ? now : commitTime, Durations::max);
        forgetOldSessions(now);
    }

    /** Time up to which a read of the session must see the log, or null for any. */
    public Duration lastWrite(long session) {
        return lastWriteBySession.getOrDefault(session, lastWriteOfForgottenSessions);
    }

    private void forgetOldSessions(Duration now) {
        Iterator<Duration> iterator = lastWriteBySession.values().iterator();
        for (Duration writtenAt = iterator.next();
                mustForgetOldest(writtenAt, now) && iterator.hasNext();
                writtenAt = iterator.next()) {
            lastWriteOfForgottenSessions =
                    lastWriteOfForgottenSessions == null
                            ? writtenAt
                            : Durations.max(lastWriteOfForgottenSessions, writtenAt);
            iterator.remove();
        }
    }

    private boolean mustForgetOldest(Duration writtenAt, Duration now) {
        return now.minus(writtenAt).compareTo(RETENTION) > 0
                || lastWriteBySession.size() > MAX_TRACKED_COUNT;
    }
}
