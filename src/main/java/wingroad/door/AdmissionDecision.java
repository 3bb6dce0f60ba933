package wingroad.door;

import java.time.Duration;

/** One thing for the host to do: let the txn in, or decline it; {@code retryAfter} may be null. */
public record AdmissionDecision(QueuedTxn queuedTxn, boolean admitted, Duration retryAfter) {}
