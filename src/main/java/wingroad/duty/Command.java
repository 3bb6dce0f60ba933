package wingroad.duty;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One entry of the replicated log. Which components are used depends on the kind; the others are
 * empty. Commands of every kind are idempotent: applying one twice has no further effect.
 *
 * @param sessionId the session that proposes the command
 * @param subject name of the duty or machine concerned, or a voter's address
 * @param epoch the epoch under which the sender owns the duty; a deadline in Unix milliseconds for
 *     {@link Kind#WORK_ASK}; a stopped level for {@link Kind#WORK_STOPPED}
 * @param number a heartbeat, run, revision or loss number, or milliseconds, depending on the kind
 * @param argument an identity, driver name, outcome, reason, operator's command or stage, depending
 *     on the kind
 * @param items duties, machines, reasons or lines, depending on the kind
 * @param heartbeats newest heartbeat number by session
 * @param requestId id by which the sender recognizes the result; the result of a repeated request
 *     is returned again. Empty if nobody waits for it
 * @param proposedAtMs wall clock of the proposer in Unix milliseconds
 */
public record Command(
        Kind kind,
        String sessionId,
        String subject,
        long epoch,
        long number,
        String argument,
        List<String> items,
        Map<String, Long> heartbeats,
        String requestId,
        long proposedAtMs) {
    /** The kinds of commands. They are written by name to messages and to the log. */
    public enum Kind {
        /** No-op with which a new leader commits the entries of earlier terms. */
        TERM,
        /**
         * Opens a session: {@code argument} is the driver's identity, {@code items} the duties that
         * it accepts.
         */
        OPEN,
        /** Renews sessions: {@code heartbeats} holds the newest heartbeat number of each. */
        BEAT,
        /** Expires a session unless it was renewed after heartbeat {@code number}. */
        EXPIRE,
        /** Closes a session at its driver's own request. */
        LEAVE,
        /** The owner releases a duty that it holds under {@code epoch}. */
        GIVE_UP,
        /**
         * Requests that a duty move to the driver named {@code argument}, or to any other if that
         * is empty.
         */
        HAND_OVER,
        /** The owner starts run {@code number} of a duty. */
        TURN,
        /** Reports the outcome of run {@code number} in {@code argument}. */
        TOLD,
        /**
         * Makes the driver {@code argument} a voter at the address {@code subject}; an empty
         * address removes it from the voters.
         */
        VOTER,
        /**
         * Maintenance: the controller under {@code epoch} sets limits and machines, as the lines in
         * {@code items}.
         */
        WORK_MACHINES,
        /**
         * Maintenance: requests the machine {@code subject} for {@code number} ms, before the Unix
         * time {@code epoch} in ms, after the machines in {@code items}; the reason is in {@code
         * argument}.
         */
        WORK_ASK,
        /** Maintenance: an operator's command {@code argument} for the machine {@code subject}. */
        WORK_WORD,
        /**
         * Maintenance: the controller's step to {@code argument} for a machine whose stage was set
         * at revision {@code number}; the reason is in {@code items}.
         */
        WORK_STEP,
        /** Maintenance: reports of drivers, one line each in {@code items}. */
        WORK_REPORTS,
        /**
         * Maintenance: the driver with the identity {@code argument}, lost as number {@code
         * number}, is known to have stopped, to the level {@code epoch}.
         */
        WORK_STOPPED
    }

    private static final Command NO_OP =
            new Command(Kind.TERM, "", "", 0, 0, "", List.of(), Map.of(), "", 0);

    public static Command noOp() {
        return NO_OP;
    }

    public static Command openSession(String sessionId, String identity, List<String> duties) {
        return new Command(
                Kind.OPEN, sessionId, "", 0, 0, identity, List.copyOf(duties), Map.of(), "", 0);
    }

    public static Command heartbeat(Map<String, Long> heartbeats) {
        return new Command(
                Kind.BEAT, "", "", 0, 0, "", List.of(), new TreeMap<>(heartbeats), "", 0);
    }

    public static Command expireSession(String sessionId, long heartbeat) {
        return new Command(
                Kind.EXPIRE, sessionId, "", 0, heartbeat, "", List.of(), Map.of(), "", 0);
    }

    public static Command leaveSession(String sessionId) {
        return new Command(Kind.LEAVE, sessionId, "", 0, 0, "", List.of(), Map.of(), "", 0);
    }

    public static Command releaseDuty(String sessionId, String duty, long epoch) {
        return new Command(Kind.GIVE_UP, sessionId, duty, epoch, 0, "", List.of(), Map.of(), "", 0);
    }

    public static Command handOver(String duty, String driverName, String requestId) {
        return new Command(
                Kind.HAND_OVER, "", duty, 0, 0, driverName, List.of(), Map.of(), requestId, 0);
    }

    public static Command startRun(String sessionId, String duty, long epoch, long run) {
        return new Command(Kind.TURN, sessionId, duty, epoch, run, "", List.of(), Map.of(), "", 0);
    }

    public static Command reportRunOutcome(
            String sessionId, String duty, long epoch, long run, String outcome) {
        return new Command(
                Kind.TOLD, sessionId, duty, epoch, run, outcome, List.of(), Map.of(), "", 0);
    }

    public static Command changeVoter(String name, String address, String requestId) {
        return new Command(Kind.VOTER, "", address, 0, 0, name, List.of(), Map.of(), requestId, 0);
    }

    public static Command setMachines(String sessionId, long epoch, List<String> lines) {
        return new Command(
                Kind.WORK_MACHINES,
                sessionId,
                "",
                epoch,
                0,
                "",
                List.copyOf(lines),
                Map.of(),
                "",
                0);
    }

    public static Command requestMaintenance(
            String machine,
            String reason,
            long durationMs,
            long deadlineMs,
            List<String> afterMachines,
            String requestId) {
        return new Command(
                Kind.WORK_ASK,
                "",
                machine,
                deadlineMs,
                durationMs,
                reason,
                List.copyOf(afterMachines),
                Map.of(),
                requestId,
                0);
    }

    public static Command operatorCommand(String word, String machine, String requestId) {
        return new Command(
                Kind.WORK_WORD, "", machine, 0, 0, word, List.of(), Map.of(), requestId, 0);
    }

    public static Command maintenanceStep(
            String sessionId,
            long epoch,
            String machine,
            String target,
            long stageRevision,
            String reason) {
        return new Command(
                Kind.WORK_STEP,
                sessionId,
                machine,
                epoch,
                stageRevision,
                target,
                List.of(reason),
                Map.of(),
                "",
                0);
    }

    public static Command driverReports(List<String> lines) {
        return new Command(
                Kind.WORK_REPORTS, "", "", 0, 0, "", List.copyOf(lines), Map.of(), "", 0);
    }

    public static Command driverStopped(String identity, long lossNumber, long stoppedLevel) {
        return new Command(
                Kind.WORK_STOPPED,
                "",
                "",
                stoppedLevel,
                lossNumber,
                identity,
                List.of(),
                Map.of(),
                "",
                0);
    }

    /** Returns this command with the proposer's wall clock in Unix milliseconds. */
    public Command withProposedAt(long proposedAtMs) {
        return new Command(
                kind,
                sessionId,
                subject,
                epoch,
                number,
                argument,
                items,
                heartbeats,
                requestId,
                proposedAtMs);
    }
}
