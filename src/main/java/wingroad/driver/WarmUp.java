package wingroad.driver;

import wingroad.protocol.ClientInput;
import wingroad.protocol.ClientOutput;
import wingroad.protocol.MemberInput;
import wingroad.protocol.MemberOutput;
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
 * Plays made-up txns through parsers, exchange and a module of its own before anybody is let in:
 * without it the first clients after a start meet code that is still interpreted, and take several
 * times the CPU of later ones. It knows no sockets, and nothing of it is left.
 */
final class WarmUp {
    /** By then what every txn runs through has been compiled; more of it gained nothing. */
    private static final int TXNS = 2000;

    /** Whatever the machine, a start is not held up for longer. */
    private static final Duration MOST = Duration.ofMillis(1000);

    private static final int AT_ONCE = 8;
    private static final int MEMBERS = 3;

    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final List<String> types;
    private final Map<String, Object> terms;
    private final Exchange exchange;
    private final Runnable then;
    private final byte[] answer;
    private final Duration from;
    private int begun;
    private int ended;
    private boolean over;

    /** Plays on the loop's thread, as does {@code then}, which is run once it is over. */
    static void play(EventLoop loop, List<String> types, Map<String, Object> terms, Runnable then) {
        WarmUp r = new WarmUp(loop, types, terms, then);
        loop.run(r::begin);
    }

    private WarmUp(EventLoop loop, List<String> types, Map<String, Object> terms, Runnable then) {
        this.loop = loop;
        this.types = types;
        this.terms = terms;
        this.then = then;
        this.from = clock.now();
        exchange =
                new Exchange(
                        loop,
                        clock,
                        new TxnRouter(terms, 1, line -> {}),
                        Duration.ofMillis(250),
                        this::failed);
        exchange.meet(
                new Exchange.MemberTransport() {
                    @Override
                    public void dispatch(Exchange.MemberRequest e) {
                        loop.run(() -> answer(e));
                    }

                    @Override
                    public void callOff(String txn, int submission) {
                        // its answer is on the way already
                    }

                    @Override
                    public void release(long member) {
                        // no connection is held here
                    }

                    @Override
                    public boolean giveWay() {
                        return false;
                    }
                },
                new Exchange.Lists() {
                    @Override
                    public void follow() {
                        // there is no list but the one made up here
                    }

                    @Override
                    public void fetch() {
                        // as above
                    }
                },
                () -> false);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        message(all, 'T', "\0\1v\0\0\0\0\0\0\0\0\0\0\21\0\0\0\0\0\0\0\1");
        message(all, 'D', "\0\1\0\0\0\2ab");
        message(all, 'C', "SELECT 1\0");
        message(all, 'S', "gauges\0x0=1,x1=0,held=1,busy=0.5\0");
        message(all, 'Z', "I");
        answer = all.toByteArray();
    }

    private static void message(ByteArrayOutputStream all, char type, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        all.writeBytes(
                ByteBuffer.allocate(5 + bytes.length)
                        .put((byte) type)
                        .putInt(4 + bytes.length)
                        .put(bytes)
                        .array());
    }

    private void begin() {
        Duration now = clock.now();
        exchange.router().memberListStarted(now, true);
        for (long m = 1; m <= MEMBERS; m++) {
            exchange.router().memberListed(now, m, 0, 0, 0, 1, m == 1, false, false, null);
        }
        exchange.router().memberListEnded(now);
        for (int i = 0; i < AT_ONCE; i++) {
            next();
        }
    }

    private void next() {
        if (over) {
            return;
        }
        if (types.isEmpty() || ended >= TXNS || clock.now().minus(from).compareTo(MOST) > 0) {
            over = true;
            then.run();
            return;
        }
        if (begun >= TXNS) {
            return;
        }
        int type = begun++ % types.size();
        boolean writes = "update".equals(terms.get("txn-type." + type + ".reads"));
        String comment =
                "/* id=rehearsal" + begun + ",c=" + types.get(type) + ",d=3000,cluster=0 */ ";
        ByteBuffer in =
                MemberOutput.query(
                        (comment
                                        + (writes
                                                ? "INSERT INTO records (k, v) VALUES ('ab',"
                                                      + " '\\x00') RETURNING v"
                                                : "SELECT v FROM records WHERE k = 'ab'"))
                                .getBytes(StandardCharsets.ISO_8859_1));
        ClientInput input = new ClientInput();
        input.next(MemberOutput.startup());
        Statement s = Statement.parse(input.next(in).bytes()).statement();
        exchange.arrived(
                s,
                type,
                -1,
                new Exchange.TxnCallback() {
                    @Override
                    public void committed(byte[] row) {
                        ClientOutput.row(row);
                        answered();
                    }

                    @Override
                    public void declined(Duration comeBack) {
                        answered();
                    }

                    @Override
                    public void rolledBack() {
                        answered();
                    }
                });
    }

    private void answered() {
        ended++;
        loop.run(this::next);
    }

    private void answer(Exchange.MemberRequest e) {
        MemberInput in = new MemberInput();
        in.clear();
        in.take(ByteBuffer.wrap(answer));
        Answer a = new Answer(in, clock, false);
        Exchange.MemberStatus status =
                new Exchange.MemberStatus(
                        e.member() == 1
                                ? wingroad.state.Member.Role.PRIMARY
                                : wingroad.state.Member.Role.REPLICA,
                        clock.now(),
                        a.status.report());
        if (e.probe()) {
            exchange.probed(
                    e.member(),
                    true,
                    Duration.ofMillis(1),
                    new Exchange.Report(status.role(), clock.now(), 1, 0, 0));
        } else {
            MemberOutput.query(e.statement().withLeft(2000));
            exchange.ended(e, Outcome.COMMITTED, Duration.ofMillis(10), status, a.row);
        }
    }

    /** A fault here is no reason not to serve. */
    private void failed(Throwable bug) {
        loop.bug(bug);
        if (!over) {
            over = true;
            loop.run(then);
        }
    }
}
