import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A primary is cut off for a time and replaced; an answer that it wrote before comes late. A read that must see every
 * write before it must not go to it, since it has told the driver that it is a replica.
 */
public final class LateWord {
    static final String SETTINGS = "{\"azs\":[\"salt-lake-room\"],\"balancers\":2,\"callers\":{\"marks-retry\":false},"
            + "\"discovery\":\"push\",\"family\":\"replicas\",\"family-info\":{\"checks\":\"silent\","
            + "\"consistency\":[\"own_writes\",\"loose\",\"latest\",\"loose\",\"update\"],\"holds-for\":0.0,"
            + "\"oldest-data\":[0.0,0.0,0.0,0.0,0.0],\"role-in-list\":\"delayed\",\"stamps\":true,"
            + "\"waits-for-copy\":false,\"write-marks\":\"router\"},\"grades\":["
            + grade("own-recent", 500, 1200, 1, 0, "repeatable") + ","
            + grade("history-view", 600, 2000, 1, 0.2, "repeatable") + ","
            + grade("balance-check", 600, 2000, 1, 0, "repeatable") + ","
            + grade("ward-report", 7500, 15000, 4, 0, "repeatable") + ","
            + grade("pledge-post", 1000, 5000, 6, 0.5, "once") + "],\"granularity\":5.0,\"index\":0,"
            + "\"limits\":{\"cancelling\":true,\"connect-timeout\":250.0,\"keepalive\":30000.0,\"max-attempts\":6,"
            + "\"max-retry-after\":1000.0,\"peers\":true,\"probes\":true,\"retry-after\":true,\"second-copies\":true,"
            + "\"streams-per-conn\":1},\"prices\":{\"cross-zone\":0.0,\"late-fail\":0.08,\"probe\":0.017,\"waste\":0.042},"
            + "\"report\":{\"names\":[\"x0\",\"x1\"],\"source\":\"piggyback\"},"
            + "\"rules\":{\"answer-slack\":20.0,\"ask-within\":10000.0,\"cold\":17000.0,\"cold-share\":0.15,"
            + "\"drain-grace\":250.0,\"fall\":1000.0,\"fall-multiple\":2.5},\"shapes\":[\"std-3c\"],"
            + "\"weights\":\"nominal\",\"zone\":0}";
    private static final int GROUP = 3;
    private static final int MEMBERS = 5;
    private static final long WORK_MS = 90;
    private static final long REPORT_MS = 1600;

    // All times of the disruption, from its start.
    private static final long GIVEN_UP = 1500;
    private static final long CUT_ENDS = 2000;
    private static final long NEW_PRIMARY = 2750;

    private record Commit(long at, String key, String value) {}

    private record Served(long readAt, String uid, String id) {}

    private static String grade(String name, int aim, int deadline, int worth, double late, String semantics) {
        return "{\"aim\":" + aim + ".0,\"deadline\":" + deadline + ".0,\"group\":\"cell\",\"late-share\":" + late
                + ",\"name\":\"" + name + "\",\"semantics\":\"" + semantics + "\",\"window\":3000.0,\"worth\":" + worth
                + ".0}";
    }

    private final Rig rig;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Commit> log = Collections.synchronizedList(new ArrayList<>());
    private final List<Served> reads = Collections.synchronizedList(new ArrayList<>());
    private final long unixAtZero;
    private volatile Node primary;
    private volatile long cutAt = Long.MAX_VALUE / 2;
    private volatile long toldReplicaAt = -1;
    private volatile long firstWriteWork = WORK_MS;

    private LateWord(Rig rig) {
        this.rig = rig;
        unixAtZero = System.currentTimeMillis() - rig.ms();
    }

    public static void main(String[] args) throws Exception {
        Rig.main(args, rig -> new LateWord(rig).run());
    }

    private final class Node extends Rig.Member {
        /** Since when a long report has kept the log from being applied, or -1. */
        private volatile long blockedSince = -1;

        Node(String uid) throws Exception {
            super(uid);
        }

        @Override
        boolean isPrimary() {
            return primary == this;
        }

