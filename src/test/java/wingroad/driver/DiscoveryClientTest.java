package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.listEntry;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import wingroad.protocol.MemberList;
import wingroad.rig.Peer;
import wingroad.transport.EventLoop;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Discovery's watch and fetch against an agent played by the test, which responds, closes, resets
 * or stays silent at any point of an exchange.
 */
class DiscoveryClientTest {
    /** Limits each wait for an event of the discovery client. */
    private static final long WAIT_TIMEOUT_SECONDS = 20;

    private static final int CHANNEL_LIMIT = 100;
    private static final int MEMORY_LIMIT_BYTES = 1 << 24;

    /** The list version that the discovery client holds at the start. */
    private static final long HELD_VERSION = 5;

    /** The event that stands for a failed request. */
    private static final String REQUEST_FAILED = "failed";

    /** The event that stands for the end of a fetch, whatever its result. */
    private static final String FETCH_DONE = "done";

    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";

    private final BlockingQueue<Object> events = new LinkedBlockingQueue<>();
    private final EventLoop loop = createEventLoop();
    private final Peer.Listener agent = createListener();
    private final DiscoveryClient discovery = createClient(false);

    private static EventLoop createEventLoop() {
        try {
            return new EventLoop(
                    CHANNEL_LIMIT,
                    MEMORY_LIMIT_BYTES,
                    failure -> {
                        throw new AssertionError(failure);
                    });
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static Peer.Listener createListener() {
        try {
            return new Peer.Listener();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private DiscoveryClient createClient(boolean pullMode) {
        return new DiscoveryClient(
                loop,
                addressOf(agent),
                HELD_VERSION,
                new Counters(),
                pullMode,
                events::add,
                () -> events.add(REQUEST_FAILED));
    }

    private static InetSocketAddress addressOf(Peer.Listener listener) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port());
    }

    @AfterEach
    void close() throws IOException {
        agent.close();
    }

    private static String list(long version, boolean complete, String state) {
        return "{\"rev\":"
                + version
                + ",\"all\":"
                + complete
                + ",\"targets\":["
                + listEntry("s-1", 5433, state)
                + "]}";
    }

    private static String responseWithLength(String body) {
        return RESPONSE_HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private MemberList awaitList() throws InterruptedException {
        return (MemberList) events.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** The version that the next request on this connection names, -1 for a fetch. */
    private static long requestedVersion(Peer connection) throws IOException {
        String request = connection.readUntil("\r\n\r\n");
        return request.contains("since=")
                ? Long.parseLong(request.replaceAll("(?s).*since=([0-9]+).*", "$1"))
                : -1;
    }

    /**
     * Guards rule 3: a truncated list that is taken for a complete one would not show which members
     * are draining. A response without a length ends with its connection, so that a reset must not
     * count as its end.
     */
    @Test
    void responseWithoutLengthIsDiscardedOnReset() throws Exception {
        loop.execute(discovery::watch);
        Peer firstConnection = agent.accept();
        assertThat(requestedVersion(firstConnection)).isEqualTo(HELD_VERSION);
        firstConnection.send(RESPONSE_HEAD + "\r\n" + list(6, true, "ready"));
        firstConnection.reset();
        Peer secondConnection = agent.accept();
        assertThat(requestedVersion(secondConnection)).isEqualTo(HELD_VERSION);
        assertThat(events).isEmpty();
        secondConnection.send(RESPONSE_HEAD + "\r\n" + list(6, true, "draining")).close();
        assertThat(awaitList().entries().get(0).isDraining()).isTrue();
        assertThat(requestedVersion(agent.accept())).isEqualTo(6);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void truncatedResponseIsRequestedAgainFromHeldVersion(boolean reset) throws Exception {
        String response = responseWithLength(list(6, true, "ready"));
        loop.execute(discovery::watch);
        for (int sentLength = 0; sentLength < response.length(); sentLength += 7) {
            Peer connection = agent.accept();
            assertThat(requestedVersion(connection)).isEqualTo(HELD_VERSION);
            connection.send(response.substring(0, sentLength));
            if (reset) {
                connection.reset();
            } else {
                connection.close();
            }
        }
        Peer lastConnection = agent.accept();
        assertThat(requestedVersion(lastConnection)).isEqualTo(HELD_VERSION);
        lastConnection.sendByteByByte(response.getBytes(StandardCharsets.ISO_8859_1));
        assertThat(awaitList().version()).isEqualTo(6);
        assertThat(events).isEmpty();
        assertThat(requestedVersion(lastConnection)).isEqualTo(6);
    }

    /**
     * Guards rule 3: what the agent holds counts as known to the driver whether or not a watch is
     * open.
     */
    @Test
    void lostWatchIsReopenedWithinShortestGraceInPushMode() throws Exception {
        loop.execute(discovery::watch);
        for (int i = 0; i < 6; i++) {
            Peer connection = agent.accept();
            requestedVersion(connection);
            long startNanos = System.nanoTime();
            connection.reset();
            requestedVersion(agent.accept());
            assertThat(System.nanoTime() - startNanos)
                    .isLessThan(TimeUnit.MILLISECONDS.toNanos(1000));
            agent.accept().close();
        }
        assertThat(events).isEmpty();
    }

    /** Guards against a busy loop of connection attempts while the agent refuses connections. */
    @Test
    void refusedConnectionsAreRetriedAtLimitedRate() throws Exception {
        Counters counters = new Counters();
        int closedPort;
        try (Peer.Listener closedListener = new Peer.Listener()) {
            closedPort = closedListener.port();
        }
        DiscoveryClient client =
                new DiscoveryClient(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), closedPort),
                        HELD_VERSION,
                        counters,
                        false,
                        events::add,
                        () -> events.add(REQUEST_FAILED));
        BlockingQueue<String> summaries = new LinkedBlockingQueue<>();
        loop.execute(client::watch);
        loop.schedule(Duration.ofMillis(600), () -> summaries.add(counters.takeSummary()));
        String summary = summaries.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(Integer.parseInt(summary.replaceAll(".* ", ""))).isBetween(1, 7);
        assertThat(events).isEmpty();
    }

    @Test
    void failedWatchIsLeftToTheRouterInPullMode() throws Exception {
        DiscoveryClient client = createClient(true);
        loop.execute(client::watch);
        Peer connection = agent.accept();
        assertThat(connection.readUntil("\r\n\r\n")).contains("timeout_ms=20000");
        connection.reset();
        assertThat(events.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(REQUEST_FAILED);
        assertThat(agent.noConnectionWithin(400)).isTrue();
    }

    /**
     * Guards against a watch that falls silent without being closed: it must be detected long
     * before the changes that it misses count as known, 6 s later.
     */
    @Test
    void silentWatchIsReopenedInTime() throws Exception {
        loop.execute(discovery::watch);
        Peer firstConnection = agent.accept();
        requestedVersion(firstConnection);
        firstConnection.send(responseWithLength(list(6, true, "ready")));
        assertThat(awaitList().version()).isEqualTo(6);
        assertThat(requestedVersion(firstConnection)).isEqualTo(6);
        // Part of a response, then nothing: silence within a response must be detected too.
        firstConnection.send(RESPONSE_HEAD + "Content-Length: 500\r\n\r\n{\"rev\":7");
        long startNanos = System.nanoTime();
        Peer secondConnection = agent.accept();
        assertThat(System.nanoTime() - startNanos).isLessThan(TimeUnit.SECONDS.toNanos(5));
        assertThat(requestedVersion(secondConnection)).isEqualTo(6);
        secondConnection.send(responseWithLength(list(7, false, "draining")));
        assertThat(awaitList().entries().get(0).isDraining()).isTrue();
        firstConnection.readUntilClosed();
    }

    /**
     * Guards against a response that arrives twice: the second would be taken for the response to
     * the next request.
     */
    @Test
    void unexpectedBytesAfterResponseCloseTheConnection() throws Exception {
        loop.execute(discovery::watch);
        Peer firstConnection = agent.accept();
        requestedVersion(firstConnection);
        firstConnection.send(
                responseWithLength(list(6, true, "ready"))
                        + responseWithLength(list(6, true, "ready")));
        assertThat(awaitList().version()).isEqualTo(6);
        Peer secondConnection = agent.accept();
        assertThat(requestedVersion(secondConnection)).isEqualTo(6);
        firstConnection.readUntilClosed();
        secondConnection.send(responseWithLength(list(7, false, "draining")));
        assertThat(awaitList().version()).isEqualTo(7);
        assertThat(events).isEmpty();
    }

    @Test
    void indentedListInChunkedEncodingIsRead() throws Exception {
        loop.execute(discovery::watch);
        Peer connection = agent.accept();
        requestedVersion(connection);
        String indentedList =
                list(6, true, "draining")
                        .replace(",", ",\r\n\t ")
                        .replace("{", "{\n  ")
                        .replace("}", "\n}\n");
        connection.send(
                RESPONSE_HEAD
                        + "Transfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(indentedList.length())
                        + "\r\n"
                        + indentedList
                        + "\r\n0\r\n\r\n");
        assertThat(awaitList().entries().get(0).isDraining()).isTrue();
    }

    /**
     * A restarted discovery counts its versions from a lower number: its complete list is valid,
     * but changes without the list that they refer to are not.
     */
    @Test
    void onlyCompleteListMayLowerTheVersion() throws Exception {
        loop.execute(discovery::watch);
        Peer connection = agent.accept();
        assertThat(requestedVersion(connection)).isEqualTo(HELD_VERSION);
        connection.send(responseWithLength(list(3, false, "ready")));
        Peer secondConnection = agent.accept();
        assertThat(requestedVersion(secondConnection)).isZero();
        assertThat(events).isEmpty();
        secondConnection.send(responseWithLength(list(3, true, "draining")));
        assertThat(awaitList().version()).isEqualTo(3);
        assertThat(requestedVersion(secondConnection)).isEqualTo(3);
    }

    /** The watch may deliver a newer list while an older one is being fetched. */
    @Test
    void fetchedListOlderThanWatchIsIgnored() throws Exception {
        loop.execute(discovery::watch);
        Peer watch = agent.accept();
        requestedVersion(watch);
        loop.execute(discovery::fetch);
        Peer fetch = agent.accept();
        assertThat(requestedVersion(fetch)).isEqualTo(-1);
        watch.send(responseWithLength(list(7, false, "draining")));
        assertThat(awaitList().version()).isEqualTo(7);
        assertThat(requestedVersion(watch)).isEqualTo(7);
        fetch.send(responseWithLength(list(6, true, "ready")));
        fetch.readUntilClosed();
        watch.send(responseWithLength(list(8, false, "draining")));
        assertThat(awaitList().version()).isEqualTo(8);
        assertThat(events).isEmpty();
    }

    /**
     * Guards against a start that waits forever for the fetched list: its callback must run however
     * the request ends.
     */
    @Test
    void fetchAlwaysReportsItsCompletion() throws Exception {
        loop.execute(discovery::watch);
        Peer watch = agent.accept();
        requestedVersion(watch);
        watch.send(responseWithLength(list(9, true, "ready")));
        assertThat(awaitList().version()).isEqualTo(9);
        requestedVersion(watch);
        for (String response :
                new String[] {
                    responseWithLength(list(9, true, "ready")),
                    responseWithLength(list(8, true, "ready")),
                    responseWithLength("{}"),
                    "nonsense\n",
                    "reset",
                    "silent"
                }) {
            loop.execute(() -> discovery.fetch(() -> events.add(FETCH_DONE)));
            Peer connection = agent.accept();
            assertThat(requestedVersion(connection)).isEqualTo(-1);
            if (response.equals("reset")) {
                connection.reset();
            } else if (!response.equals("silent")) {
                connection.send(response);
            }
            if (response.contains("\"rev\":9")) {
                assertThat(awaitList().version()).isEqualTo(9);
            } else if (!response.contains("\"rev\":8")) {
                assertThat(events.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                        .isEqualTo(REQUEST_FAILED);
            }
            assertThat(events.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .as(response)
                    .isEqualTo(FETCH_DONE);
            connection.close();
        }
        assertThat(events).isEmpty();
    }

    /**
     * The address changes while a response is being received: the old address is not used any more,
     * and no failure is reported.
     */
    @Test
    void watchMovesToNewAddressMidResponse() throws Exception {
        loop.execute(discovery::watch);
        Peer oldConnection = agent.accept();
        requestedVersion(oldConnection);
        String response = responseWithLength(list(6, true, "ready"));
        oldConnection.send(response.substring(0, response.length() - 10));
        try (Peer.Listener newAgent = new Peer.Listener()) {
            loop.execute(() -> discovery.setAddress(addressOf(newAgent)));
            Peer newConnection = newAgent.accept();
            assertThat(requestedVersion(newConnection)).isEqualTo(HELD_VERSION);
            oldConnection.readUntilClosed();
            newConnection.send(responseWithLength(list(6, true, "draining")));
            assertThat(awaitList().entries().get(0).isDraining()).isTrue();
            // The address changes again right after the list.
            loop.execute(() -> discovery.setAddress(addressOf(agent)));
            assertThat(requestedVersion(agent.accept())).isEqualTo(6);
        }
        assertThat(events).isEmpty();
    }

    /** The address changes during the retry delay: a single request is sent to the new address. */
    @Test
    void watchMovesToNewAddressBetweenRequests() throws Exception {
        loop.execute(discovery::watch);
        Peer connection = agent.accept();
        requestedVersion(connection);
        try (Peer.Listener newAgent = new Peer.Listener()) {
            connection.reset();
            requestedVersion(agent.accept());
            loop.execute(() -> discovery.setAddress(addressOf(newAgent)));
            assertThat(requestedVersion(newAgent.accept())).isEqualTo(HELD_VERSION);
            assertThat(newAgent.noConnectionWithin(300)).isTrue();
        }
    }
}
