package wingroad.driver;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Logs what happens to single requests and client connections. The number of lines a second is
 * limited for each kind of event, so that overload does not turn into a flood of lines; the next
 * line of a kind tells how many were left out. No I/O; the clock is passed in.
 */
final class RequestLog {
    /** The kinds of events, each with a limit of its own. */
    enum Kind {
        /** A connection ended although commands that were read had no answer. */
        UNANSWERED(200),
        /** A connection ended with nothing unanswered. */
        CLOSE(10),
        /** A txn was handed to a further member. */
        RETRY(10),
        /** A txn or a command was answered with an error that the driver made. */
        REFUSAL(10);

        private final int maxLinesPerSecond;

        Kind(int maxLinesPerSecond) {
            this.maxLinesPerSecond = maxLinesPerSecond;
        }
    }

    private static final Duration WINDOW = Duration.ofSeconds(1);

    /** While the process is stopping, more lines are worth their cost. */
    private static final int STOPPING_FACTOR = 20;

    private static final class Window {
        private Duration startedAt = Duration.ZERO;
        private int lineCount;
        private int omittedCount;
    }

    private final Consumer<String> log;
    private final Map<Kind, Window> windows = new EnumMap<>(Kind.class);
    private boolean stopping;

    RequestLog(Consumer<String> log) {
        this.log = log;
        for (Kind kind : Kind.values()) {
            windows.put(kind, new Window());
        }
    }

    /** A log that drops all lines. */
    static RequestLog disabled() {
        return new RequestLog(line -> {});
    }

    /** Raises the limits, since the process is stopping. */
    void setStopping() {
        stopping = true;
    }

    /** Logs an event, unless the limit is reached; the text is made only if it is logged. */
    void write(Kind kind, Duration now, Supplier<String> text) {
        Window window = windows.get(kind);
        if (now.minus(window.startedAt).compareTo(WINDOW) >= 0) {
            window.startedAt = now;
            window.lineCount = 0;
        }
        if (window.lineCount >= kind.maxLinesPerSecond * (stopping ? STOPPING_FACTOR : 1)) {
            window.omittedCount++;
            return;
        }
        window.lineCount++;
        String omitted =
                window.omittedCount == 0
                        ? ""
                        : " (" + window.omittedCount + " such lines before this were omitted)";
        window.omittedCount = 0;
        log.accept(text.get() + omitted);
    }
}
