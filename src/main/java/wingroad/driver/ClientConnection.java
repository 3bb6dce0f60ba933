package wingroad.driver;

import wingroad.door.ClientContext;
import wingroad.protocol.ClientMessageDecoder;
import wingroad.protocol.ClientMessageEncoder;
import wingroad.protocol.Statement;
import wingroad.transport.Connection;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;

/**
 * One client's connection. Its commands are processed one after the other, each once the previous
 * one is answered. Its use of memory and time is bounded; {@link #checkTimeouts} enforces the time
 * limits.
 */
final class ClientConnection
        implements Connection.Handler, TxnDispatcher.TxnCallback, ConnectionEnding.Subject {
    /**
     * How long the startup message may take. A client must be told of the end within 3 s of its
     * connect; this leaves time for {@link #LINGER_TIMEOUT}.
     */
    private static final Duration STARTUP_TIMEOUT = Duration.ofMillis(1500);

    /**
     * How long a command may take from its first byte to its last. The largest one takes a few
     * milliseconds, so a client that exceeds this is stuck.
     */
    private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(1500);

    /**
     * After how long an idle connection is closed; clients allow this after 2 s. Guards against an
     * accumulation of clients that query once and stay connected.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(2200);

    /**
     * How long a client may read nothing at all before it is taken as gone; one that reads slowly
     * is not limited.
     */
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(3);

    /**
     * After how long without any progress an unread answer may be given up if memory is short; a
     * client that reads makes progress with each round trip.
     */
    private static final Duration UNREAD_ANSWER_GRACE = Duration.ofMillis(500);

    /** How long a client has to end its side after the output was shut down. */
    private static final Duration LINGER_TIMEOUT = Duration.ofSeconds(1);

    /** How much input is discarded after the output was shut down; then reading stops. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    /**
     * How many ignored messages a client may send between two queries; a client library's largest
     * batch stays below it.
     */
    private static final int MAX_SKIPPED_MESSAGE_COUNT = 256;

    /**
     * How long the next command is left unread after the first rejected one; doubles with each
     * further one. The error itself is sent at once.
     */
    private static final Duration FIRST_REJECTION_DELAY = Duration.ofMillis(10);

    /**
     * Interval of notices to a client whose end could not be read. The first one after its end
     * makes its system reset the connection, and the next one finds that out, well within the 100
     * ms after which nothing may be sent for a client that has gone.
     */
    private static final Duration PRESENCE_CHECK_INTERVAL = Duration.ofMillis(25);

    /** Answers to commands that are declined together are written when they reach this size. */
    private static final int MAX_BATCH_BYTES = 32 * 1024;

    /**
     * How much input is still answered on a connection that ends for its client's fault: all that
     * may have been read before the end was decided.
     */
    private static final int MAX_DECLINED_BYTES =
            ClientMessageDecoder.MAX_MESSAGE_BYTES + MAX_DISCARDED_BYTES;

    /** With this many rejected commands the connection is closed. */
    private static final int MAX_REJECTED_COMMAND_COUNT = 8;

    private final ClientFrontend frontend;
    private final ClientMessageDecoder input = new ClientMessageDecoder();
    private Connection connection;
    private final int connectionNumber;
    private final ClientConnectionLog log;
    private final ConnectionEnding ending;
    private final Duration connectedAt;

    /** When it last sent an answer, made progress in writing, or began to finish. */
    private Duration lastProgressAt;

    /** When its last query was read. */
    private Duration lastArrivalAt = Duration.ZERO;

    /** Since when a part of a command has been waiting for the rest; null if none is. */
    private Duration partialCommandSince;

    private boolean started;
    private boolean hasQueried;

    /** The parameters of its startup message that may name its tenant. */
    private Map<String, String> tenantParameters;

    /** Null if tenants are not told apart, or have not been since its last txn. */
    private ClientContext clientContext;

    /** The dispatcher's name of the txn that waits for its final answer, or null. */
    private String txn;

    /** The txn's statement, or null. */
    private Statement statement;

    /** The text of a large statement that waits to be parsed, or null. */
    private byte[] queuedText;

    /** A txn is being submitted to the dispatcher and has no name yet. */
    private boolean submitting;

    /** The command that was read last has no answer yet. */
    private boolean answerOwed;

    /** The size of the txn's statement, counted against the driver's memory limit. */
    private int reservedBytes;

    /** After a rejected extended-query message, messages are ignored up to the next Sync. */
    private boolean skippingToSync;

    /** How many messages were ignored since the last query. */
    private int skippedMessageCount;

    private int rejectedCommandCount;

    /** The next command is delayed after a rejected one. */
    private boolean delayed;

    /** No more commands are processed; pending output is still written. */
    private boolean finishing;

    private int discardedBytes;

    /** How many bytes of commands were declined while the connection is ending. */
    private int declinedBytes;

    /** Gathers the answers to commands that are declined together; null at other times. */
    private ClientMessageEncoder answerBatch;

    /** The client's presence will be checked. */
    private boolean presenceCheckScheduled;

    /** How many bytes had been written at the last timeout check. */
    private long writtenBytesAtLastCheck;

    ClientConnection(ClientFrontend frontend, Duration connectedAt, int connectionNumber) {
        this.frontend = frontend;
        this.connectedAt = connectedAt;
        this.lastProgressAt = connectedAt;
        this.connectionNumber = connectionNumber;
        this.log = new ClientConnectionLog(frontend, connectionNumber);
        this.ending = new ConnectionEnding(frontend, this);
    }

    void begin(Connection connection) {
        this.connection = connection;
        connection.startReading();
    }

    /** Whether it has a txn, unwritten output, or an unprocessed command. */
    boolean busy() {
        return txn != null
                || submitting
                || queuedText != null
                || connection.hasUnsentBytes()
                || connection.hasUnreadBytes() && partialCommandSince == null && !finishing;
    }

    /**
     * Whether only a part of a command has arrived. If the connection were closed now, the client
     * could not tell whether its command was processed.
     */
    boolean inCommand() {
        return partialCommandSince != null && connection.hasUnreadBytes() && !finishing;
    }

    @Override
    public boolean acceptsInput() {
        return finishing || !leavesInputUnread() && !connection.hasUnsentBytes();
    }

    @Override
    public void onInputFull() {
        if (leavesInputUnread() && !presenceCheckScheduled) {
            presenceCheckScheduled = true;
            frontend.after(PRESENCE_CHECK_INTERVAL, this::checkPresence);
        }
    }

    /** Whether the next command stays unread until this one is answered or the delay is over. */
    private boolean leavesInputUnread() {
        return txn != null || queuedText != null || delayed;
    }

    /**
     * Sends a notice to a client that has sent more ahead than is read, so that its end behind that
     * can't be read: writing to a client that has gone fails.
     */
    private void checkPresence() {
        presenceCheckScheduled = false;
        if (!leavesInputUnread() || !connection.isInputFull()) {
            return;
        }
        if (!connection.hasUnsentBytes()) {
            connection.send(new ClientMessageEncoder().notice("in progress").toByteBuffer());
        }
        onInputFull();
    }

    @Override
    public void onBytes(ByteBuffer in) {
        if (finishing) {
            discardedBytes += in.remaining();
            in.position(in.limit());
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                connection.stopReading();
            }
            return;
        }
        if (connection.hasUnsentBytes()) {
            // At most one answer, or one batch, waits to be written: a client that does not read
            // gets no further ones.
            return;
        }
        if (declinesCommands()) {
            int start = in.position();
            answerBatch = new ClientMessageEncoder();
            processMessages(in);
            sendBatch();
            declinedBytes += in.position() - start;
            if (!finishing && declinedBytes > MAX_DECLINED_BYTES && !frontend.declinesAll()) {
                ending.finishNow(ConnectionEnd.TOO_MANY_REJECTED);
            }
        } else {
            processMessages(in);
        }
    }

    private void processMessages(ByteBuffer in) {
        while (!leavesInputUnread() && !finishing && mayAnswer()) {
            ClientMessageDecoder.Message message = input.next(in);
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
            runAnswering(() -> handle(message));
        }
    }

    /** Runs a step in the handling of a command; if it fails, the client gets an error. */
    private void runAnswering(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError error) {
            frontend.reportUnexpectedError(error);
            if (txn == null) {
                answerFailed();
            }
        }
    }

    /** Answers the command that was read last with an error, unless it has its answer. */
    @Override
    public void answerFailed() {
        if (answerOwed) {
            queuedText = null;
            submitting = false;
            sendFinalAnswer(
                    new ClientMessageEncoder()
                            .errorResponse(
                                    false,
                                    ClientMessageEncoder.INTERNAL_ERROR,
                                    "internal error",
                                    null)
                            .readyForQuery());
        }
    }

    private boolean mayAnswer() {
        return answerBatch == null
                ? !connection.hasUnsentBytes()
                : answerBatch.size() < MAX_BATCH_BYTES;
    }

    /** Whether commands are declined at once, since the connection is about to end. */
    private boolean declinesCommands() {
        return frontend.declinesAll() || ending.declinesCommands();
    }

    private void sendBatch() {
        ClientMessageEncoder batch = answerBatch;
        answerBatch = null;
        if (batch != null && batch.size() > 0) {
            send(batch);
        }
    }

    private void handle(ClientMessageDecoder.Message message) {
        switch (message.kind()) {
            case STARTUP, STARTUP_NEWER_MINOR -> {
                started = true;
                tenantParameters = ClientFrontend.tenantParameters(message.body());
                send(
                        new ClientMessageEncoder()
                                .startupComplete(
                                        message.kind()
                                                == ClientMessageDecoder.Kind.STARTUP_NEWER_MINOR,
                                        connectionNumber));
            }
            case ENCRYPTION_REQUEST -> send(new ClientMessageEncoder().encryptionRefused());
            case QUERY -> {
                if (skippingToSync) {
                    skipMessage();
                } else {
                    handleQuery(message.body());
                }
            }
            case EXTENDED_QUERY -> {
                if (!skippingToSync) {
                    skippingToSync = true;
                    rejectCommand(
                            "extended query",
                            ClientMessageEncoder.FEATURE_NOT_SUPPORTED,
                            "only simple queries",
                            false);
                } else {
                    skipMessage();
                }
            }
            case SYNC -> {
                if (message.reason() == null) {
                    skippingToSync = false;
                    send(new ClientMessageEncoder().readyForQuery());
                } else if (!skippingToSync) {
                    rejectCommand(
                            "function call",
                            ClientMessageEncoder.FEATURE_NOT_SUPPORTED,
                            "no function calls",
                            true);
                }
            }
            // CopyData and the like without a copy in progress
            case IGNORED -> skipMessage();
            case MALFORMED -> {
                frontend.count("client " + message.reason());
                // Nothing can be decoded behind it.
                finish(
                        ConnectionEnd.MALFORMED_INPUT,
                        fatalError(ClientMessageEncoder.PROTOCOL_VIOLATION, message.reason()));
            }
            default -> {
                finishing = true;
                close(ConnectionEnd.CLIENT_TERMINATED);
            }
        }
    }

    /** Guards the event loop against a client that sends ignored messages without end. */
    private void skipMessage() {
        if (++skippedMessageCount > MAX_SKIPPED_MESSAGE_COUNT) {
            frontend.count("client sent too many ignored messages");
            end(
                    ConnectionEnd.TOO_MANY_IGNORED,
                    fatalError(
                            ClientMessageEncoder.PROTOCOL_VIOLATION, "too much that is no query"));
        }
    }

    private void handleQuery(byte[] text) {
        hasQueried = true;
        lastArrivalAt = frontend.now();
        answerOwed = true;
        skippedMessageCount = 0;
        if (isBlank(text)) {
            send(new ClientMessageEncoder().emptyQueryResponse());
            return;
        }
        if (declinesCommands()) {
            declined(null);
            return;
        }
        if (!frontend.makeRoomForStatement(text.length)) {
            // Nothing was submitted, so a retry is safe.
            frontend.count("client declined for lack of memory");
            declined(null);
            return;
        }
        reservedBytes = text.length;
        frontend.reserveBytes(reservedBytes);
        if (text.length > ClientFrontend.LARGE_STATEMENT_BYTES) {
            queuedText = text;
            frontend.executeInTurn(this::handleQueuedStatement);
        } else {
            handleStatement(text);
        }
    }

    /** Handles the large statement that was queued; does nothing if the connection has ended. */
    private void handleQueuedStatement() {
        if (queuedText != null) {
            byte[] text = queuedText;
            queuedText = null;
            if (declinesCommands()) {
                declined(null);
            } else {
                runAnswering(() -> handleStatement(text));
            }
            connection.redeliver();
        }
    }

    private void handleStatement(byte[] text) {
        Statement.Parsed parsed = Statement.parse(text);
        String reason = parsed.error();
        String sqlState = ClientMessageEncoder.PROTOCOL_VIOLATION;
        if (parsed.statement() != null) {
            sqlState = ClientMessageEncoder.UNDEFINED_OBJECT;
            reason = frontend.rejectionReason(parsed.statement());
        }
        if (reason != null) {
            releaseReservedBytes();
            rejectCommand("client " + reason, sqlState, reason, true);
            return;
        }
        statement = parsed.statement();
        submitting = true;
        txn = frontend.submit(statement, this);
        submitting = false;
        if (txn == null) {
            declined(null);
        }
    }

    /**
     * Rejects a command with an error. Guards against clients that repeat a rejected command at
     * once: the next command is delayed, for longer each time, and finally the connection is
     * closed.
     */
    private void rejectCommand(String counter, String sqlState, String text, boolean withReady) {
        frontend.count(counter);
        log.rejected(text);
        if (++rejectedCommandCount >= MAX_REJECTED_COMMAND_COUNT) {
            // Commands behind this one are declined first, so that each has an error.
            end(ConnectionEnd.TOO_MANY_REJECTED, fatalError(sqlState, text));
            return;
        }
        ClientMessageEncoder output =
                new ClientMessageEncoder().errorResponse(false, sqlState, text, null);
        send(withReady ? output.readyForQuery() : output);
        if (!declinesCommands()) {
            delayed = true;
            frontend.after(
                    FIRST_REJECTION_DELAY.multipliedBy(1L << rejectedCommandCount - 1),
                    this::endDelay);
        }
    }

    private void endDelay() {
        delayed = false;
        connection.redeliver();
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
        frontend.mayHaveRun(statement);
        ByteBuffer response = ClientMessageEncoder.rowResponse(row);
        txnEnded();
        answerOwed = false;
        connection.send(response);
    }

    @Override
    public void declined(Duration retryAfter) {
        frontend.count("DECLINED");
        log.refused(statement, "declined", sinceArrival());
        String retryAfterMs =
                retryAfter == null ? null : Long.toString(Math.max(1, retryAfter.toMillis()));
        sendFinalAnswer(
                new ClientMessageEncoder()
                        .errorResponse(
                                false, ClientMessageEncoder.DECLINED, "declined", retryAfterMs)
                        .readyForQuery());
    }

    @Override
    public void rolledBack() {
        frontend.mayHaveRun(statement);
        frontend.count("ROLLED BACK");
        log.refused(statement, "rolled back", sinceArrival());
        sendFinalAnswer(
                new ClientMessageEncoder()
                        .errorResponse(false, ClientMessageEncoder.ROLLED_BACK, "rolled back", null)
                        .readyForQuery());
    }

    private Duration sinceArrival() {
        return frontend.now().minus(lastArrivalAt);
    }

    private void sendFinalAnswer(ClientMessageEncoder output) {
        txnEnded();
        send(output);
    }

    private void txnEnded() {
        txn = null;
        statement = null;
        lastProgressAt = frontend.now();
        releaseReservedBytes();
    }

    private void releaseReservedBytes() {
        frontend.reserveBytes(-reservedBytes);
        reservedBytes = 0;
    }

    private void send(ClientMessageEncoder output) {
        lastProgressAt = frontend.now();
        answerOwed = false;
        if (answerBatch != null) {
            answerBatch.append(output);
        } else {
            connection.send(output.toByteBuffer());
        }
    }

    @Override
    public void onAllWritten() {
        if (finishing) {
            return;
        }
        if (connection.hasUnreadBytes()) {
            connection.redeliver();
        } else if (txn == null && hasQueried) {
            // Nothing is being read if there was no memory for it.
            connection.startReading();
            frontend.becameIdle(this);
            if (frontend.closing()) {
                end(ConnectionEnd.STOP);
            }
        }
        ending.scheduleCheck();
    }

    private static ClientMessageEncoder fatalError(String sqlState, String text) {
        return new ClientMessageEncoder().errorResponse(true, sqlState, text, null);
    }

    /** Ends the connection once all commands that were read are answered. */
    void end(ConnectionEnd reason) {
        end(reason, null);
    }

    private void end(ConnectionEnd reason, ClientMessageEncoder lastMessage) {
        if (!finishing) {
            ending.decide(reason, lastMessage);
        }
    }

    /** Declines all further commands at once, and ends the connection behind the last one. */
    void declineAndEnd() {
        delayed = false;
        end(ConnectionEnd.STOP);
        connection.redeliver();
    }

    /** Closes the connection for its descriptor, unless a command has been received meanwhile. */
    void releaseDescriptor() {
        if (finishing || frontend.closingChannelsAreMany()) {
            close(ConnectionEnd.DESCRIPTORS);
        } else {
            ending.releaseDescriptor();
        }
    }

    /** Whether its descriptor is about to be free. */
    boolean releasesDescriptor() {
        return ending.releasesDescriptor();
    }

    @Override
    public boolean isStillDue(ConnectionEnd reason) {
        return switch (reason) {
            case IDLE_TIMEOUT, IDLE_LIMIT -> !busy() && !inCommand();
            case DESCRIPTORS -> !busy();
            case STARTUP_TIMEOUT -> !started;
            case COMMAND_TIMEOUT -> !busy() && isCommandOverdue(frontend.now());
            default -> true;
        };
    }

    @Override
    public boolean isDrained(ConnectionEnd reason) {
        // At a stop the rest of a command is waited for; other reasons are faults of the client.
        return !busy() && !(inCommand() && reason == ConnectionEnd.STOP);
    }

    @Override
    public Duration lastProgressAt() {
        return lastProgressAt;
    }

    private boolean isCommandOverdue(Duration now) {
        return partialCommandSince != null && hasElapsed(partialCommandSince, COMMAND_TIMEOUT, now);
    }

    /** Ends the connection with what is being written, whatever else was read. */
    void finishNow(ConnectionEnd reason) {
        ending.finishNow(reason);
    }

    /** Processes no more commands; the output is shut down after the last answer. */
    @Override
    public void finish(ConnectionEnd reason, ClientMessageEncoder lastMessage) {
        sendBatch();
        if (lastMessage != null) {
            send(lastMessage);
        }
        logEnd(reason, null);
        ending.clear();
        finishing = true;
        lastProgressAt = frontend.now();
        connection.shutdownOutput();
    }

    /**
     * Ends the connection if a time limit is exceeded; called periodically. The time limit of a txn
     * is kept by the router.
     */
    void checkTimeouts(Duration now) {
        if (writtenBytesAtLastCheck != connection.writtenBytes()) {
            writtenBytesAtLastCheck = connection.writtenBytes();
            lastProgressAt = now;
        }
        if (connection.hasUnsentBytes()
                ? hasElapsed(lastProgressAt, WRITE_TIMEOUT, now)
                : finishing && hasElapsed(lastProgressAt, LINGER_TIMEOUT, now)) {
            close(finishing ? ConnectionEnd.LINGER_TIMEOUT : ConnectionEnd.UNREAD_ANSWER_TIMEOUT);
        } else if (finishing || busy() || delayed) {
            return;
        } else if (!started && hasElapsed(connectedAt, STARTUP_TIMEOUT, now)) {
            frontend.count("client startup timed out");
            end(
                    ConnectionEnd.STARTUP_TIMEOUT,
                    fatalError(
                            ClientMessageEncoder.PROTOCOL_VIOLATION, "no startup message in time"));
        } else if (isCommandOverdue(now)) {
            frontend.count("client command timed out");
            end(
                    ConnectionEnd.COMMAND_TIMEOUT,
                    fatalError(
                            ClientMessageEncoder.PROTOCOL_VIOLATION, "no whole command in time"));
        } else if (partialCommandSince == null
                && hasElapsed(lastProgressAt, IDLE_TIMEOUT, now)
                && !frontend.mayStayIdle()) {
            end(ConnectionEnd.IDLE_TIMEOUT);
        }
    }

    /**
     * How much memory would be free if the connection was closed now; 0 if that would lose anything
     * that is still going on: only a command that has not arrived whole may be given up, an answer
     * that the client does not read, or what follows the last answer.
     */
    int reclaimableBytes(Duration now) {
        if (inCommand() || finishing && !connection.hasUnsentBytes()) {
            return connection.inputBufferBytes();
        }
        return connection.hasUnsentBytes() && hasElapsed(lastProgressAt, UNREAD_ANSWER_GRACE, now)
                ? connection.unsentBytes()
                : 0;
    }

    /** Since when its command has been unfinished, or else its answer unread. */
    Duration stalledSince() {
        return inCommand() ? partialCommandSince : lastProgressAt;
    }

    /** Ends the connection for its {@link #reclaimableBytes}. */
    void closeForMemory() {
        ConnectionEnd end =
                inCommand() ? ConnectionEnd.MEMORY_OF_COMMAND : ConnectionEnd.MEMORY_OF_ANSWER;
        if (inCommand()) {
            // Nothing of the command was submitted, so a retry is safe.
            frontend.count("client command given up for its memory");
            connection.send(
                    new ClientMessageEncoder()
                            .errorResponse(
                                    true,
                                    ClientMessageEncoder.DECLINED,
                                    "no memory for this now",
                                    null)
                            .toByteBuffer());
        } else if (connection.hasUnsentBytes()) {
            frontend.count("unread answer given up for its memory");
        }
        close(end);
    }

    private static boolean hasElapsed(Duration start, Duration limit, Duration now) {
        return now.minus(start).compareTo(limit) > 0;
    }

    /** Whether it has sent a query; one that has not may be about to send its first. */
    boolean hasQueried() {
        return hasQueried;
    }

    /** Identifies the client to the fair queues; null if tenants are not told apart. */
    ClientContext clientContext() {
        if (clientContext == null) {
            clientContext = frontend.clientContext(connection.remoteHost(), tenantParameters);
        }
        return clientContext;
    }

    boolean finishing() {
        return finishing;
    }

    /** Whether its end is decided, or has come. */
    boolean isEnding() {
        return finishing || ending.isDecided();
    }

    /** Whether its output was shut down, or it sent no startup message within the limit. */
    boolean isDispensable(Duration now, Duration silentLimit) {
        return finishing && !connection.hasUnsentBytes()
                || !started && hasElapsed(connectedAt, silentLimit, now);
    }

    /** Whether it has started up, and has sent nothing of a query for so long. */
    boolean isSilentSinceStartup(Duration now, Duration silence) {
        return started
                && !hasQueried
                && !connection.hasUnreadBytes()
                && hasElapsed(lastProgressAt, silence, now);
    }

    @Override
    public void close(ConnectionEnd end) {
        logEnd(end, null);
        connection.close();
        closed();
    }

    @Override
    public void onInputMemoryExhausted() {
        if (!finishing && acceptsInput()) {
            // Only a part of a command was read, and nothing of it submitted: a retry is safe.
            frontend.count("client declined for lack of memory");
            end(
                    ConnectionEnd.INPUT_MEMORY,
                    fatalError(ClientMessageEncoder.DECLINED, "no memory for this now"));
        }
    }

    @Override
    public void onClosed(int unwritten, boolean orderly, String reason) {
        logEnd(orderly ? ConnectionEnd.CLIENT_CLOSED : ConnectionEnd.CONNECTION_FAILED, reason);
        closed();
    }

    private void logEnd(ConnectionEnd end, String detail) {
        log.ended(
                end,
                detail,
                ClientConnectionLog.unanswered(
                        started ? connection : null, statement, queuedText != null));
    }

    private void closed() {
        ending.clear();
        if (txn != null) {
            frontend.abandon(txn, statement);
            txnEnded();
        }
        queuedText = null;
        releaseReservedBytes();
        frontend.connectionClosed(this);
    }
}
