package wingroad.routing;

import java.time.Duration;

/** One thing for the host to do. Fields that a kind does not use are null or -1. */
public record Decision(
        Kind kind, String txn, long member, int submission, Duration deadlineOrRetryDelay) {

    /** What is to be done. */
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
     * Submit the txn to the member; give the submission up at {@code until} (null: with the
     * client).
     */
    public static Decision submit(String txn, long member, int submission, Duration until) {
        return new Decision(Kind.SUBMIT, txn, member, submission, until);
    }

    /** Final answer: nothing ran, a retry is harmless; {@code comeBack} may be null. */
    public static Decision decline(String txn, Duration comeBack) {
        return new Decision(Kind.DECLINE, txn, -1, -1, comeBack);
    }

    /** Final answer: failed, nothing promised. */
    public static Decision rollBack(String txn) {
        return new Decision(Kind.ROLL_BACK, txn, -1, -1, null);
    }

    public static Decision cancel(String txn, int submission) {
        return new Decision(Kind.CANCEL, txn, -1, submission, null);
    }

    /** Ask the member for its role, position and load. */
    public static Decision probe(long member) {
        return new Decision(Kind.PROBE, null, member, -1, null);
    }

    /** Close the connections to the member that stand idle. */
    public static Decision release(long member) {
        return new Decision(Kind.RELEASE, null, member, -1, null);
    }

    /** Subscribe to changes of the member list. */
    public static Decision followList() {
        return new Decision(Kind.FOLLOW_LIST, null, -1, -1, null);
    }

    /** Ask once for the whole member list. */
    public static Decision fetchList() {
        return new Decision(Kind.FETCH_LIST, null, -1, -1, null);
    }
}
