package wingroad.driver;

import wingroad.protocol.ClientMessageDecoder;
import wingroad.protocol.ClientMessageEncoder;
import wingroad.protocol.MemberMessageEncoder;
import wingroad.protocol.MemberResponseDecoder;
import wingroad.protocol.Statement;
import wingroad.routing.TxnRouter;
import wingroad.state.Submission.Outcome;
import wingroad.transport.EventLoop;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Runs synthetic txns through the parsers, a dispatcher and a router of its own before clients are
 * accepted. Without it the first clients after a start run into code that is still interpreted, and
 * cost several times the CPU of later ones. It uses no sockets and leaves no state behind.
 */
final class WarmUp {
    /** After this many txns the code that every txn runs through is compiled. */
    private static final int TXN_COUNT = 2000;

    /** The start is delayed by no more than this, however slow the machine is. */
    private static final Duration MAX_DURATION = Duration.ofMillis(1000);

    private static final int CONCURRENT_TXN_COUNT = 8;
    private static final int MEMBER_COUNT = 3;
    private static final long PROBE_TIMEOUT_MS = 250;
    private static final long RESPONSE_TIME_MS = 10;
    private static final long PROBE_RESPONSE_TIME_MS = 1;

    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final List<String> typeNames;
    private final Map<String, Object> routerSettings;
    private final TxnDispatcher dispatcher;
    private final Runnable onDone;
    private final byte[] memberResponse;
    private final Duration startedAt;
    private int startedTxnCount;
    private int endedTxnCount;
    private boolean finished;

    /** Runs the warm-up and then {@code onDone}, both on the loop's thread. */
    static void run(
            EventLoop loop,
            List<String> typeNames,
            Map<String, Object> routerSettings,
            Runnable onDone) {
        WarmUp warmUp = new WarmUp(loop, typeNames, routerSettings, onDone);
        loop.execute(warmUp::start);
    }

    private WarmUp(
            EventLoop loop,
            List<String> typeNames,
            Map<String, Object> routerSettings,
            Runnable onDone) {
        this.loop = loop;
        this.typeNames = typeNames;
        this.routerSettings = routerSettings;
        this.onDone = onDone;
        this.startedAt = clock.now();
        dispatcher =
                new TxnDispatcher(
                        loop,
                        clock,
                        new TxnRouter(routerSettings, 1, line -> {}),
                        Duration.ofMillis(PROBE_TIMEOUT_MS),
                        this::failed);
        dispatcher.attach(
                new TxnDispatcher.MemberTransport() {
                    @Override
                    public void dispatch(TxnDispatcher.MemberRequest request) {
                        loop.execute(() -> respond(request));
                    }

                    @Override
                    public void cancel(String txn, int submission) {
                        // the response is scheduled already
                    }

                    @Override
                    public void closeIdleConnections(long member) {
                        // there are no connections
                    }

                    @Override
                    public boolean closeSpareConnection() {
                        return false;
                    }
                },
                new TxnDispatcher.MemberListSource() {
                    @Override
                    public void watch() {
                        // the list is fixed
                    }

                    @Override
                    public void fetch() {
                        // the list is fixed
                    }
                },
                () -> false);
        ByteArrayOutputStream messages = new ByteArrayOutputStream();
        message(messages, 'T', "\0\1v\0\0\0\0\0\0\0\0\0\0\21\0\0\0\0\0\0\0\1");
        message(messages, 'D', "\0\1\0\0\0\2ab");
        message(messages, 'C', "SELECT 1\0");
        message(messages, 'S', "gauges\0x0=1,x1=0,held=1,busy=0.5\0");
        message(messages, 'Z', "I");
        memberResponse = messages.toByteArray();
    }

    private static void message(ByteArrayOutputStream messages, char type, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        messages.writeBytes(
                ByteBuffer.allocate(5 + bytes.length)
                        .put((byte) type)
                        .putInt(4 + bytes.length)
                        .put(bytes)
                        .array());
    }

    private void start() {
        Duration now = clock.now();
        dispatcher.router().memberListStarted(now, true);
        for (long member = 1; member <= MEMBER_COUNT; member++) {
            dispatcher
                    .router()
                    .memberListed(now, member, 0, 0, 0, 1, member == 1, false, false, null);
        }
        dispatcher.router().memberListEnded(now);
        for (int i = 0; i < CONCURRENT_TXN_COUNT; i++) {
            startNextTxn();
        }
    }

    private void startNextTxn() {
        if (finished) {
            return;
        }
        if (typeNames.isEmpty()
                || endedTxnCount >= TXN_COUNT
                || clock.now().minus(startedAt).compareTo(MAX_DURATION) > 0) {
            finished = true;
            onDone.run();
            return;
        }
        if (startedTxnCount >= TXN_COUNT) {
            return;
        }
        int typeIndex = startedTxnCount++ % typeNames.size();
        boolean writes = "update".equals(routerSettings.get("txn-type." + typeIndex + ".reads"));
        String comment =
                "/* id=rehearsal"
                        + startedTxnCount
                        + ",c="
                        + typeNames.get(typeIndex)
                        + ",d=3000,cluster=0 */ ";
        ByteBuffer encodedQuery =
                MemberMessageEncoder.query(
                        (comment
                                        + (writes
                                                ? "INSERT INTO records (k, v) VALUES ('ab',"
                                                        + " '\\x00') RETURNING v"
                                                : "SELECT v FROM records WHERE k = 'ab'"))
                                .getBytes(StandardCharsets.ISO_8859_1));
        ClientMessageDecoder input = new ClientMessageDecoder();
        input.next(MemberMessageEncoder.startup());
        Statement statement = Statement.parse(input.next(encodedQuery).body()).statement();
        dispatcher.txnArrived(
                statement,
                typeIndex,
                TxnDispatcher.NO_SESSION,
                new TxnDispatcher.TxnCallback() {
                    @Override
                    public void committed(byte[] row) {
                        ClientMessageEncoder.rowResponse(row);
                        txnEnded();
                    }

                    @Override
                    public void declined(Duration retryAfter) {
                        txnEnded();
                    }

                    @Override
                    public void rolledBack() {
                        txnEnded();
                    }
                });
    }

    private void txnEnded() {
        endedTxnCount++;
        loop.execute(this::startNextTxn);
    }

    private void respond(TxnDispatcher.MemberRequest request) {
        MemberResponseDecoder input = new MemberResponseDecoder();
        input.reset();
        input.decode(ByteBuffer.wrap(memberResponse));
        MemberResponse response = new MemberResponse(input, clock, false);
        TxnDispatcher.MemberStatus status =
                new TxnDispatcher.MemberStatus(
                        request.member() == 1
                                ? wingroad.state.Member.Role.PRIMARY
                                : wingroad.state.Member.Role.REPLICA,
                        clock.now(),
                        response.status.report());
        if (request.isProbe()) {
            dispatcher.probeEnded(
                    request.member(),
                    true,
                    Duration.ofMillis(PROBE_RESPONSE_TIME_MS),
                    new TxnDispatcher.MemberReport(status.role(), clock.now(), 1, 0, 0));
        } else {
            MemberMessageEncoder.query(request.statement().withTimeLeft(2000));
            dispatcher.submissionEnded(
                    request,
                    Outcome.COMMITTED,
                    Duration.ofMillis(RESPONSE_TIME_MS),
                    status,
                    response.row);
        }
    }

    /** Ends the warm-up: an error in it must not keep the driver from serving. */
    private void failed(Throwable error) {
        loop.reportUnexpectedError(error);
        if (!finished) {
            finished = true;
            loop.execute(onDone);
        }
    }
}
