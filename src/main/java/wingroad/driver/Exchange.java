package wingroad.driver;

import static wingroad.state.Durations.min;

import wingroad.door.AdmissionDecision;
import wingroad.door.ClientContext;
import wingroad.door.FairQueues;
import wingroad.door.QueuedTxn;
import wingroad.protocol.Statement;
import wingroad.routing.Decision;
import wingroad.routing.Router;
import wingroad.state.Member;
import wingroad.state.Submission;
import wingroad.transport.EventLoop;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Where the client side, the member side and discovery meet, with the module between them. It says
 * to the module what happens, pulls its decisions and hands them to whom they concern; it decides
 * nothing.
 */
final class Exchange implements Results {
    /** Who asked for a txn; one of these is its final answer. */
    interface TxnCallback {
        void committed(byte[] row);

        void declined(Duration comeBack);

        void rolledBack();
    }

    /**
     * The member side. It answers each request once, later, by {@link #ended} or {@link #probed}.
     */
    interface MemberTransport {
        void dispatch(MemberRequest request);

        void callOff(String txn, int submission);

        /** Closes the connections to the member that stand idle. */
        void release(long member);

        /** Closes a connection that stands idle and is not needed; false where there is none. */
        boolean giveWay();
    }

    /** Discovery. */
    interface Lists {
        void follow();

        void fetch();
    }

    /**
     * Whoever wants to see what happens, and to look at the time before each turn; there is none
     * unless work is planned.
     */
    interface Watcher {
        /** Before the module is asked. */
        void look();

        /** A member has said of itself. */
        void told(long member, Member.Role role, Duration position);

        /** A member gave no answer. */
        void failed(long member);

        /** A submission was at a member for so long. */
        void took(long member, Duration took);

        /** A txn has its final answer, so long after it came. */
        void answered(int type, Duration after, boolean committed);
    }

    /** One submission, or a probe where the statement is null, for a member until a time. */
    record MemberRequest(
            String txn, int submission, long member, Statement statement, Duration until) {
        boolean probe() {
            return statement == null;
        }
    }

    /** What a member said of itself with an answer; {@code report} is null without one. */
    record MemberStatus(Member.Role role, Duration position, Report report) {
        static final MemberStatus NOTHING = new MemberStatus(Member.Role.UNKNOWN, null, null);
    }

    /** A member's report; figures not in it are NaN. */
    record Report(Member.Role role, Duration position, double held, double waiting, double busy) {}

    private static final class Open {
        final Statement statement;
        final int type;
        final long session;
        final TxnCallback callback;
        final Duration expiresAt;
        final Duration arrivedAt;

        /** It was handed to the member side at some time: it may be at a member. */
        boolean dispatched;

        /** Its way through the door, or null where there is none. */
        QueuedTxn queued;

