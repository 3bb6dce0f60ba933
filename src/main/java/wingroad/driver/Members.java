package wingroad.driver;

import static wingroad.state.Durations.max;

import wingroad.driver.Exchange.MemberRequest;
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

/** The member side: who the members are, where they are, and the connections to them. */
final class Members implements Exchange.MemberTransport {
    /**
     * A connection is used again only after this rest since its last answer. Guards against more
     * than the answer: what comes behind it, in a packet of its own, would be taken for the answer
     * to what is sent next. A second copy is on its way at once, so this is some times what a
     * packet takes; waiting for it costs less than a new connection.
     */
    private static final Duration REST = Duration.ofMillis(4);

    /** Stands in a request for a submission's number where it is a probe for the plan of work. */
    private static final int ROLE_PROBE = -2;

    private final EventLoop loop;
    private final Clock clock;
    private final Counters counters;
    private final Results results;
    private final Duration connectTime;
    private final Duration idleTime;
    private final Map<String, MemberPool> byUid = new HashMap<>();
    private final Map<Long, MemberPool> byId = new LinkedHashMap<>();

    /** Those that rest: since the last beat, and for longer. */
    private List<MemberConnection> restingNew = new ArrayList<>();

    private List<MemberConnection> resting = new ArrayList<>();
    private boolean beating;
    private long numbers;

    /** One member: its address and its connections, those that stand idle with the newest last. */
    final class MemberPool {
        final long id;
        private final String uid;
        private InetSocketAddress address;

        /** It is gone, or nobody thinks of it any more. */
        private boolean over;

        private final Set<MemberConnection> connections = new LinkedHashSet<>();
        private final ArrayDeque<MemberConnection> idle = new ArrayDeque<>();

        private MemberPool(String uid, long id) {
            this.uid = uid;
            this.id = id;
        }

        void idle(MemberConnection connection) {
            idle.add(connection);
        }

        /** Whether it is still there: a connection to anywhere else carries nothing new. */
        boolean isAt(InetSocketAddress to) {
            return !over && to.equals(address);
        }

        void closed(MemberConnection connection) {
            connections.remove(connection);
            idle.remove(connection);
        }

        /** The newest that has rested, else the one that has rested longest, or null. */
        private MemberConnection takeIdle() {
            for (Iterator<MemberConnection> i = idle.descendingIterator(); i.hasNext(); ) {
                MemberConnection connection = i.next();
                if (connection.rested()) {
                    i.remove();
                    return connection;
                }
            }
            return idle.pollFirst();
        }

        private void closeIdle() {
            while (!idle.isEmpty()) {
                idle.peekFirst().close();
            }
        }
    }

    Members(
            EventLoop loop,
            Clock clock,
            Counters counters,
            Map<String, Object> terms,
            Results results) {
        this.loop = loop;
        this.clock = clock;
        this.counters = counters;
        this.results = results;
        this.connectTime = (Duration) terms.get("connect-time-out");
        // Closed from here a connecting time before the member may: no request crosses its closing.
        // Where that is most of
        // the time that there is, half of it: connections that are never used again cost the
        // members more.
        Duration idle = (Duration) terms.get("idle-time");
        this.idleTime = max(idle.minus(connectTime), idle.dividedBy(2));
    }

    Clock clock() {
        return clock;
    }

    Duration now() {
        return clock.now();
    }

    Duration idleTime() {
        return idleTime;
    }

    /** A list names this member: the number by which the module knows it. */
    long listed(MemberList.Entry e) {
        MemberPool p = byUid.get(e.uid());
        if (p == null) {
            p = new MemberPool(e.uid(), ++numbers);
            byUid.put(e.uid(), p);
            byId.put(p.id, p);
        }
        if (p.address == null
                || !p.address.getHostString().equals(e.host())
                || p.address.getPort() != e.port()) {
            p.address = new InetSocketAddress(e.host(), e.port());
            p.closeIdle();
        }
        p.over = e.gone();
        if (e.gone()) {
            p.closeIdle();
        }
        return p.id;
    }

    /** Lets go of those that the module no longer thinks of: members come under new ids all day. */
    void forget(LongPredicate known) {
        byId.values()
                .removeIf(
                        p -> {
                            boolean over = !known.test(p.id);
                            if (over) {
                                p.over = true;
                                p.closeIdle();
                                byUid.remove(p.uid);
                            }
                            return over;
                        });
    }

