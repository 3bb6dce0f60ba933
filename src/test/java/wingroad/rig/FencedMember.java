package wingroad.rig;

import wingroad.Fixtures.FakeMember;
import wingroad.Fixtures.FakeMemberSession;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in member with the fence that docs/operators/fleet.md has as SQL, and a ledger of what
 * came. A chore's statement is {@code SELECT fenced_NAME({epoch})}.
 */
public final class FencedMember implements AutoCloseable {
    private static final Pattern CHORE_STATEMENT =
            Pattern.compile(
                    "(?s)/\\* id=chore-([^,]*)-([0-9]+)-([0-9]+),.*"
                            + "SELECT fenced_\\w+\\(([0-9]+)\\).*");
    private static final long WAIT_TIMEOUT_S = 40;

    private static final Pattern TXN_ID = Pattern.compile("/\\* id=([^,]*),");

    /** One client's txn that came; {@code end} is when it was answered, 0 while it is not. */
    public record ReceivedTxn(long receivedAtMs, String id, AtomicLong answeredAtMs) {}

    /** One chore's statement that came. */
    public record ChoreExecution(
            long receivedAtMs,
            String chore,
            long epoch,
            long turn,
            boolean accepted,
            boolean staleEpoch) {}

    public final String uid;
    public final int group;
    private final boolean fenced;
    private final FakeMember member;
    private final Map<String, Long> highestEpochs = new HashMap<>();
    private final List<ChoreExecution> executions = new ArrayList<>();
    private final Set<String> executedTurns = new HashSet<>();
    private final List<ReceivedTxn> txns = new ArrayList<>();
    private final CountDownLatch slowReadsReleased = new CountDownLatch(1);
    private volatile long answerDelayMs;
    private volatile Semaphore concurrencyPermits;
    private StartupCapacity startupCapacity;
    private long startedAtMs;
    private double peakColdLoad;
    private int repeatedTurns;

    FencedMember(String uid, int group, boolean primary, boolean fenced) throws IOException {
        this.uid = uid;
        this.group = group;
        this.fenced = fenced;
        member = new FakeMember(primary, this::handleStatement);
    }

    public int port() {
        return member.port();
    }

    private void handleStatement(String sql, FakeMemberSession s) throws IOException {
        member.queries.clear();
        Matcher m = CHORE_STATEMENT.matcher(sql);
        if (!m.matches()) {
            handleTxn(sql, s);
            return;
        }
        if (recordExecution(m.group(1), Long.parseLong(m.group(4)), Long.parseLong(m.group(3)))) {
            s.sendRow("1", member.primary);
        } else {
            // raise_exception, as the fence's function does
            s.sendError("P0001", member.primary);
        }
    }

    private void handleTxn(String sql, FakeMemberSession s) throws IOException {
        Matcher id = TXN_ID.matcher(sql);
        ReceivedTxn txn =
                new ReceivedTxn(
                        System.currentTimeMillis(), id.find() ? id.group(1) : "", new AtomicLong());
        synchronized (this) {
            txns.add(txn);
            recordColdLoad(txn.receivedAtMs);
            notifyAll();
        }
        try {
            executeTxn(sql, s);
        } finally {
            txn.answeredAtMs.set(System.currentTimeMillis());
        }
    }

    /**
     * What a cold member has got in the span in which it falls, as a part of what it bears then.
     */
    private void recordColdLoad(long now) {
        if (startupCapacity == null || now - startedAtMs >= startupCapacity.warmUpMs) {
            return;
        }
        long from = now - startupCapacity.overloadWindowMs;
        int got = 0;
        for (int i = txns.size() - 1; i >= 0 && txns.get(i).receivedAtMs > from; i--) {
            got++;
        }
        double warm =
                startupCapacity.initialShare
                        + (1 - startupCapacity.initialShare)
                                * (now - startedAtMs)
                                / startupCapacity.warmUpMs;
        peakColdLoad =
                Math.max(
                        peakColdLoad,
                        got
                                / (startupCapacity.warmTxnsPerSecond
                                        * startupCapacity.overloadWindowMs
                                        / 1000.0
                                        * startupCapacity.overloadFactor
                                        * warm));
    }

