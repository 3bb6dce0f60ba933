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
 * Stub member with the epoch fence that docs/operators/fleet.md gives as SQL. It records every txn
 * and chore statement that it receives. A chore's statement is {@code SELECT fenced_NAME({epoch})}.
 */
public final class FencedMember implements AutoCloseable {
    private static final Pattern CHORE_STATEMENT =
            Pattern.compile(
                    "(?s)/\\* id=chore-([^,]*)-([0-9]+)-([0-9]+),.*"
                            + "SELECT fenced_\\w+\\(([0-9]+)\\).*");
    private static final long WAIT_TIMEOUT_S = 40;

    private static final Pattern TXN_ID = Pattern.compile("/\\* id=([^,]*),");

    /**
     * A client's txn that the member received.
     *
     * @param receivedAtMs Unix milliseconds
     * @param answeredAtMs Unix milliseconds of the answer, 0 while there is none
     */
    public record ReceivedTxn(long receivedAtMs, String id, AtomicLong answeredAtMs) {}

    /**
     * A chore's statement that the member received.
     *
     * @param receivedAtMs Unix milliseconds
     * @param accepted whether the statement took effect
     * @param staleEpoch whether a higher epoch of the chore had been seen before
     */
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
    private volatile long choreDurationMs;
    private int overlappingChoreCount;
    private final Map<String, Long> runningChoreEpochs = new HashMap<>();
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

    private void handleStatement(String sql, FakeMemberSession session) throws IOException {
        member.queries.clear();
        Matcher matcher = CHORE_STATEMENT.matcher(sql);
        if (!matcher.matches()) {
            handleTxn(sql, session);
            return;
        }
        boolean accepted =
                recordExecution(
                        matcher.group(1),
                        Long.parseLong(matcher.group(4)),
                        Long.parseLong(matcher.group(3)));
        sleep(choreDurationMs);
        if (accepted) {
            recordChoreEnd(matcher.group(1), Long.parseLong(matcher.group(4)));
            session.sendRow("1", member.primary);
        } else {
            // raise_exception, the error that the SQL function of the fence raises
            session.sendError("P0001", member.primary);
        }
    }

    private void handleTxn(String sql, FakeMemberSession session) throws IOException {
        Matcher idMatcher = TXN_ID.matcher(sql);
        ReceivedTxn txn =
                new ReceivedTxn(
                        System.currentTimeMillis(),
                        idMatcher.find() ? idMatcher.group(1) : "",
                        new AtomicLong());
        synchronized (this) {
            txns.add(txn);
            recordColdLoad(txn.receivedAtMs);
            notifyAll();
        }
        try {
            executeTxn(sql, session);
        } finally {
            txn.answeredAtMs.set(System.currentTimeMillis());
        }
    }

    /**
     * Records the load of the last overload window relative to what the member can bear at its
     * current warm-up.
     */
    private void recordColdLoad(long nowMs) {
        if (startupCapacity == null || nowMs - startedAtMs >= startupCapacity.warmUpMs) {
            return;
        }
        long windowStartMs = nowMs - startupCapacity.overloadWindowMs;
        int txnsInWindow = 0;
        for (int i = txns.size() - 1; i >= 0 && txns.get(i).receivedAtMs > windowStartMs; i--) {
            txnsInWindow++;
        }
        double warmShare =
                startupCapacity.initialShare
                        + (1 - startupCapacity.initialShare)
                                * (nowMs - startedAtMs)
                                / startupCapacity.warmUpMs;
        peakColdLoad =
                Math.max(
                        peakColdLoad,
                        txnsInWindow
                                / (startupCapacity.warmTxnsPerSecond
                                        * startupCapacity.overloadWindowMs
                                        / 1000.0
                                        * startupCapacity.overloadFactor
                                        * warmShare));
    }

