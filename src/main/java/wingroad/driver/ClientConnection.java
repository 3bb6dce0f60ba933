package wingroad.driver;

import java.nio.ByteBuffer;
import java.time.Duration;
import wingroad.door.Caller;
import wingroad.protocol.ClientInput;
import wingroad.protocol.ClientOutput;
import wingroad.protocol.Statement;
import wingroad.transport.Connection;

/**
 * One client's connection. Its commands are taken one after the other, each when the last is
 * answered. What it may take of the driver is bounded in bytes and in time; {@link #checkTimeouts}
 * says when its time is over.
 */
final class ClientConnection implements Connection.Owner, TxnDispatcher.TxnCallback {
    /**
     * A client is to be told within 3 s of its connecting; half of that leaves a second for the
     * end, see LINGER.
     */
    private static final Duration STARTUP_TIMEOUT = Duration.ofMillis(1500);

    /**
     * A command that has begun comes whole at once, or its client is stuck: the largest takes some
     * ms.
     */
    private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(1500);

    /**
     * A connection without a request may be closed after 2 s; those that ask once and stay must not
     * add up.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(2200);

    /**
     * A client that reads nothing at all for so long has gone, or never will; one that is slow may
     * take its time.
     */
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(3);

    /** So long a client that was told the end has to read it and to end its own side. */
    private static final Duration LINGER_TIMEOUT = Duration.ofSeconds(1);

    /** What a client that was told the end may still send before it is no longer read. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    /**
     * How many messages that come to nothing it may send between two queries: one batch of a
     * client's library at the most.
     */
    private static final int MAX_SKIPPED_MESSAGE_COUNT = 256;

    /**
     * After each command that could not be served the next one waits, twice as long each time, and
     * then it is over.
     */
    private static final Duration FIRST_ERROR_DELAY = Duration.ofMillis(10);

    private static final int MAX_REJECTED_COMMAND_COUNT = 8;

    private final ClientFrontend frontend;
    private final ClientInput input = new ClientInput();
    private Connection connection;
    private final int connectionNumber;
    private final Duration connectedAt;

    /** Since when it is as it is: answered, leaving. */
    private Duration lastProgressAt;

    /**
     * Since when it has not taken what it was sent, or sent a part of a command; null where neither
     * is so.
     */
    private Duration partialCommandSince;

    private boolean started;
    private boolean hasQueried;

    /** Who it is, where that is wanted. */
    private Caller caller;

    /** The txn that waits for its final answer, or null. */
    private String txn;

    /** The id of its statement. */
    private String statementId;

    /** Its txn is being handed over. */
    private boolean submitting;

    /** The size of its statement. */
    private int reservedBytes;

    /** After an extended-query message all is skipped up to its sync. */
    private boolean skippingToSync;

    /** How many of its messages came to nothing since its last query. */
    private int skippedMessageCount;

    /** How many of its commands could not be served. */
    private int rejectedCommandCount;

    private boolean delayed;

    /** Nothing more is taken; what was answered is still written. */
    private boolean finishing;

    private int discardedBytes;

    /** How many bytes had been written when it was last looked at. */
    private long writtenBytesAtLastCheck;

    ClientConnection(ClientFrontend frontend, Duration connectedAt, int connectionNumber) {
        this.frontend = frontend;
        this.connectedAt = connectedAt;
        this.lastProgressAt = connectedAt;
        this.connectionNumber = connectionNumber;
    }

    void begin(Connection connection) {
        this.connection = connection;
        connection.begin();
    }

    /** It has a txn, an answer that is not written yet, or a command that was not looked at yet. */
    boolean busy() {
        return txn != null
                || submitting
                || connection.unsent()
                || connection.unread() && partialCommandSince == null && !delayed && !finishing;
    }

    /**
     * A part of a command has come, and nothing else is under way: cut off now, its client would
     * not know how far it came.
     */
    boolean inCommand() {
        return partialCommandSince != null && connection.unread() && !finishing;
    }

    @Override
    public boolean takes() {
        return finishing || txn == null && !delayed && !connection.unsent();
    }

