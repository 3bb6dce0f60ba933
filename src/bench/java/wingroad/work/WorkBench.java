package wingroad.work;

import wingroad.Fixtures;
import wingroad.fleet.FleetClient;
import wingroad.fleet.FleetConfig;
import wingroad.operator.OperatorFile;
import wingroad.rig.ClientLoad;
import wingroad.rig.FaultProxy;
import wingroad.rig.FencedMember;
import wingroad.rig.TestCluster;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Nine machines of three zones with eighteen members, eight drivers as real processes: no work at
 * all, the plan, the plan with faults, and two baselines (marks in discovery at a fixed pace; each
 * driver by itself). The last line is one JSON object.
 */
public final class WorkBench {
    private static final int LEASE_MS = 3000;
    private static final int DRIVERS = 8;
    private static final int GROUPS = 6;
    private static final int MACHINES = 9;
    private static final long WORK_MS = 2500;
    private static final long COLD_MS = 3000;
    private static final long PACE_MS = 1500;
    private static final FencedMember.StartupCapacity BEARS =
            new FencedMember.StartupCapacity(250, COLD_MS, 0.26, 2.5, 1500);
    private static final String SETTINGS =
            Fixtures.SETTINGS_JSON
                    .replace("\"cold\":16000", "\"cold\":" + COLD_MS)
                    .replace("\"azs\":[\"a\"]", "\"azs\":[\"a\",\"b\",\"c\"]")
                    .replace("\"balancers\":1", "\"balancers\":" + DRIVERS);
    private static final Pattern MOVE =
            Pattern.compile("the primary of group ([0-9]+) is here: to be moved to ([^ ]+).*");

    private final Random random;
    private final TestCluster rig;
    private final Map<String, List<FencedMember>> machines = new TreeMap<>();
    private final Set<String> away = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(6);
    private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
    private final Set<Long> epochs = new HashSet<>();
    private final List<Object> heldOrders = new ArrayList<>();
    private final AtomicInteger twoWays = new AtomicInteger();
    private final FleetConfig fleetRules;
    private ClientLoad load;
    private volatile Map<?, ?> work = Map.of();
    private volatile String conductor = "";
    private volatile boolean over;

