package wingroad.routing;

import wingroad.state.Member;
import wingroad.state.Submission;

import java.time.Duration;

/**
 * Interface between the routing decisions and their host, which is the driver's protocol front end
 * or the simulator's adapter.
 *
 * <p>All times are durations since the start of the instance; {@code now} never decreases. The
 * input methods only update the router's state. After any of them, and at {@link #wakeAt()}, the
 * host calls {@link #nextDecision} until it returns null and carries out the decisions in that
 * order.
 */
public interface Router {
    /**
     * A member list begins.
     *
     * @param complete whether members that the list does not name are gone
     */
    void memberListStarted(Duration now, boolean complete);

    /**
     * One entry of the list that has begun.
     *
     * @param hostClass number of the member's hardware class
     * @param startedAt when the member started, or null if that was long ago
     */
    void memberListed(
            Duration now,
            long memberId,
            int groupId,
            int zone,
            int hostClass,
            double weight,
            boolean primary,
            boolean draining,
            boolean gone,
            Duration startedAt);

    /** The list that has begun is complete. */
    void memberListEnded(Duration now);

    /**
     * Whether the router tracks the member. One that is gone and has no work outstanding is
     * forgotten at the end of a member list.
     */
    boolean knowsMember(long memberId);

    /** A request for the member list failed; the present list stays valid. */
    void memberListFailed(Duration now);

    /**
     * A client's txn was accepted; it gets one final answer within {@code timeLeft}.
     *
     * @param session the client's session, or -1 if it has none
     * @param sinceLastWrite how long ago the session's last write was committed, or null
     * @param retry whether the client marked the txn as a retry
     * @param queuedTime how long the txn was queued by the host; the client's time limit was {@code
     *     timeLeft} plus this
     */
    void txnArrived(
            Duration now,
            String txnId,
            int typeIndex,
            int groupId,
            Duration timeLeft,
            long session,
            Duration sinceLastWrite,
            boolean retry,
            Duration queuedTime);

    /**
     * A submission has ended.
     *
     * @param duration time from sending to the end
     * @param isFinal whether the txn has its final answer with this
     * @param role the member's role according to the answer
     * @param position the log position in the answer (for a committed write its commit time), or
     *     null
     */
    void submissionEnded(
            Duration now,
            String txnId,
            int submissionNumber,
            long memberId,
            Submission.Outcome outcome,
            Duration duration,
            boolean isFinal,
            Member.Role role,
            Duration position);

    /**
     * A member reported its state with an answer or a probe. Numbers that it did not report are
     * NaN.
     *
     * @param position the member's log position, or null
     * @param activeCount submissions that the member is working on
     * @param queueLength txns that wait at the member
     * @param utilization busy share of the member's capacity
     */
    void memberReported(
            Duration now,
            long memberId,
            Member.Role role,
            Duration position,
            double activeCount,
            double queueLength,
            double utilization);

    /** A probe has ended; its result was passed to {@link #memberReported} before. */
    void probeEnded(Duration now, long memberId, boolean answered, Duration duration);

    /**
     * Whether a submission that was decided earlier is still to be sent. Asked by a host that had
     * to open a connection in between; if false, the submission ends without having been sent.
     */
    boolean mayStillSend(Duration now, String txnId, long memberId);

    /**
     * The host shuts down: every open txn gets its final answer by the deadline, even if its client
     * would wait longer.
     */
    void answerAllBy(Duration now, Duration deadline);

    /** The client has disconnected; the txn needs no answer any more. */
    void txnAbandoned(Duration now, String txnId);

    /** Returns the next decision, or null if there is none at present. */
    Decision nextDecision(Duration now);

    /** When to call {@link #nextDecision} again even without input, or null if never. */
    Duration wakeAt();
}
