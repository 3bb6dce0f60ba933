package wingroad.fleet;

import java.time.Duration;

/**
 * What the fleet's parts stand on: a thread's tasks and timers and its clock. Real, or played in
 * virtual time.
 */
public interface Host {
    /** The monotone clock, since some start. */
    Duration now();

    /** The wall clock in Unix milliseconds, for people alone. */
    long wall();

    /** Runs the task on the same thread, later. */
    void run(Runnable task);

    void after(Duration wait, Runnable task);

    void log(String line);
}
