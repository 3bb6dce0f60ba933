package wingroad.driver;

import static wingroad.state.Spans.max;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import wingroad.driver.TxnDispatcher.MemberRequest;
import wingroad.protocol.MemberList;
import wingroad.state.Submission.End;
import wingroad.transport.EventLoop;

/** The member side: who the members are, where they are, and the connections to them. */
final class MemberPools implements TxnDispatcher.MemberTransport {
    /**
     * A connection is used again only after this rest since its last answer. Guards against more
     * than the answer: what comes behind it, in a packet of its own, would be taken for the answer
     * to what is sent next. A second copy is on its way at once, so this is some times what a
     * packet takes; waiting for it costs less than a new connection.
     */
    private static final Duration REUSE_DELAY = Duration.ofMillis(4);

    /** Stands in a request for a submission's number where it is a probe for the plan of work. */
    private static final int ROLE_PROBE_SUBMISSION = -2;

    private final EventLoop loop;
    private final Clock clock;
    private final Counters counters;
    private final MemberTransportListener listener;
    private final Duration connectTimeout;
    private final Duration idleTimeout;
    private final Map<String, MemberPool> poolsByUid = new HashMap<>();
    private final Map<Long, MemberPool> poolsById = new LinkedHashMap<>();

    /** Those that rest: since the last beat, and for longer. */
    private List<MemberConnection> delayedSinceTick = new ArrayList<>();

    private List<MemberConnection> delayedBeforeTick = new ArrayList<>();
    private boolean tickScheduled;
    private long lastMemberId;

    /** One member: its address and its connections, those that stand idle with the newest last. */
    final class MemberPool {
        final long id;
        private final String uid;
        private InetSocketAddress address;

        /** It is gone, or nobody thinks of it any more. */
        private boolean removed;

        private final Set<MemberConnection> connections = new LinkedHashSet<>();
        private final ArrayDeque<MemberConnection> idleConnections = new ArrayDeque<>();

        private MemberPool(String uid, long id) {
            this.uid = uid;
            this.id = id;
        }

        void idleConnections(MemberConnection connection) {
            idleConnections.add(connection);
        }

        /** Whether it is still there: a connection to anywhere else carries nothing new. */
        boolean isCurrentAddress(InetSocketAddress candidate) {
            return !removed && candidate.equals(address);
        }

        void remove(MemberConnection connection) {
            connections.remove(connection);
            idleConnections.remove(connection);
        }

        /** The newest that has rested, else the one that has rested longest, or null. */
        private MemberConnection takeIdle() {
            for (Iterator<MemberConnection> newestFirst = idleConnections.descendingIterator();
                    newestFirst.hasNext(); ) {
                MemberConnection connection = newestFirst.next();
                if (connection.isReusable()) {
                    newestFirst.remove();
                    return connection;
                }
            }
            return idleConnections.pollFirst();
        }

        private void closeIdleConnections() {
            while (!idleConnections.isEmpty()) {
                idleConnections.peekFirst().close();
            }
        }
    }

    MemberPools(
            EventLoop loop,
            Clock clock,
            Counters counters,
            Map<String, Object> terms,
            MemberTransportListener listener) {
        this.loop = loop;
        this.clock = clock;
        this.counters = counters;
        this.listener = listener;
        this.connectTimeout = (Duration) terms.get("connect-time-out");
        // Closed from here a connecting time before the member may: no request crosses its closing.
        // Where that is most of
        // the time that there is, half of it: connections that are never used again cost the
        // members more.
        Duration memberIdleTimeout = (Duration) terms.get("idle-time");
        this.idleTimeout =
                max(memberIdleTimeout.minus(connectTimeout), memberIdleTimeout.dividedBy(2));
    }

    Clock clock() {
        return clock;
    }

    Duration now() {
        return clock.now();
    }

    Duration idleTimeout() {
        return idleTimeout;
    }

    /** A list names this member: the number by which the module knows it. */
    long updateMember(MemberList.Entry entry) {
        MemberPool pool = poolsByUid.get(entry.uid());
        if (pool == null) {
            pool = new MemberPool(entry.uid(), ++lastMemberId);
            poolsByUid.put(entry.uid(), pool);
            poolsById.put(pool.id, pool);
        }
        if (pool.address == null
                || !pool.address.getHostString().equals(entry.host())
                || pool.address.getPort() != entry.port()) {
            pool.address = new InetSocketAddress(entry.host(), entry.port());
            pool.closeIdleConnections();
        }
        pool.removed = entry.gone();
        if (entry.gone()) {
            pool.closeIdleConnections();
        }
        return pool.id;
    }

    /** Lets go of those that the module no longer thinks of: members come under new ids all day. */
    void removeUnknown(LongPredicate isKnown) {
        poolsById
                .values()
                .removeIf(
                        pool -> {
                            boolean unknown = !isKnown.test(pool.id);
                            if (unknown) {
                                pool.removed = true;
                                pool.closeIdleConnections();
                                poolsByUid.remove(pool.uid);
                            }
                            return unknown;
                        });
    }

