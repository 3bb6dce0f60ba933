package wingroad.driver;

import wingroad.door.ClientContext;
import wingroad.protocol.ClientInput;
import wingroad.protocol.ClientOutput;
import wingroad.protocol.Statement;
import wingroad.transport.Connection;

import java.nio.ByteBuffer;
import java.time.Duration;

/**
 * One client's connection. Its commands are taken one after the other, each when the last is
 * answered. What it may take of the driver is bounded in bytes and in time; {@link #overdue} says
 * when its time is over.
 */
final class ClientConnection implements Connection.Owner, Exchange.TxnCallback {
    /**
     * A client is to be told within 3 s of its connecting; half of that leaves a second for the
     * end, see LINGER.
     */
    private static final Duration START_TIME = Duration.ofMillis(1500);

    /**
     * A command that has begun comes whole at once, or its client is stuck: the largest takes some
     * ms.
     */
    private static final Duration COMMAND_TIME = Duration.ofMillis(1500);

    /**
     * A connection without a request may be closed after 2 s; those that ask once and stay must not
     * add up.
     */
    private static final Duration IDLE_TIME = Duration.ofMillis(2200);

    /**
     * A client that reads nothing at all for so long has gone, or never will; one that is slow may
     * take its time.
     */
    private static final Duration WRITE_TIME = Duration.ofSeconds(3);

    /** So long a client that was told the end has to read it and to end its own side. */
    private static final Duration LINGER = Duration.ofSeconds(1);

    /** What a client that was told the end may still send before it is no longer read. */
    private static final int MOST_THROWN_AWAY = 64 * 1024;

    /**
     * How many messages that come to nothing it may send between two queries: one batch of a
     * client's library at the most.
     */
    private static final int MOST_SKIPPED = 256;

    /**
     * After each command that could not be served the next one waits, twice as long each time, and
     * then it is over.
     */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(10);

    private static final int MOST_WRONG = 8;

    private final Clients side;
    private final ClientInput input = new ClientInput();
    private Connection connection;
    private final int number;
    private final Duration connectedAt;

    /** Since when it is as it is: answered, leaving. */
    private Duration since;

    /**
     * Since when it has not taken what it was sent, or sent a part of a command; null where neither
     * is so.
     */
    private Duration stuckSince;

    private boolean started;
    private boolean asked;

    /** Who it is, where that is wanted. */
    private ClientContext caller;

    /** The txn that waits for its final answer, or null. */
    private String txn;

    /** The id of its statement. */
    private String id;

    /** Its txn is being handed over. */
    private boolean taking;

    /** The size of its statement. */
    private int holds;

    /** After an extended-query message all is skipped up to its sync. */
    private boolean skipping;

    /** How many of its messages came to nothing since its last query. */
    private int skipped;

    /** How many of its commands could not be served. */
    private int wrong;

    private boolean pausing;

    /** Nothing more is taken; what was answered is still written. */
    private boolean leaving;

    private int thrownAway;

    /** How many bytes had been written when it was last looked at. */
    private long wrote;

    ClientConnection(Clients side, Duration since, int number) {
        this.side = side;
        this.connectedAt = since;
        this.since = since;
        this.number = number;
    }

    void begin(Connection connection) {
        this.connection = connection;
        connection.begin();
    }

    /** It has a txn, an answer that is not written yet, or a command that was not looked at yet. */
    boolean busy() {
        return txn != null
                || taking
                || connection.unsent()
                || connection.unread() && stuckSince == null && !pausing && !leaving;
    }

    /**
     * A part of a command has come, and nothing else is under way: cut off now, its client would
     * not know how far it came.
     */
    boolean inCommand() {
        return stuckSince != null && connection.unread() && !leaving;
    }

    @Override
    public boolean takes() {
        return leaving || txn == null && !pausing && !connection.unsent();
    }

    @Override
    public void bytes(ByteBuffer in) {
        if (leaving) {
            thrownAway += in.remaining();
            in.position(in.limit());
            if (thrownAway > MOST_THROWN_AWAY) {
                connection.readNoMore();
            }
            return;
        }
        // One that does not read its answers gets no further ones: at most one waits to be written.
        while (txn == null && !leaving && !pausing && !connection.unsent()) {
            ClientInput.Message m = input.next(in);
            if (m == null) {
                boolean part = in.hasRemaining();
                stuckSince = !part ? null : stuckSince == null ? side.now() : stuckSince;
                return;
            }
            stuckSince = null;
            take(m);
        }
    }

    private void take(ClientInput.Message m) {
        switch (m.kind()) {
            case STARTUP, NEWER_STARTUP -> {
                started = true;
                caller = side.caller(connection.from(), m.bytes());
                send(
                        new ClientOutput()
                                .welcome(m.kind() == ClientInput.Kind.NEWER_STARTUP, number));
            }
            case ENCRYPTION -> send(new ClientOutput().noEncryption());
            case QUERY -> {
                if (!skipping) {
                    query(m.bytes());
                }
            }
            case EXTENDED -> {
                if (!skipping) {
                    skipping = true;
                    wrong("extended query", ClientOutput.UNSUPPORTED, "only simple queries", false);
                } else {
                    skip();
                }
            }
            case SYNC -> {
                if (m.why() == null) {
                    skipping = false;
                    send(new ClientOutput().ready());
                } else if (!skipping) {
                    wrong("function call", ClientOutput.UNSUPPORTED, "no function calls", true);
                }
            }
            // rows for a copy that was never begun
            case SKIP -> skip();
            case BROKEN -> {
                side.count("client " + m.why());
                end(ClientOutput.MALFORMED, m.why());
            }
            default -> {
                leaving = true;
                close();
            }
        }
    }

