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
 * Measures which share of txns is served during maintenance, and checks that no txn reaches a
 * machine that is out. Nine machines in three zones hold eighteen members; eight drivers run as
 * real processes.
 *
 * <p>The cases are: no maintenance at all; all machines by the maintenance plan; the same with
 * faults; and two baselines without a plan, where machines are marked as draining in discovery at a
 * fixed pace, seen by all drivers at once or by each after a delay of its own. The last line of
 * output is one JSON object.
 */
public final class WorkBench {
    private static final int LEASE_MS = 3000;
    private static final int DRIVER_COUNT = 8;
    private static final int VOTER_COUNT = 5;
    private static final int ZONE_COUNT = 3;
    private static final int GROUP_COUNT = 6;
    private static final int GROUPS_PER_MACHINE = 2;
    private static final int MACHINE_COUNT = 9;

    /** The first machines hold a driver each. */
    private static final int MACHINES_WITH_DRIVER_COUNT = 3;

    /** Groups are numbered from here on. */
    private static final int FIRST_GROUP = 7;

    private static final int DEFAULT_SECONDS = 30;
    private static final int MAX_SECONDS_WITHOUT_MAINTENANCE = 30;
    private static final int WARM_UP_SECONDS = 2;
    private static final int AWAIT_TIMEOUT_SECONDS = 60;

    /** Limits how long the requests of one round may take until all are done. */
    private static final int ROUND_TIMEOUT_SECONDS = 240;

    private static final int POLL_INTERVAL_MS = 80;
    private static final int AWAIT_INTERVAL_MS = 40;

    /** Pause of each client between two txns. */
    private static final int LOAD_INTERVAL_MS = 4;

    private static final int CLIENTS_PER_DRIVER = 2;
    private static final int TXN_MS = 8;
    private static final int MEMBER_TXNS_PER_SECOND = 250;

    /** How many txns a member works on at a time. */
    private static final int MEMBER_CONCURRENCY = 2;

    /** How long the work on a machine takes while it is out. */
    private static final long MAINTENANCE_MS = 2500;

    private static final long COLD_TIME_MS = 3000;

    /** The fraction of its capacity that a member has when it starts cold, as in the settings. */
    private static final double COLD_CAPACITY_RATIO = 0.26;

    /** A cold member fails at so many times its capacity, counted over the overload window. */
    private static final double OVERLOAD_FACTOR = 2.5;

    private static final int OVERLOAD_WINDOW_MS = 1500;

    /** Replication lag of a member that has just started again, and how long it keeps it. */
    private static final int RESTART_LAG_MS = 1500;

    private static final int CATCH_UP_MS = 1200;

    /** The drain-grace of the fixtures' settings. */
    private static final int DRAIN_GRACE_MS = 1000;

    /** Baselines: the pause before and after the work on each machine. */
    private static final long MARK_INTERVAL_MS = 1500;

    /** Baseline with separate lists: the longest delay until a driver's list changes. */
    private static final int MAX_LIST_DELAY_MS = 4000;

    private static final int MIN_FAULT_INTERVAL_MS = 350;
    private static final int FAULT_INTERVAL_JITTER_MS = 350;

    /** No further fault is injected while more drivers than this are under fault. */
    private static final int FAULT_LIMIT_DRIVER_COUNT = 3;

    private static final int FAULT_KIND_COUNT = 11;
    private static final int MIN_RESTART_DELAY_MS = 300;
    private static final int RESTART_DELAY_JITTER_MS = 2000;
    private static final int MIN_CUT_MS = 1000;

    /** What fails at a driver so soon after a pause or a cut is not counted. */
    private static final int RECOVERY_GRACE_MS = 500;

    private static final int COMMAND_HOLD_MS = 1500;

    /** How long a driver's next controller command is waited for, to be held. */
    private static final int COMMAND_WAIT_MS = 2500;

    /** States of {@link #holdControllerCommand}. */
    private static final int HOLD_WAITING = 0;

    private static final int HOLD_HELD = 1;
    private static final int HOLD_TIMED_OUT = 2;

