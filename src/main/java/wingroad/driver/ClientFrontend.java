package wingroad.driver;

import wingroad.door.ClientContext;
import wingroad.door.FairQueueSettings;
import wingroad.protocol.ClientMessageDecoder;
import wingroad.protocol.Statement;
import wingroad.transport.EventLoop;
import wingroad.transport.Listener;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Accepts client connections, bounds their number, and hands their txns to the dispatcher with the
 * txn type and group that they name.
 */
final class ClientFrontend {
    /** The startup parameters that may name a client's tenant. */
    private static final Set<String> TENANT_PARAMETERS =
            Set.of("user", "database", "application_name");

    /** Longer names of tenants are cut to this length. */
    private static final int MAX_NAME_CHARS = 128;

    /** Fewer than the descriptors that are left to the process itself. */
    private static final int MAX_CLOSING_CHANNELS = 8;

    /** How long the polling thread gets to hand over what the system has received. */
    private static final Duration READ_GRACE = Duration.ofMillis(5);

    /** How often it gets that anew at most, where the process is held up again and again. */
    private static final int MAX_READ_GRACES = 4;

    private static final Duration TIMEOUT_CHECK_INTERVAL = Duration.ofMillis(100);

    /**
     * Clients may hold a third of the descriptors; idle connections above a quarter are closed, so
     * that no client is left without a connection.
     */
    private static final int CLIENT_CHANNELS_DIVISOR = 4;

    /** An eighth of the descriptors is reserved for members. */
    private static final int MEMBER_RESERVE_DIVISOR = 8;

    /** What a connection's input may buffer beyond the longest message. */
    private static final int BUFFER_MARGIN_BYTES = 1024;

    /**
     * Longer statements are parsed one by one, with the event loop's other work between them:
     * parsing one may take milliseconds.
     */
    static final int LARGE_STATEMENT_BYTES = 8 * 1024;

    /** Statements up to this length are accepted even if memory is short. */
    private static final int SHORT_STATEMENT_BYTES = 1024;

    /**
     * When descriptors run out, a connection that has sent no startup message for this long is
     * closed first.
     */
    private static final Duration SILENT_CLIENT_GRACE = Duration.ofMillis(50);

    /**
     * When descriptors run out, a connection that has sent no query for this long after its startup
     * is closed before any that has.
     */
    private static final Duration LONG_SILENCE = Duration.ofMillis(500);

    /** The same for one that is closed only if there is no other. */
    private static final Duration SHORT_SILENCE = Duration.ofMillis(100);

    private final EventLoop loop;
    private final TxnDispatcher dispatcher;
    private final Counters counters;
    private final List<String> typeNames;
    private final boolean[] isUpdateType;
    private final boolean[] readsOwnWrites;
    private final boolean tracksSessions;
    private final Duration longestExpiry;
    private final KnownGroups groups;

    /** Ordered by the time of their last answer, the least recent first. */
    private final LinkedHashSet<ClientConnection> connections = new LinkedHashSet<>();

    private final StatementIds statementIds;

    /** Says where tenants' names are found, or null if tenants are not told apart. */
    private FairQueueSettings fairQueueSettings;

    /** See {@link #limitSystemBuffers}; 0 for the system's default. */
    private int systemBufferBytes;

    private Listener listener;
    private boolean acceptingStarted;
    private int lastConnectionNumber;
    private boolean closing;

    /** {@link #declineAll} was called: a connection accepted later ends at once. */
    private boolean decliningAll;

    /** Idle connections are not closed, see {@link #keepIdleConnections}. */
    private boolean keepIdleOpen;

