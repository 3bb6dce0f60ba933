package wingroad.state;

import java.time.Duration;
import java.util.LinkedHashSet;

/** State of one group member as one driver knows it. */
public final class Member {
    /** Role that a member reported. */
    public enum Role {
        UNKNOWN,
        PRIMARY,
        REPLICA
    }

    public final long id;
    public Group group;
    public int zone;

    /** Number of its hardware class. */
    public int hostClass;

    /** Whether the member list names it as not gone. */
    public boolean listed;

    /** When this driver learned that it is draining or gone, or null. */
    public Duration stopLearnedAt;

    public boolean gone;

    /** Whether the list has ever shown it as draining. */
    public boolean drainSeen;

    /** When it last started, or null for long ago or unknown. */
    public Duration startedAt;

    /** Time for which its role was last proven, or null. */
    public Duration roleProvenAt;

    /**
     * When it last reported to be a replica, or null if it has not done so since it last claimed to
     * be the primary.
     */
    public Duration replicaReportedAt;

    /**
     * Proven lower bound of its log position, as a time since the start of the instance; or null.
     */
    public Duration position;

    /** Its lag when the position was last reported, or null. */
    public Duration lag;

    public Duration positionReportedAt;

    /** Its lag at the previous answer for which a response time was recorded. */
    public Duration previousLag = Duration.ZERO;

    /** Submissions without an outcome, in the order in which they were sent. */
    public final LinkedHashSet<Submission> outstanding = new LinkedHashSet<>();

    /** Its last answer to a submission, or when it got work after it had none. */
    public Duration lastProgressAt = Duration.ZERO;

    /** Whether it is not answering its outstanding submissions. */
    public boolean unresponsive;

    /** Submissions that this driver may have outstanding there; adapted to response times. */
    public double concurrencyLimit;

    /** Recent answers for which a response time was recorded. */
    public final DecayingSum answerCount;

    /** Sum of their response times, each as a ratio of its target. */
    public final DecayingSum slownessSum;

    /**
     * Work that may be sent while it is in its warm-up, has a low limit or is overloaded, in
     * milliseconds of baseline response time.
     */
    public double creditMs;

    /** When the credit was last refilled, or null if not since the member started. */
    public Duration creditUpdatedAt;

    public int consecutiveFailures;

    /** No new work is sent before this time. */
    public Duration backoffUntil = Duration.ZERO;

    /** Since when it has been unreachable, or null. */
    public Duration unreachableSince;

    /** Txns that waited there by its last report. */
    public double queueLength;

    /** When the queue length was last reported, or null. */
    public Duration queueReportedAt;

    /** Whether a submission has ended there since the last pass over its group. */
    public boolean endedSinceLastPass;

    public boolean probeInFlight;

    /** When the last probe was sent, or null. */
    public Duration lastProbeAt;

    /**
     * Creates a member of which nothing but its id is known.
     *
     * @param halfLife half-life of the response statistics
     */
    public Member(long id, Duration halfLife) {
        this.id = id;
        this.answerCount = new DecayingSum(halfLife);
        this.slownessSum = new DecayingSum(halfLife);
    }

    /** Its lag when the position was last reported, or zero if that is unknown. */
    public Duration lagOrZero() {
        return lag == null ? Duration.ZERO : lag;
    }
}
