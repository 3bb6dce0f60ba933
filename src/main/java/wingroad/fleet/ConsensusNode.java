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
import wingroad.fleet.MessageTransport.Channel;
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
 * One voter of the consensus group: runs the Raft engine over its {@link ConsensusStore}, applies
 * the committed log to the duty state machine, and serves the driver sessions attached to it. Does
 * no I/O itself; all calls must be made on one thread.
 */
final class ConsensusNode {
    /**
     * The engine accepts only whole seconds, so it runs on scaled time: one engine second is
     * 1/{@link #ENGINE_SECONDS_PER_LEASE} of a lease. Followers then miss a leader after a third of
     * a lease, and a new leader is elected well before all leases have expired.
     */
    private static final RaftConfig ENGINE_CONFIG =
            RaftConfig.newBuilder()
                    .setLeaderElectionTimeoutMillis(1000)
                    .setLeaderHeartbeatPeriodSecs(1)
                    .setLeaderHeartbeatTimeoutSecs(4)
                    .setCommitCountToTakeSnapshot(2000)
                    .setMaxPendingLogEntryCount(2000)
                    .setRaftNodeReportPublishPeriodSecs(36_000)
                    .build();

    /** Number of engine seconds in one lease. */
    private static final int ENGINE_SECONDS_PER_LEASE = 12;

    /**
     * Silence of the leader, in engine seconds, after which the engine is restarted. The engine
     * itself starts an election after four, so by this time it has failed to.
     */
    private static final int LEADER_LOST_ENGINE_SECONDS = 8;

    /**
     * Interval of the periodic checks; also the delay before a lost peer connection is opened
     * again.
     */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    private static final Duration PING_INTERVAL = Duration.ofMillis(500);

    /** A peer connection that has been silent for this long is closed and opened again. */
    private static final Duration PEER_SILENCE_TIMEOUT = Duration.ofMillis(2500);

    /** Delay before reconnecting to a voter that refused this one. */
    private static final Duration REFUSED_RETRY_DELAY = Duration.ofSeconds(5);

    private static final int MAX_INBOUND_CONNECTIONS = 1024;

    /** Most session expiries, and most stopped drivers, that are proposed in one tick. */
    private static final int MAX_EXPIRIES_PER_TICK = 64;

    private static final int MAX_REPORT_CHARS = 1 << 16;

    /** Lifecycle phase of a voter. The names are written out in the status. */
    enum Phase {
        /** Not yet a member of a consensus group. */
        FRESH,
        /**
         * Has stored state and asks the other voters whether that state is the newest they know of.
         */
        PROVING,
        /** A member of the consensus group, with a running engine. */
        IN,
        /** The stored state cannot be written; the voter does not take part. */
        BROKEN
    }

    private final ExecutionContext context;
    private final MessageTransport transport;
    private final FleetConfig config;
    private final Random random;
    private final StoreReader storeReader;
    private final LongFunction<DutyStateMachine> stateMachineFactory;
    private ConsensusStore store;
    private DutyStateMachine stateMachine = new DutyStateMachine(0);
    private final SessionExpiryMonitor sessionExpiry;
    private RaftNode raftNode;
    private Phase phase;

    /**
     * Incremented with each start and stop of the engine, so that tasks of an earlier engine are
     * dropped.
     */
    private int engineGeneration;

    private final Map<String, Peer> peers = new TreeMap<>();
    private final Set<InboundConnection> inboundConnections = new LinkedHashSet<>();

    /** Newest heartbeat number of each session, not yet passed to the log. */
    private final Map<String, Long> pendingHeartbeats = new TreeMap<>();

    /** Latest report line of each session, not yet passed to the log. */
    private final Map<String, String> pendingReports = new TreeMap<>();

    /** Tracks drivers that have lost their session, or null where no maintenance is configured. */
    private final LostDriverMonitor lostDrivers;

    /** Endpoint ids of the voters that acknowledged the proposed group. */
    private final Set<String> foundingAcks = new LinkedHashSet<>();

    private boolean pushScheduled;
    private boolean membershipChangePending;

    /**
     * Time of the last message from a leader, or of the last check at which the engine knew of
     * none.
     */
    private Duration leaderSeenAt = Duration.ZERO;

    private boolean stopped;
    private String lastLoggedState = "";
    private String lastLoggedLeader = "";

    /**
     * @param storeReader opens the stored state, also anew after the previous store was closed
     * @param seed seeds the engine's random election timeouts and the group id
     */
    ConsensusNode(
            ExecutionContext context,
            MessageTransport transport,
            FleetConfig config,
            StoreReader storeReader,
            long seed)
            throws IOException {
        this(context, transport, config, storeReader, seed, DutyStateMachine::new);
    }

    /**
     * @param stateMachineFactory creates the replicated state machine from the group's initial
     *     epoch
     */
    ConsensusNode(
            ExecutionContext context,
            MessageTransport transport,
            FleetConfig config,
            StoreReader storeReader,
            long seed,
            LongFunction<DutyStateMachine> stateMachineFactory)
            throws IOException {
        this.stateMachineFactory = stateMachineFactory;
        this.context = context;
        this.transport = transport;
        this.config = config;
        this.storeReader = storeReader;
        this.store = storeReader.read();
        this.random = new Random(seed);
        this.sessionExpiry = new SessionExpiryMonitor(config.lease());
        this.lostDrivers =
                config.maintenance() == null
                        ? null
                        : new LostDriverMonitor(
                                config.maintenance(), config.lease().maxClockDrift());
    }

