import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** One in a hundred answers of members brings a second copy right behind; no client may get another request's value. */
public final class SecondCopy {
    private static final int COPIED = 100;
    private static final int TXNS_PER_SECOND = 60;
    private static final long TRAFFIC_MS = 30_000;

    public static void main(String[] args) throws Exception {
        Rig.main(args, SecondCopy::run);
    }

    private static int run(Rig rig) throws Exception {
        AtomicInteger answers = new AtomicInteger();
        Graz graz = new Graz(rig, 4) {
            @Override
            Rig.Answer finish(Node node, Rig.Request request, Rig.Answer answer) {
                boolean copied = rig.trouble && answer.row() != null && answers.incrementAndGet() % COPIED == 0;
                if (copied) {
                    rig.log(node.uid + " answers " + request.key + " with a second copy right behind");
                }
                return new Rig.Answer(request.write ? answer.row()
                        : ("value of " + request.key).getBytes(StandardCharsets.UTF_8), answer.sqlState(),
                        answer.primary(), answer.positionMs(), copied ? Rig.Spoil.SECOND_COPY : Rig.Spoil.NONE);
            }

            /** The system's usual. */
            @Override
            boolean noDelay() {
                return Boolean.getBoolean("nodelay");
            }
        };
        Rig.Driver driver = rig.new Driver("n1", Rig.freePort(), graz.discovery.port(), Graz.SETTINGS,
                graz.discovery.whole(), null);
        driver.awaitReady();
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        Random random = new Random(17);
        long end = rig.ms() + TRAFFIC_MS;
        while (rig.ms() < end) {
            int n = asked.incrementAndGet();
            boolean write = random.nextInt(100) < 14;
            Rig.daemon(() -> {
                String key = "key" + n;
                String value = "value of " + key;
                String sql = write
                        ? rig.insert("flag-change", 5000, Graz.GROUP, key,
                                HexFormat.of().formatHex(value.getBytes(StandardCharsets.UTF_8)))
                        : rig.select("flag-read", 3000, Graz.GROUP, key);
                try (Rig.Client client = new Rig.Client(driver.port)) {
                    Rig.Reply reply = client.ask(sql, 6000);
                    if (reply.kind.equals("row")) {
                        served.incrementAndGet();
                        if (!reply.text.equals(value)) {
                            wrong.incrementAndGet();
                            rig.log("client " + (write ? "wrote " : "asked for ") + key + " and was served '" + reply.text
                                    + "'");
                        }
                    }
                }
            });
            Rig.sleep((long) (-Math.log(1 - random.nextDouble()) * 1000 / TXNS_PER_SECOND));
        }
        Rig.sleep(6000);
        driver.logInto(30);
        rig.log("asked " + asked + ", served " + served + ", served with another request's value " + wrong);
        return served.get() == 0 ? Rig.NOT_RUN : wrong.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
