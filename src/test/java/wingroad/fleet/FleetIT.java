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

/** Several real processes of the packaged program, with faults between them. */
@Execution(ExecutionMode.CONCURRENT)
class FleetIT {
    private static final String RULES =
            """
                lease-ms 3000
                drift 0.02
                chore "a" every=0.5 group=7 statement="SELECT fenced_a({epoch})"
                chore "b" every=0.5 group=7 statement="SELECT fenced_b({epoch})"
            """;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path dir;

    private TestCluster rig;
    private FencedMember member;

    private void start(int drivers, int voters) throws Exception {
        rig = new TestCluster(dir, drivers, voters, RULES, Fixtures.SETTINGS_JSON);
        member = rig.addMember("m1", 7, true, true);
        rig.startAll();
    }

    @AfterEach
    void end() throws IOException {
        rig.close();
    }

    /** Who ran a chore under this epoch, by the logs. */
    private TestCluster.DriverProcess runner(FencedMember.ChoreExecution e)
            throws InterruptedException {
        String words =
                "fleet: chore " + e.chore() + " turn " + e.turn() + " epoch " + e.epoch() + ": ran";
        for (int i = 0; i < 4000; i++) {
            for (TestCluster.DriverProcess d : rig.drivers.values()) {
                if (d.log().stream().anyMatch(l -> l.contains(words))) {
                    return d;
                }
            }
            Thread.onSpinWait();
            TimeUnit.MILLISECONDS.sleep(5);
        }
        throw new AssertionError("nobody says: " + words);
    }

    /** The next entry of the chore under a higher epoch. */
    private FencedMember.ChoreExecution successor(FencedMember.ChoreExecution of)
            throws InterruptedException {
        return member.awaitExecution(
                0, e -> e.chore().equals(of.chore()) && e.epoch() > of.epoch());
    }

    private FencedMember.ChoreExecution first(String chore) throws InterruptedException {
        return member.awaitExecution(0, e -> e.chore().equals(chore));
    }

    private void nothingWrong() {
        assertThat(member.repeatedTurns()).as("turns run twice").isZero();
        assertThat(member.executions()).noneMatch(e -> e.staleEpoch() && e.accepted());
    }

    @Test
    void oneDriverRunsAChoreAndAPlannedStopHandsItOver() throws Exception {
        start(4, 3);
        FencedMember.ChoreExecution e = first("a");
        TestCluster.DriverProcess owner = runner(e);
        owner.terminate();
        FencedMember.ChoreExecution next = successor(e);
        assertThat(runner(next)).isNotSameAs(owner);
        owner.awaitExit();
        owner.awaitLog("fleet: left after");
        Map<String, Object> duty = duty("chore a");
        assertThat((List<?>) duty.get("history"))
                .anyMatch(h -> h.toString().endsWith("epoch " + e.epoch() + ": left"));
        nothingWrong();
    }

    @Test
    void anOwnerStoppedBeforeItsEffectWakesUpAndIsRefused() throws Exception {
        start(4, 3);
        FencedMember.ChoreExecution e = first("a");
        TestCluster.DriverProcess owner = runner(e);
        BlockingQueue<Object> held = new LinkedBlockingQueue<>();
        rig.proxy
                .linkBetween(owner.name, "m1")
                .setInterceptor(
                        (link, way, bytes, connection) ->
                                way == FaultProxy.Direction.FORWARD
                                        && text(bytes).contains("fenced_a")
                                        && held.isEmpty()
                                        && held.add(connection));
        Object connection = held.poll(20, TimeUnit.SECONDS);
        assertThat(connection).as("the owner's next statement").isNotNull();
        owner.pause();
        FencedMember.ChoreExecution next = successor(e);
        int seen = member.executionCount();
        rig.proxy.release(connection);
        owner.resume();
        FencedMember.ChoreExecution late =
                member.awaitExecution(seen, x -> x.chore().equals("a") && x.epoch() < next.epoch());
        assertThat(late.accepted()).isFalse();
        owner.awaitLog(
                0,
                l ->
                        l.contains("has expired; its duties are suspended")
                                || l.contains("the consensus group has ended"));
        nothingWrong();
    }

