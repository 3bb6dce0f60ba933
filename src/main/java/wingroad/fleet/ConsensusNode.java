package wingroad.fleet;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;

import wingroad.duty.Command;
import wingroad.duty.DutyStateMachine;
import wingroad.duty.SessionExpiryMonitor;
import wingroad.fleet.MessageCodec.Endpoint;
import wingroad.fleet.Net.Wire;
import wingroad.protocol.Json;
import wingroad.work.LostDriverMonitor;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/**
 * A voter: its part in the agreed log, the state that follows from it, and the drivers that are
 * attached to it. Free of I/O; all calls on one thread.
 */
final class ConsensusNode {
    /**
     * In the engine's time, which knows whole seconds alone: one of them is the {@link
     * #ENGINE_SECONDS}th part of a lease, so that a leader is missed after a third of a lease and
     * another one leads well before all leases have run out.
     */
    private static final RaftConfig ENGINE =
            RaftConfig.newBuilder()
                    .setLeaderElectionTimeoutMillis(1000)
                    .setLeaderHeartbeatPeriodSecs(1)
                    .setLeaderHeartbeatTimeoutSecs(4)
                    .setCommitCountToTakeSnapshot(2000)
                    .setMaxPendingLogEntryCount(2000)
                    .setRaftNodeReportPublishPeriodSecs(36_000)
                    .build();

    private static final int ENGINE_SECONDS = 12;

    /**
     * An engine looks for another leader after four of its seconds of silence; by now it does not
     * look.
     */
    private static final int ENGINE_LOST = 8;

    private static final Duration LOOK = Duration.ofMillis(250);
    private static final Duration PING = Duration.ofMillis(500);
    private static final Duration SILENT = Duration.ofMillis(2500);
    private static final Duration AGAIN = Duration.ofSeconds(5);
    private static final int MOST_GUESTS = 1024;
    private static final int MOST_ENDS = 64;
    private static final int LONGEST_REPORT = 1 << 16;

    /** How far a voter has come. */
    enum Phase {
        /** It belongs to no council. */
        FRESH,
        /** It has state, and asks the others whether that is the newest. */
        PROVING,
        /** It takes part. */
        IN,
        /** Its state can't be written. */
        BROKEN
    }

    private final Host host;
    private final Net net;
    private final FleetConfig rules;
    private final Random random;
    private final Reader reader;
    private final LongFunction<DutyStateMachine> registers;
    private ConsensusStore store;
    private DutyStateMachine register = new DutyStateMachine(0);
    private final SessionExpiryMonitor overdue;
    private RaftNode node;
    private Phase phase;

    /** Grows with each start of the engine: what a former one still wants to run is nobody's. */
    private int life;

    private final Map<String, Peer> peers = new TreeMap<>();
    private final Set<Guest> guests = new LinkedHashSet<>();
    private final Map<String, Long> beats = new TreeMap<>();

    /** The newest that drivers say of themselves, a line by session, not yet handed on. */
    private final Map<String, String> reports = new TreeMap<>();

    /** The clock on drivers without a session, or null where there is no work on machines. */
    private final LostDriverMonitor lostDrivers;

    private final Set<String> founding = new LinkedHashSet<>();
    private boolean pushAsked;
    private boolean changing;

    /** When something came from a leader last, or the engine has known of none. */
    private Duration ledAt = Duration.ZERO;

    private boolean stopped;
    private String said = "";
    private String led = "";

    /**
     * @param reader reads the voter's state anew, once the former one is closed
     */
    ConsensusNode(Host host, Net net, FleetConfig rules, Reader reader, long seed)
            throws IOException {
        this(host, net, rules, reader, seed, DutyStateMachine::new);
    }

    /**
     * @param registers makes the state that follows from the log, from the council's first epoch
     */
    ConsensusNode(
            Host host,
            Net net,
            FleetConfig rules,
            Reader reader,
            long seed,
            LongFunction<DutyStateMachine> registers)
            throws IOException {
        this.registers = registers;
        this.host = host;
        this.net = net;
        this.rules = rules;
        this.reader = reader;
        this.store = reader.read();
        this.random = new Random(seed);
        this.overdue = new SessionExpiryMonitor(rules.lease());
        this.lostDrivers =
                rules.work() == null
                        ? null
                        : new LostDriverMonitor(rules.work(), rules.lease().maxClockDrift());
    }

    void start() {
        if (store.wasAside() != null) {
            host.log(
                    "fleet: state set aside as " + store.wasAside() + "; this voter is a newcomer");
        }
        phase = store.group().isEmpty() ? Phase.FRESH : Phase.PROVING;
        knowPeers(store.voters());
        say(
                phase == Phase.FRESH
                        ? "belongs to no council yet"
                        : "asks the others whether its state is the newest");
        proceed();
        look();
        tick();
    }

