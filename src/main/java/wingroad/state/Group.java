package wingroad.state;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** One primary and its replicas: their roles, and the txns that wait for them at this driver. */
public final class Group {
    public final int id;
    public final List<Member> members = new ArrayList<>();
    public Member primary;
    public boolean searching;
    public Duration searchStartedAt;
    public int searchRounds;
    public Duration nextSearchProbeAt;

    /** Probe at the fast rate until then. */
    public Duration fastProbeUntil = Duration.ZERO;

    /** Txns that wait for a member, in the order in which they came. */
    public final ArrayDeque<Txn> heldWrites = new ArrayDeque<>();

    public final ArrayDeque<Txn> heldReads = new ArrayDeque<>();

    /** The part of the reads without a fit replica that may go to the primary. */
    public double spillShare;

    /** The time for which the newest claim to be primary was proven. */
    public Duration primaryClaimAt;

    /** When this group asked to be looked at again, or null. */
    public Duration nextPassAt;

    public boolean dirty;

    public Group(int id, double spillShare) {
        this.id = id;
        this.spillShare = spillShare;
    }
}
