package wingroad.duty;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.duty.RelayHealth.Action.APPLY;
import static wingroad.duty.RelayHealth.Action.FETCH;
import static wingroad.duty.RelayHealth.Action.IGNORE;

import org.junit.jupiter.api.Test;

import java.time.Duration;

/** Whether a driver goes by the owner of discovery's list. */
class RelayHealthTest {
    private final RelayHealth h =
            new RelayHealth(Duration.ofMillis(900), Duration.ofMillis(900), Duration.ofSeconds(60));

    private static Duration at(long ms) {
        return Duration.ofMillis(ms);
    }

    @Test
    void anOwnerThatFallsSilentIsNotGoneBy() {
        assertThat(h.trustsOwner(at(0))).isFalse();
        h.onOwnerUpdate(5, 3, 3, false, false, at(100));
        assertThat(h.trustsOwner(at(900))).isTrue();
        assertThat(h.trustsOwner(at(1000))).isFalse();
    }

    @Test
    void anOldOwnersListIsNotTaken() {
        assertThat(h.onOwnerUpdate(5, 0, 4, true, true, at(0))).isEqualTo(APPLY);
        assertThat(h.onOwnerUpdate(4, 0, 9, true, true, at(1)))
                .as("an older epoch")
                .isEqualTo(IGNORE);
        assertThat(h.onOwnerUpdate(5, 0, 3, true, true, at(2)))
                .as("an older revision")
                .isEqualTo(IGNORE);
    }

    @Test
    void whatDoesNotGoOnFromWhatIsHeldIsAskedFor() {
        h.onDirectFetch(3, at(0));
        assertThat(h.onOwnerUpdate(5, 3, 4, false, true, at(1))).isEqualTo(APPLY);
        assertThat(h.onOwnerUpdate(5, 5, 6, false, true, at(2)))
                .as("5 is missing")
                .isEqualTo(FETCH);
        assertThat(h.onOwnerUpdate(5, 7, 7, false, false, at(3)))
                .as("no news with it")
                .isEqualTo(FETCH);
    }

    @Test
    void anOwnerThatOneKnowsBetterThanIsNotGoneByForLong() {
        h.onOwnerUpdate(5, 3, 3, false, false, at(0));
        h.onDirectFetch(4, at(10));
        assertThat(h.trustsOwner(at(20))).isTrue();
        h.onOwnerUpdate(5, 3, 3, false, false, at(800));
        assertThat(h.trustsOwner(at(900))).isTrue();
        h.onOwnerUpdate(5, 3, 3, false, false, at(1000));
        assertThat(h.trustsOwner(at(1000))).as("behind for too long").isFalse();
        h.onOwnerUpdate(5, 3, 4, false, true, at(1100));
        assertThat(h.trustsOwner(at(1200))).isTrue();
    }
}
