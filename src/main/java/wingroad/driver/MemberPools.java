package wingroad.driver;

import static wingroad.state.Durations.max;

import wingroad.driver.TxnDispatcher.MemberRequest;
import wingroad.protocol.MemberList;
import wingroad.state.Submission.Outcome;
import wingroad.transport.EventLoop;

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

/**
 * The connection pools to all members, by the id under which discovery lists a member and by the
 * number under which the router knows it.
 */
final class MemberPools implements TxnDispatcher.MemberTransport {
    /**
     * How long a connection is left unused at least after a response, while it is validated by an
     * empty query. Guards against a member that writes surplus data only after it has answered the
     * empty query; a few times the transit time of a packet.
     */
    private static final Duration REUSE_DELAY = Duration.ofMillis(4);

    /** Stands in a request for the number of a submission if it probes a role for maintenance. */
    private static final int ROLE_PROBE_SUBMISSION = -2;

    /** The last sixteenth of the descriptors is kept for clients that are accepted and declined. */
    private static final int DECLINED_CLIENTS_RESERVE_DIVISOR = 16;

    /** An eighth of the descriptors is reserved for members. */
    private static final int MEMBER_RESERVE_DIVISOR = 8;

    private final EventLoop loop;
    private final Clock clock;
    private final Counters counters;
    private final MemberTransportListener listener;
    private final Duration connectTimeout;
    private final Duration idleTimeout;
    private final Map<String, MemberPool> poolsByUid = new HashMap<>();
    private final Map<Long, MemberPool> poolsById = new LinkedHashMap<>();

    /** Connections in their reuse delay: those that entered it since the last tick. */
    private List<MemberConnection> delayedSinceTick = new ArrayList<>();

    /** Connections in their reuse delay: those that entered it before the last tick. */
    private List<MemberConnection> delayedBeforeTick = new ArrayList<>();

    private boolean tickScheduled;
    private long lastMemberId;

    /** The pool of one member: its address and its connections. */
    final class MemberPool {
        final long id;
        private final String uid;
        private InetSocketAddress address;

        /** The member is gone from the list, or the router has forgotten it. */
        private boolean removed;

        /** The member drains: it finishes what it has, and gets nothing that it need not get. */
        private boolean draining;

        private final Set<MemberConnection> connections = new LinkedHashSet<>();

        /** Includes connections under validation; the most recently used one is last. */
        private final ArrayDeque<MemberConnection> idleConnections = new ArrayDeque<>();

        private MemberPool(String uid, long id) {
            this.uid = uid;
            this.id = id;
        }

        void addIdle(MemberConnection connection) {
            idleConnections.add(connection);
        }

        /**
         * Whether the member is still listed at this address. A connection to another address takes
         * no new request.
         */
        boolean isCurrentAddress(InetSocketAddress candidate) {
            return !removed && candidate.equals(address);
        }

        /**
         * Whether a connection may be kept for further requests. Validating one would send
         * something new to a member that drains.
         */
        boolean keepsConnections(InetSocketAddress candidate) {
            return !draining && isCurrentAddress(candidate);
        }

        void remove(MemberConnection connection) {
            connections.remove(connection);
            idleConnections.remove(connection);
        }

        /**
         * The most recently used connection that is validated, else the one that has waited
         * longest, or null.
         */
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
            Map<String, Object> routerSettings,
            MemberTransportListener listener) {
        this.loop = loop;
        this.clock = clock;
        this.counters = counters;
        this.listener = listener;
        this.connectTimeout = (Duration) routerSettings.get("connect-time-out");
        // Idle connections are closed one connect timeout before the member may close them, so that
        // no request crosses the close. If little time would remain, half of the member's timeout
        // is used: connections that are never reused cost the members more.
        Duration memberIdleTimeout = (Duration) routerSettings.get("idle-time");
        this.idleTimeout =
                max(memberIdleTimeout.minus(connectTimeout), memberIdleTimeout.dividedBy(2));
    }

