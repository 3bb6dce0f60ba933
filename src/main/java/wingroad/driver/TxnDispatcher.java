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
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Connects clients, members and discovery to the router. It reports every event to the router,
 * executes the router's decisions, and makes none of its own. All calls are made on the event
 * loop's thread.
 */
final class TxnDispatcher implements MemberTransportListener {
    /** Receives the final answer to a txn: exactly one of these methods is called, once. */
    interface TxnCallback {
        /**
         * @param row the member's messages that carry the result row
         */
        void committed(byte[] row);

        /**
         * @param retryAfter how long the client should wait before it tries again, or null if that
         *     is not known
         */
        void declined(Duration retryAfter);

        void rolledBack();

        /** Called if one of the other methods has thrown: the answer may not have been given. */
        default void answerFailed() {}
    }

    /**
     * Carries requests to members. Each request is answered once, never from within {@link
     * #dispatch}, by a call to {@link MemberTransportListener}.
     */
    interface MemberTransport {
        void dispatch(MemberRequest request);

        /** Stops waiting for the response to a submission; does nothing if it has ended. */
        void cancel(String txn, int submission);

        /** Closes all idle connections to the member. */
        void closeIdleConnections(long member);

        /**
         * Closes the longest idle connection if members hold more than their reserved share of the
         * descriptors; returns false if none was closed.
         */
        boolean closeSpareConnection();
    }

    /** Supplies member lists. */
    interface MemberListSource {
        /** Starts a watch for changes, unless one is open. */
        void watch();

        /** Requests the whole list once, unless such a request is open. */
        void fetch();
    }

    /**
     * Observes responses and txn ends; also called before each run of the router. There is an
     * observer only if maintenance work is planned by the fleet.
     */
    interface Observer {
        /** Called before the router is asked for decisions. */
        void beforeRouting();

        /**
         * A member has reported its role and position.
         *
         * @param position the log position as a time since the start, or null if not reported
         */
        void onMemberStatus(long member, Member.Role role, Duration position);

        /** A member did not respond to a request. */
        void onMemberFailure(long member);

        /** A submission to the member has ended, {@code elapsed} after it was dispatched. */
        void onSubmissionEnd(long member, Duration elapsed);

        /** A txn has received its final answer. */
        void onTxnEnd(int typeIndex, Duration sinceArrival, boolean committed);
    }

    /**
     * A submission to a member, or a probe of it.
     *
     * @param txn the dispatcher's name of the txn; null for a probe
     * @param submission the number of the submission within its txn; negative for a probe
     * @param member the number by which the router knows the member
     * @param statement null for a probe
     * @param deadline until when the response is waited for, as a time since the start
     */
    record MemberRequest(
            String txn, int submission, long member, Statement statement, Duration deadline) {
        boolean isProbe() {
            return statement == null;
        }
    }

    /**
     * What a member reported of itself along with a response.
     *
     * @param position the log position as a time since the start, or null if not reported
     * @param report the gauges, or null if there were none
     */
    record MemberStatus(Member.Role role, Duration position, MemberReport report) {
        static final MemberStatus UNKNOWN = new MemberStatus(Member.Role.UNKNOWN, null, null);
    }

    /**
     * A member's gauges; numbers that were not reported are NaN.
     *
     * @param position the log position as a time since the start, or null if not reported
     * @param inFlight how many requests the member is processing
     * @param queueLength how many requests wait at the member
     * @param utilization how busy the member is
     */
    record MemberReport(
            Member.Role role,
            Duration position,
            double inFlight,
            double queueLength,
            double utilization) {}

    /** A txn that has no final answer yet. */
    private static final class OpenTxn {
        final Statement statement;
        final int typeIndex;
        final long sessionId;
        final TxnCallback callback;
        final Duration expiresAt;
        final Duration arrivedAt;

        /** At least one submission was handed to the transport, so a member may have seen it. */
        boolean dispatched;

        /** The txn's entry in the fair queues, or null if it did not pass through them. */
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

    /** Stands in a request for the number of a submission if it is a probe for the router. */
    private static final int PROBE_SUBMISSION = -1;

    /** Stands for the session of a txn that belongs to none. */
    static final long NO_SESSION = -1;

    private final EventLoop loop;
    private final Clock clock;
    private final Router router;
    private final Duration probeTimeout;
    private final Consumer<Throwable> onUnexpectedError;
    private final Map<String, OpenTxn> openTxns = new HashMap<>();

