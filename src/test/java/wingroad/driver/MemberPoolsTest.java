package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.READY_FOR_QUERY;
import static wingroad.Fixtures.ROW_DESCRIPTION;
import static wingroad.Fixtures.cString;
import static wingroad.Fixtures.dataRowBody;
import static wingroad.Fixtures.listEntry;
import static wingroad.Fixtures.message;

import org.junit.jupiter.api.Test;

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
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** How each way in which a member can answer, or not answer, ends a submission. */
class MemberPoolsTest {
    private static final Duration CONNECT = Duration.ofSeconds(5);
    private static final Duration LONG = Duration.ofSeconds(15);

    private final BlockingQueue<Ended> ends = new LinkedBlockingQueue<>();
    private final EventLoop loop = loop(900);
    private final Clock clock = new Clock();
    private MemberPools members = members(CONNECT);
    private int submissions;
    private volatile boolean mayGo = true;

    /** Runs once, in the turn of the loop in which the next submission ends. */
    private volatile Runnable atItsEnd;

    private record Ended(Outcome end, TxnDispatcher.MemberStatus status, byte[] row) {}

    private static EventLoop loop(int most) {
        try {
            return new EventLoop(
                    most,
                    1 << 24,
                    bug -> {
                        throw new AssertionError(bug);
                    });
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private MemberPools members(Duration connectTime) {
        return members(connectTime, Duration.ofSeconds(30));
    }

    private MemberPools members(Duration connectTime, Duration idleTime) {
        return new MemberPools(
                loop,
                clock,
                new Counters(),
                Map.of("connect-time-out", connectTime, "idle-time", idleTime),
                new MemberTransportListener() {
                    @Override
                    public void roleProbeEnded(
                            long member, boolean answered, TxnDispatcher.MemberReport report) {
                        // nobody plans work here
                    }

                    @Override
                    public void submissionEnded(
                            TxnDispatcher.MemberRequest e,
                            Outcome end,
                            Duration took,
                            TxnDispatcher.MemberStatus status,
                            byte[] row) {
                        ends.add(new Ended(end, status, row));
                        Runnable then = atItsEnd;
                        atItsEnd = null;
                        if (then != null) {
                            then.run();
                        }
                    }

                    @Override
                    public void probeEnded(
                            long member,
                            boolean answered,
                            Duration took,
                            TxnDispatcher.MemberReport report) {
                        ends.add(
                                new Ended(
                                        answered ? Outcome.COMMITTED : Outcome.ERROR,
                                        new TxnDispatcher.MemberStatus(
                                                report.role(), report.position(), report),
                                        null));
                    }

                    @Override
                    public boolean mayDispatch(TxnDispatcher.MemberRequest e) {
                        return mayGo;
                    }

                    @Override
                    public boolean closeIdleClient() {
                        return false;
                    }
                });
    }

    private Ended next() throws InterruptedException {
        Ended e = ends.poll(20, TimeUnit.SECONDS);
        assertThat(e).as("an end").isNotNull();
        return e;
    }

    private void dispatch(int port, Duration wait) {
        loop.execute(
                () -> {
                    long id =
                            members.updateMember(
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
                    Statement s =
                            Statement.parse(
                                            wingroad.Fixtures.readStatement("r" + submissions)
                                                    .getBytes(StandardCharsets.UTF_8))
                                    .statement();
                    members.dispatch(
                            new TxnDispatcher.MemberRequest(
                                    "t", submissions++, id, s, clock.now().plus(wait)));
                });
    }

    /** How one submission ends at a member that does this with it. */
    private Ended end(QueryHandler script) throws Exception {
        try (FakeMember m = new FakeMember(false, script)) {
            dispatch(m.port(), LONG);
            return next();
        }
    }

    @Test
    void aRowIsCommittedWithItsRoleAndPosition() throws Exception {
        Ended e = end((sql, s) -> s.sendRow("val", true));
        assertThat(e.end()).isEqualTo(Outcome.COMMITTED);
        assertThat(e.status().role().name()).isEqualTo("PRIMARY");
        assertThat(e.status().position()).isBetween(clock.now().minusSeconds(20), clock.now());
        assertThat(e.row()).startsWith(message('T', ROW_DESCRIPTION));
    }

    @Test
    void eachErrorCodeHasItsEnd() throws Exception {
        assertThat(end((sql, s) -> s.sendError("25006", false)).end()).isEqualTo(Outcome.MISSED);
        assertThat(end((sql, s) -> s.sendError("72000", false)).end()).isEqualTo(Outcome.MISSED);
        assertThat(end((sql, s) -> s.sendError("53300", false)).end()).isEqualTo(Outcome.FULL);
        assertThat(end((sql, s) -> s.sendError("XX000", false)).end()).isEqualTo(Outcome.ERROR);
        assertThat(end((sql, s) -> s.sendError("08P01", false)).end()).isEqualTo(Outcome.ERROR);
    }

    @Test
    void aConnectionThatBreaksAfterTheLastByteMayHaveRun() throws Exception {
        assertThat(end((sql, s) -> s.closeSocket()).end()).isEqualTo(Outcome.RESET);
        assertThat(
                        end((sql, s) -> {
                                    s.send(
                                            message('T', ROW_DESCRIPTION),
                                            new byte[] {'D', 0, 0, 0, 50, 0});
                                    s.closeSocket();
                                })
                                .end())
                .isEqualTo(Outcome.RESET);
    }

    @Test
    void anAnswerThatMakesNoSenseMayHaveRunAndEndsItsConnection() throws Exception {
        for (byte[] bad :
                new byte[][] {
                    READY_FOR_QUERY,
                    message('?'),
                    {'D', 127, 0, 0, 0},
                    message('D', dataRowBody("x"))
                }) {
            assertThat(end((sql, s) -> s.send(bad)).end()).isEqualTo(Outcome.ERROR);
        }
    }

    @Test
    void whatMakesNoSenseIsToldBeforeItIsWhole() throws Exception {
        byte[] begun = message('T', ROW_DESCRIPTION);
        // A value of 3 GB, a row longer than its value, a text that does not end, noise: none is
        // waited for.
        for (byte[] bad :
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
                            end((sql, s) -> {
                                        s.send(begun, bad);
                                        s.awaitPeerClose();
                                    })
                                    .end())
                    .isEqualTo(Outcome.ERROR);
        }
    }

    @Test
    void whatComesBehindAnAnswerIsNeverTakenForTheNextOne() throws Exception {
        byte[] copy =
                wingroad.Fixtures.concat(
                        message('T', ROW_DESCRIPTION),
                        message('D', dataRowBody("old")),
                        message('C', cString("SELECT 1")),
                        READY_FOR_QUERY);
        for (byte[] more :
                new byte[][] {
                    copy, message('S', cString("part"), cString("master")), {'T', 0, 0}, {17}
                }) {
            // In one piece: what comes in another one may come after the rest, and can't be told
            // from an answer then.
            try (FakeMember m =
                    new FakeMember(false, (sql, s) -> s.sendRow("first", false, more))) {
                dispatch(m.port(), LONG);
                assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
                dispatch(m.port(), LONG);
                Ended second = next();
                if (second.end() == Outcome.MOOT) {
                    // Nothing of it had been sent.
                    dispatch(m.port(), LONG);
                    second = next();
                }
                assertThat(second.end()).isEqualTo(Outcome.COMMITTED);
                assertThat(new String(second.row(), StandardCharsets.ISO_8859_1)).contains("first");
                assertThat(m.connections).hasValue(2);
            }
        }
    }

    @Test
    void aLargeRowComesThroughWhole() throws Exception {
        String large = "z".repeat(1_000_000);
        Ended e = end((sql, s) -> s.sendRow(large, false));
        assertThat(e.end()).isEqualTo(Outcome.COMMITTED);
        assertThat(e.row()).hasSizeGreaterThan(1_000_000);
        // Asked on the loop's own thread, behind the task that the answer came with: that one gives
        // its buffer back at its end.
        CompletableFuture<Long> held = new CompletableFuture<>();
        loop.execute(() -> held.complete(loop.bufferedBytes()));
        assertThat(held.get(20, TimeUnit.SECONDS)).isLessThanOrEqualTo(1024);
    }

    @Test
    void oneThatIsNoLongerThoughtOfIsLetGoWithItsConnections() throws Exception {
        try (FakeMember m = new FakeMember(false, (sql, s) -> s.sendRow("x", false))) {
            dispatch(m.port(), LONG);
            assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
            BlockingQueue<Integer> left = new LinkedBlockingQueue<>();
            loop.execute(
                    () -> {
                        members.removeUnknown(id -> false);
                        left.add(members.connectionCount());
                    });
            assertThat(left.poll(20, TimeUnit.SECONDS)).isZero();
            dispatch(m.port(), LONG);
            assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
            assertThat(m.connections).hasValue(2);
        }
    }

    @Test
    void figuresThatCannotBeTrueCountAsAbsent() throws Exception {
        for (String absurd :
                new String[] {
                    "999999999999999999",
                    "-5",
                    "1e99",
                    Long.toString(System.currentTimeMillis() + 60_000)
                }) {
            Ended e =
                    end(
                            (sql, s) ->
                                    s.send(
                                            message('T', ROW_DESCRIPTION),
                                            message('D', dataRowBody("x")),
                                            message('C', cString("SELECT 1")),
                                            wingroad.Fixtures.parameterStatus(
                                                    "caught_up_to", absurd),
                                            wingroad.Fixtures.parameterStatus(
                                                    "gauges", "x0=" + absurd + ",x1=1"),
                                            READY_FOR_QUERY));
            assertThat(e.end()).isEqualTo(Outcome.COMMITTED);
            assertThat(e.status().position()).isNull();
            assertThat(e.status().report().position()).isNull();
        }
    }

    @Test
    void aWholeAnswerCountsWhereOnlyReadyIsMissing() throws Exception {
        assertThat(
                        end((sql, s) -> {
                                    s.send(
                                            message('T', ROW_DESCRIPTION),
                                            message('D', dataRowBody("x")),
                                            message('C', cString("SELECT 1")));
                                    s.closeSocket();
                                })
                                .end())
                .isEqualTo(Outcome.COMMITTED);
    }

    @Test
    void whereNothingCouldBeWrittenNothingRan() throws Exception {
        try (FakeMember m = new FakeMember(false, (sql, s) -> s.sendRow("x", false))) {
            m.startupResponse =
                    new byte[] {'E', 0, 0, 0, 14, 'C', '5', '7', 'P', '0', '3', 0, 0, 0, 0};
            dispatch(m.port(), LONG);
            assertThat(next().end()).isEqualTo(Outcome.UNREACHABLE);
            m.startupResponse = message('E', cString("SFATAL"), cString("C53300"), new byte[1]);
            dispatch(m.port(), LONG);
            assertThat(next().end()).isEqualTo(Outcome.FULL);
            assertThat(m.queries).isEmpty();
        }
        int nobody;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = s.getLocalPort();
        }
        dispatch(nobody, LONG);
        assertThat(next().end()).isEqualTo(Outcome.UNREACHABLE);
    }

    @Test
    void aMemberThatNeverLetsInIsUnreachableAndNothingIsSent() throws Exception {
        members = members(Duration.ofMillis(50));
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            dispatch(silent.getLocalPort(), LONG);
            assertThat(next().end()).isEqualTo(Outcome.UNREACHABLE);
        }
    }

