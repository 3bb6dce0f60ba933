package wingroad.routing;

import wingroad.state.Member;
import wingroad.state.Submission;

import java.time.Duration;

/**
 * What a host (a protocol's front, or a simulator's adapter) says to the module, and how it gets
 * decisions.
 *
 * <p>All times are spans since the instance's start; {@code now} never goes back. The input calls
 * only update what is known. After any of them, and at {@link #wakeAt()}, the host calls {@link
 * #next} until it returns null and carries out each decision in turn.
 */
public interface Router {
    /** A member list begins; {@code whole}: what is not named in it is gone. */
    void memberListStarted(Duration now, boolean whole);

    /** One entry of the list that has begun. {@code startedAt} is null for long ago. */
    void memberListed(
            Duration now,
            long member,
            int group,
            int zone,
            int kind,
            double weight,
            boolean primary,
            boolean draining,
            boolean gone,
            Duration startedAt);

    /** The list that has begun is complete. */
    void memberListEnded(Duration now);

    /**
     * Whether the member is still thought of; one that is gone and has no work out is let go when a
     * list ends.
     */
    boolean knowsMember(long member);

    /** A call for the list failed; the one held stays. */
    void memberListFailed(Duration now);

    /**
     * A client's txn was accepted; one final answer is owed within {@code left}.
     *
     * @param session the client's session, or -1
     * @param sinceWrite how long ago the session's last write was committed, or null
     * @param retry the client is known to have asked before
     * @param waited how long it has waited at the host's door; what the client gave was {@code
     *     left} and this
     */
    void txnArrived(
            Duration now,
            String txn,
            int type,
            int group,
            Duration left,
            long session,
            Duration sinceWrite,
            boolean retry,
            Duration waited);

    /**
     * A submission has ended.
     *
     * @param over the txn has its final answer
     * @param role what the answer says of the member's role
     * @param position the log position in the answer (for a committed write its commit time), or
     *     null
     */
    void submissionEnded(
            Duration now,
            String txn,
            int submission,
            long member,
            Submission.Outcome end,
            Duration took,
            boolean over,
            Member.Role role,
            Duration position);

    /** A member's own report came with an answer or a probe; figures not in it are NaN. */
    void memberReported(
            Duration now,
            long member,
            Member.Role role,
            Duration position,
            double held,
            double waiting,
            double busy);

    /** A probe has ended; what it found was given to {@link #memberReported} before. */
    void probeEnded(Duration now, long member, boolean answered, Duration took);

    /**
     * Asked by a host for which time passes between the decision to submit and the sending, because
     * a connection has to be opened: whether the submission is still to be sent. If not, it ends as
     * never sent.
     */
    boolean mayStillSend(Duration now, String txn, long member);

    /**
     * The host ends: all that is open has its final answer by then, whatever its client would wait
     * for.
     */
    void answerAllBy(Duration now, Duration by);

    /** The client has left; no answer is owed. */
    void txnAbandoned(Duration now, String txn);

    /** The next decision, or null when there is none for now. */
    Decision nextDecision(Duration now);

    /** When to call {@link #nextDecision} again even if nothing comes in, or null. */
    Duration wakeAt();
}
