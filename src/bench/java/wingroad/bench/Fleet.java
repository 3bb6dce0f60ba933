package wingroad.bench;

import wingroad.Fixtures;
import wingroad.Fixtures.FakeDiscovery;
import wingroad.Fixtures.FakeMember;

import java.io.BufferedInputStream;
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

        Slots(int count) {
            available = count;
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

        void runTxn(long durationMs) throws IOException {
            try {
                acquire();
                Thread.sleep(durationMs);
            } catch (InterruptedException e) {
                throw new IOException(e);
            } finally {
                addSlots(1);
            }
        }
    }

    /**
     * One response to a txn.
     *
     * @param retryAfterMs the retry advice of a declined txn, or -1 without one
     * @param afterRetryAdvice whether the txn was sent after waiting as the previous response
     *     advised
     */
    record Response(
            long receivedAtNanos,
            long latencyNanos,
            boolean committed,
            long retryAfterMs,
            boolean afterRetryAdvice,
            boolean write) {}

    /** The connections of one tenant, which all behave alike. */
    static final class Tenant {
        final String name;
        final int connectionCount;
        final long thinkTimeMs;
        final List<Response> responses = new ArrayList<>();
        volatile boolean active = true;

        /** On average one in this many txns is a write; 0 means none. */
        int writeInterval;

        Tenant(String name, int connectionCount, long thinkTimeMs) {
            this.name = name;
            this.connectionCount = connectionCount;
            this.thinkTimeMs = thinkTimeMs;
        }

        synchronized void addResponse(Response response) {
            responses.add(response);
        }

        synchronized List<Response> responsesBetween(long fromNanos, long toNanos) {
            return responses.stream()
                    .filter(
                            response ->
                                    response.receivedAtNanos >= fromNanos
                                            && response.receivedAtNanos < toNanos)
                    .toList();
        }
    }

    /** Number of the last txn sent, unique over all fleets of the process. */
    private static final AtomicLong LAST_TXN_ID = new AtomicLong();

    /** Wait before the next attempt after a lost connection or a decline without retry advice. */
    private static final long RETRY_DELAY_MS = 20;

    final Slots[] memberSlots = new Slots[3];
    private final List<FakeMember> members = new ArrayList<>();
    private final FakeDiscovery discovery = new FakeDiscovery();
    private final Process driver;
    private final int port;
    private final List<Thread> clientThreads = new ArrayList<>();
    final List<String> log = new ArrayList<>();

    Fleet(Path directory, String name, String operatorFile, int slotsPerMember, long txnMs)
            throws IOException {
        StringBuilder listEntries = new StringBuilder();
        for (int i = 0; i < memberSlots.length; i++) {
            Slots slots = new Slots(slotsPerMember);
            memberSlots[i] = slots;
            boolean primary = i == 0;
            FakeMember member =
                    new FakeMember(
                            primary,
                            (sql, session) -> {
                                slots.runTxn(txnMs);
                                session.sendRow("v", primary);
                            });
            members.add(member);
            listEntries
                    .append(i > 0 ? "," : "")
                    .append(Fixtures.listEntry("s-" + i, member.port(), "ready"));
        }
        Path config =
                Files.writeString(
                        directory.resolve(name + ".json"),
                        "{\"name\":\""
                                + name
                                + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                                + discovery.port()
                                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                                + "\"known\":{\"rev\":0,\"all\":true,\"targets\":["
                                + listEntries
                                + "]},\"settings\":"
                                + Fixtures.SETTINGS_JSON
                                + "}");
        List<String> command = new ArrayList<>(List.of("/bin/sh", "deploy/serve.sh"));
        if (operatorFile != null) {
            command.addAll(
                    List.of(
                            "--operator",
                            Files.writeString(directory.resolve(name + ".kdl"), operatorFile)
                                    .toString()));
        }
        ProcessBuilder processBuilder = new ProcessBuilder(command).redirectErrorStream(true);
        processBuilder.environment().put("LB_CONFIG", config.toString());
        driver = processBuilder.start();
        BufferedReader output = driver.inputReader(StandardCharsets.UTF_8);
        int listenPort = -1;
        while (listenPort < 0) {
            String line = output.readLine();
            if (line == null) {
                throw new IOException("the driver has ended: " + log);
            }
            log.add(line);
            listenPort =
                    line.contains(" serves ")
                            ? Integer.parseInt(line.replaceAll(".*:([0-9]+),.*", "$1"))
                            : -1;
        }
        port = listenPort;
        Thread logReader = new Thread(() -> output.lines().forEach(this::appendLog));
        logReader.setDaemon(true);
        logReader.start();
    }

    private synchronized void appendLog(String line) {
        log.add(line);
    }

    void startClients(Tenant tenant) {
        for (int i = 0; i < tenant.connectionCount; i++) {
            Thread clientThread = new Thread(() -> runClient(tenant));
            clientThread.setDaemon(true);
            clientThreads.add(clientThread);
            clientThread.start();
        }
    }

    private void runClient(Tenant tenant) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        try {
            Thread.sleep(random.nextLong(Math.max(1, tenant.thinkTimeMs)));
            while (tenant.active) {
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    socket.setTcpNoDelay(true);
                    byte[] startupParameters =
                            ("user\0svc\0database\0main\0application_name\0" + tenant.name + "\0\0")
                                    .getBytes(StandardCharsets.UTF_8);
                    socket.getOutputStream()
                            .write(
                                    Fixtures.concat(
                                            ByteBuffer.allocate(8)
                                                    .putInt(8 + startupParameters.length)
                                                    .putInt(3 << 16)
                                                    .array(),
                                            startupParameters));
                    sendTxns(tenant, socket, random);
                } catch (IOException closed) {
                    // The driver closed the idle connection or has ended: reconnect after a delay.
                    Thread.sleep(RETRY_DELAY_MS);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sendTxns(Tenant tenant, Socket socket, ThreadLocalRandom random)
            throws IOException, InterruptedException {
        DataInputStream input =
                new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        String startupOutcome = readOutcome(input);
        boolean afterRetryAdvice = false;
        for (boolean open = startupOutcome != null; open && tenant.active; ) {
            boolean write = tenant.writeInterval > 0 && random.nextInt(tenant.writeInterval) == 0;
            String id = "b" + LAST_TXN_ID.incrementAndGet();
            long sentAtNanos = System.nanoTime();
            socket.getOutputStream()
                    .write(
                            Fixtures.message(
                                    'Q',
                                    Fixtures.cString(
                                            write
                                                    ? Fixtures.writeStatement(id)
                                                    : Fixtures.readStatement(id))));
            String outcome = readOutcome(input);
            if (outcome == null) {
                return;
            }
            long receivedAtNanos = System.nanoTime();
            boolean committed = outcome.equals("row");
            long retryAfterMs =
                    outcome.startsWith("53300 ") ? Long.parseLong(outcome.substring(6)) : -1;
            tenant.addResponse(
                    new Response(
                            receivedAtNanos,
                            receivedAtNanos - sentAtNanos,
                            committed,
                            retryAfterMs,
                            afterRetryAdvice,
                            write));
            afterRetryAdvice = !committed && retryAfterMs >= 0;
            Thread.sleep(
                    committed
                            ? tenant.thinkTimeMs
                            : afterRetryAdvice
                                    ? retryAfterMs + random.nextLong(retryAfterMs / 5 + 1)
                                    : RETRY_DELAY_MS);
        }
    }

    /**
     * Reads up to the next ReadyForQuery: returns "row", or an error's SQLSTATE followed by the
     * number in its detail field; null at the end of the connection.
     */
    private static String readOutcome(DataInputStream input) throws IOException {
        String outcome = "";
        for (int type = input.read(); type >= 0; type = input.read()) {
            byte[] body = input.readNBytes(input.readInt() - 4);
            if (type == 'Z') {
                return outcome;
            }
            if (type == 'D') {
                outcome = "row";
            } else if (type == 'E') {
                String text = new String(body, StandardCharsets.UTF_8);
                outcome =
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
        for (FakeMember member : members) {
            member.close();
        }
        discovery.close();
    }
}
