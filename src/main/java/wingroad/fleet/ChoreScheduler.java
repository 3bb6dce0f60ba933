package wingroad.fleet;

import wingroad.duty.Command;
import wingroad.duty.RunSchedule;
import wingroad.duty.SessionLease;
import wingroad.fleet.FleetConfig.Chore;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Schedules the runs of chores. The number of a run is committed to the log before its statement is
 * sent, so that no other run gets the same number. The statement is sent once, under the duty's
 * epoch, and only if the lease is still valid then.
 */
final class ChoreScheduler implements DriverSession.DutyHandler {
    /** Added to the time until the next run is due, so that the check happens after it. */
    private static final Duration WAKE_UP_MARGIN = Duration.ofMillis(20);

    /** Start of the name of a pending request to commit the next run. */
    private static final String RUN_REQUEST_PREFIX = "turn ";

    /** Start of the name of a pending request to commit the outcome of a run. */
    private static final String OUTCOME_REQUEST_PREFIX = "told ";

    /** Outcome of a run that was committed after the driver had stopped acting. */
    private static final String NOT_BEGUN = "not begun: the owner stopped acting";

    /**
     * How long it may take until it is known whether the request for a run was committed, and that
     * the run was not begun; a few round trips to the leader.
     */
    private static final Duration ABANDONED_RUN_TIMEOUT = Duration.ofMillis(250);

    /** A chore's progress at this driver. */
    private static final class ChoreState {
        final Chore chore;
        final RunSchedule schedule;

        /** The last run number requested for commit. */
        long requestedRun;

        /** The epoch under which that run was requested. */
        long requestedEpoch;

        /** The last run whose statement was started. */
        long startedRun;

        /** A run that was requested and will never be started here, or 0. */
        long abandonedRun;

        /** Until when the outcome of that run is waited for. */
        Duration abandonedUntil = Duration.ZERO;

        /** Whether a statement is running. */
        boolean running;

        /** Until when a statement whose outcome is unknown may still run at the member. */
        Duration mayRunUntil = Duration.ZERO;

        /** Whether a check is scheduled for when the next run is due. */
        boolean wakeUpScheduled;

        ChoreState(Chore chore) {
            this.chore = chore;
            schedule = new RunSchedule(chore.interval());
        }
    }

    private final ExecutionContext context;
    private final DriverSession driverSession;
    private final ChoreRunner choreRunner;
    private final Map<String, ChoreState> choreStates = new LinkedHashMap<>();

    ChoreScheduler(
            ExecutionContext context,
            FleetConfig config,
            DriverSession driverSession,
            ChoreRunner choreRunner) {
        this.context = context;
        this.driverSession = driverSession;
        this.choreRunner = choreRunner;
        config.chores().forEach(chore -> choreStates.put(chore.duty(), new ChoreState(chore)));
    }

    @Override
    public boolean isBusy(String duty) {
        ChoreState state = choreStates.get(duty);
        if (state == null) {
            return false;
        }
        Duration now = context.now();
        return state.running
                || now.compareTo(state.mayRunUntil) < 0
                || state.abandonedRun > 0 && now.compareTo(state.abandonedUntil) < 0;
    }

    @Override
    public void checkDuties() {
        SessionLease sessionLease = driverSession.sessionLease();
        choreStates.forEach(
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
                            + " runs missed before run "
                            + dutyState.run());
        }
        String outcomeRequest = OUTCOME_REQUEST_PREFIX + dutyState.duty();
        if (!dutyState.outcome().isEmpty() || !dutyState.owner().equals(sessionLease.sessionId())) {
            driverSession.cancelRequest(outcomeRequest);
        }
        if (!sessionLease.mayAct(dutyState.duty(), dutyState.epoch(), now)) {
            abandonRequestedRun(state, dutyState, now);
            reportAbandonedRun(state, dutyState, sessionLease);
            return;
        }
        reportAbandonedRun(state, dutyState, sessionLease);
        if (state.requestedRun > 0
                && state.requestedEpoch == dutyState.epoch()
                && dutyState.run() == state.requestedRun
                && state.startedRun < state.requestedRun) {
            driverSession.cancelRequest(RUN_REQUEST_PREFIX + dutyState.duty());
            startRun(state, dutyState, sessionLease);
        }
        if (!state.wakeUpScheduled) {
            // Otherwise the next run would wait for a heartbeat.
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
                    RUN_REQUEST_PREFIX + dutyState.duty(),
                    Command.startRun(
                            sessionLease.sessionId(), dutyState.duty(), dutyState.epoch(), dueRun));
        }
    }

    /**
     * Gives up a run that was requested and not started. Its request may be committed all the same:
     * it was sent before.
     */
    private void abandonRequestedRun(
            ChoreState state, SessionLease.DutyState dutyState, Duration now) {
        driverSession.cancelRequest(RUN_REQUEST_PREFIX + dutyState.duty());
        if (state.requestedRun > state.startedRun && state.requestedEpoch == dutyState.epoch()) {
            state.abandonedRun = state.requestedRun;
            state.abandonedUntil = now.plus(ABANDONED_RUN_TIMEOUT);
            // It must not be started if the driver may act again: its outcome is told.
            state.startedRun = state.requestedRun;
        }
        state.requestedRun = 0;
    }

    /** Tells that an abandoned run was not begun, once it is known to have been committed. */
    private void reportAbandonedRun(
            ChoreState state, SessionLease.DutyState dutyState, SessionLease sessionLease) {
        if (state.abandonedRun == 0 || dutyState.run() < state.abandonedRun) {
            return;
        }
        if (dutyState.run() == state.abandonedRun
                && dutyState.epoch() == state.requestedEpoch
                && dutyState.owner().equals(sessionLease.sessionId())
                && dutyState.outcome().isEmpty()) {
            driverSession.request(
                    OUTCOME_REQUEST_PREFIX + dutyState.duty(),
                    Command.reportRunOutcome(
                            sessionLease.sessionId(),
                            dutyState.duty(),
                            dutyState.epoch(),
                            state.abandonedRun,
                            NOT_BEGUN));
        } else {
            state.abandonedRun = 0;
        }
    }

    private void startRun(
            ChoreState state, SessionLease.DutyState dutyState, SessionLease sessionLease) {
        state.startedRun = state.requestedRun;
        state.running = true;
        long run = state.requestedRun;
        String session = sessionLease.sessionId();
        Duration deadline = sessionLease.expiresAt();
        choreRunner.run(
                state.chore,
                dutyState.epoch(),
                run,
                deadline,
                (outcome, mayStillRun) -> {
                    state.running = false;
                    state.mayRunUntil = mayStillRun ? deadline : Duration.ZERO;
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
                            OUTCOME_REQUEST_PREFIX + dutyState.duty(),
                            Command.reportRunOutcome(
                                    session, dutyState.duty(), dutyState.epoch(), run, outcome));
                    checkDuties();
                });
    }
}