        /** Up to when this member has applied the log, on the rig's clock. */
        private long appliedUntil() {
            long now = rig.ms();
            if (isPrimary() && !(this == nodes.get(0) && now > cutAt)) {
                return now;
            }
            long position = now - 10;
            if (now < cutAt + NEW_PRIMARY || this == nodes.get(0) && now < cutAt + CUT_ENDS) {
                // No primary: the positions stand still.
                position = Math.min(position, cutAt);
            }
            return blockedSince >= 0 ? Math.min(position, blockedSince) : position;
        }

        @Override
        double positionMs() {
            return unixAtZero + appliedUntil();
        }

        @Override
        Rig.Answer answer(Rig.Request request) throws Exception {
            boolean first = request.key.equals("held");
            if (request.write && !isPrimary()) {
                rig.log(uid + " turns write " + request.key + " away: no primary");
                if (this == nodes.get(0) && toldReplicaAt < 0) {
                    toldReplicaAt = rig.ms();
                }
                return new Rig.Answer(null, "25006", false, positionMs());
            }
            if (request.type.equals("ward-report")) {
                rig.log(uid + " holds a ward-report of another driver: nothing is applied there");
                blockedSince = appliedUntil();
                Rig.sleep(REPORT_MS);
                blockedSince = -1;
                return new Rig.Answer("report".getBytes(StandardCharsets.UTF_8), null, isPrimary(), positionMs());
            }
            String value = "";
            long applied = appliedUntil();
            for (Commit c : List.copyOf(log)) {
                value = c.at <= applied && c.key.equals(request.key) ? c.value : value;
            }
            Rig.sleep(first ? firstWriteWork : WORK_MS);
            if (request.write) {
                long at = rig.ms();
                log.add(new Commit(at, request.key, request.value()));
                rig.log(uid + " has committed write " + request.key + " id " + request.id);
                return new Rig.Answer(java.util.HexFormat.of().parseHex(request.value()), null, true, unixAtZero + at);
            }
            reads.add(new Served(applied, uid, request.id));
            return new Rig.Answer(value.getBytes(StandardCharsets.UTF_8), null, isPrimary(), positionMs());
        }
    }

    private int run() throws Exception {
        Rig.Discovery discovery = new Rig.Discovery();
        for (int i = 0; i < MEMBERS; i++) {
            nodes.add(new Node("db-" + (i + 1)));
        }
        primary = nodes.get(0);
        Link link = new Link(rig, nodes.get(0).port());
        for (Node node : nodes) {
            discovery.put(node.uid, node == primary ? link.port() : node.port(), GROUP, "salt-lake-room", "std-3c",
                    "ready", node == primary ? ",\"part\":\"master\"" : "");
        }
        Rig.Driver driver = rig.new Driver("n1", Rig.freePort(), discovery.port(), SETTINGS, discovery.whole(), null);
        driver.awaitReady();
        try (Rig.Client client = new Rig.Client(driver.port)) {
            for (int i = 0; i < 20; i++) {
                client.ask(rig.insert("pledge-post", 5000, GROUP, "w" + i, "01"), 6000);
                client.ask(rig.select("balance-check", 2000, GROUP, "w" + i), 4000);
            }
        }
        // One of the busier drivers: reads that any member may answer.
        long warmEnd = rig.ms() + 6000;
        while (rig.ms() < warmEnd) {
            Rig.daemon(() -> {
                try (Rig.Client client = new Rig.Client(driver.port)) {
                    client.ask(rig.select("history-view", 2000, GROUP, "h"), 4000);
                }
            });
            Rig.sleep(20);
        }
        // Some writes at a time, so that the driver holds more than one connection to the primary.
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            int n = i;
            writers.add(Rig.daemon(() -> {
                try (Rig.Client client = new Rig.Client(driver.port)) {
                    client.ask(rig.insert("pledge-post", 5000, GROUP, "p" + n, "01"), 6000);
                }
            }));
        }
        for (Thread writer : writers) {
            writer.join();
        }
        rig.log("warmed up; db-1 is the primary");

