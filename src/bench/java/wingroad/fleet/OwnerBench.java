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
 * Runs 20 or more real processes under faults, with the same load and faults without a fleet and
 * with one. Half of the chores go to a member without a fence, as the baseline that relies on lease
 * times alone. The last line of the output is one JSON object.
 */
public final class OwnerBench {
    private static final int LEASE_MS = 3000;
    private static final int DUTY_COUNT = 20;

    /** Hand-overs that take longer are printed. */
    private static final int SLOW_HANDOVER_MS = 300;

    private static final java.util.regex.Pattern CHORE_STATEMENT =
            java.util.regex.Pattern.compile("id=chore-([^,]*)-([0-9]+)-[0-9]+,");

    /**
     * Length of a fault cycle. In the last part of each cycle the voters are left undisturbed, and
     * duty owners are stopped as planned.
     */
    private static final long FAULT_CYCLE_MS = 12_000;

    private static final long VOTERS_UNDISTURBED_MS = 5_000;
    private static final long PLANNED_STOPS_MS = 1_500;

    private final int driverCount;
    private final int durationSeconds;
    private final Random random;
    private final boolean withFleet;
    private TestCluster cluster;
    private FencedMember fencedMember;
    private FencedMember unfencedMember;
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(4);
    private final Map<String, AtomicInteger> faultCounts = new ConcurrentHashMap<>();

    /** Active disturbances, as "DRIVER process" or "DRIVER links". */
    private final Set<String> disturbed = ConcurrentHashMap.newKeySet();

    private final AtomicLong sentTxns = new AtomicLong();
    private final AtomicLong committedTxns = new AtomicLong();
    private final AtomicLong lostTxns = new AtomicLong();
    private final Map<String, AtomicInteger> processGenerations = new ConcurrentHashMap<>();
    private final List<Long> takeoverTimesMs = new ArrayList<>();
    private final List<Long> handoverTimesMs = new ArrayList<>();
    private final List<String> doubleVotes = new ArrayList<>();
    private final Map<String, String> voteByVoterAndTerm = new HashMap<>();
    private final AtomicInteger heldEffects = new AtomicInteger();
    private long faultsStartedNanos;
    private volatile boolean finished;
    private volatile Map<String, Object> latestStatus = Map.of();

    private OwnerBench(int driverCount, int durationSeconds, long seed, boolean withFleet) {
        this.driverCount = driverCount;
        this.durationSeconds = durationSeconds;
        this.random = new Random(seed);
        this.withFleet = withFleet;
    }

    /**
     * Arguments: {@code SECONDS [SEED [DRIVERS]]}. A fourth argument skips the run without a fleet.
     */
    public static void main(String[] args) throws Exception {
        int durationSeconds = args.length > 0 ? Integer.parseInt(args[0]) : 100;
        long seed = args.length > 1 ? Long.parseLong(args[1]) : 1;
        int driverCount = args.length > 2 ? Integer.parseInt(args[2]) : 20;
        System.out.println(
                "seed " + seed + ", " + driverCount + " drivers, " + durationSeconds + " s each");
        Map<String, Object> withoutFleet =
                args.length > 3
                        ? Map.of("served", 1.0)
                        : new OwnerBench(driverCount, durationSeconds, seed, false).run();
        System.out.println("off " + withoutFleet);
        Map<String, Object> withFleet =
                new OwnerBench(driverCount, durationSeconds, seed, true).run();
        List<Long> delaysWithoutSharingMs = new ArrayList<>();
        List<Long> delaysWithSharingMs = new ArrayList<>();
        long requestsWithoutSharing =
                measureListPropagation(driverCount, false, delaysWithoutSharingMs);
        long requestsWithSharing = measureListPropagation(driverCount, true, delaysWithSharingMs);
        withFleet.put("discovery_asks_off", requestsWithoutSharing);
        withFleet.put("discovery_asks_on", requestsWithSharing);
        withFleet.put(
                "discovery_asks_over_off", (double) requestsWithSharing / requestsWithoutSharing);
        withFleet.put("drain_told_ms_p50_off", percentile(delaysWithoutSharingMs, 0.5));
        withFleet.put("drain_told_ms_p99_on", percentile(delaysWithSharingMs, 0.99));
        withFleet.put(
                "drain_told_later_ms_p99",
                percentile(delaysWithSharingMs, 0.99) - percentile(delaysWithoutSharingMs, 0.5));
        double ratio = (double) withFleet.get("served") / (double) withoutFleet.get("served");
        withFleet.put("served_off", withoutFleet.get("served"));
        withFleet.put("served_ratio_during_faults", ratio);
        StringBuilder json = new StringBuilder("{");
        withFleet.forEach(
                (key, value) ->
                        json.append(json.length() > 1 ? "," : "")
                                .append('"')
                                .append(key)
                                .append("\":")
                                .append(value));
        System.out.println(json.append('}'));
        System.exit(0);
    }

