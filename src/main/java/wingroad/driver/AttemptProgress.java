package wingroad.driver;

import wingroad.state.Submission.End;

/**
 * How far an attempt had come when its connection was lost or given up: that tells whether it may
 * have run.
 */
enum AttemptProgress {
    NOT_CONNECTED,
    PARTLY_WRITTEN,
    WRITTEN,
    ANSWERING;

    /** The end of an attempt whose connection was refused, never came up, or broke. */
    End endIfLost() {
        return mayHaveRun() ? End.RESET : End.UNREACHABLE;
    }

    /** The end of an attempt that is not waited for any longer. */
    End endIfTimedOut() {
        return this == NOT_CONNECTED ? End.UNREACHABLE : End.TIMED_OUT;
    }

    /** The end of an attempt that is called off. A write that is out may still go through. */
    End endIfCancelled() {
        return this == NOT_CONNECTED ? End.MOOT : End.CANCELLED;
    }

    private boolean mayHaveRun() {
        return this == WRITTEN || this == ANSWERING;
    }
}