    private static final FencedMember.StartupCapacity COLD_MEMBER =
            new FencedMember.StartupCapacity(
                    MEMBER_TXNS_PER_SECOND,
                    COLD_TIME_MS,
                    COLD_CAPACITY_RATIO,
                    OVERLOAD_FACTOR,
                    OVERLOAD_WINDOW_MS);
    private static final String SETTINGS =
            Fixtures.SETTINGS_JSON
                    .replace("\"cold\":16000", "\"cold\":" + COLD_TIME_MS)
                    .replace("\"azs\":[\"a\"]", "\"azs\":[\"a\",\"b\",\"c\"]")
                    .replace("\"balancers\":1", "\"balancers\":" + DRIVER_COUNT);

    /** What a machine waits for whose member has to hand over as the primary. */
    private static final Pattern PRIMARY_MOVE_NOTE =
            Pattern.compile("the primary of group ([0-9]+) is here: to be moved to ([^ ]+).*");

    private final Random random;
    private final TestCluster cluster;
    private final Map<String, List<FencedMember>> membersByMachine = new TreeMap<>();
    private final Set<String> driversUnderFault = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(6);
    private final Map<String, AtomicInteger> faultCounts = new ConcurrentHashMap<>();
    private final Set<Long> controllerEpochs = new HashSet<>();
    private final List<Object> heldConnections = new ArrayList<>();
    private final AtomicInteger contradictoryAnswers = new AtomicInteger();
    private final FleetConfig fleetConfig;
    private ClientLoad load;
    private volatile Map<?, ?> maintenanceStatus = Map.of();
    private volatile String controllerDriver = "";
    private volatile boolean finished;

