package wingroad.duty;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One entry of the agreed log; which fields count follows from its kind, the others are empty. All
 * kinds may be applied twice without harm. {@code sessionId} is the session that asks, {@code
 * requestId} a name by which whoever asks knows the result, {@code proposedAtMs} the proposer's
 * wall clock in Unix milliseconds, for people alone.
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
    /** What is asked to be settled. */
    public enum Kind {
        /** A leader's first entry; settles nothing. */
        TERM,
        /**
         * A session begins: {@code argument} its driver's identity, {@code items} those that it
         * would do.
         */
        OPEN,
        /** Sessions are renewed: for each the number of its beat. */
        BEAT,
        /** A session's lease has run out since its beat {@code number}. */
        EXPIRE,
        /** A session ends by itself. */
        LEAVE,
        /** An owner lets go of a duty that it holds under {@code epoch}. */
        GIVE_UP,
        /**
         * A duty is to go to the driver named {@code argument}, or where that is empty to any
         * other.
         */
        HAND_OVER,
        /** An owner begins turn {@code number} of a duty. */
        TURN,
        /** How turn {@code number} ended, in {@code argument}. */
        TOLD,
        /**
         * The driver {@code argument} is to vote, at the address in {@code subject}; with none it
         * is to vote no more.
         */
        VOTER,
        /**
         * Work: the machines that there are and the limits, in {@code items}, by the conductor
         * under {@code epoch}.
         */
        WORK_MACHINES,
        /**
         * Work: the machine {@code subject} is wanted for {@code number} ms, before {@code epoch},
         * after {@code items}; why in {@code argument}.
         */
        WORK_ASK,
        /** Work: an operator's word {@code argument} on the machine {@code subject}. */
        WORK_WORD,
        /**
         * Work: the conductor's step to {@code argument} for a machine that it knew at {@code
         * number}; why in {@code items}.
         */
        WORK_STEP,
        /** Work: what drivers say of themselves, a line each in {@code items}. */
        WORK_REPORTS,
        /**
         * Work: the driver of the identity {@code argument}, lost as {@code number}, has stopped by
         * itself, to the level {@code epoch}.
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
