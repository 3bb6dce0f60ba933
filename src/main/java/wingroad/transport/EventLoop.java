package wingroad.transport;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A single-threaded event loop that owns the routing module and all connections. Tasks, timers and
 * completion handlers of channels run on its thread in order of arrival. It also counts open
 * channels, and so file descriptors, and buffered bytes.
 */
public final class EventLoop {
    /** This part of the buffered bytes is reserved for input that others depend on. */
    private static final long ESSENTIAL_RESERVE_DIVISOR = 4;

    /** Connections that hold less are not closed for their memory: they are about to be done. */
    private static final int MIN_DISPLACED_BYTES = 16 * 1024;

    private final ScheduledThreadPoolExecutor executor;
    private final Consumer<Throwable> onUnexpectedError;
    private final int maxChannels;
    private int openChannels;
    private final long maxBufferedBytes;
    private long bufferedBytes;
    private InputReclaimer inputReclaimer = heldBytes -> false;
    final AsynchronousChannelGroup group;

    /**
     * Creates the loop and starts its thread.
     *
     * @param maxChannels how many channels may be open at once
     * @param maxBufferedBytes how many bytes of input and queued output all connections may hold
     *     together
     * @param onUnexpectedError called with what a task throws
     */
    public EventLoop(int maxChannels, long maxBufferedBytes, Consumer<Throwable> onUnexpectedError)
            throws IOException {
        this("wingroad", maxChannels, maxBufferedBytes, onUnexpectedError);
    }

    /** Creates a loop with a thread name, for a component that has its own thread. */
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
        // With a fixed pool, the pool's own threads poll in the channel group and could not run
        // other tasks. With this one, the channels poll on an internal thread and pass each
        // completion to the executor.
        group = AsynchronousChannelGroup.withThreadPool(executor);
    }

    /**
     * Runs the task on the loop's thread after those queued before. May be called from any thread.
     */
    public void execute(Runnable task) {
        executor.execute(() -> runGuarded(task));
    }

    /** Runs the task after the delay, unless the timer is cancelled first. */
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

    /** Reports an unexpected error that the caller has handled. */
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

    /** Adds to the count of buffered bytes; a negative number subtracts. */
    public void addBufferedBytes(long bytes) {
        bufferedBytes += bytes;
    }

    /**
     * Whether so many bytes may be buffered.
     *
     * @param essential whether they may take what is reserved for input that others depend on
     */
    boolean canBuffer(long bytes, boolean essential) {
        long reserved = essential ? 0 : maxBufferedBytes / ESSENTIAL_RESERVE_DIVISOR;
        return bufferedBytes + bytes <= maxBufferedBytes - reserved;
    }

    /**
     * Makes room for a client's request, if need be at the expense of connections that hold as much
     * for unfinished ones; returns whether it may be kept.
     */
    public boolean makeRoomForRequest(int bytes) {
        return makeRoom(bytes, false, bytes);
    }

    /**
     * Whether so many bytes may be buffered for read-ahead: half of the memory is reserved for
     * requests in progress.
     */
    boolean canReadAhead(long bytes) {
        return bufferedBytes + bytes <= maxBufferedBytes / 2;
    }

    /** Frees memory that connections hold for input; called when there is none left. */
    public interface InputReclaimer {
        /**
         * Closes a connection whose unfinished input holds at least so many bytes; returns whether
         * there was one.
         */
        boolean reclaim(int heldBytes);
    }

    /** Sets who decides which connection's input gives way to others. */
    public void setInputReclaimer(InputReclaimer reclaimer) {
        inputReclaimer = reclaimer;
    }

    /**
     * Makes room for more input if need be.
     *
     * @param bytes how many more bytes are to be buffered
     * @param essential whether others depend on them
     * @param displaceableBytes how much a connection must hold at least to be closed for that
     * @return whether the bytes may be buffered now
     */
    boolean makeRoom(long bytes, boolean essential, int displaceableBytes) {
        while (!canBuffer(bytes, essential)) {
            if (!inputReclaimer.reclaim(Math.max(displaceableBytes, MIN_DISPLACED_BYTES))) {
                return false;
            }
        }
        return true;
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

    /** A scheduled task. */
    public interface Timer {
        void cancel();
    }
}
