package wingroad.fleet;

import wingroad.Fixtures;
import wingroad.Fixtures.TestClient;
import wingroad.operator.OperatorFile;
import wingroad.protocol.Json;
import wingroad.rig.FaultProxy;
import wingroad.rig.FencedMember;
import wingroad.rig.TestCluster;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Twenty and more real processes with faults: the same load and faults without a fleet and with
 * one, where half of the chores go to a member without a fence (the baseline of a lease by time
 * alone). The last line is one JSON object.
 */
public final class OwnerBench {
    private static final int LEASE_MS = 3000;
    private static final int DUTIES = 20;
    private static final int HANDOVER_MS = 300;
    private static final java.util.regex.Pattern CHORE =
            java.util.regex.Pattern.compile("id=chore-([^,]*)-([0-9]+)-[0-9]+,");

    /**
     * In each of these spans the voters are left alone for the last part, and owners are stopped as
     * planned in it.
     */
    private static final long SPAN_MS = 12_000;

    private static final long ALONE_MS = 5_000;
    private static final long STOPS_MS = 1_500;

    private final int count;
    private final int seconds;
    private final Random random;
    private final boolean withFleet;
    private TestCluster rig;
    private FencedMember fenced;
    private FencedMember naive;
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(4);
    private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
    private final Set<String> away = ConcurrentHashMap.newKeySet();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong committed = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();
    private final Map<String, AtomicInteger> generation = new ConcurrentHashMap<>();
    private final List<Long> takeovers = new ArrayList<>();
    private final List<Long> handovers = new ArrayList<>();
    private final List<String> votesTwice = new ArrayList<>();
    private final Map<String, String> votes = new HashMap<>();
    private final AtomicInteger held = new AtomicInteger();
    private long faultsFrom;
    private volatile boolean over;
    private volatile Map<String, Object> status = Map.of();

    private OwnerBench(int count, int seconds, long seed, boolean withFleet) {
        this.count = count;
        this.seconds = seconds;
        this.random = new Random(seed);
        this.withFleet = withFleet;
    }

    /** {@code SECONDS [SEED [DRIVERS]]} */
    public static void main(String[] args) throws Exception {
        int seconds = args.length > 0 ? Integer.parseInt(args[0]) : 100;
        long seed = args.length > 1 ? Long.parseLong(args[1]) : 1;
        int count = args.length > 2 ? Integer.parseInt(args[2]) : 20;
        System.out.println("seed " + seed + ", " + count + " drivers, " + seconds + " s each");
        Map<String, Object> off =
                args.length > 3
                        ? Map.of("served", 1.0)
                        : new OwnerBench(count, seconds, seed, false).run();
        System.out.println("off " + off);
        Map<String, Object> on = new OwnerBench(count, seconds, seed, true).run();
        List<Long> alone = new ArrayList<>();
        List<Long> handed = new ArrayList<>();
        long asksOff = lists(count, false, alone);
        long asksOn = lists(count, true, handed);
        on.put("discovery_asks_off", asksOff);
        on.put("discovery_asks_on", asksOn);
        on.put("discovery_asks_over_off", (double) asksOn / asksOff);
        on.put("drain_told_ms_p50_off", at(alone, 0.5));
        on.put("drain_told_ms_p99_on", at(handed, 0.99));
        on.put("drain_told_later_ms_p99", at(handed, 0.99) - at(alone, 0.5));
        double ratio = (double) on.get("served") / (double) off.get("served");
        on.put("served_off", off.get("served"));
        on.put("served_ratio_during_faults", ratio);
        StringBuilder json = new StringBuilder("{");
        on.forEach(
                (k, v) ->
                        json.append(json.length() > 1 ? "," : "")
                                .append('"')
                                .append(k)
                                .append("\":")
                                .append(v));
        System.out.println(json.append('}'));
        System.exit(0);
    }

