package wingroad.duty;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.duty.RelayHealth.Action.APPLY;
import static wingroad.duty.RelayHealth.Action.FETCH;
import static wingroad.duty.RelayHealth.Action.IGNORE;

import org.junit.jupiter.api.Test;

import java.time.Duration;

/** Tests when a driver relies on the lists that the owner of the list duty relays. */
class RelayHealthTest {
    private final RelayHealth relayHealth =
            new RelayHealth(Duration.ofMillis(900), Duration.ofMillis(900), Duration.ofSeconds(60));

    private static Duration atMs(long ms) {
        return Duration.ofMillis(ms);
    }

    @Test
    void doesNotTrustAnOwnerThatIsNoLongerHeard() {
        assertThat(relayHealth.trustsOwner(atMs(0))).isFalse();
        relayHealth.onOwnerUpdate(5, 3, 3, false, false, atMs(100));
        assertThat(relayHealth.trustsOwner(atMs(900))).isTrue();
        assertThat(relayHealth.trustsOwner(atMs(1000))).isFalse();
    }

    @Test
    void ignoresUpdatesOfOlderEpochsAndRevisions() {
        assertThat(relayHealth.onOwnerUpdate(5, 0, 4, true, true, atMs(0))).isEqualTo(APPLY);
        relayHealth.onApplied(4);
        assertThat(relayHealth.onOwnerUpdate(4, 0, 9, true, true, atMs(1)))
                .as("an older epoch")
                .isEqualTo(IGNORE);
        assertThat(relayHealth.onOwnerUpdate(5, 0, 3, true, true, atMs(2)))
                .as("an older revision")
                .isEqualTo(IGNORE);
    }

    @Test
    void fetchesWhenAnUpdateDoesNotContinueFromTheLocalRevision() {
        relayHealth.onDirectFetch(3, atMs(0));
        assertThat(relayHealth.onOwnerUpdate(5, 3, 4, false, true, atMs(1))).isEqualTo(APPLY);
        relayHealth.onApplied(4);
        assertThat(relayHealth.onOwnerUpdate(5, 5, 6, false, true, atMs(2)))
                .as("revision 5 is missing")
                .isEqualTo(FETCH);
        assertThat(relayHealth.onOwnerUpdate(5, 7, 7, false, false, atMs(3)))
                .as("the update holds no changes")
                .isEqualTo(FETCH);
    }

    @Test
    void fetchesUntilAnUpdateThatCouldNotBeAppliedWholeIsKnown() {
        relayHealth.onDirectFetch(3, atMs(0));
        assertThat(relayHealth.onOwnerUpdate(5, 3, 4, false, true, atMs(1))).isEqualTo(APPLY);
        assertThat(relayHealth.onOwnerUpdate(5, 4, 4, false, false, atMs(2)))
                .as("the heartbeat behind an update that was not applied whole")
                .isEqualTo(FETCH);
        relayHealth.onDirectFetch(4, atMs(3));
        assertThat(relayHealth.onOwnerUpdate(5, 4, 4, false, false, atMs(4))).isEqualTo(IGNORE);
    }

    /**
     * An owner that is cut off from discovery is still heard, but announces an old revision; the
     * driver's own check shows that.
     */
    @Test
    void doesNotTrustAnOwnerThatStaysBehindTheLocalRevision() {
        relayHealth.onOwnerUpdate(5, 3, 3, false, false, atMs(0));
        relayHealth.onDirectFetch(4, atMs(10));
        assertThat(relayHealth.trustsOwner(atMs(20))).isTrue();
        relayHealth.onOwnerUpdate(5, 3, 3, false, false, atMs(800));
        assertThat(relayHealth.trustsOwner(atMs(900))).isTrue();
        relayHealth.onOwnerUpdate(5, 3, 3, false, false, atMs(1000));
        assertThat(relayHealth.trustsOwner(atMs(1000))).as("behind for too long").isFalse();
        relayHealth.onOwnerUpdate(5, 3, 4, false, true, atMs(1100));
        assertThat(relayHealth.trustsOwner(atMs(1200))).isTrue();
    }
}
