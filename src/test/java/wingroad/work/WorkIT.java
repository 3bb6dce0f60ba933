package wingroad.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import wingroad.Given;
import wingroad.fleet.FleetClient;
import wingroad.fleet.FleetRules;
import wingroad.operator.OperatorFile;
import wingroad.rig.FencedMember;
import wingroad.rig.Load;
import wingroad.rig.Rig;

/** Machines taken out by several real processes, with faults between them. */
@Execution(ExecutionMode.CONCURRENT)
class WorkIT {
    private static final String RULES = """
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
    private static final String SETTINGS = Given.SETTINGS.replace("\"cold\":16000", "\"cold\":1000");

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path dir;

    private Rig rig;
    private FencedMember m1;
    private FencedMember m2;
    private FencedMember m3;
    private Load load;

    private void start(String rules) throws Exception {
        rig = new Rig(dir, 4, 3, rules, SETTINGS);
        m1 = rig.member("m1", 7, true, true);
        m2 = rig.member("m2", 7, false, true);
        m3 = rig.member("m3", 7, false, true);
        rig.startAll();
        for (Rig.Driver d : rig.drivers.values()) {
            d.await("work: the plan is known");
        }
        load = new Load(rig, List.of(7), 10);
        awaitMachines();
    }

    @AfterEach
    void end() throws Exception {
        if (load != null) {
            load.close();
        }
        rig.close();
    }

    private FleetRules rules() throws IOException {
        return OperatorFile.read(rig.driver("d1").operator()).file().fleet();
    }

    private interface Talk<T> {
        T with(FleetClient c) throws IOException;
    }

    private <T> T ask(Talk<T> what) throws IOException {
        IOException last = null;
        for (int i = 0; i < 20; i++) {
            for (String v : rules().voters().keySet()) {
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
        return ask(c -> c.workAsk(machine, "kernel", 0, 0, List.of(), id));
    }

    private String word(String word, String machine) throws IOException {
        String id = UUID.randomUUID().toString();
        return ask(c -> c.workWord(word, machine, id));
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
            java.util.concurrent.TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private static boolean at(Map<?, ?> work, String machine, String stage) {
        return entry(work, machine).map(e -> stage.equals(e.get("stage"))).orElse(stage.equals("in"));
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
        assertThat(m.txns()).as("txns at " + m.uid + " after it was told to be out").noneMatch(t -> t.at() > when);
    }

    /** So many txns more are served. */
    private void serve(int more) throws Exception {
        long from = load.committed.get();
        long end = System.nanoTime() + 40_000_000_000L;
        while (load.committed.get() < from + more) {
            assertThat(System.nanoTime()).as("served " + (load.committed.get() - from)).isLessThan(end);
            java.util.concurrent.TimeUnit.MILLISECONDS.sleep(20);
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
        assertThat(load.servedShare()).isGreaterThan(0.99);
    }
}