    /** Whether the council is to have this voter, by the file and what was changed since. */
    private boolean votes(String name) {
        Map<String, String> changes = node == null ? store.voters() : register.voterChanges();
        return changes.containsKey(name)
                ? !changes.get(name).isEmpty()
                : rules.voterAddresses().containsKey(name);
    }

    /**
     * Peers by the file, with what was changed since; an address of the file counts before one that
     * was told.
     */
    private void knowPeers(Map<String, String> changes) {
        Map<String, String> all = new TreeMap<>(rules.voterAddresses());
        changes.forEach(
                (name, address) -> {
                    if (address.isEmpty()) {
                        all.remove(name);
                    } else {
                        all.putIfAbsent(name, address);
                    }
                });
        all.remove(rules.driver());
        all.forEach((name, address) -> peers.computeIfAbsent(name, n -> new Peer(n, address)));
        for (Peer p : List.copyOf(peers.values())) {
            // The engine still speaks to one that is being taken out.
            boolean member =
                    node != null
                            && node.getCommittedMembers().getMembers().stream()
                                    .anyMatch(e -> ((Endpoint) e).name().equals(p.name));
            if (!all.containsKey(p.name) && !member) {
                p.shut();
                peers.remove(p.name);
            }
        }
    }

    void stop() {
        stopped = true;
        peers.values().forEach(Peer::shut);
        List.copyOf(guests).forEach(g -> g.wire.close());
        leaveEngine();
        store.close();
    }

    DutyStateMachine register() {
        return register;
    }

    Phase phase() {
        return phase;
    }

    boolean leads() {
        return node != null && self().equals(node.getTerm().getLeaderEndpoint());
    }

    private Endpoint self() {
        return new Endpoint(rules.driver() + "/" + store.identity());
    }

    private void say(String what) {
        if (!what.equals(said)) {
            said = what;
            host.log("fleet: voter " + rules.driver() + " " + what);
        }
    }

    // ---- how it comes to take part ----

    private void look() {
        if (stopped) {
            return;
        }
        for (Peer p : List.copyOf(peers.values())) {
            p.look();
        }
        for (Guest g : List.copyOf(guests)) {
            if (host.now().minus(g.heardAt).compareTo(rules.lease().duration()) > 0) {
                g.wire.close();
                guests.remove(g);
            }
        }
        proceed();
        if (phase == Phase.IN && store.broken() != null) {
            breaks();
        }
        tellLeader();
        if (phase == Phase.IN) {
            knowPeers(register.voterChanges());
            store.saveVoters(register.voterChanges());
            if (node.getStatus() == RaftNodeStatus.TERMINATED) {
                takenOut();
            }
        }
        if (phase == Phase.IN && leads()) {
            admit();
        }
        missLeader();
        store.saveSeen();
        host.after(LOOK, this::look);
    }

    /**
     * A voter that polled for an election and heard its old leader again, in the same term, takes
     * no notice any more when that leader falls silent: the engine (0.7) thinks that its poll still
     * runs. Where its log is the newest, nobody else can be elected. So it begins again with its
     * state, as after a restart.
     */
    private void missLeader() {
        RaftEndpoint leader = node == null ? null : node.getTerm().getLeaderEndpoint();
        if (leader == null || leads()) {
            ledAt = host.now();
        } else if (host.now().minus(ledAt).toNanos() > ENGINE_LOST * engineSecond() * 1e9) {
            ledAt = host.now();
            say(
                    "has not heard "
                            + ((Endpoint) leader).name()
                            + " and its engine misses nobody: begins again with its state");
            leaveEngine();
            phase = Phase.BROKEN;
            try {
                resume();
            } catch (IOException e) {
                breaks();
            }
        }
    }

    private void tellLeader() {
        RaftEndpoint leader = node == null ? null : node.getTerm().getLeaderEndpoint();
        String now = leader == null ? "" : ((Endpoint) leader).name();
        if (!now.equals(led)) {
            led = now;
            host.log(
                    "fleet: "
                            + (now.isEmpty() ? "no leader is known" : now + " leads")
                            + (node == null ? "" : ", term " + node.getTerm().getTerm())
                            + ", entries "
                            + register.revision()
                            + ", sessions "
                            + register.sessions().size());
        }
    }

    private void proceed() {
        try {
            if (phase == Phase.FRESH) {
                found();
            } else if (phase == Phase.PROVING) {
                prove();
            }
        } catch (IOException e) {
            breaks();
        }
    }