    @Override
    public void dispatch(MemberRequest e) {
        MemberPool p = byId.get(e.member());
        MemberConnection connection = p.takeIdle();
        if (connection != null) {
            connection.dispatch(e);
            return;
        }
        // The last sixteenth is for clients that are only let in to be declined.
        while (loop.channelsLeft() <= loop.mostChannels() / 16) {
            if (!closeOldestIdle() && !results.makeRoom()) {
                loop.run(() -> failed(e, Outcome.UNREACHABLE, Duration.ZERO, "no descriptor left"));
                return;
            }
        }
        try {
            p.connections.add(MemberConnection.open(this, p, p.address, loop, connectTime, e));
        } catch (IOException | RuntimeException cause) {
            loop.run(
                    () ->
                            failed(
                                    e,
                                    Outcome.UNREACHABLE,
                                    Duration.ZERO,
                                    "cannot open: " + cause.getMessage()));
        }
    }

    /** The id by which discovery lists it, or null where it is known no more. */
    String uid(long member) {
        MemberPool p = byId.get(member);
        return p == null ? null : p.uid;
    }

    /** Whether a txn is at one of these members, or on its way there. */
    boolean busy(Predicate<String> uids) {
        return byId.values().stream()
                .filter(p -> uids.test(p.uid))
                .anyMatch(
                        p ->
                                p.connections.stream()
                                        .anyMatch(
                                                l -> l.request() != null && !l.request().probe()));
    }

    /**
     * Asks a member what it is, beside what the module asks; the answer goes to {@link
     * Results#roleProbed}.
     */
    void ask(String uid) {
        MemberPool p = byUid.get(uid);
        if (p != null) {
            dispatch(
                    new MemberRequest(null, ROLE_PROBE, p.id, null, clock.now().plus(connectTime)));
        }
    }

    @Override
    public void release(long member) {
        MemberPool p = byId.get(member);
        if (p != null) {
            p.closeIdle();
        }
    }

    @Override
    public boolean giveWay() {
        return connections() > loop.mostChannels() / 8 && closeOldestIdle();
    }

    private boolean closeOldestIdle() {
        MemberConnection oldest = null;
        for (MemberPool p : byId.values()) {
            MemberConnection first = p.idle.peekFirst();
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
    public void callOff(String txn, int submission) {
        for (MemberPool p : byId.values()) {
            for (MemberConnection connection : p.connections) {
                MemberRequest e = connection.request();
                if (e != null && txn.equals(e.txn()) && e.submission() == submission) {
                    // Its end is an input to the module, which is in the middle of its decisions:
                    // told a task later.
                    connection.toBeCalledOff();
                    loop.run(
                            () -> {
                                if (connection.request() == e) {
                                    connection.callOff();
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
    void rests(MemberConnection connection) {
        restingNew.add(connection);
        if (!beating) {
            beating = true;
            loop.after(REST, this::beat);
        }
    }

    private void beat() {
        List<MemberConnection> rested = resting;
        resting = restingNew;
        restingNew = new ArrayList<>();
        beating = !resting.isEmpty();
        if (beating) {
            loop.after(REST, this::beat);
        }
        rested.forEach(MemberConnection::hasRested);
    }

    void fault(Throwable bug) {
        loop.bug(bug);
    }

    boolean mayStillGo(MemberRequest e) {
        return results.mayStillGo(e);
    }

    void answered(MemberRequest e, Answer a, Duration took) {
        if (e.probe() && e.submission() == ROLE_PROBE) {
            results.roleProbed(e.member(), a.asked != null, a.asked);
        } else if (e.probe()) {
            results.probed(
                    e.member(),
                    a.asked != null,
                    took,
                    a.asked != null ? a.asked : a.status.report());
        } else {
            counters.count(a.end.name());
            results.ended(e, a.end, took, a.status, a.row);
        }
    }

    void failed(MemberRequest e, Outcome end, Duration took, String how) {
        if (e.probe() && e.submission() == ROLE_PROBE) {
            results.roleProbed(e.member(), false, null);
        } else if (e.probe()) {
            counters.count("probe " + how);
            results.probed(e.member(), false, took, null);
        } else {
            counters.count(end.name());
            counters.count(how);
            results.ended(e, end, took, Exchange.MemberStatus.NOTHING, null);
        }
    }

    /** How many members are thought of. */
    int count() {
        return byId.size();
    }

    int connections() {
        int n = 0;
        for (MemberPool p : byId.values()) {
            n += p.connections.size();
        }
        return n;
    }
}