    void start() {
        if (store.setAsideNotice() != null) {
            context.log(
                    "fleet: state set aside as "
                            + store.setAsideNotice()
                            + "; this voter joins as a new one");
        }
        phase = store.groupId().isEmpty() ? Phase.FRESH : Phase.PROVING;
        updatePeers(store.voterChanges());
        logState(
                phase == Phase.FRESH
                        ? "is not in a consensus group yet"
                        : "asks the other voters whether its state is the newest");
        advanceStartup();
        runChecks();
        tick();
    }

    /**
     * Whether the named driver should be a voter, by the configuration and the committed voter
     * changes.
     */
    private boolean isVoter(String name) {
        Map<String, String> changes =
                raftNode == null ? store.voterChanges() : stateMachine.voterChanges();
        return changes.containsKey(name)
                ? !changes.get(name).isEmpty()
                : config.voterAddresses().containsKey(name);
    }

    /**
     * Updates the peers from the configured voters and the committed changes. An address from the
     * configuration takes precedence over one from a change.
     */
    private void updatePeers(Map<String, String> changes) {
        Map<String, String> addresses = new TreeMap<>(config.voterAddresses());
        changes.forEach(
                (name, address) -> {
                    if (address.isEmpty()) {
                        addresses.remove(name);
                    } else {
                        addresses.putIfAbsent(name, address);
                    }
                });
        addresses.remove(config.driver());
        addresses.forEach(
                (name, address) ->
                        peers.computeIfAbsent(name, peerName -> new Peer(peerName, address)));
        for (Peer peer : List.copyOf(peers.values())) {
            // The engine still sends to a member that is being removed.
            boolean stillMember =
                    raftNode != null
                            && raftNode.getCommittedMembers().getMembers().stream()
                                    .anyMatch(
                                            endpoint ->
                                                    ((Endpoint) endpoint).name().equals(peer.name));
            if (!addresses.containsKey(peer.name) && !stillMember) {
                peer.disconnect();
                peers.remove(peer.name);
            }
        }
    }

    void stop() {
        stopped = true;
        peers.values().forEach(Peer::disconnect);
        List.copyOf(inboundConnections).forEach(connection -> connection.channel.close());
        stopEngine();
        store.close();
    }

    DutyStateMachine stateMachine() {
        return stateMachine;
    }

    Phase phase() {
        return phase;
    }

    boolean isLeader() {
        return raftNode != null && self().equals(raftNode.getTerm().getLeaderEndpoint());
    }

    private Endpoint self() {
        return new Endpoint(config.driver() + "/" + store.identity());
    }

    /** Logs a state of this voter unless it was the last one logged. */
    private void logState(String state) {
        if (!state.equals(lastLoggedState)) {
            lastLoggedState = state;
            context.log("fleet: voter " + config.driver() + " " + state);
        }
    }

    // ---- startup and membership ----

    private void runChecks() {
        if (stopped) {
            return;
        }
        for (Peer peer : List.copyOf(peers.values())) {
            peer.checkConnection();
        }
        for (InboundConnection connection : List.copyOf(inboundConnections)) {
            if (context.now().minus(connection.lastHeardAt).compareTo(config.lease().duration())
                    > 0) {
                connection.channel.close();
                inboundConnections.remove(connection);
            }
        }
        advanceStartup();
        if (phase == Phase.IN && store.writeFailure() != null) {
            stopAsBroken();
        }
        logLeaderChange();
        if (phase == Phase.IN) {
            updatePeers(stateMachine.voterChanges());
            store.saveVoterChanges(stateMachine.voterChanges());
            if (raftNode.getStatus() == RaftNodeStatus.TERMINATED) {
                handleRemoval();
            }
        }
        if (phase == Phase.IN && isLeader()) {
            reconcileMembers();
        }
        checkLeaderTimeout();
        store.saveConfirmedPositions();
        context.schedule(CHECK_INTERVAL, this::runChecks);
    }

    /**
     * Restarts the engine when its leader has been silent for too long. Engine version 0.7 does not
     * notice the silence if it had started a pre-vote round and then heard the old leader again in
     * the same term: it believes that the round is still running. If this voter has the newest log,
     * nobody else can be elected. The restart continues from the stored state, as after a restart
     * of the process.
     */
    private void checkLeaderTimeout() {
        RaftEndpoint leader = raftNode == null ? null : raftNode.getTerm().getLeaderEndpoint();
        if (leader == null || isLeader()) {
            leaderSeenAt = context.now();
        } else if (context.now().minus(leaderSeenAt).toNanos()
                > LEADER_LOST_ENGINE_SECONDS * engineSecondInSeconds() * 1e9) {
            leaderSeenAt = context.now();
            logState(
                    "has not heard from leader "
                            + ((Endpoint) leader).name()
                            + " and its engine has started no election: restarting it from the"
                            + " stored state");
            stopEngine();
            phase = Phase.BROKEN;
            try {
                reloadState();
            } catch (IOException e) {
                stopAsBroken();
            }
        }
    }

    private void logLeaderChange() {
        RaftEndpoint leader = raftNode == null ? null : raftNode.getTerm().getLeaderEndpoint();
        String leaderName = leader == null ? "" : ((Endpoint) leader).name();
        if (!leaderName.equals(lastLoggedLeader)) {
            lastLoggedLeader = leaderName;
            context.log(
                    "fleet: "
                            + (leaderName.isEmpty()
                                    ? "no known leader"
                                    : leaderName + " is the leader")
                            + (raftNode == null ? "" : ", term " + raftNode.getTerm().getTerm())
                            + ", entries "
                            + stateMachine.revision()
                            + ", sessions "
                            + stateMachine.sessions().size());
        }
    }

