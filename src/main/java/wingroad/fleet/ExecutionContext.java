package wingroad.fleet;

import java.time.Duration;

/**
 * What the fleet's parts stand on: a thread's tasks and timers and its clock. Real, or played in
 * virtual time.
 */
public interface ExecutionContext {
    /** The monotone clock, since some start. */
    Duration now();

    /** The wall clock in Unix milliseconds, for people alone. */
    long wallClockMs();

    /** Runs the task on the same thread, later. */
    void execute(Runnable task);

    void schedule(Duration wait, Runnable task);

    void log(String line);
}