    /**
     * Publishes 40 changes of the member list, 0.6 s apart, without faults.
     *
     * @param sharingEnabled whether one driver polls discovery for all
     * @param delaysMs receives the delay of each change at each driver in milliseconds
     * @return how many requests discovery received meanwhile
     */
    private static long measureListPropagation(
            int driverCount, boolean sharingEnabled, List<Long> delaysMs) throws Exception {
        String fleetSettings =
                "    lease-ms "
                        + LEASE_MS
                        + "\n    drift 0.01\n"
                        + (sharingEnabled ? "    list check=60\n" : "");
        try (TestCluster cluster =
                new TestCluster(
                        Files.createTempDirectory("lists"),
                        driverCount,
                        5,
                        fleetSettings,
                        Fixtures.SETTINGS_JSON)) {
            FencedMember primary = cluster.addMember("m1", 7, true, true);
            FencedMember replica = cluster.addMember("m2", 7, false, true);
            cluster.startAll();
            cluster.discovery.publish(
                    cluster.discoveryEntry("d1", primary, "ready")
                            + ","
                            + cluster.discoveryEntry("d1", replica, "ready"));
            int followerCount = 0;
            for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
                driver.awaitLog("list 1 ");
                driver.awaitLog("lease of");
            }
            while (sharingEnabled && followerCount < driverCount - 1) {
                TimeUnit.MILLISECONDS.sleep(100);
                followerCount =
                        (int)
                                cluster.drivers.values().stream()
                                        .filter(
                                                driver ->
                                                        driver.firstLogTimeMs("follows the owner")
                                                                > 0)
                                        .count();
            }
            int requestsBefore = cluster.discovery.requestedVersions.size();
            for (int revision = 2; revision < 42; revision++) {
                long publishedAtMs = System.currentTimeMillis();
                cluster.discovery.publish(
                        cluster.discoveryEntry("d1", primary, "ready")
                                + ","
                                + cluster.discoveryEntry(
                                        "d1", replica, revision % 2 == 0 ? "draining" : "ready"));
                TimeUnit.MILLISECONDS.sleep(600);
                for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
                    long receivedAtMs = driver.firstLogTimeMs("list " + revision + " ");
                    delaysMs.add(receivedAtMs == 0 ? 600 : receivedAtMs - publishedAtMs);
                }
            }
            return cluster.discovery.requestedVersions.size() - requestsBefore;
        }
    }

    private void recordFault(String kind) {
        faultCounts.computeIfAbsent(kind, name -> new AtomicInteger()).incrementAndGet();
    }

    private int faultCount(String kind) {
        return faultCounts.containsKey(kind) ? faultCounts.get(kind).get() : 0;
    }

    private Map<String, Object> run() throws Exception {
        Path directory = Files.createTempDirectory("owner");
        StringBuilder fleetSettings =
                new StringBuilder("    lease-ms " + LEASE_MS + "\n    drift 0.01\n");
        for (int i = 0; i < DUTY_COUNT; i++) {
            String name = (i % 2 == 0 ? "c" : "n") + i;
            fleetSettings
                    .append("    chore \"")
                    .append(name)
                    .append("\" every=1 group=")
                    .append(i % 2 == 0 ? 7 : 8)
                    .append(" statement=\"SELECT fenced_")
                    .append(name)
                    .append("({epoch})\"\n");
        }
        cluster =
                new TestCluster(
                        directory,
                        driverCount,
                        5,
                        withFleet ? fleetSettings.toString() : null,
                        Fixtures.SETTINGS_JSON);
        fencedMember = cluster.addMember("m1", 7, true, true);
        unfencedMember = cluster.addMember("m2", 8, true, false);
        for (String initiator : cluster.voters()) {
            for (String acceptor : cluster.voters()) {
                Map<Object, ByteBuffer> partialMessages = new HashMap<>();
                cluster.proxy
                        .linkBetween(initiator, acceptor)
                        .setInterceptor(
                                (link, direction, bytes, connection) ->
                                        direction == FaultProxy.Direction.FORWARD
                                                && checkVotes(
                                                        partialMessages,
                                                        connection,
                                                        bytes,
                                                        acceptor));
            }
        }
        long startedNanos = System.nanoTime();
        cluster.startAll();
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            processGenerations.put(driver.name, new AtomicInteger());
            driver.awaitLog(" serves ");
        }
        if (withFleet) {
            for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
                driver.awaitLog("lease of");
            }
            new Thread(this::pollStatus, "poll").start();
            fencedMember.awaitExecution(0, execution -> true);
        }
        System.out.println(
                "started after " + (System.nanoTime() - startedNanos) / 1_000_000 + " ms");
        List<Thread> loadThreads = new ArrayList<>();
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            Thread thread = new Thread(() -> runClient(driver), "load of " + driver.name);
            thread.start();
            loadThreads.add(thread);
        }
        faultsStartedNanos = System.nanoTime();
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(durationSeconds);
        while (System.nanoTime() < endNanos) {
            injectFault();
            TimeUnit.MILLISECONDS.sleep(300 + random.nextInt(250));
        }
        // All faults end by themselves; wait for those that are still active.
        for (int i = 0; i < 200 && !disturbed.isEmpty(); i++) {
            TimeUnit.MILLISECONDS.sleep(200);
        }
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("processes", driverCount);
        int unownedDuties = withFleet ? countUnownedDuties() : 0;
        finished = true;
        for (Thread thread : loadThreads) {
            thread.join();
        }
        result.put("faults", faultCounts.values().stream().mapToInt(AtomicInteger::get).sum());
        for (String kind :
                List.of("pauses", "cuts", "kills", "stops", "lost states", "slow links")) {
            result.put(kind.replace(' ', '_'), faultCount(kind));
        }
        result.put("client_txns", sentTxns.get());
        result.put("client_txns_lost", lostTxns.get());
        result.put(
                "served",
                sentTxns.get() == 0 ? 0.0 : (double) committedTxns.get() / sentTxns.get());
        if (withFleet) {
            result.put("effects_held", heldEffects.get());
            result.put(
                    "overlaps",
                    fencedMember.executions().stream()
                            .filter(execution -> execution.staleEpoch() && execution.accepted())
                            .count());
            result.put(
                    "late_effects_refused",
                    fencedMember.executions().stream()
                            .filter(execution -> execution.staleEpoch() && !execution.accepted())
                            .count());
            result.put(
                    "late_effects_accepted",
                    fencedMember.executions().stream()
                            .filter(execution -> execution.staleEpoch() && execution.accepted())
                            .count());
            result.put(
                    "naive_late_effects_accepted",
                    unfencedMember.executions().stream()
                            .filter(FencedMember.ChoreExecution::staleEpoch)
                            .count());
            result.put(
                    "chore_turns", fencedMember.executionCount() + unfencedMember.executionCount());
            result.put(
                    "chore_turns_run_twice",
                    fencedMember.repeatedTurns() + unfencedMember.repeatedTurns());
            result.put("duties_without_owner_at_end", unownedDuties);
            result.put("takeovers", takeoverTimesMs.size());
            result.put("takeover_ms_p50", percentile(takeoverTimesMs, 0.5));
            result.put("takeover_ms_p99", percentile(takeoverTimesMs, 0.99));
            result.put("handovers", handoverTimesMs.size());
            result.put("handover_ms_p50", percentile(handoverTimesMs, 0.5));
            result.put("handover_ms_p99", percentile(handoverTimesMs, 0.99));
            result.put("state_lost_votes", doubleVotes.size());
            doubleVotes.forEach(System.out::println);
        }
        scheduler.shutdownNow();
        cluster.close();
        return result;
    }

    private static long percentile(List<Long> values, double quantile) {
        synchronized (values) {
            if (values.isEmpty()) {
                return -1;
            }
            List<Long> sorted = values.stream().sorted().toList();
            return sorted.get(
                    (int) Math.min(sorted.size() - 1, Math.ceil(quantile * sorted.size()) - 1));
        }
    }

    // ---- load ----

    private void runClient(TestCluster.DriverProcess driver) {
        int txnIndex = 0;
        TestClient client = null;
        int connectedGeneration = -1;
        while (!finished) {
            try {
                TimeUnit.MILLISECONDS.sleep(60);
                int currentGeneration = processGenerations.get(driver.name).get();
                if (disturbed.contains(driver.name + " process")) {
                    continue;
                }
                if (client == null || connectedGeneration != currentGeneration) {
                    if (client != null) {
                        client.close();
                    }
                    client = new TestClient(driver.port());
                    connectedGeneration = currentGeneration;
                    client.sendStartup().readResponses();
                }
                String id = driver.name + "-" + currentGeneration + "-" + txnIndex++;
                List<String> responses =
                        client.query(
                                        txnIndex % 5 == 0
                                                ? Fixtures.writeStatement(id)
                                                : Fixtures.readStatement(id))
                                .readResponses();
                if (processGenerations.get(driver.name).get() == currentGeneration) {
                    sentTxns.incrementAndGet();
                    if (responses.contains("row value")) {
                        committedTxns.incrementAndGet();
                    } else if (responses.contains("end")) {
                        lostTxns.incrementAndGet();
                        client = null;
                    }
                }
            } catch (IOException e) {
                // A txn counts as lost only if its process was not disturbed meanwhile.
                if (client != null
                        && connectedGeneration == processGenerations.get(driver.name).get()
                        && !disturbed.contains(driver.name + " process")
                        && !finished) {
                    sentTxns.incrementAndGet();
                    lostTxns.incrementAndGet();
                    System.out.println("lost at " + driver.name + ": " + e);
                }
                client = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    // ---- faults ----

    private TestCluster.DriverProcess randomUndisturbedDriver() {
        List<TestCluster.DriverProcess> candidates =
                cluster.drivers.values().stream().filter(this::isUndisturbed).toList();
        return candidates.isEmpty() ? null : candidates.get(random.nextInt(candidates.size()));
    }

    private long cyclePositionMs() {
        return (System.nanoTime() - faultsStartedNanos) / 1_000_000 % FAULT_CYCLE_MS;
    }

    private boolean isUndisturbed(TestCluster.DriverProcess driver) {
        if (cluster.voters().contains(driver.name)
                && cyclePositionMs() > FAULT_CYCLE_MS - VOTERS_UNDISTURBED_MS - LEASE_MS) {
            return false;
        }
        return disturbed.stream()
                        .noneMatch(disturbance -> disturbance.startsWith(driver.name + " "))
                && (!cluster.voters().contains(driver.name) || disturbedVoterCount() < 2);
    }

    private long disturbedVoterCount() {
        return cluster.voters().stream()
                .filter(
                        voter ->
                                disturbed.stream()
                                        .anyMatch(
                                                disturbance -> disturbance.startsWith(voter + " ")))
                .count();
    }

    private interface FaultStep {
        void run() throws Exception;
    }

    private void runAfter(long delayMs, FaultStep step) {
        scheduler.schedule(
                () -> {
                    try {
                        step.run();
                    } catch (Exception e) {
                        System.out.println("cluster: " + e);
                    }
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }

    private void markProcessDisturbed(TestCluster.DriverProcess driver) {
        disturbed.add(driver.name + " process");
        processGenerations.get(driver.name).incrementAndGet();
    }

    private void markProcessRestored(TestCluster.DriverProcess driver) {
        disturbed.remove(driver.name + " process");
    }

    private void injectFault() throws Exception {
        injectFault(randomUndisturbedDriver());
    }

    private void injectFault(TestCluster.DriverProcess drawnDriver) throws Exception {
        TestCluster.DriverProcess driver = drawnDriver;
        int kind = random.nextInt(20);
        if (cyclePositionMs() > FAULT_CYCLE_MS - PLANNED_STOPS_MS && disturbedVoterCount() == 0) {
            List<TestCluster.DriverProcess> owners = undisturbedOwners();
            driver = owners.isEmpty() ? driver : owners.get(random.nextInt(owners.size()));
            kind = 18;
        }
        int durationMs = LEASE_MS * (1 + random.nextInt(2)) + random.nextInt(500);
        if (driver == null) {
            return;
        }
        if (withFleet && kind >= 7 && kind < 13 && random.nextBoolean()) {
            List<TestCluster.DriverProcess> owners = undisturbedOwners();
            driver = owners.isEmpty() ? driver : owners.get(random.nextInt(owners.size()));
        }
        injectFault(driver, kind, durationMs);
    }

    /** Returns the duty owners that are not disturbed now. */
    private List<TestCluster.DriverProcess> undisturbedOwners() {
        return dutiesByName().values().stream()
                .map(duty -> cluster.driver(MessageCodec.stringOrEmpty(duty, "owner")))
                .filter(owner -> owner != null && isUndisturbed(owner))
                .toList();
    }

    private void injectFault(TestCluster.DriverProcess driver, int kind, int durationMs)
            throws Exception {
        if (kind < 6) {
            recordFault("pauses");
            if (withFleet) {
                List<TestCluster.DriverProcess> owners = undisturbedOwners();
                pauseDuringEffect(
                        owners.isEmpty() ? driver : owners.get(random.nextInt(owners.size())),
                        durationMs);
            } else {
                pauseProcess(driver, durationMs);
            }
        } else if (kind < 7) {
            recordFault("pauses");
            pauseProcess(driver, random.nextInt(4) == 0 ? 10 * LEASE_MS : durationMs);
        } else if (kind < 13) {
            recordFault("kills");
            markProcessDisturbed(driver);
            measureOwnedDuties(driver, takeoverTimesMs);
            driver.kill();
            boolean loseState =
                    cluster.voters().contains(driver.name)
                            && disturbedVoterCount() == 1
                            && random.nextInt(3) == 0;
            if (loseState) {
                recordFault("lost states");
                driver.deleteState();
            }
            runAfter(500 + random.nextInt(5000), () -> restart(driver));
        } else if (kind < 18) {
            recordFault("cuts");
            disturbed.add(driver.name + " links");
            int cutKind = random.nextInt(4);
            if (cutKind < 2) {
                cluster.partitionFromVoters(driver.name, true);
                runAfter(durationMs, () -> cluster.partitionFromVoters(driver.name, false));
            } else {
                cluster.partitionOneWay(driver.name, cutKind == 2, true);
                runAfter(
                        durationMs,
                        () -> cluster.partitionOneWay(driver.name, cutKind == 2, false));
            }
            runAfter(durationMs + 100, () -> disturbed.remove(driver.name + " links"));
        } else if (kind == 18) {
            recordFault("stops");
            markProcessDisturbed(driver);
            measureOwnedDuties(driver, handoverTimesMs);
            driver.terminate();
            runAfter(
                    0,
                    () -> {
                        driver.awaitExit();
                        restart(driver);
                    });
        } else {
            recordFault("slow links");
            disturbed.add(driver.name + " links");
            cluster.proxy.allLinks().stream()
                    .filter(link -> link.from.equals(driver.name))
                    .forEach(link -> cluster.proxy.setDelay(link, 30));
            runAfter(
                    durationMs,
                    () -> {
                        cluster.proxy.allLinks().stream()
                                .filter(link -> link.from.equals(driver.name))
                                .forEach(link -> cluster.proxy.setDelay(link, 0));
                        disturbed.remove(driver.name + " links");
                    });
        }
    }

    private void restart(TestCluster.DriverProcess driver) throws Exception {
        driver.start();
        driver.awaitLog(" serves ");
        markProcessRestored(driver);
    }

    private void pauseProcess(TestCluster.DriverProcess driver, long durationMs)
            throws IOException {
        markProcessDisturbed(driver);
        driver.pause();
        runAfter(
                durationMs,
                () -> {
                    driver.resume();
                    runAfter(300, () -> markProcessRestored(driver));
                });
    }

    /**
     * Holds the owner's next statement in transit and pauses the owner. Both continue once a
     * successor's effect has arrived, or after some lease periods.
     */
    private void pauseDuringEffect(TestCluster.DriverProcess driver, long durationMs) {
        disturbed.add(driver.name + " links");
        AtomicInteger triggered = new AtomicInteger();
        FencedMember member = random.nextInt(4) > 0 ? fencedMember : unfencedMember;
        cluster.proxy
                .linkBetween(driver.name, member.uid)
                .setInterceptor(
                        (link, direction, bytes, connection) -> {
                            java.util.regex.Matcher matcher =
                                    direction == FaultProxy.Direction.FORWARD
                                                    && triggered.get() == 0
                                            ? CHORE_STATEMENT.matcher(
                                                    java.nio.charset.StandardCharsets.ISO_8859_1
                                                            .decode(bytes))
                                            : null;
                            if (matcher == null || !matcher.find()) {
                                return false;
                            }
                            triggered.set(1);
                            heldEffects.incrementAndGet();
                            markProcessDisturbed(driver);
                            runAfter(0, driver::pause);
                            String chore = matcher.group(1);
                            long epoch = Long.parseLong(matcher.group(2));
                            runAfter(
                                    durationMs,
                                    () ->
                                            releaseHeldEffect(
                                                    driver, member, connection, chore, epoch, 60));
                            return true;
                        });
        runAfter(
                durationMs,
                () -> {
                    // A driver without duties sends no statement; it is paused at any point
                    // instead.
                    if (triggered.compareAndSet(0, 2)) {
                        pauseProcess(driver, durationMs);
                    }
                    disturbed.remove(driver.name + " links");
                });
    }

    private void releaseHeldEffect(
            TestCluster.DriverProcess driver,
            FencedMember member,
            Object connection,
            String chore,
            long epoch,
            int remainingTries)
            throws IOException {
        boolean successorActed =
                member.executions().stream()
                        .anyMatch(
                                execution ->
                                        execution.chore().equals(chore)
                                                && execution.epoch() > epoch);
        if (!successorActed && remainingTries > 0) {
            runAfter(
                    200,
                    () ->
                            releaseHeldEffect(
                                    driver, member, connection, chore, epoch, remainingTries - 1));
            return;
        }
        cluster.proxy.release(connection);
        driver.resume();
        runAfter(300, () -> markProcessRestored(driver));
    }

    // ---- consensus group status ----

    private FleetConfig fleetConfig() throws IOException {
        return OperatorFile.read(cluster.driver("d1").operatorFile()).file().fleet();
    }

    private void pollStatus() {
        while (!finished) {
            Map<String, Object> mostAdvanced = null;
            for (String voter : cluster.voters()) {
                if (disturbed.stream()
                        .anyMatch(disturbance -> disturbance.startsWith(voter + " "))) {
                    continue;
                }
                try (FleetClient client = new FleetClient(fleetConfig(), voter)) {
                    Map<String, Object> status = client.status();
                    mostAdvanced =
                            mostAdvanced == null
                                            || MessageCodec.longOrZero(status, "revision")
                                                    > MessageCodec.longOrZero(
                                                            mostAdvanced, "revision")
                                    ? status
                                    : mostAdvanced;
                } catch (IOException | RuntimeException e) {
                    // Ask the next voter.
                }
                if (mostAdvanced != null) {
                    break;
                }
            }
            if (mostAdvanced != null
                    && MessageCodec.longOrZero(mostAdvanced, "revision")
                            >= MessageCodec.longOrZero(latestStatus, "revision")) {
                latestStatus = mostAdvanced;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private Map<String, Map<String, Object>> dutiesByName() {
        Map<String, Map<String, Object>> dutyByName = new TreeMap<>();
        if (latestStatus.get("duties") instanceof List<?> dutyList) {
            dutyList.forEach(
                    value -> {
                        Map<String, Object> duty = Json.object(value, "a duty");
                        dutyByName.put(MessageCodec.stringOrEmpty(duty, "name"), duty);
                    });
        }
        return dutyByName;
    }

    /** Measures the time from now until the duties of this driver belong to another session. */
    private void measureOwnedDuties(TestCluster.DriverProcess driver, List<Long> transferTimesMs) {
        long startedAtMs = System.currentTimeMillis();
        dutiesByName()
                .forEach(
                        (name, duty) -> {
                            if (MessageCodec.stringOrEmpty(duty, "owner").equals(driver.name)) {
                                measureTransfer(
                                        name,
                                        MessageCodec.longOrZero(duty, "epoch"),
                                        startedAtMs,
                                        transferTimesMs);
                            }
                        });
    }

    private void measureTransfer(
            String name, long epoch, long startedAtMs, List<Long> transferTimesMs) {
        runAfter(
                50,
                () -> {
                    Map<String, Object> duty = dutiesByName().get(name);
                    if (duty != null && MessageCodec.longOrZero(duty, "epoch") > epoch) {
                        // The history tells the first grant after the old one, even if the duty
                        // has moved on since.
                        for (Object line : (List<?>) duty.get("history")) {
                            String[] words = line.toString().split(" ");
                            if (line.toString().contains(" has it, epoch ")
                                    && Long.parseLong(words[words.length - 1]) > epoch) {
                                // A grant before the fault was not caused by it.
                                if (Long.parseLong(words[0]) >= startedAtMs) {
                                    synchronized (transferTimesMs) {
                                        transferTimesMs.add(Long.parseLong(words[0]) - startedAtMs);
                                    }
                                    if (Long.parseLong(words[0]) - startedAtMs
                                            > (transferTimesMs == handoverTimesMs
                                                    ? SLOW_HANDOVER_MS
                                                    : 1.5 * LEASE_MS)) {
                                        List<?> history = (List<?>) duty.get("history");
                                        System.out.println(
                                                (transferTimesMs == handoverTimesMs
                                                                ? "slow hand-over of "
                                                                : "slow takeover of ")
                                                        + name
                                                        + ": "
                                                        + (Long.parseLong(words[0]) - startedAtMs)
                                                        + " ms from "
                                                        + startedAtMs
                                                        + "; "
                                                        + history.subList(
                                                                Math.max(0, history.size() - 4),
                                                                history.size())
                                                        + voterLogSince(startedAtMs));
                                    }
                                }
                                return;
                            }
                        }
                    } else if (!finished) {
                        measureTransfer(name, epoch, startedAtMs, transferTimesMs);
                    }
                });
    }

    /** Returns the voters' log lines on the fleet, from 4 s before that time on. */
    private List<String> voterLogSince(long sinceMs) {
        List<String> logLines = new ArrayList<>();
        for (String voter : cluster.voters()) {
            cluster.driver(voter).log().stream()
                    .filter(line -> line.contains("fleet:") && !line.contains("turn"))
                    .filter(
                            line ->
                                    java.time.Instant.parse(line.substring(0, line.indexOf(' ')))
                                                    .toEpochMilli()
                                            > sinceMs - 4000)
                    .forEach(line -> logLines.add("\n    " + voter + " " + line));
        }
        return logLines;
    }

    private int countUnownedDuties() throws InterruptedException {
        int unownedCount = DUTY_COUNT;
        for (int i = 0; i < 150 && unownedCount > 0; i++) {
            TimeUnit.MILLISECONDS.sleep(200);
            unownedCount =
                    DUTY_COUNT
                            - (int)
                                    dutiesByName().values().stream()
                                            .filter(
                                                    driver ->
                                                            cluster.drivers.containsKey(
                                                                    MessageCodec.stringOrEmpty(
                                                                            driver, "owner")))
                                            .count();
        }
        return unownedCount;
    }

    /**
     * Reads messages between voters and records every granted vote: no voter may grant two in one
     * term.
     */
    private boolean checkVotes(
            Map<Object, ByteBuffer> partialMessages,
            Object connection,
            ByteBuffer bytes,
            String receiver) {
        ByteBuffer partial = partialMessages.get(connection);
        ByteBuffer buffer =
                ByteBuffer.allocate(
                        (partial == null ? 0 : partial.remaining()) + bytes.remaining());
        if (partial != null) {
            buffer.put(partial);
        }
        buffer.put(bytes).flip();
        while (buffer.remaining() >= 4
                && buffer.remaining() >= 4 + buffer.getInt(buffer.position())) {
            byte[] encoded = new byte[buffer.getInt()];
            buffer.get(encoded);
            Map<String, Object> message = Cbor.decode(encoded);
            if (MessageCodec.stringOrEmpty(message, "k").equals("raft")) {
                Map<String, Object> raftMessage = Json.object(message.get("m"), "a message");
                String kind = MessageCodec.stringOrEmpty(raftMessage, "k");
                boolean grantsVote =
                        kind.equals("voted") && Boolean.TRUE.equals(raftMessage.get("yes"));
                if (grantsVote || kind.equals("vote")) {
                    String candidate =
                            grantsVote
                                    ? receiver
                                    : MessageCodec.Endpoint.of(
                                                    MessageCodec.stringOrEmpty(raftMessage, "s"))
                                            .name();
                    synchronized (this.voteByVoterAndTerm) {
                        String previousCandidate =
                                this.voteByVoterAndTerm.putIfAbsent(
                                        MessageCodec.stringOrEmpty(raftMessage, "s")
                                                + " "
                                                + raftMessage.get("t"),
                                        candidate);
                        if (previousCandidate != null && !previousCandidate.equals(candidate)) {
                            doubleVotes.add(
                                    MessageCodec.stringOrEmpty(raftMessage, "s")
                                            + " votes in term "
                                            + raftMessage.get("t")
                                            + " for "
                                            + previousCandidate
                                            + " and "
                                            + candidate);
                        }
                    }
                }
            }
        }
        partialMessages.put(connection, buffer);
        return false;
    }
}
