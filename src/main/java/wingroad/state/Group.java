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
    public Duration searchSince;
    public int searchRounds;
    public Duration nextProbe;

    /** Probe at the fast rate until then. */
    public Duration watchUntil = Duration.ZERO;

    /** Txns that wait for a member, in the order in which they came. */
    public final ArrayDeque<Txn> writes = new ArrayDeque<>();

    public final ArrayDeque<Txn> reads = new ArrayDeque<>();

    /** The part of the reads without a fit replica that may go to the primary. */
    public double spillShare;

    /** The time for which the newest claim to be primary was proven. */
    public Duration claimAt;

    /** When this group asked to be looked at again, or null. */
    public Duration wakeAsked;

    public boolean dirty;

    public Group(int id, double spillShare) {
        this.id = id;
        this.spillShare = spillShare;
    }
}
