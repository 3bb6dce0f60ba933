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
final class ChoreScheduler implements DriverSession.DutyHandler {
    /** A turn that is due is looked at again no sooner. */
    private static final Duration WAKE_UP_MARGIN = Duration.ofMillis(20);

    private static final class ChoreState {
        final Chore chore;
        final RunSchedule turns;

        /** The turn that was asked for, under which epoch. */
        long requestedTurn;

        long requestedEpoch;
        long startedTurn;
        boolean running;

        /** A look is under way for when the next turn is due. */
        boolean wakeUpScheduled;

        ChoreState(Chore chore) {
            this.chore = chore;
            turns = new RunSchedule(chore.interval());
        }
    }

    private final ExecutionContext context;
    private final DriverSession driverSession;
    private final ChoreRunner choreRunner;
    private final Map<String, ChoreState> states = new LinkedHashMap<>();

    ChoreScheduler(
            ExecutionContext context,
            FleetConfig config,
            DriverSession driverSession,
            ChoreRunner choreRunner) {
        this.context = context;
        this.driverSession = driverSession;
        this.choreRunner = choreRunner;
        config.chores().forEach(chore -> states.put(chore.duty(), new ChoreState(chore)));
    }

    @Override
    public boolean isBusy(String duty) {
        ChoreState state = states.get(duty);
        return state != null && state.running;
    }

    @Override
    public void checkDuties() {
        SessionLease sessionLease = driverSession.sessionLease();
        states.forEach(
                (duty, state) -> {
                    SessionLease.DutyState held = sessionLease.current(duty);
                    if (held != null) {
                        checkChore(state, held, sessionLease);
                    }
                });
    }

    private void checkChore(
            ChoreState state, SessionLease.DutyState held, SessionLease sessionLease) {
        Duration now = context.now();
        long missedTurns = state.turns.onRunCommitted(held.run(), now);
        if (missedTurns > 0) {
            context.log(
                    "fleet: "
                            + held.duty()
                            + ": "
                            + missedTurns
                            + " turns missed before turn "
                            + held.run());
        }
        String outcomeRequest = "told " + held.duty();
        if (!held.outcome().isEmpty() || !held.owner().equals(sessionLease.sessionId())) {
            driverSession.cancelRequest(outcomeRequest);
        }
        if (!sessionLease.mayAct(held.duty(), held.epoch(), now)) {
            driverSession.cancelRequest("turn " + held.duty());
            state.requestedTurn = 0;
            return;
        }
        if (state.requestedTurn > 0
                && state.requestedEpoch == held.epoch()
                && held.run() == state.requestedTurn
                && state.startedTurn < state.requestedTurn) {
            driverSession.cancelRequest("turn " + held.duty());
            startTurn(state, held, sessionLease);
        }
        if (!state.wakeUpScheduled) {
            // Else the next turn would wait for a beat.
            state.wakeUpScheduled = true;
            context.schedule(
                    state.turns.timeUntilDue(now).plus(WAKE_UP_MARGIN),
                    () -> {
                        state.wakeUpScheduled = false;
                        checkDuties();
                    });
        }
        long due = state.turns.dueRun(now);
        if (due > 0 && !state.running && due != state.requestedTurn) {
            state.requestedTurn = due;
            state.requestedEpoch = held.epoch();
            driverSession.request(
                    "turn " + held.duty(),
                    Command.startRun(sessionLease.sessionId(), held.duty(), held.epoch(), due));
        }
    }

    private void startTurn(
            ChoreState state, SessionLease.DutyState held, SessionLease sessionLease) {
        state.startedTurn = state.requestedTurn;
        state.running = true;
        long turn = state.requestedTurn;
        String session = sessionLease.sessionId();
        choreRunner.run(
                state.chore,
                held.epoch(),
                turn,
                sessionLease.expiresAt(),
                outcome -> {
                    state.running = false;
                    context.log(
                            "fleet: "
                                    + held.duty()
                                    + " turn "
                                    + turn
                                    + " epoch "
                                    + held.epoch()
                                    + ": "
                                    + outcome);
                    driverSession.request(
                            "told " + held.duty(),
                            Command.reportRunOutcome(
                                    session, held.duty(), held.epoch(), turn, outcome));
                    checkDuties();
                });
    }
}
