package wingroad.driver;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;
import wingroad.protocol.HttpReply;
import wingroad.protocol.MemberList;
import wingroad.transport.Connection;
import wingroad.transport.EventLoop;

/**
 * Asks discovery for the member list: a watch that goes on, and the whole list once. Where lists
 * are pushed, an agent of the driver's own machine answers, at no cost, and what it has counts as
 * told whether or not a watch is open: a watch that is lost is opened again by itself, and one that
 * has fallen silent is missed soon. Where the list must be asked for, each call is paid for by all
 * drivers, and the module says when there is to be another.
 */
final class DiscoveryClient implements TxnDispatcher.MemberListSource {
    /**
     * How long a watch may wait for news. What a silent one misses counts as told 6 s after it fell
     * silent, or 2 s after its wait where that is later: with the short wait it is missed after 3 s
     * at most, and the new one has its answer in time.
     */
    private static final Duration LOCAL_AGENT_LONG_POLL_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration SHARED_SERVICE_LONG_POLL_TIMEOUT = Duration.ofSeconds(20);

    /**
     * How long a connection may take to be up, and how much longer than its wait an answer may
     * take.
     */
    private static final Duration RESPONSE_GRACE = Duration.ofSeconds(1);

    /** Half of the time within which a watch must be asked on. */
    private static final Duration MIN_WATCH_INTERVAL = Duration.ofMillis(100);

    private final EventLoop loop;
    private InetSocketAddress address;
    private final Counters counters;
    private final boolean pullMode;
    private final Duration longPollTimeout;
    private final Consumer<MemberList> onList;
    private final Runnable onFailure;
    private long version;
    private Request watch;
    private Request fetch;

    /** A watch is to be opened, but not at once; else null. */
    private EventLoop.Timer watchTimer;

    /** Who waits for the call for the whole list, or null. */
    private Runnable onFetchDone;

