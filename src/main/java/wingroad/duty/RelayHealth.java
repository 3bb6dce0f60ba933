package wingroad.duty;

import java.time.Duration;

/**
 * Whether a driver asks discovery itself or goes by what the owner of that duty hands on. It goes
 * by the owner only while that one is heard often, under an epoch that is not below any seen, and
 * is not contradicted by what it finds in a slow call of its own. Asking itself is always safe; it
 * only costs more.
 */
public final class RelayHealth {
    private final Duration ownerTimeout;
    private final Duration staleTimeout;
    private final Duration checkInterval;
    private long ownerEpoch;
    private long announcedRevision = -1;
    private Duration lastHeardAt;
    private long localRevision;

    /** Since when something newer is held than the owner tells, or null. */
    private Duration aheadSince;

    private Duration lastCheckAt = Duration.ZERO;

    /**
     * @param ownerTimeout an owner that is not heard for so long is not gone by any more
     * @param staleTimeout so long may it tell of something older than what is held
     * @param checkInterval how often discovery is asked all the same
     */
    public RelayHealth(Duration ownerTimeout, Duration staleTimeout, Duration checkInterval) {
        this.ownerTimeout = ownerTimeout;
        this.staleTimeout = staleTimeout;
        this.checkInterval = checkInterval;
    }

    /** What is to be done with what the owner has handed on. */
    public enum Action {
        /** It is of an older epoch or an older revision: nothing. */
        IGNORE,
        /** It goes on from what is held. */
        APPLY,
        /** What lies between is missing: discovery is to be asked. */
        FETCH
    }

    /**
     * The owner under this epoch tells that the newest is this revision, with what is new since
     * another one.
     */
    public Action onOwnerUpdate(
            long epoch,
            long baseRevision,
            long revision,
            boolean complete,
            boolean hasChanges,
            Duration now) {
        if (epoch < ownerEpoch) {
            return Action.IGNORE;
        }
        if (epoch > ownerEpoch) {
            ownerEpoch = epoch;
            announcedRevision = -1;
        }
        lastHeardAt = now;
        announcedRevision = Math.max(announcedRevision, revision);
        if (announcedRevision >= localRevision) {
            aheadSince = null;
        } else if (aheadSince == null) {
            aheadSince = now;
        }
        if (revision <= localRevision) {
            return Action.IGNORE;
        }
        if (hasChanges && (complete || baseRevision <= localRevision)) {
            localRevision = revision;
            return Action.APPLY;
        }
        return Action.FETCH;
    }

    /** The driver has found this revision by itself. */
    public void onDirectFetch(long revision, Duration now) {
        lastCheckAt = now;
        localRevision = Math.max(localRevision, revision);
        if (localRevision > announcedRevision && aheadSince == null) {
            aheadSince = now;
        }
    }

    /** Whether the owner is gone by. */
    public boolean trustsOwner(Duration now) {
        return lastHeardAt != null
                && now.minus(lastHeardAt).compareTo(ownerTimeout) < 0
                && (aheadSince == null || now.minus(aheadSince).compareTo(staleTimeout) < 0);
    }

    /** Whether the slow call is due. */
    public boolean isCheckDue(Duration now) {
        return now.minus(lastCheckAt).compareTo(checkInterval) >= 0;
    }

    /** The slow call goes out. */
    public void onCheckStarted(Duration now) {
        lastCheckAt = now;
    }
}