    private void advanceStartup() {
        try {
            if (phase == Phase.FRESH) {
                tryFoundGroup();
            } else if (phase == Phase.PROVING) {
                verifyStateIsCurrent();
            }
        } catch (IOException e) {
            stopAsBroken();
        }
    }

    /**
     * Stops the engine because the stored state cannot be written, so that nothing more is
     * confirmed. Once it can be read again, the content on disk is authoritative.
     */
    private void stopAsBroken() {
        logState(
                "cannot write its state and no longer votes: "
                        + (store.writeFailure() == null ? "" : store.writeFailure().getMessage()));
        stopEngine();
        phase = Phase.BROKEN;
    }

    /** Opens a voter's stored state. */
    interface StoreReader {
        ConsensusStore read() throws IOException;
    }

    /** Closes the store, reads the stored state again and continues from it. */
    void reloadState() throws IOException {
        store.close();
        store = storeReader.read();
        phase = store.groupId().isEmpty() ? Phase.FRESH : Phase.PROVING;
        logState("has reloaded its stored state");
        advanceStartup();
    }

    private void stopEngine() {
        engineGeneration++;
        if (raftNode != null) {
            raftNode.terminate();
            raftNode = null;
        }
    }

    /**
     * Without stored state: founds a consensus group with all configured voters, unless one of them
     * already belongs to a group. The voter whose name sorts first proposes; the others
     * acknowledge.
     */
    private void tryFoundGroup() throws IOException {
        if (!config.voterAddresses().containsKey(config.driver())) {
            return;
        }
        for (Peer peer : peers.values()) {
            if (!peer.groupId.isEmpty()
                    && peer.groupId.equals(store.proposedGroupId())
                    && store.founders().contains(self().id())) {
                store.saveGroup(peer.groupId, store.founders(), store.initialEpoch());
                startEngine();
                return;
            }
        }
        String proposerName =
                config.voterAddresses().keySet().stream().sorted().findFirst().orElse("");
        if (!proposerName.equals(config.driver())) {
            return;
        }
        List<String> memberIds = new ArrayList<>(List.of(self().id()));
        for (String name : config.voterAddresses().keySet()) {
            Peer peer = peers.get(name);
            if (peer != null) {
                if (!peer.isIdentified() || !peer.groupId.isEmpty()) {
                    logState(
                            peer.isIdentified()
                                    ? "has no state and waits to be added to the consensus group"
                                    : "waits for " + name + " before founding the consensus group");
                    return;
                }
                memberIds.add(peer.endpoint().id());
            }
        }
        memberIds.sort(null);
        if (!memberIds.equals(store.founders()) || store.proposedGroupId().isEmpty()) {
            foundingAcks.clear();
            store.saveProposal(
                    Long.toHexString(random.nextLong()),
                    memberIds,
                    context.wallClockMs() / 1000 * 1000);
        }
        if (foundingAcks.containsAll(
                memberIds.stream().filter(memberId -> !memberId.equals(self().id())).toList())) {
            store.saveGroup(store.proposedGroupId(), store.founders(), store.initialEpoch());
            logState(
                    "founds consensus group "
                            + store.groupId()
                            + " with "
                            + memberIds.size()
                            + " voters, epochs from "
                            + store.initialEpoch());
            startEngine();
            return;
        }
        peers.values()
                .forEach(
                        peer ->
                                peer.send(
                                        MessageCodec.message(
                                                "found",
                                                "group",
                                                store.proposedGroupId(),
                                                "members",
                                                store.founders(),
                                                "epochs",
                                                store.initialEpoch())));
    }

    /**
     * With stored state: starts the engine once enough other voters confirm that this voter has
     * never confirmed anything newer than its stored state. If one knows of newer state, the local
     * state is set aside and the voter rejoins as a new one.
     */
    private void verifyStateIsCurrent() throws IOException {
        int confirmations = 0;
        for (Peer peer : peers.values()) {
            if (peer.isIdentified() && peer.groupId.equals(store.groupId())) {
                confirmations++;
                if (store.isOlderThan(peer.ourConfirmedPosition)) {
                    context.log(
                            "fleet: "
                                    + peer.name
                                    + " has seen this voter confirm term "
                                    + peer.ourConfirmedPosition.term()
                                    + ", entry "
                                    + peer.ourConfirmedPosition.index()
                                    + ": the stored state here is older");
                    store.setAside("older than the state that this voter has confirmed");
                    context.log("fleet: state set aside as " + store.setAsideNotice());
                    phase = Phase.FRESH;
                    // The identity is sent when a connection opens, so reconnect with the new one.
                    peers.values().forEach(Peer::disconnect);
                    return;
                }
            }
        }
        if (confirmations >= (peers.size() + 1) / 2) {
            startEngine();
        }
    }

    private void startEngine() throws IOException {
        int generation = ++engineGeneration;
        stateMachine = stateMachineFactory.apply(store.initialEpoch());
        RaftNode.RaftNodeBuilder builder =
                RaftNode.newBuilder()
                        .setGroupId(store.groupId())
                        .setConfig(ENGINE_CONFIG)
                        .setRandom(random)
                        .setClock(new EngineClock())
                        .setExecutor(new EngineExecutor(generation))
                        .setTransport(new EngineTransport())
                        .setStateMachine(new EngineStateMachine(generation))
                        .setStore(store)
                        .setModelFactory(MessageCodec.MODEL_FACTORY);
        RestoredRaftState restored = store.restored();
        if (restored != null) {
            builder.setRestoredState(restored);
        } else {
            builder.setLocalEndpoint(self())
                    .setInitialGroupMembers(MessageCodec.decodeEndpoints(store.founders()));
        }
        raftNode = builder.build();
        phase = Phase.IN;
        raftNode.start();
        logState(
                "joined consensus group "
                        + store.groupId()
                        + (restored == null
                                ? ""
                                : " with its stored state, term "
                                        + restored.getTermPersistentState().getTerm()));
    }