    ClientFrontend(
            EventLoop loop,
            TxnDispatcher dispatcher,
            Counters counters,
            List<String> typeNames,
            Map<String, Object> routerSettings,
            KnownGroups groups) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.counters = counters;
        this.typeNames = typeNames;
        this.groups = groups;
        this.isUpdateType = new boolean[typeNames.size()];
        this.readsOwnWrites = new boolean[typeNames.size()];
        boolean anyReadsOwnWrites = false;
        Duration longestFound = Duration.ZERO;
        for (int i = 0; i < typeNames.size(); i++) {
            Object reads = routerSettings.get("txn-type." + i + ".reads");
            isUpdateType[i] = "update".equals(reads);
            readsOwnWrites[i] = "own-writes".equals(reads);
            anyReadsOwnWrites |= readsOwnWrites[i];
            Duration expiry = (Duration) routerSettings.get("txn-type." + i + ".expiry");
            longestFound = expiry.compareTo(longestFound) > 0 ? expiry : longestFound;
        }
        this.tracksSessions = anyReadsOwnWrites;
        this.longestExpiry = longestFound;
        this.statementIds = new StatementIds(longestFound);
        loop.setInputReclaimer(this::reclaimInput);
    }

    /**
     * Bounds what the system may hold of what each client has sent and the driver has not read, and
     * of what the client has not read; to be called before {@link #bind}.
     */
    void limitSystemBuffers(int bytesPerConnection) {
        systemBufferBytes = bytesPerConnection;
    }

    /** Binds the address and accepts clients at once. */
    void listen(InetSocketAddress address) throws IOException {
        bind(address);
        startAccepting();
    }

    /** Binds the address; clients wait in the backlog until {@link #startAccepting}. */
    void bind(InetSocketAddress address) throws IOException {
        listener =
                new Listener(
                        loop,
                        address,
                        ClientMessageDecoder.MAX_MESSAGE_BYTES + BUFFER_MARGIN_BYTES,
                        systemBufferBytes,
                        this::mayAccept,
                        accepted -> {
                            ClientConnection connection =
                                    new ClientConnection(
                                            this, dispatcher.now(), ++lastConnectionNumber);
                            connections.add(connection);
                            connection.begin(accepted.apply(connection));
                            if (decliningAll) {
                                // Accepted while all other connections were ending.
                                connection.end(ConnectionEnd.STOP);
                            }
                        });
    }

    void startAccepting() {
        if (!acceptingStarted) {
            acceptingStarted = true;
            listener.acceptNext();
            checkTimeouts();
        }
    }

    /** Identifies the client of each txn to the fair queues from now on, as these settings say. */
    void identifyClients(FairQueueSettings settings) {
        fairQueueSettings = settings;
    }

    /** Those parameters of a startup message that may name a tenant. */
    static Map<String, String> tenantParameters(byte[] startupBody) {
        return ClientMessageDecoder.startupParameters(
                startupBody, TENANT_PARAMETERS, MAX_NAME_CHARS);
    }

    /**
     * Identifies a client by its address and the startup parameters that may name its tenant; null
     * if tenants are not told apart.
     */
    ClientContext clientContext(String address, Map<String, String> tenantParameters) {
        return fairQueueSettings == null ? null : new ClientContext(address, tenantParameters);
    }

    /** The tenant's name for this txn, or null if the client's address is used instead. */
    private String tenantName(Statement statement, ClientContext clientContext) {
        for (FairQueueSettings.TenantNameSource source : fairQueueSettings.tenantNameSources()) {
            String name =
                    switch (source.type()) {
                        case COMMENT -> statement.commentValue(source.parameterName());
                        case STARTUP -> clientContext.startupParameter(source.parameterName());
                        case ADDRESS -> null;
                    };
            if (name != null) {
                return name.substring(0, Math.min(name.length(), MAX_NAME_CHARS));
            }
        }
        return null;
    }

    private void checkTimeouts() {
        Duration now = dispatcher.now();
        checkTimeoutsAt(now);
        statementIds.expire(now);
        // A connection may have become expendable by the time alone.
        listener.acceptNext();
        loop.schedule(TIMEOUT_CHECK_INTERVAL, this::checkTimeouts);
    }

    /** Ends the connections whose time limits are exceeded at this time. */
    void checkTimeoutsAt(Duration now) {
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.checkTimeouts(now);
        }
    }

    void after(Duration delay, Runnable task) {
        loop.schedule(delay, task);
    }

    Duration now() {
        return dispatcher.now();
    }

    InetSocketAddress localAddress() throws IOException {
        return listener.localAddress();
    }

    /**
     * Whether another client may be accepted. If only the members' reserve of descriptors is left,
     * the longest idle client connection is closed, then an idle member connection. If there is
     * neither, clients are accepted from half of that reserve, but only to be declined.
     */
    private boolean mayAccept() {
        return !isOutOfChannels() || loop.availableChannels() > 0;
    }

    /** Whether only the members' reserve of descriptors is left and no connection is idle. */
    private boolean isOutOfChannels() {
        while (loop.availableChannels() <= loop.maxChannels() / MEMBER_RESERVE_DIVISOR) {
            if (!closeIdleConnection() && !dispatcher.closeSpareMemberConnection()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Closes the connection that is missed least: a dispensable one, one that has been silent since
     * its startup for long, the longest idle one between two queries or, where there is none, one
     * that has been silent since its startup for a while. Returns false if there is none of these.
     * The first query of a connection that has just started up may be on the way.
     */
    boolean closeIdleConnection() {
        Duration now = dispatcher.now();
        ClientConnection victim = null;
        Expendability least = Expendability.KEPT;
        for (ClientConnection connection : connections) {
            Expendability expendability = expendability(connection, now);
            if (expendability.compareTo(least) < 0) {
                victim = connection;
                least = expendability;
            }
        }
        if (victim != null) {
            counters.count(least.counter);
            victim.releaseDescriptor();
        }
        return victim != null;
    }

    /** How soon a connection is closed to free a descriptor; the first ones go first. */
    private enum Expendability {
        DISPENSABLE("unused client connection closed to free a descriptor"),
        LONG_SILENT("silent client connection closed to free a descriptor"),
        IDLE("idle client connection closed to free a descriptor"),
        IDLE_IN_COMMAND("idle client connection closed to free a descriptor"),
        SILENT("silent client connection closed to free a descriptor"),
        KEPT("");

        final String counter;

        Expendability(String counter) {
            this.counter = counter;
        }
    }

    private static Expendability expendability(ClientConnection connection, Duration now) {
        if (connection.releasesDescriptor()) {
            return Expendability.KEPT;
        }
        if (connection.isDispensable(now, SILENT_CLIENT_GRACE)) {
            return Expendability.DISPENSABLE;
        }
        if (connection.busy()) {
            return Expendability.KEPT;
        }
        if (connection.hasQueried()) {
            return connection.inCommand() ? Expendability.IDLE_IN_COMMAND : Expendability.IDLE;
        }
        if (connection.isSilentSinceStartup(now, LONG_SILENCE)) {
            return Expendability.LONG_SILENT;
        }
        return connection.isSilentSinceStartup(now, SHORT_SILENCE)
                ? Expendability.SILENT
                : Expendability.KEPT;
    }

    /**
     * Closes the connection that holds the most memory for an unfinished command or an unread
     * answer, the oldest of several, if that is at least so many bytes; returns false if there is
     * none. Guards the memory for all others against clients that stop in the middle.
     */
    private boolean reclaimInput(int heldBytes) {
        Duration now = dispatcher.now();
        ClientConnection victim = null;
        int victimBytes = heldBytes;
        for (ClientConnection connection : connections) {
            int bytes = connection.reclaimableBytes(now);
            if (bytes > victimBytes
                    || bytes == victimBytes
                            && (victim == null
                                    || connection.stalledSince().compareTo(victim.stalledSince())
                                            < 0)) {
                victim = connection;
                victimBytes = bytes;
            }
        }
        if (victim != null) {
            victim.closeForMemory();
        }
        return victim != null;
    }

    /**
     * Why a statement does not fit this deployment, as the text for the client; null if it does.
     */
    String rejectionReason(Statement statement) {
        int typeIndex = typeNames.indexOf(statement.txnType());
        return typeIndex < 0
                ? "unknown c"
                : !groups.mayExist(statement.group())
                        ? "unknown cluster"
                        : statement.write() && !isUpdateType[typeIndex]
                                ? "a write as a type that reads"
                                : statementIds.isInUse(statement.id()) ? "an id in use" : null;
    }

    /**
     * Hands a statement to the dispatcher. Returns the txn's name, or null if it must be declined
     * at once because descriptors or memory are exhausted.
     */
    String submit(Statement statement, ClientConnection connection) {
        if (isOutOfChannels()) {
            // Guards the txns in progress at the descriptor limit. The client was accepted only to
            // be declined, since it would wait in the listener's backlog without an answer.
            counters.count("client declined for lack of descriptors");
            return null;
        }
        if (!groups.admit(statement.group())) {
            counters.count("client declined for the number of groups without a list");
            return null;
        }
        if (statementIds.isFull()) {
            counters.count("client declined for the number of ids");
            return null;
        }
        int typeIndex = typeNames.indexOf(statement.txnType());
        statementIds.use(
                statement.id(), Duration.ofMillis(statement.timeLeftMs()), dispatcher.now());
        long sessionId =
                tracksSessions && (isUpdateType[typeIndex] || readsOwnWrites[typeIndex])
                        ? statement.keyHash()
                        : TxnDispatcher.NO_SESSION;
        ClientContext clientContext = connection.clientContext();
        return clientContext == null || fairQueueSettings == null
                ? dispatcher.txnArrived(statement, typeIndex, sessionId, connection)
                : dispatcher.txnArrived(
                        statement,
                        typeIndex,
                        sessionId,
                        connection,
                        clientContext,
                        tenantName(statement, clientContext));
    }

    /** Drops the txn of a client that has disconnected. */
    void abandon(String txn, Statement statement) {
        counters.count("client disconnected before its answer");
        if (dispatcher.abandon(txn)) {
            // No member has seen it, so the client may send it again at once under the same id.
            statementIds.release(statement.id());
        } else {
            mayHaveRun(statement);
        }
    }

    /**
     * Keeps the id of a write that may have taken effect. Guards against running it twice for a
     * client that has left without its answer and comes again.
     */
    void mayHaveRun(Statement statement) {
        if (statement.write()) {
            statementIds.mayHaveRun(statement.id(), dispatcher.now());
        }
    }

    /** The connection has taken its answer and waits for its next command. */
    void becameIdle(ClientConnection connection) {
        connections.remove(connection);
        connections.add(connection);
        limitIdleConnections();
        listener.acceptNext();
    }

    /**
     * Closes the longest idle connection if clients hold more than their share of the descriptors,
     * see {@link #CLIENT_CHANNELS_DIVISOR}. Guards against clients that query once and stay
     * connected, which would leave no descriptors to others.
     */
    private void limitIdleConnections() {
        int queriedCount = 0;
        ClientConnection longestIdle = null;
        for (ClientConnection connection :
                connections.size() > loop.maxChannels() / CLIENT_CHANNELS_DIVISOR
                        ? connections
                        : List.<ClientConnection>of()) {
            queriedCount += connection.hasQueried() && !connection.isEnding() ? 1 : 0;
            longestIdle =
                    longestIdle == null
                                    && connection.hasQueried()
                                    && !connection.isEnding()
                                    && !connection.busy()
                                    && !connection.inCommand()
                            ? connection
                            : longestIdle;
        }
        if (longestIdle != null && queriedCount > loop.maxChannels() / CLIENT_CHANNELS_DIVISOR) {
            counters.count("idle client connection closed over the limit");
            longestIdle.end(ConnectionEnd.IDLE_LIMIT);
        }
    }

    /** Counts a connection's descriptor as free, or takes that back with -1. */
    void addClosingChannels(int count) {
        loop.addClosingChannels(count);
    }

    /** Whether no more descriptors may count as free before they are. */
    boolean closingChannelsAreMany() {
        return loop.closingChannels() >= MAX_CLOSING_CHANNELS;
    }

    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        if (listener != null) {
            listener.acceptNext();
        }
    }

    /**
     * Makes room for a statement of so many bytes and its copy for a member; returns whether there
     * is. Short ones are always accepted: their number is bounded by that of the connections.
     */
    boolean makeRoomForStatement(int byteCount) {
        return byteCount <= SHORT_STATEMENT_BYTES
                || loop.makeRoomForRequest(2 * byteCount, byteCount > LARGE_STATEMENT_BYTES);
    }

    /** Runs a long task after others of its kind, see {@link EventLoop#executeInTurn}. */
    void executeInTurn(Runnable task) {
        loop.executeInTurn(task);
    }

    /** Counts bytes against the driver's memory limit; a negative count releases them. */
    void reserveBytes(int byteCount) {
        loop.addBufferedBytes(byteCount);
    }

    void count(String name) {
        counters.count(name);
    }

    /** Reports an error whose command has been answered all the same. */
    void reportUnexpectedError(Throwable error) {
        loop.reportUnexpectedError(error);
    }

    /** Logs an event of a client connection, see {@link RequestLog}. */
    void log(RequestLog.Kind kind, Supplier<String> text) {
        dispatcher.requestLog().write(kind, dispatcher.now(), text);
    }

    boolean closing() {
        return closing;
    }

    Duration longestExpiry() {
        return longestExpiry;
    }

    /**
     * Stops closing idle connections by timeout. While the program is stopping, their clients may
     * find no other driver.
     */
    void keepIdleConnections() {
        keepIdleOpen = true;
    }

    boolean mayStayIdle() {
        return keepIdleOpen && !closing;
    }

    /** Ends each connection once it is between txns; new ones are still accepted. */
    void beginClosing() {
        closing = true;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (connection.hasQueried() && !connection.busy() && !connection.inCommand()) {
                connection.end(ConnectionEnd.STOP);
            }
        }
    }

    /**
     * Declines all commands that are not submitted yet, and ends each connection behind the last
     * answer.
     */
    void declineAll() {
        closing = true;
        decliningAll = true;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.declineAndEnd();
        }
    }

    boolean declinesAll() {
        return decliningAll;
    }

    /**
     * Runs the task once what the system has received by now is delivered: the JDK's polling thread
     * reads it and queues it for the event loop. If the process is held up meanwhile, that thread
     * gets its time again afterwards.
     */
    void afterPendingReads(Runnable task) {
        afterPendingReads(task, MAX_READ_GRACES);
    }

    private void afterPendingReads(Runnable task, int gracesLeft) {
        Duration lateAt = now().plus(READ_GRACE.multipliedBy(2));
        Runnable runUnlessLate =
                () -> {
                    if (gracesLeft > 0 && now().compareTo(lateAt) > 0) {
                        afterPendingReads(task, gracesLeft - 1);
                    } else {
                        task.run();
                    }
                };
        loop.schedule(READ_GRACE, () -> loop.execute(runUnlessLate));
    }

    /** Whether no client waits in the listener's backlog; closing it would reset those. */
    boolean isBacklogEmpty() {
        return listener.isBacklogEmpty();
    }

    /** Accepts no more clients. */
    void stopListening() {
        listener.close();
    }

    /**
     * Shuts down the output of all open connections; each is closed once its client has ended its
     * side as well. Guards against an exit with unread input, for which the system would reset the
     * connection and lose the last answer.
     */
    void finishAll() {
        closing = true;
        decliningAll = true;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (!connection.finishing()) {
                connection.finishNow(ConnectionEnd.STOP);
            }
        }
    }

    /** Whether no connection has anything to be answered, written or read. */
    boolean isIdle() {
        for (ClientConnection connection : connections) {
            if (connection.busy() || connection.inCommand()) {
                return false;
            }
        }
        return true;
    }

    int connectionCount() {
        return connections.size();
    }
}