    /**
     * The state can't be written: nothing is confirmed any more. What is on the disk counts once it
     * can be.
     */
    private void breaks() {
        say(
                "can't write its state, and votes no more: "
                        + (store.broken() == null ? "" : store.broken().getMessage()));
        leaveEngine();
        phase = Phase.BROKEN;
    }

    /** Reads a voter's state. */
    interface Reader {
        ConsensusStore read() throws IOException;
    }

    /** The same voter goes on with state that is read again. */
    void resume() throws IOException {
        store.close();
        store = reader.read();
        phase = store.group().isEmpty() ? Phase.FRESH : Phase.PROVING;
        say("has read its state again");
        proceed();
    }

    private void leaveEngine() {
        life++;
        if (node != null) {
            node.terminate();
            node = null;
        }
    }

    /**
     * With no state of its own: begins a council with all that are named, unless one of them
     * belongs to one.
     */
    private void found() throws IOException {
        if (!rules.voterAddresses().containsKey(rules.driver())) {
            return;
        }
        for (Peer p : peers.values()) {
            if (!p.group.isEmpty()
                    && p.group.equals(store.proposed())
                    && store.founders().contains(self().id())) {
                store.found(p.group, store.founders(), store.epochs());
                enter();
                return;
            }
        }
        String first = rules.voterAddresses().keySet().stream().sorted().findFirst().orElse("");
        if (!first.equals(rules.driver())) {
            return;
        }
        List<String> members = new ArrayList<>(List.of(self().id()));
        for (String name : rules.voterAddresses().keySet()) {
            Peer p = peers.get(name);
            if (p != null) {
                if (!p.present() || !p.group.isEmpty()) {
                    say(
                            p.present()
                                    ? "has no state, and waits to be let in"
                                    : "waits for " + name + " to found the council");
                    return;
                }
                members.add(p.endpoint().id());
            }
        }
        members.sort(null);
        if (!members.equals(store.founders()) || store.proposed().isEmpty()) {
            founding.clear();
            store.propose(Long.toHexString(random.nextLong()), members, host.wall() / 1000 * 1000);
        }
        if (founding.containsAll(members.stream().filter(m -> !m.equals(self().id())).toList())) {
            store.found(store.proposed(), store.founders(), store.epochs());
            say(
                    "founds council "
                            + store.group()
                            + " with "
                            + members.size()
                            + " voters, epochs from "
                            + store.epochs());
            enter();
            return;
        }
        peers.values()
                .forEach(
                        p ->
                                p.send(
                                        MessageCodec.message(
                                                "found",
                                                "group",
                                                store.proposed(),
                                                "members",
                                                store.founders(),
                                                "epochs",
                                                store.epochs())));
    }

    /** With state: takes part once enough others say that they know of nothing newer from it. */
    private void prove() throws IOException {
        int answers = 0;
        for (Peer p : peers.values()) {
            if (p.present() && p.group.equals(store.group())) {
                answers++;
                if (store.olderThan(p.seenOfUs)) {
                    host.log(
                            "fleet: "
                                    + p.name
                                    + " knows this voter to have confirmed term "
                                    + p.seenOfUs.term()
                                    + ", entry "
                                    + p.seenOfUs.index()
                                    + ": the state here is older than it was");
                    store.setAside("older than it was");
                    host.log("fleet: state set aside as " + store.wasAside());
                    phase = Phase.FRESH;
                    // Who it is is said at a connection's begin.
                    peers.values().forEach(Peer::shut);
                    return;
                }
            }
        }
        if (answers >= (peers.size() + 1) / 2) {
            enter();
        }
    }

    private void enter() throws IOException {
        int mine = ++life;
        register = registers.apply(store.epochs());
        RaftNode.RaftNodeBuilder b =
                RaftNode.newBuilder()
                        .setGroupId(store.group())
                        .setConfig(ENGINE)
                        .setRandom(random)
                        .setClock(new EngineClock())
                        .setExecutor(new EngineThread(mine))
                        .setTransport(new EngineMail())
                        .setStateMachine(new Settled(mine))
                        .setStore(store)
                        .setModelFactory(MessageCodec.MODELS);
        RestoredRaftState restored = store.restored();
        if (restored != null) {
            b.setRestoredState(restored);
        } else {
            b.setLocalEndpoint(self())
                    .setInitialGroupMembers(MessageCodec.endpoints(store.founders()));
        }
        node = b.build();
        phase = Phase.IN;
        node.start();
        say(
                "takes part in council "
                        + store.group()
                        + (restored == null
                                ? ""
                                : " with its state, term "
                                        + restored.getTermPersistentState().getTerm()));
    }

