package wingroad.fleet;

import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
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
import wingroad.duty.EpochFence;
import wingroad.duty.Lease;
import wingroad.duty.SessionLease;

/**
 * A fleet in virtual time: the program's own code on played clocks, links and disks, with faults
 * drawn from a seed, and a checker of what each process might do and what the receiver accepted.
 */
final class SimFleet {
    /** Wrongs that are put in to see whether the checker finds them. */
    enum Wrong {
        NONE,
        NO_FENCE,
        LEASE_FROM_ANSWER,
        VOTE_FORGOTTEN,
        NO_LEASE_ON_VIEW,
        OUT_BY_MAJORITY,
        ORDER_WITHOUT_EPOCH
    }

    static final Duration LEASE = Duration.ofSeconds(4);
    static final double DRIFT = 0.05;

    private record Event(long at, long seq, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(seq, o.seq);
        }
    }

    final Random random;
    final Wrong wrong;
    final List<String> broken = new ArrayList<>();
    final List<String> lines = new ArrayList<>();
    final Map<String, Proc> procs = new LinkedHashMap<>();
    final Map<String, String> voters = new TreeMap<>();
    final Receiver receiver = new Receiver();

    /** Work on machines, or null. */
    SimWork work;

    private final List<FleetConfig.Chore> chores = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Pipe> pipes = new ArrayList<>();

    /** Directions that are held, "from>to". */
    final Set<String> held = new HashSet<>();

    private final Map<String, String> votes = new HashMap<>();
    long now;
    private long seq;
    long bytes;
    long messages;
    int faults;
    int lateRefused;

    SimFleet(long seed, int drivers, int voting, int duties, Wrong wrong) {
        this(seed, drivers, voting, duties, Duration.ofMillis(800), wrong);
    }

    SimFleet(long seed, int drivers, int voting, int duties, Duration every, Wrong wrong) {
        random = new Random(seed);
        this.wrong = wrong;
        for (int i = 0; i < voting; i++) {
            voters.put(name(i), name(i));
        }
        for (int i = 0; i < duties; i++) {
            chores.add(new FleetConfig.Chore("c" + i, every, 7, "SELECT f({epoch})"));
        }
        for (int i = 0; i < drivers; i++) {
            Proc p = new Proc(name(i));
            procs.put(p.name, p);
        }
    }

    static String name(int i) {
        return String.format("d%03d", i);
    }

    void at(long when, Runnable task) {
        events.add(new Event(Math.max(when, now), seq++, task));
    }

    /** Plays on for so many milliseconds. */
    void play(long ms) {
        long end = now + ms * 1_000_000;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            now = e.at;
            e.task.run();
        }
        now = end;
    }

    void line(String who, String text) {
        lines.add(now / 1_000_000 + " " + who + " " + text);
    }

    void breaks(String what) {
        broken.add(now / 1_000_000 + " " + what);
        line("!", what);
    }

    /** The process whose state folder this was goes on. */
    final class Proc implements ExecutionContext {
        final String name;
        MemoryRowStore rows = new MemoryRowStore();
        MemoryRowStore backup;
        String identity = Long.toHexString(random.nextLong());
        boolean alive;
        boolean paused;
        private int life;

        /** How fast its clock runs, within the bound. */
        final double rate = 1 + (random.nextDouble() * 2 - 1) * DRIFT;

        private final long offset = random.nextInt(1_000_000_000);
        private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
        ConsensusNode consensusNode;
        DriverSession councilSession;
        ChoreScheduler work;

        Proc(String name) {
            this.name = name;
        }

        void start() {
            alive = true;
            paused = false;
            waiting.clear();
            life++;
            Map<String, String> reach = new LinkedHashMap<>(voters);
            FleetConfig rules =
                    new FleetConfig(
                            "f",
                            name,
                            voters.get(name),
                            reach,
                            Path.of("."),
                            new Lease(LEASE, DRIFT),
                            chores,
                            null,
                            SimFleet.this.work == null ? null : SimFleet.this.work.rules);
            MessageTransport net = (address, owner) -> open(this, address, owner);
            consensusNode = null;
            if (voters.containsKey(name)) {
                try {
                    consensusNode =
                            SimFleet.this.work == null
                                    ? new ConsensusNode(
                                            this, net, rules, this::store, random.nextLong())
                                    : new ConsensusNode(
                                            this,
                                            net,
                                            rules,
                                            this::store,
                                            random.nextLong(),
                                            SimFleet.this.work::register);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                consensusNode.start();
                schedule(Duration.ofSeconds(2), this::watch);
            }
            Function<String, SessionLease> sessionLeases =
                    wrong == Wrong.LEASE_FROM_ANSWER
                            ? s -> new FromAnswer(rules.lease(), s)
                            : s -> new SessionLease(rules.lease(), s);
            councilSession =
                    new DriverSession(
                            this,
                            net,
                            rules,
                            identity,
                            () -> Long.toHexString(random.nextLong()),
                            sessionLeases,
                            (epoch, what) -> {});
            work = new ChoreScheduler(this, rules, councilSession, this::effect);
            if (SimFleet.this.work != null) {
                councilSession.setPlanListener(SimFleet.this.work.agent(this));
            }
            councilSession.start(work);
        }

        private ConsensusStore store() throws IOException {
            rows = rows.afterKill();
            return new ConsensusStore(rows, () -> Long.toHexString(random.nextLong()));
        }

        /**
         * As the program's own: a voter whose state could not be written reads it again, once that
         * works.
         */
        private void watch() {
            if (consensusNode.phase() == ConsensusNode.Phase.BROKEN && !rows.full) {
                readAgain();
            }
            schedule(Duration.ofSeconds(2), this::watch);
        }

        void readAgain() {
            try {
                consensusNode.reloadState();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        void kill() {
            if (alive) {
                alive = false;
                life++;
                rows = rows.afterKill();
                if (wrong == Wrong.VOTE_FORGOTTEN) {
                    forgetVote();
                }
                for (Pipe p : List.copyOf(pipes)) {
                    p.processEnds(this);
                }
            }
        }

        /** As a voter that does not write its vote down. */
        private void forgetVote() {
            byte[] row = rows.readAll(RowStore.Table.META).get(3L);
            if (row != null) {
                Map<String, Object> t =
                        Cbor.decode(java.util.Arrays.copyOfRange(row, 4, row.length));
                byte[] body =
                        Cbor.encode(
                                MessageCodec.message(
                                        "t",
                                        "term",
                                        MessageCodec.longOrZero(t, "term"),
                                        "voted",
                                        ""));
                java.util.zip.CRC32C sum = new java.util.zip.CRC32C();
                sum.update(body, 0, body.length);
                try {
                    rows.put(
                            RowStore.Table.META,
                            3,
                            java.nio.ByteBuffer.allocate(4 + body.length)
                                    .putInt((int) sum.getValue())
                                    .put(body)
                                    .array());
                    rows.flush();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }

        void loseState() {
            rows = new MemoryRowStore();
            identity = Long.toHexString(random.nextLong());
        }

        void resume() {
            paused = false;
            int mine = life;
            while (!waiting.isEmpty() && !paused && mine == life) {
                waiting.poll().run();
            }
        }

        /** Runs the task on this process's thread, unless the process has ended by then. */
        void task(long when, Runnable task) {
            int mine = life;
            at(
                    when,
                    () -> {
                        if (mine == life) {
                            if (paused) {
                                waiting.add(
                                        () -> {
                                            if (mine == life) {
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
            return Duration.ofNanos(offset + (long) (now * rate));
        }

        @Override
        public long wallClockMs() {
            return 1_700_000_000_000L + now / 1_000_000;
        }

        @Override
        public void execute(Runnable task) {
            task(now, task);
        }

        @Override
        public void schedule(Duration wait, Runnable task) {
            task(now + (long) (wait.toNanos() / rate), task);
        }

        @Override
        public void log(String text) {
            line(name, text);
        }

        /** The clock is read, and then anything may happen before the effect is out. */
        private void effect(
                FleetConfig.Chore chore,
                long epoch,
                long turn,
                Duration until,
                ChoreRunner.Completion ended) {
            if (now().compareTo(until) >= 0) {
                ended.completed("not begun: no lease");
                return;
            }
            if (random.nextInt(40) == 0) {
                pauseFor(LEASE.toMillis() * (1 + random.nextInt(3)));
            }
            int mine = life;
            Runnable out =
                    () -> {
                        long way = 200_000 + random.nextInt(2_000_000);
                        if (held.contains(name + ">member") || random.nextInt(60) == 0) {
                            way += LEASE.toNanos() * (1 + random.nextInt(2));
                        }
                        at(
                                now + way,
                                () -> {
                                    String outcome =
                                            receiver.effect(chore.duty(), epoch, turn, name);
                                    if (mine == life && !held.contains("member>" + name)) {
                                        task(now + 500_000, () -> ended.completed(outcome));
                                    } else if (mine == life) {
                                        task(
                                                now + 2_000_000_000L,
                                                () -> ended.completed("unknown"));
                                    }
                                });
                    };
            // A pause that begins here stands between the check and the effect.
            task(now, out);
        }

        void pauseFor(long ms) {
            if (!paused && alive) {
                paused = true;
                faults++;
                int mine = life;
                at(
                        now + ms * 1_000_000,
                        () -> {
                            if (mine == life && paused) {
                                resume();
                            }
                        });
            }
        }
    }

    /** A lease counted from when the answer came: wrong. */
    private static final class FromAnswer extends SessionLease {
        FromAnswer(Lease lease, String session) {
            super(lease, session);
        }

        @Override
        protected Duration leaseStart(Duration askedAt, Duration heardAt) {
            return heardAt;
        }
    }

    /** What effects come to: a fence, and a ledger of what was accepted. */
    final class Receiver {
        private final EpochFence fence = new EpochFence();
        private final Map<String, Long> highest = new HashMap<>();
        private final Map<String, String> turns = new HashMap<>();
        private final Map<Long, String> epochs = new HashMap<>();
        int accepted;

        String effect(String duty, long epoch, long turn, String who) {
            fence.advance(duty, 0);
            if (wrong != Wrong.NO_FENCE && !fence.admits(duty, epoch)) {
                lateRefused++;
                return "refused: epoch " + epoch + " is over";
            }
            accepted++;
            if (epoch < highest.getOrDefault(duty, 0L)) {
                breaks(
                        "late effect accepted: "
                                + duty
                                + " epoch "
                                + epoch
                                + " of "
                                + who
                                + " after "
                                + highest.get(duty));
            }
            highest.merge(duty, epoch, Math::max);
            String before = turns.put(duty + "#" + turn, who);
            if (before != null) {
                breaks(
                        "turn run twice: "
                                + duty
                                + " turn "
                                + turn
                                + " by "
                                + before
                                + " and "
                                + who);
            }
            String owner = epochs.putIfAbsent(epoch, who + " " + duty);
            if (owner != null && !owner.equals(who + " " + duty)) {
                breaks("epoch " + epoch + " used by " + owner + " and " + who + " " + duty);
            }
            return "ran";
        }
    }

    // ---- links ----

    private MessageTransport.Channel open(
            Proc from, String address, MessageTransport.ChannelHandler owner) {
        Pipe p = new Pipe(from, address, owner);
        pipes.add(p);
        return p.near;
    }

    /** One connection; each direction in order, held while it is cut. */
    private final class Pipe {
        final Proc from;
        final String to;
        final End near;
        End far;
        boolean open = true;

        Pipe(Proc from, String to, MessageTransport.ChannelHandler owner) {
            this.from = from;
            this.to = to;
            near = new End(from, owner, this);
            near.send0(
                    () -> {
                        Proc p = procs.get(to);
                        if (p == null || !p.alive || p.consensusNode == null) {
                            from.task(now + 300_000, () -> near.ends("refused"));
                            return;
                        }
                        far = new End(p, p.consensusNode.newInboundHandler(), this);
                        p.task(now, () -> far.owner.connected(far));
                        far.send0(
                                () ->
                                        from.task(
                                                now,
                                                () -> {
                                                    if (open) {
                                                        owner.connected(near);
                                                    }
                                                }));
                    });
        }

        void processEnds(Proc p) {
            End other = near.proc == p ? far : far != null && far.proc == p ? near : null;
            if (near.proc == p || far != null && far.proc == p) {
                open = false;
                pipes.remove(this);
                if (other != null) {
                    // The end of a process is told like all else, or not at all while it is cut.
                    String way = p.name + ">" + other.proc.name;
                    if (!held.contains(way)) {
                        other.proc.task(now + 400_000, () -> other.ends("reset"));
                    }
                }
            }
        }
    }

    private final class End implements MessageTransport.Channel {
        final Proc proc;
        final MessageTransport.ChannelHandler owner;
        final Pipe pipe;
        final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        private final int life;
        long free;
        boolean closed;

        End(Proc proc, MessageTransport.ChannelHandler owner, Pipe pipe) {
            this.proc = proc;
            this.life = proc.life;
            this.owner = owner;
            this.pipe = pipe;
        }

        private End other() {
            return this == pipe.near ? pipe.far : pipe.near;
        }

        private String way() {
            return proc.name + ">" + (this == pipe.near ? pipe.to : pipe.from.name);
        }

        void send0(Runnable arrives) {
            if (held.contains(way()) || !queue.isEmpty()) {
                queue.add(arrives);
            } else {
                go(arrives);
            }
        }

        private void go(Runnable arrives) {
            free = Math.max(free + 1, now + 200_000 + random.nextInt(1_500_000));
            at(free, arrives);
        }

        void heal() {
            while (!queue.isEmpty() && !held.contains(way())) {
                go(queue.poll());
            }
        }

        @Override
        public void send(Map<String, Object> message) {
            byte[] text = Cbor.encode(message);
            messages++;
            bytes += text.length + 4;
            if (!closed && pipe.open) {
                watch(message, this == pipe.near ? pipe.to : pipe.from.name);
                send0(
                        () -> {
                            End to = other();
                            if (pipe.open && to != null && !to.closed) {
                                to.proc.task(
                                        now,
                                        () -> {
                                            if (!to.closed && to.proc.life == to.life) {
                                                to.owner.received(to, Cbor.decode(text));
                                            }
                                        });
                            }
                        });
            }
        }

        void ends(String how) {
            // A process that was started again hears nothing of its predecessor's connections.
            if (!closed && proc.life == life) {
                closed = true;
                pipe.open = false;
                pipes.remove(pipe);
                owner.closed(this, how);
            }
        }

        @Override
        public void close() {
            if (!closed) {
                closed = true;
                pipe.open = false;
                pipes.remove(pipe);
                End o = other();
                if (o != null) {
                    o.proc.task(now + 400_000, () -> o.ends("closed"));
                }
            }
        }
    }

    /** No endpoint may vote for two in one term. */
    private void watch(Map<String, Object> message, String to) {
        if (MessageCodec.stringOrEmpty(message, "k").equals("raft")) {
            Object m = MessageCodec.decodeMessage(cast(message.get("m")));
            if (m instanceof VoteRequest r) {
                vote(
                        (String) r.getSender().getId(),
                        r.getTerm(),
                        ((MessageCodec.Endpoint) r.getSender()).name());
            } else if (m instanceof VoteResponse r && r.isGranted()) {
                vote((String) r.getSender().getId(), r.getTerm(), to);
                if (onVote != null) {
                    onVote.accept(((MessageCodec.Endpoint) r.getSender()).name(), to);
                }
            }
        }
    }

    private BiConsumer<String, String> onVote;

    private void vote(String voter, int term, String whom) {
        String before = votes.putIfAbsent(voter + " " + term, whom);
        if (before != null && !before.equals(whom)) {
            breaks("two votes of " + voter + " in term " + term + ": " + before + " and " + whom);
        }
    }

    /**
     * A voter votes, and its candidate is gone before anybody hears of the term; the voter starts
     * again and is asked for the same term by the leader of before.
     */
    void voteAndStartAgain() {
        procs.values().forEach(Proc::start);
        play(8000);
        Proc leader =
                procs.values().stream()
                        .filter(p -> p.consensusNode != null && p.consensusNode.isLeader())
                        .findFirst()
                        .orElseThrow();
        leader.kill();
        onVote =
                (voter, candidate) -> {
                    onVote = null;
                    at(
                            now,
                            () -> {
                                procs.get(candidate).kill();
                                procs.get(voter).kill();
                                faults += 3;
                                at(now + 100_000_000, procs.get(voter)::start);
                                at(now + 100_000_000, leader::start);
                                at(now + 20_000_000_000L, procs.get(candidate)::start);
                            });
                };
        play(40_000);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> cast(Object o) {
        return (Map<String, Object>) o;
    }

    // ---- faults ----

    void hold(String from, String to) {
        held.add(from + ">" + to);
    }

    /**
     * All directions are open again; of what was held, some connections break and the others
     * deliver late.
     */
    void heal() {
        held.clear();
        for (Pipe p : List.copyOf(pipes)) {
            boolean waits = !p.near.queue.isEmpty() || p.far != null && !p.far.queue.isEmpty();
            if (waits && random.nextBoolean() && p.far != null) {
                Proc a = p.near.proc;
                Proc b = p.far.proc;
                a.task(now, () -> p.near.ends("reset"));
                b.task(now, () -> p.far.ends("reset"));
            } else {
                p.near.heal();
                if (p.far != null) {
                    p.far.heal();
                }
            }
        }
    }

    /** At any time at most one process may act under a duty, by its own clock. */
    void checkLeases() {
        for (FleetConfig.Chore c : chores) {
            String one = null;
            for (Proc p : procs.values()) {
                if (p.alive && p.councilSession != null) {
                    SessionLease t = p.councilSession.sessionLease();
                    SessionLease.DutyState h = t.current(c.duty());
                    if (h != null && t.mayAct(c.duty(), h.epoch(), p.now())) {
                        if (one != null) {
                            breaks(
                                    "two may act: "
                                            + c.duty()
                                            + ": "
                                            + one
                                            + " and "
                                            + p.name
                                            + " epoch "
                                            + h.epoch());
                        }
                        one = p.name + " epoch " + h.epoch();
                    }
                }
            }
        }
    }

    /** Who owns each duty by the word of a voter that takes part and is the furthest. */
    Map<String, String> owners() {
        Map<String, String> owners = new TreeMap<>();
        ConsensusNode best = null;
        for (Proc p : procs.values()) {
            if (p.alive
                    && p.consensusNode != null
                    && (best == null
                            || p.consensusNode.stateMachine().revision()
                                    > best.stateMachine().revision())) {
                best = p.consensusNode;
            }
        }
        if (best != null) {
            best.stateMachine().duties().forEach(d -> owners.put(d.name(), d.owner()));
        }
        return owners;
    }

    /**
     * A short history: a start, faults for a while, an end without faults in which all must be well
     * again.
     */
    void history(int seconds) {
        procs.values().forEach(p -> at(now + random.nextInt(500) * 1_000_000L, p::start));
        play(8000);
        for (int ms = 0; ms < seconds * 1000; ms += 250) {
            if (random.nextInt(4) == 0) {
                fault();
            }
            play(250);
            checkLeases();
        }
        heal();
        for (Proc p : procs.values()) {
            p.rows.full = false;
            if (!p.alive) {
                p.start();
            } else if (p.paused) {
                p.resume();
            }
        }
        for (int ms = 0; ms < 40_000 || work != null && ms < 120_000 && !work.atRest(); ms += 250) {
            play(250);
            checkLeases();
        }
        if (work != null) {
            work.end();
        }
        owners().forEach(
                        (d, o) -> {
                            if (o.isEmpty()) {
                                breaks("no owner at the end: " + d);
                            }
                        });
        if (owners().size() < chores.size()) {
            breaks("only " + owners().size() + " duties known at the end");
        }
    }

    private Proc any() {
        return procs.get(name(random.nextInt(procs.size())));
    }

    private int lostNow() {
        return (int)
                procs.values().stream().filter(p -> p.consensusNode != null && !p.alive).count();
    }

    private void fault() {
        faults++;
        Proc p = any();
        switch (random.nextInt(13)) {
            case 12 -> {
                // Its disk is full for a while.
                if (p.consensusNode != null && p.alive) {
                    p.rows.full = true;
                    MemoryRowStore full = p.rows;
                    at(now + 3_000_000_000L, () -> full.full = false);
                }
            }
            case 0, 1 -> p.pauseFor(LEASE.toMillis() * (1 + random.nextInt(3)) / 2);
            case 2, 3 -> {
                p.kill();
                int mine = p.life;
                at(
                        now + (200L + random.nextInt(6000)) * 1_000_000,
                        () -> {
                            if (!p.alive && p.life == mine) {
                                p.start();
                            }
                        });
            }
            case 4 -> {
                for (Proc q : procs.values()) {
                    hold(p.name, q.name);
                    hold(q.name, p.name);
                }
            }
            case 5 -> procs.values().forEach(q -> hold(p.name, q.name));
            case 6 -> {
                List<Proc> half = new ArrayList<>(procs.values());
                java.util.Collections.shuffle(half, random);
                List<Proc> one = half.subList(0, half.size() / 2);
                List<Proc> other = half.subList(half.size() / 2, half.size());
                one.forEach(
                        a ->
                                other.forEach(
                                        b -> {
                                            hold(a.name, b.name);
                                            hold(b.name, a.name);
                                        }));
            }
            case 7 -> hold(p.name, "member");
            case 8 -> hold("member", p.name);
            case 9 -> {
                // Voters lose their state one at a time, and only while the rest are there: more is
                // more than it bears.
                if (p.consensusNode != null && lostNow() == 0 && p.alive && allIn()) {
                    p.kill();
                    p.loseState();
                    at(
                            now + 1_000_000_000L,
                            () -> {
                                if (!p.alive) {
                                    p.start();
                                }
                            });
                }
            }
            default -> heal();
        }
    }

    private boolean allIn() {
        // One that has been let in and is not settled yet does not count: its loss and another
        // one's are two.
        boolean settled =
                procs.values().stream()
                        .anyMatch(
                                p ->
                                        p.alive
                                                && p.consensusNode != null
                                                && p.consensusNode.isLeader()
                                                && ((List<?>)
                                                                        p.consensusNode
                                                                                .status()
                                                                                .get("voters"))
                                                                .size()
                                                        == voters.size());
        return settled
                && voters.keySet().stream()
                        .allMatch(
                                v ->
                                        procs.get(v).alive
                                                && procs.get(v).consensusNode != null
                                                && procs.get(v).consensusNode.phase()
                                                        == ConsensusNode.Phase.IN);
    }
}