    @Override
    public void dispatch(MemberRequest request) {
        MemberPool pool = poolsById.get(request.member());
        MemberConnection connection = pool.takeIdle();
        if (connection != null) {
            connection.dispatch(request);
            return;
        }
        // The last sixteenth is for clients that are only let in to be declined.
        while (loop.channelsLeft() <= loop.mostChannels() / 16) {
            if (!closeOldestIdle() && !listener.closeIdleClient()) {
                loop.run(
                        () ->
                                requestFailed(
                                        request,
                                        End.UNREACHABLE,
                                        Duration.ZERO,
                                        "no descriptor left"));
                return;
            }
        }
        try {
            pool.connections.add(
                    MemberConnection.open(this, pool, pool.address, loop, connectTimeout, request));
        } catch (IOException | RuntimeException cause) {
            loop.run(
                    () ->
                            requestFailed(
                                    request,
                                    End.UNREACHABLE,
                                    Duration.ZERO,
                                    "cannot open: " + cause.getMessage()));
        }
    }

    /** The id by which discovery lists it, or null where it is known no more. */
    String uid(long member) {
        MemberPool pool = poolsById.get(member);
        return pool == null ? null : pool.uid;
    }

    /** Whether a txn is at one of these members, or on its way there. */
    boolean hasTxnAt(Predicate<String> isConcerned) {
        return poolsById.values().stream()
                .filter(pool -> isConcerned.test(pool.uid))
                .anyMatch(
                        pool ->
                                pool.connections.stream()
                                        .anyMatch(
                                                connection ->
                                                        connection.request() != null
                                                                && !connection
                                                                        .request()
                                                                        .isProbe()));
    }

    /**
     * Asks a member what it is, beside what the module asks; the answer goes to {@link
     * Results#roleProbed}.
     */
    void probeRole(String uid) {
        MemberPool pool = poolsByUid.get(uid);
        if (pool != null) {
            dispatch(
                    new MemberRequest(
                            null,
                            ROLE_PROBE_SUBMISSION,
                            pool.id,
                            null,
                            clock.now().plus(connectTimeout)));
        }
    }

    @Override
    public void closeIdleConnections(long member) {
        MemberPool pool = poolsById.get(member);
        if (pool != null) {
            pool.closeIdleConnections();
        }
    }

    @Override
    public boolean closeSpareConnection() {
        return connectionCount() > loop.mostChannels() / 8 && closeOldestIdle();
    }

    private boolean closeOldestIdle() {
        MemberConnection oldest = null;
        for (MemberPool pool : poolsById.values()) {
            MemberConnection first = pool.idleConnections.peekFirst();
            if (first != null
                    && (oldest == null || first.idleSince().compareTo(oldest.idleSince()) < 0)) {
                oldest = first;
            }
        }
        if (oldest != null) {
            counters.count("idle member closed for room");
            oldest.close();
        }
        return oldest != null;
    }

    @Override
    public void cancel(String txn, int submission) {
        for (MemberPool pool : poolsById.values()) {
            for (MemberConnection connection : pool.connections) {
                MemberRequest request = connection.request();
                if (request != null
                        && txn.equals(request.txn())
                        && request.submission() == submission) {
                    // Its end is an input to the module, which is in the middle of its decisions:
                    // told a task later.
                    connection.markCancelled();
                    loop.run(
                            () -> {
                                if (connection.request() == request) {
                                    connection.cancel();
                                }
                            });
                    return;
                }
            }
        }
    }

    /**
     * It rests for one to two beats: counted, not read from a clock, since the whole process may
     * stand still.
     */
    void delayReuse(MemberConnection connection) {
        delayedSinceTick.add(connection);
        if (!tickScheduled) {
            tickScheduled = true;
            loop.after(REUSE_DELAY, this::reuseTick);
        }
    }

    private void reuseTick() {
        List<MemberConnection> reusable = delayedBeforeTick;
        delayedBeforeTick = delayedSinceTick;
        delayedSinceTick = new ArrayList<>();
        tickScheduled = !delayedBeforeTick.isEmpty();
        if (tickScheduled) {
            loop.after(REUSE_DELAY, this::reuseTick);
        }
        reusable.forEach(MemberConnection::reuseDelayElapsed);
    }

    void reportError(Throwable error) {
        loop.bug(error);
    }

    boolean mayDispatch(MemberRequest request) {
        return listener.mayDispatch(request);
    }

    void requestAnswered(MemberRequest request, MemberResponse response, Duration elapsed) {
        if (request.isProbe() && request.submission() == ROLE_PROBE_SUBMISSION) {
            listener.roleProbeEnded(
                    request.member(), response.probeReport != null, response.probeReport);
        } else if (request.isProbe()) {
            listener.probeEnded(
                    request.member(),
                    response.probeReport != null,
                    elapsed,
                    response.probeReport != null ? response.probeReport : response.status.report());
        } else {
            counters.count(response.end.name());
            listener.submissionEnded(request, response.end, elapsed, response.status, response.row);
        }
    }

    void requestFailed(MemberRequest request, End end, Duration elapsed, String reason) {
        if (request.isProbe() && request.submission() == ROLE_PROBE_SUBMISSION) {
            listener.roleProbeEnded(request.member(), false, null);
        } else if (request.isProbe()) {
            counters.count("probe " + reason);
            listener.probeEnded(request.member(), false, elapsed, null);
        } else {
            counters.count(end.name());
            counters.count(reason);
            listener.submissionEnded(
                    request, end, elapsed, TxnDispatcher.MemberStatus.UNKNOWN, null);
        }
    }

    /** How many members are thought of. */
    int memberCount() {
        return poolsById.size();
    }

    int connectionCount() {
        int count = 0;
        for (MemberPool pool : poolsById.values()) {
            count += pool.connections.size();
        }
        return count;
    }
}
