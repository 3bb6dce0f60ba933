package wingroad.state;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.time.Duration;

/** Tests that what is kept of sessions is bounded. */
class SessionWritesTest {
    /** Guards against remembering each of ever new sessions for a minute. */
    @Test
    void sessionsBeyondTheBoundShareTheirLastWrite() {
        SessionWrites writes = new SessionWrites();
        Duration now = Duration.ofSeconds(1);
        for (int session = 0; session <= SessionWrites.MAX_TRACKED_COUNT; session++) {
            writes.record(session, now.plusMillis(session), now.plusMillis(session));
        }
        assertThat(writes.lastWrite(0)).as("merged").isEqualTo(now);
        assertThat(writes.lastWrite(-5)).as("a session that never wrote").isEqualTo(now);
        assertThat(writes.lastWrite(1)).isEqualTo(now.plusMillis(1));
    }
}
