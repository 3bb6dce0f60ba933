package wingroad.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

class TimingWheelTest {
    /** Length of a slot of {@link TimingWheel}. */
    private static final long SLOT_NANOS = 1 << 22;

    private final TimingWheel wheel = new TimingWheel();

    /**
     * Compares the wheel with a list of the scheduled timers: none may expire early, two slots late
     * or twice, and none may be lost.
     */
    @Test
    void eachTimerExpiresOnceAndOnTime() {
        Random random = new Random(4);
        List<TimingWheel.Timer> scheduledTimers = new ArrayList<>();
        long nowNanos = 0;
        for (int i = 0; i < 30_000; i++) {
            nowNanos +=
                    random.nextInt(100) == 0
                            ? random.nextInt(2_000_000_000)
                            : random.nextInt(3_000_000);
            for (TimingWheel.Timer timer = wheel.poll(nowNanos);
                    timer != null;
                    timer = wheel.poll(nowNanos)) {
                assertThat(scheduledTimers.remove(timer)).isTrue();
                assertThat(timer.dueNanos()).isLessThanOrEqualTo(nowNanos);
                assertThat(timer.isScheduled()).isFalse();
            }
            for (TimingWheel.Timer timer : scheduledTimers) {
                assertThat(timer.dueNanos()).isGreaterThan(nowNanos - 2 * SLOT_NANOS);
            }
            assertThat(wheel.size()).isEqualTo(scheduledTimers.size());
            if (scheduledTimers.size() > 40) {
                TimingWheel.Timer cancelledTimer =
                        scheduledTimers.remove(random.nextInt(scheduledTimers.size()));
                wheel.cancel(cancelledTimer);
            } else {
                TimingWheel.Timer timer = new TimingWheel.Timer();
                wheel.schedule(
                        timer,
                        nowNanos
                                + (random.nextInt(20) == 0
                                        ? 20_000_000_000L
                                        : random.nextInt(500_000_000)));
                scheduledTimers.add(timer);
            }
            long nextPollNanos = wheel.nextPollNanos();
            long firstDueNanos =
                    scheduledTimers.stream()
                            .mapToLong(TimingWheel.Timer::dueNanos)
                            .min()
                            .orElse(-1);
            if (firstDueNanos < 0) {
                assertThat(nextPollNanos).isEqualTo(-1);
            } else {
                assertThat(nextPollNanos)
                        .isLessThanOrEqualTo(Math.max(firstDueNanos, nowNanos) + 2 * SLOT_NANOS)
                        .isGreaterThan(nowNanos - SLOT_NANOS);
            }
        }
    }

    /** Guards against a timer that expires at the time for which it was scheduled before. */
    @Test
    void rescheduledTimerExpiresAtItsNewTime() {
        TimingWheel.Timer timer = new TimingWheel.Timer();
        wheel.schedule(timer, SLOT_NANOS);
        wheel.schedule(timer, 10 * SLOT_NANOS);
        assertThat(wheel.poll(5 * SLOT_NANOS)).isNull();
        assertThat(wheel.poll(11 * SLOT_NANOS)).isSameAs(timer);
        assertThat(wheel.nextPollNanos()).isEqualTo(-1);
    }

    /** Guards against corrupting the lists of both wheels. */
    @Test
    void timerOfAnotherWheelIsRejected() {
        TimingWheel.Timer timer = new TimingWheel.Timer();
        new TimingWheel().schedule(timer, SLOT_NANOS);
        assertThatThrownBy(() -> wheel.schedule(timer, SLOT_NANOS))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
