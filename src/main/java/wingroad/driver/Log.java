package wingroad.driver;

import java.io.PrintStream;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The program's log, one line per event. A thread of its own writes it, so that a slow reader
 * delays nothing but the log.
 */
final class Log {
    /** Further lines are dropped and counted. */
    private static final int MAX_QUEUED_LINES = 1000;

    private static final int MAX_STACK_FRAMES = 6;
    private static final int MAX_FLUSH_CHECK_COUNT = 20;
    private static final long FLUSH_CHECK_INTERVAL_MS = 5;

    private final Clock clock;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong droppedCount = new AtomicLong();

    Log(Clock clock, PrintStream out) {
        this.clock = clock;
        Thread writer = new Thread(() -> writeLines(out), "log");
        writer.setDaemon(true);
        writer.start();
    }

    void info(String text) {
        String timestamp = clock.wallTime(clock.now()).truncatedTo(ChronoUnit.MILLIS).toString();
        if (!lines.offer(timestamp + " " + text)) {
            droppedCount.incrementAndGet();
        }
    }

    /** Logs an unexpected exception with the top of its stack trace, in one line. */
    void error(Throwable error) {
        StringBuilder line = new StringBuilder("unexpected error: " + error);
        StackTraceElement[] frames = error.getStackTrace();
        for (int i = 0; i < frames.length && i < MAX_STACK_FRAMES; i++) {
            line.append(" < ")
                    .append(frames[i].getFileName())
                    .append(':')
                    .append(frames[i].getLineNumber());
        }
        info(line.toString());
    }

    private void writeLines(PrintStream out) {
        try {
            while (true) {
                out.println(lines.take());
                long droppedLines = droppedCount.getAndSet(0);
                if (droppedLines > 0) {
                    out.println("log: " + droppedLines + " lines dropped");
                }
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits up to 100 ms for queued lines to be written. */
    void flush() throws InterruptedException {
        for (int i = 0; i < MAX_FLUSH_CHECK_COUNT && !lines.isEmpty(); i++) {
            Thread.sleep(FLUSH_CHECK_INTERVAL_MS);
        }
    }
}
