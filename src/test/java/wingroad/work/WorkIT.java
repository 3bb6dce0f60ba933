package wingroad.work;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

import wingroad.Fixtures;
import wingroad.Fixtures.TestClient;
import wingroad.fleet.FleetClient;
import wingroad.fleet.FleetConfig;
import wingroad.operator.OperatorFile;
import wingroad.rig.ClientLoad;
import wingroad.rig.FaultProxy;
import wingroad.rig.FencedMember;
import wingroad.rig.TestCluster;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Tests maintenance with four drivers as real processes, three of them voters, while clients are
 * served and processes and connections fail. Each test checks at the members themselves that no
 * client's txn arrives at a machine after it was reported as out.
 */
@Execution(ExecutionMode.CONCURRENT)
class WorkIT {
    private static final int DRIVER_COUNT = 4;
    private static final int VOTER_COUNT = 3;
    private static final long AWAIT_TIMEOUT_NANOS = 40_000_000_000L;
    private static final long MAX_HOLD_NANOS = 1_000_000_000L;

    /** Pause of each client between two txns. */
    private static final int LOAD_INTERVAL_MS = 10;

    /** Part of the fleet node of each operator's file. */
    private static final String FLEET_KDL =
            """
                lease-ms 3000
                drift 0.02
                work {
                    at-once 2
                    watch 0.5
                    harm 0.5
                    lag-ms 400
                    machine "A" zone="a" { member "m1" group=7; }
                    machine "B" zone="b" { member "m2*" group=7; driver "d4"; }
                    machine "C" zone="c" { member "m3" group=7; driver "d1"; }
                }
            """;

    private static final String SETTINGS =
            Fixtures.SETTINGS_JSON.replace("\"cold\":16000", "\"cold\":1000");

    /** {@link #SETTINGS} with a txn type {@code long} whose SLA time is 15 s. */
    private static final String SETTINGS_WITH_LONG_TXN =
            SETTINGS.replace(
                            "\"grades\":[",
                            "\"grades\":[{\"name\":\"long\",\"aim\":15000,"
                                + "\"deadline\":20000,\"semantics\":\"repeatable\",\"worth\":1,\"window\":5000},")
                    .replace("\"consistency\":[", "\"consistency\":[\"recent\",")
                    .replace("\"oldest-data\":[", "\"oldest-data\":[1500,");

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path dir;

    private TestCluster cluster;
    private FencedMember member1;
    private FencedMember member2;
    private FencedMember member3;
    private ClientLoad load;

    private void start(String fleetKdl) throws Exception {
        start(fleetKdl, SETTINGS);
    }

