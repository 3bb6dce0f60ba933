package wingroad.driver;

import wingroad.state.Submission.Outcome;

/**
 * How far a submission had come when its connection was lost or abandoned. This decides whether the
 * member may have executed it.
 */
enum AttemptProgress {
    NOT_CONNECTED,
    PARTLY_WRITTEN,
    WRITTEN,
    ANSWERING;

    /** The outcome of a submission whose connection was refused, timed out or was lost. */
    Outcome outcomeIfLost() {
        return mayHaveRun() ? Outcome.RESET : Outcome.UNREACHABLE;
    }

    /** The outcome of a submission whose deadline has passed. */
    Outcome outcomeIfTimedOut() {
        return this == NOT_CONNECTED ? Outcome.UNREACHABLE : Outcome.TIMED_OUT;
    }

    /** The outcome of a cancelled submission. A write that was sent may still be committed. */
    Outcome outcomeIfCancelled() {
        return this == NOT_CONNECTED ? Outcome.MOOT : Outcome.CANCELLED;
    }

    private boolean mayHaveRun() {
        return this == WRITTEN || this == ANSWERING;
    }
}
