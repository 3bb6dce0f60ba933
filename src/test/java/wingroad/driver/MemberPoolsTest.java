package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.EMPTY_QUERY_RESPONSE;
import static wingroad.Fixtures.READY_FOR_QUERY;
import static wingroad.Fixtures.ROW_DESCRIPTION;
import static wingroad.Fixtures.cString;
import static wingroad.Fixtures.concat;
import static wingroad.Fixtures.dataRowBody;
import static wingroad.Fixtures.listEntry;
import static wingroad.Fixtures.message;

import org.junit.jupiter.api.Test;

import wingroad.Fixtures;
import wingroad.Fixtures.FakeMember;
import wingroad.Fixtures.QueryHandler;
import wingroad.protocol.MemberList;
import wingroad.protocol.Statement;
import wingroad.rig.Peer;
import wingroad.state.Submission.Outcome;
import wingroad.transport.EventLoop;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Verifies the outcome of a submission for each way in which a member can respond or fail, and
 * which connections are reused afterwards.
 */
class MemberPoolsTest {
    /** Limits each wait for the driver or a member. */
    private static final long WAIT_TIMEOUT_SECONDS = 20;

    private static final int CHANNEL_LIMIT = 900;
    private static final int MEMORY_LIMIT_BYTES = 1 << 24;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

    /** Until when a member may respond, long enough that no request with it times out. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);

    /** The message that follows each response. */
    private static final byte[] EMPTY_QUERY = message('Q', cString(""));

    /** The id that the pools assign to the first member that is listed. */
    private static final long MOVING_MEMBER_ID = 1;

    private final BlockingQueue<CompletedRequest> completedRequests = new LinkedBlockingQueue<>();
    private final EventLoop loop = createEventLoop(CHANNEL_LIMIT);
    private final Clock clock = new Clock();
    private MemberPools pools = createPools(CONNECT_TIMEOUT);
    private int submissionCount;
    private volatile boolean mayDispatch = true;

    /** Runs once, in the event loop task in which the next submission ends. */
    private volatile Runnable onNextCompletion;

    /**
     * The outcome of a submission or of a probe.
     *
     * @param row the messages for the client, or null if there are none
     */
    private record CompletedRequest(
            Outcome outcome, TxnDispatcher.MemberStatus status, byte[] row) {}

