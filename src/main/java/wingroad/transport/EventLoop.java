package wingroad.transport;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The one thread that owns the module and all connections. Tasks, timers and the channels'
 * completion handlers run on it, in the order in which they came. It also counts the descriptors
 * that its channels hold.
 */
public final class EventLoop {
    private final ScheduledThreadPoolExecutor executor;
    private final Consumer<Throwable> onUnexpectedError;
    private final int maxChannels;
    private int openChannels;
    private final long maxBufferedBytes;
    private long bufferedBytes;
    final AsynchronousChannelGroup group;

    /**
     * @param maxChannels how many channels may be open at once
     * @param maxBufferedBytes how many bytes all connections may hold that came in or wait to go
     *     out
     * @param onUnexpectedError hears of what escapes a task
     */
    public EventLoop(int maxChannels, long maxBufferedBytes, Consumer<Throwable> onUnexpectedError)
            throws IOException {
        this("wingroad", maxChannels, maxBufferedBytes, onUnexpectedError);
    }

    /** The same with the thread's name, for a part that has a thread of its own. */
    public EventLoop(
            String name,
            int maxChannels,
            long maxBufferedBytes,
            Consumer<Throwable> onUnexpectedError)
            throws IOException {
        executor = new ScheduledThreadPoolExecutor(1, r -> new Thread(r, name));
        this.maxChannels = maxChannels;
        this.maxBufferedBytes = maxBufferedBytes;
        this.onUnexpectedError = onUnexpectedError;
        executor.setRemoveOnCancelPolicy(true);
        // Not a fixed pool: its own threads poll in here, and no task of ours could run on them.
        // With this one
        // the channels poll on a thread of theirs and hand every completion to ours.
        group = AsynchronousChannelGroup.withThreadPool(executor);
    }

    /** Runs the task on the loop's thread, after what waits there already. From any thread. */
    public void execute(Runnable task) {
        executor.execute(() -> runGuarded(task));
    }

    /** Runs the task after the wait, unless the timer is cancelled first. */
    public Timer schedule(Duration delay, Runnable task) {
        ScheduledFuture<?> future =
                executor.schedule(
                        () -> runGuarded(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    /** Nanoseconds of the monotonic clock. */
    public long nanoTime() {
        return System.nanoTime();
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error error) {
            onUnexpectedError.accept(error);
        }
    }

    /** Something went wrong that a caller has dealt with. */
    public void reportUnexpectedError(Throwable error) {
        onUnexpectedError.accept(error);
    }

    /** How many more channels may be opened. */
    public int availableChannels() {
        return maxChannels - openChannels;
    }

    public int openChannels() {
        return openChannels;
    }

    public int maxChannels() {
        return maxChannels;
    }

    /** Counts bytes that are held from now on, or with a negative number no more. */
    public void addBufferedBytes(long bytes) {
        bufferedBytes += bytes;
    }

    boolean canBuffer(long bytes) {
        return bufferedBytes + bytes <= maxBufferedBytes;
    }

    /** Whether so many may be held for later: half of the room is kept for what is under way. */
    boolean canReadAhead(long bytes) {
        return bufferedBytes + bytes <= maxBufferedBytes / 2;
    }

    public long bufferedBytes() {
        return bufferedBytes;
    }

    void channelOpened() {
        openChannels++;
    }

    void channelClosed() {
        openChannels--;
    }

    /** A task that has not run yet. */
    public interface Timer {
        void cancel();
    }
}
