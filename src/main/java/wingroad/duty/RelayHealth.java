package wingroad.duty;

import java.time.Duration;

/**
 * Decides whether a driver polls discovery itself or relies on the lists that the owner of the list
 * duty relays. It relies on the owner only while the owner is heard regularly, under an epoch that
 * is not below any seen, and is not contradicted by the driver's own infrequent checks. Polling is
 * always safe; it only costs more.
 */
public final class RelayHealth {
    private final Duration ownerTimeout;
    private final Duration staleTimeout;
    private final Duration checkInterval;
    private long ownerEpoch;
    private long announcedRevision = -1;
    private Duration lastHeardAt;
    private long localRevision;

    /** Since when the local revision has been newer than the owner's, or null. */
    private Duration aheadSince;

    private Duration lastCheckAt = Duration.ZERO;

    /**
     * Creates the state of a driver that has not heard an owner yet.
     *
     * @param ownerTimeout an owner that has not been heard for so long is no longer relied on
     * @param staleTimeout how long the owner may announce a revision older than the local one
     * @param checkInterval how often discovery is polled although the owner is relied on
     */
    public RelayHealth(Duration ownerTimeout, Duration staleTimeout, Duration checkInterval) {
        this.ownerTimeout = ownerTimeout;
        this.staleTimeout = staleTimeout;
        this.checkInterval = checkInterval;
    }

    /** What to do with an update from the owner. */
    public enum Action {
        /** The update is of an older epoch or not of a newer revision. */
        IGNORE,
        /** The update continues from the local revision, or is complete. */
        APPLY,
        /** Revisions in between are missing: poll discovery. */
        FETCH
    }

    /**
     * Handles an update from the owner.
     *
     * @param epoch the owner's epoch
     * @param baseRevision the revision that the changes start from
     * @param revision the owner's newest revision
     * @param complete whether the update holds the whole list rather than changes
     * @param hasChanges whether the update holds a list or changes at all
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
            return Action.APPLY;
        }
        return Action.FETCH;
    }

    /**
     * Records that an update of the owner was applied whole. Without this call the revision counts
     * as missing here.
     */
    public void onApplied(long revision) {
        localRevision = Math.max(localRevision, revision);
    }

    /** Records a revision that the driver has fetched from discovery itself. */
    public void onDirectFetch(long revision, Duration now) {
        lastCheckAt = now;
        localRevision = Math.max(localRevision, revision);
        if (localRevision > announcedRevision && aheadSince == null) {
            aheadSince = now;
        }
    }

    /** Returns whether the owner's lists are relied on. */
    public boolean trustsOwner(Duration now) {
        return lastHeardAt != null
                && now.minus(lastHeardAt).compareTo(ownerTimeout) < 0
                && (aheadSince == null || now.minus(aheadSince).compareTo(staleTimeout) < 0);
    }

    /** Returns whether the driver's own check of discovery is due. */
    public boolean isCheckDue(Duration now) {
        return now.minus(lastCheckAt).compareTo(checkInterval) >= 0;
    }

    /** Records that the driver's own check has been sent. */
    public void onCheckStarted(Duration now) {
        lastCheckAt = now;
    }
}
