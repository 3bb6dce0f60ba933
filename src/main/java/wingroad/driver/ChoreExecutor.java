package wingroad.driver;

import wingroad.fleet.ChoreRunner;
import wingroad.fleet.FleetConfig;
import wingroad.fleet.FleetConfig.Chore;
import wingroad.protocol.Statement;
import wingroad.state.TxnType;
import wingroad.transport.EventLoop;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Runs the statements of chores as txns. They have a txn type of their own, which is once-only and
 * has less value than any client's type, and expire at the end of the lease. So a statement is
 * neither sent nor waited for once another driver may own the duty.
 */
final class ChoreExecutor implements ChoreRunner {
    /** The value of a chore relative to the least value among the clients' types. */
    private static final double VALUE_FACTOR = 0.01;

    /** A statement is not started with less time than this left of its lease. */
    private static final Duration MIN_TIME_LEFT = Duration.ofMillis(20);

    private final EventLoop loop;
    private final TxnDispatcher dispatcher;
    private final int choreTypeIndex;

    /** The longest expiry of the clients' types, which limits a chore as well. */
    private final Duration longestExpiry;

    /** Runs a task on the fleet's thread. */
    private volatile Consumer<Runnable> fleetThread;

    ChoreExecutor(EventLoop loop, TxnDispatcher dispatcher, Map<String, Object> routerSettings) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        TxnType[] types = TxnType.fromSettings(routerSettings);
        choreTypeIndex = types.length;
        longestExpiry = longestExpiry(types);
    }

    /** Sets the executor of the fleet's thread, on which outcomes are reported. */
    void setFleetThread(Consumer<Runnable> executor) {
        fleetThread = executor;
    }

    private static Duration longestExpiry(TxnType[] types) {
        Duration longest = Duration.ofSeconds(1);
        for (TxnType type : types) {
            longest = type.expiry().compareTo(longest) > 0 ? type.expiry() : longest;
        }
        return longest;
    }

    /** The fleet's configuration with the deployment's settings that concern maintenance work. */
    static FleetConfig withDeploymentSettings(
            FleetConfig fleetConfig, Map<String, Object> routerSettings) {
        return fleetConfig.withMaintenance(
                fleetConfig
                        .maintenance()
                        .withDeploymentSettings(
                                longestExpiry(TxnType.fromSettings(routerSettings)),
                                (Duration) routerSettings.get("cold"),
                                (Duration) routerSettings.get("drain-grace")));
    }

    /**
     * The router's settings with the chores' txn type added after the clients' types, which keep
     * their indexes.
     */
    static Map<String, Object> withChoreType(Map<String, Object> routerSettings) {
        TxnType[] types = TxnType.fromSettings(routerSettings);
        Map<String, Object> extended = new HashMap<>(routerSettings);
        String prefix = "txn-type." + types.length + ".";
        double leastValue = 1;
        for (TxnType type : types) {
            leastValue = Math.min(leastValue, type.value());
        }
        extended.put("txn-types", types.length + 1.0);
        extended.put(prefix + "sla-time", longestExpiry(types));
        extended.put(prefix + "expiry", longestExpiry(types));
        extended.put(prefix + "value", leastValue * VALUE_FACTOR);
        extended.put(prefix + "late-share", 0.0);
        extended.put(prefix + "repeat", "once-only");
        extended.put(prefix + "repeats-dropped-by", "all");
        extended.put(prefix + "window", Duration.ZERO);
        extended.put(prefix + "reads", "update");
        extended.put(prefix + "oldest-data", Duration.ZERO);
        return extended;
    }

    @Override
    public void run(
            Chore chore, long epoch, long runNumber, Duration leaseEnd, Completion callback) {
        loop.execute(() -> submit(chore, epoch, runNumber, leaseEnd, callback));
    }

    private void submit(
            Chore chore, long epoch, long runNumber, Duration leaseEnd, Completion callback) {
        // The clock is read here, after all queueing. A delay after this point is caught by the
        // fencing epoch.
        Duration timeLeft = leaseEnd.minus(Duration.ofNanos(System.nanoTime()));
        timeLeft = timeLeft.compareTo(longestExpiry) < 0 ? timeLeft : longestExpiry;
        if (timeLeft.compareTo(MIN_TIME_LEFT) < 0) {
            report(callback, "not begun: the lease ends", false);
            return;
        }
        String txn =
                dispatcher.ownTxnArrived(
                        statement(chore, epoch, runNumber, timeLeft),
                        choreTypeIndex,
                        new TxnDispatcher.TxnCallback() {
                            @Override
                            public void committed(byte[] row) {
                                report(callback, "ran", false);
                            }

                            @Override
                            public void declined(Duration retryAfter) {
                                report(callback, "declined, never ran", false);
                            }

                            @Override
                            public void rolledBack() {
                                report(callback, "refused or broken off: has run or not", true);
                            }
                        });
        if (txn == null) {
            report(callback, "not taken, never ran", false);
        }
    }

    private void report(Completion callback, String outcome, boolean mayStillRun) {
        fleetThread.accept(() -> callback.completed(outcome, mayStillRun));
    }

    static Statement statement(Chore chore, long epoch, long runNumber, Duration timeLeft) {
        String id = "chore-" + chore.name() + "-" + epoch + "-" + runNumber;
        String head = "/* id=" + id + ",c=chore,d=";
        String timeLeftMs = Long.toString(timeLeft.toMillis());
        String text =
                head
                        + timeLeftMs
                        + ",cluster="
                        + chore.group()
                        + " */ "
                        + chore.statement().replace("{epoch}", Long.toString(epoch));
        // Positions count bytes: the head is ASCII, as chores' names are.
        return new Statement(
                id,
                "chore",
                timeLeft.toMillis(),
                chore.group(),
                null,
                false,
                true,
                id,
                text.getBytes(StandardCharsets.UTF_8),
                head.length(),
                head.length() + timeLeftMs.length());
    }
}
