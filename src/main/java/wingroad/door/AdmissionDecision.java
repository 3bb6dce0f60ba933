package wingroad.door;

import java.time.Duration;

/** One thing for the host to do: let the txn in, or decline it; {@code comeBack} may be null. */
public record AdmissionDecision(QueuedTxn queued, boolean letIn, Duration comeBack) {}
