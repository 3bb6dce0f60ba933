package wingroad.duty;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One entry of the agreed log; which fields count follows from its kind, the others are empty. All
 * kinds may be applied twice without harm. {@code by} is the session that asks, {@code ask} a name
 * by which whoever asks knows the result, {@code wall} the proposer's wall clock in Unix
 * milliseconds, for people alone.
 */
public record Op(
        Kind kind,
        String by,
        String duty,
        long epoch,
        long number,
        String to,
        List<String> duties,
        Map<String, Long> beats,
        String ask,
        long wall) {
    /** What is asked to be settled. */
    public enum Kind {
        /** A leader's first entry; settles nothing. */
        TERM,
        /**
         * A session begins: {@code to} its driver's identity, {@code duties} those that it would
         * do.
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
        /** A duty is to go to the driver named {@code to}, or where that is empty to any other. */
        HAND_OVER,
        /** An owner begins turn {@code number} of a duty. */
        TURN,
        /** How turn {@code number} ended, in {@code to}. */
        TOLD,
        /**
         * The driver {@code to} is to vote, at the address in {@code duty}; with none it is to vote
         * no more.
         */
        VOTER,
        /**
         * Work: the machines that there are and the limits, in {@code duties}, by the conductor
         * under {@code epoch}.
         */
        WORK_MACHINES,
        /**
         * Work: the machine {@code duty} is wanted for {@code number} ms, before {@code epoch},
         * after {@code duties}; why in {@code to}.
         */
        WORK_ASK,
        /** Work: an operator's word {@code to} on the machine {@code duty}. */
        WORK_WORD,
        /**
         * Work: the conductor's step to {@code to} for a machine that it knew at {@code number};
         * why in {@code duties}.
         */
        WORK_STEP,
        /** Work: what drivers say of themselves, a line each in {@code duties}. */
        WORK_REPORTS,
        /**
         * Work: the driver of the identity {@code to}, lost as {@code number}, has stopped by
         * itself, to the level {@code epoch}.
         */
        WORK_STOPPED
    }

    private static final Op NOTHING =
            new Op(Kind.TERM, "", "", 0, 0, "", List.of(), Map.of(), "", 0);

    public static Op term() {
        return NOTHING;
    }

    public static Op open(String session, String identity, List<String> duties) {
        return new Op(Kind.OPEN, session, "", 0, 0, identity, List.copyOf(duties), Map.of(), "", 0);
    }

    public static Op beat(Map<String, Long> beats) {
        return new Op(Kind.BEAT, "", "", 0, 0, "", List.of(), new TreeMap<>(beats), "", 0);
    }

    public static Op expire(String session, long beat) {
        return new Op(Kind.EXPIRE, session, "", 0, beat, "", List.of(), Map.of(), "", 0);
    }

    public static Op leave(String session) {
        return new Op(Kind.LEAVE, session, "", 0, 0, "", List.of(), Map.of(), "", 0);
    }

    public static Op giveUp(String session, String duty, long epoch) {
        return new Op(Kind.GIVE_UP, session, duty, epoch, 0, "", List.of(), Map.of(), "", 0);
    }

    public static Op handOver(String duty, String to, String ask) {
        return new Op(Kind.HAND_OVER, "", duty, 0, 0, to, List.of(), Map.of(), ask, 0);
    }

    public static Op turn(String session, String duty, long epoch, long turn) {
        return new Op(Kind.TURN, session, duty, epoch, turn, "", List.of(), Map.of(), "", 0);
    }

    public static Op told(String session, String duty, long epoch, long turn, String outcome) {
        return new Op(Kind.TOLD, session, duty, epoch, turn, outcome, List.of(), Map.of(), "", 0);
    }

    public static Op voter(String name, String address, String ask) {
        return new Op(Kind.VOTER, "", address, 0, 0, name, List.of(), Map.of(), ask, 0);
    }

    public static Op workMachines(String session, long epoch, List<String> lines) {
        return new Op(
                Kind.WORK_MACHINES, session, "", epoch, 0, "", List.copyOf(lines), Map.of(), "", 0);
    }

    public static Op workAsk(
            String machine, String why, long forMs, long before, List<String> after, String ask) {
        return new Op(
                Kind.WORK_ASK,
                "",
                machine,
                before,
                forMs,
                why,
                List.copyOf(after),
                Map.of(),
                ask,
                0);
    }

    public static Op workWord(String word, String machine, String ask) {
        return new Op(Kind.WORK_WORD, "", machine, 0, 0, word, List.of(), Map.of(), ask, 0);
    }

    public static Op workStep(
            String session, long epoch, String machine, String to, long stageAt, String why) {
        return new Op(
                Kind.WORK_STEP,
                session,
                machine,
                epoch,
                stageAt,
                to,
                List.of(why),
                Map.of(),
                "",
                0);
    }

    public static Op workReports(List<String> lines) {
        return new Op(Kind.WORK_REPORTS, "", "", 0, 0, "", List.copyOf(lines), Map.of(), "", 0);
    }

    public static Op workStopped(String identity, long number, long level) {
        return new Op(
                Kind.WORK_STOPPED, "", "", level, number, identity, List.of(), Map.of(), "", 0);
    }

    public Op at(long unixMs) {
        return new Op(kind, by, duty, epoch, number, to, duties, beats, ask, unixMs);
    }
}
