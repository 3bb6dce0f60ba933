package wingroad.rig;

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
import wingroad.Fixtures.Session;
import wingroad.Fixtures.StandInMember;

/**
 * A stand-in member with the fence that docs/operators/fleet.md has as SQL, and a ledger of what
 * came. A chore's statement is {@code SELECT fenced_NAME({epoch})}.
 */
public final class FencedMember implements AutoCloseable {
    private static final Pattern CHORE =
            Pattern.compile(
                    "(?s)/\\* id=chore-([^,]*)-([0-9]+)-([0-9]+),.*"
                            + "SELECT fenced_\\w+\\(([0-9]+)\\).*");
    private static final long PATIENCE_S = 40;

    private static final Pattern CLIENT = Pattern.compile("/\\* id=([^,]*),");

    /** One client's txn that came; {@code end} is when it was answered, 0 while it is not. */
    public record Txn(long at, String id, AtomicLong end) {}

    /** One chore's statement that came. */
    public record Entry(
            long at, String chore, long epoch, long turn, boolean accepted, boolean late) {}

    public final String uid;
    public final int group;
    private final boolean fenced;
    private final StandInMember member;
    private final Map<String, Long> highest = new HashMap<>();
    private final List<Entry> ledger = new ArrayList<>();
    private final Set<String> turns = new HashSet<>();
    private final List<Txn> txns = new ArrayList<>();
    private final CountDownLatch slow = new CountDownLatch(1);
    private volatile long answerMs;
    private volatile Semaphore places;
    private Bears bears;
    private long coldSince;
    private double peak;
    private int twice;

    FencedMember(String uid, int group, boolean primary, boolean fenced) throws IOException {
        this.uid = uid;
        this.group = group;
        this.fenced = fenced;
        member = new StandInMember(primary, this::asked);
    }

    public int port() {
        return member.port();
    }

    private void asked(String sql, Session s) throws IOException {
        member.queries.clear();
        Matcher m = CHORE.matcher(sql);
        if (!m.matches()) {
            client(sql, s);
            return;
        }
        if (chore(m.group(1), Long.parseLong(m.group(4)), Long.parseLong(m.group(3)))) {
            s.row("1", member.primary);
        } else {
            // raise_exception, as the fence's function does
            s.error("P0001", member.primary);
        }
    }

    private void client(String sql, Session s) throws IOException {
        Matcher id = CLIENT.matcher(sql);
        Txn txn =
                new Txn(System.currentTimeMillis(), id.find() ? id.group(1) : "", new AtomicLong());
        synchronized (this) {
            txns.add(txn);
            warmth(txn.at);
            notifyAll();
        }
        try {
            work(sql, s);
        } finally {
            txn.end.set(System.currentTimeMillis());
        }
    }

    /**
     * What a cold member has got in the span in which it falls, as a part of what it bears then.
     */
    private void warmth(long now) {
        if (bears == null || now - coldSince >= bears.coldMs) {
            return;
        }
        long from = now - bears.fallMs;
        int got = 0;
        for (int i = txns.size() - 1; i >= 0 && txns.get(i).at > from; i--) {
            got++;
        }
        double warm = bears.share + (1 - bears.share) * (now - coldSince) / bears.coldMs;
        peak =
                Math.max(
                        peak,
                        got / (bears.perSecond * bears.fallMs / 1000.0 * bears.multiple * warm));
    }

    private void work(String sql, Session s) throws IOException {
        boolean placed = places == null;
        try {
            placed = placed || places.tryAcquire(PATIENCE_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            answer(sql, s);
        } finally {
            if (places != null && placed) {
                places.release();
            }
        }
    }

    private void answer(String sql, Session s) throws IOException {
        if (sql.contains("id=slow")) {
            CountDownLatch until = slow;
            try {
                until.await(PATIENCE_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        } else if (answerMs > 0) {
            try {
                TimeUnit.MILLISECONDS.sleep(answerMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        boolean write = sql.contains("INSERT");
        if (write && !member.primary) {
            // read_only_sql_transaction
            s.error("25006", false);
        } else {
            s.row("value", member.primary);
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
    public record Bears(
            double perSecond, long coldMs, double share, double multiple, long fallMs) {}

    /** It has started now and is cold; it works on so many txns at a time. */
    public synchronized void starts(Bears what, int atATime) {
        bears = what;
        coldSince = System.currentTimeMillis();
        places = new Semaphore(atATime);
    }

    /** How near it came to falling: 1 is the rule's limit. */
    public synchronized double coldPeak() {
        return peak;
    }

    /** From now on it is the group's primary, or a replica. */
    public void primary(boolean is) {
        member.primary = is;
    }

    public boolean primary() {
        return member.primary;
    }

    /** How long each client's txn takes. */
    public void takes(long ms) {
        answerMs = ms;
    }

    /** How far behind the log it says that it is. */
    public void behind(long ms) {
        member.behindMs = ms;
    }

    /** Lets the slow reads go that are here. */
    public void letSlowGo() {
        slow.countDown();
    }

    /** Clients' txns that came, by the member's own clock. */
    public synchronized List<Txn> txns() {
        return List.copyOf(txns);
    }

    /** Waits until so many clients' txns have come. */
    public synchronized void awaitTxns(int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
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
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (txns.stream().noneMatch(t -> t.id().startsWith(id))) {
            long left = end - System.nanoTime();
            if (left <= 0) {
                throw new AssertionError("no txn " + id + " came to " + uid);
            }
            wait(Math.max(1, left / 1_000_000));
        }
    }

    private synchronized boolean chore(String chore, long epoch, long turn) {
        boolean late = epoch < highest.getOrDefault(chore, 0L);
        boolean accepted = !late || !fenced;
        highest.merge(chore, epoch, Math::max);
        ledger.add(new Entry(System.currentTimeMillis(), chore, epoch, turn, accepted, late));
        if (accepted && !turns.add(chore + " " + turn)) {
            twice++;
        }
        notifyAll();
        return accepted;
    }

    public synchronized List<Entry> ledger() {
        return List.copyOf(ledger);
    }

    /** Turns that ran more than once. */
    public synchronized int twice() {
        return twice;
    }

    /** The first entry from this index on that is as wanted. */
    public synchronized Entry await(int from, java.util.function.Predicate<Entry> wanted)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        for (int i = from; ; i++) {
            while (i >= ledger.size()) {
                long left = end - System.nanoTime();
                if (left <= 0) {
                    throw new AssertionError("never came to " + uid + ": " + ledger);
                }
                wait(Math.max(1, left / 1_000_000));
            }
            if (wanted.test(ledger.get(i))) {
                return ledger.get(i);
            }
        }
    }

    public synchronized int entries() {
        return ledger.size();
    }

    @Override
    public void close() throws IOException {
        member.close();
    }
}
