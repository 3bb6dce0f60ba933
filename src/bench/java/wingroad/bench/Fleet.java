package wingroad.bench;

import wingroad.Fixtures;
import wingroad.Fixtures.FakeDiscovery;
import wingroad.Fixtures.FakeMember;

import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A packaged driver, three fake members with a limited number of concurrent txns each, and tenants
 * that send txns over sockets.
 */
final class Fleet implements AutoCloseable {
    /**
     * The free slots of a member, which limit its concurrent txns; their number can change during a
     * run.
     */
    static final class Slots {
        private int available;

        Slots(int places) {
            available = places;
        }

        synchronized void addSlots(int count) {
            available += count;
            notifyAll();
        }

        private synchronized void acquire() throws InterruptedException {
            while (available <= 0) {
                wait();
            }
            available--;
        }

        void runTxn(long ms) throws IOException {
            try {
                acquire();
                Thread.sleep(ms);
            } catch (InterruptedException e) {
                throw new IOException(e);
            } finally {
                addSlots(1);
            }
        }
    }

    /**
     * One response: when it arrived, how long it took, whether the txn was committed, and the retry
     * advice that came with it, or -1.
     */
    record Response(
            long atNanos,
            long tookNanos,
            boolean committed,
            long retryAfter,
            boolean afterAdvice,
            boolean write) {}

    /** The connections of one tenant, which all behave alike. */
    static final class Tenant {
        final String name;
        final int connections;
        final long thinkMs;
        final List<Response> responses = new ArrayList<>();
        volatile boolean active = true;

        /** Every n-th txn is a write; 0: none. */
        int writeInterval;

        Tenant(String name, int connections, long thinkMs) {
            this.name = name;
            this.connections = connections;
            this.thinkMs = thinkMs;
        }

        synchronized void addResponse(Response a) {
            responses.add(a);
        }

        synchronized List<Response> between(long from, long to) {
            return responses.stream().filter(a -> a.atNanos >= from && a.atNanos < to).toList();
        }
    }

    private static final AtomicLong IDS = new AtomicLong();
    private static final long AGAIN_MS = 20;

    final Slots[] memberSlots = new Slots[3];
    private final List<FakeMember> members = new ArrayList<>();
    private final FakeDiscovery discovery = new FakeDiscovery();
    private final Process driver;
    private final int port;
    private final List<Thread> clientThreads = new ArrayList<>();
    final List<String> log = new ArrayList<>();

    Fleet(Path dir, String name, String operator, int placesEach, long workMs) throws IOException {
        StringBuilder known = new StringBuilder();
        for (int i = 0; i < memberSlots.length; i++) {
            Slots p = new Slots(placesEach);
            memberSlots[i] = p;
            boolean primary = i == 0;
            FakeMember m =
                    new FakeMember(
                            primary,
                            (sql, s) -> {
                                p.runTxn(workMs);
                                s.sendRow("v", primary);
                            });
            members.add(m);
            known.append(i > 0 ? "," : "").append(Fixtures.listEntry("s-" + i, m.port(), "ready"));
        }
        Path config =
                Files.writeString(
                        dir.resolve(name + ".json"),
                        "{\"name\":\""
                                + name
                                + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                                + discovery.port()
                                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                                + "\"known\":{\"rev\":0,\"all\":true,\"targets\":["
                                + known
                                + "]},\"settings\":"
                                + Fixtures.SETTINGS_JSON
                                + "}");
        List<String> run = new ArrayList<>(List.of("/bin/sh", "deploy/serve.sh"));
        if (operator != null) {
            run.addAll(
                    List.of(
                            "--operator",
                            Files.writeString(dir.resolve(name + ".kdl"), operator).toString()));
        }
        ProcessBuilder p = new ProcessBuilder(run).redirectErrorStream(true);
        p.environment().put("LB_CONFIG", config.toString());
        driver = p.start();
        BufferedReader out = driver.inputReader(StandardCharsets.UTF_8);
        int at = -1;
        while (at < 0) {
            String line = out.readLine();
            if (line == null) {
                throw new IOException("the driver has ended: " + log);
            }
            log.add(line);
            at =
                    line.contains(" serves ")
                            ? Integer.parseInt(line.replaceAll(".*:([0-9]+),.*", "$1"))
                            : -1;
        }
        port = at;
        Thread rest = new Thread(() -> out.lines().forEach(this::heard));
        rest.setDaemon(true);
        rest.start();
    }

