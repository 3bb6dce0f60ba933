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

/** Machines taken out by several real processes, with faults between them. */
@Execution(ExecutionMode.CONCURRENT)
class WorkIT {
    private static final String RULES =
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

    /** The same with a txn type that may take a quarter of a minute. */
    private static final String LONG =
            SETTINGS.replace(
                            "\"grades\":[",
                            "\"grades\":[{\"name\":\"long\",\"aim\":15000,"
                                + "\"deadline\":20000,\"semantics\":\"repeatable\",\"worth\":1,\"window\":5000},")
                    .replace("\"consistency\":[", "\"consistency\":[\"recent\",")
                    .replace("\"oldest-data\":[", "\"oldest-data\":[1500,");

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path dir;

    private TestCluster rig;
    private FencedMember m1;
    private FencedMember m2;
    private FencedMember m3;
    private ClientLoad load;

    private void start(String rules) throws Exception {
        start(rules, SETTINGS);
    }

    private void start(String rules, String settings) throws Exception {
        rig = new TestCluster(dir, 4, 3, rules, settings);
        m1 = rig.addMember("m1", 7, true, true);
        m2 = rig.addMember("m2", 7, false, true);
        m3 = rig.addMember("m3", 7, false, true);
        rig.addMember("m2b", 7, false, true);
        rig.membersUnknownAtStart.add("m2b");
        rig.startAll();
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            d.awaitLog("work: the plan is known");
        }
        load = new ClientLoad(rig, List.of(7), 10);
        awaitMachines();
    }

    @AfterEach
    void end() throws Exception {
        if (load != null) {
            load.close();
        }
        rig.close();
    }

    private FleetConfig rules() throws IOException {
        return OperatorFile.read(rig.driver("d1").operatorFile()).file().fleet();
    }

    private interface Talk<T> {
        T with(FleetClient c) throws IOException;
    }

    private <T> T ask(Talk<T> what) throws IOException {
        IOException last = null;
        long end = System.nanoTime() + 40_000_000_000L;
        while (System.nanoTime() < end) {
            for (String v : rules().voterAddresses().keySet()) {
                try (FleetClient c = new FleetClient(rules(), v)) {
                    return what.with(c);
                } catch (IOException e) {
                    last = e;
                }
            }
        }
        throw last;
    }

    private String want(String machine) throws IOException {
        String id = UUID.randomUUID().toString();
        return ask(c -> c.requestMaintenance(machine, "kernel", 0, 0, List.of(), id));
    }

    private String wantAs(
            String machine, String why, long forMs, long before, List<String> after, String id)
            throws IOException {
        return ask(c -> c.requestMaintenance(machine, why, forMs, before, after, id));
    }

    private String word(String word, String machine) throws IOException {
        String id = UUID.randomUUID().toString();
        return ask(c -> c.sendOperatorCommand(word, machine, id));
    }

    private Map<?, ?> work() throws IOException {
        return (Map<?, ?>) ask(FleetClient::status).get("work");
    }

    /** The machines are settled once somebody conducts. */
    private void awaitMachines() throws Exception {
        awaitWork(w -> !((List<?>) w.get("machines")).isEmpty());
    }

    private interface Wanted {
        boolean in(Map<?, ?> work);
    }

    private Map<?, ?> awaitWork(Wanted what) throws Exception {
        long end = System.nanoTime() + 40_000_000_000L;
        while (true) {
            Map<?, ?> w = work();
            if (w != null && what.in(w)) {
                return w;
            }
            if (System.nanoTime() > end) {
                throw new AssertionError("the plan never came to that: " + w);
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private static boolean astray(Map<?, ?> work, String driver) {
        return ((List<?>) work.get("astray"))
                .stream().anyMatch(a -> a.toString().startsWith(driver + "/"));
    }

    private static boolean at(Map<?, ?> work, String machine, String stage) {
        return entry(work, machine)
                .map(e -> stage.equals(e.get("stage")))
                .orElse(stage.equals("in"));
    }

    private static java.util.Optional<Map<?, ?>> entry(Map<?, ?> work, String machine) {
        for (Object o : (List<?>) work.get("entries")) {
            if (machine.equals(((Map<?, ?>) o).get("machine"))) {
                return java.util.Optional.of((Map<?, ?>) o);
            }
        }
        return java.util.Optional.empty();
    }

    private void awaitStage(String machine, String stage) throws Exception {
        awaitWork(w -> at(w, machine, stage));
    }

    /** Nothing of a client has come to the member since then, though clients were served. */
    private static void nothingSince(FencedMember m, long when) {
        assertThat(m.txns())
                .as("txns at " + m.uid + " after it was told to be out")
                .noneMatch(t -> t.receivedAtMs() > when);
    }

    /** So many txns more are served. */
    private void serve(int more) throws Exception {
        long from = load.committed.get();
        long end = System.nanoTime() + 40_000_000_000L;
        while (load.committed.get() < from + more) {
            assertThat(System.nanoTime())
                    .as("served " + (load.committed.get() - from))
                    .isLessThan(end);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @Test
    void aMachineIsTakenOutAndBroughtBackWhileClientsAreServed() throws Exception {
        start(RULES);
        assertThat(want("B")).isEmpty();
        awaitStage("B", "out");
        long out = System.currentTimeMillis();
        serve(300);
        nothingSince(m2, out);
        assertThat(m1.txns().size() + m3.txns().size()).isGreaterThan(100);
        int before = m2.txns().size();
        assertThat(word("done", "B")).isEmpty();
        awaitStage("B", "returning");
        awaitStage("B", "in");
        // It is asked for txns again, once the module has proof of its position.
        m2.awaitTxns(before + 1);
        assertThat(load.lost.get()).isZero();
        assertThat(load.committedShare()).isGreaterThan(0.99);
    }

    /** The epoch of the conductor's duty, whoever has it; 0 while nobody does. */
    private long conducts() throws IOException {
        for (Object o : (List<?>) ask(FleetClient::status).get("duties")) {
            Map<?, ?> d = (Map<?, ?>) o;
            if (d.get("name").equals("conductor") && !d.get("owner").equals("")) {
                return ((Number) d.get("epoch")).longValue();
            }
        }
        return 0;
    }

    private TestCluster.DriverProcess conductor() throws Exception {
        long end = System.nanoTime() + 40_000_000_000L;
        while (System.nanoTime() < end) {
            for (Object o : (List<?>) ask(FleetClient::status).get("duties")) {
                Map<?, ?> d = (Map<?, ?>) o;
                if (d.get("name").equals("conductor") && !d.get("owner").equals("")) {
                    return rig.driver((String) d.get("owner"));
                }
            }
        }
        throw new AssertionError("nobody conducts");
    }

    @Test
    void aConductorThatIsStoppedBeforeItTellsOutIsLateAndRefused() throws Exception {
        start(RULES.replace("lease-ms 3000", "lease-ms 9000").replace("driver \"d4\";", ""));
        TestCluster.DriverProcess first = conductor();
        BlockingQueue<Object> held = new LinkedBlockingQueue<>();
        for (String v : rig.voters()) {
            // Its own voter is reached by a link as well: what it says goes through the rig in any
            // case.
            rig.proxy
                    .linkBetween(first.name, v)
                    .setInterceptor(
                            (link, way, bytes, connection) -> {
                                String text = StandardCharsets.ISO_8859_1.decode(bytes).toString();
                                return way == FaultProxy.Direction.FORWARD
                                        && text.contains("WORK_STEP")
                                        && text.contains("OUT")
                                        && held.isEmpty()
                                        && held.add(connection);
                            });
        }
        load.excludedDrivers.add(first.name);
        assertThat(want("B")).isEmpty();
        Object order = held.poll(30, TimeUnit.SECONDS);
        assertThat(order).as("its order").isNotNull();
        long epoch = conducts();
        // A voter lets go of a connection that is silent for a lease: the successor has to be there
        // before.
        first.kill();
        first.start();
        while (conducts() <= epoch) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        rig.proxy.release(order);
        awaitWork(w -> ((Number) w.get("late-orders")).longValue() > 0);
        awaitStage("B", "out");
        long out = System.currentTimeMillis();
        serve(100);
        nothingSince(m2, out);
        assertThat(word("done", "B")).isEmpty();
        awaitStage("B", "in");
    }

    @Test
    void aConductorThatIsStoppedAndWakesUpLateStartsNothingAnew() throws Exception {
        start(RULES.replace("driver \"d4\";", ""));
        TestCluster.DriverProcess first = conductor();
        long epoch = conducts();
        load.excludedDrivers.add(first.name);
        assertThat(want("B")).isEmpty();
        first.awaitLog("work: B planned");
        first.pause();
        awaitStage("B", "out");
        assertThat(conducts()).isGreaterThan(epoch);
        assertThat(word("done", "B")).isEmpty();
        awaitStage("B", "in");
        int from = first.logLineCount();
        first.resume();
        first.awaitLog(from, l -> l.contains("work: the plan is known"));
        load.excludedDrivers.remove(first.name);
        int before = m2.txns().size();
        m2.awaitTxns(before + 1);
        assertThat(at(work(), "B", "in")).as("where the late one has left it").isTrue();
    }

    @Test
    void oneCutOffBehindItsWordLeavesTheMachineAloneAndServesOn() throws Exception {
        start(RULES);
        TestCluster.DriverProcess cut =
                rig.driver("d2").name.equals(conductor().name)
                        ? rig.driver("d3")
                        : rig.driver("d2");
        // The plan is known there, and then the wire is cut: what drains has to wait for its view
        // to end.
        assertThat(want("B")).isEmpty();
        int from = cut.logLineCount();
        awaitWork(w -> !at(w, "B", "asked") && !at(w, "B", "planned"));
        rig.partitionFromVoters(cut.name, true);
        awaitStage("B", "out");
        long out = System.currentTimeMillis();
        assertThat(cut.log().subList(from, cut.logLineCount()))
                .anyMatch(l -> l.contains("view of the plan has ended"));
        serve(200);
        nothingSince(m2, out);
        try (TestClient c = new TestClient(cut.port())) {
            c.sendStartup().readResponses();
            assertThat(c.query(Fixtures.readStatement("served")).readResponses())
                    .containsExactly("row value");
        }
        rig.partitionFromVoters(cut.name, false);
        cut.awaitLog(from, l -> l.contains("work: the plan is known"));
        serve(100);
        nothingSince(m2, out);
        assertThat(load.lost.get()).isZero();
    }

    @Test
    void oneCutOffBeforeItEverHeardIsWaitedFor() throws Exception {
        start(RULES);
        TestCluster.DriverProcess cut =
                rig.driver("d2").name.equals(conductor().name)
                        ? rig.driver("d3")
                        : rig.driver("d2");
        rig.partitionFromVoters(cut.name, true);
        cut.awaitLog("view of the plan has ended");
        awaitWork(w -> astray(w, cut.name));
        assertThat(want("B")).isEmpty();
        awaitWork(
                w ->
                        entry(w, "B")
                                .filter(
                                        e ->
                                                e.get("waits")
                                                        .toString()
                                                        .contains(
                                                                cut.name + " (without a session)"))
                                .isPresent());
        serve(200);
        assertThat(at(work(), "B", "planned")).isTrue();
        rig.partitionFromVoters(cut.name, false);
        awaitStage("B", "out");
        long out = System.currentTimeMillis();
        serve(100);
        nothingSince(m2, out);
    }

    @Test
    void oneThatIsKilledForGoodIsWaitedForUntilAnOperatorSaysSo() throws Exception {
        start(RULES);
        TestCluster.DriverProcess dead = rig.driver("d4");
        load.excludedDrivers.add("d4");
        dead.kill();
        awaitWork(w -> astray(w, "d4"));
        assertThat(want("C")).isEmpty();
        awaitWork(
                w ->
                        entry(w, "C")
                                .filter(
                                        e ->
                                                e.get("waits")
                                                        .toString()
                                                        .contains("d4 (without a session)"))
                                .isPresent());
        assertThat(word("gone", "d4")).isEmpty();
        awaitStage("C", "out");
        long out = System.currentTimeMillis();
        serve(100);
        nothingSince(m3, out);
        // It was not gone after all: it sends nothing before it has learned the plan.
        dead.start();
        dead.awaitLog("work: the plan is known");
        load.excludedDrivers.remove("d4");
        serve(200);
        nothingSince(m3, out);
    }

    @Test
    void withStrictViewsTheCouncilGoesOnAfterAHorizon() throws Exception {
        start(
                RULES.replace(
                        "watch 0.5", "watch 0.5\n                lost-view \"strict\" horizon=5"));
        TestCluster.DriverProcess cut =
                rig.driver("d2").name.equals(conductor().name)
                        ? rig.driver("d3")
                        : rig.driver("d2");
        load.excludedDrivers.add(cut.name);
        rig.partitionFromVoters(cut.name, true);
        cut.awaitLog("view of the plan has ended");
        assertThat(want("B")).isEmpty();
        awaitStage("B", "out");
        long out = System.currentTimeMillis();
        serve(100);
        nothingSince(m2, out);
        try (TestClient c = new TestClient(cut.port())) {
            c.sendStartup().readResponses();
            assertThat(c.query(Fixtures.readStatement("declined")).readResponses())
                    .doesNotContain("row value");
        }
        rig.partitionFromVoters(cut.name, false);
        cut.awaitLog("work: the plan is known");
    }

    /** Reads by d3 that stay at the members until they are let go; one at least is at m2. */
    private List<TestClient> slowReads() throws Exception {
        List<TestClient> slow = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            TestClient c = new TestClient(rig.driver("d3").port());
            slow.add(c);
            c.sendStartup().readResponses();
            c.query(Fixtures.readStatement("slow" + i).replace("c=look,d=3000", "c=long,d=20000"));
        }
        m2.awaitTxn("slow");
        return slow;
    }

    @Test
    void aLongTxnHoldsUpOutAndAWholeFleetThatIsKilledMeanwhileGoesOn() throws Exception {
        start(RULES, LONG);
        List<TestClient> slow = slowReads();
        assertThat(want("B")).isEmpty();
        awaitWork(
                w ->
                        entry(w, "B")
                                .filter(
                                        e ->
                                                e.get("waits")
                                                        .toString()
                                                        .contains("to be drained by: [d3]"))
                                .isPresent());
        serve(100);
        assertThat(at(work(), "B", "draining")).isTrue();
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            load.excludedDrivers.add(d.name);
            d.kill();
        }
        for (String name : List.of("d4", "d3", "d2", "d1")) {
            rig.driver(name).start();
        }
        awaitStage("B", "out");
        long out = System.currentTimeMillis();
        load.excludedDrivers.clear();
        serve(200);
        nothingSince(m2, out);
        for (TestClient c : slow) {
            c.close();
        }
        for (FencedMember m : List.of(m1, m2, m3)) {
            m.releaseSlowReads();
        }
    }

    @Test
    void twoOperatorsAtOnceNeverTakeTwoOfAGroup() throws Exception {
        start(RULES);
        List<String> answers =
                List.of("B", "C").parallelStream()
                        .map(
                                m -> {
                                    try {
                                        return want(m);
                                    } catch (IOException e) {
                                        return e.toString();
                                    }
                                })
                        .toList();
        assertThat(answers).containsOnly("");
        String one =
                awaitWork(w -> at(w, "B", "out") || at(w, "C", "out")) == null
                        ? ""
                        : at(work(), "B", "out") ? "B" : "C";
        String other = one.equals("B") ? "C" : "B";
        awaitWork(
                w ->
                        entry(w, other)
                                .filter(e -> e.get("waits").toString().startsWith("zone"))
                                .isPresent());
        serve(100);
        assertThat(at(work(), other, "asked")).isTrue();
        assertThat(word("done", one)).isEmpty();
        awaitStage(other, "out");
        assertThat(at(work(), one, "in")).isTrue();
        assertThat(load.committedShare()).isGreaterThan(0.99);
    }

    @Test
    void aMachineWithThePrimaryWaitsUntilItHasMovedAndEverybodyKnows() throws Exception {
        start(RULES);
        assertThat(want("A")).isEmpty();
        awaitWork(
                w ->
                        entry(w, "A")
                                .filter(
                                        e ->
                                                e.get("waits")
                                                        .toString()
                                                        .contains(
                                                                "the primary of group 7 is here: to"
                                                                        + " be moved to"))
                                .isPresent());
        serve(200);
        assertThat(at(work(), "A", "planned")).isTrue();
        m1.setPrimary(false);
        m3.setPrimary(true);
        awaitStage("A", "out");
        long out = System.currentTimeMillis();
        serve(200);
        nothingSince(m1, out);
        assertThat(word("done", "A")).isEmpty();
        awaitStage("A", "in");
        assertThat(load.lost.get()).isZero();
    }

    @Test
    void aReleaseThatRestartsAllWhileOneIsOutSendsNothingThere() throws Exception {
        // A driver lets clients in after a lease at the latest, and declines them where it knows no
        // plan by then; a read is declined
        // that can't be in time. Neither is what this is about, so that a slow machine must not
        // bring them about.
        start(
                RULES.replace("lease-ms 3000", "lease-ms 20000"),
                SETTINGS.replace("\"aim\":750", "\"aim\":3000"));
        assertThat(want("B")).isEmpty();
        awaitStage("B", "out");
        long out = System.currentTimeMillis();
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            load.excludedDrivers.add(d.name);
            d.terminate();
            d.awaitExit();
            d.start();
            // Clients come as soon as it listens: nobody is declined for a plan that is not known
            // yet.
            d.awaitLog(" serves ");
            load.excludedDrivers.remove(d.name);
        }
        serve(200);
        nothingSince(m2, out);
        assertThat(load.refused.get()).as(() -> load.firstRefusals + "\n" + rig.allLogs()).isZero();
        assertThat(at(work(), "B", "out")).isTrue();
        assertThat(word("done", "B")).isEmpty();
        awaitStage("B", "in");
        m2.awaitTxns(m2.txns().size() + 1);
    }

    @Test
    void aMemberThatFailsMeanwhilePutsBackWhatDrainsAndWantsBackWhatIsOut() throws Exception {
        start(RULES);
        assertThat(want("B")).isEmpty();
        awaitStage("B", "out");
        // Nothing else of its group may fail now: that is told at once, and nothing is begun.
        m3.close();
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            rig.proxy.linkBetween(d.name, "m3").setTargetPort(0);
            rig.proxy.disconnect(rig.proxy.linkBetween(d.name, "m3"));
        }
        awaitWork(
                w ->
                        entry(w, "B")
                                .filter(
                                        e ->
                                                e.get("waits")
                                                        .toString()
                                                        .contains(
                                                                "PAGE: wanted back: group 7: m3 is"
                                                                        + " not fit"))
                                .isPresent());
        assertThat(want("A")).isEmpty();
        assertThat(word("done", "B")).isEmpty();
        awaitStage("B", "in");
        serve(100);
        assertThat(at(work(), "A", "asked")).isTrue();
    }

    @Test
    void allIsHeldWithinASecondAndGoesOn() throws Exception {
        start(RULES, LONG);
        TestClient c = new TestClient(rig.driver("d1").port());
        c.sendStartup().readResponses();
        assertThat(want("B")).isEmpty();
        awaitWork(w -> !at(w, "B", "asked"));
        long at = System.nanoTime();
        assertThat(word("hold", "*")).isEmpty();
        assertThat(System.nanoTime() - at).isLessThan(1_000_000_000L);
        assertThat(work().get("held")).isEqualTo(true);
        // Out it was already, or it is put back; nothing lies between.
        assertThat(at(work(), "B", "asked") || at(work(), "B", "out")).isTrue();
        assertThat(word("go", "*")).isEmpty();
        awaitStage("B", "out");
        c.close();
    }

    @Test
    void whatCanNeverBeIsRefusedAtOnceWithTheReason() throws Exception {
        start(RULES);
        assertThat(want("Z")).isEqualTo("there is no machine 'Z'");
        assertThat(wantAs("B", "", 0, 1, List.of(), "early")).contains("has passed");
        assertThat(wantAs("B", "", 0, 0, List.of("B"), "self")).contains("comes after");
        assertThat(word("done", "B")).isEmpty();
        assertThat(word("cancel", "B")).contains("is not asked for");
        assertThat(wantAs("B", "", 1000, 0, List.of(), "same")).isEmpty();
        assertThat(wantAs("B", "", 1000, 0, List.of(), "same")).isEmpty();
        // Out for longer than was asked: told, not assumed to be back.
        awaitWork(
                w ->
                        entry(w, "B")
                                .filter(
                                        e ->
                                                e.get("waits")
                                                        .toString()
                                                        .contains("PAGE: out for longer than 1 s"))
                                .isPresent());
        assertThat(word("cancel", "B")).contains("brings it back");
    }

    @Test
    void aDriverOnAMachineThatDrainsHandsItsDutiesOver() throws Exception {
        start(
                RULES.replace("driver \"d4\";", "driver \"d1\"; driver \"d4\";")
                        .replace(
                                "member \"m3\" group=7; driver \"d1\";", "member \"m3\" group=7;"));
        assertThat(want("B")).isEmpty();
        awaitStage("B", "out");
        assertThat(List.of("d1", "d4")).doesNotContain(conductor().name);
        // One voter of three is away: a second one would leave no majority for the next fault.
        rig.driver("d2").awaitLog("work: B out");
        assertThat(word("done", "B")).isEmpty();
        awaitStage("B", "in");
    }

    @Test
    void discoveryAndThePlanMayDisagreeAndTheStrongerBinds() throws Exception {
        start(RULES);
        rig.publishMembers(Map.of("m2b", "gone"));
        assertThat(want("B")).isEmpty();
        awaitStage("B", "out");
        long out = System.currentTimeMillis();
        rig.publishMembers(Map.of("m2b", "gone"));
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            d.awaitLog("list 2 ");
        }
        serve(200);
        nothingSince(m2, out);
        // The plan has it back, and discovery says that it drains: it is not back before both say
        // so.
        rig.publishMembers(Map.of("m2b", "gone", "m2", "draining"));
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            d.awaitLog("list 3 ");
        }
        assertThat(word("done", "B")).isEmpty();
        awaitWork(
                w ->
                        entry(w, "B")
                                .filter(
                                        e ->
                                                e.get("waits")
                                                        .toString()
                                                        .contains("m2 has not answered"))
                                .isPresent());
        serve(100);
        nothingSince(m2, out);
        rig.publishMembers(Map.of("m2b", "gone"));
        awaitStage("B", "in");
        m2.awaitTxns(m2.txns().size() + 1);
    }

    @Test
    void aMachineThatComesBackUnderNewMemberIdsIsTheSameMachine() throws Exception {
        start(RULES);
        rig.publishMembers(Map.of("m2b", "gone"));
        FencedMember successor = rig.members.get("m2b");
        assertThat(want("B")).isEmpty();
        awaitStage("B", "out");
        // It is listed before anybody says that it is done: nothing goes there.
        rig.publishMembers(Map.of("m2", "gone"));
        for (TestCluster.DriverProcess d : rig.drivers.values()) {
            d.awaitLog("list 2 ");
        }
        serve(200);
        assertThat(successor.txns()).isEmpty();
        assertThat(word("done", "B")).isEmpty();
        awaitStage("B", "in");
        successor.awaitTxns(1);
    }

    @Test
    void thePrimaryDiesWhileAReplicasMachineDrainsWhichIsPutBackAndCanLead() throws Exception {
        start(RULES, LONG);
        List<TestClient> slow = slowReads();
        assertThat(want("B")).isEmpty();
        awaitStage("B", "draining");
        rig.setReachable(m1, false);
        awaitStage("B", "asked");
        awaitWork(
                w ->
                        entry(w, "B")
                                .filter(e -> e.get("waits").toString().contains("m1 is not fit"))
                                .isPresent());
        m1.setPrimary(false);
        m2.setPrimary(true);
        try (TestClient c = new TestClient(rig.driver("d1").port())) {
            c.sendStartup().readResponses();
            List<String> heard = List.of();
            for (int i = 0; i < 100 && !heard.contains("row value"); i++) {
                heard = c.query(Fixtures.writeStatement("lead" + i)).readResponses();
            }
            assertThat(heard).containsExactly("row value");
        }
        assertThat(m2.txns()).anyMatch(t -> t.id().startsWith("lead"));
        for (FencedMember m : List.of(m1, m2, m3)) {
            m.releaseSlowReads();
        }
        for (TestClient c : slow) {
            c.close();
        }
    }

    @Test
    void aFleetInHalvesGoesOnWhereTheMajorityIs() throws Exception {
        start(RULES);
        // B's own driver, d4, is on the small side, without a voter.
        TestCluster.DriverProcess small = rig.driver("d4");
        int from = small.logLineCount();
        assertThat(want("B")).isEmpty();
        small.awaitLog(from, l -> l.contains("work: B planned"));
        awaitWork(w -> !at(w, "B", "asked") && !at(w, "B", "planned"));
        rig.partitionFromVoters("d4", true);
        awaitStage("B", "out");
        long out = System.currentTimeMillis();
        serve(200);
        nothingSince(m2, out);
        rig.partitionFromVoters("d4", false);
        small.awaitLog(
                from, l -> l.contains("work: the plan is known") || l.contains("work: B out"));
        serve(100);
        nothingSince(m2, out);
        assertThat(word("done", "B")).isEmpty();
        awaitStage("B", "in");
    }

    /** What a call prints, and its exit status last. */
    private List<String> call(String... words) throws Exception {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "java",
                                "-Xshare:auto",
                                "-XX:TieredStopAtLevel=1",
                                "-jar",
                                "target/wingroad.jar",
                                "work"));
        command.addAll(List.of(words));
        command.addAll(List.of("--operator", rig.driver("d1").operatorFile().toString()));
        Process p = new ProcessBuilder(command).redirectErrorStream(true).start();
        List<String> lines = new ArrayList<>(p.inputReader().lines().toList());
        lines.add("exit " + p.waitFor());
        return lines;
    }

    @Test
    void operatorsAskByTheCommandLine() throws Exception {
        start(RULES);
        assertThat(call("ask", "B", "Z", "--for", "20m", "--why", "kernel"))
                .containsExactly("B: settled", "Z: refused: there is no machine 'Z'", "exit 1");
        awaitStage("B", "out");
        assertThat(call("plan"))
                .anyMatch(l -> l.matches(" +B +out +kernel; waits: work on it"))
                .contains("exit 0");
        assertThat(call("show", "B"))
                .anyMatch(l -> l.contains("members [m2*#7], drivers [d4]"))
                .anyMatch(l -> l.endsWith("B out: nothing of anybody's is there"));
        assertThat(call("done", "B", "--json"))
                .containsExactly("{\"machine\":\"B\",\"settled\":true,\"why\":\"\"}", "exit 0");
        awaitStage("B", "in");
        assertThat(call("hold")).contains("exit 2");
        assertThat(call("ask", "B", "--for", "soon")).contains("exit 2");
    }
}