    @Test
    void anOwnerThatIsCutOffStopsByItselfAndServesOn() throws Exception {
        start(5, 3);
        FencedMember.ChoreExecution e = first("b");
        TestCluster.DriverProcess owner = runner(e);
        int from = owner.logLineCount();
        rig.partitionFromVoters(owner.name, true);
        owner.awaitLog(from, l -> l.contains("has expired; its duties are suspended"));
        FencedMember.ChoreExecution next = successor(e);
        assertThat(runner(next)).isNotSameAs(owner);
        try (TestClient c = new TestClient(owner.port())) {
            c.sendStartup().readResponses();
            assertThat(c.query(Fixtures.readStatement("served")).readResponses())
                    .containsExactly("row value");
        }
        rig.partitionFromVoters(owner.name, false);
        owner.awaitLog(from, l -> l.contains("lease of") && l.contains("is valid"));
        nothingWrong();
    }

    @Test
    void oneThatHearsNothingButIsHeardLosesItsDutiesToo() throws Exception {
        start(4, 3);
        FencedMember.ChoreExecution e = first("a");
        TestCluster.DriverProcess owner = runner(e);
        int from = owner.logLineCount();
        rig.partitionOneWay(owner.name, false, true);
        owner.awaitLog(from, l -> l.contains("has expired; its duties are suspended"));
        // Guards against a session that is renewed by an owner that does not hear of it: its duties
        // stood still meanwhile.
        assertThat(runner(successor(e))).isNotSameAs(owner);
        rig.partitionOneWay(owner.name, false, false);
        owner.awaitLog(from, l -> l.contains("lease of") && l.contains("is valid"));
        member.awaitExecution(member.executionCount(), x -> x.chore().equals("a"));
        nothingWrong();
    }

