package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import wingroad.driver.StopSchedule.Remaining;
import wingroad.driver.StopSchedule.Step;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/** The steps of a stop, against the earliest time of the kill. */
class StopScheduleTest {
    private static final long REQUESTED_AT_MS = 10_000;

    /** How long a process may be held up between reading its clock and writing. */
    private static final long MAX_HOLD_UP_MS = 150;

    private static final Remaining BUSY = new Remaining(true, false, 9, 0, false);
    private static final Remaining ALL_IDLE = new Remaining(true, true, 9, 0, false);
    private static final Remaining NOBODY = new Remaining(true, true, 0, 0, false);

    private static long earliestKillMs(long longestExpiryMs) {
        return Math.min(longestExpiryMs, 3000) + 700;
    }

    private static StopSchedule schedule(long longestExpiryMs) {
        return new StopSchedule(
                Duration.ofMillis(REQUESTED_AT_MS), Duration.ofMillis(longestExpiryMs));
    }

    /** Takes all steps that are due at a time after the request, and notes when. */
    private static void take(
            StopSchedule schedule, long afterMs, Remaining remaining, Map<Step, Long> takenAtMs) {
        Duration now = Duration.ofMillis(REQUESTED_AT_MS + afterMs);
        for (Step step = schedule.nextStep(now, remaining);
                step != null;
                step = schedule.nextStep(now, remaining)) {
            takenAtMs.put(step, afterMs);
        }
    }

    private static Map<Step, Long> play(
            StopSchedule schedule, Remaining remaining, long heldUpFromMs, long heldUpToMs) {
        Map<Step, Long> takenAtMs = new EnumMap<>(Step.class);
        for (long afterMs = 0; afterMs < 5000; afterMs += 5) {
            if (afterMs <= heldUpFromMs || afterMs >= heldUpToMs) {
                take(schedule, afterMs, remaining, takenAtMs);
            }
        }
        return takenAtMs;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 50, 200, 1000, 3000, 6000, 60_000})
    void allStepsAreTakenBeforeTheEarliestKill(long longestExpiryMs) {
        StopSchedule schedule = schedule(longestExpiryMs);
        Map<Step, Long> takenAtMs = play(schedule, BUSY, Long.MAX_VALUE, Long.MAX_VALUE);
        long killMs = earliestKillMs(longestExpiryMs);
        assertThat(takenAtMs.get(Step.DECLINE_COMMANDS))
                .isLessThanOrEqualTo(killMs - MAX_HOLD_UP_MS - 100);
        assertThat(takenAtMs.get(Step.SHUT_DOWN_OUTPUT)).isLessThanOrEqualTo(killMs - 75);
        assertThat(takenAtMs.get(Step.EXIT)).isLessThan(killMs);
        assertThat(schedule.answerDeadline())
                .isLessThanOrEqualTo(
                        Duration.ofMillis(REQUESTED_AT_MS + takenAtMs.get(Step.DECLINE_COMMANDS)));
    }

    @Test
    void commandsAreStillDeclinedForAWhileIfTheProcessWasHeldUp() {
        long killMs = earliestKillMs(1000);
        Map<Step, Long> takenAtMs = play(schedule(1000), BUSY, killMs - 280, killMs - 130);
        assertThat(takenAtMs.get(Step.SHUT_DOWN_OUTPUT))
                .isGreaterThanOrEqualTo(takenAtMs.get(Step.DECLINE_COMMANDS) + 60);
        Map<Step, Long> heldUpBefore = play(schedule(1000), BUSY, killMs - 310, killMs - 130);
        assertThat(heldUpBefore.get(Step.DECLINE_COMMANDS)).isEqualTo(killMs - 130);
        assertThat(heldUpBefore.get(Step.SHUT_DOWN_OUTPUT)).isEqualTo(killMs - 70);
        assertThat(heldUpBefore.get(Step.EXIT)).isLessThan(killMs);
    }

    @Test
    void exitWaitsForTheAnswersOfOpenTxns() {
        Remaining withOpenTxn = new Remaining(true, false, 9, 1, false);
        Map<Step, Long> takenAtMs =
                play(schedule(1000), withOpenTxn, Long.MAX_VALUE, Long.MAX_VALUE);
        assertThat(takenAtMs).containsKey(Step.SHUT_DOWN_OUTPUT).doesNotContainKey(Step.EXIT);
    }

    @Test
    void processExitsEarlyOnceAllClientsHaveLeft() {
        StopSchedule schedule = schedule(3000);
        Map<Step, Long> takenAtMs = new EnumMap<>(Step.class);
        take(schedule, 3350, ALL_IDLE, takenAtMs);
        assertThat(takenAtMs)
                .containsOnlyKeys(Step.CLOSE_LISTENER, Step.BEGIN_CLOSING, Step.DECLINE_COMMANDS);
        take(schedule, 3360, NOBODY, takenAtMs);
        assertThat(takenAtMs).containsEntry(Step.EXIT, 3360L);
    }

    @Test
    void listenerStaysOpenWhileClientsWaitInTheBacklog() {
        Remaining withBacklog = new Remaining(false, false, 9, 0, false);
        Map<Step, Long> takenAtMs =
                play(schedule(3000), withBacklog, Long.MAX_VALUE, Long.MAX_VALUE);
        assertThat(takenAtMs).doesNotContainKey(Step.CLOSE_LISTENER).containsKey(Step.EXIT);
    }
}
