import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * The driver is started where SIGHUP is ignored; a new configuration moves discovery, then a member drains. It must get
 * nothing new.
 */
public final class IgnoredHangUp {
    public static void main(String[] args) throws Exception {
        Rig.main(args, IgnoredHangUp::run);
    }

    private static int run(Rig rig) throws Exception {
        Graz graz = new Graz(rig, 4);
        Rig.Discovery next = new Rig.Discovery();
        for (Graz.Node node : graz.nodes) {
            next.put(node.uid, node.port(), Graz.GROUP, Graz.ZONES.get(graz.nodes.indexOf(node) % 3), "std4", "ready", "");
        }
        int port = Rig.freePort();
        rig.startPrefix = rig.trouble ? "trap '' HUP; " : "";
        Rig.Driver driver = rig.new Driver("n1", port, graz.discovery.port(), Graz.SETTINGS, graz.discovery.whole(), null);
        driver.awaitReady();
        graz.workMs = 40;
        graz.warmUp(driver, 6);
        long end = rig.ms() + 12_000;
        Rig.daemon(() -> {
            while (rig.ms() < end) {
                Rig.daemon(() -> {
                    try (Rig.Client client = new Rig.Client(port)) {
                        client.ask(rig.select("flag-read", 3000, Graz.GROUP, "k"), 4000);
                    }
                });
                Rig.sleep(50);
            }
        });
        Rig.sleep(1000);
        Path config = rig.temp.resolve("n1.json");
        Path replacement = rig.temp.resolve("n1.json.new");
        Files.writeString(replacement, Files.readString(config).replace(
                "\"discovery\":\"127.0.0.1:" + graz.discovery.port() + "\"", "\"discovery\":\"127.0.0.1:" + next.port() + "\""));
        Files.move(replacement, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        rig.log("a new configuration names discovery at another address");
        driver.signal("HUP");
        long hangUp = rig.ms();
        rig.sleepUntil(hangUp + 1500);
        graz.discovery.close();
        rig.log("the old address is closed");
        rig.sleepUntil(hangUp + 4500);
        Graz.Node draining = graz.nodes.get(3);
        next.put(draining.uid, draining.port(), Graz.GROUP, Graz.ZONES.get(0), "std4", "draining", "");
        long told = rig.ms();
        rig.log(draining.uid + " drains: the agent at the new address has it");
        Rig.sleep(5000);
        driver.logInto(25);
        int late = 0;
        for (Graz.Attempt a : java.util.List.copyOf(graz.attempts)) {
            if (a.uid().equals(draining.uid) && a.startedMs() > told + 1050) {
                late++;
                rig.log("sent to " + a.uid() + " " + (a.startedMs() - told) + " ms after it counts as told: "
                        + a.request().id);
            }
        }
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
