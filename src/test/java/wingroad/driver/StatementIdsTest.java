package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.time.Duration;

/** Tests for how long ids are in use, and that their number is bounded. */
class StatementIdsTest {
    private static final Duration LONGEST = Duration.ofSeconds(5);

    private final StatementIds ids = new StatementIds(LONGEST);

    private static Duration atMs(long ms) {
        return Duration.ofMillis(ms);
    }

    @Test
    void idIsInUseForTheTimeOfItsClient() {
        ids.use("a", atMs(300), atMs(0));
        ids.use("b", Duration.ofDays(1), atMs(0));
        ids.expire(atMs(299));
        assertThat(ids.isInUse("a")).isTrue();
        ids.expire(atMs(300));
        assertThat(ids.isInUse("a")).isFalse();
        assertThat(ids.isInUse("b")).isTrue();
        ids.expire(LONGEST);
        assertThat(ids.isInUse("b")).isFalse();
    }

    @Test
    void idThatMayHaveRunIsInUseForTheLongestExpiryMore() {
        ids.use("a", atMs(300), atMs(0));
        ids.mayHaveRun("a", atMs(200));
        ids.expire(atMs(5199));
        assertThat(ids.isInUse("a")).isTrue();
        ids.expire(atMs(5200));
        assertThat(ids.isInUse("a")).isFalse();
    }

    @Test
    void idThatNoMemberHasSeenIsFreeAtOnce() {
        ids.use("a", atMs(300), atMs(0));
        ids.release("a");
        assertThat(ids.isInUse("a")).isFalse();
    }

    @Test
    void numberOfIdsIsBounded() {
        for (int i = 0; i < StatementIds.MAX_COUNT; i++) {
            assertThat(ids.isFull()).isFalse();
            ids.use("i" + i, atMs(300), atMs(0));
        }
        assertThat(ids.isFull()).isTrue();
        ids.expire(atMs(300));
        assertThat(ids.isFull()).isFalse();
    }
}