    private static EventLoop createEventLoop(int channelLimit) {
        try {
            return new EventLoop(
                    channelLimit,
                    MEMORY_LIMIT_BYTES,
                    failure -> {
                        throw new AssertionError(failure);
                    });
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private MemberPools createPools(Duration connectTimeout) {
        return createPools(connectTimeout, Duration.ofSeconds(30));
    }

    private MemberPools createPools(Duration connectTimeout, Duration idleTimeout) {
        return new MemberPools(
                loop,
                clock,
                new Counters(),
                Map.of("connect-time-out", connectTimeout, "idle-time", idleTimeout),
                new MemberTransportListener() {
                    @Override
                    public void roleProbeEnded(
                            long member, boolean answered, TxnDispatcher.MemberReport report) {
                        // no maintenance work in these tests
                    }

                    @Override
                    public void submissionEnded(
                            TxnDispatcher.MemberRequest request,
                            Outcome outcome,
                            Duration elapsed,
                            TxnDispatcher.MemberStatus status,
                            byte[] row) {
                        completedRequests.add(new CompletedRequest(outcome, status, row));
                        Runnable callback = onNextCompletion;
                        onNextCompletion = null;
                        if (callback != null) {
                            callback.run();
                        }
                    }

                    @Override
                    public void probeEnded(
                            long member,
                            boolean answered,
                            Duration elapsed,
                            TxnDispatcher.MemberReport report) {
                        completedRequests.add(
                                new CompletedRequest(
                                        answered ? Outcome.COMMITTED : Outcome.ERROR,
                                        new TxnDispatcher.MemberStatus(
                                                report.role(), report.position(), report),
                                        null));
                    }

                    @Override
                    public boolean mayDispatch(TxnDispatcher.MemberRequest request) {
                        return mayDispatch;
                    }

                    @Override
                    public boolean closeIdleClient() {
                        return false;
                    }
                });
    }

    private CompletedRequest awaitCompletion() throws InterruptedException {
        CompletedRequest completed = completedRequests.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(completed).as("outcome of a request").isNotNull();
        return completed;
    }

    private void dispatch(int port, Duration timeout) {
        loop.execute(
                () -> {
                    long memberId =
                            pools.updateMember(
                                    MemberList.parse(
                                                    ("{\"rev\":1,\"all\":true,\"targets\":["
                                                                    + listEntry(
                                                                            "s-" + port,
                                                                            port,
                                                                            "ready")
                                                                    + "]}")
                                                            .getBytes(StandardCharsets.UTF_8))
                                            .list()
                                            .entries()
                                            .get(0));
                    Statement statement =
                            Statement.parse(
                                            Fixtures.readStatement("r" + submissionCount)
                                                    .getBytes(StandardCharsets.UTF_8))
                                    .statement();
                    pools.dispatch(
                            new TxnDispatcher.MemberRequest(
                                    "t",
                                    submissionCount++,
                                    memberId,
                                    statement,
                                    clock.now().plus(timeout)));
                });
    }

    /** Sends one submission to a member with this script; returns how it ended. */
    private CompletedRequest dispatchTo(QueryHandler script) throws Exception {
        try (FakeMember member = new FakeMember(false, script)) {
            dispatch(member.port(), REQUEST_TIMEOUT);
            return awaitCompletion();
        }
    }

    @Test
    void rowIsCommittedWithRoleAndPosition() throws Exception {
        CompletedRequest completed = dispatchTo((sql, session) -> session.sendRow("val", true));
        assertThat(completed.outcome()).isEqualTo(Outcome.COMMITTED);
        assertThat(completed.status().role().name()).isEqualTo("PRIMARY");
        assertThat(completed.status().position())
                .isBetween(clock.now().minusSeconds(20), clock.now());
        assertThat(completed.row()).startsWith(message('T', ROW_DESCRIPTION));
    }

    @Test
    void eachErrorCodeHasItsOutcome() throws Exception {
        assertThat(dispatchTo((sql, session) -> session.sendError("25006", false)).outcome())
                .isEqualTo(Outcome.MISSED);
        assertThat(dispatchTo((sql, session) -> session.sendError("72000", false)).outcome())
                .isEqualTo(Outcome.MISSED);
        assertThat(dispatchTo((sql, session) -> session.sendError("53300", false)).outcome())
                .isEqualTo(Outcome.FULL);
        assertThat(dispatchTo((sql, session) -> session.sendError("XX000", false)).outcome())
                .isEqualTo(Outcome.ERROR);
        assertThat(dispatchTo((sql, session) -> session.sendError("08P01", false)).outcome())
                .isEqualTo(Outcome.ERROR);
    }

    @Test
    void connectionLostAfterSendingIsReset() throws Exception {
        assertThat(dispatchTo((sql, session) -> session.closeSocket()).outcome())
                .isEqualTo(Outcome.RESET);
        assertThat(
                        dispatchTo(
                                        (sql, session) -> {
                                            session.send(
                                                    message('T', ROW_DESCRIPTION),
                                                    new byte[] {'D', 0, 0, 0, 50, 0});
                                            session.closeSocket();
                                        })
                                .outcome())
                .isEqualTo(Outcome.RESET);
    }

    @Test
    void invalidResponseIsReportedAsError() throws Exception {
        for (byte[] invalidResponse :
                new byte[][] {
                    READY_FOR_QUERY,
                    message('?'),
                    {'D', 127, 0, 0, 0},
                    message('D', dataRowBody("x"))
                }) {
            assertThat(dispatchTo((sql, session) -> session.send(invalidResponse)).outcome())
                    .isEqualTo(Outcome.ERROR);
        }
    }

    @Test
    void invalidResponseIsDetectedBeforeItIsComplete() throws Exception {
        byte[] rowDescription = message('T', ROW_DESCRIPTION);
        // A value of 3 GB, a row longer than its value, an unterminated text, unknown bytes: the
        // rest of none of them may be awaited.
        for (byte[] invalidRest :
                new byte[][] {
                    {'D', (byte) 0xb2, (byte) 0xd0, 0x5e, 0},
                    {'D', 0, 0, 0, 99, 0, 1, 0, 0, 0, 5},
                    {'S', 0, 1, 0, 0, 'x'},
                    {17},
                    {'Q'},
                    message('S', cString("part")),
                    message('C', cString("")),
                    message('D', new byte[] {0, 1, -1, -1, -1, -1})
                }) {
            assertThat(
                            dispatchTo(
                                            (sql, session) -> {
                                                session.send(rowDescription, invalidRest);
                                                session.awaitPeerClose();
                                            })
                                    .outcome())
                    .isEqualTo(Outcome.ERROR);
        }
    }

    @Test
    void unexpectedBytesAfterResponseAreNotTakenForTheNextOne() throws Exception {
        byte[] completeResponse =
                Fixtures.concat(
                        message('T', ROW_DESCRIPTION),
                        message('D', dataRowBody("old")),
                        message('C', cString("SELECT 1")),
                        READY_FOR_QUERY);
        for (byte[] unexpectedBytes :
                new byte[][] {
                    completeResponse,
                    message('S', cString("part"), cString("master")),
                    {'T', 0, 0},
                    {17}
                }) {
            // Sent in one write with the response.
            try (FakeMember member =
                    new FakeMember(
                            false,
                            (sql, session) -> session.sendRow("first", false, unexpectedBytes))) {
                dispatch(member.port(), REQUEST_TIMEOUT);
                assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
                dispatch(member.port(), REQUEST_TIMEOUT);
                CompletedRequest second = awaitCompletion();
                if (second.outcome() == Outcome.MOOT) {
                    // The request had not been sent yet.
                    dispatch(member.port(), REQUEST_TIMEOUT);
                    second = awaitCompletion();
                }
                assertThat(second.outcome()).isEqualTo(Outcome.COMMITTED);
                assertThat(new String(second.row(), StandardCharsets.ISO_8859_1)).contains("first");
                assertThat(member.connections).hasValue(2);
            }
        }
    }

    /**
     * Guards against serving a client the value of another client's request: a second copy of a
     * response arrives only once the driver sends again, as where the member's system holds back
     * small writes until the first one is acknowledged.
     */
    @Test
    void copyThatArrivesWithTheNextAcknowledgementIsNotTakenForTheNextResponse() throws Exception {
        try (Peer.Listener member = new Peer.Listener()) {
            updateMovingMember(member.port());
            dispatchToMovingMember();
            Peer connection = acceptStartup(member.accept());
            sendResponse(connection);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            dispatchToMovingMember();
            connection.read(1);
            // In one write: the driver closes the connection as soon as it has read any of the
            // copy.
            connection.send(concat(rowResponse("x"), EMPTY_QUERY_RESPONSE, READY_FOR_QUERY));
            // Nothing of the request was sent; its client is served on another connection.
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.MOOT);
            dispatchToMovingMember();
            Peer nextConnection = acceptStartup(member.accept());
            sendRow(nextConnection, "own");
            assertThat(new String(awaitCompletion().row(), StandardCharsets.ISO_8859_1))
                    .contains("own");
        }
    }

    /**
     * Guards against a member that answers a statement and then hangs: a request that waits for the
     * connection was never sent, and ends as soon as the validation has timed out.
     */
    @Test
    void requestIsUnreachableIfTheEmptyQueryIsNotAnswered() throws Exception {
        pools = createPools(Duration.ofMillis(200));
        try (Peer.Listener member = new Peer.Listener()) {
            updateMovingMember(member.port());
            dispatchToMovingMember();
            Peer connection = acceptStartup(member.accept());
            sendResponse(connection);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            dispatchToMovingMember();
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.UNREACHABLE);
            assertThat(connection.readUntilClosed()).doesNotContain("SELECT");
        }
    }