    private void executeTxn(String sql, FakeMemberSession s) throws IOException {
        boolean placed = concurrencyPermits == null;
        try {
            placed = placed || concurrencyPermits.tryAcquire(WAIT_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            answerTxn(sql, s);
        } finally {
            if (concurrencyPermits != null && placed) {
                concurrencyPermits.release();
            }
        }
    }

    private void answerTxn(String sql, FakeMemberSession s) throws IOException {
        if (sql.contains("id=slow")) {
            CountDownLatch until = slowReadsReleased;
            try {
                until.await(WAIT_TIMEOUT_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        } else if (answerDelayMs > 0) {
            try {
                TimeUnit.MILLISECONDS.sleep(answerDelayMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        boolean write = sql.contains("INSERT");
        if (write && !member.primary) {
            // read_only_sql_transaction
            s.sendError("25006", false);
        } else {
            s.sendRow("value", member.primary);
        }
    }

    /**
     * What it bears after a start.
     *
     * @param perSecond txns a second that it serves when warm
     * @param coldMs how long it is cold
     * @param share its part of that at the start
     * @param multiple so many times what it can do then makes it fall, within the span
     */
    public record StartupCapacity(
            double warmTxnsPerSecond,
            long warmUpMs,
            double initialShare,
            double overloadFactor,
            long overloadWindowMs) {}

    /** It has started now and is cold; it works on so many txns at a time. */
    public synchronized void simulateStart(StartupCapacity what, int atATime) {
        startupCapacity = what;
        startedAtMs = System.currentTimeMillis();
        concurrencyPermits = new Semaphore(atATime);
    }

    /** How near it came to falling: 1 is the rule's limit. */
    public synchronized double peakColdLoad() {
        return peakColdLoad;
    }

    /** From now on it is the group's primary, or a replica. */
    public void setPrimary(boolean is) {
        member.primary = is;
    }

    public boolean primary() {
        return member.primary;
    }

    /** How long each client's txn takes. */
    public void setAnswerDelayMs(long ms) {
        answerDelayMs = ms;
    }

    /** How far behind the log it says that it is. */
    public void setReplicationLagMs(long ms) {
        member.replicationLagMs = ms;
    }

    /** Lets the slow reads go that are here. */
    public void releaseSlowReads() {
        slowReadsReleased.countDown();
    }

    /** Clients' txns that came, by the member's own clock. */
    public synchronized List<ReceivedTxn> txns() {
        return List.copyOf(txns);
    }

    /** Waits until so many clients' txns have come. */
    public synchronized void awaitTxns(int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_TIMEOUT_S);
        while (txns.size() < count) {
            long left = end - System.nanoTime();
            if (left <= 0) {
                throw new AssertionError("only " + txns.size() + " txns came to " + uid);
            }
            wait(Math.max(1, left / 1_000_000));
        }
    }

    /** Waits for the next client's txn whose id begins so. */
    public synchronized void awaitTxn(String id) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_TIMEOUT_S);
        while (txns.stream().noneMatch(t -> t.id().startsWith(id))) {
            long left = end - System.nanoTime();
            if (left <= 0) {
                throw new AssertionError("no txn " + id + " came to " + uid);
            }
            wait(Math.max(1, left / 1_000_000));
        }
    }

    private synchronized boolean recordExecution(String chore, long epoch, long turn) {
        boolean late = epoch < highestEpochs.getOrDefault(chore, 0L);
        boolean accepted = !late || !fenced;
        highestEpochs.merge(chore, epoch, Math::max);
        executions.add(
                new ChoreExecution(System.currentTimeMillis(), chore, epoch, turn, accepted, late));
        if (accepted && !executedTurns.add(chore + " " + turn)) {
            repeatedTurns++;
        }
        notifyAll();
        return accepted;
    }

    public synchronized List<ChoreExecution> executions() {
        return List.copyOf(executions);
    }

    /** Turns that ran more than once. */
    public synchronized int repeatedTurns() {
        return repeatedTurns;
    }

    /** The first entry from this index on that is as wanted. */
    public synchronized ChoreExecution awaitExecution(
            int from, java.util.function.Predicate<ChoreExecution> wanted)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_TIMEOUT_S);
        for (int i = from; ; i++) {
            while (i >= executions.size()) {
                long left = end - System.nanoTime();
                if (left <= 0) {
                    throw new AssertionError("never came to " + uid + ": " + executions);
                }
                wait(Math.max(1, left / 1_000_000));
            }
            if (wanted.test(executions.get(i))) {
                return executions.get(i);
            }
        }
    }

    public synchronized int executionCount() {
        return executions.size();
    }

    @Override
    public void close() throws IOException {
        member.close();
    }
}
