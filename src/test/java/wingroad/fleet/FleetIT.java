package wingroad.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

import wingroad.Fixtures;
import wingroad.Fixtures.FakeDiscovery;
import wingroad.Fixtures.TestClient;
import wingroad.operator.OperatorFile;
import wingroad.rig.FaultProxy;
import wingroad.rig.FencedMember;
import wingroad.rig.SlowDisk;
import wingroad.rig.TestCluster;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Fleets of several real processes of the packaged program, with faults injected between them. */
@Execution(ExecutionMode.CONCURRENT)
class FleetIT {
    private static final String FLEET_SETTINGS =
            """
                lease-ms 3000
                drift 0.02
                chore "a" every=0.5 group=7 statement="SELECT fenced_a({epoch})"
                chore "b" every=0.5 group=7 statement="SELECT fenced_b({epoch})"
            """;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path directory;

    private TestCluster cluster;
    private FencedMember member;

    private void startCluster(int driverCount, int voterCount) throws Exception {
        cluster =
                new TestCluster(
                        directory, driverCount, voterCount, FLEET_SETTINGS, Fixtures.SETTINGS_JSON);
        member = cluster.addMember("m1", 7, true, true);
        cluster.startAll();
    }

    @AfterEach
    void stopCluster() throws IOException {
        cluster.close();
    }

