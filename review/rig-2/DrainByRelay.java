import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** The driver that asks discovery for the fleet is killed, and a member begins to drain. */
final class DrainByRelay {
    private static final long GRACE_MS = 1000;

    /** By which every time limit is longer on sockets. */
    private static final long SLACK_MS = 50;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        List<Rig.Member> members = List.of(rig.new Member("db-1", 1, true), rig.new Member("db-2", 1, false), rig.new Member("db-3", 1, false));
        List<String> entries = members.stream().map(member -> member.entry("ready")).toList();
        int[] voterPorts = {rig.freePort(), rig.freePort(), rig.freePort()};
        List<Rig.Driver> drivers = new ArrayList<>();
        for (int n = 1; n <= 3; n++) {
            String operator = "fleet \"graz\" {\n    driver \"d" + n + "\"\n    listen \"127.0.0.1:" + voterPorts[n - 1] + "\"\n";
            for (int v = 1; v <= 3; v++) {
                operator += "    voter \"d" + v + "\" \"127.0.0.1:" + voterPorts[v - 1] + "\"\n";
            }
            operator += "    state \"" + rig.temp.resolve("d" + n).resolve("state") + "\"\n    list check=60\n}\n";
            drivers.add(rig.new Driver("d" + n, rig.new Agent(entries), Rig.settings(), operator));
        }
        for (Rig.Driver driver : drivers) {
            driver.start();
        }
        for (Rig.Driver driver : drivers) {
            rig.awaitAdmitted(driver, 20_000);
        }
        if (!rig.await(30_000, () -> drivers.stream().filter(driver -> driver.logged("list: follows the owner")).count() == 2)) {
            rig.cannotRun("the drivers follow nobody");
        }
        Rig.Driver owner = Rig.first(drivers, driver -> !driver.logged("list: follows the owner"));
        List<Rig.Driver> others = drivers.stream().filter(driver -> driver != owner).toList();
        Rig.sleep(2000);
        AtomicBoolean done = new AtomicBoolean();
        for (Rig.Driver driver : others) {
            Rig.daemon(() -> {
                while (!done.get()) {
                    Rig.daemon(() -> {
                        String id = rig.newId();
                        rig.ask(driver.port, id, Rig.read(id, 1, 3000, "k"), 4000);
                    });
                    Rig.sleep(25);
                }
            });
        }
        Rig.sleep(1500);
        Rig.Member draining = members.get(1).got.size() >= members.get(2).got.size() ? members.get(1) : members.get(2);
        if (Rig.TROUBLE) {
            owner.kill();
        }
        List<String> now = members.stream().map(member -> member.entry(member == draining ? "draining" : "ready")).toList();
        for (Rig.Driver driver : drivers) {
            driver.agent.change(2, now);
        }
        long told = rig.ms();
        rig.say("discovery: " + draining.uid + " drains; all agents have it");
        Rig.sleep(6000);
        done.set(true);
        List<Rig.Got> late = draining.got.stream().filter(got -> got.atMs() > told + GRACE_MS + SLACK_MS).toList();
        String figures = late.size() + " statements came to " + draining.uid + " later than " + GRACE_MS + " + " + SLACK_MS
            + " ms after the drivers' agents had that it drains" + (late.isEmpty() ? "" : ", the last " + (late.get(late.size() - 1).atMs() - told)
                + " ms after it");
        if (late.isEmpty()) {
            rig.held(figures);
        } else {
            rig.broken(figures);
        }
    }
}
