package wingroad.state;

import java.time.Duration;
import java.util.LinkedHashSet;

/** What one driver knows of one member of a group. */
public final class Member {
    /** What a member said of its role. */
    public enum Role {
        UNKNOWN,
        PRIMARY,
        REPLICA
    }

    public final long id;
    public Group group;
    public int zone;
    public int kind;
    public boolean listed;

    /** When this driver learned that it drains or is gone, or null. */
    public Duration stopTold;

    public boolean gone;
    public boolean seenDraining;

    /** When it last started, or null for long ago or unknown. */
    public Duration startedAt;

    /** The time for which its role was last proven. */
    public Duration roleAt;

    /**
     * When it said that it is a replica, or null: it has not since it last claimed to be the
     * primary.
     */
    public Duration replicaAt;

    /** Proven lower bound of its log position, or null. */
    public Duration position;

    /** How far behind it was when that position was heard, and when. */
    public Duration behind;

    public Duration positionHeard;

    /** How far behind it was when it was last measured. */
    public Duration behindBefore = Duration.ZERO;

    public final LinkedHashSet<Submission> out = new LinkedHashSet<>();

    /** The last sign of life on the txn path, or when it got its first outstanding work. */
    public Duration quietSince = Duration.ZERO;

    /** Mode: silent on work that it holds. */
    public boolean silent;

    public double limit;

    /** Decaying answers and their summed slowness (took as a ratio of the target). */
    public final DecayingSum answers;

    public final DecayingSum slowness;

    /**
     * Work saved up for it while it gets little, in calm answer times, and when; null since a
     * start.
     */
    public double credit;

    public Duration creditAt;
    public int failures;
    public Duration shunnedUntil = Duration.ZERO;

    /** Since when it has been out of reach, or null. */
    public Duration lostSince;

    /** How many txns waited there by its newest report, and when that was heard, or null. */
    public double waiting;

    public Duration waitingAt;

    /** A submission has ended there since its group was last looked at. */
    public boolean ended;

    public boolean probeOut;
    public Duration probedAt;

    public Member(long id, Duration memory) {
        this.id = id;
        this.answers = new DecayingSum(memory);
        this.slowness = new DecayingSum(memory);
    }
}
