package wingroad.duty;

import java.time.Duration;

/**
 * Whether a driver asks discovery itself or goes by what the owner of that duty hands on. It goes
 * by the owner only while that one is heard often, under an epoch that is not below any seen, and
 * is not contradicted by what it finds in a slow call of its own. Asking itself is always safe; it
 * only costs more.
 */
public final class RelayHealth {
    private final Duration silentAfter;
    private final Duration staleAfter;
    private final Duration checkEvery;
    private long epoch;
    private long heard = -1;
    private Duration heardAt;
    private long held;

    /** Since when something newer is held than the owner tells, or null. */
    private Duration aheadSince;

    private Duration checkedAt = Duration.ZERO;

    /**
     * @param silentAfter an owner that is not heard for so long is not gone by any more
     * @param staleAfter so long may it tell of something older than what is held
     * @param checkEvery how often discovery is asked all the same
     */
    public RelayHealth(Duration silentAfter, Duration staleAfter, Duration checkEvery) {
        this.silentAfter = silentAfter;
        this.staleAfter = staleAfter;
        this.checkEvery = checkEvery;
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
            long underEpoch,
            long since,
            long revision,
            boolean whole,
            boolean withNews,
            Duration now) {
        if (underEpoch < epoch) {
            return Action.IGNORE;
        }
        if (underEpoch > epoch) {
            epoch = underEpoch;
            heard = -1;
        }
        heardAt = now;
        heard = Math.max(heard, revision);
        if (heard >= held) {
            aheadSince = null;
        } else if (aheadSince == null) {
            aheadSince = now;
        }
        if (revision <= held) {
            return Action.IGNORE;
        }
        if (withNews && (whole || since <= held)) {
            held = revision;
            return Action.APPLY;
        }
        return Action.FETCH;
    }

    /** The driver has found this revision by itself. */
    public void onDirectFetch(long revision, Duration now) {
        checkedAt = now;
        held = Math.max(held, revision);
        if (held > heard && aheadSince == null) {
            aheadSince = now;
        }
    }

    /** Whether the owner is gone by. */
    public boolean trustsOwner(Duration now) {
        return heardAt != null
                && now.minus(heardAt).compareTo(silentAfter) < 0
                && (aheadSince == null || now.minus(aheadSince).compareTo(staleAfter) < 0);
    }

    /** Whether the slow call is due. */
    public boolean isCheckDue(Duration now) {
        return now.minus(checkedAt).compareTo(checkEvery) >= 0;
    }

    /** The slow call goes out. */
    public void onCheckStarted(Duration now) {
        checkedAt = now;
    }
}