    @Test
    void silenceTimesOutAndClosesItsConnection() throws Exception {
        BlockingQueue<String> closed = new LinkedBlockingQueue<>();
        try (FakeMember m =
                new FakeMember(
                        false,
                        (sql, s) -> {
                            s.awaitPeerClose();
                            closed.add(sql);
                        })) {
            dispatch(m.port(), Duration.ofMillis(100));
            assertThat(next().end()).isEqualTo(Outcome.TIMED_OUT);
            assertThat(closed.poll(20, TimeUnit.SECONDS)).contains("id=r0");
        }
    }

    @Test
    void oneThatIsCalledOffClosesItsConnection() throws Exception {
        BlockingQueue<String> closed = new LinkedBlockingQueue<>();
        try (FakeMember m =
                new FakeMember(
                        false,
                        (sql, s) -> {
                            s.awaitPeerClose();
                            closed.add(sql);
                        })) {
            dispatch(m.port(), LONG);
            m.awaitQuery();
            loop.execute(() -> members.cancel("t", 0));
            assertThat(next().end()).isEqualTo(Outcome.CANCELLED);
            assertThat(closed.poll(20, TimeUnit.SECONDS)).contains("id=r0");
        }
    }

    @Test
    void connectionsAreUsedAgainButNotAfterDoubt() throws Exception {
        try (FakeMember m = new FakeMember(false, (sql, s) -> s.sendRow("x", false))) {
            for (int i = 0; i < 3; i++) {
                dispatch(m.port(), LONG);
                assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
            }
            assertThat(m.connections).hasValue(1);
            m.queryHandler((sql, s) -> s.closeSocket());
            dispatch(m.port(), LONG);
            assertThat(next().end()).isEqualTo(Outcome.RESET);
            m.queryHandler((sql, s) -> s.sendError("25006", false));
            dispatch(m.port(), LONG);
            assertThat(next().end()).isEqualTo(Outcome.MISSED);
            assertThat(m.connections).hasValue(2);
            assertThat(m.queries).hasSize(5);
        }
    }

