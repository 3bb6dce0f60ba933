package wingroad.driver;

import wingroad.state.Submission.End;

/**
 * How far a submission had come when its connection was lost or abandoned. This decides whether the
 * member may have executed it.
 */
enum AttemptProgress {
    NOT_CONNECTED,
    PARTLY_WRITTEN,
    WRITTEN,
    ANSWERING;

    /** The end of a submission whose connection was refused, timed out or was lost. */
    End endIfLost() {
        return mayHaveRun() ? End.RESET : End.UNREACHABLE;
    }

    /** The end of a submission whose deadline has passed. */
    End endIfTimedOut() {
        return this == NOT_CONNECTED ? End.UNREACHABLE : End.TIMED_OUT;
    }

    /** The end of a cancelled submission. A write that was sent may still be committed. */
    End endIfCancelled() {
        return this == NOT_CONNECTED ? End.MOOT : End.CANCELLED;
    }

    private boolean mayHaveRun() {
        return this == WRITTEN || this == ANSWERING;
    }
}