    @Test
    void allKilledAtOnceAndStartedInAnotherOrderGoOnUnderHigherEpochs() throws Exception {
        start(4, 3);
        FencedMember.ChoreExecution a = first("a");
        first("b");
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            d.kill();
        }
        int seen = member.executionCount();
        for (String name : List.of("d3", "d4", "d1", "d2")) {
            rig.driver(name).start();
        }
        FencedMember.ChoreExecution again = member.awaitExecution(seen, x -> x.chore().equals("a"));
        assertThat(again.epoch()).isGreaterThan(a.epoch());
        assertThat(again.turn()).isGreaterThan(a.turn());
        assertThat(again.accepted()).isTrue();
        nothingWrong();
    }

    @Test
    void aVoterThatLostItsStateIsANewcomerAndIsLetInAgain() throws Exception {
        start(4, 3);
        first("a");
        TestCluster.DriverProcess lost = rig.driver("d2");
        lost.kill();
        lost.deleteState();
        lost.start();
        lost.awaitLog("is not in a consensus group yet");
        lost.awaitLog("joined consensus group");
        awaitVoters(List.of("d1", "d2", "d3"), "d2");
        nothingWrong();
    }

    @Test
    void aBrokenStateFileIsSetAsideAndNamed() throws Exception {
        start(4, 3);
        first("a");
        TestCluster.DriverProcess d = rig.driver("d3");
        d.kill();
        byte[] rubbish =
                "no database at all, but long enough to be taken for one by whoever reads it"
                        .getBytes(StandardCharsets.UTF_8);
        // What stands in its write-ahead log would mend it.
        Files.deleteIfExists(d.stateDirectory().resolve("council.db-wal"));
        Files.write(d.stateDirectory().resolve("council.db"), rubbish);
        d.start();
        d.awaitLog("state set aside as aside-1-council.db");
        assertThat(Files.readAllBytes(d.stateDirectory().resolve("aside-1-council.db")))
                .isEqualTo(rubbish);
        awaitVoters(List.of("d1", "d2", "d3"), "d3");
        nothingWrong();
    }

    @Test
    void withoutAMajorityNobodyGainsADutyAndClientsAreServedOn() throws Exception {
        start(4, 3);
        first("a");
        TestCluster.DriverProcess left = rig.driver("d4");
        left.awaitLog("lease of d4/");
        rig.driver("d1").kill();
        rig.driver("d2").kill();
        left.awaitLog("has expired; its duties are suspended");
        int seen = member.executionCount();
        try (TestClient c = new TestClient(left.port())) {
            c.sendStartup().readResponses();
            assertThat(c.query(Fixtures.writeStatement("w")).readResponses())
                    .containsExactly("row value");
        }
        assertThat(member.executionCount()).as("chores begun without a majority").isEqualTo(seen);
        rig.driver("d2").start();
        member.awaitExecution(seen, x -> x.chore().equals("a") && x.accepted());
        nothingWrong();
    }

    @Test
    void oneDriverAsksDiscoveryAndTheOthersGoByItUntilItIsGone() throws Exception {
        rig = new TestCluster(dir, 4, 3, RULES + "    list check=600\n", Fixtures.SETTINGS_JSON);
        member = rig.addMember("m1", 7, true, true);
        FencedMember replica = rig.addMember("m2", 7, false, true);
        rig.startAll();
        String fit = rig.discoveryEntry("d1", member, "ready");
        rig.discovery.publish(fit + "," + rig.discoveryEntry("d1", replica, "ready"));
        awaitShared(3);
        TestCluster.DriverProcess owner = rig.driver(String.valueOf(duty("list").get("owner")));
        List<TestCluster.DriverProcess> by = awaitFollowers(3);
        while (by.contains(owner)) {
            // It has become the owner just now, and the one before it does not go by it yet.
            by = awaitFollowers(3);
        }
        int asked = rig.discovery.requestedVersions.size();
        rig.discovery.publish(fit + "," + rig.discoveryEntry("d1", replica, "draining"));
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            d.awaitLog(0, l -> l.contains("list 2 "));
        }
        // The owner's next watch, and perhaps one that was being given up.
        assertThat(rig.discovery.requestedVersions.size() - asked).isLessThan(4);
        Map<TestCluster.DriverProcess, Integer> from = new java.util.HashMap<>();
        by.forEach(d -> from.put(d, d.logLineCount()));
        // Without a council there is no other owner, however soon: each has to notice the silence
        // by itself.
        for (TestCluster.DriverProcess d : by) {
            rig.partitionFromVoters(d.name, true);
        }
        owner.kill();
        for (TestCluster.DriverProcess d : by) {
            d.awaitLog(from.get(d), l -> l.contains("list: watches discovery itself"));
        }
        rig.discovery.publish(fit);
        for (TestCluster.DriverProcess d : by) {
            d.awaitLog(0, l -> l.contains("list 3 "));
        }
        for (TestCluster.DriverProcess d : by) {
            rig.partitionFromVoters(d.name, false);
        }
        assertThat(awaitFollowers(2)).doesNotContain(owner);
        nothingWrong();
    }

    /**
     * Guards against an owner that does not know of a list that came before its fleet's part had
     * begun: nobody went by it.
     */
    @Test
    void aListThatComesBeforeTheFleetHasBegunIsKnownToItsOwner() throws Exception {
        rig = new TestCluster(dir, 4, 3, RULES + "    list check=600\n", Fixtures.SETTINGS_JSON);
        member = rig.addMember("m1", 7, true, true);
        rig.discovery.publish(rig.discoveryEntry("d1", member, "ready"));
        rig.startAll();
        awaitFollowers(3);
    }

    /**
     * Waits until all have a session and no duty has to move any more, as some do while the first
     * sessions come.
     */
    private void awaitShared(int duties) throws Exception {
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            d.awaitLog("lease of " + d.name + "/");
        }
        for (int i = 0; i < 800; i++) {
            List<?> all = (List<?>) status().get("duties");
            Map<Object, Integer> has = new java.util.HashMap<>();
            all.forEach(o -> has.merge(((Map<?, ?>) o).get("owner"), 1, Integer::sum));
            // One more than an even share is let be.
            if (all.size() == duties
                    && !has.containsKey("")
                    && has.values().stream().allMatch(n -> n <= 2)
                    && all.stream().allMatch(o -> ((Map<?, ?>) o).get("wanted").equals(""))) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new AssertionError("the duties are never shared out: " + status());
    }

    /** Waits until so many drivers that live go by the owner of the list. */
    private List<TestCluster.DriverProcess> awaitFollowers(int count) throws InterruptedException {
        for (int i = 0; i < 400; i++) {
            List<TestCluster.DriverProcess> by =
                    rig.drivers.values().stream()
                            .filter(TestCluster.DriverProcess::isAlive)
                            .filter(
                                    d ->
                                            d.log().stream()
                                                    .filter(l -> l.contains("list: "))
                                                    .reduce((a, b) -> b)
                                                    .filter(l -> l.contains("follows the owner"))
                                                    .isPresent())
                            .toList();
            if (by.size() == count) {
                return by;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new AssertionError("never " + count + " that go by the owner");
    }

    @Test
    void votersAreLetInAndTakenOutOneAtATime() throws Exception {
        rig = new TestCluster(dir, 4, 3, RULES, Fixtures.SETTINGS_JSON);
        member = rig.addMember("m1", 7, true, true);
        String at = rig.addSpareVoter("d4");
        rig.startAll();
        first("a");
        try (FleetClient c = new FleetClient(rules(), "d1")) {
            assertThat(c.changeVoter("d4", at, "q1")).isEmpty();
            assertThat(c.changeVoter("d3", "", "q2")).contains("one at a time");
        }
        awaitVoters(List.of("d1", "d2", "d3", "d4"), "d4");
        try (FleetClient c = new FleetClient(rules(), "d1")) {
            assertThat(c.changeVoter("d3", "", "q3")).isEmpty();
        }
        rig.driver("d3").awaitLog("has been removed from the consensus group");
        assertThat(rig.driver("d3").awaitLog("state set aside")).isNotNull();
        // The new one counts: with d1 away d2 and d4 are a majority of three.
        rig.driver("d1").kill();
        int seen = member.executionCount();
        member.awaitExecution(seen + 6, e -> e.accepted());
        nothingWrong();
    }

    @Test
    void aVoterThatCannotWriteVotesNoMoreAndServesOn() throws Exception {
        rig = new TestCluster(dir, 4, 3, RULES, Fixtures.SETTINGS_JSON);
        member = rig.addMember("m1", 7, true, true);
        TestCluster.DriverProcess full = rig.driver("d2");
        // Room for the database's own library, which is unpacked into a file, and for some seconds
        // of its log.
        full.maxFileSizeKb = 1500;
        rig.startAll();
        first("a");
        full.awaitLog("cannot write its state and no longer votes");
        try (TestClient c = new TestClient(full.port())) {
            c.sendStartup().readResponses();
            assertThat(c.query(Fixtures.readStatement("served")).readResponses())
                    .containsExactly("row value");
        }
        int seen = member.executionCount();
        member.awaitExecution(seen + 6, FencedMember.ChoreExecution::accepted);
        nothingWrong();
    }

    @Test
    void linksThatFlapNeitherLoseADutyNorGiveItTwice() throws Exception {
        start(4, 3);
        first("a");
        first("b");
        int seen = member.executionCount();
        for (int i = 0; i < 24; i++) {
            String name = "d" + (i % 4 + 1);
            boolean both = i % 3 == 0;
            if (both) {
                rig.partitionFromVoters(name, true);
            } else {
                rig.partitionOneWay(name, i % 3 == 1, true);
            }
            // Each cut lasts as long as it takes until somebody's next chore has come.
            member.awaitExecution(member.executionCount(), FencedMember.ChoreExecution::accepted);
            rig.partitionFromVoters(name, false);
        }
        member.awaitExecution(member.executionCount(), e -> e.chore().equals("a") && e.accepted());
        member.awaitExecution(member.executionCount(), e -> e.chore().equals("b") && e.accepted());
        assertThat(member.executionCount()).isGreaterThan(seen + 24);
        nothingWrong();
    }

    @Test
    void aLeaderWhoseDiskIsSlowLeadsOnOrIsReplacedAndOneWhoseDiskHangsVotesNoMore()
            throws Exception {
        start(4, 3);
        first("a");
        TestCluster.DriverProcess leader = rig.driver(String.valueOf(status().get("leader")));
        try (SlowDisk disk = new SlowDisk(leader.stateDirectory().resolve("council.db"))) {
            disk.delayWrites(300);
            int seen = member.executionCount();
            member.awaitExecution(seen + 8, FencedMember.ChoreExecution::accepted);
            // A write that does not come to an end within the store's patience is a broken disk.
            disk.blockWrites();
            leader.awaitLog("cannot write its state and no longer votes");
            try (TestClient c = new TestClient(leader.port())) {
                c.sendStartup().readResponses();
                assertThat(c.query(Fixtures.readStatement("served")).readResponses())
                        .containsExactly("row value");
            }
            member.awaitExecution(
                    member.executionCount() + 4, FencedMember.ChoreExecution::accepted);
        }
        int from = leader.logLineCount();
        leader.awaitLog(from, l -> l.contains("joined consensus group"));
        nothingWrong();
    }

    @Test
    void aFolderThatIsNoneKeepsADriverOutOfTheFleetAlone() throws Exception {
        rig = new TestCluster(dir, 4, 3, RULES, Fixtures.SETTINGS_JSON);
        member = rig.addMember("m1", 7, true, true);
        TestCluster.DriverProcess without = rig.driver("d4");
        Files.writeString(without.stateDirectory(), "a file");
        rig.startAll();
        without.awaitLog("start failed, retrying");
        try (TestClient c = new TestClient(without.port())) {
            c.sendStartup().readResponses();
            assertThat(c.query(Fixtures.readStatement("served")).readResponses())
                    .containsExactly("row value");
        }
        Files.delete(without.stateDirectory());
        without.awaitLog("lease of d4/");
        nothingWrong();
    }

    @Test
    void aSecondProcessOfANameIsRefused() throws Exception {
        rig = new TestCluster(dir, 5, 3, RULES, Fixtures.SETTINGS_JSON);
        member = rig.addMember("m1", 7, true, true);
        for (String name : List.of("d1", "d2", "d3", "d4")) {
            rig.driver(name).start();
        }
        rig.driver("d4").awaitLog("lease of d4/");
        rig.driver("d5").fleetName = "d4";
        rig.driver("d5").start();
        rig.driver("d5").awaitLog("no session: another driver is known by the name 'd4'");
        // Once the first is gone and its lease has run out, the name is free.
        rig.driver("d4").kill();
        rig.driver("d5").awaitLog("lease of d4/");
        nothingWrong();
    }

    @Test
    void whileAnotherVoterIsDownOneWithoutStateIsNotLetIn() throws Exception {
        start(4, 3);
        FencedMember.ChoreExecution e = first("a");
        // A lease can run out only where there has been one.
        rig.driver("d1").awaitLog("lease of d1/");
        rig.driver("d4").awaitLog("lease of d4/");
        rig.driver("d2").kill();
        rig.driver("d3").kill();
        rig.driver("d3").deleteState();
        rig.driver("d3").start();
        rig.driver("d4").awaitLog("has expired; its duties are suspended");
        rig.driver("d1").awaitLog("has expired; its duties are suspended");
        assertThat(rig.driver("d3").log()).noneMatch(l -> l.contains("joined consensus group"));
        int seen = member.executionCount();
        rig.driver("d2").start();
        FencedMember.ChoreExecution again =
                member.awaitExecution(seen, x -> x.chore().equals("a") && x.accepted());
        assertThat(again.epoch()).isGreaterThanOrEqualTo(e.epoch());
        rig.driver("d3").awaitLog("joined consensus group");
        awaitVoters(List.of("d1", "d2", "d3"), "d3");
        nothingWrong();
    }

    @Test
    void aReleaseThatRestartsAllInTurnRunsNoTurnTwice() throws Exception {
        start(4, 3);
        first("a");
        first("b");
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            d.terminate();
            d.awaitExit();
            d.start();
            d.awaitLog("lease of");
        }
        int seen = member.executionCount();
        member.awaitExecution(seen, x -> x.chore().equals("a") && x.accepted());
        member.awaitExecution(seen, x -> x.chore().equals("b") && x.accepted());
        nothingWrong();
    }

    @Test
    void aStatementBrokenOffInItsMiddleIsNotRepeated() throws Exception {
        start(4, 3);
        FencedMember.ChoreExecution e = first("a");
        TestCluster.DriverProcess owner = runner(e);
        FaultProxy.Link link = rig.proxy.linkBetween(owner.name, "m1");
        BlockingQueue<Object> held = new LinkedBlockingQueue<>();
        link.setInterceptor(
                (l, way, bytes, connection) ->
                        way == FaultProxy.Direction.FORWARD
                                && text(bytes).contains("fenced_a")
                                && held.isEmpty()
                                && held.add(connection));
        assertThat(held.poll(20, TimeUnit.SECONDS)).as("the owner's next statement").isNotNull();
        int from = owner.logLineCount();
        rig.proxy.disconnect(link);
        String told =
                owner.awaitLog(
                        from,
                        l ->
                                l.contains("fleet: chore a turn")
                                        && l.contains("refused or broken off"));
        long turn = Long.parseLong(told.replaceAll(".* turn ([0-9]+) .*", "$1"));
        FencedMember.ChoreExecution next =
                member.awaitExecution(0, x -> x.chore().equals("a") && x.turn() > turn);
        assertThat(member.executions()).noneMatch(x -> x.chore().equals("a") && x.turn() == turn);
        assertThat(next.accepted()).isTrue();
        nothingWrong();
    }

    @Test
    void oneVoterAndOneMoreAreAFleetOfTwo() throws Exception {
        start(2, 1);
        FencedMember.ChoreExecution a = first("a");
        FencedMember.ChoreExecution b = first("b");
        rig.driver("d2").kill();
        int seen = member.executionCount();
        member.awaitExecution(seen + 8, x -> x.accepted());
        for (FencedMember.ChoreExecution e : List.of(a, b)) {
            FencedMember.ChoreExecution next =
                    member.awaitExecution(seen, x -> x.chore().equals(e.chore()));
            assertThat(runner(next).name).isEqualTo("d1");
        }
        nothingWrong();
    }

    @Test
    void anotherFleetIsRefused() throws Exception {
        start(1, 1);
        first("a");
        FleetConfig own = rules();
        FleetConfig other =
                new FleetConfig(
                        "another",
                        own.driver(),
                        null,
                        own.voterAddresses(),
                        own.stateFolder(),
                        own.lease(),
                        List.of(),
                        null);
        assertThatThrownBy(() -> new FleetClient(other, "d1"))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("this is fleet 'rig'");
        nothingWrong();
    }

    private FleetConfig rules() throws IOException {
        return OperatorFile.read(rig.driver("d1").operatorFile()).file().fleet();
    }

    private Map<String, Object> duty(String name) throws IOException {
        Map<String, Object> status = status();
        for (Object o : (List<?>) status.get("duties")) {
            if (((Map<?, ?>) o).get("name").equals(name)) {
                return wingroad.protocol.Json.object(o, "a duty");
            }
        }
        throw new AssertionError("no " + name + " in " + status);
    }

    private Map<String, Object> status() throws IOException {
        IOException last = null;
        for (String v : rules().voterAddresses().keySet()) {
            try (FleetClient c = new FleetClient(rules(), v)) {
                return c.status();
            } catch (IOException e) {
                last = e;
            }
        }
        throw last;
    }

    /** Waits until the council has these voters and this one's place is settled. */
    private void awaitVoters(List<String> voters, String newcomer) throws Exception {
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            if (!d.name.equals(newcomer)) {
                for (int i = 0; i < 4000 && d.isAlive(); i++) {
                    if (d.log().stream()
                                    .anyMatch(
                                            l ->
                                                    l.contains("voters: " + newcomer + "/")
                                                            && l.contains(" committed"))
                            && status().get("voters").equals(voters)) {
                        return;
                    }
                    if (i > 100) {
                        break;
                    }
                    TimeUnit.MILLISECONDS.sleep(50);
                }
            }
        }
        throw new AssertionError("not let in: " + status());
    }

    private static String text(ByteBuffer bytes) {
        return StandardCharsets.ISO_8859_1.decode(bytes).toString();
    }
}