        // A write that is being run when the primary is cut off; its answer is written 350 ms after that.
        firstWriteWork = 400;
        String held = rig.insert("pledge-post", 5000, GROUP, "held", "01");
        Rig.daemon(() -> {
            try (Rig.Client client = new Rig.Client(driver.port)) {
                rig.log("client sends write held id " + new Rig.Request(held).id);
                Rig.Reply reply = client.ask(held, 7000);
                rig.log("client gets for write held: " + reply);
            }
        });
        Rig.sleep(50);
        long cut = rig.ms();
        if (rig.trouble) {
            link.cut(cut, cut + CUT_ENDS);
            cutAt = cut;
            rig.log("db-1 is cut off for " + CUT_ENDS + " ms");
        }
        // Other writes go on meanwhile; they are held and keep the search going.
        Rig.daemon(() -> {
            for (int i = 0; i < 10; i++) {
                int n = i;
                Rig.daemon(() -> {
                    try (Rig.Client client = new Rig.Client(driver.port)) {
                        Rig.Reply reply = client.ask(rig.insert("pledge-post", 5000, GROUP, "other" + n, "01"), 6000);
                        rig.log("client gets for write other" + n + ": " + reply);
                    }
                });
                Rig.sleep(250);
            }
        });
        rig.sleepUntil(cut + GIVEN_UP);
        if (rig.trouble) {
            primary = null;
            rig.log("db-1 is given up as primary");
        }
        rig.sleepUntil(cut + NEW_PRIMARY);
        if (rig.trouble) {
            primary = nodes.get(1);
            rig.log("db-2 is the primary");
        }
        // Another driver's long report at the replica db-1.
        Rig.daemon(() -> {
            rig.sleepUntil(cut + 3000);
            try (Rig.Client other = new Rig.Client(nodes.get(0).port())) {
                other.ask(rig.select("ward-report", 15000, GROUP, "ward"), 9000);
            }
        });
        // A client's write that is answered, and reads after that.
        rig.sleepUntil(cut + 2950);
        String value = "c0ffee";
        long acknowledged;
        try (Rig.Client client = new Rig.Client(driver.port)) {
            Rig.Reply reply = client.ask(rig.insert("pledge-post", 5000, GROUP, "account", value), 6000);
            acknowledged = rig.ms();
            rig.log("client gets for write account: " + reply);
            if (!reply.kind.equals("row")) {
                return Rig.NOT_RUN;
            }
            // The late answer comes 3350 ms after the cut.
            rig.sleepUntil(cut + 3400);
            AtomicInteger stale = new AtomicInteger();
            List<Thread> readers = new ArrayList<>();
            while (rig.ms() < cut + 4550) {
                readers.add(Rig.daemon(() -> {
                    try (Rig.Client reader = new Rig.Client(driver.port)) {
                        String read = rig.select("balance-check", 2000, GROUP, "account");
                        long sentAt = rig.ms();
                        Rig.Reply answer = reader.ask(read, 4000);
                        Served by = servedBy(new Rig.Request(read).id);
                        rig.log("balance-check of account sent at " + sentAt + " gets " + answer
                                + (by == null ? "" : " from " + by.uid + ", which had applied the log up to " + by.readAt));
                        boolean excused = toldReplicaAt < 0 || sentAt < toldReplicaAt + 150;
                        if (answer.kind.equals("row") && !answer.text.equals(value) && !excused) {
                            stale.incrementAndGet();
                        }
                    }
                }));
                Rig.sleep(50);
            }
            for (Thread reader : readers) {
                reader.join();
            }
            driver.logInto(25);
            rig.log("the write was answered at " + acknowledged + "; db-1 had told the driver that it is no primary at "
                    + toldReplicaAt + "; reads without the write: " + stale);
            return stale.get() > 0 ? Rig.BROKEN : Rig.HELD;
        }
    }

    private Served servedBy(String id) {
        for (Served s : List.copyOf(reads)) {
            if (s.id.equals(id)) {
                return s;
            }
        }
        return null;
    }
}
