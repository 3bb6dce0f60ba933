package wingroad.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** One client request that a driver has accepted, from its arrival to its final answer. */
public final class Txn {
    public final String id;
    public final TxnType type;
    public final Group group;
    public final Duration arrivedAt;
    public Duration expiresAt;

    /** Until when an answer has its full value, as far as is known. */
    public Duration slaDeadline;

    /** The client says that it has asked before. */
    public final boolean retry;

    /** The session, or -1. */
    public final long session;

    /** The position that the session has written up to, or null. */
    public Duration requiredPosition;

    public final List<Submission> submissions = new ArrayList<>(2);
    public boolean answered;

    /** True while it waits at the router for a member. */
    public boolean held;

    /**
     * Whether it is of the part of reads without a fit replica that may spill; null: not asked yet.
     */
    public Boolean maySpillToPrimary;

    public Txn(
            String id,
            TxnType type,
            Group group,
            Duration arrivedAt,
            Duration expiresAt,
            long session,
            boolean retry) {
        this.id = id;
        this.type = type;
        this.group = group;
        this.arrivedAt = arrivedAt;
        this.slaDeadline = arrivedAt.plus(type.slaTime());
        this.expiresAt = expiresAt;
        this.session = session;
        this.retry = retry;
    }

    public int outstandingCount() {
        int n = 0;
        for (Submission s : submissions) {
            if (s.isOutstanding()) {
                n++;
            }
        }
        return n;
    }

    public boolean mayHaveRun() {
        for (Submission s : submissions) {
            if (s.mayHaveRun()) {
                return true;
            }
        }
        return false;
    }

    /** When the earliest submission that may have run was sent, or null. */
    public Duration earliestPossibleRunAt() {
        for (Submission s : submissions) {
            if (s.mayHaveRun()) {
                return s.sentAt;
            }
        }
        return null;
    }
}
