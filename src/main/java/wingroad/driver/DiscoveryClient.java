package wingroad.driver;

import wingroad.protocol.HttpResponseDecoder;
import wingroad.protocol.MemberList;
import wingroad.transport.Connection;
import wingroad.transport.EventLoop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Requests the member list from discovery over HTTP: changes by a long poll that is repeated (the
 * watch), and the whole list by a single request (the fetch).
 *
 * <p>In push mode an agent on the driver's own machine responds, at no cost, and what it holds
 * counts as known to the driver whether or not a watch is open. Therefore a lost watch is reopened
 * here, and a silent one is detected soon. In pull mode each request loads a service that all
 * drivers share, and the router decides when to make another.
 */
final class DiscoveryClient implements TxnDispatcher.MemberListSource {
    /**
     * How long a watch may wait for changes in push mode. Changes that a silent watch misses count
     * as known 6 s after it fell silent, or 2 s after the end of its wait if that is later. With
     * this wait a silent watch is detected after 3 s at most, and the new one has its response in
     * time.
     */
    private static final Duration LOCAL_AGENT_LONG_POLL_TIMEOUT = Duration.ofSeconds(2);

    /** How long a watch may wait for changes in pull mode. */
    private static final Duration SHARED_SERVICE_LONG_POLL_TIMEOUT = Duration.ofSeconds(20);

    /**
     * How long a connect may take, and how much later than at the end of its wait a response may
     * arrive.
     */
    private static final Duration RESPONSE_GRACE = Duration.ofSeconds(1);

    /**
     * The shortest time between two requests of a watch without changes; half of the time within
     * which a watch must be continued.
     */
    private static final Duration MIN_WATCH_INTERVAL = Duration.ofMillis(100);

    private static final int MAX_BUFFERED_BYTES = 64 * 1024;

    private static final int HTTP_OK = 200;

    private final EventLoop loop;
    private InetSocketAddress address;
    private final Counters counters;
    private final boolean pullMode;
    private final Duration longPollTimeout;
    private final Consumer<MemberList> onList;
    private final Runnable onFailure;

    /** The newest list version that is held. */
    private long version;

    private Request watch;
    private Request fetch;

    /** Set if a watch will be opened after a delay, else null. */
    private EventLoop.Timer watchTimer;

    /** Runs once the fetch has ended; may be null. */
    private Runnable onFetchDone;

    /**
     * @param version the list version that is held already
     * @param pullMode lists are requested from a shared service, see the class comment
     * @param onList receives each list
     * @param onFailure runs after each failed request that is not repeated here
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

    /** Starts a watch at once; one that is open continues. */
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
        watchTimer = loop.schedule(delay, this::watch);
    }

    private void cancelWatchTimer() {
        if (watchTimer != null) {
            watchTimer.cancel();
            watchTimer = null;
        }
    }

    /** Closes the watch; the held version remains. */
    void stopWatch() {
        cancelWatchTimer();
        if (watch != null) {
            watch.close();
        }
    }

    long heldVersion() {
        return version;
    }

    /** Raises the held version to one learnt elsewhere; the watch continues from there. */
    void advanceTo(long newer) {
        version = Math.max(version, newer);
    }

    @Override
    public void fetch() {
        if (fetch == null) {
            fetch = new Request(false);
            fetch.connect();
        }
    }

    /** Fetches the whole list; {@code onDone} runs once it was delivered or the request failed. */
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
     * Uses another address from now on. A watch continues there from the held version, so that no
     * change is missed. An open request to the old address is dropped without counting as failed,
     * and repeated.
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

    /** A watch, whose connection carries one request after the other, or a fetch. */
    private final class Request implements Connection.Handler {
        private final boolean isWatch;
        private Connection connection;
        private HttpResponseDecoder reply = new HttpResponseDecoder();
        private EventLoop.Timer timer;
        private long sentAtNanos;
        private boolean closed;

        /** A list was received on this connection. */
        private boolean hasDeliveredList;

        Request(boolean isWatch) {
            this.isWatch = isWatch;
        }

        void connect() {
            sentAtNanos = loop.nanoTime();
            try {
                connection = Connection.open(loop, address, this, MAX_BUFFERED_BYTES);
            } catch (IOException | RuntimeException failure) {
                loop.execute(() -> fail("cannot open connection: " + failure.getMessage()));
                return;
            }
            startTimer(RESPONSE_GRACE);
        }

        private void startTimer(Duration limit) {
            timer = loop.schedule(limit, this::timedOut);
        }

        @Override
        public void onConnected() {
            send();
        }

        private void send() {
            sentAtNanos = loop.nanoTime();
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
                    HttpResponseDecoder.encodeGetRequest(
                            address.getHostString() + ":" + address.getPort(), path));
        }

        @Override
        public void onBytes(ByteBuffer in) {
            HttpResponseDecoder.State state = reply.decode(in);
            if (state == HttpResponseDecoder.State.COMPLETE) {
                // Guards against a duplicated response: the second one would be taken for the
                // response to the next request.
                responseReceived(reply.connectionCloses() || in.hasRemaining());
            } else if (state == HttpResponseDecoder.State.MALFORMED) {
                fail(reply.malformedReason());
            }
        }

        /**
         * @param lastOnConnection the connection can't carry another request
         */
        private void responseReceived(boolean lastOnConnection) {
            timer.cancel();
            MemberList.Parsed parsed =
                    reply.status() == HTTP_OK
                            ? MemberList.parse(reply.body())
                            : new MemberList.Parsed(null, "status " + reply.status());
            MemberList list = parsed.list();
            if (list == null) {
                fail(parsed.error());
                return;
            }
            if (list.version() < version && !isWatch && watch != null) {
                // The watch was faster: the held version is newer.
                close();
                fetchDone();
                return;
            }
            if (list.version() < version && !list.complete()) {
                // A service that counts anew from a lower version knows nothing of the held list,
                // so only a whole list can follow.
                version = 0;
                fail("changes older than the held version");
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
                // The next request is sent before the list is delivered, so that no change falls
                // between two requests.
                reply = new HttpResponseDecoder();
                if (isNewer || !answeredImmediately()) {
                    send();
                } else {
                    timer = loop.schedule(MIN_WATCH_INTERVAL, this::send);
                }
            }
            DiscoveryClient.this.onList.accept(list);
            if (!isWatch) {
                fetchDone();
            }
        }

        /**
         * Whether the response or the end came sooner than {@link #MIN_WATCH_INTERVAL}: a service
         * that does not wait would be polled without a pause.
         */
        private boolean answeredImmediately() {
            return loop.nanoTime() - sentAtNanos < MIN_WATCH_INTERVAL.toNanos();
        }

        private void watchAgain(boolean immediately) {
            if (immediately || !answeredImmediately()) {
                watch();
            } else {
                watchAfter(MIN_WATCH_INTERVAL);
            }
        }

        /**
         * No response arrived. A watch is reopened at once, since an open long poll costs nothing.
         */
        private void timedOut() {
            counters.count("discovery response timed out");
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
                    // A lost connection does not mean that discovery failed. What it holds counts
                    // as known, so the watch is reopened.
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
        public boolean isInputEssential() {
            return true;
        }

        @Override
        public void onInputMemoryExhausted() {
            fail("no memory for the response");
        }

        @Override
        public void onClosed(int unwritten, boolean orderly, String reason) {
            // Only an orderly close ends a response without a length: what precedes a reset may be
            // a truncated list that looks whole.
            if (orderly && reply.endOfStream() == HttpResponseDecoder.State.COMPLETE) {
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