    /** Guards the thread against a client that sends without end what nobody answers. */
    private void skip() {
        if (++skipped > MOST_SKIPPED) {
            side.count("client sends what is not asked for");
            end(ClientOutput.MALFORMED, "too much that is no query");
        }
    }

    private void query(byte[] text) {
        asked = true;
        skipped = 0;
        if (isBlank(text)) {
            send(new ClientOutput().emptyQuery());
            return;
        }
        Statement.Parsed p = Statement.parse(text);
        String why = p.why();
        String code = ClientOutput.MALFORMED;
        Statement s = p.statement();
        if (s != null) {
            code = ClientOutput.UNKNOWN_NAME;
            why = side.whyUnknown(s);
        }
        if (why != null) {
            wrong("client " + why, code, why, true);
            return;
        }
        id = s.id();
        holds = text.length;
        side.hold(holds);
        taking = true;
        txn = side.arrived(s, this);
        taking = false;
        if (txn == null) {
            // Guards the txns under way at the descriptor limit: one that is not let in would wait
            // unseen.
            side.count("client declined for descriptors");
            declined(null);
        }
    }

    /**
     * Says what is wrong with a command. Guards against clients that send the same again as soon as
     * they are turned away: one that goes on so is asked to wait, longer each time, and at last is
     * let go.
     */
    private void wrong(String counted, String code, String text, boolean ready) {
        side.count(counted);
        if (++wrong >= MOST_WRONG) {
            end(code, text);
            return;
        }
        pausing = true;
        side.after(
                FIRST_PAUSE.multipliedBy(1L << wrong - 1),
                () -> {
                    pausing = false;
                    connection.offerAgain();
                });
        ClientOutput out = new ClientOutput().error(false, code, text, null);
        send(ready ? out.ready() : out);
    }

    private static boolean isBlank(byte[] text) {
        for (byte b : text) {
            if (b != ' ' && b != ';' && b != '\n' && b != '\t' && b != '\r') {
                return false;
            }
        }
        return true;
    }

    @Override
    public void committed(byte[] row) {
        settled();
        connection.send(ClientOutput.row(row));
    }

    @Override
    public void declined(Duration comeBack) {
        side.count("DECLINED");
        String wait = comeBack == null ? null : Long.toString(Math.max(1, comeBack.toMillis()));
        answer(new ClientOutput().error(false, ClientOutput.DECLINED, "declined", wait).ready());
    }

    @Override
    public void rolledBack() {
        side.count("ROLLED BACK");
        answer(
                new ClientOutput()
                        .error(false, ClientOutput.ROLLED_BACK, "rolled back", null)
                        .ready());
    }

    private void answer(ClientOutput out) {
        settled();
        send(out);
    }

    private void settled() {
        txn = null;
        since = side.now();
        side.hold(-holds);
        holds = 0;
    }

    private void send(ClientOutput out) {
        since = side.now();
        connection.send(out.bytes());
    }

    @Override
    public void written() {
        if (leaving) {
            return;
        }
        if (connection.unread()) {
            connection.offerAgain();
        } else if (txn == null && asked) {
            side.idles(this);
            if (side.closing()) {
                leave();
            }
        }
    }

    /** The last word: an error after which nothing more is taken. */
    private void end(String code, String text) {
        send(new ClientOutput().error(true, code, text, null));
        leave();
    }

    /** Takes nothing more; the client sees the end after the last answer. */
    void leave() {
        leaving = true;
        since = side.now();
        connection.finish();
    }

    /**
     * Called now and then: ends what has taken too long. A txn has its own time, which the module
     * keeps.
     */
    void overdue(Duration now) {
        if (wrote != connection.wrote()) {
            wrote = connection.wrote();
            since = now;
        }
        if (connection.unsent()
                ? past(since, WRITE_TIME, now)
                : leaving && past(since, LINGER, now)) {
            close();
        } else if (leaving || busy() || pausing) {
            return;
        } else if (!started && past(connectedAt, START_TIME, now)) {
            side.count("client silent");
            end(ClientOutput.MALFORMED, "no startup message in time");
        } else if (stuckSince != null && past(stuckSince, COMMAND_TIME, now)) {
            side.count("client stuck in a command");
            end(ClientOutput.MALFORMED, "no whole command in time");
        } else if (past(since, IDLE_TIME, now) && !side.mayIdle()) {
            leave();
        }
    }

    private static boolean past(Duration from, Duration time, Duration now) {
        return now.minus(from).compareTo(time) > 0;
    }

    /** It has had a query at least; one that has not may be about to ask. */
    boolean asked() {
        return asked;
    }

    ClientContext caller() {
        return caller;
    }

    boolean leaving() {
        return leaving;
    }

    /** It was told the end, or has said nothing for longer than the given time. */
    boolean ofNoUse(Duration now, Duration time) {
        return leaving && !connection.unsent() || !started && past(connectedAt, time, now);
    }

    void close() {
        connection.close();
        ended(0, false, null);
    }

    @Override
    public void full() {
        if (txn == null && !leaving) {
            // Nothing of it was sent on: trying again is harmless.
            side.count("client turned away for memory");
            end(ClientOutput.DECLINED, "no memory for this now");
        }
    }

    @Override
    public void ended(int unwritten, boolean orderly, String how) {
        if (txn != null) {
            side.lapsed(txn, id);
            settled();
        }
        side.left(this);
    }
}
