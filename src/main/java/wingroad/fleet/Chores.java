package wingroad.fleet;

import wingroad.duty.Command;
import wingroad.duty.RunSchedule;
import wingroad.duty.SessionLease;
import wingroad.fleet.FleetConfig.Chore;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The chores' turns. A turn is settled in the log before its statement is sent, so that no other
 * turn has its number; the statement goes out once, under the epoch, if the lease still runs then.
 */
final class Chores implements CouncilSession.Doer {
    /** A turn that is due is looked at again no sooner. */
    private static final Duration AFTER = Duration.ofMillis(20);

    private static final class Course {
        final Chore chore;
        final RunSchedule turns;

        /** The turn that was asked for, under which epoch. */
        long asked;

        long askedEpoch;
        long begun;
        boolean running;

        /** A look is under way for when the next turn is due. */
        boolean waits;

        Course(Chore chore) {
            this.chore = chore;
            turns = new RunSchedule(chore.interval());
        }
    }

    private final Host host;
    private final CouncilSession councilSession;
    private final ChoreRunner runner;
    private final Map<String, Course> courses = new LinkedHashMap<>();

    Chores(Host host, FleetConfig rules, CouncilSession councilSession, ChoreRunner runner) {
        this.host = host;
        this.councilSession = councilSession;
        this.runner = runner;
        rules.chores().forEach(c -> courses.put(c.duty(), new Course(c)));
    }

    @Override
    public boolean busy(String duty) {
        Course c = courses.get(duty);
        return c != null && c.running;
    }

    @Override
    public void look() {
        SessionLease sessionLease = councilSession.sessionLease();
        courses.forEach(
                (duty, c) -> {
                    SessionLease.DutyState h = sessionLease.current(duty);
                    if (h != null) {
                        look(c, h, sessionLease);
                    }
                });
    }

    private void look(Course c, SessionLease.DutyState h, SessionLease sessionLease) {
        Duration now = host.now();
        long missed = c.turns.onRunCommitted(h.run(), now);
        if (missed > 0) {
            host.log("fleet: " + h.duty() + ": " + missed + " turns missed before turn " + h.run());
        }
        String told = "told " + h.duty();
        if (!h.outcome().isEmpty() || !h.owner().equals(sessionLease.sessionId())) {
            councilSession.withdraw(told);
        }
        if (!sessionLease.mayAct(h.duty(), h.epoch(), now)) {
            councilSession.withdraw("turn " + h.duty());
            c.asked = 0;
            return;
        }
        if (c.asked > 0 && c.askedEpoch == h.epoch() && h.run() == c.asked && c.begun < c.asked) {
            councilSession.withdraw("turn " + h.duty());
            begin(c, h, sessionLease);
        }
        if (!c.waits) {
            // Else the next turn would wait for a beat.
            c.waits = true;
            host.after(
                    c.turns.timeUntilDue(now).plus(AFTER),
                    () -> {
                        c.waits = false;
                        look();
                    });
        }
        long due = c.turns.dueRun(now);
        if (due > 0 && !c.running && due != c.asked) {
            c.asked = due;
            c.askedEpoch = h.epoch();
            councilSession.ask(
                    "turn " + h.duty(),
                    Command.startRun(sessionLease.sessionId(), h.duty(), h.epoch(), due));
        }
    }

    private void begin(Course c, SessionLease.DutyState h, SessionLease sessionLease) {
        c.begun = c.asked;
        c.running = true;
        long turn = c.asked;
        String session = sessionLease.sessionId();
        runner.run(
                c.chore,
                h.epoch(),
                turn,
                sessionLease.expiresAt(),
                outcome -> {
                    c.running = false;
                    host.log(
                            "fleet: " + h.duty() + " turn " + turn + " epoch " + h.epoch() + ": "
                                    + outcome);
                    councilSession.ask(
                            "told " + h.duty(),
                            Command.reportRunOutcome(session, h.duty(), h.epoch(), turn, outcome));
                    look();
                });
    }
}
