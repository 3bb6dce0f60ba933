package wingroad.driver;

import static wingroad.state.Spans.min;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import wingroad.door.Caller;
import wingroad.door.FairQueueSettings;
import wingroad.protocol.ClientInput;
import wingroad.protocol.Statement;
import wingroad.transport.EventLoop;
import wingroad.transport.Listener;

/** The client side: who is connected, and which txn types there are. */
final class ClientFrontend {
    /** What a client says at its start that may name its tenant, and how much of a name counts. */
    private static final Set<String> TENANT_PARAMETERS =
            Set.of("user", "database", "application_name");

    private static final int MAX_NAME_CHARS = 128;
    private static final Duration TIMEOUT_CHECK_INTERVAL = Duration.ofMillis(100);

    /**
     * Clients may hold a third of the descriptors; below a quarter none of them is without a
     * connection.
     */
    private static final int CLIENT_CHANNELS_DIVISOR = 4;

    /**
     * Where there is no room left, one that came without a word right behind has to make it after
     * so long.
     */
    private static final Duration SILENT_CLIENT_GRACE = Duration.ofMillis(50);

    private final EventLoop loop;
    private final TxnDispatcher dispatcher;
    private final Counters counters;
    private final List<String> typeNames;
    private final boolean[] isUpdateType;
    private final boolean[] readsOwnWrites;
    private final boolean tracksSessions;
    private final Duration longestExpiry;
    private final IntPredicate isKnownGroup;

    /** In the order in which they were last answered, the one longest ago first. */
    private final LinkedHashSet<ClientConnection> connections = new LinkedHashSet<>();

    /** The ids of statements until their clients' time is over: none comes twice. */
    private final Map<String, Duration> idsInUse = new HashMap<>();

    /** Where tenants' names are looked for, or null: nobody asks for them. */
    private FairQueueSettings fairQueueSettings;

    private Listener listener;
    private int lastConnectionNumber;
    private boolean closing;

    /** All have been told the end, and whoever comes is told at once. */
    private boolean allFinished;

    private boolean keepIdleOpen;

