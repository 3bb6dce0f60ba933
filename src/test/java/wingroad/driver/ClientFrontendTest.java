package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.cString;
import static wingroad.Fixtures.message;
import static wingroad.Fixtures.readStatement;
import static wingroad.Fixtures.writeStatement;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import wingroad.Fixtures;
import wingroad.rig.Peer;
import wingroad.routing.TxnRouter;
import wingroad.state.Member.Role;
import wingroad.state.Submission.Outcome;
import wingroad.transport.EventLoop;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Clients that leave, send, and are told the end, at moments that the test chooses; the members are
 * the test's own.
 */
class ClientFrontendTest {
    private static final long MEMBER = 1;

    private final BlockingQueue<TxnDispatcher.MemberRequest> dispatched =
            new LinkedBlockingQueue<>();
    private final BlockingQueue<Throwable> bugs = new LinkedBlockingQueue<>();
    private final EventLoop loop = new EventLoop(200, 1 << 24, bugs::add);
    private final Clock clock = new Clock();
    private final Fixtures given = new Fixtures();
    private final TxnRouter router = new TxnRouter(given.settings, 1, line -> {});
    private final TxnDispatcher exchange =
            new TxnDispatcher(loop, clock, router, Duration.ofMillis(250), bugs::add);
    private final ClientFrontend clients =
            new ClientFrontend(
                    loop,
                    exchange,
                    new Counters(),
                    List.of("look", "change"),
                    given.settings,
                    g -> true);
    private int port;

    ClientFrontendTest() throws IOException {
        // the loop opens its polling
    }

    @BeforeEach
    void listen() throws Exception {
        exchange.attach(
                new TxnDispatcher.MemberTransport() {
                    @Override
                    public void dispatch(TxnDispatcher.MemberRequest e) {
                        if (!e.isProbe()) {
                            dispatched.add(e);
                        }
                    }

                    @Override
                    public void cancel(String txn, int submission) {
                        // the test ends it, or leaves it out
                    }

                    @Override
                    public void closeIdleConnections(long member) {
                        // nothing stands idle here
                    }

                    @Override
                    public boolean closeSpareConnection() {
                        return false;
                    }
                },
                new TxnDispatcher.MemberListSource() {
                    @Override
                    public void watch() {
                        // the test tells the list
                    }

                    @Override
                    public void fetch() {
                        // as above
                    }
                },
                () -> false);
        BlockingQueue<Integer> at = new LinkedBlockingQueue<>();
        loop.execute(
                () -> {
                    try {
                        clients.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                        at.add(clients.localAddress().getPort());
                    } catch (IOException e) {
                        bugs.add(e);
                    }
                    Duration now = clock.now();
                    exchange.router().memberListStarted(now, true);
                    exchange.router()
                            .memberListed(now, MEMBER, 7, 0, 0, 1, false, false, false, null);
                    exchange.router().memberListEnded(now);
                });
        port = at.poll(20, TimeUnit.SECONDS);
    }

    /** The member says that it is the primary: writes that were held are sent on. */
    private void primaryFound() {
        loop.execute(
                () ->
                        exchange.router()
                                .memberReported(
                                        clock.now(),
                                        MEMBER,
                                        Role.PRIMARY,
                                        clock.now(),
                                        Double.NaN,
                                        Double.NaN,
                                        Double.NaN));
    }

    private Peer client() throws IOException {
        Peer c = Peer.connect(port).send(Fixtures.STARTUP_MESSAGE);
        c.readUntil("Z\0\0\0\5I");
        return c;
    }

    private static byte[] ask(String sql) {
        return message('Q', cString(sql));
    }