    /**
     * Forty changes of the list, 0.6 s apart, at drivers without faults; how often discovery was
     * asked meanwhile.
     */
    private static long lists(int count, boolean handedOn, List<Long> toldAfter) throws Exception {
        String rules =
                "    lease-ms "
                        + LEASE_MS
                        + "\n    drift 0.01\n"
                        + (handedOn ? "    list check=60\n" : "");
        try (TestCluster rig =
                new TestCluster(
                        Files.createTempDirectory("lists"),
                        count,
                        5,
                        rules,
                        Fixtures.SETTINGS_JSON)) {
            FencedMember primary = rig.addMember("m1", 7, true, true);
            FencedMember replica = rig.addMember("m2", 7, false, true);
            rig.startAll();
            rig.discovery.publish(
                    rig.discoveryEntry("d1", primary, "ready")
                            + ","
                            + rig.discoveryEntry("d1", replica, "ready"));
            int follow = 0;
            for (TestCluster.DriverProcess d : rig.drivers.values()) {
                d.awaitLog("list 1 ");
                d.awaitLog("lease of");
            }
            while (handedOn && follow < count - 1) {
                TimeUnit.MILLISECONDS.sleep(100);
                follow =
                        (int)
                                rig.drivers.values().stream()
                                        .filter(d -> d.firstLogTimeMs("follows the owner") > 0)
                                        .count();
            }
            int asked = rig.discovery.requestedVersions.size();
            for (int rev = 2; rev < 42; rev++) {
                long at = System.currentTimeMillis();
                rig.discovery.publish(
                        rig.discoveryEntry("d1", primary, "ready")
                                + ","
                                + rig.discoveryEntry(
                                        "d1", replica, rev % 2 == 0 ? "draining" : "ready"));
                TimeUnit.MILLISECONDS.sleep(600);
                for (TestCluster.DriverProcess d : rig.drivers.values()) {
                    long told = d.firstLogTimeMs("list " + rev + " ");
                    toldAfter.add(told == 0 ? 600 : told - at);
                }
            }
            return rig.discovery.requestedVersions.size() - asked;
        }
    }

    private void count(String what) {
        counts.computeIfAbsent(what, w -> new AtomicInteger()).incrementAndGet();
    }

    private int counted(String what) {
        return counts.containsKey(what) ? counts.get(what).get() : 0;
    }

