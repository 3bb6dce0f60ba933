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
        final RunSchedule schedule;

        /** The turn that was asked for, under which epoch. */
        long requestedRun;

        long requestedEpoch;
        long startedRun;
        boolean running;

        /** A look is under way for when the next turn is due. */
        boolean wakeUpScheduled;

        ChoreState(Chore chore) {
            this.chore = chore;
            schedule = new RunSchedule(chore.interval());
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
                    SessionLease.DutyState dutyState = sessionLease.current(duty);
                    if (dutyState != null) {
                        checkChore(state, dutyState, sessionLease);
                    }
                });
    }

    private void checkChore(
            ChoreState state, SessionLease.DutyState dutyState, SessionLease sessionLease) {
        Duration now = context.now();
        long missedRuns = state.schedule.onRunCommitted(dutyState.run(), now);
        if (missedRuns > 0) {
            context.log(
                    "fleet: "
                            + dutyState.duty()
                            + ": "
                            + missedRuns
                            + " turns missed before turn "
                            + dutyState.run());
        }
        String outcomeRequest = "told " + dutyState.duty();
        if (!dutyState.outcome().isEmpty() || !dutyState.owner().equals(sessionLease.sessionId())) {
            driverSession.cancelRequest(outcomeRequest);
        }
        if (!sessionLease.mayAct(dutyState.duty(), dutyState.epoch(), now)) {
            driverSession.cancelRequest("turn " + dutyState.duty());
            state.requestedRun = 0;
            return;
        }
        if (state.requestedRun > 0
                && state.requestedEpoch == dutyState.epoch()
                && dutyState.run() == state.requestedRun
                && state.startedRun < state.requestedRun) {
            driverSession.cancelRequest("turn " + dutyState.duty());
            startRun(state, dutyState, sessionLease);
        }
        if (!state.wakeUpScheduled) {
            // Else the next turn would wait for a beat.
            state.wakeUpScheduled = true;
            context.schedule(
                    state.schedule.timeUntilDue(now).plus(WAKE_UP_MARGIN),
                    () -> {
                        state.wakeUpScheduled = false;
                        checkDuties();
                    });
        }
        long dueRun = state.schedule.dueRun(now);
        if (dueRun > 0 && !state.running && dueRun != state.requestedRun) {
            state.requestedRun = dueRun;
            state.requestedEpoch = dutyState.epoch();
            driverSession.request(
                    "turn " + dutyState.duty(),
                    Command.startRun(
                            sessionLease.sessionId(), dutyState.duty(), dutyState.epoch(), dueRun));
        }
    }

    private void startRun(
            ChoreState state, SessionLease.DutyState dutyState, SessionLease sessionLease) {
        state.startedRun = state.requestedRun;
        state.running = true;
        long run = state.requestedRun;
        String session = sessionLease.sessionId();
        choreRunner.run(
                state.chore,
                dutyState.epoch(),
                run,
                sessionLease.expiresAt(),
                outcome -> {
                    state.running = false;
                    context.log(
                            "fleet: "
                                    + dutyState.duty()
                                    + " turn "
                                    + run
                                    + " epoch "
                                    + dutyState.epoch()
                                    + ": "
                                    + outcome);
                    driverSession.request(
                            "told " + dutyState.duty(),
                            Command.reportRunOutcome(
                                    session, dutyState.duty(), dutyState.epoch(), run, outcome));
                    checkDuties();
                });
    }
}
