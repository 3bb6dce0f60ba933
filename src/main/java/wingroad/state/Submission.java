package wingroad.state;

import java.time.Duration;

/** One attempt at a txn. */
public final class Submission {
    /** How a submission ended. */
    public enum End {
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
    public boolean cancelled;
    public End end;

    public Submission(Txn txn, int number, Member member, Duration sentAt) {
        this.txn = txn;
        this.number = number;
        this.member = member;
        this.sentAt = sentAt;
    }

    public boolean out() {
        return end == null;
    }

    public boolean mayHaveRun() {
        return end == null || !end.neverRan();
    }
}