    /**
     * One that is taken out is not sent the entry that says so: another voter's word, of a later
     * entry than its own, does.
     */
    private void hearsOfMembers(List<String> theirs, long settledAt) {
        RaftGroupMembers own = node.getCommittedMembers();
        if (settledAt > own.getLogIndex()
                && own.getMembers().contains(self())
                && !theirs.contains(self().id())) {
            takenOut();
        }
    }

    /**
     * The council has settled that this one votes no more: should it ever again, it comes as a
     * newcomer.
     */
    private void takenOut() {
        say("has been taken out of the council");
        leaveEngine();
        try {
            store.setAside("taken out of the council");
            host.log("fleet: state set aside as " + store.wasAside());
            phase = Phase.FRESH;
            peers.values().forEach(Peer::shut);
        } catch (IOException e) {
            breaks();
        }
    }

    /**
     * As the leader: a voter that lost its state gets the place of the one it was, one change at a
     * time.
     */
    private void admit() {
        RaftGroupMembers members = node.getCommittedMembers();
        if (changing
                || node.getStatus() != RaftNodeStatus.ACTIVE
                || node.getEffectiveMembers().getLogIndex() != members.getLogIndex()) {
            return;
        }
        for (RaftEndpoint e : members.getMembers()) {
            String name = ((Endpoint) e).name();
            if (!votes(name) && members.getMembers().size() > 1) {
                if (!name.equals(rules.driver())) {
                    change(e, MembershipChangeMode.REMOVE_MEMBER, members);
                } else {
                    members.getMembers().stream()
                            .filter(
                                    o ->
                                            !o.equals(e)
                                                    && peers.containsKey(((Endpoint) o).name())
                                                    && peers.get(((Endpoint) o).name()).present())
                            .findFirst()
                            .ifPresent(node::transferLeadership);
                }
                return;
            }
        }
        for (Peer p : peers.values()) {
            if (!p.present() || !votes(p.name)) {
                continue;
            }
            RaftEndpoint old =
                    members.getMembers().stream()
                            .filter(
                                    e ->
                                            ((Endpoint) e).name().equals(p.name)
                                                    && !e.equals(p.endpoint()))
                            .findFirst()
                            .orElse(null);
            if (old != null && (p.group.isEmpty() || p.group.equals(store.group()))) {
                change(old, MembershipChangeMode.REMOVE_MEMBER, members);
                return;
            }
            if (!members.getMembers().contains(p.endpoint())) {
                if (p.group.isEmpty()) {
                    p.send(
                            MessageCodec.message(
                                    "let-in",
                                    "group",
                                    store.group(),
                                    "members",
                                    store.founders(),
                                    "epochs",
                                    store.epochs()));
                } else if (p.group.equals(store.group())) {
                    change(p.endpoint(), MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, members);
                    return;
                }
            }
        }
    }

    private void change(RaftEndpoint who, MembershipChangeMode how, RaftGroupMembers members) {
        changing = true;
        host.log(
                "fleet: voters: "
                        + (how == MembershipChangeMode.REMOVE_MEMBER ? "takes out " : "lets in ")
                        + who.getId());
        node.changeMembership(who, how, members.getLogIndex())
                .whenComplete(
                        (done, failure) -> {
                            changing = false;
                            host.log(
                                    "fleet: voters: "
                                            + who.getId()
                                            + (failure == null
                                                    ? " settled"
                                                    : " not settled: " + failure));
                        });
    }

    // ---- the log ----

    /** Has an op settled, here or by the leader; whoever asks repeats it until it is seen. */
    private void submit(Command op) {
        if (node == null) {
            return;
        }
        if (leads()) {
            node.replicate(op)
                    .whenComplete(
                            (done, failure) -> {
                                // Not settled, or not known to be: whoever asked for it asks again.
                            });
        } else {
            toLeader(MessageCodec.message("pass", "op", MessageCodec.of(op)));
        }
    }

    /** As if somebody attached here had asked for it, for plays. */
    void inject(Command op) {
        submit(op);
    }