    @Test
    void whatIsNoLongerToGoWhenItsConnectionIsUpIsNeverSent() throws Exception {
        mayGo = false;
        try (FakeMember m = new FakeMember(false, (sql, s) -> s.sendRow("x", false))) {
            dispatch(m.port(), LONG);
            assertThat(next().end()).isEqualTo(Outcome.MOOT);
            mayGo = true;
            dispatch(m.port(), LONG);
            assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
            assertThat(m.connections).hasValue(1);
            assertThat(m.queries).hasSize(1).first().asString().contains("id=r1");
        }
    }

    @Test
    void theTimeLeftIsWhatTheMemberIsTold() throws Exception {
        try (FakeMember m = new FakeMember(false, (sql, s) -> s.sendRow("x", false))) {
            dispatch(m.port(), Duration.ofMillis(900));
            String sql = m.awaitQuery();
            assertThat(Integer.parseInt(sql.replaceAll(".*d=([0-9]+).*", "$1"))).isBetween(1, 900);
            assertThat(sql.replaceAll("d=[0-9]+", "d=3000"))
                    .isEqualTo(wingroad.Fixtures.readStatement("r0"));
        }
    }

    /** Guards against idle connections that keep other drivers out of a member that takes few. */
    @Test
    void releasedConnectionsAreClosedAndTheNextSubmissionOpensOne() throws Exception {
        try (FakeMember m = new FakeMember(false, (sql, s) -> s.sendRow("val", false))) {
            dispatch(m.port(), LONG);
            assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
            CompletableFuture<Integer> left = new CompletableFuture<>();
            loop.execute(
                    () -> {
                        members.closeIdleConnections(1);
                        left.complete(members.connectionCount());
                    });
            assertThat(left.get(20, TimeUnit.SECONDS)).isZero();
            dispatch(m.port(), LONG);
            assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
            assertThat(m.connections.get()).isEqualTo(2);
        }
    }

