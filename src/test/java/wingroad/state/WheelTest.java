package wingroad.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class WheelTest {
    private static final long SLOT = 1 << 22;
    private final Wheel wheel = new Wheel();

    /**
     * Against a list of all that is set: nothing early, nothing more than a slot late, nothing
     * twice, nothing lost.
     */
    @Test
    void whatIsDueComesOutOnceAndAtItsTime() {
        Random random = new Random(4);
        List<Wheel.Timer> set = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 30_000; i++) {
            now +=
                    random.nextInt(100) == 0
                            ? random.nextInt(2_000_000_000)
                            : random.nextInt(3_000_000);
            for (Wheel.Timer t = wheel.poll(now); t != null; t = wheel.poll(now)) {
                assertThat(set.remove(t)).isTrue();
                assertThat(t.due()).isLessThanOrEqualTo(now);
                assertThat(t.isSet()).isFalse();
            }
            for (Wheel.Timer t : set) {
                assertThat(t.due()).isGreaterThan(now - 2 * SLOT);
            }
            assertThat(wheel.size()).isEqualTo(set.size());
            if (set.size() > 40) {
                Wheel.Timer gone = set.remove(random.nextInt(set.size()));
                wheel.cancel(gone);
            } else {
                Wheel.Timer t = new Wheel.Timer();
                wheel.set(
                        t,
                        now
                                + (random.nextInt(20) == 0
                                        ? 20_000_000_000L
                                        : random.nextInt(500_000_000)));
                set.add(t);
            }
            long next = wheel.nextDue();
            long first = set.stream().mapToLong(Wheel.Timer::due).min().orElse(-1);
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
        Wheel.Timer t = new Wheel.Timer();
        wheel.set(t, SLOT);
        wheel.set(t, 10 * SLOT);
        assertThat(wheel.poll(5 * SLOT)).isNull();
        assertThat(wheel.poll(11 * SLOT)).isSameAs(t);
        assertThat(wheel.nextDue()).isEqualTo(-1);
    }

    @Test
    void aTimerOfAnotherWheelIsRefused() {
        Wheel.Timer t = new Wheel.Timer();
        new Wheel().set(t, SLOT);
        assertThatThrownBy(() -> wheel.set(t, SLOT)).isInstanceOf(IllegalArgumentException.class);
    }
}
