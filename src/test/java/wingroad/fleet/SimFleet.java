package wingroad.fleet;

import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;

import wingroad.duty.EpochFence;
import wingroad.duty.Lease;
import wingroad.duty.SessionLease;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Deterministic simulation of a fleet in virtual time. It runs the program's own code on simulated
 * clocks, links and disks, injects faults drawn from a seed, and checks which process may act under
 * a duty and which effects the receiver accepts.
 */
final class SimFleet {
    /** Bugs that can be injected to test whether the checker detects them. */
    enum InjectedBug {
        NONE,
        NO_FENCE,
        LEASE_FROM_ANSWER,
        VOTE_FORGOTTEN,
        NO_LEASE_ON_VIEW,
        OUT_BY_MAJORITY,
        ORDER_WITHOUT_EPOCH
    }

    /** Lease time of a session. */
    static final Duration LEASE_DURATION = Duration.ofSeconds(4);

    /** Largest deviation of a clock's speed from real time, as a share. */
    static final double MAX_CLOCK_DRIFT = 0.05;

    private record Event(long atNanos, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atNanos != other.atNanos
                    ? Long.compare(atNanos, other.atNanos)
                    : Long.compare(sequence, other.sequence);
        }
    }

    final Random random;
    final InjectedBug injectedBug;
    final List<String> violations = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    final Map<String, SimulatedProcess> processes = new LinkedHashMap<>();
    final Map<String, String> voters = new TreeMap<>();
    final FencedReceiver receiver = new FencedReceiver();

    /** Simulated maintenance of machines, or null. */
    SimWork maintenance;

    private final List<FleetConfig.Chore> chores = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<SimulatedConnection> connections = new ArrayList<>();

    /** Held directions, as "from>to". */
    final Set<String> heldDirections = new HashSet<>();

    private final Map<String, String> voteByVoterAndTerm = new HashMap<>();
    long nowNanos;
    private long nextEventSequence;
    long sentBytes;
    long sentMessageCount;
    int faultCount;
    int staleEffectsRefused;

    SimFleet(long seed, int driverCount, int voterCount, int dutyCount, InjectedBug injectedBug) {
        this(seed, driverCount, voterCount, dutyCount, Duration.ofMillis(800), injectedBug);
    }

    SimFleet(
            long seed,
            int driverCount,
            int voterCount,
            int dutyCount,
            Duration choreInterval,
            InjectedBug injectedBug) {
        random = new Random(seed);
        this.injectedBug = injectedBug;
        for (int i = 0; i < voterCount; i++) {
            voters.put(processName(i), processName(i));
        }
        for (int i = 0; i < dutyCount; i++) {
            chores.add(new FleetConfig.Chore("c" + i, choreInterval, 7, "SELECT f({epoch})"));
        }
        for (int i = 0; i < driverCount; i++) {
            SimulatedProcess process = new SimulatedProcess(processName(i));
            processes.put(process.name, process);
        }
    }

    static String processName(int i) {
        return String.format("d%03d", i);
    }

    void scheduleAt(long atNanos, Runnable task) {
        events.add(new Event(Math.max(atNanos, nowNanos), nextEventSequence++, task));
    }

    /** Runs the simulation for that many milliseconds of virtual time. */
    void advance(long durationMs) {
        long endNanos = nowNanos + durationMs * 1_000_000;
        while (!events.isEmpty() && events.peek().atNanos <= endNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos;
            event.task.run();
        }
        nowNanos = endNanos;
    }

    void logLine(String processName, String text) {
        logLines.add(nowNanos / 1_000_000 + " " + processName + " " + text);
    }

    void recordViolation(String violation) {
        violations.add(nowNanos / 1_000_000 + " " + violation);
        logLine("!", violation);
    }

    /** A driver process. It outlives restarts, as its state folder does. */
    final class SimulatedProcess implements ExecutionContext {
        final String name;
        MemoryRowStore rowStore = new MemoryRowStore();
        MemoryRowStore backup;
        String identity = Long.toHexString(random.nextLong());
        boolean alive;
        boolean paused;
        private int incarnation;

        /** Speed of its clock relative to virtual time, within the drift bound. */
        final double clockRate = 1 + (random.nextDouble() * 2 - 1) * MAX_CLOCK_DRIFT;

        private final long clockOffsetNanos = random.nextInt(1_000_000_000);
        private final ArrayDeque<Runnable> tasksWhilePaused = new ArrayDeque<>();
        ConsensusNode consensusNode;
        DriverSession driverSession;
        ChoreScheduler choreScheduler;

        SimulatedProcess(String name) {
            this.name = name;
        }

        void start() {
            alive = true;
            paused = false;
            tasksWhilePaused.clear();
            incarnation++;
            Map<String, String> voterAddresses = new LinkedHashMap<>(voters);
            FleetConfig config =
                    new FleetConfig(
                            "f",
                            name,
                            voters.get(name),
                            voterAddresses,
                            Path.of("."),
                            new Lease(LEASE_DURATION, MAX_CLOCK_DRIFT),
                            chores,
                            null,
                            SimFleet.this.maintenance == null
                                    ? null
                                    : SimFleet.this.maintenance.settings);
            MessageTransport transport =
                    (address, handler) -> openConnection(this, address, handler);
            consensusNode = null;
            if (voters.containsKey(name)) {
                try {
                    consensusNode =
                            SimFleet.this.maintenance == null
                                    ? new ConsensusNode(
                                            this,
                                            transport,
                                            config,
                                            this::openStore,
                                            random.nextLong())
                                    : new ConsensusNode(
                                            this,
                                            transport,
                                            config,
                                            this::openStore,
                                            random.nextLong(),
                                            SimFleet.this.maintenance::newStateMachine);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                consensusNode.start();
                schedule(Duration.ofSeconds(2), this::reloadStateAfterWriteFailure);
            }
            Function<String, SessionLease> sessionLeases =
                    injectedBug == InjectedBug.LEASE_FROM_ANSWER
                            ? sessionId -> new LeaseFromResponseTime(config.lease(), sessionId)
                            : sessionId -> new SessionLease(config.lease(), sessionId);
            driverSession =
                    new DriverSession(
                            this,
                            transport,
                            config,
                            identity,
                            () -> Long.toHexString(random.nextLong()),
                            sessionLeases,
                            (epoch, planUpdate) -> {});
            choreScheduler = new ChoreScheduler(this, config, driverSession, this::executeChore);
            if (SimFleet.this.maintenance != null) {
                driverSession.setPlanListener(SimFleet.this.maintenance.newAgent(this));
            }
            driverSession.start(choreScheduler);
        }

        private ConsensusStore openStore() throws IOException {
            rowStore = rowStore.afterKill();
            return new ConsensusStore(rowStore, () -> Long.toHexString(random.nextLong()));
        }

        /**
         * Like the program itself, a voter whose state could not be written reloads it once the
         * disk accepts writes.
         */
        private void reloadStateAfterWriteFailure() {
            if (consensusNode.phase() == ConsensusNode.Phase.BROKEN && !rowStore.diskFull) {
                reloadState();
            }
            schedule(Duration.ofSeconds(2), this::reloadStateAfterWriteFailure);
        }

        void reloadState() {
            try {
                consensusNode.reloadState();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        void kill() {
            if (alive) {
                alive = false;
                incarnation++;
                rowStore = rowStore.afterKill();
                if (injectedBug == InjectedBug.VOTE_FORGOTTEN) {
                    forgetVote();
                }
                for (SimulatedConnection connection : List.copyOf(connections)) {
                    connection.processKilled(this);
                }
            }
        }

        /** Removes the vote from the persisted term, as if the voter had not written it. */
        private void forgetVote() {
            byte[] row = rowStore.readAll(RowStore.Table.META).get(3L);
            if (row != null) {
                Map<String, Object> termState =
                        Cbor.decode(java.util.Arrays.copyOfRange(row, 4, row.length));
                byte[] body =
                        Cbor.encode(
                                MessageCodec.message(
                                        "t",
                                        "term",
                                        MessageCodec.longOrZero(termState, "term"),
                                        "voted",
                                        ""));
                java.util.zip.CRC32C checksum = new java.util.zip.CRC32C();
                checksum.update(body, 0, body.length);
                try {
                    rowStore.put(
                            RowStore.Table.META,
                            3,
                            java.nio.ByteBuffer.allocate(4 + body.length)
                                    .putInt((int) checksum.getValue())
                                    .put(body)
                                    .array());
                    rowStore.flush();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }

        /** Discards the persisted state; the process gets a new identity. */
        void loseState() {
            rowStore = new MemoryRowStore();
            identity = Long.toHexString(random.nextLong());
        }

        void resume() {
            paused = false;
            int ownIncarnation = incarnation;
            while (!tasksWhilePaused.isEmpty() && !paused && ownIncarnation == incarnation) {
                tasksWhilePaused.poll().run();
            }
        }

        /** Runs the task on this process's thread, unless the process has ended by then. */
        void runAt(long atNanos, Runnable task) {
            int ownIncarnation = incarnation;
            scheduleAt(
                    atNanos,
                    () -> {
                        if (ownIncarnation == incarnation) {
                            if (paused) {
                                tasksWhilePaused.add(
                                        () -> {
                                            if (ownIncarnation == incarnation) {
                                                task.run();
                                            }
                                        });
                            } else {
                                task.run();
                            }
                        }
                    });
        }

        @Override
        public Duration now() {
            return Duration.ofNanos(clockOffsetNanos + (long) (nowNanos * clockRate));
        }

        @Override
        public long wallClockMs() {
            return 1_700_000_000_000L + nowNanos / 1_000_000;
        }

        @Override
        public void execute(Runnable task) {
            runAt(nowNanos, task);
        }

        @Override
        public void schedule(Duration delay, Runnable task) {
            runAt(nowNanos + (long) (delay.toNanos() / clockRate), task);
        }

        @Override
        public void log(String text) {
            logLine(name, text);
        }

        /**
         * Checks the lease and sends the effect. Any delay may fall between the check and the
         * sending.
         */
        private void executeChore(
                FleetConfig.Chore chore,
                long epoch,
                long turn,
                Duration leaseEnd,
                ChoreRunner.Completion completion) {
            if (now().compareTo(leaseEnd) >= 0) {
                completion.completed("not begun: no lease", false);
                return;
            }
            if (random.nextInt(40) == 0) {
                pauseFor(LEASE_DURATION.toMillis() * (1 + random.nextInt(3)));
            }
            int ownIncarnation = incarnation;
            Runnable transmit =
                    () -> {
                        long transitNanos = 200_000 + random.nextInt(2_000_000);
                        if (heldDirections.contains(name + ">member") || random.nextInt(60) == 0) {
                            transitNanos += LEASE_DURATION.toNanos() * (1 + random.nextInt(2));
                        }
                        scheduleAt(
                                nowNanos + transitNanos,
                                () -> {
                                    String outcome =
                                            receiver.receiveEffect(chore.duty(), epoch, turn, name);
                                    if (ownIncarnation == incarnation
                                            && !heldDirections.contains("member>" + name)) {
                                        runAt(
                                                nowNanos + 500_000,
                                                () -> completion.completed(outcome, false));
                                    } else if (ownIncarnation == incarnation) {
                                        runAt(
                                                nowNanos + 2_000_000_000L,
                                                () -> completion.completed("unknown", true));
                                    }
                                });
                    };
            // A pause that begins here falls between the lease check and the effect.
            runAt(nowNanos, transmit);
        }

        void pauseFor(long pauseMs) {
            if (!paused && alive) {
                paused = true;
                faultCount++;
                int ownIncarnation = incarnation;
                scheduleAt(
                        nowNanos + pauseMs * 1_000_000,
                        () -> {
                            if (ownIncarnation == incarnation && paused) {
                                resume();
                            }
                        });
            }
        }
    }

    /**
     * Incorrect lease that counts from the arrival of the response instead of the sending of the
     * request.
     */
    private static final class LeaseFromResponseTime extends SessionLease {
        LeaseFromResponseTime(Lease lease, String sessionId) {
            super(lease, sessionId);
        }

        @Override
        protected Duration leaseStart(Duration askedAt, Duration heardAt) {
            return heardAt;
        }
    }

    /** Receiver of effects, with a fence and a record of the accepted ones. */
    final class FencedReceiver {
        private final EpochFence fence = new EpochFence();
        private final Map<String, Long> highestEpochs = new HashMap<>();
        private final Map<String, String> driverByTurn = new HashMap<>();
        private final Map<Long, String> holderByEpoch = new HashMap<>();
        int acceptedCount;

        String receiveEffect(String duty, long epoch, long turn, String driver) {
            fence.advance(duty, 0);
            if (injectedBug != InjectedBug.NO_FENCE && !fence.admits(duty, epoch)) {
                staleEffectsRefused++;
                return "refused: epoch " + epoch + " is over";
            }
            acceptedCount++;
            if (epoch < highestEpochs.getOrDefault(duty, 0L)) {
                recordViolation(
                        "stale effect accepted: "
                                + duty
                                + " epoch "
                                + epoch
                                + " of "
                                + driver
                                + " after "
                                + highestEpochs.get(duty));
            }
            highestEpochs.merge(duty, epoch, Math::max);
            String previousDriver = driverByTurn.put(duty + "#" + turn, driver);
            if (previousDriver != null) {
                recordViolation(
                        "turn run more than once: "
                                + duty
                                + " turn "
                                + turn
                                + " by "
                                + previousDriver
                                + " and "
                                + driver);
            }
            String owner = holderByEpoch.putIfAbsent(epoch, driver + " " + duty);
            if (owner != null && !owner.equals(driver + " " + duty)) {
                recordViolation(
                        "epoch " + epoch + " used by " + owner + " and " + driver + " " + duty);
            }
            return "ran";
        }
    }

    // ---- links ----

    private MessageTransport.Channel openConnection(
            SimulatedProcess from, String address, MessageTransport.ChannelHandler handler) {
        SimulatedConnection connection = new SimulatedConnection(from, address, handler);
        connections.add(connection);
        return connection.initiatorChannel;
    }

    /** One connection. Each direction delivers in order and holds messages while it is cut. */
    private final class SimulatedConnection {
        final SimulatedProcess from;
        final String to;
        final SimulatedChannel initiatorChannel;
        SimulatedChannel acceptorChannel;
        boolean open = true;

        SimulatedConnection(
                SimulatedProcess from, String to, MessageTransport.ChannelHandler handler) {
            this.from = from;
            this.to = to;
            initiatorChannel = new SimulatedChannel(from, handler, this);
            initiatorChannel.deliver(
                    () -> {
                        SimulatedProcess process = processes.get(to);
                        if (process == null || !process.alive || process.consensusNode == null) {
                            from.runAt(
                                    nowNanos + 300_000,
                                    () -> initiatorChannel.closeByRemote("refused"));
                            return;
                        }
                        acceptorChannel =
                                new SimulatedChannel(
                                        process, process.consensusNode.newInboundHandler(), this);
                        process.runAt(
                                nowNanos, () -> acceptorChannel.handler.connected(acceptorChannel));
                        acceptorChannel.deliver(
                                () ->
                                        from.runAt(
                                                nowNanos,
                                                () -> {
                                                    if (open) {
                                                        handler.connected(initiatorChannel);
                                                    }
                                                }));
                    });
        }

        void processKilled(SimulatedProcess process) {
            SimulatedChannel remaining =
                    initiatorChannel.process == process
                            ? acceptorChannel
                            : acceptorChannel != null && acceptorChannel.process == process
                                    ? initiatorChannel
                                    : null;
            if (initiatorChannel.process == process
                    || acceptorChannel != null && acceptorChannel.process == process) {
                open = false;
                connections.remove(this);
                if (remaining != null) {
                    // The reset that follows the end of a process travels like a message, and is
                    // lost while the direction is cut.
                    String direction = process.name + ">" + remaining.process.name;
                    if (!heldDirections.contains(direction)) {
                        remaining.process.runAt(
                                nowNanos + 400_000, () -> remaining.closeByRemote("reset"));
                    }
                }
            }
        }
    }

    private final class SimulatedChannel implements MessageTransport.Channel {
        final SimulatedProcess process;
        final MessageTransport.ChannelHandler handler;
        final SimulatedConnection connection;
        final ArrayDeque<Runnable> heldDeliveries = new ArrayDeque<>();
        private final int incarnation;
        long lastDeliveryNanos;
        boolean closed;

        SimulatedChannel(
                SimulatedProcess process,
                MessageTransport.ChannelHandler handler,
                SimulatedConnection connection) {
            this.process = process;
            this.incarnation = process.incarnation;
            this.handler = handler;
            this.connection = connection;
        }

        private SimulatedChannel remote() {
            return this == connection.initiatorChannel
                    ? connection.acceptorChannel
                    : connection.initiatorChannel;
        }

        private String direction() {
            return process.name
                    + ">"
                    + (this == connection.initiatorChannel ? connection.to : connection.from.name);
        }

        void deliver(Runnable delivery) {
            if (heldDirections.contains(direction()) || !heldDeliveries.isEmpty()) {
                heldDeliveries.add(delivery);
            } else {
                scheduleDelivery(delivery);
            }
        }

        private void scheduleDelivery(Runnable delivery) {
            lastDeliveryNanos =
                    Math.max(lastDeliveryNanos + 1, nowNanos + 200_000 + random.nextInt(1_500_000));
            scheduleAt(lastDeliveryNanos, delivery);
        }

        void releaseHeld() {
            while (!heldDeliveries.isEmpty() && !heldDirections.contains(direction())) {
                scheduleDelivery(heldDeliveries.poll());
            }
        }

        @Override
        public void send(Map<String, Object> message) {
            byte[] encoded = Cbor.encode(message);
            sentMessageCount++;
            sentBytes += encoded.length + 4;
            if (!closed && connection.open) {
                checkVotes(
                        message,
                        this == connection.initiatorChannel ? connection.to : connection.from.name);
                deliver(
                        () -> {
                            SimulatedChannel receiver = remote();
                            if (connection.open && receiver != null && !receiver.closed) {
                                receiver.process.runAt(
                                        nowNanos,
                                        () -> {
                                            if (!receiver.closed
                                                    && receiver.process.incarnation
                                                            == receiver.incarnation) {
                                                receiver.handler.received(
                                                        receiver, Cbor.decode(encoded));
                                            }
                                        });
                            }
                        });
            }
        }

        void closeByRemote(String reason) {
            // A restarted process must not receive events of its previous incarnation's
            // connections.
            if (!closed && process.incarnation == incarnation) {
                closed = true;
                connection.open = false;
                connections.remove(connection);
                handler.closed(this, reason);
            }
        }

        @Override
        public void close() {
            if (!closed) {
                closed = true;
                connection.open = false;
                connections.remove(connection);
                SimulatedChannel remote = remote();
                if (remote != null) {
                    remote.process.runAt(nowNanos + 400_000, () -> remote.closeByRemote("closed"));
                }
            }
        }
    }

    /** Checks that no endpoint votes for two candidates in one term. */
    private void checkVotes(Map<String, Object> message, String to) {
        if (MessageCodec.stringOrEmpty(message, "k").equals("raft")) {
            Object raftMessage = MessageCodec.decodeMessage(asMap(message.get("m")));
            if (raftMessage instanceof VoteRequest vote) {
                recordVote(
                        (String) vote.getSender().getId(),
                        vote.getTerm(),
                        ((MessageCodec.Endpoint) vote.getSender()).name());
            } else if (raftMessage instanceof VoteResponse vote && vote.isGranted()) {
                recordVote((String) vote.getSender().getId(), vote.getTerm(), to);
                if (voteGrantedHook != null) {
                    voteGrantedHook.accept(((MessageCodec.Endpoint) vote.getSender()).name(), to);
                }
            }
        }
    }

    private BiConsumer<String, String> voteGrantedHook;

    private void recordVote(String voter, int term, String candidate) {
        String previousCandidate = voteByVoterAndTerm.putIfAbsent(voter + " " + term, candidate);
        if (previousCandidate != null && !previousCandidate.equals(candidate)) {
            recordViolation(
                    "two votes by "
                            + voter
                            + " in term "
                            + term
                            + ": "
                            + previousCandidate
                            + " and "
                            + candidate);
        }
    }

    /**
     * A voter grants its vote, and the candidate is killed before any other voter learns of the
     * term. The voter restarts and is asked for the same term by the former leader.
     */
    void runVoteAndRestart() {
        processes.values().forEach(SimulatedProcess::start);
        advance(8000);
        SimulatedProcess leader =
                processes.values().stream()
                        .filter(
                                process ->
                                        process.consensusNode != null
                                                && process.consensusNode.isLeader())
                        .findFirst()
                        .orElseThrow();
        leader.kill();
        voteGrantedHook =
                (voter, candidate) -> {
                    voteGrantedHook = null;
                    scheduleAt(
                            nowNanos,
                            () -> {
                                processes.get(candidate).kill();
                                processes.get(voter).kill();
                                faultCount += 3;
                                scheduleAt(nowNanos + 100_000_000, processes.get(voter)::start);
                                scheduleAt(nowNanos + 100_000_000, leader::start);
                                scheduleAt(
                                        nowNanos + 20_000_000_000L,
                                        processes.get(candidate)::start);
                            });
                };
        advance(40_000);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> asMap(Object value) {
        return (Map<String, Object>) value;
    }

    // ---- faults ----

    void holdDirection(String from, String to) {
        heldDirections.add(from + ">" + to);
    }

    /**
     * Releases all directions. Of the connections with held messages some break and the others
     * deliver late.
     */
    void healLinks() {
        heldDirections.clear();
        for (SimulatedConnection connection : List.copyOf(connections)) {
            boolean holdsMessages =
                    !connection.initiatorChannel.heldDeliveries.isEmpty()
                            || connection.acceptorChannel != null
                                    && !connection.acceptorChannel.heldDeliveries.isEmpty();
            if (holdsMessages && random.nextBoolean() && connection.acceptorChannel != null) {
                SimulatedProcess initiator = connection.initiatorChannel.process;
                SimulatedProcess acceptor = connection.acceptorChannel.process;
                initiator.runAt(nowNanos, () -> connection.initiatorChannel.closeByRemote("reset"));
                acceptor.runAt(nowNanos, () -> connection.acceptorChannel.closeByRemote("reset"));
            } else {
                connection.initiatorChannel.releaseHeld();
                if (connection.acceptorChannel != null) {
                    connection.acceptorChannel.releaseHeld();
                }
            }
        }
    }

    /** Checks that at most one process may act under a duty, by its own clock. */
    void checkLeases() {
        for (FleetConfig.Chore chore : chores) {
            String holder = null;
            for (SimulatedProcess process : processes.values()) {
                if (process.alive && process.driverSession != null) {
                    SessionLease lease = process.driverSession.sessionLease();
                    SessionLease.DutyState dutyState = lease.current(chore.duty());
                    if (dutyState != null
                            && lease.mayAct(chore.duty(), dutyState.epoch(), process.now())) {
                        if (holder != null) {
                            recordViolation(
                                    "two drivers may act: "
                                            + chore.duty()
                                            + ": "
                                            + holder
                                            + " and "
                                            + process.name
                                            + " epoch "
                                            + dutyState.epoch());
                        }
                        holder = process.name + " epoch " + dutyState.epoch();
                    }
                }
            }
        }
    }

    /** Returns the newest run of each duty by the state of the most advanced voter. */
    Map<String, Long> committedRuns() {
        Map<String, Long> runByDuty = new TreeMap<>();
        ConsensusNode mostAdvanced = mostAdvancedVoter();
        if (mostAdvanced != null) {
            mostAdvanced
                    .stateMachine()
                    .duties()
                    .forEach(duty -> runByDuty.put(duty.name(), duty.run()));
        }
        return runByDuty;
    }

    /** Returns the history lines of all duties by the state of the most advanced voter. */
    List<String> dutyHistory() {
        ConsensusNode mostAdvanced = mostAdvancedVoter();
        List<String> lines = new ArrayList<>();
        if (mostAdvanced != null) {
            mostAdvanced.stateMachine().duties().forEach(duty -> lines.addAll(duty.history()));
        }
        return lines;
    }

    /** Returns the owner of each duty by the state of the most advanced running voter. */
    Map<String, String> dutyOwners() {
        Map<String, String> ownerByDuty = new TreeMap<>();
        ConsensusNode mostAdvanced = mostAdvancedVoter();
        if (mostAdvanced != null) {
            mostAdvanced
                    .stateMachine()
                    .duties()
                    .forEach(duty -> ownerByDuty.put(duty.name(), duty.owner()));
        }
        return ownerByDuty;
    }

    /** The running voter whose state has the highest revision, or null if none runs. */
    private ConsensusNode mostAdvancedVoter() {
        ConsensusNode mostAdvanced = null;
        for (SimulatedProcess process : processes.values()) {
            if (process.alive
                    && process.consensusNode != null
                    && (mostAdvanced == null
                            || process.consensusNode.stateMachine().revision()
                                    > mostAdvanced.stateMachine().revision())) {
                mostAdvanced = process.consensusNode;
            }
        }
        return mostAdvanced;
    }

    /**
     * Runs one history: start, a period of random faults, and a period without faults after which
     * all duties must have owners.
     */
    void runHistory(int faultSeconds) {
        processes
                .values()
                .forEach(
                        process ->
                                scheduleAt(
                                        nowNanos + random.nextInt(500) * 1_000_000L,
                                        process::start));
        advance(8000);
        for (int ms = 0; ms < faultSeconds * 1000; ms += 250) {
            if (random.nextInt(4) == 0) {
                injectFault();
            }
            advance(250);
            checkLeases();
        }
        healLinks();
        for (SimulatedProcess process : processes.values()) {
            process.rowStore.diskFull = false;
            if (!process.alive) {
                process.start();
            } else if (process.paused) {
                process.resume();
            }
        }
        for (int ms = 0;
                ms < 40_000 || maintenance != null && ms < 120_000 && !maintenance.isIdle();
                ms += 250) {
            advance(250);
            checkLeases();
        }
        if (maintenance != null) {
            maintenance.checkAllReturned();
        }
        dutyOwners()
                .forEach(
                        (duty, owner) -> {
                            if (owner.isEmpty()) {
                                recordViolation("no owner at the end: " + duty);
                            }
                        });
        if (dutyOwners().size() < chores.size()) {
            recordViolation("only " + dutyOwners().size() + " duties known at the end");
        }
    }

    private SimulatedProcess randomProcess() {
        return processes.get(processName(random.nextInt(processes.size())));
    }

    private int downVoterCount() {
        return (int)
                processes.values().stream()
                        .filter(process -> process.consensusNode != null && !process.alive)
                        .count();
    }

    private void injectFault() {
        faultCount++;
        SimulatedProcess process = randomProcess();
        switch (random.nextInt(13)) {
            case 12 -> {
                // The disk is full for a while.
                if (process.consensusNode != null && process.alive) {
                    process.rowStore.diskFull = true;
                    MemoryRowStore fullDisk = process.rowStore;
                    scheduleAt(nowNanos + 3_000_000_000L, () -> fullDisk.diskFull = false);
                }
            }
            case 0, 1 -> process.pauseFor(LEASE_DURATION.toMillis() * (1 + random.nextInt(3)) / 2);
            case 2, 3 -> {
                process.kill();
                int incarnation = process.incarnation;
                scheduleAt(
                        nowNanos + (200L + random.nextInt(6000)) * 1_000_000,
                        () -> {
                            if (!process.alive && process.incarnation == incarnation) {
                                process.start();
                            }
                        });
            }
            case 4 -> {
                for (SimulatedProcess other : processes.values()) {
                    holdDirection(process.name, other.name);
                    holdDirection(other.name, process.name);
                }
            }
            case 5 -> processes.values().forEach(other -> holdDirection(process.name, other.name));
            case 6 -> {
                List<SimulatedProcess> shuffled = new ArrayList<>(processes.values());
                java.util.Collections.shuffle(shuffled, random);
                List<SimulatedProcess> firstHalf = shuffled.subList(0, shuffled.size() / 2);
                List<SimulatedProcess> secondHalf =
                        shuffled.subList(shuffled.size() / 2, shuffled.size());
                firstHalf.forEach(
                        first ->
                                secondHalf.forEach(
                                        second -> {
                                            holdDirection(first.name, second.name);
                                            holdDirection(second.name, first.name);
                                        }));
            }
            case 7 -> holdDirection(process.name, "member");
            case 8 -> holdDirection("member", process.name);
            case 9 -> {
                // Voters lose their state one at a time, and only while all others are members:
                // the protocol does not tolerate more.
                if (process.consensusNode != null
                        && downVoterCount() == 0
                        && process.alive
                        && allVotersIn()) {
                    process.kill();
                    process.loseState();
                    scheduleAt(
                            nowNanos + 1_000_000_000L,
                            () -> {
                                if (!process.alive) {
                                    process.start();
                                }
                            });
                }
            }
            default -> healLinks();
        }
    }

    private boolean allVotersIn() {
        // A voter that has been added but whose membership is not committed yet does not count:
        // its loss and another one's would be two.
        boolean leaderKnowsAllVoters =
                processes.values().stream()
                        .anyMatch(
                                process ->
                                        process.alive
                                                && process.consensusNode != null
                                                && process.consensusNode.isLeader()
                                                && ((List<?>)
                                                                        process.consensusNode
                                                                                .status()
                                                                                .get("voters"))
                                                                .size()
                                                        == voters.size());
        return leaderKnowsAllVoters
                && voters.keySet().stream()
                        .allMatch(
                                voter ->
                                        processes.get(voter).alive
                                                && processes.get(voter).consensusNode != null
                                                && processes.get(voter).consensusNode.phase()
                                                        == ConsensusNode.Phase.IN);
    }
}