    /**
     * {@code pullMode}: the list must be asked for. {@code onList} gets each list that comes;
     * {@code failed} hears of each call that gave none and is not made again from here.
     */
    DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            long version,
            Counters counters,
            boolean pullMode,
            Consumer<MemberList> onList,
            Runnable onFailure) {
        this.loop = loop;
        this.address = address;
        this.version = version;
        this.counters = counters;
        this.pullMode = pullMode;
        this.longPollTimeout =
                pullMode ? SHARED_SERVICE_LONG_POLL_TIMEOUT : LOCAL_AGENT_LONG_POLL_TIMEOUT;
        this.onList = onList;
        this.onFailure = onFailure;
    }

    /** Follows the changes from now on; a watch that stands goes on. */
    @Override
    public void watch() {
        cancelWatchTimer();
        if (watch == null) {
            watch = new Request(true);
            watch.connect();
        }
    }

    private void watchAfter(Duration delay) {
        cancelWatchTimer();
        watchTimer = loop.after(delay, this::watch);
    }

    private void cancelWatchTimer() {
        if (watchTimer != null) {
            watchTimer.cancel();
            watchTimer = null;
        }
    }

    /** A watch that stands is given up; what is held stays held. */
    void stopWatch() {
        cancelWatchTimer();
        if (watch != null) {
            watch.close();
        }
    }

    /** The newest version that is held. */
    long heldVersion() {
        return version;
    }

    /** This version has been learnt elsewhere: a watch goes on from there. */
    void heldVersion(long newer) {
        version = Math.max(version, newer);
    }

    @Override
    public void fetch() {
        if (fetch == null) {
            fetch = new Request(false);
            fetch.connect();
        }
    }

    /** The same; {@code then} runs once the list has been told, or there is none to be had now. */
    void fetch(Runnable onDone) {
        onFetchDone = onDone;
        fetch();
    }

    private void fetchDone() {
        Runnable callback = onFetchDone;
        onFetchDone = null;
        if (callback != null) {
            callback.run();
        }
    }

    /**
     * Asks at another address from now on. A watch goes on there with the version that is held, so
     * that nothing that changes is missed; a call that is out at the old address is dropped, not
     * counted as failed, and made again.
     */
    void setAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        boolean wasWatching = watch != null || watchTimer != null;
        boolean wasFetching = fetch != null;
        if (wasWatching) {
            stopWatch();
            watch();
        }
        if (wasFetching) {
            fetch.close();
            fetch();
        }
    }

    private final class Request implements Connection.Owner {
        private final boolean isWatch;
        private Connection connection;
        private HttpReply reply = new HttpReply();
        private EventLoop.Timer timer;
        private long sentAtNanos;
        private boolean closed;

        /** It has given a list on this connection. */
        private boolean hasDeliveredList;

        Request(boolean isWatch) {
            this.isWatch = isWatch;
        }

        void connect() {
            sentAtNanos = loop.now();
            try {
                connection = Connection.open(loop, address, this, 64 * 1024);
            } catch (IOException | RuntimeException failure) {
                loop.run(() -> fail("cannot open: " + failure.getMessage()));
                return;
            }
            startTimer(RESPONSE_GRACE);
        }

        private void startTimer(Duration limit) {
            timer = loop.after(limit, this::timedOut);
        }

        @Override
        public void up() {
            send();
        }

        private void send() {
            sentAtNanos = loop.now();
            timer.cancel();
            startTimer(isWatch ? longPollTimeout.plus(RESPONSE_GRACE) : RESPONSE_GRACE);
            String path =
                    "/discovery/hosts"
                            + (isWatch
                                    ? "?since="
                                            + version
                                            + "&timeout_ms="
                                            + longPollTimeout.toMillis()
                                    : "");
            connection.send(
                    HttpReply.request(address.getHostString() + ":" + address.getPort(), path));
        }

        @Override
        public void bytes(ByteBuffer in) {
            HttpReply.State state = reply.take(in);
            if (state == HttpReply.State.WHOLE) {
                // Guards against an answer that comes twice: the second would stand for the answer
                // to the next call.
                responseReceived(reply.closes() || in.hasRemaining());
            } else if (state == HttpReply.State.BROKEN) {
                fail(reply.why());
            }
        }

        /** {@code last}: this connection is of no further use. */
        private void responseReceived(boolean lastOnConnection) {
            timer.cancel();
            MemberList.Parsed parsed =
                    reply.status() == 200
                            ? MemberList.parse(reply.body())
                            : new MemberList.Parsed(null, "status " + reply.status());
            MemberList list = parsed.list();
            if (list == null) {
                fail(parsed.why());
                return;
            }
            if (list.version() < version && !isWatch && watch != null) {
                // The watch has overtaken it: what is held is newer.
                close();
                fetchDone();
                return;
            }
            if (list.version() < version && !list.whole()) {
                // Whoever counts anew from a lower number knows nothing of what is held: only a
                // whole list can follow.
                version = 0;
                fail("changes older than what is held");
                return;
            }
            boolean isNewer = list.version() > version;
            version = list.version();
            hasDeliveredList = true;
            if (!isWatch) {
                close();
            } else if (lastOnConnection) {
                close();
                watchAgain(isNewer);
            } else {
                // The next call is out before the news is told: nothing that changes falls between
                // two calls.
                reply = new HttpReply();
                if (isNewer || !answeredImmediately()) {
                    send();
                } else {
                    timer = loop.after(MIN_WATCH_INTERVAL, this::send);
                }
            }
            DiscoveryClient.this.onList.accept(list);
            if (!isWatch) {
                fetchDone();
            }
        }

        /**
         * Its answer or end came as soon as it was asked: it does not wait, and would be asked
         * without a pause.
         */
        private boolean answeredImmediately() {
            return loop.now() - sentAtNanos < MIN_WATCH_INTERVAL.toNanos();
        }

        private void watchAgain(boolean immediately) {
            if (immediately || !answeredImmediately()) {
                watch();
            } else {
                watchAfter(MIN_WATCH_INTERVAL);
            }
        }

        /**
         * No answer at all: whoever is there is asked anew at once, since a call that stands costs
         * nothing.
         */
        private void timedOut() {
            counters.count("discovery silent");
            close();
            if (isWatch) {
                watch();
            } else {
                onFailure.run();
                fetchDone();
            }
        }

        private void fail(String reason) {
            if (!closed) {
                counters.count("discovery " + reason);
                close();
                if (isWatch && (hasDeliveredList || !pullMode)) {
                    // The connection is worn out, not discovery: what it holds counts as told, so
                    // ask at once.
                    watchAgain(false);
                } else {
                    onFailure.run();
                    if (!isWatch) {
                        fetchDone();
                    }
                }
            }
        }

        @Override
        public void full() {
            fail("no memory for its answer");
        }

        @Override
        public void ended(int unwritten, boolean orderly, String reason) {
            // A reset is no end: what came before it may be half of a list that looks whole.
            if (orderly && reply.end() == HttpReply.State.WHOLE) {
                responseReceived(true);
            } else {
                fail(reason);
            }
        }

        private void close() {
            closed = true;
            if (timer != null) {
                timer.cancel();
            }
            if (connection != null) {
                connection.close();
            }
            if (watch == this) {
                watch = null;
            } else if (fetch == this) {
                fetch = null;
            }
        }
    }
}
