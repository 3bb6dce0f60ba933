package wingroad.duty;

import static org.assertj.core.api.Assertions.assertThat;
import static wingroad.duty.RelayHealth.Use.ASK;
import static wingroad.duty.RelayHealth.Use.NONE;
import static wingroad.duty.RelayHealth.Use.TAKE;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Whether a driver goes by the owner of discovery's list. */
class RelayHealthTest {
    private final RelayHealth h =
            new RelayHealth(Duration.ofMillis(900), Duration.ofMillis(900), Duration.ofSeconds(60));

    private static Duration at(long ms) {
        return Duration.ofMillis(ms);
    }

    @Test
    void anOwnerThatFallsSilentIsNotGoneBy() {
        assertThat(h.goesByOwner(at(0))).isFalse();
        h.told(5, 3, 3, false, false, at(100));
        assertThat(h.goesByOwner(at(900))).isTrue();
        assertThat(h.goesByOwner(at(1000))).isFalse();
    }

    @Test
    void anOldOwnersListIsNotTaken() {
        assertThat(h.told(5, 0, 4, true, true, at(0))).isEqualTo(TAKE);
        assertThat(h.told(4, 0, 9, true, true, at(1))).as("an older epoch").isEqualTo(NONE);
        assertThat(h.told(5, 0, 3, true, true, at(2))).as("an older revision").isEqualTo(NONE);
    }

    @Test
    void whatDoesNotGoOnFromWhatIsHeldIsAskedFor() {
        h.found(3, at(0));
        assertThat(h.told(5, 3, 4, false, true, at(1))).isEqualTo(TAKE);
        assertThat(h.told(5, 5, 6, false, true, at(2))).as("5 is missing").isEqualTo(ASK);
        assertThat(h.told(5, 7, 7, false, false, at(3))).as("no news with it").isEqualTo(ASK);
    }

    @Test
    void anOwnerThatOneKnowsBetterThanIsNotGoneByForLong() {
        h.told(5, 3, 3, false, false, at(0));
        h.found(4, at(10));
        assertThat(h.goesByOwner(at(20))).isTrue();
        h.told(5, 3, 3, false, false, at(800));
        assertThat(h.goesByOwner(at(900))).isTrue();
        h.told(5, 3, 3, false, false, at(1000));
        assertThat(h.goesByOwner(at(1000))).as("behind for too long").isFalse();
        h.told(5, 3, 4, false, true, at(1100));
        assertThat(h.goesByOwner(at(1200))).isTrue();
    }
}