    /** Guards against taking what a member sends behind its startup for the first response. */
    @Test
    void unexpectedBytesBehindTheStartupAreNotTakenForTheFirstResponse() throws Exception {
        try (Peer.Listener member = new Peer.Listener()) {
            updateMovingMember(member.port());
            dispatchToMovingMember();
            Peer connection = member.accept();
            connection.read(startupLength(connection) - 4);
            connection.send(
                    Fixtures.concat(
                            message('R', new byte[4]),
                            READY_FOR_QUERY,
                            message('T', ROW_DESCRIPTION),
                            message('D', dataRowBody("x")),
                            message('C', cString("SELECT 1")),
                            READY_FOR_QUERY));
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.UNREACHABLE);
            assertThat(connection.readUntilClosed()).doesNotContain("SELECT");
        }
    }

    @Test
    void largeRowIsReadCompletelyAndItsBufferReleased() throws Exception {
        String largeValue = "z".repeat(1_000_000);
        CompletedRequest completed =
                dispatchTo((sql, session) -> session.sendRow(largeValue, false));
        assertThat(completed.outcome()).isEqualTo(Outcome.COMMITTED);
        assertThat(completed.row()).hasSizeGreaterThan(1_000_000);
        // Read by a later task of the event loop: the task that received the response releases its
        // buffer at its end.
        CompletableFuture<Long> bufferedBytes = new CompletableFuture<>();
        loop.execute(() -> bufferedBytes.complete(loop.bufferedBytes()));
        assertThat(bufferedBytes.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .isLessThanOrEqualTo(1024);
    }

    @Test
    void unknownMemberIsRemovedWithItsConnections() throws Exception {
        try (FakeMember member =
                new FakeMember(false, (sql, session) -> session.sendRow("x", false))) {
            dispatch(member.port(), REQUEST_TIMEOUT);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            BlockingQueue<Integer> connectionCounts = new LinkedBlockingQueue<>();
            loop.execute(
                    () -> {
                        pools.removeUnknown(id -> false);
                        connectionCounts.add(pools.connectionCount());
                    });
            assertThat(connectionCounts.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isZero();
            dispatch(member.port(), REQUEST_TIMEOUT);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            assertThat(member.connections).hasValue(2);
        }
    }

    @Test
    void impossiblePositionsAreIgnored() throws Exception {
        for (String invalidPosition :
                new String[] {
                    "999999999999999999",
                    "-5",
                    "1e99",
                    Long.toString(System.currentTimeMillis() + 60_000)
                }) {
            CompletedRequest completed =
                    dispatchTo(
                            (sql, session) ->
                                    session.send(
                                            message('T', ROW_DESCRIPTION),
                                            message('D', dataRowBody("x")),
                                            message('C', cString("SELECT 1")),
                                            Fixtures.parameterStatus(
                                                    "caught_up_to", invalidPosition),
                                            Fixtures.parameterStatus(
                                                    "gauges", "x0=" + invalidPosition + ",x1=1"),
                                            READY_FOR_QUERY));
            assertThat(completed.outcome()).isEqualTo(Outcome.COMMITTED);
            assertThat(completed.status().position()).isNull();
            assertThat(completed.status().report().position()).isNull();
        }
    }

    @Test
    void completeResponseIsCommittedWithoutReadyForQuery() throws Exception {
        assertThat(
                        dispatchTo(
                                        (sql, session) -> {
                                            session.send(
                                                    message('T', ROW_DESCRIPTION),
                                                    message('D', dataRowBody("x")),
                                                    message('C', cString("SELECT 1")));
                                            session.closeSocket();
                                        })
                                .outcome())
                .isEqualTo(Outcome.COMMITTED);
    }

    @Test
    void rejectedConnectionsNeverRunTheStatement() throws Exception {
        try (FakeMember member =
                new FakeMember(false, (sql, session) -> session.sendRow("x", false))) {
            member.startupResponse =
                    new byte[] {'E', 0, 0, 0, 14, 'C', '5', '7', 'P', '0', '3', 0, 0, 0, 0};
            dispatch(member.port(), REQUEST_TIMEOUT);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.UNREACHABLE);
            member.startupResponse =
                    message('E', cString("SFATAL"), cString("C53300"), new byte[1]);
            dispatch(member.port(), REQUEST_TIMEOUT);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.FULL);
            assertThat(member.queries).isEmpty();
        }
        int closedPort;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closedPort = socket.getLocalPort();
        }
        dispatch(closedPort, REQUEST_TIMEOUT);
        assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.UNREACHABLE);
    }

    @Test
    void memberThatNeverCompletesStartupIsUnreachable() throws Exception {
        pools = createPools(Duration.ofMillis(50));
        try (ServerSocket silentMember = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            dispatch(silentMember.getLocalPort(), REQUEST_TIMEOUT);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.UNREACHABLE);
        }
    }

    @Test
    void silentMemberTimesOutAndItsConnectionIsClosed() throws Exception {
        BlockingQueue<String> statementsOfClosedConnections = new LinkedBlockingQueue<>();
        try (FakeMember member =
                new FakeMember(
                        false,
                        (sql, session) -> {
                            session.awaitPeerClose();
                            statementsOfClosedConnections.add(sql);
                        })) {
            dispatch(member.port(), Duration.ofMillis(100));
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.TIMED_OUT);
            assertThat(statementsOfClosedConnections.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .contains("id=r0");
        }
    }

    @Test
    void cancelledSubmissionClosesItsConnection() throws Exception {
        BlockingQueue<String> statementsOfClosedConnections = new LinkedBlockingQueue<>();
        try (FakeMember member =
                new FakeMember(
                        false,
                        (sql, session) -> {
                            session.awaitPeerClose();
                            statementsOfClosedConnections.add(sql);
                        })) {
            dispatch(member.port(), REQUEST_TIMEOUT);
            member.awaitQuery();
            loop.execute(() -> pools.cancel("t", 0));
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.CANCELLED);
            assertThat(statementsOfClosedConnections.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .contains("id=r0");
        }
    }

    @Test
    void connectionsAreReusedExceptAfterReset() throws Exception {
        try (FakeMember member =
                new FakeMember(false, (sql, session) -> session.sendRow("x", false))) {
            for (int i = 0; i < 3; i++) {
                dispatch(member.port(), REQUEST_TIMEOUT);
                assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            }
            assertThat(member.connections).hasValue(1);
            member.queryHandler((sql, session) -> session.closeSocket());
            dispatch(member.port(), REQUEST_TIMEOUT);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.RESET);
            member.queryHandler((sql, session) -> session.sendError("25006", false));
            dispatch(member.port(), REQUEST_TIMEOUT);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.MISSED);
            assertThat(member.connections).hasValue(2);
            assertThat(member.queries).hasSize(5);
        }
    }

    @Test
    void obsoleteRequestIsNotSentOnceItsConnectionIsOpen() throws Exception {
        mayDispatch = false;
        try (FakeMember member =
                new FakeMember(false, (sql, session) -> session.sendRow("x", false))) {
            dispatch(member.port(), REQUEST_TIMEOUT);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.MOOT);
            mayDispatch = true;
            dispatch(member.port(), REQUEST_TIMEOUT);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            assertThat(member.connections).hasValue(1);
            assertThat(member.queries).hasSize(1).first().asString().contains("id=r1");
        }
    }

    @Test
    void memberReceivesRemainingTime() throws Exception {
        try (FakeMember member =
                new FakeMember(false, (sql, session) -> session.sendRow("x", false))) {
            dispatch(member.port(), Duration.ofMillis(900));
            String sql = member.awaitQuery();
            assertThat(Integer.parseInt(sql.replaceAll(".*d=([0-9]+).*", "$1"))).isBetween(1, 900);
            assertThat(sql.replaceAll("d=[0-9]+", "d=3000"))
                    .isEqualTo(Fixtures.readStatement("r0"));
        }
    }

    /**
     * Guards against idle connections that keep other drivers from connecting to a member with a
     * low connection limit.
     */
    @Test
    void closedIdleConnectionIsReopenedByNextSubmission() throws Exception {
        try (FakeMember member =
                new FakeMember(false, (sql, session) -> session.sendRow("val", false))) {
            dispatch(member.port(), REQUEST_TIMEOUT);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            CompletableFuture<Integer> connectionCount = new CompletableFuture<>();
            loop.execute(
                    () -> {
                        pools.closeIdleConnections(1);
                        connectionCount.complete(pools.connectionCount());
                    });
            assertThat(connectionCount.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isZero();
            dispatch(member.port(), REQUEST_TIMEOUT);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            assertThat(member.connections.get()).isEqualTo(2);
        }
    }

    /** Applies a list entry that gives the moving member this port. */
    private void updateMovingMember(int port) {
        updateMovingMember(port, "ready");
    }

    private void updateMovingMember(int port, String state) {
        loop.execute(
                () ->
                        pools.updateMember(
                                MemberList.parse(
                                                ("{\"rev\":1,\"all\":true,\"targets\":["
                                                                + listEntry("s-moves", port, state)
                                                                + "]}")
                                                        .getBytes(StandardCharsets.UTF_8))
                                        .list()
                                        .entries()
                                        .get(0)));
    }

    private void dispatchToMovingMember() {
        loop.execute(
                () ->
                        pools.dispatch(
                                new TxnDispatcher.MemberRequest(
                                        "t",
                                        submissionCount,
                                        MOVING_MEMBER_ID,
                                        Statement.parse(
                                                        Fixtures.readStatement(
                                                                        "r" + submissionCount++)
                                                                .getBytes(StandardCharsets.UTF_8))
                                                .statement(),
                                        clock.now().plus(REQUEST_TIMEOUT))));
    }

    /**
     * A member moves to another address while one of its connections is busy. Guards against that
     * connection being reused for all later requests.
     */
    @Test
    void busyConnectionIsNotReusedAfterItsMemberMoves() throws Exception {
        try (Peer.Listener oldAddress = new Peer.Listener();
                FakeMember movedMember =
                        new FakeMember(false, (sql, session) -> session.sendRow("new", false))) {
            updateMovingMember(oldAddress.port());
            dispatchToMovingMember();
            Peer connection = acceptStartup(oldAddress.accept());
            updateMovingMember(movedMember.port());
            sendRow(connection, "old");
            assertThat(new String(awaitCompletion().row(), StandardCharsets.ISO_8859_1))
                    .contains("old");
            connection.readUntilClosed();
            dispatchToMovingMember();
            assertThat(new String(awaitCompletion().row(), StandardCharsets.ISO_8859_1))
                    .contains("new");
        }
    }

    /**
     * Reads the length of a startup message, which includes the four bytes of the length itself.
     */
    private static int startupLength(Peer connection) throws IOException {
        return ByteBuffer.wrap(connection.read(4)).getInt();
    }

    /**
     * A connection opens or fails at the old address after its member has moved: nothing may be
     * sent there, and a failure may not count against the member.
     */
    @Test
    void openingConnectionSendsNothingAfterItsMemberMoves() throws Exception {
        try (Peer.Listener oldAddress = new Peer.Listener()) {
            for (boolean connects : new boolean[] {true, false}) {
                updateMovingMember(oldAddress.port());
                dispatchToMovingMember();
                Peer connection = oldAddress.accept();
                connection.read(startupLength(connection) - 4);
                updateMovingMember(1);
                if (connects) {
                    connection.send(message('R', new byte[4]), READY_FOR_QUERY);
                } else {
                    connection.reset();
                }
                assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.MOOT);
                if (connects) {
                    assertThat(connection.readUntilClosed()).doesNotContain("Q");
                }
            }
        }
    }

    /**
     * A member is removed while one of its connections is busy. Guards against that connection
     * staying open and idle after its response.
     */
    @Test
    void busyConnectionOfRemovedMemberIsClosedAfterItsResponse() throws Exception {
        try (Peer.Listener listener = new Peer.Listener()) {
            updateMovingMember(listener.port());
            dispatchToMovingMember();
            Peer connection = acceptStartup(listener.accept());
            loop.execute(() -> pools.removeUnknown(id -> false));
            sendResponse(connection);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            connection.readUntilClosed();
        }
    }

    /**
     * Guards against anything new at a member that drains: it starts to drain while one of its
     * connections is busy, and no empty query may follow the response.
     */
    @Test
    void connectionOfDrainingMemberIsClosedAfterItsResponse() throws Exception {
        try (Peer.Listener listener = new Peer.Listener()) {
            updateMovingMember(listener.port());
            dispatchToMovingMember();
            Peer connection = acceptStartup(listener.accept());
            updateMovingMember(listener.port(), "draining");
            sendResponse(connection);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            assertThat(connection.readUntilClosed()).doesNotContain("Q");
        }
    }

    /**
     * A request is cancelled while its connection opens. Its outcome is reported by a later task of
     * the event loop, and the connection becomes ready in between.
     */
    @Test
    void requestCancelledWhileItsConnectionOpensIsNotSent() throws Exception {
        try (Peer.Listener member = new Peer.Listener()) {
            updateMovingMember(member.port());
            dispatchToMovingMember();
            Peer connection = member.accept();
            connection.read(startupLength(connection) - 4);
            CountDownLatch loopBlocked = new CountDownLatch(1);
            CountDownLatch loopReleased = new CountDownLatch(1);
            loop.execute(
                    () -> {
                        loopBlocked.countDown();
                        try {
                            loopReleased.await();
                        } catch (InterruptedException interrupted) {
                            Thread.currentThread().interrupt();
                        }
                        pools.cancel("t", 0);
                    });
            loopBlocked.await();
            connection.send(message('R', new byte[4]), READY_FOR_QUERY);
            loopReleased.countDown();
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.MOOT);
            loop.execute(() -> pools.removeUnknown(id -> false));
            assertThat(connection.readUntilClosed()).doesNotContain("Q");
        }
    }

    /**
     * The connection is closed after each part of a response: the statement may have run, and is
     * committed once the response is complete but for ReadyForQuery.
     */
    @Test
    void responseTruncatedAtAnyByteHasOneOutcome() throws Exception {
        byte[] response =
                Fixtures.concat(
                        message('T', ROW_DESCRIPTION),
                        message('D', dataRowBody("x")),
                        message('C', cString("SELECT 1")),
                        READY_FOR_QUERY);
        int committedLength = response.length - READY_FOR_QUERY.length;
        for (int sentLength = 0; sentLength <= response.length; sentLength += 5) {
            byte[] sentPart = Arrays.copyOf(response, sentLength);
            assertThat(
                            dispatchTo(
                                            (sql, session) -> {
                                                session.send(sentPart);
                                                session.closeSocket();
                                            })
                                    .outcome())
                    .as(sentLength + " bytes")
                    .isEqualTo(sentLength >= committedLength ? Outcome.COMMITTED : Outcome.RESET);
        }
        assertThat(completedRequests).isEmpty();
    }

    /**
     * Part of an unexpected message arrives on an idle connection: the connection can't be trusted
     * any more, and the next txn gets a new one.
     */
    @Test
    void unexpectedBytesCloseIdleConnection() throws Exception {
        try (Peer.Listener member = new Peer.Listener()) {
            updateMovingMember(member.port());
            dispatchToMovingMember();
            Peer connection = acceptStartup(member.accept());
            sendResponse(connection);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            answerEmptyQuery(connection);
            connection.send(new byte[] {'S', 0, 0});
            connection.readUntilClosed();
            dispatchToMovingMember();
            Peer secondConnection = acceptStartup(member.accept());
            secondConnection.reset();
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.RESET);
        }
    }

    /** Completes the startup of a connection and waits for its first statement. */
    private static Peer acceptStartup(Peer connection) throws IOException {
        connection.read(startupLength(connection) - 4);
        connection.send(message('R', new byte[4]), READY_FOR_QUERY);
        connection.readUntil("'\0");
        return connection;
    }

    private static void sendResponse(Peer connection) throws IOException {
        sendRow(connection, "x");
    }

    private static void sendRow(Peer connection, String value) throws IOException {
        connection.send(rowResponse(value));
    }

    private static byte[] rowResponse(String value) {
        return concat(
                message('T', ROW_DESCRIPTION),
                message('D', dataRowBody(value)),
                message('C', cString("SELECT 1")),
                READY_FOR_QUERY);
    }

    /** Waits for the empty query behind a response and answers it. */
    private static void answerEmptyQuery(Peer connection) throws IOException {
        assertThat(connection.read(EMPTY_QUERY.length)).isEqualTo(EMPTY_QUERY);
        connection.send(EMPTY_QUERY_RESPONSE, READY_FOR_QUERY);
    }

    /** A client disconnects while its txn waits for a connection that is validated. */
    @Test
    void requestOfDisconnectedClientIsNotSentAfterValidation() throws Exception {
        try (Peer.Listener member = new Peer.Listener()) {
            updateMovingMember(member.port());
            dispatchToMovingMember();
            Peer connection = acceptStartup(member.accept());
            // Runs in the task that handles the response: the validation has begun and can't be
            // over.
            onNextCompletion =
                    () -> {
                        mayDispatch = false;
                        pools.dispatch(requestToMovingMember());
                    };
            sendResponse(connection);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            answerEmptyQuery(connection);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.MOOT);
            mayDispatch = true;
            dispatchToMovingMember();
            assertThat(connection.readUntil("'\0"))
                    .contains("id=r" + (submissionCount - 1))
                    .doesNotContain("id=r" + (submissionCount - 2));
            sendResponse(connection);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
        }
    }

    private TxnDispatcher.MemberRequest requestToMovingMember() {
        return new TxnDispatcher.MemberRequest(
                "t",
                submissionCount,
                MOVING_MEMBER_ID,
                Statement.parse(
                                Fixtures.readStatement("r" + submissionCount++)
                                        .getBytes(StandardCharsets.UTF_8))
                        .statement(),
                clock.now().plus(REQUEST_TIMEOUT));
    }

    /**
     * A member is removed from the list and listed again under the same address: its old connection
     * must be closed, and a new one opened.
     */
    @Test
    void memberThatIsRemovedAndListedAgainGetsNewConnection() throws Exception {
        try (Peer.Listener member = new Peer.Listener()) {
            updateMovingMember(member.port());
            dispatchToMovingMember();
            Peer oldConnection = acceptStartup(member.accept());
            sendResponse(oldConnection);
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            loop.execute(
                    () ->
                            pools.updateMember(
                                    MemberList.parse(
                                                    ("{\"rev\":2,\"all\":false,\"targets\":["
                                                                    + listEntry(
                                                                            "s-moves",
                                                                            member.port(),
                                                                            "gone")
                                                                    + "]}")
                                                            .getBytes(StandardCharsets.UTF_8))
                                            .list()
                                            .entries()
                                            .get(0)));
            oldConnection.readUntilClosed();
            updateMovingMember(member.port());
            dispatchToMovingMember();
            sendResponse(acceptStartup(member.accept()));
            assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
        }
    }

    /**
     * The member closes the connection just as a statement is sent: the statement may have run, and
     * exactly one outcome is reported.
     */
    @Test
    void connectionClosedWhileSendingHasOneOutcome() throws Exception {
        for (boolean resets : new boolean[] {true, false}) {
            try (Peer.Listener member = new Peer.Listener()) {
                updateMovingMember(member.port());
                dispatchToMovingMember();
                Peer connection = acceptStartup(member.accept());
                sendResponse(connection);
                assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
                answerEmptyQuery(connection);
                dispatchToMovingMember();
                connection.readUntil("'\0");
                if (resets) {
                    connection.reset();
                } else {
                    connection.close();
                }
                assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.RESET);
                assertThat(completedRequests).isEmpty();
            }
        }
    }

    /**
     * Guards against a member that sends notices without end, which would keep the event loop busy
     * until the txn's expiry. The bytes of a response are limited as well.
     */
    @Test
    void endlessResponseIsAborted() throws Exception {
        try (Peer.Listener member = new Peer.Listener()) {
            updateMovingMember(member.port());
            dispatchToMovingMember();
            Peer connection = acceptStartup(member.accept());
            connection.send(message('T', ROW_DESCRIPTION));
            byte[] notice = message('N', new byte[1000]);
            try {
                while (true) {
                    connection.send(notice);
                }
            } catch (IOException connectionClosed) {
                assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.ERROR);
            }
        }
    }

    /**
     * Guards against connections being closed after each response where members keep idle ones for
     * a short time only.
     */
    @Test
    void connectionIsReusedIfIdleTimeoutIsShorterThanConnectTimeout() throws Exception {
        pools = createPools(Duration.ofSeconds(10), Duration.ofSeconds(8));
        try (FakeMember member =
                new FakeMember(false, (sql, session) -> session.sendRow("x", false))) {
            for (int i = 0; i < 3; i++) {
                dispatch(member.port(), REQUEST_TIMEOUT);
                assertThat(awaitCompletion().outcome()).isEqualTo(Outcome.COMMITTED);
            }
            assertThat(member.connections.get()).isEqualTo(1);
        }
    }
}
