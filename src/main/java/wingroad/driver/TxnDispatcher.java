package wingroad.driver;

import static wingroad.state.Spans.min;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import wingroad.door.AdmissionDecision;
import wingroad.door.Caller;
import wingroad.door.FairQueues;
import wingroad.door.QueuedTxn;
import wingroad.protocol.Statement;
import wingroad.routing.Decision;
import wingroad.routing.Router;
import wingroad.state.Member;
import wingroad.state.Submission;
import wingroad.transport.EventLoop;

/**
 * Where the client side, the member side and discovery meet, with the module between them. It says
 * to the module what happens, pulls its decisions and hands them to whom they concern; it decides
 * nothing.
 */
final class TxnDispatcher implements MemberTransportListener {
    /** Who asked for a txn; one of these is its final answer. */
    interface TxnCallback {
        void committed(byte[] row);

        void declined(Duration retryAfter);

        void rolledBack();
    }

    /**
     * The member side. It answers each request once, later, by {@link #ended} or {@link #probed}.
     */
    interface MemberTransport {
        void dispatch(MemberRequest request);

        void cancel(String txn, int submission);

        /** Closes the connections to the member that stand idle. */
        void closeIdleConnections(long member);

        /** Closes a connection that stands idle and is not needed; false where there is none. */
        boolean closeSpareConnection();
    }

    /** Discovery. */
    interface MemberListSource {
        void watch();

        void fetch();
    }

    /**
     * Whoever wants to see what happens, and to look at the time before each turn; there is none
     * unless work is planned.
     */
    interface Observer {
        /** Before the module is asked. */
        void beforeRouting();

        /** A member has said of itself. */
        void onMemberStatus(long member, Member.Role role, Duration position);

        /** A member gave no answer. */
        void onMemberFailure(long member);

        /** A submission was at a member for so long. */
        void onSubmissionEnd(long member, Duration elapsed);

        /** A txn has its final answer, so long after it came. */
        void onTxnEnd(int typeIndex, Duration sinceArrival, boolean committed);
    }

    /** One submission, or a probe where the statement is null, for a member until a time. */
    record MemberRequest(
            String txn, int submission, long member, Statement statement, Duration deadline) {
        boolean isProbe() {
            return statement == null;
        }
    }

    /**
     * What a member said of itself with an answer; {@code passReportToRouter} is null without one.
     */
    record MemberStatus(Member.Role role, Duration position, MemberReport report) {
        static final MemberStatus UNKNOWN = new MemberStatus(Member.Role.UNKNOWN, null, null);
    }

    /** A member's report; figures not in it are NaN. */
    record MemberReport(
            Member.Role role, Duration position, double held, double waiting, double busy) {}

    private static final class OpenTxn {
        final Statement statement;
        final int typeIndex;
        final long sessionId;
        final TxnCallback callback;
        final Duration expiresAt;
        final Duration arrivedAt;

        /** It was handed to the member side at some time: it may be at a member. */
        boolean dispatched;

        /** Its way through the door, or null where there is none. */
        QueuedTxn queuedTxn;