    /** Decides which client's txn is admitted next, or null: each is admitted at once. */
    private FairQueues fairQueues;

    /** Null if nothing observes. */
    private Observer observer;

    private RequestLog requestLog = RequestLog.disabled();

    private MemberTransport memberTransport;
    private MemberListSource memberListSource;

    /** Closes an idle client connection; returns false if there is none. */
    private BooleanSupplier idleClientCloser;

    private long nextTxnNumber;

    /** The time by which every txn must have its answer because the program exits, or null. */
    private Duration answerDeadline;

    private boolean routingScheduled;

    /** When {@link #wakeUpTimer} fires, or null if none is set. */
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
     * Sets the time by which all txns, open and future ones, receive their answer because the
     * program exits.
     */
    void setAnswerDeadline(Duration deadline) {
        answerDeadline = deadline;
        router().answerAllBy(clock.now(), deadline);
        if (fairQueues != null) {
            fairQueues.drainBy(deadline);
            scheduleRouting();
        }
    }

    /** Passes clients' txns through these queues from now on. Must not be called with open txns. */
    void useFairQueues(FairQueues queues) {
        fairQueues = queues;
        if (answerDeadline != null) {
            queues.drainBy(answerDeadline);
        }
    }

    /** Logs what happens to single requests here from now on. */
    void setRequestLog(RequestLog newRequestLog) {
        requestLog = newRequestLog;
    }

    RequestLog requestLog() {
        return requestLog;
    }

    void setObserver(Observer newObserver) {
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

    /** The router for an input call; its decisions are executed soon afterwards. */
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

    // ---- events from clients ----

    /**
     * Accepts a txn, as {@link #txnArrived(Statement, int, long, TxnCallback, ClientContext,
     * String)} does for a client of which nothing else is known.
     */
    String txnArrived(Statement statement, int typeIndex, long sessionId, TxnCallback callback) {
        return txnArrived(statement, typeIndex, sessionId, callback, null, null);
    }

    /** Accepts a txn of the driver itself, which bypasses the fair queues. */
    String ownTxnArrived(Statement statement, int typeIndex, TxnCallback callback) {
        return txnArrived(statement, typeIndex, NO_SESSION, callback, null, null, false);
    }

    /**
     * Accepts a client's txn.
     *
     * @param sessionId {@link #NO_SESSION} if it belongs to none
     * @param clientContext identifies the client to the fair queues; may be null
     * @param tenantName the tenant that the txn counts for, or null if its address does
     * @return the txn's name within the driver, or null if it can't be processed
     */
    String txnArrived(
            Statement statement,
            int typeIndex,
            long sessionId,
            TxnCallback callback,
            ClientContext clientContext,
            String tenantName) {
        return txnArrived(
                statement,
                typeIndex,
                sessionId,
                callback,
                clientContext,
                tenantName,
                fairQueues != null);
    }

    private String txnArrived(
            Statement statement,
            int typeIndex,
            long sessionId,
            TxnCallback callback,
            ClientContext clientContext,
            String tenantName,
            boolean throughFairQueues) {
        Duration now = clock.now();
        String txn = "t" + nextTxnNumber++;
        Duration timeLeft = Duration.ofMillis(statement.timeLeftMs());
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
                        fairQueues.onTxnArrived(
                                now,
                                txn,
                                typeIndex,
                                statement.group(),
                                timeLeft,
                                clientContext,
                                tenantName,
                                statement.retry());
                scheduleRouting();
            }
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError error) {
            onUnexpectedError.accept(error);
            openTxns.remove(txn);
            return null;
        }
        return txn;
    }

    /**
     * Answers the txns that are still open just before the process exits. The router answers all by
     * the deadline; this is for those that an error has made it lose. What may have reached a
     * member has an unknown outcome.
     */
    void answerOpenTxns() {
        for (String txn : List.copyOf(openTxns.keySet())) {
            OpenTxn openTxn = closeTxn(txn);
            requestLog.write(
                    RequestLog.Kind.UNANSWERED,
                    clock.now(),
                    () -> openTxn.statement.id() + " was still open, and is answered at the exit");
            router().txnAbandoned(clock.now(), txn);
            if (openTxn.dispatched) {
                answer(openTxn, TxnCallback::rolledBack);
            } else {
                answer(openTxn, callback -> callback.declined(null));
            }
        }
    }