    /**
     * Asked on the loop's own thread, again and again, until it is so; not for longer than any wait
     * in the code.
     */
    private void until(BooleanSupplier is) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        BlockingQueue<Boolean> was = new LinkedBlockingQueue<>();
        do {
            assertThat(System.nanoTime()).as("it never came to be").isLessThan(end);
            loop.execute(() -> was.add(is.getAsBoolean()));
        } while (!was.take());
    }

    private void commit(TxnDispatcher.MemberRequest e) {
        byte[] row =
                Fixtures.concat(
                        message('T', Fixtures.ROW_DESCRIPTION),
                        message('D', Fixtures.dataRowBody("done")),
                        message('C', cString("SELECT 1")));
        loop.execute(
                () ->
                        exchange.submissionEnded(
                                e,
                                Outcome.COMMITTED,
                                Duration.ofMillis(1),
                                new TxnDispatcher.MemberStatus(Role.PRIMARY, null, null),
                                row));
    }

    /**
     * Guards against a txn that is sent on though its client has left behind all that it had sent
     * ahead.
     */
    @Test
    void oneThatSendsMuchAheadAndLeavesIsSeenToLeave() throws Exception {
        for (boolean resets : new boolean[] {false, true}) {
            Peer c = client();
            c.send(ask(writeStatement("w" + resets).replace("d=4000", "d=60000")));
            until(() -> exchange.openTxnCount() == 1);
            for (int i = 0; i < 400; i++) {
                c.send(ask(readStatement("r" + resets + i)));
            }
            if (resets) {
                c.reset();
            } else {
                c.close();
            }
            until(() -> exchange.openTxnCount() == 0);
            primaryFound();
            until(() -> clients.connectionCount() == 0);
            assertThat(dispatched).isEmpty();
            loop.execute(
                    () ->
                            exchange.router()
                                    .memberReported(
                                            clock.now(),
                                            MEMBER,
                                            Role.REPLICA,
                                            clock.now(),
                                            Double.NaN,
                                            Double.NaN,
                                            Double.NaN));
        }
        assertThat(bugs).isEmpty();
    }

    /**
     * What is read ahead gives way: with half of the room in use, a flood is held up and everybody
     * else is served.
     */
    @Test
    void aFloodThatIsReadAheadLeavesHalfOfTheRoom() throws Exception {
        Peer c = client();
        c.send(ask(writeStatement("w").replace("d=4000", "d=60000")));
        until(() -> exchange.openTxnCount() == 1);
        loop.execute(() -> loop.addBufferedBytes((1 << 23) - loop.bufferedBytes()));
        for (int i = 0; i < 1000; i++) {
            c.send(ask(readStatement("r" + i)));
        }
        primaryFound();
        commit(dispatched.poll(20, TimeUnit.SECONDS));
        assertThat(c.readUntil("Z\0\0\0\5I")).contains("done");
        BlockingQueue<Long> held = new LinkedBlockingQueue<>();
        loop.execute(() -> held.add(loop.bufferedBytes()));
        assertThat(held.poll(20, TimeUnit.SECONDS)).isLessThan((1 << 23) + 64 * 1024);
        assertThat(dispatched.poll(20, TimeUnit.SECONDS).statement().id()).isEqualTo("r0");
    }

    /**
     * Guards against a planned stop that cuts a statement off in its middle, be it a client's first
     * or a later one.
     */
    @Test
    void oneInTheMiddleOfAStatementIsAnsweredBeforeItIsToldTheEnd() throws Exception {
        primaryFound();
        Peer asked = client();
        asked.send(ask(""));
        asked.readUntil("Z\0\0\0\5I");
        for (Peer c : List.of(asked, client())) {
            byte[] whole = ask(writeStatement("half" + (c == asked)));
            c.send(java.util.Arrays.copyOf(whole, 60));
            until(() -> !clients.isIdle());
            loop.execute(clients::beginClosing);
            c.send(java.util.Arrays.copyOfRange(whole, 60, whole.length));
            commit(dispatched.poll(20, TimeUnit.SECONDS));
            assertThat(c.readUntil("Z\0\0\0\5I")).contains("done");
            assertThat(c.readToEnd()).isEmpty();
            c.close();
            until(clients::isIdle);
        }
        until(() -> clients.connectionCount() == 0);
    }

    /**
     * Open as the others are let go, with more behind it: all of it is answered, in order, and then
     * it is told the end.
     */
    @Test
    void oneWithAnOpenTxnAndMoreSentAheadIsAnsweredBeforeItIsToldTheEnd() throws Exception {
        primaryFound();
        Peer c = client();
        // In one piece, so that all of it is read at once: what is still unread when it is told the
        // end, the client sends elsewhere.
        c.send(Fixtures.concat(ask(writeStatement("w")), ask(readStatement("r")), ask("")));
        TxnDispatcher.MemberRequest w = dispatched.poll(20, TimeUnit.SECONDS);
        loop.execute(clients::beginClosing);
        commit(w);
        assertThat(c.readUntil("Z\0\0\0\5I")).contains("done");
        TxnDispatcher.MemberRequest r = dispatched.poll(20, TimeUnit.SECONDS);
        assertThat(r.statement().id()).isEqualTo("r");
        commit(r);
        assertThat(c.readUntil("Z\0\0\0\5I")).contains("done");
        assertThat(c.readUntil("Z\0\0\0\5I")).startsWith("I");
        assertThat(c.readToEnd()).isEmpty();
        c.close();
        until(() -> clients.connectionCount() == 0);
    }

    /**
     * A statement that comes in the moment of the end is not sent on, and its client sees an end
     * and no break.
     */
    @Test
    void whatComesBehindTheEndIsReadAndThrownAway() throws Exception {
        primaryFound();
        Peer c = client();
        c.send(ask(""));
        c.readUntil("Z\0\0\0\5I");
        Peer fresh = client();
        loop.execute(clients::finishAll);
        // Taken from the listener's queue behind all others: told the same.
        Peer last = Peer.connect(port);
        assertThat(last.readToEnd()).isEmpty();
        last.close();
        for (Peer p : List.of(c, fresh)) {
            p.send(ask(writeStatement("late")));
            assertThat(p.readToEnd()).isEmpty();
            p.send(ask(writeStatement("later")));
        }
        // Both stay until their clients end their side: a close over unread bytes would break the
        // connection.
        until(() -> clients.connectionCount() == 2 && clients.isIdle());
        c.close();
        fresh.close();
        until(() -> clients.connectionCount() == 0);
        assertThat(dispatched).isEmpty();
        assertThat(exchange.openTxnCount()).isZero();
    }

    /**
     * Its client reads late: the answer is handed over but not flushed when all are told the end,
     * and comes whole.
     */
    @Test
    void anAnswerThatIsNotFlushedYetIsWrittenBeforeTheEnd() throws Exception {
        primaryFound();
        Peer c = client();
        c.send(ask(writeStatement("large")));
        TxnDispatcher.MemberRequest e = dispatched.poll(20, TimeUnit.SECONDS);
        byte[] row = new byte[32 << 20];
        loop.execute(
                () -> {
                    exchange.submissionEnded(
                            e,
                            Outcome.COMMITTED,
                            Duration.ofMillis(1),
                            new TxnDispatcher.MemberStatus(Role.PRIMARY, null, null),
                            row);
                    clients.finishAll();
                });
        until(() -> exchange.openTxnCount() == 0 && !clients.isIdle());
        assertThat(c.readToEnd().length).isGreaterThanOrEqualTo(row.length);
        c.close();
        until(() -> clients.connectionCount() == 0);
    }

    /**
     * Guards the thread against clients that send without end what nobody answers: rows for a copy,
     * extended queries.
     */
    @Test
    void oneThatSendsWithoutEndWhatIsNoQueryIsLetGo() throws Exception {
        for (byte[] nothing :
                new byte[][] {message('d', new byte[1000]), message('P', new byte[1000])}) {
            Peer c = client();
            for (int i = 0; i < 300; i++) {
                c.send(nothing);
            }
            assertThat(new String(c.readToEnd(), StandardCharsets.ISO_8859_1))
                    .contains("too much that is no query");
            c.close();
            until(() -> clients.connectionCount() == 0);
        }
        primaryFound();
        Peer c = client();
        c.send(ask(writeStatement("other")));
        commit(dispatched.poll(20, TimeUnit.SECONDS));
        assertThat(c.readUntil("Z\0\0\0\5I")).contains("done");
    }

    /**
     * It comes again at once under the same id: taken where nothing of it went out, turned away
     * where something may have.
     */
    @Test
    void oneThatLeftComesAgainUnderTheSameIdOnlyIfNothingWentOut() throws Exception {
        Peer c = client();
        c.send(ask(writeStatement("same")));
        until(() -> exchange.openTxnCount() == 1);
        c.reset();
        until(() -> exchange.openTxnCount() == 0);
        Peer again = client().send(ask(writeStatement("same")));
        until(() -> exchange.openTxnCount() == 1);
        primaryFound();
        assertThat(dispatched.poll(20, TimeUnit.SECONDS).statement().id()).isEqualTo("same");
        again.reset();
        until(() -> exchange.openTxnCount() == 0);
        assertThat(client().send(ask(writeStatement("same"))).readUntil("Z\0\0\0\5I"))
                .contains("42704");
        assertThat(dispatched).isEmpty();
    }

    /**
     * The client leaves while its txn waits for its connection: asked just before it would go, the
     * exchange says no.
     */
    @Test
    void oneThatLeavesWhileItsConnectionOpensIsNotSentOn() throws Exception {
        primaryFound();
        Peer c = client();
        c.send(ask(writeStatement("w")));
        TxnDispatcher.MemberRequest e = dispatched.poll(20, TimeUnit.SECONDS);
        BlockingQueue<Boolean> may = new LinkedBlockingQueue<>();
        loop.execute(() -> may.add(exchange.mayDispatch(e)));
        assertThat(may.poll(20, TimeUnit.SECONDS)).isTrue();
        c.shutdownOutput();
        until(() -> exchange.openTxnCount() == 0);
        loop.execute(() -> may.add(exchange.mayDispatch(e)));
        assertThat(may.poll(20, TimeUnit.SECONDS)).isFalse();
        c.close();
    }

    /**
     * Its statement and its end stand side by side when the driver next looks, as after a pause of
     * the whole process.
     */
    @Test
    void oneThatHasLeftByTheTimeItsStatementIsReadIsNotSentOn() throws Exception {
        primaryFound();
        for (boolean resets : new boolean[] {false, true}) {
            Peer c = client();
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
                    });
            standing.await();
            c.send(ask(writeStatement("left" + resets)));
            if (resets) {
                c.reset();
            } else {
                c.close();
            }
            goes.countDown();
            until(() -> clients.connectionCount() == 0);
            assertThat(dispatched).isEmpty();
        }
    }

    /** Bytes one at a time, two statements in a row: both are answered, in order. */
    @Test
    void bytesOneAtATimeMakeWholeStatements() throws Exception {
        primaryFound();
        Peer c = client();
        c.sendByteByByte(Fixtures.concat(ask(writeStatement("a")), ask(writeStatement("b"))));
        for (String id : new String[] {"a", "b"}) {
            TxnDispatcher.MemberRequest e = dispatched.poll(20, TimeUnit.SECONDS);
            assertThat(e.statement().id()).isEqualTo(id);
            commit(e);
            assertThat(c.readUntil("Z\0\0\0\5I")).contains("done");
        }
        assertThat(new String(c.send(message('X')).readToEnd(), StandardCharsets.ISO_8859_1))
                .isEmpty();
    }
}
