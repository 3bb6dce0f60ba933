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
    public int hostClass;
    public boolean listed;

    /** When this driver learned that it drains or is gone, or null. */
    public Duration stopLearnedAt;

    public boolean gone;
    public boolean drainSeen;

    /** When it last started, or null for long ago or unknown. */
    public Duration startedAt;

    /** The time for which its role was last proven. */
    public Duration roleProvenAt;

    /**
     * When it said that it is a replica, or null: it has not since it last claimed to be the
     * primary.
     */
    public Duration replicaReportedAt;

    /** Proven lower bound of its log position, or null. */
    public Duration position;

    /** How far behind it was when that position was heard, and when. */
    public Duration lag;

    public Duration positionReportedAt;

    /** How far behind it was when it was last measured. */
    public Duration previousLag = Duration.ZERO;

    public final LinkedHashSet<Submission> outstanding = new LinkedHashSet<>();

    /** The last sign of life on the txn path, or when it got its first outstanding work. */
    public Duration lastProgressAt = Duration.ZERO;

    /** Mode: silent on work that it holds. */
    public boolean unresponsive;

    public double concurrencyLimit;

    /** Decaying answers and their summed slowness (took as a ratio of the target). */
    public final DecayingSum answerCount;

    public final DecayingSum slownessSum;

    /**
     * Work saved up for it while it gets little, in calm answer times, and when; null since a
     * start.
     */
    public double creditMs;

    public Duration creditUpdatedAt;
    public int consecutiveFailures;
    public Duration backoffUntil = Duration.ZERO;

    /** Since when it has been out of reach, or null. */
    public Duration unreachableSince;

    /** How many txns waited there by its newest report, and when that was heard, or null. */
    public double queueLength;

    public Duration queueReportedAt;

    /** A submission has ended there since its group was last looked at. */
    public boolean endedSinceLastPass;

    public boolean probeInFlight;
    public Duration lastProbeAt;

    public Member(long id, Duration memory) {
        this.id = id;
        this.answerCount = new DecayingSum(memory);
        this.slownessSum = new DecayingSum(memory);
    }
}
