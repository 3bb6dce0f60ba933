import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** The council is founded anew by hand, as the operators' page says, while a driver that is no voter goes on; then a machine is taken out. */
final class OutWhileUsed {
    /** How much later than the word `out` a statement has to come to a member to count. */
    private static final long MARGIN_MS = 250;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        List<Rig.Member> members =
            List.of(rig.new Member("db-1", 1, true), rig.new Member("db-2", 1, false), rig.new Member("db-3", 1, false));
        List<String> entries = members.stream().map(member -> member.entry("ready")).toList();
        int[] voterPorts = {rig.freePort(), rig.freePort(), rig.freePort()};
        List<Rig.Driver> drivers = new ArrayList<>();
        for (int n = 1; n <= 4; n++) {
            String operator = "fleet \"graz\" {\n    driver \"d" + n + "\"\n";
            if (n <= 3) {
                operator += "    listen \"127.0.0.1:" + voterPorts[n - 1] + "\"\n";
            }
            for (int v = 1; v <= 3; v++) {
                operator += "    voter \"d" + v + "\" \"127.0.0.1:" + voterPorts[v - 1] + "\"\n";
            }
            operator += "    state \"" + rig.temp.resolve("d" + n).resolve("state") + "\"\n    lease-ms 3000\n    work {\n        watch 2\n";
            for (int m = 1; m <= 3; m++) {
                operator += "        machine \"rack" + m + "\" zone=\"z" + m + "\" { member \"db-" + m + "\" group=1; }\n";
            }
            operator += "    }\n}\n";
            drivers.add(rig.new Driver("d" + n, rig.new Agent(entries), Rig.settings(), operator));
        }
        for (Rig.Driver driver : drivers) {
            driver.start();
        }
        for (Rig.Driver driver : drivers) {
            driver.awaitLog("work: the plan is known", 30_000);
            rig.awaitAdmitted(driver, 10_000);
        }
        Rig.Driver last = drivers.get(3);
        AtomicBoolean done = new AtomicBoolean();
        int[] served = {0};
        Rig.daemon(() -> {
            while (!done.get()) {
                Rig.daemon(() -> {
                    String id = "d4-" + rig.newId();
                    Rig.Answer answer = rig.ask(last.port, id, Rig.read(id, 1, 3000, "k"), 4000);
                    rig.say("client of d4: " + id + " " + answer.kind() + " after " + answer.tookMs() + " ms, " + answer.text());
                    if (answer.kind().equals("served")) {
                        served[0]++;
                    }
                });
                Rig.sleep(100);
            }
        });
        // The council's log grows with its age alone; here it is less than a minute old.
        Rig.sleep(35_000);
        if (Rig.TROUBLE) {
            List<Rig.Driver> voters = drivers.subList(0, 3);
            rig.say("operator: d2 and d3 have lost their state, so the council is founded anew (docs/operators/fleet.md, step 3)");
            for (Rig.Driver voter : voters) {
                voter.signal("TERM");
            }
            for (Rig.Driver voter : voters) {
                if (!rig.await(8000, () -> !voter.alive())) {
                    rig.cannotRun(voter.name + " does not end");
                }
            }
            // One lease, so that nobody of the old council acts any more.
            Rig.sleep(3200);
            for (Rig.Driver voter : voters) {
                try (DirectoryStream<Path> state = Files.newDirectoryStream(voter.file("state"), "council.db*")) {
                    for (Path file : state) {
                        Files.move(file, voter.file("old-" + file.getFileName()));
                    }
                }
                voter.start();
            }
            for (Rig.Driver voter : voters) {
                voter.awaitLog("work: the plan is known", 20_000);
            }
        }
        // The machine of the replica that d4 reads from.
        Rig.Member used = Collections.max(members.subList(1, 3), Comparator.comparingInt(member -> member.got.size()));
        String machine = "rack" + used.uid.substring(3);
        String file = drivers.get(0).file("operator.kdl").toString();
        rig.command("fleet", "status", "--operator", file);
        boolean asked = rig.await(8000, () -> rig.command("work", "ask", machine, "--for", "10m", "--why", "kernel", "--operator", file).startsWith("0 "));
        if (!asked) {
            rig.cannotRun("the machine could not be asked for");
        }
        boolean out = rig.await(30_000, () -> {
            Rig.sleep(500);
            return rig.command("work", "show", machine, "--operator", file).replace(machine + " ", "").contains(" out");
        });
        long told = rig.ms();
        if (!out) {
            rig.held(machine + " was not told to be out within 30 s: nothing to judge");
        }
        rig.say("operator: " + machine + " is told to be out");
        Rig.sleep(6000);
        done.set(true);
        List<Rig.Got> late = used.got.stream().filter(got -> got.atMs() > told + MARGIN_MS).toList();
        if (served[0] < 50) {
            rig.cannotRun("d4 has served only " + served[0] + " reads");
        }
        String figures = late.size() + " statements came to " + used.uid + ", which is on " + machine + ", in the 6 s after the machine was told to be out"
            + (late.isEmpty() ? "" : "; the first " + (late.get(0).atMs() - told) + " ms after, the last " + (late.get(late.size() - 1).atMs() - told)
                + " ms after it");
        if (late.isEmpty()) {
            rig.held(figures);
        } else {
            rig.broken(figures);
        }
    }
}
