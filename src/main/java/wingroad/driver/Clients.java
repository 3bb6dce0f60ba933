package wingroad.driver;

import static wingroad.state.Durations.min;

import wingroad.door.ClientContext;
import wingroad.door.FairQueueSettings;
import wingroad.protocol.ClientInput;
import wingroad.protocol.Statement;
import wingroad.transport.EventLoop;
import wingroad.transport.Listener;

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

/** The client side: who is connected, and which txn types there are. */
final class Clients {
    /** What a client says at its start that may name its tenant, and how much of a name counts. */
    private static final Set<String> MAY_NAME = Set.of("user", "database", "application_name");

    private static final int LONGEST_NAME = 128;
    private static final Duration LOOK_EVERY = Duration.ofMillis(100);

    /**
     * Clients may hold a third of the descriptors; below a quarter none of them is without a
     * connection.
     */
    private static final int CLIENTS_SHARE = 4;

    /**
     * Where there is no room left, one that came without a word right behind has to make it after
     * so long.
     */
    private static final Duration WORD_WITHIN = Duration.ofMillis(50);

    private final EventLoop loop;
    private final Exchange exchange;
    private final Counters counters;
    private final List<String> types;
    private final boolean[] updates;
    private final boolean[] ownWrites;
    private final boolean sessions;
    private final Duration longestWait;
    private final IntPredicate groupKnown;

    /** In the order in which they were last answered, the one longest ago first. */
    private final LinkedHashSet<ClientConnection> connections = new LinkedHashSet<>();

    /** The ids of statements until their clients' time is over: none comes twice. */
    private final Map<String, Duration> ids = new HashMap<>();

    /** Where tenants' names are looked for, or null: nobody asks for them. */
    private FairQueueSettings houseRules;

    private Listener listener;
    private int numbers;
    private boolean closing;

    /** All have been told the end, and whoever comes is told at once. */
    private boolean ended;

    private boolean idleMayStay;

    Clients(
            EventLoop loop,
            Exchange exchange,
            Counters counters,
            List<String> types,
            Map<String, Object> terms,
            IntPredicate groupKnown) {
        this.loop = loop;
        this.exchange = exchange;
        this.counters = counters;
        this.types = types;
        this.groupKnown = groupKnown;
        this.updates = new boolean[types.size()];
        this.ownWrites = new boolean[types.size()];
        boolean any = false;
        Duration longest = Duration.ZERO;
        for (int i = 0; i < types.size(); i++) {
            Object reads = terms.get("txn-type." + i + ".reads");
            updates[i] = "update".equals(reads);
            ownWrites[i] = "own-writes".equals(reads);
            any |= ownWrites[i];
            Duration expiry = (Duration) terms.get("txn-type." + i + ".expiry");
            longest = expiry.compareTo(longest) > 0 ? expiry : longest;
        }
        this.sessions = any;
        this.longestWait = longest;
    }

    void listen(InetSocketAddress at) throws IOException {
        bind(at);
        letIn();
    }

    /** The address is taken, but whoever comes waits until {@link #letIn}. */
    void bind(InetSocketAddress at) throws IOException {
        listener =
                new Listener(
                        loop,
                        at,
                        ClientInput.MOST + 1024,
                        this::room,
                        in -> {
                            ClientConnection c =
                                    new ClientConnection(this, exchange.now(), ++numbers);
                            connections.add(c);
                            c.begin(in.apply(c));
                            if (ended) {
                                // Accepted in the moment in which all others were told the end.
                                c.leave();
                            }
                        });
    }

    void letIn() {
        listener.again();
        look();
    }

    /** From now on txns are told with who asks, as these rules say. */
    void tellWhoAsks(FairQueueSettings rules) {
        houseRules = rules;
    }

    /**
     * Who asks over this connection, or null where nobody wants to know. Of what it says only what
     * may be a name is kept.
     */
    ClientContext caller(String address, byte[] startup) {
        if (houseRules == null) {
            return null;
        }
        Map<String, String> said = ClientInput.parameters(startup);
        said.keySet().retainAll(MAY_NAME);
        said.replaceAll(
                (name, value) -> value.substring(0, Math.min(value.length(), LONGEST_NAME)));
        return new ClientContext(address, said);
    }

    /** The name that counts for this txn, or null: its address does. */
    private String name(Statement s, ClientContext caller) {
        for (FairQueueSettings.TenantNameSource source : houseRules.tenantNameSources()) {
            String name =
                    switch (source.type()) {
                        case COMMENT -> s.named(source.parameterName());
                        case STARTUP -> caller.startupParameter(source.parameterName());
                        case ADDRESS -> null;
                    };
            if (name != null) {
                return name.substring(0, Math.min(name.length(), LONGEST_NAME));
            }
        }
        return null;
    }

    private void look() {
        Duration now = exchange.now();
        for (ClientConnection c : new ArrayList<>(connections)) {
            c.overdue(now);
        }
        ids.values().removeIf(until -> until.compareTo(now) <= 0);
        loop.after(LOOK_EVERY, this::look);
    }