    @Override
    public void bytes(ByteBuffer in) {
        if (finishing) {
            discardedBytes += in.remaining();
            in.position(in.limit());
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                connection.readNoMore();
            }
            return;
        }
        // One that does not read its answers gets no further ones: at most one waits to be written.
        while (txn == null && !finishing && !delayed && !connection.unsent()) {
            ClientInput.Message message = input.next(in);
            if (message == null) {
                boolean isPartial = in.hasRemaining();
                partialCommandSince =
                        !isPartial
                                ? null
                                : partialCommandSince == null
                                        ? frontend.now()
                                        : partialCommandSince;
                return;
            }
            partialCommandSince = null;
            handle(message);
        }
    }

    private void handle(ClientInput.Message message) {
        switch (message.kind()) {
            case STARTUP, NEWER_STARTUP -> {
                started = true;
                caller = frontend.caller(connection.from(), message.bytes());
                send(
                        new ClientOutput()
                                .welcome(
                                        message.kind() == ClientInput.Kind.NEWER_STARTUP,
                                        connectionNumber));
            }
            case ENCRYPTION -> send(new ClientOutput().noEncryption());
            case QUERY -> {
                if (!skippingToSync) {
                    handleQuery(message.bytes());
                }
            }
            case EXTENDED -> {
                if (!skippingToSync) {
                    skippingToSync = true;
                    rejectedCommandCount(
                            "extended query",
                            ClientOutput.UNSUPPORTED,
                            "only simple queries",
                            false);
                } else {
                    skipMessage();
                }
            }
            case SYNC -> {
                if (message.why() == null) {
                    skippingToSync = false;
                    send(new ClientOutput().ready());
                } else if (!skippingToSync) {
                    rejectedCommandCount(
                            "function call", ClientOutput.UNSUPPORTED, "no function calls", true);
                }
            }
            // rows for a copy that was never begun
            case SKIP -> skipMessage();
            case BROKEN -> {
                frontend.count("client " + message.why());
                sendFatalError(ClientOutput.MALFORMED, message.why());
            }
            default -> {
                finishing = true;
                close();
            }
        }
    }

    /** Guards the thread against a client that sends without end what nobody answers. */
    private void skipMessage() {
        if (++skippedMessageCount > MAX_SKIPPED_MESSAGE_COUNT) {
            frontend.count("client sends what is not asked for");
            sendFatalError(ClientOutput.MALFORMED, "too much that is no query");
        }
    }

    private void handleQuery(byte[] text) {
        hasQueried = true;
        skippedMessageCount = 0;
        if (isBlank(text)) {
            send(new ClientOutput().emptyQuery());
            return;
        }
        Statement.Parsed parsed = Statement.parse(text);
        String reason = parsed.why();
        String sqlState = ClientOutput.MALFORMED;
        Statement statement = parsed.statement();
        if (statement != null) {
            sqlState = ClientOutput.UNKNOWN_NAME;
            reason = frontend.rejectionReason(statement);
        }
        if (reason != null) {
            rejectedCommandCount("client " + reason, sqlState, reason, true);
            return;
        }
        statementId = statement.id();
        reservedBytes = text.length;
        frontend.reserveBytes(reservedBytes);
        submitting = true;
        txn = frontend.submit(statement, this);
        submitting = false;
        if (txn == null) {
            // Guards the txns under way at the descriptor limit: one that is not let in would wait
            // unseen.
            frontend.count("client declined for descriptors");
            declined(null);
        }
    }

    /**
     * Says what is wrong with a command. Guards against clients that send the same again as soon as
     * they are turned away: one that goes on so is asked to wait, longer each time, and at last is
     * let go.
     */
    private void rejectedCommandCount(
            String counter, String sqlState, String text, boolean withReady) {
        frontend.count(counter);
        if (++rejectedCommandCount >= MAX_REJECTED_COMMAND_COUNT) {
            sendFatalError(sqlState, text);
            return;
        }
        delayed = true;
        frontend.after(
                FIRST_ERROR_DELAY.multipliedBy(1L << rejectedCommandCount - 1),
                () -> {
                    delayed = false;
                    connection.offerAgain();
                });
        ClientOutput output = new ClientOutput().error(false, sqlState, text, null);
        send(withReady ? output.ready() : output);
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
        txnEnded();
        connection.send(ClientOutput.row(row));
    }

    @Override
    public void declined(Duration retryAfter) {
        frontend.count("DECLINED");
        String retryAfterMs =
                retryAfter == null ? null : Long.toString(Math.max(1, retryAfter.toMillis()));
        sendFinalAnswer(
                new ClientOutput()
                        .error(false, ClientOutput.DECLINED, "declined", retryAfterMs)
                        .ready());
    }

    @Override
    public void rolledBack() {
        frontend.count("ROLLED BACK");
        sendFinalAnswer(
                new ClientOutput()
                        .error(false, ClientOutput.ROLLED_BACK, "rolled back", null)
                        .ready());
    }

    private void sendFinalAnswer(ClientOutput output) {
        txnEnded();
        send(output);
    }

    private void txnEnded() {
        txn = null;
        lastProgressAt = frontend.now();
        frontend.reserveBytes(-reservedBytes);
        reservedBytes = 0;
    }

    private void send(ClientOutput output) {
        lastProgressAt = frontend.now();
        connection.send(output.bytes());
    }

    @Override
    public void written() {
        if (finishing) {
            return;
        }
        if (connection.unread()) {
            connection.offerAgain();
        } else if (txn == null && hasQueried) {
            frontend.becameIdle(this);
            if (frontend.closing()) {
                finish();
            }
        }
    }

    /** The last word: an error after which nothing more is taken. */
    private void sendFatalError(String sqlState, String text) {
        send(new ClientOutput().error(true, sqlState, text, null));
        finish();
    }

    /** Takes nothing more; the client sees the end after the last answer. */
    void finish() {
        finishing = true;
        lastProgressAt = frontend.now();
        connection.finish();
    }

    /**
     * Called now and then: ends what has taken too long. A txn has its own time, which the module
     * keeps.
     */
    void checkTimeouts(Duration now) {
        if (writtenBytesAtLastCheck != connection.wrote()) {
            writtenBytesAtLastCheck = connection.wrote();
            lastProgressAt = now;
        }
        if (connection.unsent()
                ? hasElapsed(lastProgressAt, WRITE_TIMEOUT, now)
                : finishing && hasElapsed(lastProgressAt, LINGER_TIMEOUT, now)) {
            close();
        } else if (finishing || busy() || delayed) {
            return;
        } else if (!started && hasElapsed(connectedAt, STARTUP_TIMEOUT, now)) {
            frontend.count("client silent");
            sendFatalError(ClientOutput.MALFORMED, "no startup message in time");
        } else if (partialCommandSince != null
                && hasElapsed(partialCommandSince, COMMAND_TIMEOUT, now)) {
            frontend.count("client stuck in a command");
            sendFatalError(ClientOutput.MALFORMED, "no whole command in time");
        } else if (hasElapsed(lastProgressAt, IDLE_TIMEOUT, now) && !frontend.mayStayIdle()) {
            finish();
        }
    }

    private static boolean hasElapsed(Duration start, Duration limit, Duration now) {
        return now.minus(start).compareTo(limit) > 0;
    }

    /** It has had a query at least; one that has not may be about to ask. */
    boolean hasQueried() {
        return hasQueried;
    }

    Caller caller() {
        return caller;
    }

    boolean finishing() {
        return finishing;
    }

    /** It was told the end, or has said nothing for longer than the given time. */
    boolean isDispensable(Duration now, Duration silentLimit) {
        return finishing && !connection.unsent()
                || !started && hasElapsed(connectedAt, silentLimit, now);
    }

    void close() {
        connection.close();
        ended(0, false, null);
    }

    @Override
    public void full() {
        if (txn == null && !finishing) {
            // Nothing of it was sent on: trying again is harmless.
            frontend.count("client turned away for memory");
            sendFatalError(ClientOutput.DECLINED, "no memory for this now");
        }
    }

    @Override
    public void ended(int unwritten, boolean orderly, String reason) {
        if (txn != null) {
            frontend.abandon(txn, statementId);
            txnEnded();
        }
        frontend.connectionClosed(this);
    }
}
