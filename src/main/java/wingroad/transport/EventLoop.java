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
    private final ScheduledThreadPoolExecutor thread;
    private final Consumer<Throwable> onBug;
    private final int mostChannels;
    private int channels;
    private final long mostHeld;
    private long held;
    final AsynchronousChannelGroup group;

    /**
     * @param mostChannels how many channels may be open at once
     * @param mostHeld how many bytes all connections may hold that came in or wait to go out
     * @param onBug hears of what escapes a task
     */
    public EventLoop(int mostChannels, long mostHeld, Consumer<Throwable> onBug)
            throws IOException {
        this("wingroad", mostChannels, mostHeld, onBug);
    }

    /** The same with the thread's name, for a part that has a thread of its own. */
    public EventLoop(String name, int mostChannels, long mostHeld, Consumer<Throwable> onBug)
            throws IOException {
        thread = new ScheduledThreadPoolExecutor(1, r -> new Thread(r, name));
        this.mostChannels = mostChannels;
        this.mostHeld = mostHeld;
        this.onBug = onBug;
        thread.setRemoveOnCancelPolicy(true);
        // Not a fixed pool: its own threads poll in here, and no task of ours could run on them.
        // With this one
        // the channels poll on a thread of theirs and hand every completion to ours.
        group = AsynchronousChannelGroup.withThreadPool(thread);
    }

    /** Runs the task on the loop's thread, after what waits there already. From any thread. */
    public void run(Runnable task) {
        thread.execute(() -> guarded(task));
    }

    /** Runs the task after the wait, unless the timer is cancelled first. */
    public Timer after(Duration wait, Runnable task) {
        ScheduledFuture<?> f =
                thread.schedule(
                        () -> guarded(task), Math.max(0, wait.toNanos()), TimeUnit.NANOSECONDS);
        return () -> f.cancel(false);
    }

    /** Nanoseconds of the monotonic clock. */
    public long now() {
        return System.nanoTime();
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error bug) {
            onBug.accept(bug);
        }
    }

    /** Something went wrong that a caller has dealt with. */
    public void bug(Throwable bug) {
        onBug.accept(bug);
    }

    /** How many more channels may be opened. */
    public int channelsLeft() {
        return mostChannels - channels;
    }

    public int channels() {
        return channels;
    }

    public int mostChannels() {
        return mostChannels;
    }

    /** Counts bytes that are held from now on, or with a negative number no more. */
    public void hold(long bytes) {
        held += bytes;
    }

    boolean mayHold(long bytes) {
        return held + bytes <= mostHeld;
    }

    /** Whether so many may be held for later: half of the room is kept for what is under way. */
    boolean maySpare(long bytes) {
        return held + bytes <= mostHeld / 2;
    }

    public long held() {
        return held;
    }

    void opened() {
        channels++;
    }

    void closed() {
        channels--;
    }

    /** A task that has not run yet. */
    public interface Timer {
        void cancel();
    }
}
