package wingroad.driver;

import wingroad.protocol.ClientMessageEncoder;

import java.time.Duration;

/**
 * The end of a client connection that has been decided and waits until all commands that were read
 * are answered. What has been received, but not been handled yet, is looked at first: it may bring
 * the command that an idle connection was waiting for.
 */
final class ConnectionEnding {
    /**
     * How long a connection has to be quiet before it ends at a stop: a client that has just got an
     * answer may send its next command at once, which would cross the end.
     */
    private static final Duration QUIET_TIME = Duration.ofMillis(10);

    /** How long this is waited for; then the first moment with nothing unanswered will do. */
    private static final Duration MAX_QUIET_WAIT = Duration.ofMillis(30);

    /** The connection that is to end. */
    interface Subject {
        /** Whether the reason to end has outlasted what was received meanwhile. */
        boolean isStillDue(ConnectionEnd reason);

        /** Whether all commands that were read are answered, and all answers are written. */
        boolean isDrained(ConnectionEnd reason);

        /** When it last sent an answer, or made progress in writing one. */
        Duration lastProgressAt();

        /** Shuts down the output behind the last message, which may be null. */
        void finish(ConnectionEnd reason, ClientMessageEncoder lastMessage);

        void close(ConnectionEnd reason);
    }

    private final ClientFrontend frontend;
    private final Subject subject;

    /** Null if the connection does not end. */
    private ConnectionEnd reason;

    private Duration decidedAt;

    /** Sent behind all answers; may be null. */
    private ClientMessageEncoder lastMessage;

    private boolean checkScheduled;

    /** The connection's descriptor counts as free, since it is about to be closed. */
    private boolean releasingDescriptor;

    ConnectionEnding(ClientFrontend frontend, Subject subject) {
        this.frontend = frontend;
        this.subject = subject;
    }

    /**
     * Decides the end; a later decision replaces an earlier one, unless that declines commands.
     *
     * @param messageAtEnd sent behind all answers, or null
     */
    void decide(ConnectionEnd newReason, ClientMessageEncoder messageAtEnd) {
        if (declinesCommands()) {
            return;
        }
        if (newReason != ConnectionEnd.DESCRIPTORS) {
            stopReleasingDescriptor();
        }
        if (reason != newReason) {
            decidedAt = frontend.now();
        }
        reason = newReason;
        lastMessage = messageAtEnd;
        scheduleCheck();
    }

    /** Decides the end for the connection's descriptor, which counts as free from now on. */
    void releaseDescriptor() {
        if (!releasingDescriptor) {
            releasingDescriptor = true;
            frontend.addClosingChannels(1);
        }
        decide(ConnectionEnd.DESCRIPTORS, null);
        scheduleCheck();
    }

    boolean releasesDescriptor() {
        return releasingDescriptor;
    }

    boolean isDecided() {
        return reason != null;
    }

    /** Whether commands are declined at once, for the reason of the end. */
    boolean declinesCommands() {
        return reason != null && reason.declinesCommands();
    }

    /** Looks again, once what has been received is delivered, whether the connection can end. */
    void scheduleCheck() {
        if (reason != null && !checkScheduled) {
            checkScheduled = true;
            frontend.afterPendingReads(this::check);
        }
    }

    private void check() {
        checkScheduled = false;
        stopReleasingDescriptor();
        if (reason == null) {
            return;
        }
        if (!subject.isStillDue(reason)) {
            reason = null;
        } else if (reason == ConnectionEnd.DESCRIPTORS) {
            subject.close(reason);
        } else if (subject.isDrained(reason)) {
            Duration quietWait = remainingQuietWait();
            if (quietWait.isZero()) {
                subject.finish(reason, lastMessage);
            } else {
                checkScheduled = true;
                frontend.after(quietWait, () -> frontend.afterPendingReads(this::check));
            }
        }
    }

    private Duration remainingQuietWait() {
        Duration now = frontend.now();
        Duration quietAt = subject.lastProgressAt().plus(QUIET_TIME);
        boolean mustWait =
                reason == ConnectionEnd.STOP
                        && now.compareTo(quietAt) < 0
                        && now.compareTo(decidedAt.plus(MAX_QUIET_WAIT)) < 0;
        return mustWait ? quietAt.minus(now) : Duration.ZERO;
    }

    /** Ends the connection now, for the decided reason or, if there is none, for this one. */
    void finishNow(ConnectionEnd otherwise) {
        subject.finish(reason == null ? otherwise : reason, lastMessage);
    }

    /** The connection has ended: nothing remains to be done. */
    void clear() {
        reason = null;
        lastMessage = null;
        stopReleasingDescriptor();
    }

    private void stopReleasingDescriptor() {
        if (releasingDescriptor) {
            releasingDescriptor = false;
            frontend.addClosingChannels(-1);
        }
    }
}