    void after(Duration wait, Runnable task) {
        loop.after(wait, task);
    }

    Duration now() {
        return exchange.now();
    }

    InetSocketAddress at() throws IOException {
        return listener.at();
    }

    /**
     * An eighth of the descriptors is kept for members. Where only that is left, the client idle
     * for longest goes, then a member's idle connection; where there is neither, half of it lets
     * clients in only to be declined.
     */
    private boolean room() {
        return !crowded() || loop.channelsLeft() > 0;
    }

    /** No room could be made: whoever comes now would take the place of work that is under way. */
    private boolean crowded() {
        while (loop.channelsLeft() <= loop.mostChannels() / 8) {
            if (!closeOneIdle() && !exchange.memberGivesWay()) {
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
    boolean closeOneIdle() {
        Duration now = exchange.now();
        ClientConnection idle = null;
        for (ClientConnection c : connections) {
            if (c.ofNoUse(now, WORD_WITHIN)) {
                counters.count("useless client closed for room");
                c.close();
                return true;
            }
            idle =
                    (idle == null || idle.inCommand())
                                    && c.asked()
                                    && !c.busy()
                                    && !(idle != null && c.inCommand())
                            ? c
                            : idle;
        }
        if (idle != null) {
            counters.count("idle client closed for room");
            idle.close();
        }
        return idle != null;
    }

    /** What of a statement this deployment does not know, or null. */
    String whyUnknown(Statement s) {
        int type = types.indexOf(s.type());
        return type < 0
                ? "unknown c"
                : !groupKnown.test(s.group())
                        ? "unknown cluster"
                        : s.writes() && !updates[type]
                                ? "a write as a type that reads"
                                : ids.containsKey(s.id()) ? "an id in use" : null;
    }

    /** The txn's name, or null where it is to be declined at once for want of descriptors. */
    String arrived(Statement s, ClientConnection from) {
        if (crowded()) {
            return null;
        }
        int type = types.indexOf(s.type());
        ids.put(s.id(), exchange.now().plus(min(Duration.ofMillis(s.left()), longestWait)));
        long session = sessions && (updates[type] || ownWrites[type]) ? s.session() : -1;
        ClientContext caller = from.caller();
        return caller == null || houseRules == null
                ? exchange.arrived(s, type, session, from)
                : exchange.arrived(s, type, session, from, caller, name(s, caller));
    }

    void lapsed(String txn, String id) {
        counters.count("client left");
        if (exchange.lapsed(txn)) {
            // It may come again at once, under the same id: nothing of it has reached anybody.
            ids.remove(id);
        }
    }

    void idles(ClientConnection c) {
        connections.remove(c);
        connections.add(c);
        letGoOfTooMany();
        listener.again();
    }

    /**
     * Guards the clients against running out of connections: they hold a part of the descriptors at
     * most, and those that ask once and stay would fill it. Over {@link #CLIENTS_SHARE} the one
     * idle for longest is let go.
     */
    private void letGoOfTooMany() {
        int asked = 0;
        ClientConnection longest = null;
        for (ClientConnection c :
                connections.size() > loop.mostChannels() / CLIENTS_SHARE
                        ? connections
                        : List.<ClientConnection>of()) {
            asked += c.asked() && !c.leaving() ? 1 : 0;
            longest =
                    longest == null && c.asked() && !c.leaving() && !c.busy() && !c.inCommand()
                            ? c
                            : longest;
        }
        if (longest != null && asked > loop.mostChannels() / CLIENTS_SHARE) {
            counters.count("idle client let go among many");
            longest.leave();
        }
    }

    void left(ClientConnection c) {
        connections.remove(c);
        if (listener != null) {
            listener.again();
        }
    }

    void hold(int bytes) {
        loop.hold(bytes);
    }

    void count(String what) {
        counters.count(what);
    }

    boolean closing() {
        return closing;
    }

    Duration longestWait() {
        return longestWait;
    }

    /**
     * From now on none is closed for being idle: where the program is about to end, it may find no
     * other.
     */
    void idleMayStay() {
        idleMayStay = true;
    }

    boolean mayIdle() {
        return idleMayStay && !closing;
    }

    /** From now on each connection ends between its txns; new ones are still let in. */
    void beginClosing() {
        closing = true;
        for (ClientConnection c : new ArrayList<>(connections)) {
            if (c.asked() && !c.busy() && !c.inCommand()) {
                c.leave();
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
    void endAll() {
        closing = true;
        ended = true;
        for (ClientConnection c : new ArrayList<>(connections)) {
            if (!c.leaving()) {
                c.leave();
            }
        }
    }

    /** Nothing is left to be answered, written or taken. */
    boolean idle() {
        for (ClientConnection c : connections) {
            if (c.busy() || c.inCommand()) {
                return false;
            }
        }
        return true;
    }

    int connections() {
        return connections.size();
    }
}