    /**
     * Handles the members reported by another voter. The engine does not send a removed voter the
     * log entry that removes it, so a report of a later log index that lacks this voter counts
     * instead.
     */
    private void handleReportedMembers(List<String> reportedMembers, long reportedIndex) {
        RaftGroupMembers ownMembers = raftNode.getCommittedMembers();
        if (reportedIndex > ownMembers.getLogIndex()
                && ownMembers.getMembers().contains(self())
                && !reportedMembers.contains(self().id())) {
            handleRemoval();
        }
    }

    /**
     * This voter has been removed from the group: stops the engine and sets the state aside. If it
     * is added again, it joins as a new voter.
     */
    private void handleRemoval() {
        logState("has been removed from the consensus group");
        stopEngine();
        try {
            store.setAside("removed from the consensus group");
            context.log("fleet: state set aside as " + store.setAsideNotice());
            phase = Phase.FRESH;
            peers.values().forEach(Peer::disconnect);
        } catch (IOException e) {
            stopAsBroken();
        }
    }

    /**
     * As the leader: brings the members in line with the configured voters, one change at a time. A
     * voter that lost its state replaces its former endpoint.
     */
    private void reconcileMembers() {
        RaftGroupMembers members = raftNode.getCommittedMembers();
        if (membershipChangePending
                || raftNode.getStatus() != RaftNodeStatus.ACTIVE
                || raftNode.getEffectiveMembers().getLogIndex() != members.getLogIndex()) {
            return;
        }
        for (RaftEndpoint endpoint : members.getMembers()) {
            String name = ((Endpoint) endpoint).name();
            if (!isVoter(name) && members.getMembers().size() > 1) {
                if (!name.equals(config.driver())) {
                    changeMember(endpoint, MembershipChangeMode.REMOVE_MEMBER, members);
                } else {
                    members.getMembers().stream()
                            .filter(
                                    other ->
                                            !other.equals(endpoint)
                                                    && peers.containsKey(((Endpoint) other).name())
                                                    && peers.get(((Endpoint) other).name())
                                                            .isIdentified())
                            .findFirst()
                            .ifPresent(raftNode::transferLeadership);
                }
                return;
            }
        }
        for (Peer peer : peers.values()) {
            if (!peer.isIdentified() || !isVoter(peer.name)) {
                continue;
            }
            RaftEndpoint oldEndpoint =
                    members.getMembers().stream()
                            .filter(
                                    endpoint ->
                                            ((Endpoint) endpoint).name().equals(peer.name)
                                                    && !endpoint.equals(peer.endpoint()))
                            .findFirst()
                            .orElse(null);
            if (oldEndpoint != null
                    && (peer.groupId.isEmpty() || peer.groupId.equals(store.groupId()))) {
                changeMember(oldEndpoint, MembershipChangeMode.REMOVE_MEMBER, members);
                return;
            }
            if (!members.getMembers().contains(peer.endpoint())) {
                if (peer.groupId.isEmpty()) {
                    peer.send(
                            MessageCodec.message(
                                    "let-in",
                                    "group",
                                    store.groupId(),
                                    "members",
                                    store.founders(),
                                    "epochs",
                                    store.initialEpoch()));
                } else if (peer.groupId.equals(store.groupId())) {
                    changeMember(
                            peer.endpoint(),
                            MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER,
                            members);
                    return;
                }
            }
        }
    }

    private void changeMember(
            RaftEndpoint endpoint, MembershipChangeMode mode, RaftGroupMembers members) {
        membershipChangePending = true;
        context.log(
                "fleet: voters: "
                        + (mode == MembershipChangeMode.REMOVE_MEMBER ? "removing " : "adding ")
                        + endpoint.getId());
        raftNode.changeMembership(endpoint, mode, members.getLogIndex())
                .whenComplete(
                        (done, failure) -> {
                            membershipChangePending = false;
                            context.log(
                                    "fleet: voters: "
                                            + endpoint.getId()
                                            + (failure == null
                                                    ? " committed"
                                                    : " not committed: " + failure));
                        });
    }

    // ---- replicated log ----

    /**
     * Proposes a command, here or through the leader. Not reliable: the requester repeats it until
     * it sees the effect.
     */
    private void propose(Command command) {
        if (raftNode == null) {
            return;
        }
        if (isLeader()) {
            raftNode.replicate(command)
                    .whenComplete(
                            (done, failure) -> {
                                // The command may not have been committed; the requester repeats
                                // it.
                            });
        } else {
            sendToLeader(MessageCodec.message("pass", "op", MessageCodec.encode(command)));
        }
    }

    /** Proposes a command as if an attached driver had requested it; for simulations. */
    void proposeForTest(Command command) {
        propose(command);
    }

    private void sendToLeader(Map<String, Object> message) {
        RaftEndpoint leader = raftNode.getTerm().getLeaderEndpoint();
        Peer peer = leader == null ? null : peers.get(((Endpoint) leader).name());
        if (peer != null) {
            peer.send(message);
        }
    }

