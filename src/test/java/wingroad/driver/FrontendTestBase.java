package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.cString;
import static wingroad.Fixtures.message;

import org.junit.jupiter.api.BeforeEach;

import wingroad.Fixtures;
import wingroad.rig.Peer;
import wingroad.routing.TxnRouter;
import wingroad.state.Member.Role;
import wingroad.state.Submission.Outcome;
import wingroad.transport.EventLoop;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The client side of the driver on its event loop, with a router and one member, whose place the
 * test takes.
 */
abstract class FrontendTestBase {
    /** Limits each wait for a request to a member or for a task of the event loop. */
    static final long WAIT_TIMEOUT_SECONDS = 20;

    static final int CHANNEL_LIMIT = 200;
    static final int MEMORY_LIMIT_BYTES = 1 << 24;
    static final int HALF_MEMORY_LIMIT_BYTES = 1 << 23;

    /** The ReadyForQuery message, with which each response to a client ends. */
    static final String READY_FOR_QUERY = "Z\0\0\0\5I";

    static final long MEMBER_ID = 1;

    final BlockingQueue<TxnDispatcher.MemberRequest> dispatched = new LinkedBlockingQueue<>();
    final BlockingQueue<Throwable> unexpectedFailures = new LinkedBlockingQueue<>();
    final EventLoop loop =
            new EventLoop(CHANNEL_LIMIT, MEMORY_LIMIT_BYTES, unexpectedFailures::add);
    final Clock clock = new Clock();
    final Fixtures fixtures = new Fixtures();
    final TxnRouter router = new TxnRouter(fixtures.settings, 1, line -> {});
    final TxnDispatcher dispatcher =
            new TxnDispatcher(loop, clock, router, Duration.ofMillis(250), unexpectedFailures::add);
    final ClientFrontend frontend =
            new ClientFrontend(
                    loop,
                    dispatcher,
                    new Counters(),
                    List.of("look", "change"),
                    fixtures.settings,
                    new KnownGroups());
    int port;

    FrontendTestBase() throws IOException {
        // declares the exception of the event loop's constructor
    }

    @BeforeEach
    void listen() throws Exception {
        dispatcher.attach(
                new TxnDispatcher.MemberTransport() {
                    @Override
                    public void dispatch(TxnDispatcher.MemberRequest request) {
                        if (!request.isProbe()) {
                            dispatched.add(request);
                        }
                    }

                    @Override
                    public void cancel(String txn, int submission) {
                        // the test reports the outcome where it matters
                    }

                    @Override
                    public void closeIdleConnections(long member) {
                        // there are no member connections
                    }

                    @Override
                    public boolean closeSpareConnection() {
                        return false;
                    }
                },
                new TxnDispatcher.MemberListSource() {
                    @Override
                    public void watch() {
                        // the test supplies the member list
                    }

                    @Override
                    public void fetch() {
                        // the test supplies the member list
                    }
                },
                () -> false);
        BlockingQueue<Integer> ports = new LinkedBlockingQueue<>();
        loop.execute(
                () -> {
                    try {
                        frontend.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                        ports.add(frontend.localAddress().getPort());
                    } catch (IOException e) {
                        unexpectedFailures.add(e);
                    }
                    Duration now = clock.now();
                    dispatcher.router().memberListStarted(now, true);
                    dispatcher
                            .router()
                            .memberListed(now, MEMBER_ID, 7, 0, 0, 1, false, false, false, null);
                    dispatcher.router().memberListEnded(now);
                });
        port = ports.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Reports the member as the primary, which releases held writes. */
    void reportPrimary() {
        loop.execute(
                () ->
                        dispatcher
                                .router()
                                .memberReported(
                                        clock.now(),
                                        MEMBER_ID,
                                        Role.PRIMARY,
                                        clock.now(),
                                        Double.NaN,
                                        Double.NaN,
                                        Double.NaN));
    }

    Peer connectClient() throws IOException {
        Peer client = Peer.connect(port).send(Fixtures.STARTUP_MESSAGE);
        client.readUntil(READY_FOR_QUERY);
        return client;
    }

    static byte[] query(String sql) {
        return message('Q', cString(sql));
    }

    /**
     * Evaluates a condition on the event loop's thread until it holds. The limit is shorter than
     * the timeouts of the code under test, so that none of them can bring the condition about.
     */
    void awaitOnLoop(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        BlockingQueue<Boolean> results = new LinkedBlockingQueue<>();
        do {
            assertThat(System.nanoTime())
                    .as("deadline for the condition")
                    .isLessThan(deadlineNanos);
            loop.execute(() -> results.add(condition.getAsBoolean()));
        } while (!results.take());
    }

    void commit(TxnDispatcher.MemberRequest request) {
        byte[] rowMessages =
                Fixtures.concat(
                        message('T', Fixtures.ROW_DESCRIPTION),
                        message('D', Fixtures.dataRowBody("done")),
                        message('C', cString("SELECT 1")));
        commit(request, rowMessages);
    }

    void commit(TxnDispatcher.MemberRequest request, byte[] rowMessages) {
        loop.execute(
                () ->
                        dispatcher.submissionEnded(
                                request,
                                Outcome.COMMITTED,
                                Duration.ofMillis(1),
                                new TxnDispatcher.MemberStatus(Role.PRIMARY, null, null),
                                rowMessages));
    }
}
