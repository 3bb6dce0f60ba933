package wingroad.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

class TimingWheelTest {
    private static final long SLOT = 1 << 22;
    private final TimingWheel wheel = new TimingWheel();

    /**
     * Against a list of all that is set: nothing early, nothing more than a slot late, nothing
     * twice, nothing lost.
     */
    @Test
    void whatIsDueComesOutOnceAndAtItsTime() {
        Random random = new Random(4);
        List<TimingWheel.Timer> set = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 30_000; i++) {
            now +=
                    random.nextInt(100) == 0
                            ? random.nextInt(2_000_000_000)
                            : random.nextInt(3_000_000);
            for (TimingWheel.Timer t = wheel.poll(now); t != null; t = wheel.poll(now)) {
                assertThat(set.remove(t)).isTrue();
                assertThat(t.dueNanos()).isLessThanOrEqualTo(now);
                assertThat(t.isScheduled()).isFalse();
            }
            for (TimingWheel.Timer t : set) {
                assertThat(t.dueNanos()).isGreaterThan(now - 2 * SLOT);
            }
            assertThat(wheel.size()).isEqualTo(set.size());
            if (set.size() > 40) {
                TimingWheel.Timer gone = set.remove(random.nextInt(set.size()));
                wheel.cancel(gone);
            } else {
                TimingWheel.Timer t = new TimingWheel.Timer();
                wheel.schedule(
                        t,
                        now
                                + (random.nextInt(20) == 0
                                        ? 20_000_000_000L
                                        : random.nextInt(500_000_000)));
                set.add(t);
            }
            long next = wheel.nextPollNanos();
            long first = set.stream().mapToLong(TimingWheel.Timer::dueNanos).min().orElse(-1);
            if (first < 0) {
                assertThat(next).isEqualTo(-1);
            } else {
                assertThat(next)
                        .isLessThanOrEqualTo(Math.max(first, now) + 2 * SLOT)
                        .isGreaterThan(now - SLOT);
            }
        }
    }

    @Test
    void aTimerThatIsSetAgainCountsByItsLaterTime() {
        TimingWheel.Timer t = new TimingWheel.Timer();
        wheel.schedule(t, SLOT);
        wheel.schedule(t, 10 * SLOT);
        assertThat(wheel.poll(5 * SLOT)).isNull();
        assertThat(wheel.poll(11 * SLOT)).isSameAs(t);
        assertThat(wheel.nextPollNanos()).isEqualTo(-1);
    }

    @Test
    void aTimerOfAnotherWheelIsRefused() {
        TimingWheel.Timer t = new TimingWheel.Timer();
        new TimingWheel().schedule(t, SLOT);
        assertThatThrownBy(() -> wheel.schedule(t, SLOT))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