    private void toLeader(Map<String, Object> message) {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        Peer p = leader == null ? null : peers.get(((Endpoint) leader).name());
        if (p != null) {
            p.send(message);
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        if (node != null) {
            if (leads()) {
                if (!beats.isEmpty()) {
                    submit(Command.heartbeat(beats).withProposedAt(host.wall()));
                }
                if (!reports.isEmpty()) {
                    submit(
                            Command.driverReports(List.copyOf(reports.values()))
                                    .withProposedAt(host.wall()));
                }
                overdue.expireCommands(host.now()).stream()
                        .limit(MOST_ENDS)
                        .forEach(op -> submit(op.withProposedAt(host.wall())));
                if (lostDrivers != null) {
                    lostDrivers.newlyStopped(register.plan(), host.now()).stream()
                            .limit(MOST_ENDS)
                            .forEach(
                                    x ->
                                            submit(
                                                    Command.driverStopped(
                                                                    x.identity(),
                                                                    x.lossNumber(),
                                                                    x.level())
                                                            .withProposedAt(host.wall())));
                }
            } else {
                if (!reports.isEmpty()) {
                    toLeader(
                            MessageCodec.message(
                                    "reports", "lines", List.copyOf(reports.values())));
                }
                if (!beats.isEmpty()) {
                    toLeader(MessageCodec.message("beats", "beats", new TreeMap<>(beats)));
                }
                // A leader that has started lately counts anew; one that has been here all along
                // knows earlier.
                overdue.expireCommands(host.now().minus(rules.lease().heartbeatInterval())).stream()
                        .limit(MOST_ENDS)
                        .forEach(op -> submit(op.withProposedAt(host.wall())));
            }
        }
        // What did not get through comes again with the drivers' next beats.
        beats.clear();
        reports.clear();
        host.after(rules.lease().heartbeatInterval().dividedBy(2), this::tick);
    }

    private void settled(Command op, String result) {
        lookAtSessions();
        if (!result.isEmpty() && op.kind() == Command.Kind.OPEN) {
            guests.stream()
                    .filter(g -> g.session.equals(op.sessionId()))
                    .toList()
                    .forEach(g -> g.wire.send(MessageCodec.message("not-opened", "why", result)));
        }
        if (!op.requestId().isEmpty()) {
            guests.stream()
                    .filter(g -> g.asks.remove(op.requestId()))
                    .toList()
                    .forEach(
                            g ->
                                    g.wire.send(
                                            MessageCodec.message(
                                                    "answer",
                                                    "ask",
                                                    op.requestId(),
                                                    "result",
                                                    result)));
        }
        askPush();
    }

    private void lookAtSessions() {
        overdue.observe(register, host.now());
        if (lostDrivers != null) {
            lostDrivers.observe(register.plan(), host.now());
        }
    }

    private void askPush() {
        if (!pushAsked) {
            pushAsked = true;
            host.run(
                    () -> {
                        pushAsked = false;
                        guests.forEach(Guest::push);
                    });
        }
    }

    /** The state that follows from the log. */
    private final class Settled implements StateMachine {
        private final int mine;

        Settled(int mine) {
            this.mine = mine;
        }

        @Override
        public Object runOperation(long index, Object operation) {
            if (mine != life) {
                return "";
            }
            Command op = (Command) operation;
            String result = register.apply(op);
            settled(op, result);
            return result;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            chunks.accept(register.snapshot());
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            if (mine == life) {
                register.restore(Json.object(chunks.get(0), "a snapshot"));
                lookAtSessions();
                askPush();
            }
        }

        @Override
        public Object getNewTermOperation() {
            return Command.noOp();
        }
    }

    private final class EngineThread implements RaftNodeExecutor {
        private final int mine;

        EngineThread(int mine) {
            this.mine = mine;
        }

        private Runnable ours(Runnable task) {
            return () -> {
                if (mine == life && !stopped) {
                    task.run();
                }
            };
        }

        @Override
        public void execute(Runnable task) {
            host.run(ours(task));
        }

        @Override
        public void submit(Runnable task) {
            host.run(ours(task));
        }

        @Override
        public void schedule(Runnable task, long wait, TimeUnit unit) {
            host.after(Duration.ofNanos((long) (unit.toNanos(wait) * engineSecond())), ours(task));
        }
    }

    private final class EngineMail implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            Peer p = peers.get(((Endpoint) to).name());
            if (p != null && p.present() && p.endpoint().equals(to)) {
                p.send(MessageCodec.message("raft", "m", MessageCodec.of(message)));
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint to) {
            Peer p = peers.get(((Endpoint) to).name());
            return p != null && p.present() && p.endpoint().equals(to);
        }
    }

    /** How long one of the engine's seconds is, in seconds. */
    private double engineSecond() {
        return rules.lease().duration().toNanos() / 1e9 / ENGINE_SECONDS;
    }

