package wingroad.transport;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
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

    /** This part of them is reserved for such input of {@link #SMALL_INPUT_BYTES} at most. */
    private static final long SMALL_INPUT_RESERVE_DIVISOR = 8;

    private static final int SMALL_INPUT_BYTES = 16 * 1024;

    /** Connections that hold less are not closed for their memory: they are about to be done. */
    private static final int MIN_DISPLACED_BYTES = 8 * 1024;

    private final ScheduledThreadPoolExecutor executor;
    private final Consumer<Throwable> onUnexpectedError;
    private final ArrayDeque<Runnable> tasksInTurn = new ArrayDeque<>();
    private final int maxChannels;
    private int openChannels;
    private int closingChannels;
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
        // After close() nothing runs any more, and nothing complains of that.
        executor =
                new ScheduledThreadPoolExecutor(
                        1, r -> new Thread(r, name), new ThreadPoolExecutor.DiscardPolicy());
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

    /**
     * Runs the task after those of this kind before it, only one of which runs between the loop's
     * other tasks: for work that may come in bursts and is long for a single task. Must be called
     * on the loop's thread.
     */
    public void executeInTurn(Runnable task) {
        tasksInTurn.add(task);
        if (tasksInTurn.size() == 1) {
            execute(this::runTaskInTurn);
        }
    }

    private void runTaskInTurn() {
        runGuarded(tasksInTurn.peek());
        tasksInTurn.remove();
        if (!tasksInTurn.isEmpty()) {
            execute(this::runTaskInTurn);
        }
    }

    /** Runs the task after the delay, unless the timer is cancelled first. */
    public Timer schedule(Duration delay, Runnable task) {
        ScheduledFuture<?> future =
                executor.schedule(
                        () -> runGuarded(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    /**
     * Closes all channels and ends the threads, just before the process exits: the virtual machine
     * waits for 300 ms at its exit while a thread polls in native code. Must be called on the
     * loop's thread.
     */
    public void close() {
        try {
            group.shutdownNow();
        } catch (IOException e) {
            onUnexpectedError.accept(e);
        }
        executor.shutdownNow();
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

    /** How many more channels may be opened, those that are about to close included. */
    public int availableChannels() {
        return maxChannels - openChannels + closingChannels;
    }

    /**
     * Counts a channel as free that its owner closes within a few loop turns, or takes back with
     * -1.
     */
    public void addClosingChannels(int count) {
        closingChannels += count;
    }

    public int closingChannels() {
        return closingChannels;
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
     * How much all connections may buffer so that input may be added. The last parts are reserved
     * for input that others depend on, and the very last for such input of small size.
     */
    private long inputLimit(boolean essential, int bufferBytes) {
        if (!essential) {
            return maxBufferedBytes - maxBufferedBytes / ESSENTIAL_RESERVE_DIVISOR;
        }
        return bufferBytes > SMALL_INPUT_BYTES
                ? maxBufferedBytes - maxBufferedBytes / SMALL_INPUT_RESERVE_DIVISOR
                : maxBufferedBytes;
    }

    /**
     * Makes room for input, if need be at the expense of connections that hold as much for
     * unfinished input; returns whether it may be buffered.
     *
     * @param bytes how many more bytes are to be buffered
     * @param essential whether others depend on the input, so that any unfinished input gives way
     * @param bufferBytes how much the connection will hold in all
     */
    boolean makeRoomForInput(int bytes, boolean essential, int bufferBytes) {
        return makeRoom(bytes, inputLimit(essential, bufferBytes), essential ? 0 : bufferBytes);
    }

    /**
     * Makes room for a client's whole request, likewise; returns whether it may be kept. Large ones
     * may take half of the memory at most, so that there is some for small ones.
     */
    public boolean makeRoomForRequest(int bytes, boolean large) {
        return makeRoom(bytes, large ? maxBufferedBytes / 2 : inputLimit(false, bytes), bytes);
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

    private boolean makeRoom(long bytes, long limit, int displaceableBytes) {
        while (bufferedBytes + bytes > limit) {
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
