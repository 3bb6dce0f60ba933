package wingroad.driver;

import wingroad.state.Submission.Outcome;

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
    Outcome lost() {
        return mayHaveRun() ? Outcome.RESET : Outcome.UNREACHABLE;
    }

    /** The end of an attempt that is not waited for any longer. */
    Outcome timedOut() {
        return this == NOT_CONNECTED ? Outcome.UNREACHABLE : Outcome.TIMED_OUT;
    }

    /** The end of an attempt that is called off. A write that is out may still go through. */
    Outcome calledOff() {
        return this == NOT_CONNECTED ? Outcome.MOOT : Outcome.CANCELLED;
    }

    private boolean mayHaveRun() {
        return this == WRITTEN || this == ANSWERING;
    }
}