    /** The host's monotone clock in the engine's time; the engine only ever takes differences. */
    private final class EngineClock extends Clock {
        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return Instant.EPOCH.plusNanos((long) (host.now().toNanos() / engineSecond()));
        }
    }

    // ---- other voters ----

    /** What this voter says of itself to a caller. */
    private Map<String, Object> presence(String kind, String caller) {
        ConsensusStore.Seen s = store.seen(caller);
        RaftGroupMembers members = node == null ? null : node.getCommittedMembers();
        RaftEndpoint leader = node == null ? null : node.getTerm().getLeaderEndpoint();
        return MessageCodec.message(
                kind,
                "fleet",
                rules.name(),
                "name",
                rules.driver(),
                "identity",
                store.identity(),
                "group",
                store.group(),
                "voters",
                new TreeMap<>(node == null ? store.voters() : register.voterChanges()),
                "members",
                members == null ? List.of() : MessageCodec.ids(members.getMembers()),
                "members-at",
                members == null ? 0 : members.getLogIndex(),
                "term",
                s.term(),
                "entry-term",
                s.entryTerm(),
                "index",
                s.index(),
                "lead",
                leader == null ? "" : ((Endpoint) leader).name());
    }

    /**
     * The connection that this voter keeps to another one: what it sends goes there, what it gets
     * comes by the other's.
     */
    private final class Peer implements Net.Owner {
        private final String name;
        private final String address;
        private Wire wire;
        private boolean up;
        private String identity = "";
        private String group = "";
        private ConsensusStore.Seen seenOfUs = new ConsensusStore.Seen(0, 0, 0);
        private Duration heardAt = Duration.ZERO;
        private Duration pingedAt = Duration.ZERO;
        private Duration openAt = Duration.ZERO;
        private String refusal = "";

        Peer(String name, String address) {
            this.name = name;
            this.address = address;
        }

        Endpoint endpoint() {
            return new Endpoint(name + "/" + identity);
        }

        boolean present() {
            return up && !identity.isEmpty();
        }

        void send(Map<String, Object> message) {
            if (up) {
                wire.send(message);
            }
        }

        void look() {
            Duration now = host.now();
            if (wire == null) {
                if (now.compareTo(openAt) >= 0) {
                    heardAt = now;
                    wire = net.open(address, this);
                }
            } else if (now.minus(heardAt).compareTo(SILENT) > 0) {
                shut();
            } else if (up && now.minus(pingedAt).compareTo(PING) >= 0) {
                pingedAt = now;
                wire.send(MessageCodec.message("ping"));
            }
        }

        @Override
        public void up(Wire w) {
            up = true;
            w.send(
                    MessageCodec.message(
                            "hello",
                            "fleet",
                            rules.name(),
                            "name",
                            rules.driver(),
                            "role",
                            "voter",
                            "identity",
                            store.identity(),
                            "group",
                            store.group()));
        }

        @Override
        public void message(Wire w, Map<String, Object> m) {
            heardAt = host.now();
            switch (MessageCodec.text(m, "k")) {
                case "here" -> {
                    identity = MessageCodec.text(m, "identity");
                    group = MessageCodec.text(m, "group");
                    seenOfUs =
                            new ConsensusStore.Seen(
                                    (int) MessageCodec.number(m, "term"),
                                    (int) MessageCodec.number(m, "entry-term"),
                                    MessageCodec.number(m, "index"));
                    refusal = "";
                    if (group.equals(store.group()) && node != null) {
                        hearsOfMembers(
                                MessageCodec.texts(m.get("members")),
                                MessageCodec.number(m, "members-at"));
                    }
                    proceed();
                }
                case "founding" -> {
                    if (MessageCodec.text(m, "group").equals(store.proposed()) && present()) {
                        founding.add(endpoint().id());
                        proceed();
                    }
                }
                case "refused" -> {
                    if (!refusal.equals(MessageCodec.text(m, "why"))) {
                        refusal = MessageCodec.text(m, "why");
                        host.log("fleet: refused by " + name + " at " + address + ": " + refusal);
                    }
                    shut();
                    openAt = host.now().plus(AGAIN);
                }
                default -> {
                    // of a later version
                }
            }
        }

        @Override
        public void ended(Wire w, String how) {
            shut();
        }

        void shut() {
            if (wire != null) {
                wire.close();
            }
            wire = null;
            up = false;
            identity = "";
            group = "";
            openAt = host.now().plus(LOOK);
        }
    }

    // ---- who comes ----

    /** A connection that another driver has opened to this one. */
    Net.Owner guest() {
        return new Guest();
    }

    private final class Guest implements Net.Owner {
        private Wire wire;
        private String role = "";
        private String name = "";
        private String endpoint = "";
        private String session = "";
        private Duration heardAt = host.now();
        private SessionFeed feed = new SessionFeed();
        private final Set<String> asks = new LinkedHashSet<>();

        @Override
        public void up(Wire w) {
            wire = w;
            if (guests.size() >= MOST_GUESTS || stopped) {
                w.close();
            } else {
                guests.add(this);
            }
        }

        @Override
        public void ended(Wire w, String how) {
            guests.remove(this);
        }

        @Override
        public void message(Wire w, Map<String, Object> m) {
            heardAt = host.now();
            try {
                String kind = MessageCodec.text(m, "k");
                if (kind.equals("hello")) {
                    hello(m);
                } else if (role.isEmpty()) {
                    refuse("no hello");
                } else if (role.equals("voter")) {
                    fromVoter(kind, m);
                } else {
                    fromDriver(kind, m);
                }
            } catch (Json.Malformed | IllegalArgumentException | ClassCastException e) {
                refuse("broken message: " + e.getMessage());
            } catch (IOException e) {
                breaks();
            }
        }

        private void refuse(String why) {
            wire.send(MessageCodec.message("refused", "why", why));
        }

        private void hello(Map<String, Object> m) {
            name = MessageCodec.text(m, "name");
            String group = MessageCodec.text(m, "group");
            if (!MessageCodec.text(m, "fleet").equals(rules.name())) {
                refuse("this is fleet '" + rules.name() + "'");
            } else if (!group.isEmpty()
                    && !store.group().isEmpty()
                    && !group.equals(store.group())) {
                refuse("this is council " + store.group() + " of fleet '" + rules.name() + "'");
            } else {
                role = MessageCodec.text(m, "role");
                endpoint = name + "/" + MessageCodec.text(m, "identity");
                session = role.equals("driver") ? name + "/" + MessageCodec.text(m, "run") : "";
                wire.send(presence("here", endpoint));
                push();
            }
        }

        private void fromVoter(String kind, Map<String, Object> m) throws IOException {
            switch (kind) {
                case "ping" -> wire.send(presence("here", endpoint));
                case "raft" -> {
                    RaftMessage message =
                            MessageCodec.message(Json.object(m.get("m"), "a message"));
                    saw(message);
                    if (message instanceof AppendEntriesRequest
                            || message instanceof InstallSnapshotRequest) {
                        ledAt = host.now();
                    }
                    if (node != null && store.group().equals(message.getGroupId())) {
                        node.handle(message);
                    }
                }
                case "pass" -> {
                    Command op = MessageCodec.op(Json.object(m.get("op"), "an op"));
                    if (node != null && leads()) {
                        submit(op);
                    }
                }
                case "news" -> spread(m);
                case "beats" ->
                        MessageCodec.beats(m.get("beats"))
                                .forEach((s, n) -> beats.merge(s, n, Math::max));
                case "reports" -> MessageCodec.texts(m.get("lines")).forEach(this::report);
                case "found" -> {
                    List<String> members = MessageCodec.texts(m.get("members"));
                    if (phase == Phase.FRESH && members.contains(self().id())) {
                        if (!MessageCodec.text(m, "group").equals(store.proposed())) {
                            store.propose(
                                    MessageCodec.text(m, "group"),
                                    members,
                                    MessageCodec.number(m, "epochs"));
                        }
                        wire.send(MessageCodec.message("founding", "group", store.proposed()));
                    }
                }
                case "let-in" -> {
                    if (phase == Phase.FRESH) {
                        store.found(
                                MessageCodec.text(m, "group"),
                                MessageCodec.texts(m.get("members")),
                                MessageCodec.number(m, "epochs"));
                        enter();
                    }
                }
                default -> refuse("not a voter's: " + kind);
            }
        }

        private void report(String line) {
            if (line.indexOf(' ') > 0 && line.length() <= LONGEST_REPORT) {
                reports.put(line.substring(0, line.indexOf(' ')), line);
            }
        }

        /** To all drivers that are attached here, but for the one that it came from. */
        private void spread(Map<String, Object> message) {
            guests.stream()
                    .filter(g -> g != this && !g.session.isEmpty())
                    .toList()
                    .forEach(g -> g.wire.send(message));
        }

        /** What a voter sends proves how far its own state has come. */
        private void saw(RaftMessage message) {
            String sender = (String) message.getSender().getId();
            // A poll before an election names a term that nobody has written down yet.
            boolean poll = message instanceof PreVoteRequest || message instanceof PreVoteResponse;
            if (sender.equals(endpoint) && !poll) {
                long index =
                        message instanceof AppendEntriesSuccessResponse r ? r.getLastLogIndex() : 0;
                ConsensusStore.Seen old = store.seen(sender);
                ConsensusStore.Seen now = old.with(message.getTerm(), index);
                if (now != old) {
                    store.saw(sender, now);
                }
            }
        }

        private void fromDriver(String kind, Map<String, Object> m) {
            switch (kind) {
                case "beat" -> {
                    if (!session.isEmpty()) {
                        beats.merge(session, MessageCodec.number(m, "n"), Math::max);
                    }
                }
                case "report" -> {
                    if (MessageCodec.text(m, "line").startsWith(session + " ")) {
                        report(MessageCodec.text(m, "line"));
                    }
                }
                case "ask" -> {
                    Command op = MessageCodec.op(Json.object(m.get("op"), "an op"));
                    boolean own = op.sessionId().equals(session) && !session.isEmpty();
                    String wrong = op.kind() == Command.Kind.VOTER ? whyNot(op) : "";
                    if (!wrong.isEmpty()) {
                        wire.send(
                                MessageCodec.message(
                                        "answer", "ask", op.requestId(), "result", wrong));
                    } else if (own
                            || op.kind() == Command.Kind.HAND_OVER
                            || op.kind() == Command.Kind.VOTER
                            || op.kind() == Command.Kind.WORK_ASK
                            || op.kind() == Command.Kind.WORK_WORD) {
                        if (!op.requestId().isEmpty()) {
                            asks.add(op.requestId());
                        }
                        submit(op.withProposedAt(host.wall()));
                    } else {
                        refuse("not this session's");
                    }
                }
                case "publish" -> {
                    DutyStateMachine.Duty d = register.duty(MessageCodec.text(m, "duty"));
                    if (d != null
                            && d.owner().equals(session)
                            && d.epoch() == MessageCodec.number(m, "epoch")) {
                        Map<String, Object> on =
                                MessageCodec.message(
                                        "news",
                                        "duty",
                                        d.name(),
                                        "epoch",
                                        d.epoch(),
                                        "what",
                                        m.get("what"));
                        peers.values().forEach(p -> p.send(on));
                        spread(on);
                    }
                }
                case "again" -> {
                    // The same connection goes on under another session.
                    session = name + "/" + MessageCodec.text(m, "run");
                    feed = new SessionFeed();
                    push();
                }
                case "status" -> wire.send(MessageCodec.message("status", "status", status()));
                default -> refuse("not a driver's: " + kind);
            }
        }

        /** Why the voters can't be changed like that now, or empty. */
        private String whyNot(Command op) {
            if (node == null) {
                return "this voter takes no part now";
            }
            List<String> now =
                    node.getCommittedMembers().getMembers().stream()
                            .map(e -> ((Endpoint) e).name())
                            .toList();
            boolean settled =
                    now.stream().allMatch(ConsensusNode.this::votes)
                            && register.voterChanges().entrySet().stream()
                                    .allMatch(
                                            c -> c.getValue().isEmpty() || now.contains(c.getKey()))
                            && node.getEffectiveMembers().getLogIndex()
                                    == node.getCommittedMembers().getLogIndex();
            if (!settled
                    && !register.voterChanges()
                            .getOrDefault(op.argument(), "-")
                            .equals(op.subject())) {
                return "the change before is not settled yet: one at a time";
            }
            if (op.subject().isEmpty() && now.size() <= 1) {
                return "the last voter can't be taken out";
            }
            return op.subject().isEmpty() && !now.contains(op.argument())
                    ? "'" + op.argument() + "' does not vote"
                    : "";
        }

        /** Tells what is settled and not told yet. */
        private void push() {
            if (!session.isEmpty() && node != null) {
                feed.push(register, wire, session);
            }
        }
    }

    // ---- for people ----

    /** All that an operator may want to know, as plain values. */
    Map<String, Object> status() {
        Map<String, Object> all = new HashMap<>();
        all.put("fleet", rules.name());
        all.put("voter", rules.driver());
        all.put("phase", phase.name());
        all.put("council", store.group());
        all.put("term", node == null ? 0L : (long) node.getTerm().getTerm());
        RaftEndpoint leader = node == null ? null : node.getTerm().getLeaderEndpoint();
        all.put("leader", leader == null ? "" : ((Endpoint) leader).name());
        all.put(
                "voters",
                node == null
                        ? List.of()
                        : node.getCommittedMembers().getMembers().stream()
                                .map(e -> ((Endpoint) e).name())
                                .sorted()
                                .toList());
        CouncilStatus.add(all, register, overdue, host.now());
        return all;
    }
}
