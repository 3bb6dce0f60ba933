import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A member drains, the driver is told; then a new configuration moves discovery to an address whose list is some seconds
 * behind. The member must get nothing new.
 */
public final class ListBehind {
    private static final long BEHIND_MS = 8000;

    public static void main(String[] args) throws Exception {
        Rig.main(args, ListBehind::run);
    }

    private static int run(Rig rig) throws Exception {
        Graz graz = new Graz(rig, 4);
        Rig.Discovery next = new Rig.Discovery();
        for (Graz.Node node : graz.nodes) {
            next.put(node.uid, node.port(), Graz.GROUP, Graz.ZONES.get(graz.nodes.indexOf(node) % 3), "std4", "ready", "");
        }
        int port = Rig.freePort();
        Rig.Driver driver = rig.new Driver("n1", port, graz.discovery.port(), Graz.SETTINGS, graz.discovery.whole(), null);
        driver.awaitReady();
        graz.workMs = 40;
        graz.warmUp(driver, 6);
        long end = rig.ms() + 11000;
        Rig.daemon(() -> {
            while (rig.ms() < end) {
                for (int i = 0; i < 6; i++) {
                    Rig.daemon(() -> {
                        try (Rig.Client client = new Rig.Client(port)) {
                            client.ask(rig.select("flag-read", 3000, Graz.GROUP, "k"), 4000);
                        }
                    });
                }
                Rig.sleep(1600);
            }
        });
        Rig.sleep(1000);
        Graz.Node draining = graz.nodes.get(3);
        Runnable drainNext = () -> next.put(draining.uid, draining.port(), Graz.GROUP, Graz.ZONES.get(0), "std4",
                "draining", "");
        if (!rig.trouble) {
            drainNext.run();
        }
        graz.discovery.put(draining.uid, draining.port(), Graz.GROUP, Graz.ZONES.get(0), "std4", "draining", "");
        long told = rig.ms();
        rig.log(draining.uid + " drains: the driver is told");
        Rig.sleep(500);
        Path config = rig.temp.resolve("n1.json");
        String text = Files.readString(config);
        Path replacement = rig.temp.resolve("n1.json.new");
        Files.writeString(replacement, text.replace("\"discovery\":\"127.0.0.1:" + graz.discovery.port() + "\"",
                "\"discovery\":\"127.0.0.1:" + next.port() + "\""));
        Files.move(replacement, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        rig.log("a new configuration names discovery at another address");
        driver.signal("HUP");
        rig.sleepUntil(told + BEHIND_MS);
        if (rig.trouble) {
            drainNext.run();
            rig.log("the list at the new address has come to the same state");
        }
        Rig.sleep(2000);
        driver.logInto(25);
        int late = 0;
        for (Graz.Attempt a : java.util.List.copyOf(graz.attempts)) {
            if (a.uid().equals(draining.uid) && a.startedMs() > told + 1050) {
                late++;
                rig.log("sent to " + a.uid() + " " + (a.startedMs() - told) + " ms after the driver was told: "
                        + a.request().id);
            }
        }
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