    /** Returns the driver whose log says that it ran the chore's turn under this epoch. */
    private TestCluster.DriverProcess driverThatRan(FencedMember.ChoreExecution execution)
            throws InterruptedException {
        String logText =
                "fleet: chore "
                        + execution.chore()
                        + " turn "
                        + execution.turn()
                        + " epoch "
                        + execution.epoch()
                        + ": ran";
        for (int i = 0; i < 4000; i++) {
            for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
                if (driver.log().stream().anyMatch(line -> line.contains(logText))) {
                    return driver;
                }
            }
            Thread.onSpinWait();
            TimeUnit.MILLISECONDS.sleep(5);
        }
        throw new AssertionError("no driver logged: " + logText);
    }

    /** Waits for the chore's next execution under a higher epoch. */
    private FencedMember.ChoreExecution awaitNextOwnerExecution(
            FencedMember.ChoreExecution previous) throws InterruptedException {
        return member.awaitExecution(
                0,
                candidate ->
                        candidate.chore().equals(previous.chore())
                                && candidate.epoch() > previous.epoch());
    }

    private FencedMember.ChoreExecution awaitFirstExecution(String chore)
            throws InterruptedException {
        return member.awaitExecution(0, candidate -> candidate.chore().equals(chore));
    }

    private void assertNoStaleOrRepeatedTurn() {
        assertThat(member.repeatedTurns()).as("turns run more than once").isZero();
        assertThat(member.executions())
                .noneMatch(candidate -> candidate.staleEpoch() && candidate.accepted());
    }

    /**
     * A driver that is stopped as planned hands its chores over before it exits, and the history
     * says that it left.
     */
    @Test
    void plannedStopHandsChoreOver() throws Exception {
        startCluster(4, 3);
        FencedMember.ChoreExecution execution = awaitFirstExecution("a");
        TestCluster.DriverProcess owner = driverThatRan(execution);
        owner.terminate();
        FencedMember.ChoreExecution nextExecution = awaitNextOwnerExecution(execution);
        assertThat(driverThatRan(nextExecution)).isNotSameAs(owner);
        owner.awaitExit();
        owner.awaitLog("fleet: left after");
        Map<String, Object> duty = dutyStatus("chore a");
        assertThat((List<?>) duty.get("history"))
                .anyMatch(
                        historyLine ->
                                historyLine
                                        .toString()
                                        .endsWith("epoch " + execution.epoch() + ": left"));
        assertNoStaleOrRepeatedTurn();
    }

    /**
     * Guards against a chore that runs at two drivers: its owner is told to stop while the
     * statement runs, and must not hand over before it has ended.
     */
    @Test
    void plannedStopDuringAChoreHandsOverAfterItsEnd() throws Exception {
        startCluster(4, 3);
        FencedMember.ChoreExecution execution = awaitFirstExecution("a");
        TestCluster.DriverProcess owner = driverThatRan(execution);
        member.setChoreDurationMs(2000);
        member.awaitExecution(
                member.executionCount(),
                candidate ->
                        candidate.chore().equals("a") && candidate.epoch() == execution.epoch());
        owner.terminate();
        FencedMember.ChoreExecution nextExecution = awaitNextOwnerExecution(execution);
        assertThat(nextExecution.accepted()).isTrue();
        assertThat(member.overlappingChores()).as("chores at two drivers").isZero();
        owner.awaitExit();
        owner.awaitLog("fleet: left after");
        assertNoStaleOrRepeatedTurn();
    }

    /**
     * An owner is paused after its statement was sent but before it arrived; a successor acts
     * meanwhile. The member must reject the statement when it is delivered late.
     */
    @Test
    void statementOfResumedFormerOwnerIsRejected() throws Exception {
        startCluster(4, 3);
        FencedMember.ChoreExecution execution = awaitFirstExecution("a");
        TestCluster.DriverProcess owner = driverThatRan(execution);
        BlockingQueue<Object> heldConnections = new LinkedBlockingQueue<>();
        cluster.proxy
                .linkBetween(owner.name, "m1")
                .setInterceptor(
                        (link, direction, bytes, connection) ->
                                direction == FaultProxy.Direction.FORWARD
                                        && asText(bytes).contains("fenced_a")
                                        && heldConnections.isEmpty()
                                        && heldConnections.add(connection));
        Object connection = heldConnections.poll(20, TimeUnit.SECONDS);
        assertThat(connection).as("the owner's next statement").isNotNull();
        owner.pause();
        FencedMember.ChoreExecution nextExecution = awaitNextOwnerExecution(execution);
        int executionsBefore = member.executionCount();
        cluster.proxy.release(connection);
        owner.resume();
        FencedMember.ChoreExecution staleExecution =
                member.awaitExecution(
                        executionsBefore,
                        candidate ->
                                candidate.chore().equals("a")
                                        && candidate.epoch() < nextExecution.epoch());
        assertThat(staleExecution.accepted()).isFalse();
        owner.awaitLog(
                0,
                line ->
                        line.contains("has expired; its duties are suspended")
                                || line.contains("the consensus group has ended"));
        assertNoStaleOrRepeatedTurn();
    }

    /**
     * An owner without a link to the voters suspends its duties when its lease expires and still
     * serves clients.
     */
    @Test
    void partitionedOwnerStopsItsDutiesButServesClients() throws Exception {
        startCluster(5, 3);
        FencedMember.ChoreExecution execution = awaitFirstExecution("b");
        TestCluster.DriverProcess owner = driverThatRan(execution);
        int fromLine = owner.logLineCount();
        cluster.partitionFromVoters(owner.name, true);
        owner.awaitLog(fromLine, line -> line.contains("has expired; its duties are suspended"));
        FencedMember.ChoreExecution nextExecution = awaitNextOwnerExecution(execution);
        assertThat(driverThatRan(nextExecution)).isNotSameAs(owner);
        try (TestClient client = new TestClient(owner.port())) {
            client.sendStartup().readResponses();
            assertThat(client.query(Fixtures.readStatement("served")).readResponses())
                    .containsExactly("row value");
        }
        cluster.partitionFromVoters(owner.name, false);
        owner.awaitLog(fromLine, line -> line.contains("lease of") && line.contains("is valid"));
        assertNoStaleOrRepeatedTurn();
    }

    /** The voters receive the owner's messages but it receives none of theirs. */
    @Test
    void ownerThatOnlyReceivesNothingLosesItsDuties() throws Exception {
        startCluster(4, 3);
        FencedMember.ChoreExecution execution = awaitFirstExecution("a");
        TestCluster.DriverProcess owner = driverThatRan(execution);
        int fromLine = owner.logLineCount();
        cluster.partitionOneWay(owner.name, false, true);
        owner.awaitLog(fromLine, line -> line.contains("has expired; its duties are suspended"));
        // Guards against a session that the owner's heartbeats keep alive although the owner
        // cannot receive the renewals: its duties would stand still.
        assertThat(driverThatRan(awaitNextOwnerExecution(execution))).isNotSameAs(owner);
        cluster.partitionOneWay(owner.name, false, false);
        owner.awaitLog(fromLine, line -> line.contains("lease of") && line.contains("is valid"));
        member.awaitExecution(member.executionCount(), candidate -> candidate.chore().equals("a"));
        assertNoStaleOrRepeatedTurn();
    }

    /**
     * All processes are killed and started again in another order; epochs and turns must not
     * repeat.
     */
    @Test
    void restartOfAllContinuesUnderHigherEpochs() throws Exception {
        startCluster(4, 3);
        FencedMember.ChoreExecution executionBefore = awaitFirstExecution("a");
        awaitFirstExecution("b");
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            driver.kill();
        }
        int executionsBefore = member.executionCount();
        for (String name : List.of("d3", "d4", "d1", "d2")) {
            cluster.driver(name).start();
        }
        FencedMember.ChoreExecution executionAfterwards =
                member.awaitExecution(executionsBefore, candidate -> candidate.chore().equals("a"));
        assertThat(executionAfterwards.epoch()).isGreaterThan(executionBefore.epoch());
        assertThat(executionAfterwards.turn()).isGreaterThan(executionBefore.turn());
        assertThat(executionAfterwards.accepted()).isTrue();
        assertNoStaleOrRepeatedTurn();
    }

    /**
     * A voter that lost its state must not vote under its old identity; it is added again as a new
     * one.
     */
    @Test
    void voterWithoutStateRejoinsAsNewMember() throws Exception {
        startCluster(4, 3);
        awaitFirstExecution("a");
        TestCluster.DriverProcess restarted = cluster.driver("d2");
        restarted.kill();
        restarted.deleteState();
        restarted.start();
        restarted.awaitLog("is not in a consensus group yet");
        restarted.awaitLog("joined consensus group");
        awaitVoterSet(List.of("d1", "d2", "d3"), "d2");
        assertNoStaleOrRepeatedTurn();
    }

    @Test
    void corruptStateFileIsSetAsideAndLogged() throws Exception {
        startCluster(4, 3);
        awaitFirstExecution("a");
        TestCluster.DriverProcess driver = cluster.driver("d3");
        driver.kill();
        byte[] corruptContent =
                "no database at all, but long enough to be taken for one by whoever reads it"
                        .getBytes(StandardCharsets.UTF_8);
        // SQLite would repair the file from its write-ahead log.
        Files.deleteIfExists(driver.stateDirectory().resolve("council.db-wal"));
        Files.write(driver.stateDirectory().resolve("council.db"), corruptContent);
        driver.start();
        driver.awaitLog("state set aside as aside-1-council.db");
        assertThat(Files.readAllBytes(driver.stateDirectory().resolve("aside-1-council.db")))
                .isEqualTo(corruptContent);
        awaitVoterSet(List.of("d1", "d2", "d3"), "d3");
        assertNoStaleOrRepeatedTurn();
    }

    /** Two of three voters are killed. */
    @Test
    void withoutQuorumNoDutyIsGrantedButClientsAreServed() throws Exception {
        startCluster(4, 3);
        awaitFirstExecution("a");
        TestCluster.DriverProcess remaining = cluster.driver("d4");
        remaining.awaitLog("lease of d4/");
        cluster.driver("d1").kill();
        cluster.driver("d2").kill();
        remaining.awaitLog("has expired; its duties are suspended");
        int executionsBefore = member.executionCount();
        try (TestClient client = new TestClient(remaining.port())) {
            client.sendStartup().readResponses();
            assertThat(client.query(Fixtures.writeStatement("w")).readResponses())
                    .containsExactly("row value");
        }
        assertThat(member.executionCount())
                .as("chores started without a majority")
                .isEqualTo(executionsBefore);
        cluster.driver("d2").start();
        member.awaitExecution(
                executionsBefore,
                candidate -> candidate.chore().equals("a") && candidate.accepted());
        assertNoStaleOrRepeatedTurn();
    }

    @Test
    void onlyListOwnerPollsDiscoveryUntilItFails() throws Exception {
        cluster =
                new TestCluster(
                        directory,
                        4,
                        3,
                        FLEET_SETTINGS + "    list check=600\n",
                        Fixtures.SETTINGS_JSON);
        member = cluster.addMember("m1", 7, true, true);
        FencedMember replica = cluster.addMember("m2", 7, false, true);
        cluster.startAll();
        String primaryEntry = cluster.discoveryEntry("d1", member, "ready");
        cluster.discovery.publish(
                primaryEntry + "," + cluster.discoveryEntry("d1", replica, "ready"));
        awaitBalancedDuties(3);
        TestCluster.DriverProcess owner =
                cluster.driver(String.valueOf(dutyStatus("list").get("owner")));
        List<TestCluster.DriverProcess> followers = awaitListFollowers(3);
        while (followers.contains(owner)) {
            // The list's owner changed just now, and its predecessor does not follow it yet.
            followers = awaitListFollowers(3);
        }
        int requestsBefore = cluster.discovery.requestedVersions.size();
        cluster.discovery.publish(
                primaryEntry + "," + cluster.discoveryEntry("d1", replica, "draining"));
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            driver.awaitLog(0, line -> line.contains("list 2 "));
        }
        // The owner's next long poll, and perhaps one by a driver that is giving up polling.
        assertThat(cluster.discovery.requestedVersions.size() - requestsBefore).isLessThan(4);
        Map<TestCluster.DriverProcess, Integer> logPositions = new java.util.HashMap<>();
        followers.forEach(driver -> logPositions.put(driver, driver.logLineCount()));
        // Without the voters there is no other owner soon: each driver has to notice the silence
        // by itself.
        for (TestCluster.DriverProcess driver : followers) {
            cluster.partitionFromVoters(driver.name, true);
        }
        owner.kill();
        for (TestCluster.DriverProcess driver : followers) {
            driver.awaitLog(
                    logPositions.get(driver),
                    line -> line.contains("list: watches discovery itself"));
        }
        cluster.discovery.publish(primaryEntry);
        for (TestCluster.DriverProcess driver : followers) {
            driver.awaitLog(0, line -> line.contains("list 3 "));
        }
        for (TestCluster.DriverProcess driver : followers) {
            cluster.partitionFromVoters(driver.name, false);
        }
        assertThat(awaitListFollowers(2)).doesNotContain(owner);
        assertNoStaleOrRepeatedTurn();
    }

    /**
     * Guards against a follower of the list's owner that uses the owner's endpoints, where its own
     * agent lists the members under others: the same address may be another member on its machine,
     * even one of another group.
     */
    @Test
    void followersUseTheEndpointsOfTheirOwnDiscovery() throws Exception {
        cluster =
                new TestCluster(
                        directory,
                        3,
                        3,
                        FLEET_SETTINGS + "    list check=600\n",
                        Fixtures.SETTINGS_JSON);
        member = cluster.addMember("m1", 7, true, true);
        FencedMember joining = cluster.addMember("m2", 7, false, true);
        FencedMember otherGroup = cluster.addMember("m3", 8, true, true);
        cluster.membersUnknownAtStart.add("m2");
        Map<String, FakeDiscovery> discoveries = new java.util.HashMap<>();
        for (String name : cluster.drivers.keySet()) {
            FakeDiscovery discovery = new FakeDiscovery();
            discovery.publish(cluster.discoveryEntries(name, member, otherGroup));
            cluster.proxy.linkBetween(name, "discovery").setTargetPort(discovery.port());
            discoveries.put(name, discovery);
        }
        cluster.startAll();
        List<TestCluster.DriverProcess> followers = awaitListFollowers(2);
        TestCluster.DriverProcess owner =
                cluster.drivers.values().stream()
                        .filter(driver -> !followers.contains(driver))
                        .findFirst()
                        .orElseThrow();
        // On the followers' machines the owner's addresses are a member of another group.
        for (FencedMember sameGroup : List.of(member, joining)) {
            cluster.proxy.linkBetween(owner.name, sameGroup.uid).setTargetPort(otherGroup.port());
        }
        for (String name : cluster.drivers.keySet()) {
            discoveries
                    .get(name)
                    .publish(cluster.discoveryEntries(name, member, joining, otherGroup));
        }
        for (TestCluster.DriverProcess driver : followers) {
            driver.awaitLog("list 2 whole, 3");
        }
        for (TestCluster.DriverProcess driver : followers) {
            try (TestClient client = new TestClient(driver.port())) {
                client.sendStartup();
                for (int n = 0; n < 10; n++) {
                    client.query(Fixtures.readStatement("r" + driver.name + n)).readResponses();
                    client.query(Fixtures.writeStatement("w" + driver.name + n)).readResponses();
                }
            }
        }
        assertThat(otherGroup.txns()).as("statements of group 7").isEmpty();
        assertThat(member.txns()).isNotEmpty();
        for (FakeDiscovery discovery : discoveries.values()) {
            discovery.close();
        }
    }

    /**
     * Guards against an owner that drops a list received before its fleet components started, so
     * that no driver follows it.
     */
    @Test
    void listReceivedBeforeFleetStartIsSharedByOwner() throws Exception {
        cluster =
                new TestCluster(
                        directory,
                        4,
                        3,
                        FLEET_SETTINGS + "    list check=600\n",
                        Fixtures.SETTINGS_JSON);
        member = cluster.addMember("m1", 7, true, true);
        cluster.discovery.publish(cluster.discoveryEntry("d1", member, "ready"));
        cluster.startAll();
        awaitListFollowers(3);
    }

    /**
     * Waits until all drivers have a session and all duties are balanced; some duties still move
     * while the first sessions open.
     */
    private void awaitBalancedDuties(int dutyCount) throws Exception {
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            driver.awaitLog("lease of " + driver.name + "/");
        }
        for (int i = 0; i < 800; i++) {
            List<?> duties = (List<?>) fleetStatus().get("duties");
            Map<Object, Integer> dutiesByOwner = new java.util.HashMap<>();
            duties.forEach(
                    duty -> dutiesByOwner.merge(((Map<?, ?>) duty).get("owner"), 1, Integer::sum));
            // The balancer accepts one duty more than an even share.
            if (duties.size() == dutyCount
                    && !dutiesByOwner.containsKey("")
                    && dutiesByOwner.values().stream().allMatch(ownedCount -> ownedCount <= 2)
                    && duties.stream()
                            .allMatch(duty -> ((Map<?, ?>) duty).get("wanted").equals(""))) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new AssertionError("the duties were not balanced in time: " + fleetStatus());
    }

    /** Waits until that many running drivers follow the owner of the list. */
    private List<TestCluster.DriverProcess> awaitListFollowers(int count)
            throws InterruptedException {
        for (int i = 0; i < 400; i++) {
            List<TestCluster.DriverProcess> followers =
                    cluster.drivers.values().stream()
                            .filter(TestCluster.DriverProcess::isAlive)
                            .filter(
                                    driver ->
                                            driver.log().stream()
                                                    .filter(line -> line.contains("list: "))
                                                    .reduce((earlier, later) -> later)
                                                    .filter(
                                                            line ->
                                                                    line.contains(
                                                                            "follows the owner"))
                                                    .isPresent())
                            .toList();
            if (followers.size() == count) {
                return followers;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new AssertionError("never " + count + " drivers that follow the owner");
    }

    @Test
    void votersAreAddedAndRemovedOneAtATime() throws Exception {
        cluster = new TestCluster(directory, 4, 3, FLEET_SETTINGS, Fixtures.SETTINGS_JSON);
        member = cluster.addMember("m1", 7, true, true);
        String newVoterAddress = cluster.addSpareVoter("d4");
        cluster.startAll();
        awaitFirstExecution("a");
        try (FleetClient client = new FleetClient(fleetConfig(), "d1")) {
            assertThat(client.changeVoter("d4", newVoterAddress, "q1")).isEmpty();
            assertThat(client.changeVoter("d3", "", "q2")).contains("one at a time");
        }
        awaitVoterSet(List.of("d1", "d2", "d3", "d4"), "d4");
        try (FleetClient client = new FleetClient(fleetConfig(), "d1")) {
            assertThat(client.changeVoter("d3", "", "q3")).isEmpty();
        }
        cluster.driver("d3").awaitLog("has been removed from the consensus group");
        assertThat(cluster.driver("d3").awaitLog("state set aside")).isNotNull();
        // The new voter counts: without d1, d2 and d4 are a majority of three.
        cluster.driver("d1").kill();
        int executionsBefore = member.executionCount();
        member.awaitExecution(executionsBefore + 6, candidate -> candidate.accepted());
        assertNoStaleOrRepeatedTurn();
    }

    /** A voter that cannot persist its state must stop voting. */
    @Test
    void voterWithFullDiskStopsVotingButServesClients() throws Exception {
        cluster = new TestCluster(directory, 4, 3, FLEET_SETTINGS, Fixtures.SETTINGS_JSON);
        member = cluster.addMember("m1", 7, true, true);
        TestCluster.DriverProcess voterWithFullDisk = cluster.driver("d2");
        // Enough for the native library of the database, which is unpacked into a file, and for
        // some seconds of its log.
        voterWithFullDisk.maxFileSizeKb = 1500;
        cluster.startAll();
        awaitFirstExecution("a");
        voterWithFullDisk.awaitLog("cannot write its state and no longer votes");
        try (TestClient client = new TestClient(voterWithFullDisk.port())) {
            client.sendStartup().readResponses();
            assertThat(client.query(Fixtures.readStatement("served")).readResponses())
                    .containsExactly("row value");
        }
        int executionsBefore = member.executionCount();
        member.awaitExecution(executionsBefore + 6, FencedMember.ChoreExecution::accepted);
        assertNoStaleOrRepeatedTurn();
    }

    /** Links of changing drivers are cut in one or both directions and restored. */
    @Test
    void flappingLinksNeitherLoseNorDuplicateDuties() throws Exception {
        startCluster(4, 3);
        awaitFirstExecution("a");
        awaitFirstExecution("b");
        int executionsBefore = member.executionCount();
        for (int i = 0; i < 24; i++) {
            String name = "d" + (i % 4 + 1);
            boolean bothDirections = i % 3 == 0;
            if (bothDirections) {
                cluster.partitionFromVoters(name, true);
            } else {
                cluster.partitionOneWay(name, i % 3 == 1, true);
            }
            // Each cut lasts until the next chore statement of any driver arrives.
            member.awaitExecution(member.executionCount(), FencedMember.ChoreExecution::accepted);
            cluster.partitionFromVoters(name, false);
        }
        member.awaitExecution(
                member.executionCount(),
                candidate -> candidate.chore().equals("a") && candidate.accepted());
        member.awaitExecution(
                member.executionCount(),
                candidate -> candidate.chore().equals("b") && candidate.accepted());
        assertThat(member.executionCount()).isGreaterThan(executionsBefore + 24);
        assertNoStaleOrRepeatedTurn();
    }

    /**
     * With a slow disk the leader keeps leading or is replaced; with a hung disk it stops voting.
     */
    @Test
    @SuppressWarnings("try")
    void slowLeaderDiskIsToleratedAndHungDiskStopsVoting() throws Exception {
        startCluster(4, 3);
        awaitFirstExecution("a");
        TestCluster.DriverProcess leader =
                cluster.driver(String.valueOf(fleetStatus().get("leader")));
        try (SlowDisk disk = new SlowDisk(leader.stateDirectory().resolve("council.db"))) {
            disk.delayWrites(300);
            int executionsBefore = member.executionCount();
            member.awaitExecution(executionsBefore + 8, FencedMember.ChoreExecution::accepted);
            // A write that does not finish within the store's timeout counts as a disk failure.
            disk.blockWrites();
            leader.awaitLog("cannot write its state and no longer votes");
            try (TestClient client = new TestClient(leader.port())) {
                client.sendStartup().readResponses();
                assertThat(client.query(Fixtures.readStatement("served")).readResponses())
                        .containsExactly("row value");
            }
            member.awaitExecution(
                    member.executionCount() + 4, FencedMember.ChoreExecution::accepted);
        }
        int fromLine = leader.logLineCount();
        leader.awaitLog(fromLine, line -> line.contains("joined consensus group"));
        assertNoStaleOrRepeatedTurn();
    }

    @Test
    void unusableStateDirectoryOnlyKeepsDriverOutOfFleet() throws Exception {
        cluster = new TestCluster(directory, 4, 3, FLEET_SETTINGS, Fixtures.SETTINGS_JSON);
        member = cluster.addMember("m1", 7, true, true);
        TestCluster.DriverProcess driverWithoutState = cluster.driver("d4");
        Files.writeString(driverWithoutState.stateDirectory(), "a file");
        cluster.startAll();
        driverWithoutState.awaitLog("start failed, retrying");
        try (TestClient client = new TestClient(driverWithoutState.port())) {
            client.sendStartup().readResponses();
            assertThat(client.query(Fixtures.readStatement("served")).readResponses())
                    .containsExactly("row value");
        }
        Files.delete(driverWithoutState.stateDirectory());
        driverWithoutState.awaitLog("lease of d4/");
        assertNoStaleOrRepeatedTurn();
    }

    /** Two processes run under one driver name by mistake. */
    @Test
    void secondProcessWithSameNameIsRefused() throws Exception {
        cluster = new TestCluster(directory, 5, 3, FLEET_SETTINGS, Fixtures.SETTINGS_JSON);
        member = cluster.addMember("m1", 7, true, true);
        for (String name : List.of("d1", "d2", "d3", "d4")) {
            cluster.driver(name).start();
        }
        cluster.driver("d4").awaitLog("lease of d4/");
        cluster.driver("d5").fleetName = "d4";
        cluster.driver("d5").start();
        cluster.driver("d5").awaitLog("no session: another driver is known by the name 'd4'");
        // Once the first process has ended and its lease has expired, the name is free.
        cluster.driver("d4").kill();
        cluster.driver("d5").awaitLog("lease of d4/");
        assertNoStaleOrRepeatedTurn();
    }

    /**
     * With one voter down and another without its state there is no majority that remembers the
     * log; nothing may be committed until the first is back.
     */
    @Test
    void voterWithoutStateIsNotAdmittedWhileAnotherIsDown() throws Exception {
        startCluster(4, 3);
        FencedMember.ChoreExecution execution = awaitFirstExecution("a");
        // A lease must have been granted before its expiry can be awaited.
        cluster.driver("d1").awaitLog("lease of d1/");
        cluster.driver("d4").awaitLog("lease of d4/");
        cluster.driver("d2").kill();
        cluster.driver("d3").kill();
        cluster.driver("d3").deleteState();
        cluster.driver("d3").start();
        cluster.driver("d4").awaitLog("has expired; its duties are suspended");
        cluster.driver("d1").awaitLog("has expired; its duties are suspended");
        assertThat(cluster.driver("d3").log())
                .noneMatch(line -> line.contains("joined consensus group"));
        int executionsBefore = member.executionCount();
        cluster.driver("d2").start();
        FencedMember.ChoreExecution executionAfterwards =
                member.awaitExecution(
                        executionsBefore,
                        candidate -> candidate.chore().equals("a") && candidate.accepted());
        assertThat(executionAfterwards.epoch()).isGreaterThanOrEqualTo(execution.epoch());
        cluster.driver("d3").awaitLog("joined consensus group");
        awaitVoterSet(List.of("d1", "d2", "d3"), "d3");
        assertNoStaleOrRepeatedTurn();
    }

    /** All drivers are restarted one after the other, as a release does. */
    @Test
    void rollingRestartRepeatsNoTurn() throws Exception {
        startCluster(4, 3);
        awaitFirstExecution("a");
        awaitFirstExecution("b");
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            driver.terminate();
            driver.awaitExit();
            driver.start();
            driver.awaitLog("lease of");
        }
        int executionsBefore = member.executionCount();
        member.awaitExecution(
                executionsBefore,
                candidate -> candidate.chore().equals("a") && candidate.accepted());
        member.awaitExecution(
                executionsBefore,
                candidate -> candidate.chore().equals("b") && candidate.accepted());
        assertNoStaleOrRepeatedTurn();
    }

    /**
     * The connection is cut in the middle of a chore's statement. The outcome is unknown to the
     * owner, so the turn must not be sent again.
     */
    @Test
    void interruptedStatementIsNotRepeated() throws Exception {
        startCluster(4, 3);
        FencedMember.ChoreExecution execution = awaitFirstExecution("a");
        TestCluster.DriverProcess owner = driverThatRan(execution);
        FaultProxy.Link link = cluster.proxy.linkBetween(owner.name, "m1");
        BlockingQueue<Object> heldConnections = new LinkedBlockingQueue<>();
        link.setInterceptor(
                (tapped, direction, bytes, connection) ->
                        direction == FaultProxy.Direction.FORWARD
                                && asText(bytes).contains("fenced_a")
                                && heldConnections.isEmpty()
                                && heldConnections.add(connection));
        assertThat(heldConnections.poll(20, TimeUnit.SECONDS))
                .as("the owner's next statement")
                .isNotNull();
        int fromLine = owner.logLineCount();
        cluster.proxy.disconnect(link);
        String outcomeLine =
                owner.awaitLog(
                        fromLine,
                        line ->
                                line.contains("fleet: chore a turn")
                                        && line.contains("refused or broken off"));
        long turn = Long.parseLong(outcomeLine.replaceAll(".* turn ([0-9]+) .*", "$1"));
        FencedMember.ChoreExecution nextExecution =
                member.awaitExecution(
                        0, candidate -> candidate.chore().equals("a") && candidate.turn() > turn);
        assertThat(member.executions())
                .noneMatch(candidate -> candidate.chore().equals("a") && candidate.turn() == turn);
        assertThat(nextExecution.accepted()).isTrue();
        assertNoStaleOrRepeatedTurn();
    }

    @Test
    void singleVoterAndOneMoreDriverFormFleet() throws Exception {
        startCluster(2, 1);
        FencedMember.ChoreExecution executionOfA = awaitFirstExecution("a");
        FencedMember.ChoreExecution executionOfB = awaitFirstExecution("b");
        cluster.driver("d2").kill();
        int executionsBefore = member.executionCount();
        member.awaitExecution(executionsBefore + 8, candidate -> candidate.accepted());
        for (FencedMember.ChoreExecution execution : List.of(executionOfA, executionOfB)) {
            FencedMember.ChoreExecution nextExecution =
                    member.awaitExecution(
                            executionsBefore,
                            candidate -> candidate.chore().equals(execution.chore()));
            assertThat(driverThatRan(nextExecution).name).isEqualTo("d1");
        }
        assertNoStaleOrRepeatedTurn();
    }

    @Test
    void clientOfAnotherFleetIsRefused() throws Exception {
        startCluster(1, 1);
        awaitFirstExecution("a");
        FleetConfig config = fleetConfig();
        FleetConfig otherFleet =
                new FleetConfig(
                        "another",
                        config.driver(),
                        null,
                        config.voterAddresses(),
                        config.stateFolder(),
                        config.lease(),
                        List.of(),
                        null);
        assertThatThrownBy(() -> new FleetClient(otherFleet, "d1"))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("this is fleet 'rig'");
        assertNoStaleOrRepeatedTurn();
    }

    private FleetConfig fleetConfig() throws IOException {
        return OperatorFile.read(cluster.driver("d1").operatorFile()).file().fleet();
    }

    private Map<String, Object> dutyStatus(String name) throws IOException {
        Map<String, Object> status = fleetStatus();
        for (Object duty : (List<?>) status.get("duties")) {
            if (((Map<?, ?>) duty).get("name").equals(name)) {
                return wingroad.protocol.Json.object(duty, "a duty");
            }
        }
        throw new AssertionError("no duty " + name + " in " + status);
    }

    private Map<String, Object> fleetStatus() throws IOException {
        IOException lastFailure = null;
        for (String voter : fleetConfig().voterAddresses().keySet()) {
            try (FleetClient client = new FleetClient(fleetConfig(), voter)) {
                return client.status();
            } catch (IOException failure) {
                lastFailure = failure;
            }
        }
        throw lastFailure;
    }

    /**
     * Waits until the consensus group has these voters and the new voter's membership is committed.
     */
    private void awaitVoterSet(List<String> voters, String newcomer) throws Exception {
        for (TestCluster.DriverProcess driver : cluster.drivers.values()) {
            if (!driver.name.equals(newcomer)) {
                for (int i = 0; i < 4000 && driver.isAlive(); i++) {
                    if (driver.log().stream()
                                    .anyMatch(
                                            line ->
                                                    line.contains("voters: " + newcomer + "/")
                                                            && line.contains(" committed"))
                            && fleetStatus().get("voters").equals(voters)) {
                        return;
                    }
                    if (i > 100) {
                        break;
                    }
                    TimeUnit.MILLISECONDS.sleep(50);
                }
            }
        }
        throw new AssertionError("the voters did not become as expected: " + fleetStatus());
    }

    private static String asText(ByteBuffer bytes) {
        return StandardCharsets.ISO_8859_1.decode(bytes).toString();
    }
}