    Clock clock() {
        return clock;
    }

    Duration now() {
        return clock.now();
    }

    /** How long opening a connection may take, and validating it after a response. */
    Duration connectTimeout() {
        return connectTimeout;
    }

    Duration idleTimeout() {
        return idleTimeout;
    }

    /** Takes over a list entry; returns the number by which the router knows the member. */
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
        pool.removed = entry.isGone();
        pool.draining = entry.isDraining();
        if (entry.isGone()) {
            pool.closeIdleConnections();
        }
        return pool.id;
    }

    /**
     * Removes the pools of members that the router has forgotten. Guards against growth without
     * bound, since members keep coming under new ids.
     */
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
        while (loop.availableChannels() <= loop.maxChannels() / DECLINED_CLIENTS_RESERVE_DIVISOR) {
            if (!closeOldestIdle() && !listener.closeIdleClient()) {
                loop.execute(
                        () ->
                                requestFailed(
                                        request,
                                        Outcome.UNREACHABLE,
                                        Duration.ZERO,
                                        "no descriptor left"));
                return;
            }
        }
        try {
            pool.connections.add(
                    MemberConnection.open(this, pool, pool.address, loop, connectTimeout, request));
        } catch (IOException | RuntimeException cause) {
            loop.execute(
                    () ->
                            requestFailed(
                                    request,
                                    Outcome.UNREACHABLE,
                                    Duration.ZERO,
                                    "cannot open connection: " + cause.getMessage()));
        }
    }

    /** The id by which discovery lists the member, or null if it has been removed. */
    String uid(long member) {
        MemberPool pool = poolsById.get(member);
        return pool == null ? null : pool.uid;
    }

    /** Whether a txn is at one of these members, or waits for a connection to one. */
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
     * Asks a member for its role, independently of the router's probes. The outcome goes to {@link
     * MemberTransportListener#roleProbeEnded}.
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
        return connectionCount() > loop.maxChannels() / MEMBER_RESERVE_DIVISOR && closeOldestIdle();
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
            counters.count("idle member connection closed to free a descriptor");
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
                    // The end is an input to the router, which is being asked for decisions: it is
                    // reported in a later task.
                    connection.markCancelled();
                    loop.execute(
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
     * Delays the connection's reuse by one to two ticks. Ticks are counted instead of reading a
     * clock because the whole process may have been suspended, with unread data pending.
     */
    void delayReuse(MemberConnection connection) {
        delayedSinceTick.add(connection);
        if (!tickScheduled) {
            tickScheduled = true;
            loop.schedule(REUSE_DELAY, this::reuseTick);
        }
    }

    private void reuseTick() {
        List<MemberConnection> reusable = delayedBeforeTick;
        delayedBeforeTick = delayedSinceTick;
        delayedSinceTick = new ArrayList<>();
        tickScheduled = !delayedBeforeTick.isEmpty();
        if (tickScheduled) {
            loop.schedule(REUSE_DELAY, this::reuseTick);
        }
        reusable.forEach(MemberConnection::reuseDelayElapsed);
    }

    void reportError(Throwable error) {
        loop.reportUnexpectedError(error);
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
            counters.count(response.outcome.name());
            listener.submissionEnded(
                    request, response.outcome, elapsed, response.status, response.row);
        }
    }

    void requestFailed(MemberRequest request, Outcome outcome, Duration elapsed, String reason) {
        if (request.isProbe() && request.submission() == ROLE_PROBE_SUBMISSION) {
            listener.roleProbeEnded(request.member(), false, null);
        } else if (request.isProbe()) {
            counters.count("probe " + reason);
            listener.probeEnded(request.member(), false, elapsed, null);
        } else {
            counters.count(outcome.name());
            counters.count(reason);
            listener.submissionEnded(
                    request, outcome, elapsed, TxnDispatcher.MemberStatus.UNKNOWN, null);
        }
    }

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
