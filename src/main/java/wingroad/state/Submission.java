package wingroad.state;

import java.time.Duration;

/** One attempt at a txn. */
public final class Submission {
    /** How a submission ended. */
    public enum Outcome {
        COMMITTED,
        ERROR,
        FULL,
        TIMED_OUT,
        UNREACHABLE,
        RESET,
        CANCELLED,
        MOOT,
        MISSED;

        /** True where the end proves that nothing ran. */
        public boolean neverRan() {
            return this == FULL || this == UNREACHABLE || this == MOOT || this == MISSED;
        }
    }

    public final Txn txn;
    public final int number;
    public final Member member;
    public final Duration sentAt;
    public boolean cancelRequested;
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

    public boolean mayHaveRun() {
        return outcome == null || !outcome.neverRan();
    }
}
