package wingroad.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A primary and its replicas as one driver knows them, and the txns that it holds for them. */
public final class Group {
    public final int id;
    public final List<Member> members = new ArrayList<>();

    /** The primary on record, also during a writer search; null if none is known yet. */
    public Member primary;

    /** Whether a writer search is running; the next fields belong to the last one. */
    public boolean searching;

    public Duration searchStartedAt;

    /** Probe rounds sent in the search. */
    public int searchRounds;

    public Duration nextSearchProbeAt;

    /** The primary is probed at the fast rate until then. */
    public Duration fastProbeUntil = Duration.ZERO;

    /** Txns that wait for the primary, in order of arrival. */
    public final HeldTxns heldWrites = new HeldTxns();

    /** Txns that wait for any suitable member, in order of arrival. */
    public final HeldTxns heldReads = new HeldTxns();

    /** Share of the reads without a fresh replica that may go to the primary, from 0 to 1. */
    public double spillShare;

    /** Time for which the newest claim of a member to be the primary was proven, or null. */
    public Duration primaryClaimAt;

    /** When the next pass over this group is scheduled, or null. */
    public Duration nextPassAt;

    /** Whether the group is queued for a pass because something has changed. */
    public boolean dirty;

    public Group(int id, double spillShare) {
        this.id = id;
        this.spillShare = spillShare;
    }
}