    private WorkBench(long seed, boolean planned) throws Exception {
        random = new Random(seed);
        StringBuilder rules =
                new StringBuilder(
                        "    lease-ms "
                                + LEASE_MS
                                + "\n    drift 0.01\n    work {\n        at-once 3\n"
                                + "        watch 1\n        harm 0.05\n        lag-ms 400\n");
        for (int m = 0; m < MACHINES; m++) {
            rules.append("        machine \"M")
                    .append(m)
                    .append("\" zone=\"")
                    .append(zone(m))
                    .append("\" {");
            for (int g = 0; g < GROUPS; g++) {
                if (on(g, m % 3) == m) {
                    rules.append(" member \"")
                            .append(uid(g, m % 3))
                            .append("\" group=")
                            .append(g + 7)
                            .append(';');
                }
            }
            rules.append(m < 3 ? " driver \"d" + (m * 2 + 2) + "\";" : "").append(" }\n");
        }
        rules.append("    }\n");
        rig =
                new TestCluster(
                        Files.createTempDirectory("work"),
                        DRIVERS,
                        5,
                        planned ? rules.toString() : null,
                        SETTINGS);
        for (int m = 0; m < MACHINES; m++) {
            machines.put("M" + m, new ArrayList<>());
        }
        for (int g = 0; g < GROUPS; g++) {
            for (int z = 0; z < 3; z++) {
                FencedMember member = rig.addMember(uid(g, z), g + 7, z == g % 3, false);
                member.setAnswerDelayMs(8);
                member.simulateStart(new FencedMember.StartupCapacity(250, 0, 1, 1, 1), 2);
                machines.get("M" + on(g, z)).add(member);
            }
        }
        fleetRules =
                planned ? OperatorFile.read(rig.driver("d1").operatorFile()).file().fleet() : null;
        rig.startAll();
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            d.awaitLog(planned ? "work: the plan is known" : " serves ");
        }
        List<Integer> groups = new ArrayList<>();
        for (int g = 0; g < GROUPS; g++) {
            groups.add(g + 7);
        }
        load = new ClientLoad(rig, groups, 4, 2);
        if (planned) {
            Thread poll = new Thread(this::poll, "poll");
            poll.setDaemon(true);
            poll.start();
            await(() -> work.get("machines") instanceof List<?> l && l.size() == MACHINES, 60);
        }
        TimeUnit.SECONDS.sleep(2);
        load.sent.set(0);
        load.committed.set(0);
        load.refused.set(0);
        load.lost.set(0);
    }

    private static String zone(int machine) {
        return List.of("a", "b", "c").get(machine % 3);
    }

    private static String uid(int group, int zone) {
        return "g" + group + "z" + zone;
    }

    /** The machine of a group's member in a zone: three machines a zone, two groups each. */
    private static int on(int group, int zone) {
        return group / 2 * 3 + zone;
    }

    /**
     * {@code [SECONDS [SEED]]}: how long it goes with faults at the least; without work as long, at
     * most half a minute.
     */
    public static void main(String[] args) {
        try {
            play(args);
            System.exit(0);
        } catch (Exception | AssertionError e) {
            e.printStackTrace();
            System.exit(1);
        }
    }

    private static void play(String[] args) throws Exception {
        int seconds = args.length > 0 ? Integer.parseInt(args[0]) : 30;
        long seed = args.length > 1 ? Long.parseLong(args[1]) : 1;
        System.out.println("seed " + seed);
        Map<String, Object> all = new LinkedHashMap<>();
        double none = new WorkBench(seed, true).none(Math.min(seconds, 30));
        all.put("served_no_work", none);
        System.out.println(all);
        Map<String, Object> calm = new WorkBench(seed, true).plan(false, 1, 0);
        System.out.println("calm " + calm);
        Map<String, Object> faulty = new WorkBench(seed, true).plan(true, 2, seconds);
        System.out.println("faults " + faulty);
        double marks = new WorkBench(seed, false).marks(false);
        System.out.println("marks " + marks);
        double alone = new WorkBench(seed, false).marks(true);
        calm.forEach((k, v) -> all.put("calm_" + k, v));
        all.putAll(faulty);
        all.put("served_ratio_over_no_work_calm", (double) calm.get("served") / none);
        all.put("served_ratio_over_no_work_faults", (double) faulty.get("served") / none);
        all.put("served_ratio_marks_at_a_pace", marks / none);
        all.put("served_ratio_each_by_itself", alone / none);
        StringBuilder json = new StringBuilder("{");
        all.forEach(
                (k, v) ->
                        json.append(json.length() > 1 ? "," : "")
                                .append('"')
                                .append(k)
                                .append("\":")
                                .append(
                                        v instanceof Double d
                                                ? String.format(Locale.ROOT, "%.5f", d)
                                                : v));
        System.out.println(json.append('}'));
    }

    private interface Wanted {
        boolean now() throws Exception;
    }

    private static boolean await(Wanted what, int seconds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!what.now()) {
            if (System.nanoTime() > end) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(40);
        }
        return true;
    }

    private double none(int seconds) throws Exception {
        TimeUnit.SECONDS.sleep(seconds);
        return close();
    }

    private double close() throws Exception {
        over = true;
        load.close();
        later.shutdownNow();
        rig.close();
        return load.committedShare();
    }

    // ---- the plan ----

    private Map<String, Object> plan(boolean faulty, int rounds, int seconds) throws Exception {
        long begun = System.currentTimeMillis();
        int asked = 0;
        int done = 0;
        Thread faults = new Thread(() -> faults(), "faults");
        if (faulty) {
            faults.start();
        }
        boolean all = true;
        long end = begun + seconds * 1000L;
        for (int r = 0; r < rounds || System.currentTimeMillis() < end; r++) {
            for (String m : machines.keySet()) {
                asked++;
                String id = "ask-" + r + "-" + m;
                // Two operators ask for the same at once, at two drivers.
                List<String> answers =
                        List.of(0, 1).parallelStream().map(i -> ask(i, m, id)).toList();
                if (!answers.get(0).equals(answers.get(1))) {
                    twoWays.incrementAndGet();
                    System.out.println("answered two ways: " + m + " " + answers);
                }
            }
            all &= await(this::served, 240);
            done += machines.size() - entries().size();
            if (!all) {
                System.out.println("not done: " + work.get("entries"));
                break;
            }
        }
        long took = System.currentTimeMillis() - begun;
        over = faulty;
        faults.join();
        if (faulty) {
            await(() -> away.isEmpty(), 60);
        }
        Map<?, ?> last = (Map<?, ?>) talk(FleetClient::status).get("work");
        Map<String, Object> f = new LinkedHashMap<>();
        f.put("asked", asked);
        f.put("machines_done", done);
        f.put("asks_lost", asked - done);
        f.put("asks_answered_two_ways", twoWays.get());
        check(f, (List<?>) last.get("history"));
        if (faulty) {
            f.put("faults", counts.values().stream().mapToInt(AtomicInteger::get).sum());
            counts.forEach((k, v) -> f.put(k.replace(' ', '_'), v.get()));
            f.put("conductor_changes", epochs.size() - 1);
            f.put("late_orders_held", heldOrders.size());
            f.put("late_orders_refused", last.get("late-orders"));
        } else {
            // What the limits allow: a zone after the other; grace, work and cold time each.
            f.put("plan_time_over_bound", took / (3.0 * (1000 + WORK_MS + COLD_MS)));
        }
        f.put(
                "cold_budget_peak",
                machines.values().stream()
                        .flatMap(List::stream)
                        .mapToDouble(FencedMember::peakColdLoad)
                        .max()
                        .orElse(0));
        f.put("txns", load.sent.get());
        f.put("lost", load.lost.get());
        f.put("refused", load.refused.get());
        f.put("served", close());
        f.put(
                "rule_breaks",
                load.lost.get()
                        + (long) f.get("txns_at_machines_told_out")
                        + (long) f.get("out_told_before_all_stopped")
                        + ((double) f.get("cold_budget_peak") > 1 ? 1 : 0));
        return f;
    }

    private List<?> entries() {
        return work.get("entries") instanceof List<?> l ? l : List.of();
    }

    private final Map<String, Long> workedOn = new HashMap<>();

    /**
     * People at the machines: work on what is out, move primaries where the plan wants that; true
     * once nothing is left.
     */
    private boolean served() throws Exception {
        for (Object o : entries()) {
            Map<?, ?> e = (Map<?, ?>) o;
            String m = (String) e.get("machine");
            String key = m + " " + e.get("out-since");
            Matcher move = MOVE.matcher(String.valueOf(e.get("waits")));
            if (e.get("stage").equals("out")
                    && workedOn.putIfAbsent(key, System.currentTimeMillis()) == null) {
                for (FencedMember member : machines.get(m)) {
                    rig.setReachable(member, false);
                }
                later.schedule(() -> finish(m), WORK_MS, TimeUnit.MILLISECONDS);
            } else if (move.matches()) {
                int group = Integer.parseInt(move.group(1));
                FencedMember next = rig.members.get(move.group(2));
                if (next != null && !next.primary()) {
                    rig.members.values().stream()
                            .filter(x -> x.group == group)
                            .forEach(x -> x.setPrimary(false));
                    next.setPrimary(true);
                }
            }
        }
        return entries().isEmpty() && fresh;
    }

    private volatile boolean fresh;

    private void finish(String machine) {
        try {
            for (FencedMember member : machines.get(machine)) {
                member.simulateStart(BEARS, 2);
                member.setReplicationLagMs(1500);
                rig.setReachable(member, true);
                later.schedule(() -> member.setReplicationLagMs(0), 1200, TimeUnit.MILLISECONDS);
            }
            talk(
                    c ->
                            c.sendOperatorCommand(
                                    "done", machine, "done " + machine + " " + System.nanoTime()));
        } catch (IOException e) {
            System.out.println("rig: " + e);
        }
    }

    /** What the members' own ledgers and the plan's history say together. */
    private void check(Map<String, Object> f, List<?> history) {
        Map<String, List<long[]>> out = new TreeMap<>();
        Map<String, List<long[]>> gone = new TreeMap<>();
        Map<String, Long> draining = new HashMap<>();
        for (Object line : history) {
            String[] w = line.toString().split(" ", 3);
            long at = Long.parseLong(w[0]);
            String m = w[1];
            if (w[2].startsWith("draining")) {
                draining.put(m, at);
            } else if (w[2].startsWith("asked: put back")
                    || w[2].startsWith("asked: held")
                    || w[2].startsWith("asked: all held")) {
                if (draining.containsKey(m)) {
                    gone.computeIfAbsent(m, k -> new ArrayList<>())
                            .add(new long[] {draining.remove(m), at});
                }
            } else if (w[2].startsWith("out")) {
                out.computeIfAbsent(m, k -> new ArrayList<>()).add(new long[] {at, Long.MAX_VALUE});
            } else if (w[2].startsWith("returning")) {
                out.get(m).get(out.get(m).size() - 1)[1] = at;
            } else if (w[2].startsWith("in:") && draining.containsKey(m)) {
                gone.computeIfAbsent(m, k -> new ArrayList<>())
                        .add(new long[] {draining.remove(m), at});
            }
        }
        long told = 0;
        long before = 0;
        for (Map.Entry<String, List<long[]>> o : out.entrySet()) {
            for (FencedMember member : machines.get(o.getKey())) {
                for (FencedMember.ReceivedTxn t : member.txns()) {
                    for (long[] span : o.getValue()) {
                        if (t.receivedAtMs() > span[0] && t.receivedAtMs() < span[1]) {
                            told++;
                            System.out.println(
                                    "at "
                                            + member.uid
                                            + " on "
                                            + o.getKey()
                                            + ": "
                                            + t.id()
                                            + ", out since "
                                            + (t.receivedAtMs() - span[0])
                                            + " ms");
                        } else if (t.receivedAtMs() <= span[0]
                                && (t.answeredAtMs().get() == 0
                                        || t.answeredAtMs().get() > span[0] + 1)) {
                            before++;
                        }
                    }
                }
            }
        }
        long together = 0;
        for (String a : gone.keySet()) {
            for (String b : gone.keySet()) {
                if (a.compareTo(b) < 0 && sharesGroup(a, b)) {
                    for (long[] x : gone.get(a)) {
                        for (long[] y : gone.get(b)) {
                            together += Math.max(0, Math.min(x[1], y[1]) - Math.max(x[0], y[0]));
                        }
                    }
                }
            }
        }
        f.put("txns_at_machines_told_out", told);
        f.put("out_told_before_all_stopped", before);
        f.put("two_of_a_group_away_ms", together);
    }

    private boolean sharesGroup(String a, String b) {
        Set<Integer> groups = new TreeSet<>();
        machines.get(a).forEach(m -> groups.add(m.group));
        return machines.get(b).stream().anyMatch(m -> groups.contains(m.group));
    }

    // ---- talk with the council ----

    /** Read once: a driver that starts writes its file anew. */
    private FleetConfig rules() {
        return fleetRules;
    }

    private interface Talk<T> {
        T with(FleetClient c) throws IOException;
    }

    private <T> T talk(Talk<T> what) throws IOException {
        return talk(0, what);
    }

    private <T> T talk(int first, Talk<T> what) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        IOException last = null;
        List<String> voters = new ArrayList<>(rules().voterAddresses().keySet());
        while (System.nanoTime() < end) {
            for (int i = 0; i < voters.size(); i++) {
                String v = voters.get((first + i) % voters.size());
                if (rig.driver(v).paused || !rig.driver(v).isAlive()) {
                    continue;
                }
                try (FleetClient c = new FleetClient(rules(), v)) {
                    return what.with(c);
                } catch (IOException e) {
                    last = e;
                }
            }
        }
        throw last == null ? new IOException("no voter") : last;
    }

    private String ask(int voter, String machine, String id) {
        try {
            return talk(voter, c -> c.requestMaintenance(machine, "kernel", 0, 0, List.of(), id));
        } catch (IOException e) {
            return e.toString();
        }
    }

    private void poll() {
        while (!over) {
            try {
                Map<String, Object> s = talk(FleetClient::status);
                if (s.get("work") instanceof Map<?, ?> w) {
                    work = w;
                    fresh = true;
                }
                for (Object o : (List<?>) s.get("duties")) {
                    Map<?, ?> d = (Map<?, ?>) o;
                    if (d.get("name").equals("conductor") && !d.get("owner").equals("")) {
                        epochs.add(((Number) d.get("epoch")).longValue());
                        conductor = (String) d.get("owner");
                    }
                }
                TimeUnit.MILLISECONDS.sleep(80);
            } catch (IOException | RuntimeException e) {
                fresh = false;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    // ---- faults ----

    private void count(String what) {
        counts.computeIfAbsent(what, w -> new AtomicInteger()).incrementAndGet();
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

    private long votersAway() {
        return rig.voters().stream().filter(away::contains).count();
    }

    private void faults() {
        try {
            while (!over) {
                TimeUnit.MILLISECONDS.sleep(350 + random.nextInt(350));
                boolean conducts = random.nextInt(3) > 0 && !conductor.isEmpty();
                String name = conducts ? conductor : "d" + (random.nextInt(DRIVERS) + 1);
                if (away.contains(name)
                        || away.size() > 3
                        || rig.voters().contains(name) && votersAway() > 0) {
                    continue;
                }
                fault(rig.driver(name), random.nextInt(11));
            }
        } catch (InterruptedException e) {
            // it is over
        } catch (Exception e) {
            System.out.println("rig: " + e);
        }
    }

    private void leave(String name) {
        away.add(name);
        load.excludedDrivers.add(name);
    }

    private void back(String name) {
        away.remove(name);
        load.excludedDrivers.remove(name);
    }

    private void fault(TestCluster.DriverProcess d, int kind) throws Exception {
        leave(d.name);
        if (kind < 2) {
            count("pauses");
            d.pause();
            in(
                    LEASE_MS * (1 + random.nextInt(2)),
                    () -> {
                        d.resume();
                        in(500, () -> back(d.name));
                    });
        } else if (kind < 4) {
            count("kills");
            d.kill();
            in(300 + random.nextInt(2000), () -> again(d));
        } else if (kind < 6) {
            count("stops");
            d.terminate();
            in(
                    0,
                    () -> {
                        d.awaitExit();
                        again(d);
                    });
        } else if (kind < 8) {
            count("cuts");
            boolean both = random.nextBoolean();
            boolean sends = random.nextBoolean();
            if (both) {
                rig.partitionFromVoters(d.name, true);
            } else {
                rig.partitionOneWay(d.name, sends, true);
            }
            in(
                    1000 + random.nextInt(2 * LEASE_MS),
                    () -> {
                        rig.partitionFromVoters(d.name, false);
                        in(500, () -> back(d.name));
                    });
        } else {
            holdOrder(d);
        }
    }

    private void again(TestCluster.DriverProcess d) throws Exception {
        d.start();
        d.awaitLog("work: the plan is known");
        back(d.name);
    }

    /**
     * Holds the conductor's next order on its way, and starts it anew: the order comes under an
     * epoch that is over.
     */
    private void holdOrder(TestCluster.DriverProcess d) throws Exception {
        AtomicInteger once = new AtomicInteger();
        for (String v : rig.voters()) {
            rig.proxy
                    .linkBetween(d.name, v)
                    .setInterceptor(
                            (link, way, bytes, connection) -> {
                                boolean order =
                                        way == FaultProxy.Direction.FORWARD
                                                && once.get() == 0
                                                && StandardCharsets.ISO_8859_1
                                                        .decode(bytes.duplicate())
                                                        .toString()
                                                        .contains("WORK_STEP");
                                if (!order || !once.compareAndSet(0, 1)) {
                                    return false;
                                }
                                in(
                                        0,
                                        () -> {
                                            count("held orders");
                                            synchronized (heldOrders) {
                                                heldOrders.add(connection);
                                            }
                                            d.kill();
                                            d.start();
                                            in(1500, () -> rig.proxy.release(connection));
                                            d.awaitLog("work: the plan is known");
                                            back(d.name);
                                        });
                                return true;
                            });
        }
        in(
                2500,
                () -> {
                    if (once.compareAndSet(0, 2)) {
                        back(d.name);
                    }
                });
    }

    // ---- baselines ----

    /**
     * One machine after the other by marks in discovery, at a fixed pace; {@code alone}: each
     * driver hears them in its own time.
     */
    private double marks(boolean alone) throws Exception {
        Map<String, Fixtures.FakeDiscovery> own = new TreeMap<>();
        if (alone) {
            for (TestCluster.DriverProcess d : rig.drivers.values()) {
                Fixtures.FakeDiscovery mine = new Fixtures.FakeDiscovery();
                own.put(d.name, mine);
                rig.proxy.linkBetween(d.name, "discovery").setTargetPort(mine.port());
                rig.proxy.disconnect(rig.proxy.linkBetween(d.name, "discovery"));
            }
        }
        for (Map.Entry<String, List<FencedMember>> m : machines.entrySet()) {
            tell(own, m.getValue(), "draining");
            for (FencedMember member : m.getValue()) {
                if (member.primary()) {
                    rig.members.values().stream()
                            .filter(x -> x.group == member.group && x != member)
                            .findFirst()
                            .ifPresent(
                                    x -> {
                                        member.setPrimary(false);
                                        x.setPrimary(true);
                                    });
                }
            }
            TimeUnit.MILLISECONDS.sleep(PACE_MS);
            for (FencedMember member : m.getValue()) {
                rig.setReachable(member, false);
            }
            TimeUnit.MILLISECONDS.sleep(WORK_MS);
            for (FencedMember member : m.getValue()) {
                member.simulateStart(BEARS, 2);
                rig.setReachable(member, true);
            }
            tell(own, m.getValue(), "ready");
            TimeUnit.MILLISECONDS.sleep(PACE_MS);
        }
        return close();
    }

    private void tell(Map<String, Fixtures.FakeDiscovery> own, List<FencedMember> of, String state)
            throws IOException {
        StringBuilder list = new StringBuilder();
        for (FencedMember m : rig.members.values()) {
            list.append(list.length() == 0 ? "" : ",")
                    .append(rig.discoveryEntry("d1", m, of.contains(m) ? state : "ready"));
        }
        rig.discovery.publish(list.toString());
        own.values().forEach(d -> in(random.nextInt(4000), () -> d.publish(list.toString())));
    }
}
