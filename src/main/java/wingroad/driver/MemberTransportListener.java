package wingroad.driver;

import java.time.Duration;
import wingroad.driver.TxnDispatcher.MemberRequest;
import wingroad.state.Submission.End;

/** What the member side tells of the errands that it was given, and what it asks for. */
interface MemberTransportListener {
    /** A submission has ended; {@code row} is what the client gets where it is committed. */
    void submissionEnded(
            MemberRequest request,
            End end,
            Duration elapsed,
            TxnDispatcher.MemberStatus status,
            byte[] row);

    /** A probe has ended; {@code report} is null where it found nothing. */
    void probeEnded(
            long member, boolean answered, Duration elapsed, TxnDispatcher.MemberReport report);

    /** Whether a request that waited for its connection is still to be sent. */
    boolean mayDispatch(MemberRequest request);

    /** Asks for a connection to be closed elsewhere; false where there is none to close. */
    boolean closeIdleClient();

    /** A member that was asked for the plan of work's sake has answered, or not. */
    void roleProbeEnded(long member, boolean answered, TxnDispatcher.MemberReport report);
}
