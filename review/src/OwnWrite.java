import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;

/**
 * A write is answered, and the connection to its member is reset right behind the answer's CommandComplete. A read of
 * the same session after that must see the write.
 */
public final class OwnWrite {
    static final String SETTINGS = "{\"azs\":[\"salt-lake-room\"],\"balancers\":2,\"callers\":{\"marks-retry\":false},"
            + "\"discovery\":\"push\",\"family\":\"replicas\",\"family-info\":{\"checks\":\"silent\","
            + "\"consistency\":[\"own_writes\",\"loose\",\"latest\",\"loose\",\"update\"],\"holds-for\":0.0,"
            + "\"oldest-data\":[0.0,0.0,0.0,0.0,0.0],\"role-in-list\":\"delayed\",\"stamps\":true,"
            + "\"waits-for-copy\":false,\"write-marks\":\"router\"},\"grades\":["
            + grade("own-recent", 500, 1200, 1, 0, "repeatable") + ","
            + grade("history-view", 600, 2000, 1, 0.2, "repeatable") + ","
            + grade("balance-check", 600, 2000, 1, 0, "repeatable") + ","
            + grade("ward-report", 7500, 15000, 4, 0, "repeatable") + ","
            + grade("pledge-post", 1000, 5000, 6, 0.5, "by_key") + "],\"granularity\":5.0,\"index\":0,"
            + "\"limits\":{\"cancelling\":true,\"connect-timeout\":250.0,\"keepalive\":30000.0,\"max-attempts\":6,"
            + "\"max-retry-after\":1000.0,\"peers\":true,\"probes\":true,\"retry-after\":true,\"second-copies\":true,"
            + "\"streams-per-conn\":1},\"prices\":{\"cross-zone\":0.0,\"late-fail\":0.08,\"probe\":0.017,\"waste\":0.042},"
            + "\"report\":{\"names\":[\"x0\",\"x1\"],\"source\":\"piggyback\"},"
            + "\"rules\":{\"answer-slack\":20.0,\"ask-within\":10000.0,\"cold\":17000.0,\"cold-share\":0.15,"
            + "\"drain-grace\":250.0,\"fall\":1000.0,\"fall-multiple\":2.5},\"shapes\":[\"std-3c\"],"
            + "\"weights\":\"nominal\",\"zone\":0}";
    private static final int GROUP = 3;
    private static final int MEMBERS = 4;
    private static final long WORK_MS = 85;
    private static final long REPORT_MS = 1500;

    /** How long the log takes to a replica, and to be applied there, while nothing keeps it up. */
    private static final long SHIP_MS = 10;

    private static String grade(String name, int aim, int deadline, int worth, double late, String semantics) {
        return "{\"aim\":" + aim + ".0,\"deadline\":" + deadline + ".0,\"group\":\"cell\",\"late-share\":" + late
                + ",\"name\":\"" + name + "\",\"semantics\":\"" + semantics + "\",\"window\":3000.0,\"worth\":" + worth
                + ".0}";
    }

    private record Commit(long at, String key, String value) {}

    private record Served(String id, String uid, long applied) {}

    private final Rig rig;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Commit> log = Collections.synchronizedList(new ArrayList<>());
    private final List<Served> reads = Collections.synchronizedList(new ArrayList<>());
    private final long unixAtZero;

    private OwnWrite(Rig rig) {
        this.rig = rig;
        unixAtZero = System.currentTimeMillis() - rig.ms();
    }

    public static void main(String[] args) throws Exception {
        Rig.main(args, rig -> new OwnWrite(rig).run());
    }

    private final class Node extends Rig.Member {
        /** Up to when the log was applied as a report began that keeps it from being applied, or -1. */
        private volatile long heldAt = -1;

        Node(String uid) throws Exception {
            super(uid);
        }

        @Override
        boolean isPrimary() {
            return this == nodes.get(0);
        }

        private long appliedUntil() {
            return isPrimary() ? rig.ms() : heldAt >= 0 ? heldAt : rig.ms() - SHIP_MS;
        }

        @Override
        double positionMs() {
            return unixAtZero + appliedUntil();
        }

