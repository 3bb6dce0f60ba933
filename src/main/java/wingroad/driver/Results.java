package wingroad.driver;

import wingroad.driver.Exchange.MemberRequest;
import wingroad.state.Submission.Outcome;

import java.time.Duration;

/** What the member side tells of the errands that it was given, and what it asks for. */
interface Results {
    /** A submission has ended; {@code row} is what the client gets where it is committed. */
    void ended(
            MemberRequest e, Outcome end, Duration took, Exchange.MemberStatus status, byte[] row);

    /** A probe has ended; {@code report} is null where it found nothing. */
    void probed(long member, boolean answered, Duration took, Exchange.Report report);

    /** Whether a request that waited for its connection is still to be sent. */
    boolean mayStillGo(MemberRequest e);

    /** Asks for a connection to be closed elsewhere; false where there is none to close. */
    boolean makeRoom();

    /** A member that was asked for the plan of work's sake has answered, or not. */
    void roleProbed(long member, boolean answered, Exchange.Report report);
}