        OpenTxn(
                Statement statement,
                int typeIndex,
                long sessionId,
                TxnCallback callback,
                Duration arrivedAt,
                Duration expiresAt) {
            this.arrivedAt = arrivedAt;
            this.statement = statement;
            this.typeIndex = typeIndex;
            this.sessionId = sessionId;
            this.callback = callback;
            this.expiresAt = expiresAt;
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final Router router;
    private final Duration probeTimeout;
    private final Consumer<Throwable> onUnexpectedError;
    private final Map<String, OpenTxn> openTxns = new HashMap<>();

    /** Who goes next to the module, or null: each at once. */
    private FairQueues fairQueues;

    /** Who sees what happens, or null. */
    private Observer observer;

    private MemberTransport memberTransport;
    private MemberListSource memberListSource;

    /** Closes an idle client's connection, where there is one. */
    private BooleanSupplier idleClientCloser;

    private long nextTxnNumber;
    private Duration answerDeadline;
    private boolean routingScheduled;
    private Duration wakeUpAt;
    private EventLoop.Timer wakeUpTimer;

    TxnDispatcher(
            EventLoop loop,
            Clock clock,
            Router router,
            Duration probeTimeout,
            Consumer<Throwable> onUnexpectedError) {
        this.loop = loop;
        this.clock = clock;
        this.router = router;
        this.probeTimeout = probeTimeout;
        this.onUnexpectedError = onUnexpectedError;
    }

    /**
     * The program ends: whatever is open, and whatever is taken from now on, has its answer by
     * then.
     */
    void answerDeadline(Duration deadline) {
        answerDeadline = deadline;
        router().endBy(clock.now(), deadline);
        if (fairQueues != null) {
            fairQueues.endBy(deadline);
            scheduleRouting();
        }
    }

    /** From now on clients' txns pass by this door; not while any are open. */
    void useFairQueues(FairQueues queues) {
        fairQueues = queues;
        if (answerDeadline != null) {
            queues.endBy(answerDeadline);
        }
    }

    void watch(Observer newObserver) {
        observer = newObserver;
    }

    void attach(
            MemberTransport memberTransport,
            MemberListSource memberListSource,
            BooleanSupplier idleClientCloser) {
        this.idleClientCloser = idleClientCloser;
        this.memberTransport = memberTransport;
        this.memberListSource = memberListSource;
    }

    Router router() {
        scheduleRouting();
        return router;
    }

    Duration now() {
        return clock.now();
    }

    int openTxnCount() {
        return openTxns.size();
    }

    // ---- from the clients ----

    /** A txn was accepted; the name by which it is known here, or null where it can't be taken. */
    String txnArrived(Statement statement, int typeIndex, long sessionId, TxnCallback callback) {
        return txnArrived(statement, typeIndex, sessionId, callback, null, null);
    }

    /** A txn of the driver's own: by no door, since it is no client's. */
    String ownTxnArrived(Statement statement, int typeIndex, TxnCallback callback) {
        return txnArrived(statement, typeIndex, -1, callback, null, null, false);
    }

    /** The same, with who asks and under which name, for the door. */
    String txnArrived(
            Statement statement,
            int typeIndex,
            long sessionId,
            TxnCallback callback,
            Caller caller,
            String tenantName) {
        return txnArrived(
                statement, typeIndex, sessionId, callback, caller, tenantName, fairQueues != null);
    }

    private String txnArrived(
            Statement statement,
            int typeIndex,
            long sessionId,
            TxnCallback callback,
            Caller caller,
            String tenantName,
            boolean throughFairQueues) {
        Duration now = clock.now();
        String txn = "t" + nextTxnNumber++;
        Duration timeLeft = Duration.ofMillis(statement.left());
        if (answerDeadline != null && now.plus(timeLeft).compareTo(answerDeadline) > 0) {
            timeLeft = answerDeadline.minus(now);
        }
        OpenTxn openTxn =
                new OpenTxn(statement, typeIndex, sessionId, callback, now, now.plus(timeLeft));
        openTxns.put(txn, openTxn);
        try {
            if (!throughFairQueues) {
                passToRouter(now, txn, openTxn, Duration.ZERO);
            } else {
                openTxn.queuedTxn =
                        fairQueues.arrived(
                                now,
                                txn,
                                typeIndex,
                                statement.group(),
                                timeLeft,
                                caller,
                                tenantName,
                                statement.retry());
                scheduleRouting();
            }
        } catch (RuntimeException bug) {
            onUnexpectedError.accept(bug);
            openTxns.remove(txn);
            return null;
        }
        return txn;
    }

    private void passToRouter(Duration now, String txn, OpenTxn openTxn, Duration waited) {
        Double lastWriteUnixMs = openTxn.statement.after();
        router().txnArrived(
                        now,
                        txn,
                        openTxn.typeIndex,
                        openTxn.statement.group(),
                        openTxn.expiresAt.minus(now),
                        openTxn.sessionId,
                        lastWriteUnixMs == null
                                ? null
                                : now.minus(clock.fromUnixMs(lastWriteUnixMs)),
                        openTxn.statement.retry(),
                        waited);
    }

    /** A client needs a connection's place; false where no member's can be spared. */
    boolean closeSpareMemberConnection() {
        return memberTransport.closeSpareConnection();
    }

    /**
     * The client has left; nobody is told of this txn any more. True where nothing of it can have
     * reached a member.
     */
    boolean abandon(String txn) {
        OpenTxn openTxn = closeTxn(txn);
        if (openTxn != null) {
            router().txnLapsed(clock.now(), txn);
        }
        return openTxn != null && !openTxn.dispatched;
    }

    // ---- from the members ----

    @Override
    public void submissionEnded(
            MemberRequest request,
            Submission.End end,
            Duration elapsed,
            MemberStatus status,
            byte[] row) {
        Duration now = clock.now();
        passReportToRouter(now, request.member(), status.report());
        if (observer != null) {
            watch(request.member(), end, elapsed, status);
        }
        OpenTxn openTxn = openTxns.get(request.txn());
        if (openTxn != null && openTxn.queuedTxn != null) {
            fairQueues.ended(now, openTxn.queuedTxn, end, elapsed);
        }
        OpenTxn committed = end == Submission.End.COMMITTED ? closeTxn(request.txn()) : null;
        if (committed != null) {
            notifyTxnEnd(committed, now, true);
            committed.callback.committed(row);
        }
        try {
            router().submissionEnded(
                            now,
                            request.txn(),
                            request.submission(),
                            request.member(),
                            end,
                            elapsed,
                            committed != null,
                            status.role(),
                            status.position());
        } catch (RuntimeException bug) {
            // Whatever went wrong, the client gets its answer: nobody else would think of this txn
            // again.
            onUnexpectedError.accept(bug);
            OpenTxn unanswered = closeTxn(request.txn());
            if (unanswered != null) {
                unanswered.callback.rolledBack();
            }
        }
    }

    @Override
    public void probeEnded(long member, boolean answered, Duration elapsed, MemberReport report) {
        Duration now = clock.now();
        passReportToRouter(now, member, report);
        router().probeEnded(now, member, answered, elapsed);
    }

    @Override
    public void roleProbeEnded(long member, boolean answered, MemberReport report) {
        if (observer != null && answered && report != null) {
            observer.onMemberStatus(member, report.role(), report.position());
        } else if (observer != null) {
            observer.onMemberFailure(member);
        }
    }

    private void watch(long member, Submission.End end, Duration elapsed, MemberStatus status) {
        observer.onSubmissionEnd(member, elapsed);
        if (end == Submission.End.COMMITTED || status.role() != Member.Role.UNKNOWN) {
            observer.onMemberStatus(member, status.role(), status.position());
        } else if (end != Submission.End.MOOT && end != Submission.End.CANCELLED) {
            observer.onMemberFailure(member);
        }
    }

    /** A client's txn has its final answer. */
    private void notifyTxnEnd(OpenTxn openTxn, Duration now, boolean committed) {
        if (observer != null) {
            observer.onTxnEnd(openTxn.typeIndex, now.minus(openTxn.arrivedAt), committed);
        }
    }

    @Override
    public boolean mayDispatch(MemberRequest request) {
        if (observer != null) {
            // Guards against a process that was stopped while the connection opened: its list may
            // count for nothing by now.
            observer.beforeRouting();
        }
        return request.isProbe()
                || openTxns.containsKey(request.txn())
                        && router.mayStillGo(clock.now(), request.txn(), request.member());
    }

    @Override
    public boolean closeIdleClient() {
        return idleClientCloser.getAsBoolean();
    }

    private void passReportToRouter(Duration now, long member, MemberReport report) {
        try {
            if (report != null) {
                if (observer != null) {
                    observer.onMemberStatus(member, report.role(), report.position());
                }
                router().reported(
                                now,
                                member,
                                report.role(),
                                report.position(),
                                report.held(),
                                report.waiting(),
                                report.busy());
            }
        } catch (RuntimeException bug) {
            // What a member says of itself never costs the answer that it came with.
            onUnexpectedError.accept(bug);
        }
    }

    // ---- decisions ----

    /**
     * Something came in: the module is asked once all that has come in by now is told. A turn later
     * than that: a read that follows at once, and finds that the client has left behind its txn,
     * has its turn before.
     */
    private void scheduleRouting() {
        if (!routingScheduled) {
            routingScheduled = true;
            loop.run(() -> loop.run(this::runRouting));
        }
    }

    private void runRouting() {
        routingScheduled = false;
        if (observer != null) {
            observer.beforeRouting();
        }
        Duration now = clock.now();
        try {
            for (Decision decision = nextDecision(now);
                    decision != null;
                    decision = nextDecision(now)) {
                execute(decision, now);
            }
        } catch (RuntimeException bug) {
            // One decision is lost; those behind it are pulled once the thread has come round.
            onUnexpectedError.accept(bug);
            scheduleRouting();
        }
        Duration nextWakeUp = router.wakeAt();
        Duration fairQueuesWakeUp = fairQueues == null ? null : fairQueues.wakeAt();
        nextWakeUp =
                nextWakeUp == null
                                || fairQueuesWakeUp != null
                                        && fairQueuesWakeUp.compareTo(nextWakeUp) < 0
                        ? fairQueuesWakeUp
                        : nextWakeUp;
        if (nextWakeUp != null && (wakeUpAt == null || nextWakeUp.compareTo(wakeUpAt) < 0)) {
            if (wakeUpTimer != null) {
                wakeUpTimer.cancel();
            }
            wakeUpAt = nextWakeUp;
            wakeUpTimer =
                    loop.after(
                            nextWakeUp.minus(clock.now()),
                            () -> {
                                wakeUpAt = null;
                                wakeUpTimer = null;
                                scheduleRouting();
                            });
        }
    }

    /** What the door lets in meanwhile is told to the module before it is asked again. */
    private Decision nextDecision(Duration now) {
        Decision decision = router.next(now);
        if (decision != null || fairQueues == null) {
            return decision;
        }
        for (AdmissionDecision admission = fairQueues.next(now);
                admission != null;
                admission = fairQueues.next(now)) {
            applyAdmission(admission, now);
        }
        return router.next(now);
    }

    private void applyAdmission(AdmissionDecision admission, Duration now) {
        OpenTxn openTxn = openTxns.get(admission.queued().txn());
        if (openTxn == null) {
            fairQueues.closed(now, admission.queued());
        } else if (!admission.letIn()) {
            closeTxn(admission.queued().txn());
            notifyTxnEnd(openTxn, now, false);
            openTxn.callback.declined(admission.comeBack());
        } else {
            try {
                passToRouter(
                        now, admission.queued().txn(), openTxn, admission.queued().waited(now));
            } catch (RuntimeException bug) {
                onUnexpectedError.accept(bug);
                closeTxn(admission.queued().txn());
                openTxn.callback.rolledBack();
            }
        }
    }

    /** The txn has its final answer; null where it had it before. */
    private OpenTxn closeTxn(String txn) {
        OpenTxn openTxn = openTxns.remove(txn);
        if (openTxn != null && openTxn.queuedTxn != null) {
            fairQueues.closed(clock.now(), openTxn.queuedTxn);
            scheduleRouting();
        }
        return openTxn;
    }

    private void execute(Decision decision, Duration now) {
        switch (decision.kind()) {
            case SUBMIT -> {
                OpenTxn openTxn = openTxns.get(decision.txn());
                if (openTxn == null) {
                    MemberRequest unsent =
                            new MemberRequest(
                                    decision.txn(),
                                    decision.submission(),
                                    decision.member(),
                                    null,
                                    now);
                    loop.run(
                            () ->
                                    submissionEnded(
                                            unsent,
                                            Submission.End.MOOT,
                                            Duration.ZERO,
                                            MemberStatus.UNKNOWN,
                                            null));
                } else {
                    if (openTxn.queuedTxn != null) {
                        fairQueues.submitted(now, openTxn.queuedTxn);
                    }
                    openTxn.dispatched = true;
                    Duration lastMoment =
                            answerDeadline == null
                                    ? openTxn.expiresAt
                                    : min(openTxn.expiresAt, answerDeadline);
                    Duration deadline =
                            decision.when() == null ? lastMoment : min(decision.when(), lastMoment);
                    memberTransport.dispatch(
                            new MemberRequest(
                                    decision.txn(),
                                    decision.submission(),
                                    decision.member(),
                                    openTxn.statement,
                                    deadline));
                }
            }
            case DECLINE -> {
                OpenTxn openTxn = openTxns.get(decision.txn());
                if (openTxn != null) {
                    Duration retryAfter =
                            openTxn.queuedTxn == null
                                    ? decision.when()
                                    : fairQueues.advice(now, openTxn.queuedTxn);
                    closeTxn(decision.txn());
                    notifyTxnEnd(openTxn, now, false);
                    openTxn.callback.declined(retryAfter);
                }
            }
            case ROLL_BACK -> {
                OpenTxn openTxn = closeTxn(decision.txn());
                if (openTxn != null) {
                    notifyTxnEnd(openTxn, now, false);
                    openTxn.callback.rolledBack();
                }
            }
            case CANCEL -> memberTransport.cancel(decision.txn(), decision.submission());
            case PROBE ->
                    memberTransport.dispatch(
                            new MemberRequest(
                                    null, -1, decision.member(), null, now.plus(probeTimeout)));
            case RELEASE -> memberTransport.closeIdleConnections(decision.member());
            case FOLLOW_LIST -> memberListSource.watch();
            case FETCH_LIST -> memberListSource.fetch();
            default -> throw new IllegalStateException("no way to " + decision.kind());
        }
    }
}