    private void start(String fleetKdl, String settings) throws Exception {
        cluster = new TestCluster(dir, DRIVER_COUNT, VOTER_COUNT, fleetKdl, settings);
        member1 = cluster.addMember("m1", 7, true, true);
        member2 = cluster.addMember("m2", 7, false, true);
        member3 = cluster.addMember("m3", 7, false, true);
        cluster.addMember("m2b", 7, false, true);
        cluster.membersUnknownAtStart.add("m2b");
        cluster.startAll();
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            driver.awaitLog("work: the plan is known");
        }
        load = new ClientLoad(cluster, List.of(7), LOAD_INTERVAL_MS);
        awaitInventory();
    }

    @AfterEach
    void stopAll() throws Exception {
        if (load != null) {
            load.close();
        }
        cluster.close();
    }

    /** Returns the fleet as configured at d1, whose links lead to the voters. */
    private FleetConfig fleetConfig() throws IOException {
        return OperatorFile.read(cluster.driver("d1").operatorFile()).file().fleet();
    }

    private interface FleetCall<T> {
        T call(FleetClient client) throws IOException;
    }

    /** Calls one voter after another until one answers. */
    private <T> T callFleet(FleetCall<T> fleetCall) throws IOException {
        IOException lastError = null;
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
        while (System.nanoTime() < deadlineNanos) {
            for (String voter : fleetConfig().voterAddresses().keySet()) {
                try (FleetClient client = new FleetClient(fleetConfig(), voter)) {
                    return fleetCall.call(client);
                } catch (IOException e) {
                    lastError = e;
                }
            }
        }
        throw lastError;
    }

    private String requestMaintenance(String machine) throws IOException {
        String requestId = UUID.randomUUID().toString();
        return callFleet(
                client -> client.requestMaintenance(machine, "kernel", 0, 0, List.of(), requestId));
    }

    private String requestMaintenanceWith(
            String machine,
            String reason,
            long durationMs,
            long deadlineMs,
            List<String> afterMachines,
            String requestId)
            throws IOException {
        return callFleet(
                client ->
                        client.requestMaintenance(
                                machine, reason, durationMs, deadlineMs, afterMachines, requestId));
    }

    private String sendOperatorCommand(String command, String machine) throws IOException {
        String requestId = UUID.randomUUID().toString();
        return callFleet(client -> client.sendOperatorCommand(command, machine, requestId));
    }

    /** Returns the maintenance part of the status page, or null while there is none. */
    private Map<?, ?> maintenanceStatus() throws IOException {
        return (Map<?, ?>) callFleet(FleetClient::status).get("work");
    }

    /** Waits until a controller has committed the machines. */
    private void awaitInventory() throws Exception {
        awaitStatus(status -> !((List<?>) status.get("machines")).isEmpty());
    }

    private interface StatusCondition {
        boolean holdsFor(Map<?, ?> status);
    }

    private Map<?, ?> awaitStatus(StatusCondition condition) throws Exception {
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
        while (true) {
            Map<?, ?> status = maintenanceStatus();
            if (status != null && condition.holdsFor(status)) {
                return status;
            }
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError(
                        "the maintenance status never met the condition: " + status);
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    /** Returns whether the driver counts as lost: without a session, and possibly still running. */
    private static boolean isLost(Map<?, ?> status, String driver) {
        return ((List<?>) status.get("astray"))
                .stream().anyMatch(lostDriver -> lostDriver.toString().startsWith(driver + "/"));
    }

    /** Returns whether the machine is at the stage; {@code in} if it has no entry. */
    private static boolean isAtStage(Map<?, ?> status, String machine, String stage) {
        return entry(status, machine)
                .map(entry -> stage.equals(entry.get("stage")))
                .orElse(stage.equals("in"));
    }

    private static java.util.Optional<Map<?, ?>> entry(Map<?, ?> status, String machine) {
        for (Object item : (List<?>) status.get("entries")) {
            if (machine.equals(((Map<?, ?>) item).get("machine"))) {
                return java.util.Optional.of((Map<?, ?>) item);
            }
        }
        return java.util.Optional.empty();
    }

    private void awaitStage(String machine, String stage) throws Exception {
        awaitStatus(status -> isAtStage(status, machine, stage));
    }

    /** Asserts that no client's txn has arrived at the member since then, in Unix milliseconds. */
    private static void assertNoTxnsSince(FencedMember member, long sinceMs) {
        assertThat(member.txns())
                .as("txns at " + member.uid + " after it was reported as out")
                .noneMatch(txn -> txn.receivedAtMs() > sinceMs);
    }

    /** Waits until so many more txns have been committed. */
    private void awaitCommitted(int additionalTxns) throws Exception {
        long committedBefore = load.committed.get();
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
        while (load.committed.get() < committedBefore + additionalTxns) {
            assertThat(System.nanoTime())
                    .as("txns committed meanwhile: " + (load.committed.get() - committedBefore))
                    .isLessThan(deadlineNanos);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @Test
    void takesAMachineOutAndBackWhileClientsAreServed() throws Exception {
        start(FLEET_KDL);
        assertThat(requestMaintenance("B")).isEmpty();
        awaitStage("B", "out");
        long outAtMs = System.currentTimeMillis();
        awaitCommitted(300);
        assertNoTxnsSince(member2, outAtMs);
        assertThat(member1.txns().size() + member3.txns().size()).isGreaterThan(100);
        int txnsBefore = member2.txns().size();
        assertThat(sendOperatorCommand("done", "B")).isEmpty();
        awaitStage("B", "returning");
        awaitStage("B", "in");
        // It is sent txns again once the router knows its position in the log.
        member2.awaitTxns(txnsBefore + 1);
        assertThat(load.lost.get()).isZero();
        assertThat(load.committedShare()).isGreaterThan(0.99);
    }

    /** Returns the epoch of the controller's duty, or 0 while it has no owner. */
    private long controllerEpoch() throws IOException {
        for (Object item : (List<?>) callFleet(FleetClient::status).get("duties")) {
            Map<?, ?> duty = (Map<?, ?>) item;
            if (duty.get("name").equals("conductor") && !duty.get("owner").equals("")) {
                return ((Number) duty.get("epoch")).longValue();
            }
        }
        return 0;
    }

    /** Waits for a driver to own the controller's duty, and returns it. */
    private TestCluster.DriverProcess controllerDriver() throws Exception {
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
        while (System.nanoTime() < deadlineNanos) {
            for (Object item : (List<?>) callFleet(FleetClient::status).get("duties")) {
                Map<?, ?> duty = (Map<?, ?>) item;
                if (duty.get("name").equals("conductor") && !duty.get("owner").equals("")) {
                    return cluster.driver((String) duty.get("owner"));
                }
            }
        }
        throw new AssertionError("no driver owns the controller's duty");
    }

    /**
     * The command that would take the machine out is held on the network while its sender is killed
     * and a successor takes over. Delivered under the stale epoch, it must be refused.
     */
    @Test
    void delayedCommandOfAFormerControllerIsRefused() throws Exception {
        start(FLEET_KDL.replace("lease-ms 3000", "lease-ms 9000").replace("driver \"d4\";", ""));
        TestCluster.DriverProcess formerController = controllerDriver();
        BlockingQueue<Object> heldConnections = new LinkedBlockingQueue<>();
        for (String voter : cluster.voters()) {
            // A driver connects to its own voter through the proxy too, so each command is seen.
            cluster.proxy
                    .linkBetween(formerController.name, voter)
                    .setInterceptor(
                            (link, direction, bytes, connection) -> {
                                String message =
                                        StandardCharsets.ISO_8859_1.decode(bytes).toString();
                                return direction == FaultProxy.Direction.FORWARD
                                        && message.contains("WORK_STEP")
                                        && message.contains("OUT")
                                        && heldConnections.isEmpty()
                                        && heldConnections.add(connection);
                            });
        }
        load.excludedDrivers.add(formerController.name);
        assertThat(requestMaintenance("B")).isEmpty();
        Object heldConnection = heldConnections.poll(30, TimeUnit.SECONDS);
        assertThat(heldConnection)
                .as("a connection held with the controller's command")
                .isNotNull();
        long formerEpoch = controllerEpoch();
        // A voter closes a connection that is silent for the duration of a lease, so the successor
        // has to take over before that.
        formerController.kill();
        formerController.start();
        while (controllerEpoch() <= formerEpoch) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        cluster.proxy.release(heldConnection);
        awaitStatus(status -> ((Number) status.get("late-orders")).longValue() > 0);
        awaitStage("B", "out");
        long outAtMs = System.currentTimeMillis();
        awaitCommitted(100);
        assertNoTxnsSince(member2, outAtMs);
        assertThat(sendOperatorCommand("done", "B")).isEmpty();
        awaitStage("B", "in");
    }

    /**
     * The controller is paused after it has announced a machine; its successor takes the machine
     * out and back. When the former one resumes with its old state, the machine must stay in
     * service.
     */
    @Test
    void pausedControllerTakesNoStepAfterItsSuccessorHasFinished() throws Exception {
        start(FLEET_KDL.replace("driver \"d4\";", ""));
        TestCluster.DriverProcess formerController = controllerDriver();
        long formerEpoch = controllerEpoch();
        load.excludedDrivers.add(formerController.name);
        assertThat(requestMaintenance("B")).isEmpty();
        formerController.awaitLog("work: B planned");
        // A driver that is lost before it has confirmed the announcement would hold the plan up.
        awaitStatus(
                status ->
                        !isAtStage(status, "B", "asked")
                                && entry(status, "B")
                                        .map(entry -> String.valueOf(entry.get("waits")))
                                        .filter(waits -> waits.contains(formerController.name))
                                        .isEmpty());
        formerController.pause();
        awaitStage("B", "out");
        assertThat(controllerEpoch()).isGreaterThan(formerEpoch);
        assertThat(sendOperatorCommand("done", "B")).isEmpty();
        awaitStage("B", "in");
        int fromLine = formerController.logLineCount();
        formerController.resume();
        formerController.awaitLog(fromLine, line -> line.contains("work: the plan is known"));
        load.excludedDrivers.remove(formerController.name);
        int txnsBefore = member2.txns().size();
        member2.awaitTxns(txnsBefore + 1);
        assertThat(isAtStage(maintenanceStatus(), "B", "in"))
                .as("in service, as before the former controller resumed")
                .isTrue();
    }

    /**
     * A driver that has confirmed the announcement is cut off from the voters. The machine is out
     * once its lease has ended, and until it is connected again it must serve clients without that
     * machine.
     */
    @Test
    void driverIsolatedAfterConfirmingAvoidsTheMachineAndServesOn() throws Exception {
        start(FLEET_KDL);
        TestCluster.DriverProcess isolatedDriver =
                cluster.driver("d2").name.equals(controllerDriver().name)
                        ? cluster.driver("d3")
                        : cluster.driver("d2");
        // The driver confirms the announcement and is then cut off: draining has to wait until its
        // lease has ended.
        assertThat(requestMaintenance("B")).isEmpty();
        int fromLine = isolatedDriver.logLineCount();
        awaitStatus(
                status -> !isAtStage(status, "B", "asked") && !isAtStage(status, "B", "planned"));
        cluster.partitionFromVoters(isolatedDriver.name, true);
        awaitStage("B", "out");
        long outAtMs = System.currentTimeMillis();
        assertThat(isolatedDriver.log().subList(fromLine, isolatedDriver.logLineCount()))
                .anyMatch(line -> line.contains("view of the plan has expired"));
        awaitCommitted(200);
        assertNoTxnsSince(member2, outAtMs);
        try (TestClient client = new TestClient(isolatedDriver.port())) {
            client.sendStartup().readResponses();
            assertThat(client.query(Fixtures.readStatement("served")).readResponses())
                    .containsExactly("row value");
        }
        cluster.partitionFromVoters(isolatedDriver.name, false);
        isolatedDriver.awaitLog(fromLine, line -> line.contains("work: the plan is known"));
        awaitCommitted(100);
        assertNoTxnsSince(member2, outAtMs);
        assertThat(load.lost.get()).isZero();
    }

    /**
     * A driver that is cut off before the announcement does not know of it and still sends to the
     * machine, so the machine must not drain before the driver has confirmed.
     */
    @Test
    void driverIsolatedBeforeTheAnnouncementIsWaitedFor() throws Exception {
        start(FLEET_KDL);
        TestCluster.DriverProcess isolatedDriver =
                cluster.driver("d2").name.equals(controllerDriver().name)
                        ? cluster.driver("d3")
                        : cluster.driver("d2");
        cluster.partitionFromVoters(isolatedDriver.name, true);
        isolatedDriver.awaitLog("view of the plan has expired");
        awaitStatus(status -> isLost(status, isolatedDriver.name));
        assertThat(requestMaintenance("B")).isEmpty();
        awaitStatus(
                status ->
                        entry(status, "B")
                                .filter(
                                        entry ->
                                                entry.get("waits")
                                                        .toString()
                                                        .contains(
                                                                isolatedDriver.name
                                                                        + " (without a session)"))
                                .isPresent());
        awaitCommitted(200);
        assertThat(isAtStage(maintenanceStatus(), "B", "planned")).isTrue();
        cluster.partitionFromVoters(isolatedDriver.name, false);
        awaitStage("B", "out");
        long outAtMs = System.currentTimeMillis();
        awaitCommitted(100);
        assertNoTxnsSince(member2, outAtMs);
    }

    /**
     * A killed driver cannot be told from one that is only cut off, so its confirmation is waited
     * for until an operator declares it gone; that must be safe even if it comes back.
     */
    @Test
    void killedDriverIsWaitedForUntilAnOperatorDeclaresItGone() throws Exception {
        start(FLEET_KDL);
        TestCluster.DriverProcess killedDriver = cluster.driver("d4");
        load.excludedDrivers.add("d4");
        killedDriver.kill();
        awaitStatus(status -> isLost(status, "d4"));
        assertThat(requestMaintenance("C")).isEmpty();
        awaitStatus(
                status ->
                        entry(status, "C")
                                .filter(
                                        entry ->
                                                entry.get("waits")
                                                        .toString()
                                                        .contains("d4 (without a session)"))
                                .isPresent());
        assertThat(sendOperatorCommand("gone", "d4")).isEmpty();
        awaitStage("C", "out");
        long outAtMs = System.currentTimeMillis();
        awaitCommitted(100);
        assertNoTxnsSince(member3, outAtMs);
        // Started again, it sends nothing to the machine before it has received the plan.
        killedDriver.start();
        killedDriver.awaitLog("work: the plan is known");
        load.excludedDrivers.remove("d4");
        awaitCommitted(200);
        assertNoTxnsSince(member3, outAtMs);
    }

    /**
     * With the strict lost-view policy, a driver that is cut off uses no machine after the horizon,
     * so maintenance continues without its confirmation and it declines its clients' txns.
     */
    @Test
    void strictPolicyContinuesAfterTheHorizonWithoutALostDriver() throws Exception {
        start(
                FLEET_KDL.replace(
                        "watch 0.5", "watch 0.5\n                lost-view \"strict\" horizon=5"));
        TestCluster.DriverProcess isolatedDriver =
                cluster.driver("d2").name.equals(controllerDriver().name)
                        ? cluster.driver("d3")
                        : cluster.driver("d2");
        load.excludedDrivers.add(isolatedDriver.name);
        cluster.partitionFromVoters(isolatedDriver.name, true);
        isolatedDriver.awaitLog("view of the plan has expired");
        assertThat(requestMaintenance("B")).isEmpty();
        awaitStage("B", "out");
        long outAtMs = System.currentTimeMillis();
        awaitCommitted(100);
        assertNoTxnsSince(member2, outAtMs);
        try (TestClient client = new TestClient(isolatedDriver.port())) {
            client.sendStartup().readResponses();
            assertThat(client.query(Fixtures.readStatement("declined")).readResponses())
                    .doesNotContain("row value");
        }
        cluster.partitionFromVoters(isolatedDriver.name, false);
        isolatedDriver.awaitLog("work: the plan is known");
    }

    /** Sends reads by d3 that members answer only when told to; at least one of them is at m2. */
    private List<TestClient> startSlowReads() throws Exception {
        List<TestClient> slowClients = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            TestClient client = new TestClient(cluster.driver("d3").port());
            slowClients.add(client);
            client.sendStartup().readResponses();
            client.query(
                    Fixtures.readStatement("slow" + i).replace("c=look,d=3000", "c=long,d=20000"));
        }
        member2.awaitTxn("slow");
        return slowClients;
    }

    /**
     * A txn that still runs at the machine delays its being out. The stage must survive when all
     * drivers are killed in the middle of it.
     */
    @Test
    void longTxnDelaysOutAndTheFleetContinuesAfterAllAreKilled() throws Exception {
        start(FLEET_KDL, SETTINGS_WITH_LONG_TXN);
        List<TestClient> slowClients = startSlowReads();
        assertThat(requestMaintenance("B")).isEmpty();
        awaitStatus(
                status ->
                        entry(status, "B")
                                .filter(
                                        entry ->
                                                entry.get("waits")
                                                        .toString()
                                                        .contains("to be drained by: [d3]"))
                                .isPresent());
        awaitCommitted(100);
        assertThat(isAtStage(maintenanceStatus(), "B", "draining")).isTrue();
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            load.excludedDrivers.add(driver.name);
            driver.kill();
        }
        for (String name : List.of("d4", "d3", "d2", "d1")) {
            cluster.driver(name).start();
        }
        awaitStage("B", "out");
        long outAtMs = System.currentTimeMillis();
        load.excludedDrivers.clear();
        awaitCommitted(200);
        assertNoTxnsSince(member2, outAtMs);
        for (TestClient client : slowClients) {
            client.close();
        }
        for (FencedMember member : List.of(member1, member2, member3)) {
            member.releaseSlowReads();
        }
    }

    /**
     * Two operators request two machines of a group at the same time: the second one must wait
     * until the first is back in service.
     */
    @Test
    void concurrentRequestsNeverTakeTwoMembersOfAGroup() throws Exception {
        start(FLEET_KDL);
        List<String> results =
                List.of("B", "C").parallelStream()
                        .map(
                                machine -> {
                                    try {
                                        return requestMaintenance(machine);
                                    } catch (IOException e) {
                                        return e.toString();
                                    }
                                })
                        .toList();
        assertThat(results).containsOnly("");
        String outMachine =
                awaitStatus(
                                        status ->
                                                isAtStage(status, "B", "out")
                                                        || isAtStage(status, "C", "out"))
                                == null
                        ? ""
                        : isAtStage(maintenanceStatus(), "B", "out") ? "B" : "C";
        String waitingMachine = outMachine.equals("B") ? "C" : "B";
        awaitStatus(
                status ->
                        entry(status, waitingMachine)
                                .filter(entry -> entry.get("waits").toString().startsWith("zone"))
                                .isPresent());
        awaitCommitted(100);
        assertThat(isAtStage(maintenanceStatus(), waitingMachine, "asked")).isTrue();
        assertThat(sendOperatorCommand("done", outMachine)).isEmpty();
        awaitStage(waitingMachine, "out");
        assertThat(isAtStage(maintenanceStatus(), outMachine, "in")).isTrue();
        assertThat(load.committedShare()).isGreaterThan(0.99);
    }

    /**
     * Taking out the machine of the primary would end the group's writes: it waits until another
     * member is the primary.
     */
    @Test
    void machineWithThePrimaryWaitsUntilItHasMovedAndAllDriversKnow() throws Exception {
        start(FLEET_KDL);
        assertThat(requestMaintenance("A")).isEmpty();
        awaitStatus(
                status ->
                        entry(status, "A")
                                .filter(
                                        entry ->
                                                entry.get("waits")
                                                        .toString()
                                                        .contains(
                                                                "the primary of group 7 is here: to"
                                                                        + " be moved to"))
                                .isPresent());
        awaitCommitted(200);
        assertThat(isAtStage(maintenanceStatus(), "A", "planned")).isTrue();
        member1.setPrimary(false);
        member3.setPrimary(true);
        awaitStage("A", "out");
        long outAtMs = System.currentTimeMillis();
        awaitCommitted(200);
        assertNoTxnsSince(member1, outAtMs);
        assertThat(sendOperatorCommand("done", "A")).isEmpty();
        awaitStage("A", "in");
        assertThat(load.lost.get()).isZero();
    }

    /**
     * A restarted driver knows no plan at first, and discovery still lists the machine's member as
     * ready: it must neither send to it nor decline clients.
     */
    @Test
    void rollingRestartSendsNothingToAMachineThatIsOut() throws Exception {
        // A driver accepts clients after the duration of a lease at the latest and declines txns
        // if it does not know the plan by then; reads that cannot finish in time are declined too.
        // This test is about neither, so a longer lease and SLA time keep a slow machine from
        // causing them.
        start(
                FLEET_KDL.replace("lease-ms 3000", "lease-ms 20000"),
                SETTINGS.replace("\"aim\":750", "\"aim\":3000"));
        assertThat(requestMaintenance("B")).isEmpty();
        awaitStage("B", "out");
        long outAtMs = System.currentTimeMillis();
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            load.excludedDrivers.add(driver.name);
            driver.terminate();
            driver.awaitExit();
            driver.start();
            // Clients connect as soon as it listens: none may be declined because the plan is not
            // known yet.
            driver.awaitLog(" serves ");
            load.excludedDrivers.remove(driver.name);
        }
        awaitCommitted(200);
        assertNoTxnsSince(member2, outAtMs);
        assertThat(load.refused.get())
                .as(() -> load.firstRefusals + "\n" + cluster.allLogs())
                .isZero();
        assertThat(isAtStage(maintenanceStatus(), "B", "out")).isTrue();
        assertThat(sendOperatorCommand("done", "B")).isEmpty();
        awaitStage("B", "in");
        member2.awaitTxns(member2.txns().size() + 1);
    }

    /**
     * A member of the group fails while a machine with another one is out: the operator is asked to
     * bring that machine back, and no other one of the group may be taken out.
     */
    @Test
    void memberFailureRequestsAMachineBackAndStartsNoOther() throws Exception {
        start(FLEET_KDL);
        assertThat(requestMaintenance("B")).isEmpty();
        awaitStage("B", "out");
        // The group has no member to spare now: an operator is alerted, and no other goes out.
        member3.close();
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            cluster.proxy.linkBetween(driver.name, "m3").setTargetPort(0);
            cluster.proxy.disconnect(cluster.proxy.linkBetween(driver.name, "m3"));
        }
        awaitStatus(
                status ->
                        entry(status, "B")
                                .filter(
                                        entry ->
                                                entry.get("waits")
                                                        .toString()
                                                        .contains(
                                                                "PAGE: wanted back: group 7: m3 is"
                                                                        + " not fit"))
                                .isPresent());
        assertThat(requestMaintenance("A")).isEmpty();
        assertThat(sendOperatorCommand("done", "B")).isEmpty();
        awaitStage("B", "in");
        awaitCommitted(100);
        assertThat(isAtStage(maintenanceStatus(), "A", "asked")).isTrue();
    }

    @Test
    void holdTakesEffectWithinASecondAndCanBeLifted() throws Exception {
        start(FLEET_KDL, SETTINGS_WITH_LONG_TXN);
        TestClient client = new TestClient(cluster.driver("d1").port());
        client.sendStartup().readResponses();
        assertThat(requestMaintenance("B")).isEmpty();
        awaitStatus(status -> !isAtStage(status, "B", "asked"));
        long startNanos = System.nanoTime();
        assertThat(sendOperatorCommand("hold", "*")).isEmpty();
        assertThat(System.nanoTime() - startNanos).isLessThan(MAX_HOLD_NANOS);
        assertThat(maintenanceStatus().get("held")).isEqualTo(true);
        // Either it was out already, or it was put back; it is at no stage in between.
        assertThat(
                        isAtStage(maintenanceStatus(), "B", "asked")
                                || isAtStage(maintenanceStatus(), "B", "out"))
                .isTrue();
        assertThat(sendOperatorCommand("go", "*")).isEmpty();
        awaitStage("B", "out");
        client.close();
    }

    @Test
    void impossibleRequestsAreRefusedAtOnceWithTheReason() throws Exception {
        start(FLEET_KDL);
        assertThat(requestMaintenance("Z")).isEqualTo("there is no machine 'Z'");
        assertThat(requestMaintenanceWith("B", "", 0, 1, List.of(), "early"))
                .contains("has passed");
        assertThat(requestMaintenanceWith("B", "", 0, 0, List.of("B"), "self"))
                .contains("comes after");
        assertThat(sendOperatorCommand("done", "B")).isEmpty();
        assertThat(sendOperatorCommand("cancel", "B")).contains("is not asked for");
        assertThat(requestMaintenanceWith("B", "", 1000, 0, List.of(), "same")).isEmpty();
        assertThat(requestMaintenanceWith("B", "", 1000, 0, List.of(), "same")).isEmpty();
        // Out for longer than requested: an operator is alerted; it is not assumed to be back.
        awaitStatus(
                status ->
                        entry(status, "B")
                                .filter(
                                        entry ->
                                                entry.get("waits")
                                                        .toString()
                                                        .contains("PAGE: out for longer than 1 s"))
                                .isPresent());
        assertThat(sendOperatorCommand("cancel", "B")).contains("brings it back");
    }

    /**
     * A duty whose owner is shut down with its machine would have no owner until the lease expires,
     * so drivers on a draining machine hand over their duties first.
     */
    @Test
    void driverOnADrainingMachineHandsOverItsDuties() throws Exception {
        start(
                FLEET_KDL
                        .replace("driver \"d4\";", "driver \"d1\"; driver \"d4\";")
                        .replace(
                                "member \"m3\" group=7; driver \"d1\";", "member \"m3\" group=7;"));
        assertThat(requestMaintenance("B")).isEmpty();
        awaitStage("B", "out");
        assertThat(List.of("d1", "d4")).doesNotContain(controllerDriver().name);
        // One voter of three is away; with a second one away there would be no quorum.
        cluster.driver("d2").awaitLog("work: B out");
        assertThat(sendOperatorCommand("done", "B")).isEmpty();
        awaitStage("B", "in");
    }

    @Test
    void stricterOfDiscoveryAndPlanApplies() throws Exception {
        start(FLEET_KDL);
        cluster.publishMembers(Map.of("m2b", "gone"));
        assertThat(requestMaintenance("B")).isEmpty();
        awaitStage("B", "out");
        long outAtMs = System.currentTimeMillis();
        cluster.publishMembers(Map.of("m2b", "gone"));
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            driver.awaitLog("list 2 ");
        }
        awaitCommitted(200);
        assertNoTxnsSince(member2, outAtMs);
        // The plan returns the machine while discovery lists its member as draining: it is back in
        // service only after both agree.
        cluster.publishMembers(Map.of("m2b", "gone", "m2", "draining"));
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            driver.awaitLog("list 3 ");
        }
        assertThat(sendOperatorCommand("done", "B")).isEmpty();
        awaitStatus(
                status ->
                        entry(status, "B")
                                .filter(
                                        entry ->
                                                entry.get("waits")
                                                        .toString()
                                                        .contains("m2 has not answered"))
                                .isPresent());
        awaitCommitted(100);
        assertNoTxnsSince(member2, outAtMs);
        cluster.publishMembers(Map.of("m2b", "gone"));
        awaitStage("B", "in");
        member2.awaitTxns(member2.txns().size() + 1);
    }

    /**
     * A machine's member may be replaced by one with a new id while the machine is out. The prefix
     * in the operator's file must assign the new member to the same machine.
     */
    @Test
    void machineReturnsWithANewMemberId() throws Exception {
        start(FLEET_KDL);
        cluster.publishMembers(Map.of("m2b", "gone"));
        FencedMember successor = cluster.members.get("m2b");
        assertThat(requestMaintenance("B")).isEmpty();
        awaitStage("B", "out");
        // The new member is listed before the operator reports the work as done, so it must not be
        // sent anything yet.
        cluster.publishMembers(Map.of("m2", "gone"));
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            driver.awaitLog("list 2 ");
        }
        awaitCommitted(200);
        assertThat(successor.txns()).isEmpty();
        assertThat(sendOperatorCommand("done", "B")).isEmpty();
        awaitStage("B", "in");
        successor.awaitTxns(1);
    }

    /**
     * The group's primary becomes unreachable while the machine of a replica drains: the machine is
     * put back, and its member can take over as the primary.
     */
    @Test
    void primaryFailureWhileAReplicaDrainsPutsItBackForFailover() throws Exception {
        start(FLEET_KDL, SETTINGS_WITH_LONG_TXN);
        List<TestClient> slowClients = startSlowReads();
        assertThat(requestMaintenance("B")).isEmpty();
        awaitStage("B", "draining");
        cluster.setReachable(member1, false);
        awaitStage("B", "asked");
        awaitStatus(
                status ->
                        entry(status, "B")
                                .filter(
                                        entry ->
                                                entry.get("waits")
                                                        .toString()
                                                        .contains("m1 is not fit"))
                                .isPresent());
        member1.setPrimary(false);
        member2.setPrimary(true);
        try (TestClient client = new TestClient(cluster.driver("d1").port())) {
            client.sendStartup().readResponses();
            List<String> response = List.of();
            for (int i = 0; i < 100 && !response.contains("row value"); i++) {
                response = client.query(Fixtures.writeStatement("lead" + i)).readResponses();
            }
            assertThat(response).containsExactly("row value");
        }
        assertThat(member2.txns()).anyMatch(txn -> txn.id().startsWith("lead"));
        for (FencedMember member : List.of(member1, member2, member3)) {
            member.releaseSlowReads();
        }
        for (TestClient client : slowClients) {
            client.close();
        }
    }

    /**
     * A driver on the minority side of a network partition must not use the machine while the
     * majority takes it out, nor after the partition has healed.
     */
    @Test
    void partitionedFleetContinuesOnTheMajoritySide() throws Exception {
        start(FLEET_KDL);
        // d4, the driver on machine B, is on the minority side, which has no voter.
        TestCluster.DriverProcess minorityDriver = cluster.driver("d4");
        int fromLine = minorityDriver.logLineCount();
        assertThat(requestMaintenance("B")).isEmpty();
        minorityDriver.awaitLog(fromLine, line -> line.contains("work: B planned"));
        awaitStatus(
                status -> !isAtStage(status, "B", "asked") && !isAtStage(status, "B", "planned"));
        cluster.partitionFromVoters("d4", true);
        awaitStage("B", "out");
        long outAtMs = System.currentTimeMillis();
        awaitCommitted(200);
        assertNoTxnsSince(member2, outAtMs);
        cluster.partitionFromVoters("d4", false);
        minorityDriver.awaitLog(
                fromLine,
                line -> line.contains("work: the plan is known") || line.contains("work: B out"));
        awaitCommitted(100);
        assertNoTxnsSince(member2, outAtMs);
        assertThat(sendOperatorCommand("done", "B")).isEmpty();
        awaitStage("B", "in");
    }

    /** Returns the output lines of a {@code work} command, and its exit status as the last one. */
    private List<String> runWorkCommand(String... arguments) throws Exception {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "java",
                                "-Xshare:auto",
                                "-XX:TieredStopAtLevel=1",
                                "-jar",
                                "target/wingroad.jar",
                                "work"));
        command.addAll(List.of(arguments));
        command.addAll(List.of("--operator", cluster.driver("d1").operatorFile().toString()));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        List<String> output = new ArrayList<>(process.inputReader().lines().toList());
        output.add("exit " + process.waitFor());
        return output;
    }

    @Test
    void workCommandsOnTheCommandLine() throws Exception {
        start(FLEET_KDL);
        assertThat(runWorkCommand("ask", "B", "Z", "--for", "20m", "--why", "kernel"))
                .containsExactly("B: settled", "Z: refused: there is no machine 'Z'", "exit 1");
        awaitStage("B", "out");
        assertThat(runWorkCommand("plan"))
                .anyMatch(line -> line.matches(" +B +out +kernel; waits: work on it"))
                .contains("exit 0");
        assertThat(runWorkCommand("show", "B"))
                .anyMatch(line -> line.contains("members [m2*#7], drivers [d4]"))
                .anyMatch(line -> line.endsWith("B out: nothing of anybody's is there"));
        assertThat(runWorkCommand("done", "B", "--json"))
                .containsExactly("{\"machine\":\"B\",\"settled\":true,\"why\":\"\"}", "exit 0");
        awaitStage("B", "in");
        assertThat(runWorkCommand("hold")).contains("exit 2");
        assertThat(runWorkCommand("ask", "B", "--for", "soon")).contains("exit 2");
    }
}
