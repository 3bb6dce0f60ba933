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
 * Where chores become txns: of a type of their own, once-only and worth less than any client's,
 * with the lease's end for an expiry. So a statement is neither sent nor waited for once another
 * driver may own the duty.
 */
final class ChoreExecutor implements ChoreRunner {
    /** What a chore is worth beside the least of the clients' types. */
    private static final double WORTH = 0.01;

    /** A statement that can't end before its lease has so little left is not begun. */
    private static final Duration LEAST = Duration.ofMillis(20);

    private final EventLoop loop;
    private final Exchange exchange;
    private final int type;
    private final Duration expiry;
    private volatile Consumer<Runnable> answers;

    ChoreExecutor(EventLoop loop, Exchange exchange, Map<String, Object> terms) {
        this.loop = loop;
        this.exchange = exchange;
        TxnType[] types = TxnType.fromSettings(terms);
        type = types.length;
        expiry = expiry(types);
    }

    /** How to get back onto the fleet's thread. */
    void answerOn(Consumer<Runnable> thread) {
        answers = thread;
    }

    private static Duration expiry(TxnType[] types) {
        Duration longest = Duration.ofSeconds(1);
        for (TxnType t : types) {
            longest = t.expiry().compareTo(longest) > 0 ? t.expiry() : longest;
        }
        return longest;
    }

    /** The fleet's rules with what the deployment's terms say of work on machines. */
    static FleetConfig settled(FleetConfig rules, Map<String, Object> terms) {
        return rules.withMaintenance(
                rules.maintenance()
                        .withDeploymentSettings(
                                expiry(TxnType.fromSettings(terms)),
                                (Duration) terms.get("cold"),
                                (Duration) terms.get("drain-grace")));
    }

    /** The terms with one more txn type behind the clients' own, whose numbers stay. */
    static Map<String, Object> withType(Map<String, Object> terms) {
        TxnType[] types = TxnType.fromSettings(terms);
        Map<String, Object> more = new HashMap<>(terms);
        String t = "txn-type." + types.length + ".";
        double least = 1;
        for (TxnType o : types) {
            least = Math.min(least, o.value());
        }
        more.put("txn-types", types.length + 1.0);
        more.put(t + "sla-time", expiry(types));
        more.put(t + "expiry", expiry(types));
        more.put(t + "value", least * WORTH);
        more.put(t + "late-share", 0.0);
        more.put(t + "repeat", "once-only");
        more.put(t + "repeats-dropped-by", "all");
        more.put(t + "window", Duration.ZERO);
        more.put(t + "reads", "update");
        more.put(t + "oldest-data", Duration.ZERO);
        return more;
    }

    @Override
    public void run(Chore chore, long epoch, long turn, Duration until, Completion ended) {
        loop.run(() -> begin(chore, epoch, turn, until, ended));
    }

    private void begin(Chore chore, long epoch, long turn, Duration until, Completion ended) {
        // The clock is read here, behind all waiting; what comes after this is the fence's to
        // catch.
        Duration left = until.minus(Duration.ofNanos(System.nanoTime()));
        left = left.compareTo(expiry) < 0 ? left : expiry;
        if (left.compareTo(LEAST) < 0) {
            tell(ended, "not begun: the lease ends");
            return;
        }
        String txn =
                exchange.ownArrived(
                        statement(chore, epoch, turn, left),
                        type,
                        new Exchange.TxnCallback() {
                            @Override
                            public void committed(byte[] row) {
                                tell(ended, "ran");
                            }

                            @Override
                            public void declined(Duration comeBack) {
                                tell(ended, "declined, never ran");
                            }

                            @Override
                            public void rolledBack() {
                                tell(ended, "refused or broken off: has run or not");
                            }
                        });
        if (txn == null) {
            tell(ended, "not taken, never ran");
        }
    }

    private void tell(Completion ended, String outcome) {
        answers.accept(() -> ended.completed(outcome));
    }

    static Statement statement(Chore chore, long epoch, long turn, Duration left) {
        String id = "chore-" + chore.name() + "-" + epoch + "-" + turn;
        String head = "/* id=" + id + ",c=chore,d=";
        String ms = Long.toString(left.toMillis());
        String text =
                head
                        + ms
                        + ",cluster="
                        + chore.group()
                        + " */ "
                        + chore.statement().replace("{epoch}", Long.toString(epoch));
        // Positions are of bytes: the head is plain ASCII, since names are.
        return new Statement(
                id,
                "chore",
                left.toMillis(),
                chore.group(),
                null,
                false,
                true,
                id,
                text.getBytes(StandardCharsets.UTF_8),
                head.length(),
                head.length() + ms.length());
    }
}
