import java.util.ArrayList;
import java.util.List;

/** A client writes a request slowly on a connection that has rested for a while; it must get its answer there. */
public final class SlowWriter {
    public static void main(String[] args) throws Exception {
        Rig.main(args, SlowWriter::run);
    }

    private static int run(Rig rig) throws Exception {
        Graz graz = new Graz(rig, 4);
        Rig.Driver driver = rig.new Driver("n1", Rig.freePort(), graz.discovery.port(), Graz.SETTINGS,
                graz.discovery.whole(), null);
        driver.awaitReady();
        graz.warmUp(driver, 3);
        int lost = 0;
        for (int rest : new int[] {500, 1000, 1500, 1800, 1900, 2000, 2050, 2100}) {
            try (Rig.Client client = new Rig.Client(driver.port)) {
                client.ask(rig.select("flag-read", 3000, Graz.GROUP, "first"), 4000);
                Rig.sleep(rest);
                String sql = rig.insert("flag-change", 5000, Graz.GROUP, "slow" + rest, "9f03");
                byte[] bytes = Rig.Client.bytesOf(sql);
                int pieces = rig.trouble ? 8 : 1;
                long began = rig.ms();
                for (int i = 0; i < pieces; i++) {
                    int from = bytes.length * i / pieces;
                    client.socket.getOutputStream().write(bytes, from, bytes.length * (i + 1) / pieces - from);
                    Rig.sleep(rig.trouble ? 60 : 0);
                }
                Rig.Reply reply;
                try {
                    reply = client.read(7000);
                } catch (Exception e) {
                    reply = new Rig.Reply("end", e.toString());
                }
                rig.log("rested " + rest + " ms, wrote for " + (rig.ms() - began) + " ms: " + reply + ", attempts "
                        + graz.attemptsOf(new Rig.Request(sql).id).size());
                if (reply.kind.equals("end")) {
                    lost++;
                }
            }
        }
        driver.logInto(20);
        return lost > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
