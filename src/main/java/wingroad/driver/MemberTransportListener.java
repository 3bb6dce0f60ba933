package wingroad.driver;

import wingroad.driver.TxnDispatcher.MemberRequest;
import wingroad.state.Submission.Outcome;

import java.time.Duration;

/** Receives the outcome of requests to members; the transport also consults it. */
interface MemberTransportListener {
    /**
     * A submission has ended.
     *
     * @param elapsed the time since the request was assigned to a connection
     * @param row the messages for the client if the txn is committed, else null
     */
    void submissionEnded(
            MemberRequest request,
            Outcome outcome,
            Duration elapsed,
            TxnDispatcher.MemberStatus status,
            byte[] row);

    /**
     * A probe has ended.
     *
     * @param answered the member responded with its gauges
     * @param report null if there was none
     */
    void probeEnded(
            long member, boolean answered, Duration elapsed, TxnDispatcher.MemberReport report);

    /** Whether a request that waited for a connection should still be sent. */
    boolean mayDispatch(MemberRequest request);

    /** Frees a descriptor by closing an idle client connection; returns false if there is none. */
    boolean closeIdleClient();

    /** A probe of a member's role, made for maintenance work, has ended. */
    void roleProbeEnded(long member, boolean answered, TxnDispatcher.MemberReport report);
}
