package wingroad.driver;

import static wingroad.state.Durations.min;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/**
 * When a planned stop takes which step, so that all that clients have sent is answered before the
 * process may be killed. No I/O; the clock is passed in.
 */
final class StopSchedule {
    /** The steps, in their usual order. */
    enum Step {
        /** No more clients are accepted. */
        CLOSE_LISTENER,
        /** Connections end once they are between two txns. */
        BEGIN_CLOSING,
        /** All txns are answered, further commands are declined, and all connections end. */
        DECLINE_COMMANDS,
        /** The output of all connections is shut down, whatever else they have sent. */
        SHUT_DOWN_OUTPUT,
        EXIT
    }

    /**
     * What the process has left to do.
     *
     * @param backlogEmpty no client waits to be accepted
     * @param idle no connection has anything to be answered, written or read
     * @param connections how many clients are connected
     * @param openTxns how many txns have no answer
     * @param leavingFleet the fleet has not confirmed yet that this driver has left
     */
    record Remaining(
            boolean backlogEmpty,
            boolean idle,
            int connections,
            int openTxns,
            boolean leavingFleet) {}

    /** How long new clients are accepted after the signal to stop; they may come for most of it. */
    private static final Duration ACCEPT_AFTER_STOP = Duration.ofMillis(700);

    /**
     * The longest expiry that counts towards the time until the process is killed: it is killed no
     * earlier than the longest expiry, capped at this, plus {@link #ACCEPT_AFTER_STOP} after the
     * signal to stop. Connected clients are served for that expiry and half of {@link
     * #ACCEPT_AFTER_STOP}, since they may have no other driver to go to, as in a rolling restart of
     * the drivers. The other half is left to the txns that are open then.
     */
    private static final Duration MAX_COUNTED_EXPIRY = Duration.ofSeconds(3);

    /** How long before the earliest kill the process exits. */
    private static final Duration KILL_MARGIN = Duration.ofMillis(50);

    /** The least time that clients have to read their answer and end their side. */
    private static final Duration CLIENT_CLOSE_TIME = Duration.ofMillis(50);

    /**
     * How long, before the output of all connections is shut down, commands that clients have sent
     * ahead are declined: those behind the txns that are answered last.
     */
    private static final Duration DECLINE_TIME = Duration.ofMillis(200);

    /** How long they are declined at least, where the process was held up and is late. */
    private static final Duration MIN_DECLINE_TIME = Duration.ofMillis(60);

    /** How long the process then stays at least once the output is shut down. */
    private static final Duration MIN_LINGER_TIME = Duration.ofMillis(20);

    private final Duration requestedAt;
    private final Duration closingAt;
    private final Duration answerDeadline;
    private final Duration shutDownAt;
    private final Duration exitAt;

    /** When each step was taken. */
    private final Map<Step, Duration> takenAt = new EnumMap<>(Step.class);

    /**
     * @param requestedAt when the signal to stop came
     * @param longestExpiry the longest time that a client of this deployment gives a txn
     */
    StopSchedule(Duration requestedAt, Duration longestExpiry) {
        this.requestedAt = requestedAt;
        Duration serveUntil = requestedAt.plus(min(longestExpiry, MAX_COUNTED_EXPIRY));
        closingAt = serveUntil.plus(ACCEPT_AFTER_STOP.dividedBy(2));
        exitAt = serveUntil.plus(ACCEPT_AFTER_STOP).minus(KILL_MARGIN);
        shutDownAt = exitAt.minus(CLIENT_CLOSE_TIME);
        answerDeadline = shutDownAt.minus(DECLINE_TIME);
    }

    /** By when all txns are answered. */
    Duration answerDeadline() {
        return answerDeadline;
    }

    Duration sinceRequest(Duration now) {
        return now.minus(requestedAt);
    }

    /** The next step that is due, which counts as taken now; null if none is. */
    Step nextStep(Duration now, Remaining remaining) {
        for (Step step : Step.values()) {
            if (!takenAt.containsKey(step) && isDue(step, now, remaining)) {
                takenAt.put(step, now);
                return step;
            }
        }
        return null;
    }

    private boolean isDue(Step step, Duration now, Remaining remaining) {
        return switch (step) {
            case CLOSE_LISTENER -> isAcceptingOver(now) && remaining.backlogEmpty();
            case BEGIN_CLOSING -> now.compareTo(closingAt) >= 0;
            case DECLINE_COMMANDS ->
                    now.compareTo(answerDeadline) >= 0 || isNothingLeft(now, remaining);
            case SHUT_DOWN_OUTPUT ->
                    now.compareTo(shutDownAt) >= 0
                            && hasLasted(Step.DECLINE_COMMANDS, MIN_DECLINE_TIME, now);
            case EXIT -> remaining.openTxns() == 0 && isExitDue(now, remaining);
        };
    }

    private boolean isAcceptingOver(Duration now) {
        return sinceRequest(now).compareTo(ACCEPT_AFTER_STOP) >= 0;
    }

    private boolean isNothingLeft(Duration now, Remaining remaining) {
        return isAcceptingOver(now)
                && takenAt.containsKey(Step.BEGIN_CLOSING)
                && remaining.openTxns() == 0
                && remaining.idle();
    }

    private boolean isExitDue(Duration now, Remaining remaining) {
        boolean allLeft =
                takenAt.containsKey(Step.DECLINE_COMMANDS)
                        && takenAt.containsKey(Step.CLOSE_LISTENER)
                        && remaining.connections() == 0
                        && !remaining.leavingFleet();
        return allLeft
                || now.compareTo(exitAt) > 0
                        && hasLasted(Step.SHUT_DOWN_OUTPUT, MIN_LINGER_TIME, now);
    }

    private boolean hasLasted(Step step, Duration time, Duration now) {
        Duration since = takenAt.get(step);
        return since != null && now.minus(since).compareTo(time) >= 0;
    }
}