    /** A list names the member at this port. */
    private void listed(int port) {
        loop.execute(
                () ->
                        members.updateMember(
                                MemberList.parse(
                                                ("{\"rev\":1,\"all\":true,\"targets\":["
                                                                + listEntry(
                                                                        "s-moves", port, "ready")
                                                                + "]}")
                                                        .getBytes(StandardCharsets.UTF_8))
                                        .list()
                                        .entries()
                                        .get(0)));
    }

    private void carryToTheOne() {
        loop.execute(
                () ->
                        members.dispatch(
                                new TxnDispatcher.MemberRequest(
                                        "t",
                                        submissions,
                                        1,
                                        Statement.parse(
                                                        wingroad.Fixtures.readStatement(
                                                                        "r" + submissions++)
                                                                .getBytes(StandardCharsets.UTF_8))
                                                .statement(),
                                        clock.now().plus(LONG))));
    }

    /**
     * Guards against a connection that was at work while its member moved, and would be used for
     * all that follows.
     */
    @Test
    void aConnectionAtWorkWhileItsMemberMovesAnswersAndIsNotUsedAgain() throws Exception {
        try (Peer.Listener old = new Peer.Listener();
                FakeMember moved = new FakeMember(false, (sql, s) -> s.sendRow("new", false))) {
            listed(old.port());
            carryToTheOne();
            Peer at = old.accept();
            at.read(startupLength(at) - 4);
            at.send(message('R', new byte[4]), READY_FOR_QUERY);
            at.readUntil("'\0");
            listed(moved.port());
            at.send(
                    message('T', ROW_DESCRIPTION),
                    message('D', dataRowBody("old")),
                    message('C', cString("SELECT 1")),
                    READY_FOR_QUERY);
            assertThat(new String(next().row(), StandardCharsets.ISO_8859_1)).contains("old");
            at.readUntilClosed();
            carryToTheOne();
            assertThat(new String(next().row(), StandardCharsets.ISO_8859_1)).contains("new");
        }
    }

    private static int startupLength(Peer at) throws IOException {
        return java.nio.ByteBuffer.wrap(at.read(4)).getInt();
    }

