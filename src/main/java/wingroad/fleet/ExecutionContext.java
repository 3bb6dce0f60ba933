package wingroad.fleet;

import java.time.Duration;

/**
 * Clock, timers and task queue of the single thread that the fleet's components run on. Implemented
 * by an event loop, and by simulations in virtual time.
 */
public interface ExecutionContext {
    /** Monotonic time since an arbitrary start. */
    Duration now();

    /** Wall clock time in milliseconds since the Unix epoch; for display only. */
    long wallClockMs();

    /** Queues the task to run on the same thread. */
    void execute(Runnable task);

    /** Runs the task on the same thread after the delay. */
    void schedule(Duration delay, Runnable task);

    /** Writes a line to the log of the process. */
    void log(String line);
}
