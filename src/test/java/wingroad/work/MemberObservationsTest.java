package wingroad.work;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.millis;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which member counts as its group's primary after reports that arrive late. */
class MemberObservationsTest {
    private static final int GROUP = 1;

    private final MemberObservations observations = new MemberObservations(millis(5000));

    @BeforeEach
    void listMembers() {
        observations.updateListing("former", GROUP, false, true);
        observations.updateListing("current", GROUP, false, true);
    }

    /**
     * Guards the maintenance plan against taking out the primary: a former primary's claim arrives
     * after the new primary's, but was made before it.
     */
    @Test
    void lateClaimOfAFormerPrimaryDoesNotMakeItThePrimaryAgain() {
        observations.recordReport("former", true, millis(0), millis(1000));
        observations.recordReport("current", true, millis(5), millis(3000));
        observations.recordReport("former", true, millis(2500), millis(3300));
        assertThat(observations.primary(GROUP, millis(3300))).isEqualTo("current");
    }

    /** Guards against a claim that a member made before it reported to be a replica. */
    @Test
    void claimOlderThanTheMembersOwnReportIsIgnored() {
        observations.recordReport("former", true, millis(0), millis(1000));
        observations.recordReport("former", false, millis(20), millis(2000));
        observations.recordReport("former", true, millis(800), millis(2100));
        assertThat(observations.primary(GROUP, millis(2100))).isNull();
        assertThat(observations.replicationLag("former", millis(2100))).isEqualTo(millis(800));
    }

    @Test
    void claimOlderThanTheMaximumAgeDoesNotCount() {
        observations.recordReport("former", true, millis(6000), millis(8000));
        assertThat(observations.primary(GROUP, millis(8000))).isNull();
    }

    /** A primary has no lag, however old the position in its answer is. */
    @Test
    void primaryHasNoReplicationLag() {
        observations.recordReport("current", true, millis(40), millis(1000));
        observations.recordReport("former", false, millis(40), millis(1000));
        assertThat(observations.replicationLag("current", millis(1000))).isZero();
        assertThat(observations.replicationLag("former", millis(1000))).isEqualTo(millis(40));
    }
}
