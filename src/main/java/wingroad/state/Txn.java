package wingroad.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A client request that the driver has accepted, from its arrival to its final answer. */
public final class Txn {
    public final String id;
    public final TxnType type;
    public final Group group;
    public final Duration arrivedAt;

    /** When the client gives up. */
    public Duration expiresAt;

    /** Time until which an answer has its full value, counted from the first attempt if known. */
    public Duration slaDeadline;

    /** Whether the client marked it as a retry. */
    public final boolean retry;

    /** The client's session, or -1 if it has none. */
    public final long session;

    /** Position of the session's last write, which a read must reflect; or null. */
    public Duration requiredPosition;

    public final List<Submission> submissions = new ArrayList<>(2);

    /** Whether the final answer was given or is no longer needed. */
    public boolean answered;

    /** Whether it waits in one of its group's queues of held txns. */
    public boolean held;

    /** Checks that are scheduled for it and not due yet. */
    public int scheduledEventCount;

    /** Whether it may go to the primary if no replica is fresh enough; null if not decided yet. */
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

    /** Number of submissions without an outcome. */
    public int outstandingCount() {
        int count = 0;
        for (Submission submission : submissions) {
            if (submission.isOutstanding()) {
                count++;
            }
        }
        return count;
    }

    /** Whether any submission may have run. */
    public boolean mayHaveRun() {
        for (Submission submission : submissions) {
            if (submission.mayHaveRun()) {
                return true;
            }
        }
        return false;
    }

    /** When the first submission that may have run was sent, or null if there is none. */
    public Duration earliestPossibleRunAt() {
        for (Submission submission : submissions) {
            if (submission.mayHaveRun()) {
                return submission.sentAt;
            }
        }
        return null;
    }
}