    /**
     * Proposes, or passes to the leader, the collected heartbeats and reports, and proposes the
     * expiry of overdue sessions.
     */
    private void tick() {
        if (stopped) {
            return;
        }
        if (raftNode != null) {
            if (isLeader()) {
                if (!pendingHeartbeats.isEmpty()) {
                    propose(
                            Command.heartbeat(pendingHeartbeats)
                                    .withProposedAt(context.wallClockMs()));
                }
                if (!pendingReports.isEmpty()) {
                    propose(
                            Command.driverReports(List.copyOf(pendingReports.values()))
                                    .withProposedAt(context.wallClockMs()));
                }
                sessionExpiry.expireCommands(context.now()).stream()
                        .limit(MAX_EXPIRIES_PER_TICK)
                        .forEach(command -> propose(command.withProposedAt(context.wallClockMs())));
                if (lostDrivers != null) {
                    lostDrivers.newlyStopped(stateMachine.plan(), context.now()).stream()
                            .limit(MAX_EXPIRIES_PER_TICK)
                            .forEach(
                                    lostDriver ->
                                            propose(
                                                    Command.driverStopped(
                                                                    lostDriver.identity(),
                                                                    lostDriver.lossNumber(),
                                                                    lostDriver.level())
                                                            .withProposedAt(
                                                                    context.wallClockMs())));
                }
            } else {
                if (!pendingReports.isEmpty()) {
                    sendToLeader(
                            MessageCodec.message(
                                    "reports", "lines", List.copyOf(pendingReports.values())));
                }
                if (!pendingHeartbeats.isEmpty()) {
                    sendToLeader(
                            MessageCodec.message(
                                    "beats", "beats", new TreeMap<>(pendingHeartbeats)));
                }
                // A new leader starts its timers anew, so a follower that has run longer may
                // detect an expired session first.
                sessionExpiry
                        .expireCommands(context.now().minus(config.lease().heartbeatInterval()))
                        .stream()
                        .limit(MAX_EXPIRIES_PER_TICK)
                        .forEach(command -> propose(command.withProposedAt(context.wallClockMs())));
            }
        }
        // Lost heartbeats and reports are made up for by the drivers' next ones.
        pendingHeartbeats.clear();
        pendingReports.clear();
        context.schedule(config.lease().heartbeatInterval().dividedBy(2), this::tick);
    }

    /** Notifies the attached drivers that wait for this command, and pushes the changed state. */
    private void commandApplied(Command command, String result) {
        observeSessions();
        if (!result.isEmpty() && command.kind() == Command.Kind.OPEN) {
            inboundConnections.stream()
                    .filter(connection -> connection.sessionId.equals(command.sessionId()))
                    .toList()
                    .forEach(
                            connection ->
                                    connection.channel.send(
                                            MessageCodec.message("not-opened", "why", result)));
        }
        if (!command.requestId().isEmpty()) {
            inboundConnections.stream()
                    .filter(connection -> connection.pendingRequestIds.remove(command.requestId()))
                    .toList()
                    .forEach(
                            connection ->
                                    connection.channel.send(
                                            MessageCodec.message(
                                                    "answer",
                                                    "ask",
                                                    command.requestId(),
                                                    "result",
                                                    result)));
        }
        schedulePush();
    }

    private void observeSessions() {
        sessionExpiry.observe(stateMachine, context.now());
        if (lostDrivers != null) {
            lostDrivers.observe(stateMachine.plan(), context.now());
        }
    }

    /**
     * Schedules one push of updates to all attached drivers, however many commands are applied
     * before it runs.
     */
    private void schedulePush() {
        if (!pushScheduled) {
            pushScheduled = true;
            context.execute(
                    () -> {
                        pushScheduled = false;
                        inboundConnections.forEach(InboundConnection::pushUpdates);
                    });
        }
    }

    /** Applies the engine's committed entries to the duty state machine. */
    private final class EngineStateMachine implements StateMachine {
        private final int generation;

        EngineStateMachine(int generation) {
            this.generation = generation;
        }

        @Override
        public Object runOperation(long index, Object operation) {
            if (generation != engineGeneration) {
                return "";
            }
            Command command = (Command) operation;
            String result = stateMachine.apply(command);
            commandApplied(command, result);
            return result;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            chunks.accept(stateMachine.snapshot());
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            if (generation == engineGeneration) {
                stateMachine.restore(Json.object(chunks.get(0), "a snapshot"));
                observeSessions();
                schedulePush();
            }
        }

        @Override
        public Object getNewTermOperation() {
            return Command.noOp();
        }
    }

    /**
     * Runs the engine's tasks on the context's thread, in engine time; drops those of an earlier
     * engine.
     */
    private final class EngineExecutor implements RaftNodeExecutor {
        private final int generation;

        EngineExecutor(int generation) {
            this.generation = generation;
        }

        private Runnable ifCurrent(Runnable task) {
            return () -> {
                if (generation == engineGeneration && !stopped) {
                    task.run();
                }
            };
        }

        @Override
        public void execute(Runnable task) {
            context.execute(ifCurrent(task));
        }

        @Override
        public void submit(Runnable task) {
            context.execute(ifCurrent(task));
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            context.schedule(
                    Duration.ofNanos((long) (unit.toNanos(delay) * engineSecondInSeconds())),
                    ifCurrent(task));
        }
    }

    /** Sends the engine's messages over the peer connections. */
    private final class EngineTransport implements Transport {
        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            Peer peer = peers.get(((Endpoint) target).name());
            if (peer != null && peer.isIdentified() && peer.endpoint().equals(target)) {
                peer.send(MessageCodec.message("raft", "m", MessageCodec.encode(message)));
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint target) {
            Peer peer = peers.get(((Endpoint) target).name());
            return peer != null && peer.isIdentified() && peer.endpoint().equals(target);
        }
    }

    /** Length of one engine second, in real seconds. */
    private double engineSecondInSeconds() {
        return config.lease().duration().toNanos() / 1e9 / ENGINE_SECONDS_PER_LEASE;
    }

