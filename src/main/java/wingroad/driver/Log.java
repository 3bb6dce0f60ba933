package wingroad.driver;

import java.io.PrintStream;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One line a report. A thread of its own writes, so that a slow reader holds up nothing but lines.
 */
final class Log {
    private static final int MOST_WAITING = 1000;

    private final Clock clock;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MOST_WAITING);
    private final AtomicLong dropped = new AtomicLong();

    Log(Clock clock, PrintStream out) {
        this.clock = clock;
        Thread writer = new Thread(() -> write(out), "log");
        writer.setDaemon(true);
        writer.start();
    }

    void line(String text) {
        String at = clock.wall(clock.now()).truncatedTo(ChronoUnit.MILLIS).toString();
        if (!lines.offer(at + " " + text)) {
            dropped.incrementAndGet();
        }
    }

    /** A fault in the code: its name and the places it came by. */
    void fault(Throwable bug) {
        StringBuilder at = new StringBuilder("fault " + bug);
        StackTraceElement[] places = bug.getStackTrace();
        for (int i = 0; i < places.length && i < 6; i++) {
            at.append(" < ")
                    .append(places[i].getFileName())
                    .append(':')
                    .append(places[i].getLineNumber());
        }
        line(at.toString());
    }

    private void write(PrintStream out) {
        try {
            while (true) {
                out.println(lines.take());
                long missing = dropped.getAndSet(0);
                if (missing > 0) {
                    out.println("log: " + missing + " lines dropped");
                }
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits a little for what has not been written yet. */
    void flush() throws InterruptedException {
        for (int i = 0; i < 20 && !lines.isEmpty(); i++) {
            Thread.sleep(5);
        }
    }
}
