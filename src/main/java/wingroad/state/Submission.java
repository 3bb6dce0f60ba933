package wingroad.state;

import java.time.Duration;

/** One attempt to run a txn at a member. */
public final class Submission {
    /** How a submission ended. */
    public enum Outcome {
        COMMITTED,

        /** The member answered with an error. */
        ERROR,

        /** The member rejected it because it takes no more work. */
        FULL,

        TIMED_OUT,

        /** No connection could be opened, or it was lost before sending. */
        UNREACHABLE,

        /** The connection was lost after sending. */
        RESET,

        CANCELLED,

        /** It was not sent, since it was no longer needed or allowed. */
        MOOT,

        /** The member is not the primary, or its data is not fresh enough. */
        MISSED;

        /** Whether the outcome proves that nothing ran at the member. */
        public boolean neverRan() {
            return this == FULL || this == UNREACHABLE || this == MOOT || this == MISSED;
        }
    }

    public final Txn txn;

    /** Position among the submissions of the txn, from 0. */
    public final int number;

    public final Member member;
    public final Duration sentAt;
    public boolean cancelRequested;

    /** Null while the submission is outstanding. */
    public Outcome outcome;

    public Submission(Txn txn, int number, Member member, Duration sentAt) {
        this.txn = txn;
        this.number = number;
        this.member = member;
        this.sentAt = sentAt;
    }

    public boolean isOutstanding() {
        return outcome == null;
    }

    /** Whether the member may have run the txn, or may still run it. */
    public boolean mayHaveRun() {
        return outcome == null || !outcome.neverRan();
    }
}