    private Map<String, Object> run() throws Exception {
        Path dir = Files.createTempDirectory("owner");
        StringBuilder rules = new StringBuilder("    lease-ms " + LEASE_MS + "\n    drift 0.01\n");
        for (int i = 0; i < DUTIES; i++) {
            String name = (i % 2 == 0 ? "c" : "n") + i;
            rules.append("    chore \"")
                    .append(name)
                    .append("\" every=1 group=")
                    .append(i % 2 == 0 ? 7 : 8)
                    .append(" statement=\"SELECT fenced_")
                    .append(name)
                    .append("({epoch})\"\n");
        }
        rig =
                new TestCluster(
                        dir, count, 5, withFleet ? rules.toString() : null, Fixtures.SETTINGS_JSON);
        fenced = rig.addMember("m1", 7, true, true);
        naive = rig.addMember("m2", 8, true, false);
        for (String a : rig.voters()) {
            for (String b : rig.voters()) {
                Map<Object, ByteBuffer> open = new HashMap<>();
                rig.proxy
                        .linkBetween(a, b)
                        .setInterceptor(
                                (l, way, bytes, c) ->
                                        way == FaultProxy.Direction.FORWARD
                                                && watchVotes(open, c, bytes, b));
            }
        }
        long begun = System.nanoTime();
        rig.startAll();
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            generation.put(d.name, new AtomicInteger());
            d.awaitLog(" serves ");
        }
        if (withFleet) {
            for (TestCluster.DriverProcess d : rig.drivers.values()) {
                d.awaitLog("lease of");
            }
            new Thread(this::poll, "poll").start();
            fenced.awaitExecution(0, e -> true);
        }
        System.out.println("started after " + (System.nanoTime() - begun) / 1_000_000 + " ms");
        List<Thread> load = new ArrayList<>();
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            Thread t = new Thread(() -> clients(d), "load of " + d.name);
            t.start();
            load.add(t);
        }
        faultsFrom = System.nanoTime();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            fault();
            TimeUnit.MILLISECONDS.sleep(300 + random.nextInt(250));
        }
        // All wounds heal by themselves; what is left open is closed here.
        for (int i = 0; i < 200 && !away.isEmpty(); i++) {
            TimeUnit.MILLISECONDS.sleep(200);
        }
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("processes", count);
        int without = withFleet ? unowned() : 0;
        over = true;
        for (Thread t : load) {
            t.join();
        }
        result.put("faults", counts.values().stream().mapToInt(AtomicInteger::get).sum());
        for (String kind :
                List.of("pauses", "cuts", "kills", "stops", "lost states", "slow links")) {
            result.put(kind.replace(' ', '_'), counted(kind));
        }
        result.put("client_txns", sent.get());
        result.put("client_txns_lost", lost.get());
        result.put("served", sent.get() == 0 ? 0.0 : (double) committed.get() / sent.get());
        if (withFleet) {
            result.put("effects_held", held.get());
            result.put(
                    "overlaps",
                    fenced.executions().stream()
                            .filter(e -> e.staleEpoch() && e.accepted())
                            .count());
            result.put(
                    "late_effects_refused",
                    fenced.executions().stream()
                            .filter(e -> e.staleEpoch() && !e.accepted())
                            .count());
            result.put(
                    "late_effects_accepted",
                    fenced.executions().stream()
                            .filter(e -> e.staleEpoch() && e.accepted())
                            .count());
            result.put(
                    "naive_late_effects_accepted",
                    naive.executions().stream()
                            .filter(FencedMember.ChoreExecution::staleEpoch)
                            .count());
            result.put("chore_turns", fenced.executionCount() + naive.executionCount());
            result.put("chore_turns_run_twice", fenced.repeatedTurns() + naive.repeatedTurns());
            result.put("duties_without_owner_at_end", without);
            result.put("takeovers", takeovers.size());
            result.put("takeover_ms_p50", at(takeovers, 0.5));
            result.put("takeover_ms_p99", at(takeovers, 0.99));
            result.put("handovers", handovers.size());
            result.put("handover_ms_p50", at(handovers, 0.5));
            result.put("handover_ms_p99", at(handovers, 0.99));
            result.put("state_lost_votes", votesTwice.size());
            votesTwice.forEach(System.out::println);
        }
        later.shutdownNow();
        rig.close();
        return result;
    }

    private static long at(List<Long> of, double part) {
        synchronized (of) {
            if (of.isEmpty()) {
                return -1;
            }
            List<Long> sorted = of.stream().sorted().toList();
            return sorted.get(
                    (int) Math.min(sorted.size() - 1, Math.ceil(part * sorted.size()) - 1));
        }
    }

    // ---- load ----

    private void clients(TestCluster.DriverProcess d) {
        int n = 0;
        TestClient c = null;
        int made = -1;
        while (!over) {
            try {
                TimeUnit.MILLISECONDS.sleep(60);
                int gen = generation.get(d.name).get();
                if (away.contains(d.name + " process")) {
                    continue;
                }
                if (c == null || made != gen) {
                    if (c != null) {
                        c.close();
                    }
                    c = new TestClient(d.port());
                    made = gen;
                    c.sendStartup().readResponses();
                }
                String id = d.name + "-" + gen + "-" + n++;
                List<String> heard =
                        c.query(
                                        n % 5 == 0
                                                ? Fixtures.writeStatement(id)
                                                : Fixtures.readStatement(id))
                                .readResponses();
                if (generation.get(d.name).get() == gen) {
                    sent.incrementAndGet();
                    if (heard.contains("row value")) {
                        committed.incrementAndGet();
                    } else if (heard.contains("end")) {
                        lost.incrementAndGet();
                        c = null;
                    }
                }
            } catch (IOException e) {
                // Only what was broken off while its process was left alone counts as lost.
                if (c != null
                        && made == generation.get(d.name).get()
                        && !away.contains(d.name + " process")
                        && !over) {
                    sent.incrementAndGet();
                    lost.incrementAndGet();
                    System.out.println("lost at " + d.name + ": " + e);
                }
                c = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    // ---- faults ----

    private TestCluster.DriverProcess any() {
        List<TestCluster.DriverProcess> all =
                rig.drivers.values().stream().filter(this::free).toList();
        return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
    }

    private long inSpan() {
        return (System.nanoTime() - faultsFrom) / 1_000_000 % SPAN_MS;
    }

    private boolean free(TestCluster.DriverProcess d) {
        if (rig.voters().contains(d.name) && inSpan() > SPAN_MS - ALONE_MS - LEASE_MS) {
            return false;
        }
        return away.stream().noneMatch(a -> a.startsWith(d.name + " "))
                && (!rig.voters().contains(d.name) || votersAway() < 2);
    }

    private long votersAway() {
        return rig.voters().stream()
                .filter(v -> away.stream().anyMatch(a -> a.startsWith(v + " ")))
                .count();
    }

    private interface Step {
        void run() throws Exception;
    }

    private void in(long ms, Step what) {
        later.schedule(
                () -> {
                    try {
                        what.run();
                    } catch (Exception e) {
                        System.out.println("rig: " + e);
                    }
                },
                ms,
                TimeUnit.MILLISECONDS);
    }

    private void processAway(TestCluster.DriverProcess d) {
        away.add(d.name + " process");
        generation.get(d.name).incrementAndGet();
    }

    private void processBack(TestCluster.DriverProcess d) {
        away.remove(d.name + " process");
    }

    private void fault() throws Exception {
        fault(any());
    }

    private void fault(TestCluster.DriverProcess drawn) throws Exception {
        TestCluster.DriverProcess d = drawn;
        int kind = random.nextInt(20);
        if (inSpan() > SPAN_MS - STOPS_MS && votersAway() == 0) {
            List<TestCluster.DriverProcess> owners = owners();
            d = owners.isEmpty() ? d : owners.get(random.nextInt(owners.size()));
            kind = 18;
        }
        int length = LEASE_MS * (1 + random.nextInt(2)) + random.nextInt(500);
        if (d == null) {
            return;
        }
        if (withFleet && kind >= 7 && kind < 13 && random.nextBoolean()) {
            List<TestCluster.DriverProcess> owners = owners();
            d = owners.isEmpty() ? d : owners.get(random.nextInt(owners.size()));
        }
        fault(d, kind, length);
    }

    /** Those that own something and are left alone now. */
    private List<TestCluster.DriverProcess> owners() {
        return duties().values().stream()
                .map(o -> rig.driver(MessageCodec.stringOrEmpty(o, "owner")))
                .filter(o -> o != null && free(o))
                .toList();
    }

    private void fault(TestCluster.DriverProcess d, int kind, int length) throws Exception {
        if (kind < 6) {
            count("pauses");
            if (withFleet) {
                List<TestCluster.DriverProcess> owners = owners();
                pauseInEffect(
                        owners.isEmpty() ? d : owners.get(random.nextInt(owners.size())), length);
            } else {
                pause(d, length);
            }
        } else if (kind < 7) {
            count("pauses");
            pause(d, random.nextInt(4) == 0 ? 10 * LEASE_MS : length);
        } else if (kind < 13) {
            count("kills");
            processAway(d);
            owned(d, takeovers);
            d.kill();
            boolean lose =
                    rig.voters().contains(d.name) && votersAway() == 1 && random.nextInt(3) == 0;
            if (lose) {
                count("lost states");
                d.deleteState();
            }
            in(500 + random.nextInt(5000), () -> again(d));
        } else if (kind < 18) {
            count("cuts");
            away.add(d.name + " links");
            int how = random.nextInt(4);
            if (how < 2) {
                rig.partitionFromVoters(d.name, true);
                in(length, () -> rig.partitionFromVoters(d.name, false));
            } else {
                rig.partitionOneWay(d.name, how == 2, true);
                in(length, () -> rig.partitionOneWay(d.name, how == 2, false));
            }
            in(length + 100, () -> away.remove(d.name + " links"));
        } else if (kind == 18) {
            count("stops");
            processAway(d);
            owned(d, handovers);
            d.terminate();
            in(
                    0,
                    () -> {
                        d.awaitExit();
                        again(d);
                    });
        } else {
            count("slow links");
            away.add(d.name + " links");
            rig.proxy.allLinks().stream()
                    .filter(l -> l.from.equals(d.name))
                    .forEach(l -> rig.proxy.setDelay(l, 30));
            in(
                    length,
                    () -> {
                        rig.proxy.allLinks().stream()
                                .filter(l -> l.from.equals(d.name))
                                .forEach(l -> rig.proxy.setDelay(l, 0));
                        away.remove(d.name + " links");
                    });
        }
    }

    private void again(TestCluster.DriverProcess d) throws Exception {
        d.start();
        d.awaitLog(" serves ");
        processBack(d);
    }

    private void pause(TestCluster.DriverProcess d, long ms) throws IOException {
        processAway(d);
        d.pause();
        in(
                ms,
                () -> {
                    d.resume();
                    in(300, () -> processBack(d));
                });
    }

    /**
     * Holds the owner's next statement on its way and stops the owner; both are let go once a
     * successor's effect has come, or after some leases.
     */
    private void pauseInEffect(TestCluster.DriverProcess d, long ms) {
        away.add(d.name + " links");
        AtomicInteger once = new AtomicInteger();
        FencedMember member = random.nextInt(4) > 0 ? fenced : naive;
        rig.proxy
                .linkBetween(d.name, member.uid)
                .setInterceptor(
                        (link, way, bytes, connection) -> {
                            java.util.regex.Matcher m =
                                    way == FaultProxy.Direction.FORWARD && once.get() == 0
                                            ? CHORE.matcher(
                                                    java.nio.charset.StandardCharsets.ISO_8859_1
                                                            .decode(bytes))
                                            : null;
                            if (m == null || !m.find()) {
                                return false;
                            }
                            once.set(1);
                            held.incrementAndGet();
                            processAway(d);
                            in(0, d::pause);
                            String chore = m.group(1);
                            long epoch = Long.parseLong(m.group(2));
                            in(ms, () -> letGo(d, member, connection, chore, epoch, 60));
                            return true;
                        });
        in(
                ms,
                () -> {
                    // One that owns nothing sends nothing: then it is stopped as it is.
                    if (once.compareAndSet(0, 2)) {
                        pause(d, ms);
                    }
                    away.remove(d.name + " links");
                });
    }

    private void letGo(
            TestCluster.DriverProcess d,
            FencedMember member,
            Object connection,
            String chore,
            long epoch,
            int tries)
            throws IOException {
        boolean acted =
                member.executions().stream()
                        .anyMatch(e -> e.chore().equals(chore) && e.epoch() > epoch);
        if (!acted && tries > 0) {
            in(200, () -> letGo(d, member, connection, chore, epoch, tries - 1));
            return;
        }
        rig.proxy.release(connection);
        d.resume();
        in(300, () -> processBack(d));
    }

    // ---- the council, by status ----

    private FleetConfig rules() throws IOException {
        return OperatorFile.read(rig.driver("d1").operatorFile()).file().fleet();
    }

    private void poll() {
        while (!over) {
            Map<String, Object> best = null;
            for (String v : rig.voters()) {
                if (away.stream().anyMatch(a -> a.startsWith(v + " "))) {
                    continue;
                }
                try (FleetClient c = new FleetClient(rules(), v)) {
                    Map<String, Object> s = c.status();
                    best =
                            best == null
                                            || MessageCodec.longOrZero(s, "revision")
                                                    > MessageCodec.longOrZero(best, "revision")
                                    ? s
                                    : best;
                } catch (IOException | RuntimeException e) {
                    // the next one knows
                }
                if (best != null) {
                    break;
                }
            }
            if (best != null
                    && MessageCodec.longOrZero(best, "revision")
                            >= MessageCodec.longOrZero(status, "revision")) {
                status = best;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private Map<String, Map<String, Object>> duties() {
        Map<String, Map<String, Object>> all = new TreeMap<>();
        if (status.get("duties") instanceof List<?> l) {
            l.forEach(
                    o -> {
                        Map<String, Object> d = Json.object(o, "a duty");
                        all.put(MessageCodec.stringOrEmpty(d, "name"), d);
                    });
        }
        return all;
    }

    /** Measures how long it takes from now until this driver's duties are another session's. */
    private void owned(TestCluster.DriverProcess d, List<Long> times) {
        long now = System.currentTimeMillis();
        duties().forEach(
                        (name, duty) -> {
                            if (MessageCodec.stringOrEmpty(duty, "owner").equals(d.name)) {
                                measure(name, MessageCodec.longOrZero(duty, "epoch"), now, times);
                            }
                        });
    }

    private void measure(String name, long epoch, long from, List<Long> times) {
        in(
                50,
                () -> {
                    Map<String, Object> duty = duties().get(name);
                    if (duty != null && MessageCodec.longOrZero(duty, "epoch") > epoch) {
                        // By the history: the first grant behind the old one, even where it has
                        // moved on since.
                        for (Object line : (List<?>) duty.get("history")) {
                            String[] w = line.toString().split(" ");
                            if (line.toString().contains(" has it, epoch ")
                                    && Long.parseLong(w[w.length - 1]) > epoch) {
                                // Given away before the fault: not this fault's.
                                if (Long.parseLong(w[0]) >= from) {
                                    synchronized (times) {
                                        times.add(Long.parseLong(w[0]) - from);
                                    }
                                    if (Long.parseLong(w[0]) - from
                                            > (times == handovers ? HANDOVER_MS : 1.5 * LEASE_MS)) {
                                        List<?> h = (List<?>) duty.get("history");
                                        System.out.println(
                                                (times == handovers
                                                                ? "slow hand-over of "
                                                                : "slow takeover of ")
                                                        + name
                                                        + ": "
                                                        + (Long.parseLong(w[0]) - from)
                                                        + " ms from "
                                                        + from
                                                        + "; "
                                                        + h.subList(
                                                                Math.max(0, h.size() - 4), h.size())
                                                        + changes(from));
                                    }
                                }
                                return;
                            }
                        }
                    } else if (!over) {
                        measure(name, epoch, from, times);
                    }
                });
    }

    /** What voters said of their council since then. */
    private List<String> changes(long from) {
        List<String> all = new ArrayList<>();
        for (String v : rig.voters()) {
            rig.driver(v).log().stream()
                    .filter(l -> l.contains("fleet:") && !l.contains("turn"))
                    .filter(
                            l ->
                                    java.time.Instant.parse(l.substring(0, l.indexOf(' ')))
                                                    .toEpochMilli()
                                            > from - 4000)
                    .forEach(l -> all.add("\n    " + v + " " + l));
        }
        return all;
    }

    private int unowned() throws InterruptedException {
        int without = DUTIES;
        for (int i = 0; i < 150 && without > 0; i++) {
            TimeUnit.MILLISECONDS.sleep(200);
            without =
                    DUTIES
                            - (int)
                                    duties().values().stream()
                                            .filter(
                                                    d ->
                                                            rig.drivers.containsKey(
                                                                    MessageCodec.stringOrEmpty(
                                                                            d, "owner")))
                                            .count();
        }
        return without;
    }

    /** Messages between voters that grant a vote: no voter may grant two in one term. */
    private boolean watchVotes(
            Map<Object, ByteBuffer> open, Object connection, ByteBuffer bytes, String to) {
        ByteBuffer old = open.get(connection);
        ByteBuffer all =
                ByteBuffer.allocate((old == null ? 0 : old.remaining()) + bytes.remaining());
        if (old != null) {
            all.put(old);
        }
        all.put(bytes).flip();
        while (all.remaining() >= 4 && all.remaining() >= 4 + all.getInt(all.position())) {
            byte[] text = new byte[all.getInt()];
            all.get(text);
            Map<String, Object> m = Cbor.decode(text);
            if (MessageCodec.stringOrEmpty(m, "k").equals("raft")) {
                Map<String, Object> r = Json.object(m.get("m"), "a message");
                String kind = MessageCodec.stringOrEmpty(r, "k");
                boolean votes = kind.equals("voted") && Boolean.TRUE.equals(r.get("yes"));
                if (votes || kind.equals("vote")) {
                    String whom =
                            votes
                                    ? to
                                    : MessageCodec.Endpoint.of(MessageCodec.stringOrEmpty(r, "s"))
                                            .name();
                    synchronized (this.votes) {
                        String before =
                                this.votes.putIfAbsent(
                                        MessageCodec.stringOrEmpty(r, "s") + " " + r.get("t"),
                                        whom);
                        if (before != null && !before.equals(whom)) {
                            votesTwice.add(
                                    MessageCodec.stringOrEmpty(r, "s")
                                            + " votes in term "
                                            + r.get("t")
                                            + " for "
                                            + before
                                            + " and "
                                            + whom);
                        }
                    }
                }
            }
        }
        open.put(connection, all);
        return false;
    }
}