        Open(
                Statement statement,
                int type,
                long session,
                TxnCallback callback,
                Duration arrivedAt,
                Duration expiresAt) {
            this.arrivedAt = arrivedAt;
            this.statement = statement;
            this.type = type;
            this.session = session;
            this.callback = callback;
            this.expiresAt = expiresAt;
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final Router router;
    private final Duration probeWait;
    private final Consumer<Throwable> onBug;
    private final Map<String, Open> open = new HashMap<>();

    /** Who goes next to the module, or null: each at once. */
    private FairQueues door;

    /** Who sees what happens, or null. */
    private Watcher watcher;

    private MemberTransport carrier;
    private Lists lists;

    /** Closes an idle client's connection, where there is one. */
    private BooleanSupplier room;

    private long txns;
    private Duration endBy;
    private boolean pullAsked;
    private Duration wakeAt;
    private EventLoop.Timer wake;

    Exchange(
            EventLoop loop,
            Clock clock,
            Router router,
            Duration probeWait,
            Consumer<Throwable> onBug) {
        this.loop = loop;
        this.clock = clock;
        this.router = router;
        this.probeWait = probeWait;
        this.onBug = onBug;
    }

    /**
     * The program ends: whatever is open, and whatever is taken from now on, has its answer by
     * then.
     */
    void endBy(Duration at) {
        endBy = at;
        router().answerAllBy(clock.now(), at);
        if (door != null) {
            door.drainBy(at);
            changed();
        }
    }

    /** From now on clients' txns pass by this door; not while any are open. */
    void passBy(FairQueues fair) {
        door = fair;
        if (endBy != null) {
            fair.drainBy(endBy);
        }
    }

    void watch(Watcher by) {
        watcher = by;
    }

    void meet(MemberTransport carrier, Lists lists, BooleanSupplier room) {
        this.room = room;
        this.carrier = carrier;
        this.lists = lists;
    }

    Router router() {
        changed();
        return router;
    }

    Duration now() {
        return clock.now();
    }

    int openTxns() {
        return open.size();
    }

    // ---- from the clients ----

    /** A txn was accepted; the name by which it is known here, or null where it can't be taken. */
    String arrived(Statement s, int type, long session, TxnCallback callback) {
        return arrived(s, type, session, callback, null, null);
    }

    /** A txn of the driver's own: by no door, since it is no client's. */
    String ownArrived(Statement s, int type, TxnCallback callback) {
        return arrived(s, type, -1, callback, null, null, false);
    }

    /** The same, with who asks and under which name, for the door. */
    String arrived(
            Statement s,
            int type,
            long session,
            TxnCallback callback,
            ClientContext caller,
            String name) {
        return arrived(s, type, session, callback, caller, name, door != null);
    }

    private String arrived(
            Statement s,
            int type,
            long session,
            TxnCallback callback,
            ClientContext caller,
            String name,
            boolean byDoor) {
        Duration now = clock.now();
        String txn = "t" + txns++;
        Duration left = Duration.ofMillis(s.left());
        if (endBy != null && now.plus(left).compareTo(endBy) > 0) {
            left = endBy.minus(now);
        }
        Open t = new Open(s, type, session, callback, now, now.plus(left));
        open.put(txn, t);
        try {
            if (!byDoor) {
                letIn(now, txn, t, Duration.ZERO);
            } else {
                t.queued =
                        door.onTxnArrived(now, txn, type, s.group(), left, caller, name, s.retry());
                changed();
            }
        } catch (RuntimeException bug) {
            onBug.accept(bug);
            open.remove(txn);
            return null;
        }
        return txn;
    }

    private void letIn(Duration now, String txn, Open t, Duration waited) {
        Double after = t.statement.after();
        router().txnArrived(
                        now,
                        txn,
                        t.type,
                        t.statement.group(),
                        t.expiresAt.minus(now),
                        t.session,
                        after == null ? null : now.minus(clock.at(after)),
                        t.statement.retry(),
                        waited);
    }

    /** A client needs a connection's place; false where no member's can be spared. */
    boolean memberGivesWay() {
        return carrier.giveWay();
    }

    /**
     * The client has left; nobody is told of this txn any more. True where nothing of it can have
     * reached a member.
     */
    boolean lapsed(String txn) {
        Open t = take(txn);
        if (t != null) {
            router().txnAbandoned(clock.now(), txn);
        }
        return t != null && !t.dispatched;
    }

    // ---- from the members ----

    @Override
    public void ended(
            MemberRequest e,
            Submission.Outcome end,
            Duration took,
            MemberStatus status,
            byte[] row) {
        Duration now = clock.now();
        report(now, e.member(), status.report());
        if (watcher != null) {
            watch(e.member(), end, took, status);
        }
        Open known = open.get(e.txn());
        if (known != null && known.queued != null) {
            door.onSubmissionEnded(now, known.queued, end, took);
        }
        Open txn = end == Submission.Outcome.COMMITTED ? take(e.txn()) : null;
        if (txn != null) {
            seen(txn, now, true);
            txn.callback.committed(row);
        }
        try {
            router().submissionEnded(
                            now,
                            e.txn(),
                            e.submission(),
                            e.member(),
                            end,
                            took,
                            txn != null,
                            status.role(),
                            status.position());
        } catch (RuntimeException bug) {
            // Whatever went wrong, the client gets its answer: nobody else would think of this txn
            // again.
            onBug.accept(bug);
            Open lost = take(e.txn());
            if (lost != null) {
                lost.callback.rolledBack();
            }
        }
    }

    @Override
    public void probed(long member, boolean answered, Duration took, Report report) {
        Duration now = clock.now();
        report(now, member, report);
        router().probeEnded(now, member, answered, took);
    }

    @Override
    public void roleProbed(long member, boolean answered, Report report) {
        if (watcher != null && answered && report != null) {
            watcher.told(member, report.role(), report.position());
        } else if (watcher != null) {
            watcher.failed(member);
        }
    }

    private void watch(long member, Submission.Outcome end, Duration took, MemberStatus status) {
        watcher.took(member, took);
        if (end == Submission.Outcome.COMMITTED || status.role() != Member.Role.UNKNOWN) {
            watcher.told(member, status.role(), status.position());
        } else if (end != Submission.Outcome.MOOT && end != Submission.Outcome.CANCELLED) {
            watcher.failed(member);
        }
    }

    /** A client's txn has its final answer. */
    private void seen(Open txn, Duration now, boolean committed) {
        if (watcher != null) {
            watcher.answered(txn.type, now.minus(txn.arrivedAt), committed);
        }
    }

    @Override
    public boolean mayStillGo(MemberRequest e) {
        if (watcher != null) {
            // Guards against a process that was stopped while the connection opened: its list may
            // count for nothing by now.
            watcher.look();
        }
        return e.probe()
                || open.containsKey(e.txn())
                        && router.mayStillSend(clock.now(), e.txn(), e.member());
    }

    @Override
    public boolean makeRoom() {
        return room.getAsBoolean();
    }

    private void report(Duration now, long member, Report r) {
        try {
            if (r != null) {
                if (watcher != null) {
                    watcher.told(member, r.role(), r.position());
                }
                router().memberReported(
                                now,
                                member,
                                r.role(),
                                r.position(),
                                r.held(),
                                r.waiting(),
                                r.busy());
            }
        } catch (RuntimeException bug) {
            // What a member says of itself never costs the answer that it came with.
            onBug.accept(bug);
        }
    }

    // ---- decisions ----

    /**
     * Something came in: the module is asked once all that has come in by now is told. A turn later
     * than that: a read that follows at once, and finds that the client has left behind its txn,
     * has its turn before.
     */
    private void changed() {
        if (!pullAsked) {
            pullAsked = true;
            loop.run(() -> loop.run(this::pull));
        }
    }

    private void pull() {
        pullAsked = false;
        if (watcher != null) {
            watcher.look();
        }
        Duration now = clock.now();
        try {
            for (Decision d = nextDecision(now); d != null; d = nextDecision(now)) {
                carryOut(d, now);
            }
        } catch (RuntimeException bug) {
            // One decision is lost; those behind it are pulled once the thread has come round.
            onBug.accept(bug);
            changed();
        }
        Duration at = router.wakeAt();
        Duration doorAt = door == null ? null : door.nextWakeUp();
        at = at == null || doorAt != null && doorAt.compareTo(at) < 0 ? doorAt : at;
        if (at != null && (wakeAt == null || at.compareTo(wakeAt) < 0)) {
            if (wake != null) {
                wake.cancel();
            }
            wakeAt = at;
            wake =
                    loop.after(
                            at.minus(clock.now()),
                            () -> {
                                wakeAt = null;
                                wake = null;
                                changed();
                            });
        }
    }

    /** What the door lets in meanwhile is told to the module before it is asked again. */
    private Decision nextDecision(Duration now) {
        Decision d = router.nextDecision(now);
        if (d != null || door == null) {
            return d;
        }
        for (AdmissionDecision v = door.nextDecision(now); v != null; v = door.nextDecision(now)) {
            pass(v, now);
        }
        return router.nextDecision(now);
    }

    private void pass(AdmissionDecision v, Duration now) {
        Open t = open.get(v.queuedTxn().txnId());
        if (t == null) {
            door.onTxnClosed(now, v.queuedTxn());
        } else if (!v.admitted()) {
            take(v.queuedTxn().txnId());
            seen(t, now, false);
            t.callback.declined(v.retryAfter());
        } else {
            try {
                letIn(now, v.queuedTxn().txnId(), t, v.queuedTxn().queueTime(now));
            } catch (RuntimeException bug) {
                onBug.accept(bug);
                take(v.queuedTxn().txnId());
                t.callback.rolledBack();
            }
        }
    }

    /** The txn has its final answer; null where it had it before. */
    private Open take(String txn) {
        Open t = open.remove(txn);
        if (t != null && t.queued != null) {
            door.onTxnClosed(clock.now(), t.queued);
            changed();
        }
        return t;
    }

    private void carryOut(Decision d, Duration now) {
        switch (d.kind()) {
            case SUBMIT -> {
                Open txn = open.get(d.txn());
                if (txn == null) {
                    MemberRequest none =
                            new MemberRequest(d.txn(), d.submission(), d.member(), null, now);
                    loop.run(
                            () ->
                                    ended(
                                            none,
                                            Submission.Outcome.MOOT,
                                            Duration.ZERO,
                                            MemberStatus.NOTHING,
                                            null));
                } else {
                    if (txn.queued != null) {
                        door.onSubmitted(now, txn.queued);
                    }
                    txn.dispatched = true;
                    Duration last = endBy == null ? txn.expiresAt : min(txn.expiresAt, endBy);
                    Duration until =
                            d.deadlineOrRetryDelay() == null
                                    ? last
                                    : min(d.deadlineOrRetryDelay(), last);
                    carrier.dispatch(
                            new MemberRequest(
                                    d.txn(), d.submission(), d.member(), txn.statement, until));
                }
            }
            case DECLINE -> {
                Open txn = open.get(d.txn());
                if (txn != null) {
                    Duration advice =
                            txn.queued == null
                                    ? d.deadlineOrRetryDelay()
                                    : door.retryAfter(now, txn.queued);
                    take(d.txn());
                    seen(txn, now, false);
                    txn.callback.declined(advice);
                }
            }
            case ROLL_BACK -> {
                Open txn = take(d.txn());
                if (txn != null) {
                    seen(txn, now, false);
                    txn.callback.rolledBack();
                }
            }
            case CANCEL -> carrier.callOff(d.txn(), d.submission());
            case PROBE ->
                    carrier.dispatch(
                            new MemberRequest(null, -1, d.member(), null, now.plus(probeWait)));
            case RELEASE -> carrier.release(d.member());
            case FOLLOW_LIST -> lists.follow();
            case FETCH_LIST -> lists.fetch();
            default -> throw new IllegalStateException("no way to " + d.kind());
        }
    }
}
