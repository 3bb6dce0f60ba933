package wingroad.driver;

import java.time.Duration;
import wingroad.driver.Exchange.Errand;
import wingroad.state.Submission.End;

/** What the member side tells of the errands that it was given, and what it asks for. */
interface Results {
    /** A submission has ended; {@code row} is what the client gets where it is committed. */
    void ended(Errand e, End end, Duration took, Exchange.Told told, byte[] row);

    /** A probe has ended; {@code report} is null where it found nothing. */
    void probed(long member, boolean answered, Duration took, Exchange.Report report);

    /** Whether an errand that waited for its connection is still to be sent. */
    boolean mayStillGo(Errand e);

    /** Asks for a connection to be closed elsewhere; false where there is none to close. */
    boolean makeRoom();

    /** A member that was asked for the plan of work's sake has answered, or not. */
    void sighted(long member, boolean answered, Exchange.Report report);
}