    ClientFrontend(
            EventLoop loop,
            TxnDispatcher dispatcher,
            Counters counters,
            List<String> typeNames,
            Map<String, Object> terms,
            IntPredicate isKnownGroup) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.counters = counters;
        this.typeNames = typeNames;
        this.isKnownGroup = isKnownGroup;
        this.isUpdateType = new boolean[typeNames.size()];
        this.readsOwnWrites = new boolean[typeNames.size()];
        boolean anyReadsOwnWrites = false;
        Duration longestFound = Duration.ZERO;
        for (int i = 0; i < typeNames.size(); i++) {
            Object reads = terms.get("txn-type." + i + ".reads");
            isUpdateType[i] = "update".equals(reads);
            readsOwnWrites[i] = "own-writes".equals(reads);
            anyReadsOwnWrites |= readsOwnWrites[i];
            Duration expiry = (Duration) terms.get("txn-type." + i + ".expiry");
            longestFound = expiry.compareTo(longestFound) > 0 ? expiry : longestFound;
        }
        this.tracksSessions = anyReadsOwnWrites;
        this.longestExpiry = longestFound;
    }

    void listen(InetSocketAddress address) throws IOException {
        bind(address);
        startAccepting();
    }

    /** The address is taken, but whoever comes waits until {@link #startAccepting}. */
    void bind(InetSocketAddress address) throws IOException {
        listener =
                new Listener(
                        loop,
                        address,
                        ClientInput.MOST + 1024,
                        this::mayAccept,
                        accepted -> {
                            ClientConnection connection =
                                    new ClientConnection(
                                            this, dispatcher.now(), ++lastConnectionNumber);
                            connections.add(connection);
                            connection.begin(accepted.apply(connection));
                            if (allFinished) {
                                // Accepted in the moment in which all others were told the end.
                                connection.finish();
                            }
                        });
    }

    void startAccepting() {
        listener.again();
        checkTimeouts();
    }

    /** From now on txns are told with who asks, as these rules say. */
    void identifyCallers(FairQueueSettings settings) {
        fairQueueSettings = settings;
    }

    /**
     * Who asks over this connection, or null where nobody wants to know. Of what it says only what
     * may be a name is kept.
     */
    Caller caller(String address, byte[] startup) {
        if (fairQueueSettings == null) {
            return null;
        }
        Map<String, String> parameters = ClientInput.parameters(startup);
        parameters.keySet().retainAll(TENANT_PARAMETERS);
        parameters.replaceAll(
                (name, value) -> value.substring(0, Math.min(value.length(), MAX_NAME_CHARS)));
        return new Caller(address, parameters);
    }

    /** The name that counts for this txn, or null: its address does. */
    private String tenantName(Statement statement, Caller caller) {
        for (FairQueueSettings.Source source : fairQueueSettings.sources()) {
            String name =
                    switch (source.place()) {
                        case COMMENT -> statement.named(source.name());
                        case STARTUP -> caller.said(source.name());
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
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.checkTimeouts(now);
        }
        idsInUse.values().removeIf(expiresAt -> expiresAt.compareTo(now) <= 0);
        loop.after(TIMEOUT_CHECK_INTERVAL, this::checkTimeouts);
    }

    void after(Duration delay, Runnable task) {
        loop.after(delay, task);
    }

    Duration now() {
        return dispatcher.now();
    }

    InetSocketAddress localAddress() throws IOException {
        return listener.at();
    }

    /**
     * An eighth of the descriptors is kept for members. Where only that is left, the client idle
     * for longest goes, then a member's idle connection; where there is neither, half of it lets
     * clients in only to be declined.
     */
    private boolean mayAccept() {
        return !isOutOfChannels() || loop.channelsLeft() > 0;
    }

    /** No room could be made: whoever comes now would take the place of work that is under way. */
    private boolean isOutOfChannels() {
        while (loop.channelsLeft() <= loop.mostChannels() / 8) {
            if (!closeIdleConnection() && !dispatcher.closeSpareMemberConnection()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Closes a connection that is of no use, or else the one that has been idle for longest; false
     * where there is none. One that has begun but not asked yet may have its first query on the
     * way.
     */
    boolean closeIdleConnection() {
        Duration now = dispatcher.now();
        ClientConnection longestIdle = null;
        for (ClientConnection connection : connections) {
            if (connection.isDispensable(now, SILENT_CLIENT_GRACE)) {
                counters.count("useless client closed for room");
                connection.close();
                return true;
            }
            longestIdle =
                    (longestIdle == null || longestIdle.inCommand())
                                    && connection.hasQueried()
                                    && !connection.busy()
                                    && !(longestIdle != null && connection.inCommand())
                            ? connection
                            : longestIdle;
        }
        if (longestIdle != null) {
            counters.count("idle client closed for room");
            longestIdle.close();
        }
        return longestIdle != null;
    }

    /** What of a statement this deployment does not know, or null. */
    String rejectionReason(Statement statement) {
        int typeIndex = typeNames.indexOf(statement.type());
        return typeIndex < 0
                ? "unknown c"
                : !isKnownGroup.test(statement.group())
                        ? "unknown cluster"
                        : statement.writes() && !isUpdateType[typeIndex]
                                ? "a write as a type that reads"
                                : idsInUse.containsKey(statement.id()) ? "an id in use" : null;
    }

    /** The txn's name, or null where it is to be declined at once for want of descriptors. */
    String submit(Statement statement, ClientConnection connection) {
        if (isOutOfChannels()) {
            return null;
        }
        int typeIndex = typeNames.indexOf(statement.type());
        idsInUse.put(
                statement.id(),
                dispatcher.now().plus(min(Duration.ofMillis(statement.left()), longestExpiry)));
        long sessionId =
                tracksSessions && (isUpdateType[typeIndex] || readsOwnWrites[typeIndex])
                        ? statement.session()
                        : -1;
        Caller caller = connection.caller();
        return caller == null || fairQueueSettings == null
                ? dispatcher.txnArrived(statement, typeIndex, sessionId, connection)
                : dispatcher.txnArrived(
                        statement,
                        typeIndex,
                        sessionId,
                        connection,
                        caller,
                        tenantName(statement, caller));
    }

    void abandon(String txn, String statementId) {
        counters.count("client left");
        if (dispatcher.abandon(txn)) {
            // It may come again at once, under the same id: nothing of it has reached anybody.
            idsInUse.remove(statementId);
        }
    }

    void becameIdle(ClientConnection connection) {
        connections.remove(connection);
        connections.add(connection);
        limitIdleConnections();
        listener.again();
    }

    /**
     * Guards the clients against running out of connections: they hold a part of the descriptors at
     * most, and those that ask once and stay would fill it. Over {@link #CLIENT_CHANNELS_DIVISOR}
     * the one idle for longest is let go.
     */
    private void limitIdleConnections() {
        int queriedCount = 0;
        ClientConnection longestFound = null;
        for (ClientConnection connection :
                connections.size() > loop.mostChannels() / CLIENT_CHANNELS_DIVISOR
                        ? connections
                        : List.<ClientConnection>of()) {
            queriedCount += connection.hasQueried() && !connection.finishing() ? 1 : 0;
            longestFound =
                    longestFound == null
                                    && connection.hasQueried()
                                    && !connection.finishing()
                                    && !connection.busy()
                                    && !connection.inCommand()
                            ? connection
                            : longestFound;
        }
        if (longestFound != null && queriedCount > loop.mostChannels() / CLIENT_CHANNELS_DIVISOR) {
            counters.count("idle client let go among many");
            longestFound.finish();
        }
    }

    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        if (listener != null) {
            listener.again();
        }
    }

    void reserveBytes(int byteCount) {
        loop.hold(byteCount);
    }

    void count(String name) {
        counters.count(name);
    }

    boolean closing() {
        return closing;
    }

    Duration longestExpiry() {
        return longestExpiry;
    }

    /**
     * From now on none is closed for being idle: where the program is about to end, it may find no
     * other.
     */
    void keepIdleOpen() {
        keepIdleOpen = true;
    }

    boolean mayStayIdle() {
        return keepIdleOpen && !closing;
    }

    /** From now on each connection ends between its txns; new ones are still let in. */
    void beginClosing() {
        closing = true;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (connection.hasQueried() && !connection.busy() && !connection.inCommand()) {
                connection.finish();
            }
        }
    }

    /** Lets nobody in any more. */
    void stopListening() {
        listener.close();
    }

    /**
     * Each connection that is still open is told the end; it goes once its client has ended its
     * side as well. Guards against an exit over bytes that nobody has read: the system would break
     * such a connection, and with it the last answer.
     */
    void finishAll() {
        closing = true;
        allFinished = true;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (!connection.finishing()) {
                connection.finish();
            }
        }
    }

    /** Nothing is left to be answered, written or taken. */
    boolean isIdle() {
        for (ClientConnection connection : connections) {
            if (connection.busy() || connection.inCommand()) {
                return false;
            }
        }
        return true;
    }

    int connections() {
        return connections.size();
    }
}
