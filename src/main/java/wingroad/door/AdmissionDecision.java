package wingroad.door;

import java.time.Duration;

/**
 * A decision for the host to carry out.
 *
 * @param admitted whether the txn is passed to the decision module; it is declined otherwise
 * @param retryAfter time after which the client should retry; null for an admitted txn and where
 *     clients are not told a time
 */
public record AdmissionDecision(QueuedTxn queuedTxn, boolean admitted, Duration retryAfter) {}