    private WorkBench(long seed, boolean withFleet) throws Exception {
        random = new Random(seed);
        StringBuilder fleetKdl =
                new StringBuilder(
                        "    lease-ms "
                                + LEASE_MS
                                + "\n    drift 0.01\n    work {\n        at-once 3\n"
                                + "        watch 1\n        harm 0.05\n        lag-ms 400\n");
        for (int machine = 0; machine < MACHINE_COUNT; machine++) {
            fleetKdl.append("        machine \"M")
                    .append(machine)
                    .append("\" zone=\"")
                    .append(zoneOf(machine))
                    .append("\" {");
            for (int group = 0; group < GROUP_COUNT; group++) {
                if (machineOf(group, machine % ZONE_COUNT) == machine) {
                    fleetKdl.append(" member \"")
                            .append(uidOf(group, machine % ZONE_COUNT))
                            .append("\" group=")
                            .append(group + FIRST_GROUP)
                            .append(';');
                }
            }
            fleetKdl.append(
                            machine < MACHINES_WITH_DRIVER_COUNT
                                    ? " driver \"d" + (machine * 2 + 2) + "\";"
                                    : "")
                    .append(" }\n");
        }
        fleetKdl.append("    }\n");
        cluster =
                new TestCluster(
                        Files.createTempDirectory("work"),
                        DRIVER_COUNT,
                        VOTER_COUNT,
                        withFleet ? fleetKdl.toString() : null,
                        SETTINGS);
        for (int machine = 0; machine < MACHINE_COUNT; machine++) {
            membersByMachine.put("M" + machine, new ArrayList<>());
        }
        for (int group = 0; group < GROUP_COUNT; group++) {
            for (int zone = 0; zone < ZONE_COUNT; zone++) {
                FencedMember member =
                        cluster.addMember(
                                uidOf(group, zone),
                                group + FIRST_GROUP,
                                zone == group % ZONE_COUNT,
                                false);
                member.setAnswerDelayMs(TXN_MS);
                member.simulateStart(
                        new FencedMember.StartupCapacity(MEMBER_TXNS_PER_SECOND, 0, 1, 1, 1),
                        MEMBER_CONCURRENCY);
                membersByMachine.get("M" + machineOf(group, zone)).add(member);
            }
        }
        fleetConfig =
                withFleet
                        ? OperatorFile.read(cluster.driver("d1").operatorFile()).file().fleet()
                        : null;
        cluster.startAll();
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            driver.awaitLog(withFleet ? "work: the plan is known" : " serves ");
        }
        List<Integer> groups = new ArrayList<>();
        for (int group = 0; group < GROUP_COUNT; group++) {
            groups.add(group + FIRST_GROUP);
        }
        load = new ClientLoad(cluster, groups, LOAD_INTERVAL_MS, CLIENTS_PER_DRIVER);
        if (withFleet) {
            Thread pollThread = new Thread(this::pollStatus, "poll");
            pollThread.setDaemon(true);
            pollThread.start();
            await(
                    () ->
                            maintenanceStatus.get("machines") instanceof List<?> list
                                    && list.size() == MACHINE_COUNT,
                    AWAIT_TIMEOUT_SECONDS);
        }
        TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
        load.sent.set(0);
        load.committed.set(0);
        load.refused.set(0);
        load.lost.set(0);
    }

    private static String zoneOf(int machine) {
        return List.of("a", "b", "c").get(machine % ZONE_COUNT);
    }

    private static String uidOf(int group, int zone) {
        return "g" + group + "z" + zone;
    }

    /**
     * Returns the machine of a group's member in a zone: three machines a zone, two groups each.
     */
    private static int machineOf(int group, int zone) {
        return group / GROUPS_PER_MACHINE * ZONE_COUNT + zone;
    }

    /**
     * Runs all cases.
     *
     * @param args {@code [SECONDS [SEED]]}: the shortest time with faults, 30 seconds by default;
     *     the case without maintenance takes as long, but no longer than 30 seconds. The seed
     *     determines the faults; it is 1 by default.
     */
    public static void main(String[] args) {
        try {
            run(args);
            System.exit(0);
        } catch (Exception | AssertionError e) {
            e.printStackTrace();
            System.exit(1);
        }
    }

    private static void run(String[] args) throws Exception {
        int seconds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SECONDS;
        long seed = args.length > 1 ? Long.parseLong(args[1]) : 1;
        System.out.println("seed " + seed);
        Map<String, Object> results = new LinkedHashMap<>();
        double servedWithoutMaintenance =
                new WorkBench(seed, true)
                        .runWithoutMaintenance(Math.min(seconds, MAX_SECONDS_WITHOUT_MAINTENANCE));
        results.put("served_no_work", servedWithoutMaintenance);
        System.out.println(results);
        Map<String, Object> calmResults = new WorkBench(seed, true).runPlan(false, 1, 0);
        System.out.println("calm " + calmResults);
        Map<String, Object> faultResults = new WorkBench(seed, true).runPlan(true, 2, seconds);
        System.out.println("faults " + faultResults);
        double servedWithMarks = new WorkBench(seed, false).runDiscoveryMarks(false);
        System.out.println("marks " + servedWithMarks);
        double servedWithSeparateLists = new WorkBench(seed, false).runDiscoveryMarks(true);
        calmResults.forEach((key, value) -> results.put("calm_" + key, value));
        results.putAll(faultResults);
        results.put(
                "served_ratio_over_no_work_calm",
                (double) calmResults.get("served") / servedWithoutMaintenance);
        results.put(
                "served_ratio_over_no_work_faults",
                (double) faultResults.get("served") / servedWithoutMaintenance);
        results.put("served_ratio_marks_at_a_pace", servedWithMarks / servedWithoutMaintenance);
        results.put(
                "served_ratio_each_by_itself", servedWithSeparateLists / servedWithoutMaintenance);
        StringBuilder json = new StringBuilder("{");
        results.forEach(
                (key, value) ->
                        json.append(json.length() > 1 ? "," : "")
                                .append('"')
                                .append(key)
                                .append("\":")
                                .append(
                                        value instanceof Double number
                                                ? String.format(Locale.ROOT, "%.5f", number)
                                                : value));
        System.out.println(json.append('}'));
    }

    private interface Condition {
        boolean isMet() throws Exception;
    }

    /** Waits until the condition is met; returns false if it is not in time. */
    private static boolean await(Condition condition, int seconds) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.isMet()) {
            if (System.nanoTime() > deadlineNanos) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(AWAIT_INTERVAL_MS);
        }
        return true;
    }

    /** Returns the share of txns that were served. */
    private double runWithoutMaintenance(int seconds) throws Exception {
        TimeUnit.SECONDS.sleep(seconds);
        return closeAndGetServedShare();
    }

    private double closeAndGetServedShare() throws Exception {
        finished = true;
        load.close();
        scheduler.shutdownNow();
        cluster.close();
        return load.committedShare();
    }

    // ---- maintenance by the plan ----

    /**
     * Requests all machines in each round and waits until all of them are back in service.
     *
     * @param rounds how many rounds are run at least
     * @param seconds no new round is started after so long, if the rounds are complete
     */
    private Map<String, Object> runPlan(boolean withFaults, int rounds, int seconds)
            throws Exception {
        long startMs = System.currentTimeMillis();
        int requestCount = 0;
        int doneCount = 0;
        Thread faultThread = new Thread(() -> injectFaults(), "faults");
        if (withFaults) {
            faultThread.start();
        }
        boolean allDone = true;
        long endMs = startMs + seconds * 1000L;
        for (int round = 0; round < rounds || System.currentTimeMillis() < endMs; round++) {
            for (String machine : membersByMachine.keySet()) {
                requestCount++;
                String requestId = "ask-" + round + "-" + machine;
                // Two operators send the same request at the same time, to two voters.
                List<String> answers =
                        List.of(0, 1).parallelStream()
                                .map(voter -> requestMaintenance(voter, machine, requestId))
                                .toList();
                if (!answers.get(0).equals(answers.get(1))) {
                    contradictoryAnswers.incrementAndGet();
                    System.out.println("answered two ways: " + machine + " " + answers);
                }
            }
            allDone &= await(this::actAsOperators, ROUND_TIMEOUT_SECONDS);
            doneCount += membersByMachine.size() - entries().size();
            if (!allDone) {
                System.out.println("not done: " + maintenanceStatus.get("entries"));
                break;
            }
        }
        long elapsedMs = System.currentTimeMillis() - startMs;
        finished = withFaults;
        faultThread.join();
        if (withFaults) {
            await(() -> driversUnderFault.isEmpty(), AWAIT_TIMEOUT_SECONDS);
        }
        Map<?, ?> finalStatus = (Map<?, ?>) callFleet(FleetClient::status).get("work");
        Map<String, Object> results = new LinkedHashMap<>();
        results.put("asked", requestCount);
        results.put("machines_done", doneCount);
        results.put("asks_lost", requestCount - doneCount);
        results.put("asks_answered_two_ways", contradictoryAnswers.get());
        addHistoryChecks(results, (List<?>) finalStatus.get("history"));
        if (withFaults) {
            results.put("faults", faultCounts.values().stream().mapToInt(AtomicInteger::get).sum());
            faultCounts.forEach((kind, count) -> results.put(kind.replace(' ', '_'), count.get()));
            results.put("conductor_changes", controllerEpochs.size() - 1);
            results.put("late_orders_held", heldConnections.size());
            results.put("late_orders_refused", finalStatus.get("late-orders"));
        } else {
            // The limits allow one zone after the other; each takes the drain grace, the work and
            // the cold time.
            results.put(
                    "plan_time_over_bound",
                    elapsedMs / (3.0 * (DRAIN_GRACE_MS + MAINTENANCE_MS + COLD_TIME_MS)));
        }
        results.put(
                "cold_budget_peak",
                membersByMachine.values().stream()
                        .flatMap(List::stream)
                        .mapToDouble(FencedMember::peakColdLoad)
                        .max()
                        .orElse(0));
        results.put("txns", load.sent.get());
        results.put("lost", load.lost.get());
        results.put("refused", load.refused.get());
        results.put("served", closeAndGetServedShare());
        results.put(
                "rule_breaks",
                load.lost.get()
                        + (long) results.get("txns_at_machines_told_out")
                        + (long) results.get("out_told_before_all_stopped")
                        + ((double) results.get("cold_budget_peak") > 1 ? 1 : 0));
        return results;
    }

    private List<?> entries() {
        return maintenanceStatus.get("entries") instanceof List<?> list ? list : List.of();
    }

    /** When the work on a machine was started, by machine and the time when it went out. */
    private final Map<String, Long> workStartedAtMs = new HashMap<>();

    /**
     * Does what operators do: starts the work on machines that are out, and moves primaries where
     * the plan waits for that. Returns true once no request is left.
     */
    private boolean actAsOperators() throws Exception {
        for (Object item : entries()) {
            Map<?, ?> entry = (Map<?, ?>) item;
            String machine = (String) entry.get("machine");
            String maintenanceKey = machine + " " + entry.get("out-since");
            Matcher moveNote = PRIMARY_MOVE_NOTE.matcher(String.valueOf(entry.get("waits")));
            if (entry.get("stage").equals("out")
                    && workStartedAtMs.putIfAbsent(maintenanceKey, System.currentTimeMillis())
                            == null) {
                for (FencedMember member : membersByMachine.get(machine)) {
                    cluster.setReachable(member, false);
                }
                scheduler.schedule(
                        () -> finishMaintenance(machine), MAINTENANCE_MS, TimeUnit.MILLISECONDS);
            } else if (moveNote.matches()) {
                int group = Integer.parseInt(moveNote.group(1));
                FencedMember newPrimary = cluster.members.get(moveNote.group(2));
                if (newPrimary != null && !newPrimary.primary()) {
                    cluster.members.values().stream()
                            .filter(groupMember -> groupMember.group == group)
                            .forEach(groupMember -> groupMember.setPrimary(false));
                    newPrimary.setPrimary(true);
                }
            }
        }
        return entries().isEmpty() && statusFresh;
    }

    /** Whether the last poll has got the status. */
    private volatile boolean statusFresh;

    /** Starts the machine's members, cold and behind on the log, and reports the work as done. */
    private void finishMaintenance(String machine) {
        try {
            for (FencedMember member : membersByMachine.get(machine)) {
                member.simulateStart(COLD_MEMBER, MEMBER_CONCURRENCY);
                member.setReplicationLagMs(RESTART_LAG_MS);
                cluster.setReachable(member, true);
                scheduler.schedule(
                        () -> member.setReplicationLagMs(0), CATCH_UP_MS, TimeUnit.MILLISECONDS);
            }
            callFleet(
                    client ->
                            client.sendOperatorCommand(
                                    "done", machine, "done " + machine + " " + System.nanoTime()));
        } catch (IOException e) {
            System.out.println("bench error: " + e);
        }
    }

    /**
     * Compares the plan's history with the txns that members have recorded, and adds how often the
     * rules were broken. Spans are pairs of start and end in Unix milliseconds.
     */
    private void addHistoryChecks(Map<String, Object> results, List<?> history) {
        Map<String, List<long[]>> outSpans = new TreeMap<>();
        Map<String, List<long[]>> awaySpans = new TreeMap<>();
        Map<String, Long> drainingSinceMs = new HashMap<>();
        for (Object line : history) {
            String[] fields = line.toString().split(" ", 3);
            long atMs = Long.parseLong(fields[0]);
            String machine = fields[1];
            if (fields[2].startsWith("draining")) {
                drainingSinceMs.put(machine, atMs);
            } else if (fields[2].startsWith("asked: put back")
                    || fields[2].startsWith("asked: held")
                    || fields[2].startsWith("asked: all held")) {
                if (drainingSinceMs.containsKey(machine)) {
                    awaySpans
                            .computeIfAbsent(machine, key -> new ArrayList<>())
                            .add(new long[] {drainingSinceMs.remove(machine), atMs});
                }
            } else if (fields[2].startsWith("out")) {
                outSpans.computeIfAbsent(machine, key -> new ArrayList<>())
                        .add(new long[] {atMs, Long.MAX_VALUE});
            } else if (fields[2].startsWith("returning")) {
                outSpans.get(machine).get(outSpans.get(machine).size() - 1)[1] = atMs;
            } else if (fields[2].startsWith("in:") && drainingSinceMs.containsKey(machine)) {
                awaySpans
                        .computeIfAbsent(machine, key -> new ArrayList<>())
                        .add(new long[] {drainingSinceMs.remove(machine), atMs});
            }
        }
        long txnsWhileOut = 0;
        long unfinishedWhenOut = 0;
        for (Map.Entry<String, List<long[]>> machineSpans : outSpans.entrySet()) {
            for (FencedMember member : membersByMachine.get(machineSpans.getKey())) {
                for (FencedMember.ReceivedTxn txn : member.txns()) {
                    for (long[] span : machineSpans.getValue()) {
                        if (txn.receivedAtMs() > span[0] && txn.receivedAtMs() < span[1]) {
                            txnsWhileOut++;
                            System.out.println(
                                    "at "
                                            + member.uid
                                            + " on "
                                            + machineSpans.getKey()
                                            + ": "
                                            + txn.id()
                                            + ", out since "
                                            + (txn.receivedAtMs() - span[0])
                                            + " ms");
                        } else if (txn.receivedAtMs() <= span[0]
                                && (txn.answeredAtMs().get() == 0
                                        || txn.answeredAtMs().get() > span[0] + 1)) {
                            unfinishedWhenOut++;
                        }
                    }
                }
            }
        }
        long overlapMs = 0;
        for (String machineA : awaySpans.keySet()) {
            for (String machineB : awaySpans.keySet()) {
                if (machineA.compareTo(machineB) < 0 && sharesGroup(machineA, machineB)) {
                    for (long[] spanA : awaySpans.get(machineA)) {
                        for (long[] spanB : awaySpans.get(machineB)) {
                            overlapMs +=
                                    Math.max(
                                            0,
                                            Math.min(spanA[1], spanB[1])
                                                    - Math.max(spanA[0], spanB[0]));
                        }
                    }
                }
            }
        }
        results.put("txns_at_machines_told_out", txnsWhileOut);
        results.put("out_told_before_all_stopped", unfinishedWhenOut);
        results.put("two_of_a_group_away_ms", overlapMs);
    }

    /** Returns whether the machines hold members of the same group. */
    private boolean sharesGroup(String machineA, String machineB) {
        Set<Integer> groups = new TreeSet<>();
        membersByMachine.get(machineA).forEach(member -> groups.add(member.group));
        return membersByMachine.get(machineB).stream()
                .anyMatch(member -> groups.contains(member.group));
    }

    // ---- calls to the voters ----

    /** Returns the configuration read at the start, since a starting driver rewrites its file. */
    private FleetConfig fleetConfig() {
        return fleetConfig;
    }

    private interface FleetCall<T> {
        T call(FleetClient client) throws IOException;
    }

    private <T> T callFleet(FleetCall<T> fleetCall) throws IOException {
        return callFleet(0, fleetCall);
    }

    /**
     * Calls one voter after another until one answers.
     *
     * @param firstVoter index of the voter to start with
     */
    private <T> T callFleet(int firstVoter, FleetCall<T> fleetCall) throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_SECONDS);
        IOException lastError = null;
        List<String> voters = new ArrayList<>(fleetConfig().voterAddresses().keySet());
        while (System.nanoTime() < deadlineNanos) {
            for (int i = 0; i < voters.size(); i++) {
                String voter = voters.get((firstVoter + i) % voters.size());
                if (cluster.driver(voter).paused || !cluster.driver(voter).isAlive()) {
                    continue;
                }
                try (FleetClient client = new FleetClient(fleetConfig(), voter)) {
                    return fleetCall.call(client);
                } catch (IOException e) {
                    lastError = e;
                }
            }
        }
        throw lastError == null ? new IOException("no voter is running") : lastError;
    }

    /** Returns the result of the request, or the error. */
    private String requestMaintenance(int voter, String machine, String requestId) {
        try {
            return callFleet(
                    voter,
                    client ->
                            client.requestMaintenance(
                                    machine, "kernel", 0, 0, List.of(), requestId));
        } catch (IOException e) {
            return e.toString();
        }
    }

    private void pollStatus() {
        while (!finished) {
            try {
                Map<String, Object> status = callFleet(FleetClient::status);
                if (status.get("work") instanceof Map<?, ?> newStatus) {
                    maintenanceStatus = newStatus;
                    statusFresh = true;
                }
                for (Object item : (List<?>) status.get("duties")) {
                    Map<?, ?> duty = (Map<?, ?>) item;
                    if (duty.get("name").equals("conductor") && !duty.get("owner").equals("")) {
                        controllerEpochs.add(((Number) duty.get("epoch")).longValue());
                        controllerDriver = (String) duty.get("owner");
                    }
                }
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            } catch (IOException | RuntimeException e) {
                statusFresh = false;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    // ---- faults ----

    private void countFault(String kind) {
        faultCounts.computeIfAbsent(kind, key -> new AtomicInteger()).incrementAndGet();
    }

    private interface FaultAction {
        void run() throws Exception;
    }

    /** Runs the action after a delay; prints what it throws. */
    private void runLater(long delayMs, FaultAction action) {
        scheduler.schedule(
                () -> {
                    try {
                        action.run();
                    } catch (Exception e) {
                        System.out.println("bench error: " + e);
                    }
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }

    private long votersUnderFault() {
        return cluster.voters().stream().filter(driversUnderFault::contains).count();
    }

    /**
     * Injects random faults until the bench is finished, most of them at the controller's driver,
     * and never at more than one voter at a time, so that a quorum always remains.
     */
    private void injectFaults() {
        try {
            while (!finished) {
                TimeUnit.MILLISECONDS.sleep(
                        MIN_FAULT_INTERVAL_MS + random.nextInt(FAULT_INTERVAL_JITTER_MS));
                boolean targetsController = random.nextInt(3) > 0 && !controllerDriver.isEmpty();
                String driverName =
                        targetsController
                                ? controllerDriver
                                : "d" + (random.nextInt(DRIVER_COUNT) + 1);
                if (driversUnderFault.contains(driverName)
                        || driversUnderFault.size() > FAULT_LIMIT_DRIVER_COUNT
                        || cluster.voters().contains(driverName) && votersUnderFault() > 0) {
                    continue;
                }
                injectFault(cluster.driver(driverName), random.nextInt(FAULT_KIND_COUNT));
            }
        } catch (InterruptedException e) {
            // the bench is finished
        } catch (Exception e) {
            System.out.println("bench error: " + e);
        }
    }

    /** From now on, what fails at the driver is not counted. */
    private void markUnderFault(String driverName) {
        driversUnderFault.add(driverName);
        load.excludedDrivers.add(driverName);
    }

    private void markRecovered(String driverName) {
        driversUnderFault.remove(driverName);
        load.excludedDrivers.remove(driverName);
    }

    private void injectFault(TestCluster.DriverProcess driver, int kind) throws Exception {
        markUnderFault(driver.name);
        if (kind < 2) {
            countFault("pauses");
            driver.pause();
            runLater(
                    LEASE_MS * (1 + random.nextInt(2)),
                    () -> {
                        driver.resume();
                        runLater(RECOVERY_GRACE_MS, () -> markRecovered(driver.name));
                    });
        } else if (kind < 4) {
            countFault("kills");
            driver.kill();
            runLater(
                    MIN_RESTART_DELAY_MS + random.nextInt(RESTART_DELAY_JITTER_MS),
                    () -> restart(driver));
        } else if (kind < 6) {
            countFault("stops");
            driver.terminate();
            runLater(
                    0,
                    () -> {
                        driver.awaitExit();
                        restart(driver);
                    });
        } else if (kind < 8) {
            countFault("cuts");
            boolean bothDirections = random.nextBoolean();
            boolean outgoing = random.nextBoolean();
            if (bothDirections) {
                cluster.partitionFromVoters(driver.name, true);
            } else {
                cluster.partitionOneWay(driver.name, outgoing, true);
            }
            runLater(
                    MIN_CUT_MS + random.nextInt(2 * LEASE_MS),
                    () -> {
                        cluster.partitionFromVoters(driver.name, false);
                        runLater(RECOVERY_GRACE_MS, () -> markRecovered(driver.name));
                    });
        } else {
            holdControllerCommand(driver);
        }
    }

    private void restart(TestCluster.DriverProcess driver) throws Exception {
        driver.start();
        driver.awaitLog("work: the plan is known");
        markRecovered(driver.name);
    }

    /**
     * Holds the driver's next controller command on the network and restarts the driver meanwhile,
     * so that the command arrives under a stale epoch.
     */
    private void holdControllerCommand(TestCluster.DriverProcess driver) throws Exception {
        AtomicInteger holdState = new AtomicInteger();
        for (String voter : cluster.voters()) {
            cluster.proxy
                    .linkBetween(driver.name, voter)
                    .setInterceptor(
                            (link, direction, bytes, connection) -> {
                                boolean isStep =
                                        direction == FaultProxy.Direction.FORWARD
                                                && holdState.get() == HOLD_WAITING
                                                && StandardCharsets.ISO_8859_1
                                                        .decode(bytes.duplicate())
                                                        .toString()
                                                        .contains("WORK_STEP");
                                if (!isStep || !holdState.compareAndSet(HOLD_WAITING, HOLD_HELD)) {
                                    return false;
                                }
                                runLater(
                                        0,
                                        () -> {
                                            countFault("held orders");
                                            synchronized (heldConnections) {
                                                heldConnections.add(connection);
                                            }
                                            driver.kill();
                                            driver.start();
                                            runLater(
                                                    COMMAND_HOLD_MS,
                                                    () -> cluster.proxy.release(connection));
                                            driver.awaitLog("work: the plan is known");
                                            markRecovered(driver.name);
                                        });
                                return true;
                            });
        }
        runLater(
                COMMAND_WAIT_MS,
                () -> {
                    if (holdState.compareAndSet(HOLD_WAITING, HOLD_TIMED_OUT)) {
                        markRecovered(driver.name);
                    }
                });
    }

    // ---- baselines ----

    /**
     * Baseline: takes out one machine after the other by marking its members in discovery's list,
     * at a fixed pace. Returns the share of txns that were served.
     *
     * @param separateLists whether each driver gets the changed list after a random delay of its
     *     own
     */
    private double runDiscoveryMarks(boolean separateLists) throws Exception {
        Map<String, Fixtures.FakeDiscovery> discoveryByDriver = new TreeMap<>();
        if (separateLists) {
            for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
                Fixtures.FakeDiscovery discovery = new Fixtures.FakeDiscovery();
                discoveryByDriver.put(driver.name, discovery);
                cluster.proxy.linkBetween(driver.name, "discovery").setTargetPort(discovery.port());
                cluster.proxy.disconnect(cluster.proxy.linkBetween(driver.name, "discovery"));
            }
        }
        for (Map.Entry<String, List<FencedMember>> machine : membersByMachine.entrySet()) {
            publishStates(discoveryByDriver, machine.getValue(), "draining");
            for (FencedMember member : machine.getValue()) {
                if (member.primary()) {
                    cluster.members.values().stream()
                            .filter(
                                    candidate ->
                                            candidate.group == member.group && candidate != member)
                            .findFirst()
                            .ifPresent(
                                    candidate -> {
                                        member.setPrimary(false);
                                        candidate.setPrimary(true);
                                    });
                }
            }
            TimeUnit.MILLISECONDS.sleep(MARK_INTERVAL_MS);
            for (FencedMember member : machine.getValue()) {
                cluster.setReachable(member, false);
            }
            TimeUnit.MILLISECONDS.sleep(MAINTENANCE_MS);
            for (FencedMember member : machine.getValue()) {
                member.simulateStart(COLD_MEMBER, MEMBER_CONCURRENCY);
                cluster.setReachable(member, true);
            }
            publishStates(discoveryByDriver, machine.getValue(), "ready");
            TimeUnit.MILLISECONDS.sleep(MARK_INTERVAL_MS);
        }
        return closeAndGetServedShare();
    }

    /**
     * Publishes a list in which the changed members have this state.
     *
     * @param discoveryByDriver separate discoveries that change after a random delay; may be empty
     */
    private void publishStates(
            Map<String, Fixtures.FakeDiscovery> discoveryByDriver,
            List<FencedMember> changedMembers,
            String state)
            throws IOException {
        StringBuilder targets = new StringBuilder();
        for (FencedMember member : cluster.members.values()) {
            targets.append(targets.length() == 0 ? "" : ",")
                    .append(
                            cluster.discoveryEntry(
                                    "d1",
                                    member,
                                    changedMembers.contains(member) ? state : "ready"));
        }
        cluster.discovery.publish(targets.toString());
        discoveryByDriver
                .values()
                .forEach(
                        discovery ->
                                runLater(
                                        random.nextInt(MAX_LIST_DELAY_MS),
                                        () -> discovery.publish(targets.toString())));
    }
}
