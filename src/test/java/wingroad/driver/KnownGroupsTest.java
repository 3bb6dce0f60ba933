package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests which groups clients may name before and after the first member list. */
class KnownGroupsTest {
    @Test
    void groupsBeforeTheFirstListAreBounded() {
        KnownGroups groups = new KnownGroups();
        for (int group = 0; group < KnownGroups.MAX_UNLISTED_GROUPS; group++) {
            assertThat(groups.mayExist(group) && groups.admit(group)).isTrue();
        }
        assertThat(groups.mayExist(5000)).isTrue();
        assertThat(groups.admit(5000)).as("one too many").isFalse();
        assertThat(groups.admit(5)).as("one that was named before").isTrue();
        groups.list(5000);
        assertThat(groups.mayExist(5000) && groups.admit(5000)).isTrue();
        assertThat(groups.mayExist(5)).isFalse();
    }
}