    /** Gives a txn its final answer; what the callback throws harms no other txn. */
    private void answer(OpenTxn openTxn, Consumer<TxnCallback> finalAnswer) {
        try {
            finalAnswer.accept(openTxn.callback);
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError error) {
            onUnexpectedError.accept(error);
            openTxn.callback.answerFailed();
        }
    }

    private void passToRouter(Duration now, String txn, OpenTxn openTxn, Duration waited) {
        Double lastWriteUnixMs = openTxn.statement.afterPositionMs();
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

    /** Frees a descriptor for a client; returns false if members can spare none. */
    boolean closeSpareMemberConnection() {
        return memberTransport.closeSpareConnection();
    }

    /**
     * Drops a txn whose client has disconnected; its callback is not called any more. Returns true
     * if nothing of it can have reached a member.
     */
    boolean abandon(String txn) {
        OpenTxn openTxn = closeTxn(txn);
        if (openTxn != null) {
            router().txnAbandoned(clock.now(), txn);
        }
        return openTxn != null && !openTxn.dispatched;
    }

    // ---- events from members ----

    @Override
    public void submissionEnded(
            MemberRequest request,
            Submission.Outcome outcome,
            Duration elapsed,
            MemberStatus status,
            byte[] row) {
        Duration now = clock.now();
        passReportToRouter(now, request.member(), status.report());
        if (observer != null) {
            notifySubmissionEnd(request.member(), outcome, elapsed, status);
        }
        OpenTxn openTxn = openTxns.get(request.txn());
        if (openTxn != null && openTxn.queuedTxn != null) {
            fairQueues.onSubmissionEnded(now, openTxn.queuedTxn, outcome, elapsed);
        }
        OpenTxn committed =
                outcome == Submission.Outcome.COMMITTED ? closeTxn(request.txn()) : null;
        if (committed != null) {
            notifyTxnEnd(committed, now, true);
            answer(committed, callback -> callback.committed(row));
        }
        try {
            router().submissionEnded(
                            now,
                            request.txn(),
                            request.submission(),
                            request.member(),
                            outcome,
                            elapsed,
                            committed != null,
                            status.role(),
                            status.position());
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError error) {
            // The client still gets its answer: the router may have lost track of this txn.
            onUnexpectedError.accept(error);
            OpenTxn unanswered = closeTxn(request.txn());
            if (unanswered != null) {
                answer(unanswered, TxnCallback::rolledBack);
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

    private void notifySubmissionEnd(
            long member, Submission.Outcome outcome, Duration elapsed, MemberStatus status) {
        observer.onSubmissionEnd(member, elapsed);
        if (outcome == Submission.Outcome.COMMITTED || status.role() != Member.Role.UNKNOWN) {
            observer.onMemberStatus(member, status.role(), status.position());
        } else if (outcome != Submission.Outcome.MOOT && outcome != Submission.Outcome.CANCELLED) {
            observer.onMemberFailure(member);
        }
    }

    private void notifyTxnEnd(OpenTxn openTxn, Duration now, boolean committed) {
        if (observer != null) {
            observer.onTxnEnd(openTxn.typeIndex, now.minus(openTxn.arrivedAt), committed);
        }
    }

    @Override
    public boolean mayDispatch(MemberRequest request) {
        if (observer != null) {
            // Guards against a process that was suspended while the connection opened: its view of
            // the plan, and so its member list, may have expired.
            observer.beforeRouting();
        }
        return request.isProbe()
                || openTxns.containsKey(request.txn())
                        && router.mayStillSend(clock.now(), request.txn(), request.member());
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
                router().memberReported(
                                now,
                                member,
                                report.role(),
                                report.position(),
                                report.inFlight(),
                                report.queueLength(),
                                report.utilization());
            }
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError error) {
            // A faulty report must not lose the response that carried it.
            onUnexpectedError.accept(error);
        }
    }

    // ---- decisions ----

    /**
     * Schedules one run of the router for all events that are pending. It is delayed by two loop
     * turns so that a read that is already due, which may show that a txn's client has
     * disconnected, is handled before it.
     */
    private void scheduleRouting() {
        if (!routingScheduled) {
            routingScheduled = true;
            loop.execute(() -> loop.execute(this::runRouting));
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
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError error) {
            // This decision is lost; the remaining ones are executed in the next run.
            onUnexpectedError.accept(error);
            scheduleRouting();
        }
        Duration nextWakeUp = router.wakeAt();
        Duration fairQueuesWakeUp = fairQueues == null ? null : fairQueues.nextWakeUp();
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
                    loop.schedule(
                            nextWakeUp.minus(clock.now()),
                            () -> {
                                wakeUpAt = null;
                                wakeUpTimer = null;
                                scheduleRouting();
                            });
        }
    }

    /** Asks the router; if it has no decision, admits queued txns to it and asks again. */
    private Decision nextDecision(Duration now) {
        Decision decision = router.nextDecision(now);
        if (decision != null || fairQueues == null) {
            return decision;
        }
        for (AdmissionDecision admission = fairQueues.nextDecision(now);
                admission != null;
                admission = fairQueues.nextDecision(now)) {
            applyAdmission(admission, now);
        }
        return router.nextDecision(now);
    }

    private void applyAdmission(AdmissionDecision admission, Duration now) {
        OpenTxn openTxn = openTxns.get(admission.queuedTxn().txnId());
        if (openTxn == null) {
            fairQueues.onTxnClosed(now, admission.queuedTxn());
        } else if (!admission.admitted()) {
            closeTxn(admission.queuedTxn().txnId());
            notifyTxnEnd(openTxn, now, false);
            answer(openTxn, callback -> callback.declined(admission.retryAfter()));
        } else {
            try {
                passToRouter(
                        now,
                        admission.queuedTxn().txnId(),
                        openTxn,
                        admission.queuedTxn().queueTime(now));
            } catch (RuntimeException | StackOverflowError | OutOfMemoryError error) {
                onUnexpectedError.accept(error);
                closeTxn(admission.queuedTxn().txnId());
                answer(openTxn, TxnCallback::rolledBack);
            }
        }
    }

    /** Removes a txn that gets its final answer; returns null if it had been answered before. */
    private OpenTxn closeTxn(String txn) {
        OpenTxn openTxn = openTxns.remove(txn);
        if (openTxn != null && openTxn.queuedTxn != null) {
            fairQueues.onTxnClosed(clock.now(), openTxn.queuedTxn);
            scheduleRouting();
        }
        return openTxn;
    }

    private void logRetry(OpenTxn openTxn, Decision decision, Duration now) {
        requestLog.write(
                RequestLog.Kind.RETRY,
                now,
                () ->
                        openTxn.statement.id()
                                + " goes to member "
                                + decision.member()
                                + " as submission "
                                + decision.submission()
                                + ", "
                                + now.minus(openTxn.arrivedAt).toMillis()
                                + " ms after its arrival");
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
                    loop.execute(
                            () ->
                                    submissionEnded(
                                            unsent,
                                            Submission.Outcome.MOOT,
                                            Duration.ZERO,
                                            MemberStatus.UNKNOWN,
                                            null));
                } else {
                    if (openTxn.queuedTxn != null) {
                        fairQueues.onSubmitted(now, openTxn.queuedTxn);
                    }
                    if (openTxn.dispatched) {
                        logRetry(openTxn, decision, now);
                    }
                    openTxn.dispatched = true;
                    Duration lastMoment =
                            answerDeadline == null
                                    ? openTxn.expiresAt
                                    : min(openTxn.expiresAt, answerDeadline);
                    Duration deadline =
                            decision.deadlineOrRetryDelay() == null
                                    ? lastMoment
                                    : min(decision.deadlineOrRetryDelay(), lastMoment);
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
                                    ? decision.deadlineOrRetryDelay()
                                    : fairQueues.retryAfter(now, openTxn.queuedTxn);
                    closeTxn(decision.txn());
                    notifyTxnEnd(openTxn, now, false);
                    answer(openTxn, callback -> callback.declined(retryAfter));
                }
            }
            case ROLL_BACK -> {
                OpenTxn openTxn = closeTxn(decision.txn());
                if (openTxn != null) {
                    notifyTxnEnd(openTxn, now, false);
                    answer(openTxn, TxnCallback::rolledBack);
                }
            }
            case CANCEL -> memberTransport.cancel(decision.txn(), decision.submission());
            case PROBE ->
                    memberTransport.dispatch(
                            new MemberRequest(
                                    null,
                                    PROBE_SUBMISSION,
                                    decision.member(),
                                    null,
                                    now.plus(probeTimeout)));
            case RELEASE -> memberTransport.closeIdleConnections(decision.member());
            case FOLLOW_LIST -> memberListSource.watch();
            case FETCH_LIST -> memberListSource.fetch();
            default -> throw new IllegalStateException("unknown decision " + decision.kind());
        }
    }
}