    /**
     * The connection comes up at last where the member no longer is: nothing is sent there, and
     * nothing is held against it.
     */
    @Test
    void aConnectionThatOpensWhileItsMemberMovesSendsNothing() throws Exception {
        try (Peer.Listener old = new Peer.Listener()) {
            for (boolean comesUp : new boolean[] {true, false}) {
                listed(old.port());
                carryToTheOne();
                Peer at = old.accept();
                at.read(startupLength(at) - 4);
                listed(1);
                if (comesUp) {
                    at.send(message('R', new byte[4]), READY_FOR_QUERY);
                } else {
                    at.reset();
                }
                assertThat(next().end()).isEqualTo(Outcome.MOOT);
                if (comesUp) {
                    assertThat(at.readUntilClosed()).doesNotContain("Q");
                }
            }
        }
    }

    /**
     * Guards against resting connections to what has gone, or is no longer thought of, while a txn
     * was there.
     */
    @Test
    void aConnectionAtWorkWhileItsMemberIsForgottenEndsWithItsAnswer() throws Exception {
        try (Peer.Listener old = new Peer.Listener()) {
            listed(old.port());
            carryToTheOne();
            Peer at = old.accept();
            at.read(startupLength(at) - 4);
            at.send(message('R', new byte[4]), READY_FOR_QUERY);
            at.readUntil("'\0");
            loop.execute(() -> members.removeUnknown(id -> false));
            at.send(
                    message('T', ROW_DESCRIPTION),
                    message('D', dataRowBody("x")),
                    message('C', cString("SELECT 1")),
                    READY_FOR_QUERY);
            assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
            at.readUntilClosed();
        }
    }

