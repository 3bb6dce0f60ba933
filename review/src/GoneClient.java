import java.util.ArrayList;
import java.util.List;

/** A client sends some writes at once and goes; none may begin later than 0.1 s after that (0.05 s of slack). */
public final class GoneClient {
    public static void main(String[] args) throws Exception {
        Rig.main(args, GoneClient::run);
    }

    private static int run(Rig rig) throws Exception {
        Graz graz = new Graz(rig, 4);
        Rig.Driver driver = rig.new Driver("n1", Rig.freePort(), graz.discovery.port(), Graz.SETTINGS,
                graz.discovery.whole(), null);
        driver.awaitReady();
        graz.warmUp(driver, 6);
        // Usual traffic of the primary, 14 writes a second; with trouble a burst of 2.5 times as much.
        long trafficEnd = rig.ms() + 6000;
        long gap = rig.trouble ? 1000 / 35 : 1000 / 14;
        Rig.daemon(() -> {
            for (int i = 0; rig.ms() < trafficEnd; i++) {
                int n = i;
                Rig.daemon(() -> {
                    try (Rig.Client other = new Rig.Client(driver.port)) {
                        other.ask(rig.insert("flag-change", 5000, Graz.GROUP, "usual" + n, "9f03"), 6000);
                    }
                });
                Rig.sleep(gap);
            }
        });
        Rig.sleep(2500);
        String hex = "5a".repeat(64 * 1024);
        // With two of them all fits the driver's buffer, and the rule holds.
        int count = 3;
        List<String> ids = new ArrayList<>();
        Rig.Client client = new Rig.Client(driver.port);
        java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
        for (int i = 0; i < count; i++) {
            String sql = rig.insert("flag-change", 5000, Graz.GROUP, "big" + i, hex);
            ids.add(new Rig.Request(sql).id);
            all.writeBytes(Rig.Client.bytesOf(sql));
        }
        rig.log("client sends " + count + " writes of 64 KiB at once: " + ids);
        client.socket.getOutputStream().write(all.toByteArray());
        rig.log("client has written all");
        Rig.sleep(100);
        client.close();
        long closed = rig.ms();
        rig.log("client closes");
        Rig.sleep(4000);
        driver.logInto(30);
        int late = 0;
        for (String id : ids) {
            for (Graz.Attempt a : graz.attemptsOf(id)) {
                if (a.startedMs() - closed > 150) {
                    rig.log("begun " + (a.startedMs() - closed) + " ms after the close: " + id + " at " + a.uid());
                    late++;
                }
            }
        }
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