    /** The monotonic clock scaled to engine time; the engine only uses differences. */
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
            return Instant.EPOCH.plusNanos(
                    (long) (context.now().toNanos() / engineSecondInSeconds()));
        }
    }

    // ---- connections to other voters ----

    /**
     * This voter's identity, membership, and the newest position that it knows the caller to have
     * confirmed.
     */
    private Map<String, Object> presenceMessage(String kind, String caller) {
        ConsensusStore.ConfirmedPosition confirmed = store.confirmedPosition(caller);
        RaftGroupMembers members = raftNode == null ? null : raftNode.getCommittedMembers();
        RaftEndpoint leader = raftNode == null ? null : raftNode.getTerm().getLeaderEndpoint();
        return MessageCodec.message(
                kind,
                "fleet",
                config.name(),
                "name",
                config.driver(),
                "identity",
                store.identity(),
                "group",
                store.groupId(),
                "voters",
                new TreeMap<>(
                        raftNode == null ? store.voterChanges() : stateMachine.voterChanges()),
                "members",
                members == null ? List.of() : MessageCodec.endpointIds(members.getMembers()),
                "members-at",
                members == null ? 0 : members.getLogIndex(),
                "term",
                confirmed.term(),
                "entry-term",
                confirmed.entryTerm(),
                "index",
                confirmed.index(),
                "lead",
                leader == null ? "" : ((Endpoint) leader).name());
    }

    /**
     * The outgoing connection to another voter. It carries what this voter sends; the messages of
     * the other one arrive on the connection that the other one opened.
     */
    private final class Peer implements MessageTransport.ChannelHandler {
        private final String name;
        private final String address;
        private Channel channel;
        private boolean isConnected;
        private String identity = "";
        private String groupId = "";
        private ConsensusStore.ConfirmedPosition ourConfirmedPosition =
                new ConsensusStore.ConfirmedPosition(0, 0, 0);
        private Duration lastHeardAt = Duration.ZERO;
        private Duration lastPingAt = Duration.ZERO;
        private Duration reconnectAt = Duration.ZERO;
        private String lastRefusal = "";

        Peer(String name, String address) {
            this.name = name;
            this.address = address;
        }

        Endpoint endpoint() {
            return new Endpoint(name + "/" + identity);
        }

        boolean isIdentified() {
            return isConnected && !identity.isEmpty();
        }

        void send(Map<String, Object> message) {
            if (isConnected) {
                channel.send(message);
            }
        }

        void checkConnection() {
            Duration now = context.now();
            if (channel == null) {
                if (now.compareTo(reconnectAt) >= 0) {
                    lastHeardAt = now;
                    channel = transport.open(address, this);
                }
            } else if (now.minus(lastHeardAt).compareTo(PEER_SILENCE_TIMEOUT) > 0) {
                disconnect();
            } else if (isConnected && now.minus(lastPingAt).compareTo(PING_INTERVAL) >= 0) {
                lastPingAt = now;
                channel.send(MessageCodec.message("ping"));
            }
        }

        @Override
        public void connected(Channel opened) {
            isConnected = true;
            opened.send(
                    MessageCodec.message(
                            "hello",
                            "fleet",
                            config.name(),
                            "name",
                            config.driver(),
                            "role",
                            "voter",
                            "identity",
                            store.identity(),
                            "group",
                            store.groupId()));
        }

        @Override
        public void received(Channel source, Map<String, Object> message) {
            lastHeardAt = context.now();
            switch (MessageCodec.stringOrEmpty(message, "k")) {
                case "here" -> {
                    identity = MessageCodec.stringOrEmpty(message, "identity");
                    groupId = MessageCodec.stringOrEmpty(message, "group");
                    ourConfirmedPosition =
                            new ConsensusStore.ConfirmedPosition(
                                    (int) MessageCodec.longOrZero(message, "term"),
                                    (int) MessageCodec.longOrZero(message, "entry-term"),
                                    MessageCodec.longOrZero(message, "index"));
                    lastRefusal = "";
                    if (groupId.equals(store.groupId()) && raftNode != null) {
                        handleReportedMembers(
                                MessageCodec.stringList(message.get("members")),
                                MessageCodec.longOrZero(message, "members-at"));
                    }
                    advanceStartup();
                }
                case "founding" -> {
                    if (MessageCodec.stringOrEmpty(message, "group").equals(store.proposedGroupId())
                            && isIdentified()) {
                        foundingAcks.add(endpoint().id());
                        advanceStartup();
                    }
                }
                case "refused" -> {
                    if (!lastRefusal.equals(MessageCodec.stringOrEmpty(message, "why"))) {
                        lastRefusal = MessageCodec.stringOrEmpty(message, "why");
                        context.log(
                                "fleet: refused by "
                                        + name
                                        + " at "
                                        + address
                                        + ": "
                                        + lastRefusal);
                    }
                    disconnect();
                    reconnectAt = context.now().plus(REFUSED_RETRY_DELAY);
                }
                default -> {
                    // unknown message of a later version
                }
            }
        }

        @Override
        public void closed(Channel source, String reason) {
            disconnect();
        }

        void disconnect() {
            if (channel != null) {
                channel.close();
            }
            channel = null;
            isConnected = false;
            identity = "";
            groupId = "";
            reconnectAt = context.now().plus(CHECK_INTERVAL);
        }
    }

    // ---- connections from drivers and voters ----

    /** Returns the handler for a new incoming connection. */
    MessageTransport.ChannelHandler newInboundHandler() {
        return new InboundConnection();
    }

    /**
     * A connection opened by another voter, a driver or the command line; the role is given by its
     * hello.
     */
    private final class InboundConnection implements MessageTransport.ChannelHandler {
        private Channel channel;
        private String role = "";
        private String name = "";
        private String endpointId = "";
        private String sessionId = "";
        private Duration lastHeardAt = context.now();
        private SessionUpdates updates = new SessionUpdates();
        private final Set<String> pendingRequestIds = new LinkedHashSet<>();

        @Override
        public void connected(Channel opened) {
            channel = opened;
            if (inboundConnections.size() >= MAX_INBOUND_CONNECTIONS || stopped) {
                opened.close();
            } else {
                inboundConnections.add(this);
            }
        }

        @Override
        public void closed(Channel source, String reason) {
            inboundConnections.remove(this);
        }

        @Override
        public void received(Channel source, Map<String, Object> message) {
            lastHeardAt = context.now();
            try {
                String kind = MessageCodec.stringOrEmpty(message, "k");
                if (kind.equals("hello")) {
                    handleHello(message);
                } else if (role.isEmpty()) {
                    refuse("no hello");
                } else if (role.equals("voter")) {
                    handleVoterMessage(kind, message);
                } else {
                    handleDriverMessage(kind, message);
                }
            } catch (Json.MalformedJsonException
                    | IllegalArgumentException
                    | ClassCastException e) {
                refuse("broken message: " + e.getMessage());
            } catch (IOException e) {
                stopAsBroken();
            }
        }

        private void refuse(String reason) {
            channel.send(MessageCodec.message("refused", "why", reason));
        }

        private void handleHello(Map<String, Object> message) {
            name = MessageCodec.stringOrEmpty(message, "name");
            String groupId = MessageCodec.stringOrEmpty(message, "group");
            if (!MessageCodec.stringOrEmpty(message, "fleet").equals(config.name())) {
                refuse("this is fleet '" + config.name() + "'");
            } else if (!groupId.isEmpty()
                    && !store.groupId().isEmpty()
                    && !groupId.equals(store.groupId())) {
                refuse("this is council " + store.groupId() + " of fleet '" + config.name() + "'");
            } else {
                role = MessageCodec.stringOrEmpty(message, "role");
                endpointId = name + "/" + MessageCodec.stringOrEmpty(message, "identity");
                sessionId =
                        role.equals("driver")
                                ? name + "/" + MessageCodec.stringOrEmpty(message, "run")
                                : "";
                channel.send(presenceMessage("here", endpointId));
                pushUpdates();
            }
        }

        private void handleVoterMessage(String kind, Map<String, Object> message)
                throws IOException {
            switch (kind) {
                case "ping" -> channel.send(presenceMessage("here", endpointId));
                case "raft" -> {
                    RaftMessage raftMessage =
                            MessageCodec.decodeMessage(Json.object(message.get("m"), "a message"));
                    recordConfirmed(raftMessage);
                    if (raftMessage instanceof AppendEntriesRequest
                            || raftMessage instanceof InstallSnapshotRequest) {
                        leaderSeenAt = context.now();
                    }
                    if (raftNode != null && store.groupId().equals(raftMessage.getGroupId())) {
                        raftNode.handle(raftMessage);
                    }
                }
                case "pass" -> {
                    Command command =
                            MessageCodec.decodeCommand(Json.object(message.get("op"), "an op"));
                    if (raftNode != null && isLeader()) {
                        propose(command);
                    }
                }
                case "news" -> forwardToDrivers(message);
                case "beats" ->
                        MessageCodec.decodeHeartbeats(message.get("beats"))
                                .forEach(
                                        (heartbeatSession, heartbeatNumber) ->
                                                pendingHeartbeats.merge(
                                                        heartbeatSession,
                                                        heartbeatNumber,
                                                        Math::max));
                case "reports" ->
                        MessageCodec.stringList(message.get("lines")).forEach(this::recordReport);
                case "found" -> {
                    List<String> members = MessageCodec.stringList(message.get("members"));
                    if (phase == Phase.FRESH && members.contains(self().id())) {
                        if (!MessageCodec.stringOrEmpty(message, "group")
                                .equals(store.proposedGroupId())) {
                            store.saveProposal(
                                    MessageCodec.stringOrEmpty(message, "group"),
                                    members,
                                    MessageCodec.longOrZero(message, "epochs"));
                        }
                        channel.send(
                                MessageCodec.message("founding", "group", store.proposedGroupId()));
                    }
                }
                case "let-in" -> {
                    if (phase == Phase.FRESH) {
                        store.saveGroup(
                                MessageCodec.stringOrEmpty(message, "group"),
                                MessageCodec.stringList(message.get("members")),
                                MessageCodec.longOrZero(message, "epochs"));
                        startEngine();
                    }
                }
                default -> refuse("not a voter's: " + kind);
            }
        }

        private void recordReport(String line) {
            if (line.indexOf(' ') > 0 && line.length() <= MAX_REPORT_CHARS) {
                pendingReports.put(line.substring(0, line.indexOf(' ')), line);
            }
        }

        /** Forwards a message to all drivers attached here, except the sender. */
        private void forwardToDrivers(Map<String, Object> message) {
            inboundConnections.stream()
                    .filter(connection -> connection != this && !connection.sessionId.isEmpty())
                    .toList()
                    .forEach(connection -> connection.channel.send(message));
        }

        /**
         * Records the newest term and log index that a voter's message proves it to have confirmed.
         */
        private void recordConfirmed(RaftMessage raftMessage) {
            String sender = (String) raftMessage.getSender().getId();
            // A pre-vote carries a term that nobody has stored yet.
            boolean preVote =
                    raftMessage instanceof PreVoteRequest || raftMessage instanceof PreVoteResponse;
            if (sender.equals(endpointId) && !preVote) {
                long index =
                        raftMessage instanceof AppendEntriesSuccessResponse response
                                ? response.getLastLogIndex()
                                : 0;
                ConsensusStore.ConfirmedPosition known = store.confirmedPosition(sender);
                ConsensusStore.ConfirmedPosition updated =
                        known.advancedTo(raftMessage.getTerm(), index);
                if (updated != known) {
                    store.recordConfirmed(sender, updated);
                }
            }
        }

        private void handleDriverMessage(String kind, Map<String, Object> message) {
            switch (kind) {
                case "beat" -> {
                    if (!sessionId.isEmpty()) {
                        pendingHeartbeats.merge(
                                sessionId, MessageCodec.longOrZero(message, "n"), Math::max);
                    }
                }
                case "report" -> {
                    if (MessageCodec.stringOrEmpty(message, "line").startsWith(sessionId + " ")) {
                        recordReport(MessageCodec.stringOrEmpty(message, "line"));
                    }
                }
                case "ask" -> {
                    Command command =
                            MessageCodec.decodeCommand(Json.object(message.get("op"), "an op"));
                    boolean fromOwnSession =
                            command.sessionId().equals(sessionId) && !sessionId.isEmpty();
                    String refusal =
                            command.kind() == Command.Kind.VOTER
                                    ? whyVoterChangeRefused(command)
                                    : "";
                    if (!refusal.isEmpty()) {
                        channel.send(
                                MessageCodec.message(
                                        "answer", "ask", command.requestId(), "result", refusal));
                    } else if (fromOwnSession
                            || command.kind() == Command.Kind.HAND_OVER
                            || command.kind() == Command.Kind.VOTER
                            || command.kind() == Command.Kind.WORK_ASK
                            || command.kind() == Command.Kind.WORK_WORD) {
                        if (!command.requestId().isEmpty()) {
                            pendingRequestIds.add(command.requestId());
                        }
                        propose(command.withProposedAt(context.wallClockMs()));
                    } else {
                        refuse("not this session's");
                    }
                }
                case "publish" -> {
                    DutyStateMachine.Duty duty =
                            stateMachine.duty(MessageCodec.stringOrEmpty(message, "duty"));
                    if (duty != null
                            && duty.owner().equals(sessionId)
                            && duty.epoch() == MessageCodec.longOrZero(message, "epoch")) {
                        Map<String, Object> publication =
                                MessageCodec.message(
                                        "news",
                                        "duty",
                                        duty.name(),
                                        "epoch",
                                        duty.epoch(),
                                        "what",
                                        message.get("what"));
                        peers.values().forEach(peer -> peer.send(publication));
                        forwardToDrivers(publication);
                    }
                }
                case "again" -> {
                    // The driver opened another session on the same connection.
                    sessionId = name + "/" + MessageCodec.stringOrEmpty(message, "run");
                    updates = new SessionUpdates();
                    pushUpdates();
                }
                case "status" -> channel.send(MessageCodec.message("status", "status", status()));
                default -> refuse("not a driver's: " + kind);
            }
        }

        /** Returns why a voter change is refused now, or an empty string. */
        private String whyVoterChangeRefused(Command command) {
            if (raftNode == null) {
                return "this voter takes no part now";
            }
            List<String> currentVoters =
                    raftNode.getCommittedMembers().getMembers().stream()
                            .map(endpoint -> ((Endpoint) endpoint).name())
                            .toList();
            boolean previousCommitted =
                    currentVoters.stream().allMatch(ConsensusNode.this::isVoter)
                            && stateMachine.voterChanges().entrySet().stream()
                                    .allMatch(
                                            change ->
                                                    change.getValue().isEmpty()
                                                            || currentVoters.contains(
                                                                    change.getKey()))
                            && raftNode.getEffectiveMembers().getLogIndex()
                                    == raftNode.getCommittedMembers().getLogIndex();
            if (!previousCommitted
                    && !stateMachine
                            .voterChanges()
                            .getOrDefault(command.argument(), "-")
                            .equals(command.subject())) {
                return "the change before is not settled yet: one at a time";
            }
            if (command.subject().isEmpty() && currentVoters.size() <= 1) {
                return "the last voter can't be taken out";
            }
            return command.subject().isEmpty() && !currentVoters.contains(command.argument())
                    ? "'" + command.argument() + "' does not vote"
                    : "";
        }

        /** Sends the committed changes that the driver has not received yet. */
        private void pushUpdates() {
            if (!sessionId.isEmpty() && raftNode != null) {
                updates.push(stateMachine, channel, sessionId);
            }
        }
    }

    // ---- status ----

    /** Returns the status as plain values, for the command line. */
    Map<String, Object> status() {
        Map<String, Object> status = new HashMap<>();
        status.put("fleet", config.name());
        status.put("voter", config.driver());
        status.put("phase", phase.name());
        status.put("council", store.groupId());
        status.put("term", raftNode == null ? 0L : (long) raftNode.getTerm().getTerm());
        RaftEndpoint leader = raftNode == null ? null : raftNode.getTerm().getLeaderEndpoint();
        status.put("leader", leader == null ? "" : ((Endpoint) leader).name());
        status.put(
                "voters",
                raftNode == null
                        ? List.of()
                        : raftNode.getCommittedMembers().getMembers().stream()
                                .map(endpoint -> ((Endpoint) endpoint).name())
                                .sorted()
                                .toList());
        ConsensusStatus.putAll(status, stateMachine, sessionExpiry, context.now());
        return status;
    }
}