    private void executeTxn(String sql, FakeMemberSession session) throws IOException {
        boolean permitted = concurrencyPermits == null;
        try {
            permitted =
                    permitted || concurrencyPermits.tryAcquire(WAIT_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            answerTxn(sql, session);
        } finally {
            if (concurrencyPermits != null && permitted) {
                concurrencyPermits.release();
            }
        }
    }

    private static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answerTxn(String sql, FakeMemberSession session) throws IOException {
        if (sql.contains("id=slow")) {
            CountDownLatch released = slowReadsReleased;
            try {
                released.await(WAIT_TIMEOUT_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        } else {
            sleep(answerDelayMs);
        }
        boolean write = sql.contains("INSERT");
        if (write && !member.primary) {
            // read_only_sql_transaction
            session.sendError("25006", false);
        } else {
            session.sendRow("value", member.primary);
        }
    }

    /**
     * How much load a member bears while it warms up after a start.
     *
     * @param warmTxnsPerSecond txns a second that it serves when warm
     * @param warmUpMs duration of the warm-up
     * @param initialShare share of the warm throughput that it serves right after the start
     * @param overloadFactor multiple of its current throughput that overloads it
     * @param overloadWindowMs time window over which load is compared with that limit
     */
    public record StartupCapacity(
            double warmTxnsPerSecond,
            long warmUpMs,
            double initialShare,
            double overloadFactor,
            long overloadWindowMs) {}

    /** Starts the warm-up now and limits how many txns run at a time. */
    public synchronized void simulateStart(StartupCapacity capacity, int maxConcurrentTxns) {
        startupCapacity = capacity;
        startedAtMs = System.currentTimeMillis();
        concurrencyPermits = new Semaphore(maxConcurrentTxns);
    }

    /** Returns the highest load during warm-up relative to the overload limit, which is 1. */
    public synchronized double peakColdLoad() {
        return peakColdLoad;
    }

    /** Makes the member the primary of its group, or a replica. */
    public void setPrimary(boolean primary) {
        member.primary = primary;
    }

    public boolean primary() {
        return member.primary;
    }

    /** Sets how long each client's txn takes. */
    public void setAnswerDelayMs(long ms) {
        answerDelayMs = ms;
    }

    /** Sets how long each chore's statement takes. */
    public void setChoreDurationMs(long ms) {
        choreDurationMs = ms;
    }

    /** Returns how often a chore's statement began while one of another epoch was running. */
    public synchronized int overlappingChores() {
        return overlappingChoreCount;
    }

    /** Sets the replication lag that the member reports. */
    public void setReplicationLagMs(long ms) {
        member.replicationLagMs = ms;
    }

    /** Answers the reads whose id begins with "slow", which wait until then. */
    public void releaseSlowReads() {
        slowReadsReleased.countDown();
    }

    /** Returns the clients' txns received so far, timed by the member's clock. */
    public synchronized List<ReceivedTxn> txns() {
        return List.copyOf(txns);
    }

    /** Waits until the member has received at least that many clients' txns. */
    public synchronized void awaitTxns(int count) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_TIMEOUT_S);
        while (txns.size() < count) {
            long remainingNanos = deadlineNanos - System.nanoTime();
            if (remainingNanos <= 0) {
                throw new AssertionError("only " + txns.size() + " txns were received by " + uid);
            }
            wait(Math.max(1, remainingNanos / 1_000_000));
        }
    }

    /** Waits until a client's txn has come whose id has the prefix. */
    public synchronized void awaitTxn(String idPrefix) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_TIMEOUT_S);
        while (txns.stream().noneMatch(txn -> txn.id().startsWith(idPrefix))) {
            long remainingNanos = deadlineNanos - System.nanoTime();
            if (remainingNanos <= 0) {
                throw new AssertionError("no txn " + idPrefix + " was received by " + uid);
            }
            wait(Math.max(1, remainingNanos / 1_000_000));
        }
    }

    private synchronized boolean recordExecution(String chore, long epoch, long turn) {
        boolean stale = epoch < highestEpochs.getOrDefault(chore, 0L);
        boolean accepted = !stale || !fenced;
        highestEpochs.merge(chore, epoch, Math::max);
        executions.add(
                new ChoreExecution(
                        System.currentTimeMillis(), chore, epoch, turn, accepted, stale));
        if (accepted && !executedTurns.add(chore + " " + turn)) {
            repeatedTurns++;
        }
        if (accepted) {
            Long runningEpoch = runningChoreEpochs.put(chore, epoch);
            overlappingChoreCount += runningEpoch != null && runningEpoch != epoch ? 1 : 0;
        }
        notifyAll();
        return accepted;
    }

    private synchronized void recordChoreEnd(String chore, long epoch) {
        runningChoreEpochs.remove(chore, epoch);
    }

    /** Returns the chores' statements in the order in which they came. */
    public synchronized List<ChoreExecution> executions() {
        return List.copyOf(executions);
    }

    /** Returns how often a turn was accepted that had run before. */
    public synchronized int repeatedTurns() {
        return repeatedTurns;
    }

    /** Waits for the first chore execution at or after the index that meets the condition. */
    public synchronized ChoreExecution awaitExecution(
            int fromIndex, java.util.function.Predicate<ChoreExecution> condition)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_TIMEOUT_S);
        for (int i = fromIndex; ; i++) {
            while (i >= executions.size()) {
                long remainingNanos = deadlineNanos - System.nanoTime();
                if (remainingNanos <= 0) {
                    throw new AssertionError(
                            uid + " received no such chore statement: " + executions);
                }
                wait(Math.max(1, remainingNanos / 1_000_000));
            }
            if (condition.test(executions.get(i))) {
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