    private synchronized void heard(String line) {
        log.add(line);
    }

    void startClients(Tenant t) {
        for (int i = 0; i < t.connections; i++) {
            Thread asker = new Thread(() -> ask(t));
            asker.setDaemon(true);
            clientThreads.add(asker);
            asker.start();
        }
    }

    private void ask(Tenant t) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        try {
            Thread.sleep(random.nextLong(Math.max(1, t.thinkMs)));
            while (t.active) {
                try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    s.setTcpNoDelay(true);
                    byte[] who =
                            ("user\0svc\0database\0main\0application_name\0" + t.name + "\0\0")
                                    .getBytes(StandardCharsets.UTF_8);
                    s.getOutputStream()
                            .write(
                                    Fixtures.concat(
                                            ByteBuffer.allocate(8)
                                                    .putInt(8 + who.length)
                                                    .putInt(3 << 16)
                                                    .array(),
                                            who));
                    talk(t, s, random);
                } catch (IOException closed) {
                    // let go for being idle, or the driver has ended: a new connection is tried
                    Thread.sleep(AGAIN_MS);
                }
            }
        } catch (InterruptedException over) {
            Thread.currentThread().interrupt();
        }
    }

    private static void talk(Tenant t, Socket s, ThreadLocalRandom random)
            throws IOException, InterruptedException {
        DataInputStream in =
                new DataInputStream(new java.io.BufferedInputStream(s.getInputStream()));
        String first = answer(in);
        boolean returned = false;
        for (boolean open = first != null; open && t.active; ) {
            boolean write = t.writeInterval > 0 && random.nextInt(t.writeInterval) == 0;
            String id = "b" + IDS.incrementAndGet();
            long at = System.nanoTime();
            s.getOutputStream()
                    .write(
                            Fixtures.message(
                                    'Q',
                                    Fixtures.cString(
                                            write
                                                    ? Fixtures.writeStatement(id)
                                                    : Fixtures.readStatement(id))));
            String end = answer(in);
            if (end == null) {
                return;
            }
            long now = System.nanoTime();
            boolean committed = end.equals("row");
            long advice = end.startsWith("53300 ") ? Long.parseLong(end.substring(6)) : -1;
            t.addResponse(new Response(now, now - at, committed, advice, returned, write));
            returned = !committed && advice >= 0;
            Thread.sleep(
                    committed
                            ? t.thinkMs
                            : returned ? advice + random.nextLong(advice / 5 + 1) : AGAIN_MS);
        }
    }

    /**
     * "row", or an error's code and the number in its field D, up to the next ready; null at the
     * end.
     */
    private static String answer(DataInputStream in) throws IOException {
        String end = "";
        for (int type = in.read(); type >= 0; type = in.read()) {
            byte[] body = in.readNBytes(in.readInt() - 4);
            if (type == 'Z') {
                return end;
            }
            if (type == 'D') {
                end = "row";
            } else if (type == 'E') {
                String text = new String(body, StandardCharsets.UTF_8);
                end =
                        text.replaceAll("(?s).*\0C([^\0]*)\0.*", "$1")
                                + (text.contains("\0D")
                                        ? " " + text.replaceAll("(?s).*\0D([0-9]+)\0.*", "$1")
                                        : "");
            }
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        driver.destroyForcibly();
        for (FakeMember m : members) {
            m.close();
        }
        discovery.close();
    }
}
