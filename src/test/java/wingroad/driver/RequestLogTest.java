package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The limits of the log of single requests. */
class RequestLogTest {
    private final List<String> lines = new ArrayList<>();
    private final RequestLog log = new RequestLog(lines::add);

    private void write(RequestLog.Kind kind, int count, long atMs) {
        for (int i = 0; i < count; i++) {
            log.write(kind, Duration.ofMillis(atMs), () -> "line");
        }
    }

    @Test
    void linesOverTheLimitAreCountedOnTheNextOne() {
        write(RequestLog.Kind.REFUSAL, 25, 5000);
        write(RequestLog.Kind.RETRY, 1, 5000);
        assertThat(lines).hasSize(11).containsOnly("line");
        write(RequestLog.Kind.REFUSAL, 1, 6000);
        assertThat(lines.get(11)).isEqualTo("line (15 such lines before this were omitted)");
    }

    @Test
    void limitsAreHigherWhileTheProcessIsStopping() {
        log.setStopping();
        write(RequestLog.Kind.CLOSE, 201, 5000);
        assertThat(lines).hasSize(200);
    }
}