        @Override
        Rig.Answer answer(Rig.Request request) throws Exception {
            if (request.write && !isPrimary()) {
                return new Rig.Answer(null, "25006", false, positionMs());
            }
            if (request.type.equals("ward-report")) {
                rig.log(uid + " begins a ward-report: nothing is applied there until it ends");
                heldAt = appliedUntil();
                Rig.sleep(REPORT_MS);
                heldAt = -1;
                rig.log(uid + " has ended the ward-report");
                return new Rig.Answer("report".getBytes(StandardCharsets.UTF_8), null, isPrimary(), positionMs());
            }
            long applied = appliedUntil();
            String value = "";
            for (Commit c : List.copyOf(log)) {
                value = c.at <= applied && c.key.equals(request.key) ? c.value : value;
            }
            Rig.sleep(WORK_MS);
            if (request.write) {
                long at = rig.ms();
                log.add(new Commit(at, request.key, request.value()));
                boolean reset = rig.trouble && request.key.equals("account-17");
                rig.log(uid + " has committed write " + request.key + " id " + request.id
                        + (reset ? "; its connection is reset behind the CommandComplete" : ""));
                return new Rig.Answer(HexFormat.of().parseHex(request.value()), null, true, unixAtZero + at,
                        reset ? Rig.Spoil.RESET_AFTER_ROW : Rig.Spoil.NONE);
            }
            reads.add(new Served(request.id, uid, applied));
            return new Rig.Answer(value.getBytes(StandardCharsets.UTF_8), null, isPrimary(), positionMs());
        }
    }

    private int run() throws Exception {
        Rig.Discovery discovery = new Rig.Discovery();
        for (int i = 0; i < MEMBERS; i++) {
            nodes.add(new Node("db-" + (i + 1)));
            discovery.put(nodes.get(i).uid, nodes.get(i).port(), GROUP, "salt-lake-room", "std-3c", "ready",
                    i == 0 ? ",\"part\":\"master\"" : "");
        }
        Rig.Driver driver = rig.new Driver("n1", Rig.freePort(), discovery.port(), SETTINGS, discovery.whole(), null);
        driver.awaitReady();
        try (Rig.Client client = new Rig.Client(driver.port)) {
            for (int i = 0; i < 10; i++) {
                client.ask(rig.insert("pledge-post", 5000, GROUP, "w" + i, "01"), 6000);
                client.ask(rig.select("own-recent", 1200, GROUP, "w" + i), 2000);
            }
        }
        rig.log("warmed up; db-1 is the primary");
        // Long reports of another driver at two of the replicas.
        for (Node node : nodes.subList(1, 3)) {
            Rig.daemon(() -> {
                try (Rig.Client other = new Rig.Client(node.port())) {
                    other.ask(rig.select("ward-report", 15000, GROUP, "ward"), 9000);
                }
            });
        }
        Rig.sleep(100);
        int stale = 0;
        try (Rig.Client client = new Rig.Client(driver.port)) {
            String value = "c0ffee";
            rig.log("client sends write account-17");
            Rig.Reply reply = client.ask(rig.insert("pledge-post", 5000, GROUP, "account-17", value), 6000);
            long answered = rig.ms();
            rig.log("client gets for write account-17: " + (reply.kind.equals("row") ? "the row: committed" : reply));
            if (!reply.kind.equals("row")) {
                return Rig.NOT_RUN;
            }
            Rig.sleep(150);
            for (int i = 0; i < 8; i++) {
                String read = rig.select("own-recent", 1200, GROUP, "account-17");
                String id = new Rig.Request(read).id;
                Rig.Reply answer = client.ask(read, 3000);
                for (Served s : List.copyOf(reads)) {
                    if (s.id.equals(id) && answer.kind.equals("row")) {
                        boolean old = !answer.text.equals(value);
                        stale += old ? 1 : 0;
                        rig.log("client's read " + id + " was answered by " + s.uid + ", which had applied the log up to "
                                + s.applied + (old ? ": its own write, answered at " + answered + ", is not in it"
                                        : ": its own write is in it"));
                    }
                }
            }
        }
        driver.logInto(25);
        return stale > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
