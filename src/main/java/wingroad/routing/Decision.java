package wingroad.routing;

import java.time.Duration;

/**
 * An action for the host to carry out. Components that a kind does not use are null or -1.
 *
 * @param txn id of the txn
 * @param member id of the member
 * @param submission number of the submission within its txn, from 0
 * @param deadlineOrRetryDelay for {@link Kind#SUBMIT} when the submission is given up, since the
 *     start of the instance; for {@link Kind#DECLINE} the delay after which the client is advised
 *     to retry; may be null
 */
public record Decision(
        Kind kind, String txn, long member, int submission, Duration deadlineOrRetryDelay) {

    /** The action. */
    public enum Kind {
        SUBMIT,
        DECLINE,
        ROLL_BACK,
        CANCEL,
        PROBE,
        RELEASE,
        FOLLOW_LIST,
        FETCH_LIST
    }

    /**
     * Sends the txn to the member.
     *
     * @param deadline when the submission is given up; null for when the client gives up
     */
    public static Decision submit(String txn, long member, int submission, Duration deadline) {
        return new Decision(Kind.SUBMIT, txn, member, submission, deadline);
    }

    /**
     * Final answer: a retry by the client is harmless.
     *
     * @param retryDelay advice for the client, or null
     */
    public static Decision decline(String txn, Duration retryDelay) {
        return new Decision(Kind.DECLINE, txn, -1, -1, retryDelay);
    }

    /** Final answer: the txn failed and may or may not have run. */
    public static Decision rollBack(String txn) {
        return new Decision(Kind.ROLL_BACK, txn, -1, -1, null);
    }

    /** Cancels an outstanding submission. */
    public static Decision cancel(String txn, int submission) {
        return new Decision(Kind.CANCEL, txn, -1, submission, null);
    }

    /** Asks the member for its role, position and load. */
    public static Decision probe(long member) {
        return new Decision(Kind.PROBE, null, member, -1, null);
    }

    /** Closes idle connections to the member. */
    public static Decision release(long member) {
        return new Decision(Kind.RELEASE, null, member, -1, null);
    }

    /** Subscribes to changes of the member list. */
    public static Decision followList() {
        return new Decision(Kind.FOLLOW_LIST, null, -1, -1, null);
    }

    /** Requests the whole member list once. */
    public static Decision fetchList() {
        return new Decision(Kind.FETCH_LIST, null, -1, -1, null);
    }
}
