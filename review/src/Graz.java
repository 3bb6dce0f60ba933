import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A small deployment with the settings of graz-main: one group of a primary and its replicas. */
class Graz {
    static final String SETTINGS = "{\"azs\":[\"graz-nord\",\"graz-sued\",\"graz-west\"],\"balancers\":3,"
            + "\"callers\":{\"marks-retry\":true},\"counted-by\":\"request\",\"discovery\":\"push\",\"family\":\"replicas\","
            + "\"family-info\":{\"checks\":\"silent\",\"consistency\":[\"recent\",\"update\"],\"holds-for\":0.0,"
            + "\"oldest-data\":[1500.0,0.0],\"role-in-list\":\"silent\",\"stamps\":true,\"waits-for-copy\":false,"
            + "\"write-marks\":\"client\"},"
            + "\"grades\":[{\"aim\":750.0,\"deadline\":3000.0,\"group\":\"all\",\"late-share\":0.0,\"name\":\"flag-read\","
            + "\"semantics\":\"repeatable\",\"window\":5000.0,\"worth\":1.0},{\"aim\":1200.0,\"deadline\":5000.0,"
            + "\"group\":\"all\",\"late-share\":0.3,\"name\":\"flag-change\",\"semantics\":\"once\",\"window\":5000.0,"
            + "\"worth\":6.0}],\"granularity\":5.0,\"index\":0,"
            + "\"limits\":{\"cancelling\":true,\"connect-timeout\":250.0,\"keepalive\":30000.0,\"max-attempts\":6,"
            + "\"max-retry-after\":500.0,\"peers\":false,\"probes\":true,\"retry-after\":true,\"second-copies\":true,"
            + "\"streams-per-conn\":1},\"prices\":{\"cross-zone\":0.047,\"late-fail\":0.11,\"probe\":0.02,\"waste\":0.08},"
            + "\"report\":{\"names\":[\"x0\",\"x1\"],\"source\":\"piggyback\"},"
            + "\"rules\":{\"answer-slack\":20.0,\"ask-within\":10000.0,\"cold\":16000.0,\"cold-share\":0.26,"
            + "\"drain-grace\":1000.0,\"fall\":1500.0,\"fall-multiple\":2.5},\"shapes\":[\"std4\"],"
            + "\"weights\":\"silent\",\"zone\":0}";
    static final int GROUP = 2;
    static final List<String> ZONES = List.of("graz-nord", "graz-sued", "graz-west");

    /** An attempt as the member saw it. */
    record Attempt(long startedMs, String uid, Rig.Request request) {}

    final Rig rig;
    final Rig.Discovery discovery = new Rig.Discovery();
    final List<Node> nodes = new ArrayList<>();
    final Map<String, String> records = new ConcurrentHashMap<>();
    final List<Attempt> attempts = Collections.synchronizedList(new ArrayList<>());
    volatile Node primary;
    volatile long workMs = 170;

    Graz(Rig rig, int members) throws Exception {
        this.rig = rig;
        for (int i = 0; i < members; i++) {
            Node node = new Node("db-" + (i + 1));
            nodes.add(node);
            discovery.put(node.uid, node.port(), GROUP, ZONES.get(i % 3), "std4", "ready", "");
        }
        primary = nodes.get(0);
    }

    /** A member whose replicas never lag: nothing of these cases is about lag. */
    final class Node extends Rig.Member {
        private final java.util.concurrent.Semaphore cores = new java.util.concurrent.Semaphore(4, true);

        Node(String uid) throws Exception {
            super(uid);
        }

        @Override
        Rig.Answer answer(Rig.Request request) throws Exception {
            return finish(this, request, run(request));
        }

        private Rig.Answer run(Rig.Request request) throws Exception {
            attempts.add(new Attempt(rig.ms(), uid, request));
            if (request.write && !isPrimary()) {
                return new Rig.Answer(null, "25006", false, positionMs());
            }
            if (request.type.equals("chore")) {
                chore(request);
                return new Rig.Answer(java.util.HexFormat.of().parseHex(request.value()), null, true, positionMs());
            }
            cores.acquire();
            try {
                Rig.sleep(workMs);
            } finally {
                cores.release();
            }
            if (request.write) {
                records.put(request.key, request.value());
                return new Rig.Answer(java.util.HexFormat.of().parseHex(request.value()), null, true, positionMs());
            }
            return new Rig.Answer(records.getOrDefault(request.key, "").getBytes(StandardCharsets.UTF_8), null,
                    isPrimary(), positionMs());
        }

        @Override
        boolean noDelay() {
            return Graz.this.noDelay();
        }

        @Override
        boolean isPrimary() {
            return primary == this;
        }

        @Override
        double positionMs() {
            return System.currentTimeMillis();
        }
    }

    /** What a case makes of an answer. */
    Rig.Answer finish(Node node, Rig.Request request, Rig.Answer answer) {
        return answer;
    }

    boolean noDelay() {
        return true;
    }

    /** Work of the fleet's own statement. */
    void chore(Rig.Request request) throws Exception {
        Rig.sleep(workMs);
    }

    /** A few txns one after the other, so that the driver knows roles, positions and usual answer times. */
    void warmUp(Rig.Driver driver, int count) throws Exception {
        try (Rig.Client client = new Rig.Client(driver.port)) {
            for (int i = 0; i < count; i++) {
                client.ask(rig.select("flag-read", 3000, GROUP, "w" + i), 4000);
                client.ask(rig.insert("flag-change", 5000, GROUP, "w" + i, "9f03"), 6000);
            }
        }
        rig.log("warmed up");
    }

    List<Attempt> attemptsOf(String id) {
        synchronized (attempts) {
            return attempts.stream().filter(a -> a.request().id.equals(id)).toList();
        }
    }
}