    /** Its end is told a task later; in between the connection comes up. */
    @Test
    void whatIsCalledOffAsItsConnectionComesUpIsNotSent() throws Exception {
        try (Peer.Listener member = new Peer.Listener()) {
            listed(member.port());
            carryToTheOne();
            Peer at = member.accept();
            at.read(startupLength(at) - 4);
            CountDownLatch standing = new CountDownLatch(1);
            CountDownLatch goes = new CountDownLatch(1);
            loop.execute(
                    () -> {
                        standing.countDown();
                        try {
                            goes.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        members.cancel("t", 0);
                    });
            standing.await();
            at.send(message('R', new byte[4]), READY_FOR_QUERY);
            goes.countDown();
            assertThat(next().end()).isEqualTo(Outcome.MOOT);
            loop.execute(() -> members.removeUnknown(id -> false));
            assertThat(at.readUntilClosed()).doesNotContain("Q");
        }
    }

    /** An answer broken off at each of its bytes may have run; once its end is there, it counts. */
    @Test
    void anAnswerBrokenOffAtAnyByteHasOneEnd() throws Exception {
        byte[] answer =
                wingroad.Fixtures.concat(
                        message('T', ROW_DESCRIPTION),
                        message('D', dataRowBody("x")),
                        message('C', cString("SELECT 1")),
                        READY_FOR_QUERY);
        int whole = answer.length - READY_FOR_QUERY.length;
        for (int bytes = 0; bytes <= answer.length; bytes += 5) {
            byte[] part = java.util.Arrays.copyOf(answer, bytes);
            assertThat(
                            end((sql, s) -> {
                                        s.send(part);
                                        s.closeSocket();
                                    })
                                    .end())
                    .as(bytes + " bytes")
                    .isEqualTo(bytes >= whole ? Outcome.COMMITTED : Outcome.RESET);
        }
        assertThat(ends).isEmpty();
    }

    /**
     * Half a line comes unasked on a resting connection: it is in doubt, and the next txn gets one
     * of its own.
     */
    @Test
    void halfALineUnaskedEndsARestingConnection() throws Exception {
        try (Peer.Listener member = new Peer.Listener()) {
            listed(member.port());
            carryToTheOne();
            Peer at = member.accept();
            at.read(startupLength(at) - 4);
            at.send(message('R', new byte[4]), READY_FOR_QUERY);
            at.readUntil("'\0");
            at.send(
                    message('T', ROW_DESCRIPTION),
                    message('D', dataRowBody("x")),
                    message('C', cString("SELECT 1")),
                    READY_FOR_QUERY);
            assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
            at.send(new byte[] {'S', 0, 0});
            at.readUntilClosed();
            carryToTheOne();
            Peer second = member.accept();
            second.read(startupLength(second) - 4);
            second.send(message('R', new byte[4]), READY_FOR_QUERY);
            second.readUntil("'\0");
            second.reset();
            assertThat(next().end()).isEqualTo(Outcome.RESET);
        }
    }

    /** Lets the connection in and waits for its first statement. */
    private static Peer letIn(Peer at) throws IOException {
        at.read(startupLength(at) - 4);
        at.send(message('R', new byte[4]), READY_FOR_QUERY);
        at.readUntil("'\0");
        return at;
    }

    private static void answer(Peer at) throws IOException {
        at.send(
                message('T', ROW_DESCRIPTION),
                message('D', dataRowBody("x")),
                message('C', cString("SELECT 1")),
                READY_FOR_QUERY);
    }

    /** The client leaves while its txn waits for a connection that rests behind its last answer. */
    @Test
    void oneWhoseClientLeavesWhileItsConnectionRestsIsNotSent() throws Exception {
        try (Peer.Listener member = new Peer.Listener()) {
            listed(member.port());
            carryToTheOne();
            Peer at = letIn(member.accept());
            // In the turn of its answer: its rest has begun, and can't be over.
            atItsEnd =
                    () -> {
                        mayGo = false;
                        members.dispatch(requestToTheOne());
                    };
            answer(at);
            assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
            assertThat(next().end()).isEqualTo(Outcome.MOOT);
            mayGo = true;
            carryToTheOne();
            assertThat(at.readUntil("'\0"))
                    .contains("id=r" + (submissions - 1))
                    .doesNotContain("id=r" + (submissions - 2));
            answer(at);
            assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
        }
    }

    private TxnDispatcher.MemberRequest requestToTheOne() {
        return new TxnDispatcher.MemberRequest(
                "t",
                submissions,
                1,
                Statement.parse(
                                wingroad.Fixtures.readStatement("r" + submissions++)
                                        .getBytes(StandardCharsets.UTF_8))
                        .statement(),
                clock.now().plus(LONG));
    }

    /**
     * Gone and back under the same address: what was connected before is not used again, a new
     * connection is.
     */
    @Test
    void oneThatIsGoneAndBackAtItsAddressGetsANewConnection() throws Exception {
        try (Peer.Listener member = new Peer.Listener()) {
            listed(member.port());
            carryToTheOne();
            Peer before = letIn(member.accept());
            answer(before);
            assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
            loop.execute(
                    () ->
                            members.updateMember(
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
            before.readUntilClosed();
            listed(member.port());
            carryToTheOne();
            answer(letIn(member.accept()));
            assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
        }
    }

    /**
     * The member closes in the moment in which a statement goes out: it may have run, and has one
     * end.
     */
    @Test
    void oneThatClosesInTheMomentOfUseHasOneEnd() throws Exception {
        for (boolean resets : new boolean[] {true, false}) {
            try (Peer.Listener member = new Peer.Listener()) {
                listed(member.port());
                carryToTheOne();
                Peer at = letIn(member.accept());
                answer(at);
                assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
                carryToTheOne();
                at.readUntil("'\0");
                if (resets) {
                    at.reset();
                } else {
                    at.close();
                }
                assertThat(next().end()).isEqualTo(Outcome.RESET);
                assertThat(ends).isEmpty();
            }
        }
    }

    /**
     * Guards the thread against notices without end, up to the txn's expiry: bounded in bytes as
     * well.
     */
    @Test
    void anAnswerWithoutEndIsBrokenOff() throws Exception {
        try (Peer.Listener member = new Peer.Listener()) {
            listed(member.port());
            carryToTheOne();
            Peer at = letIn(member.accept());
            at.send(message('T', ROW_DESCRIPTION));
            byte[] notice = message('N', new byte[1000]);
            try {
                while (true) {
                    at.send(notice);
                }
            } catch (IOException brokenOff) {
                assertThat(next().end()).isEqualTo(Outcome.ERROR);
            }
        }
    }

    /**
     * Guards against connections that are closed behind each answer, where members keep idle ones
     * for a short time only.
     */
    @Test
    void aConnectionIsUsedAgainWhereTheIdleTimeIsShorterThanTheConnectingTime() throws Exception {
        members = members(Duration.ofSeconds(10), Duration.ofSeconds(8));
        try (FakeMember m = new FakeMember(false, (sql, s) -> s.sendRow("x", false))) {
            for (int i = 0; i < 3; i++) {
                dispatch(m.port(), LONG);
                assertThat(next().end()).isEqualTo(Outcome.COMMITTED);
            }
            assertThat(m.connections.get()).isEqualTo(1);
        }
    }
}
