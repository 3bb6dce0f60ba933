package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.STARTUP_MESSAGE;
import static wingroad.Fixtures.cString;
import static wingroad.Fixtures.concat;
import static wingroad.Fixtures.listEntry;
import static wingroad.Fixtures.message;
import static wingroad.Fixtures.readStatement;
import static wingroad.Fixtures.writeStatement;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

import wingroad.Fixtures.FakeDiscovery;
import wingroad.Fixtures.FakeMember;
import wingroad.Fixtures.TestClient;
import wingroad.rig.Bystanders;
import wingroad.rig.ClientCrowd;
import wingroad.rig.FloodingClient;
import wingroad.rig.PackagedDriver;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * Clients that press the packaged driver, as it is started in service with 192 MB and 1,024
 * descriptors: its memory, and what ordinary clients beside them get. Each scene prints its
 * figures.
 */
@Isolated
@SuppressWarnings("try")
class ClientPressureIT {
    private static final long WARM_UP_MS = 1000;

    /** How long a scene lasts; the time limits of clients' commands are shorter. */
    private static final long SCENE_MS = 5000;

    private static final long SAMPLE_INTERVAL_MS = 100;

    private static final int CROWD_SIZE = 800;

    private static final int BURST_SIZE = 300;

    /** How long others may take beside a burst. */
    private static final double MAX_DELAY_MS = 100;

    /** More than any text, so that all of it is sent at once. */
    private static final int UNLIMITED = 1 << 20;

    /** Bytes that a slow client writes every 20 ms: a large write takes 1.7 s. */
    private static final int SLOW_WRITE_BYTES = 1500;

    /** What must be served where members are healthy: all but 0.05. */
    private static final double HEALTHY_SHARE = 0.95;

    /** What must be served in any trouble, as a share of what could be. */
    private static final double TROUBLED_SHARE = 0.5;

    /** A flood may not leave so much behind: it is far less than what a leak does. */
    private static final long MAX_HEAP_GROWTH_KB = 1024;

    private static final int FLOOD_MS = 4000;

    /** A connection's txns are worked off one by one: several make more of them. */
    private static final int FLOODING_CLIENT_COUNT = 8;

    /** By then all that is kept of a statement with a time limit of 1 ms is let go. */
    private static final int SHORT_RELEASE_MS = 500;

    /** By then the ids of writes are let go: the longest expiry, and a check of them. */
    private static final int WRITE_RELEASE_MS = 5500;

    /** The value that members answer with; more than a connection buffers without asking. */
    private static final String ROW = "v".repeat(5000);

    private static final String LARGE_ROW = "v".repeat(64 * 1024);

    private static final String FAIR_QUEUES =
            """
            /- kdl-version 2
            door {
                tenant-from comment tenant
                tenant-from startup application_name
            }
            """;

    @TempDir Path directory;

    private FakeDiscovery discovery;
    private FakeMember primary;
    private FakeMember replica;
    private PackagedDriver driver;

    /** The most bytes that the system held for the driver's client connections in the scene. */
    private long peakSystemBytes;

    @BeforeEach
    void startStubs() throws IOException {
        discovery = new FakeDiscovery();
        primary = startMember(true);
        replica = startMember(false);
    }

    private static FakeMember startMember(boolean isPrimary) throws IOException {
        return new FakeMember(
                isPrimary,
                (sql, session) ->
                        session.sendRow(
                                sql.contains("/* id=largeanswer") ? LARGE_ROW : ROW, isPrimary));
    }

    private void startDriver(String operatorFile) throws IOException {
        String members =
                listEntry("s-1", primary.port(), "ready")
                        + ","
                        + listEntry("s-2", replica.port(), "ready");
        discovery.publish(members);
        driver = new PackagedDriver(directory, discovery.port(), members, operatorFile);
    }

    private void startDriverWithoutList() throws IOException {
        discovery.close();
        driver = new PackagedDriver(directory, discovery.port(), "", null);
    }

    @AfterEach
    void stopAll() throws Exception {
        if (driver != null) {
            driver.close();
        }
        discovery.close();
        primary.close();
        replica.close();
    }

    private static byte[] query(String sql) {
        return message('Q', cString(sql));
    }

    private static byte[] largeWrite(int n) {
        return query(writeStatement("large" + n).replace("9f03", "7f".repeat(64 * 1024)));
    }

    /** A statement whose comment has nearly as many short fields as a message can hold. */
    private static byte[] readWithManyFields(int n) {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; fields.length() < 125_000; i++) {
            fields.append(",x").append(Integer.toString(i, 36)).append("=");
        }
        return query(readStatement("f" + n).replace(",c=look", fields + ",c=look"));
    }

    /** A statement whose comment has one long field. */
    private static byte[] readWithLongField(int n) {
        return query(
                readStatement("f" + n).replace(",c=look", ",x=" + "y".repeat(125_000) + ",c=look"));
    }

    /** A startup message with nearly as many short parameters as it can hold. */
    private static byte[] startupWithManyFields() {
        StringBuilder fields = new StringBuilder("user\0svc\0database\0main\0");
        for (int i = 0; fields.length() < 9980; i++) {
            fields.append((char) ('!' + i / 90 % 90)).append((char) ('!' + i % 90)).append("\0a\0");
        }
        byte[] body = fields.append("\0").toString().getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(8 + body.length)
                .putInt(8 + body.length)
                .putInt(3 << 16)
                .put(body)
                .array();
    }

    /** Lets the scene go on for its time; returns what the ordinary clients beside it got. */
    private Bystanders.Summary observe(String scene, Bystanders bystanders) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SCENE_MS);
        while (System.nanoTime() < endNanos && driver.isAlive()) {
            peakSystemBytes = Math.max(peakSystemBytes, driver.systemBufferedBytes());
            primary.queries.clear();
            replica.queries.clear();
            TimeUnit.MILLISECONDS.sleep(SAMPLE_INTERVAL_MS);
        }
        assertThat(driver.isAlive()).as("the process lives").isTrue();
        Bystanders.Summary summary = bystanders.summary();
        System.out.println(
                scene
                        + ": peak memory "
                        + driver.peakMemoryMb()
                        + " MB, the system's buffers "
                        + peakSystemBytes / 1024
                        + " kB, beside it "
                        + summary
                        + driver.logLines("counts since"));
        return summary;
    }

    private void assertNoneLost(Bystanders.Summary summary) {
        assertThat(summary.lost()).as("lost").isZero();
        assertThat(summary.late()).as("late").isZero();
        assertThat(summary.failed()).as("failed").isZero();
    }

    private void assertMemoryLimitKept() throws IOException {
        assertThat(driver.peakMemoryMb() + (peakSystemBytes >> 20))
                .as("MB of the process and of the system's buffers for it")
                .isLessThanOrEqualTo(PackagedDriver.MEMORY_LIMIT_MB);
        assertThat(driver.logLines("unexpected error")).isEmpty();
    }

    /** Plays a crowd beside ordinary clients, which must be served this share of their txns. */
    private void playCrowd(
            String scene,
            boolean readsAnswers,
            int bytesPerRound,
            double servedShare,
            IntFunction<byte[]> text)
            throws Exception {
        try (Bystanders bystanders = new Bystanders(driver.port())) {
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
            bystanders.reset();
            try (ClientCrowd crowd =
                    new ClientCrowd(driver.port(), CROWD_SIZE, readsAnswers, bytesPerRound, text)) {
                Bystanders.Summary summary = observe(scene, bystanders);
                assertThat(crowd.connectCount()).isGreaterThanOrEqualTo(CROWD_SIZE);
                assertNoneLost(summary);
                assertMemoryLimitKept();
                assertThat((double) summary.committed() / summary.sent())
                        .as("served share")
                        .isGreaterThanOrEqualTo(servedShare);
            }
        }
    }

    /** Guards against declining and rolling back others' txns for memory that slow writers hold. */
    @Test
    void slowWritersLeaveMemoryToOthers() throws Exception {
        startDriver(null);
        playCrowd(
                "slow writers",
                true,
                SLOW_WRITE_BYTES,
                HEALTHY_SHARE,
                n -> concat(STARTUP_MESSAGE, largeWrite(n)));
    }

    /** Guards against the same, for clients that stop half way through a large request. */
    @Test
    void clientsThatStopInARequestLeaveMemoryToOthers() throws Exception {
        startDriver(null);
        playCrowd(
                "stopped half way",
                true,
                UNLIMITED,
                HEALTHY_SHARE,
                n -> concat(STARTUP_MESSAGE, Arrays.copyOf(largeWrite(n), 70 * 1024)));
    }

    /**
     * Guards against failing others' txns beside complete statements that use up the memory; half
     * of them are of many fields, and half are served.
     */
    @Test
    void statementsOfManyFieldsLeaveMemoryToOthers() throws Exception {
        startDriver(null);
        playCrowd(
                "many fields",
                true,
                UNLIMITED,
                TROUBLED_SHARE,
                n ->
                        concat(
                                STARTUP_MESSAGE,
                                n % 2 == 0 ? readWithManyFields(n) : readWithLongField(n)));
    }

    /** Guards against keeping all parameters of a startup message for each connection. */
    @Test
    void startupMessagesOfManyFieldsKeepTheMemoryLimit() throws Exception {
        startDriver(FAIR_QUEUES);
        playCrowd(
                "many startup fields, fair queues",
                true,
                UNLIMITED,
                // The crowd comes from the same address, so the fair queues give it its share.
                0,
                n -> concat(startupWithManyFields(), query(readStatement("s" + n))));
    }

    /**
     * Guards against handing the system hundreds of megabytes for clients that do not read, and
     * against failing others' txns for answers that are kept for them.
     */
    @Test
    void unreadAnswersLeaveMemoryToOthers() throws Exception {
        startDriver(null);
        playCrowd(
                "unread answers",
                false,
                UNLIMITED,
                // The crowd's reads overload the members, so that others' share of them is not
                // known.
                0,
                n -> {
                    byte[][] queries = new byte[40][];
                    Arrays.setAll(queries, i -> query(readStatement("largeanswer" + n + "-" + i)));
                    return concat(STARTUP_MESSAGE, concat(queries));
                });
    }

    /**
     * Plays a flood by a few clients twice: with nothing kept for good, the second one leaves as
     * much memory in use as the first.
     */
    private void playFlood(
            String scene, int releaseMs, byte[] greeting, IntFunction<byte[]> messages)
            throws Exception {
        long heapAfterFirstKb = floodAndRelease(releaseMs, greeting, messages, 0);
        long heapAfterSecondKb = floodAndRelease(releaseMs, greeting, messages, 100_000_000);
        System.out.println(
                scene
                        + ": heap in use "
                        + heapAfterFirstKb
                        + " kB after one flood, "
                        + heapAfterSecondKb
                        + " kB after two, peak memory "
                        + driver.peakMemoryMb()
                        + " MB");
        assertThat(heapAfterSecondKb - heapAfterFirstKb)
                .as("kB that one more flood leaves in use")
                .isLessThan(MAX_HEAP_GROWTH_KB);
        assertMemoryLimitKept();
    }

    private long floodAndRelease(
            int releaseMs, byte[] greeting, IntFunction<byte[]> messages, int firstNumber)
            throws Exception {
        List<FloodingClient> floods = new ArrayList<>();
        for (int i = 0; i < FLOODING_CLIENT_COUNT; i++) {
            int start = firstNumber + i;
            floods.add(
                    new FloodingClient(
                            driver.port(),
                            greeting,
                            n -> messages.apply(start + n * FLOODING_CLIENT_COUNT)));
        }
        try {
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLOOD_MS);
            while (System.nanoTime() < endNanos) {
                TimeUnit.MILLISECONDS.sleep(SAMPLE_INTERVAL_MS);
                primary.queries.clear();
                replica.queries.clear();
            }
        } finally {
            for (FloodingClient flood : floods) {
                flood.close();
            }
        }
        TimeUnit.MILLISECONDS.sleep(releaseMs);
        return driver.liveHeapKb();
    }

    /** Guards against keeping each declined read of a group that has no members. */
    @Test
    void declinedReadsBeforeTheFirstListAreLetGo() throws Exception {
        startDriverWithoutList();
        playFlood(
                "reads without a list",
                SHORT_RELEASE_MS,
                STARTUP_MESSAGE,
                n -> query(readStatement("f" + n).replace("d=3000", "d=1")));
    }

    /** Guards against keeping each group that a client names while there is no list. */
    @Test
    void groupsNamedBeforeTheFirstListAreBounded() throws Exception {
        startDriverWithoutList();
        playFlood(
                "writes to new groups without a list",
                SHORT_RELEASE_MS,
                STARTUP_MESSAGE,
                n ->
                        query(
                                writeStatement("f" + n)
                                        .replace("d=4000", "d=1")
                                        .replace("cluster=7", "cluster=" + n)));
    }

    /** Guards against keeping committed txns until their clients' time limit is over. */
    @Test
    void committedWritesWithLongTimeLimitsAreLetGo() throws Exception {
        startDriver(null);
        playFlood(
                "writes with a time limit of a day",
                WRITE_RELEASE_MS,
                STARTUP_MESSAGE,
                n -> query(writeStatement("f" + n).replace("d=4000", "d=86400000")));
    }

    private void playFloodBesideOthers(String scene, byte[] greeting, IntFunction<byte[]> messages)
            throws Exception {
        startDriver(null);
        try (Bystanders bystanders = new Bystanders(driver.port())) {
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
            bystanders.reset();
            try (FloodingClient flood = new FloodingClient(driver.port(), greeting, messages)) {
                Bystanders.Summary summary = observe(scene, bystanders);
                System.out.println(scene + ": " + flood);
                assertNoneLost(summary);
                assertMemoryLimitKept();
                assertThat((double) summary.committed() / summary.sent())
                        .as("served share")
                        .isGreaterThanOrEqualTo(HEALTHY_SHARE);
            }
        }
    }

    @Test
    void emptyQueriesAtFullSpeedDelayNobody() throws Exception {
        playFloodBesideOthers("empty queries", STARTUP_MESSAGE, n -> query(""));
    }

    @Test
    void readsUnderNewNamesAtFullSpeedDelayNobody() throws Exception {
        playFloodBesideOthers(
                "reads under new names",
                STARTUP_MESSAGE,
                n -> query(readStatement("f" + n).replace("'ab'", "'k" + n + "'")));
    }

    @Test
    void unsoundStatementsAtFullSpeedDelayNobody() throws Exception {
        playFloodBesideOthers("unsound statements", STARTUP_MESSAGE, n -> query("SELECT " + n));
    }

    /** Guards against a client that sends without end what is skipped up to the next Sync. */
    @Test
    void queriesBehindARejectedMessageDelayNobody() throws Exception {
        playFloodBesideOthers(
                "queries behind a Parse message",
                concat(STARTUP_MESSAGE, message('P', cString("x"))),
                n -> query("x"));
    }

    /**
     * Guards against working off a burst of large statements in one go: another client's longest
     * time beside it was about a second.
     */
    @Test
    void burstOfLargeStatementsDelaysOthersByOneAtATime() throws Exception {
        startDriver(null);
        byte[][] statements = new byte[BURST_SIZE][];
        Arrays.setAll(statements, ClientPressureIT::readWithManyFields);
        List<TestClient> burst = new ArrayList<>();
        for (int n = 0; n < BURST_SIZE; n++) {
            burst.add(new TestClient(driver.port()).sendStartup());
            assertThat(burst.get(n).readResponses()).isEmpty();
        }
        try (TestClient other = new TestClient(driver.port()).sendStartup()) {
            other.readResponses();
            timeReads(other, "before", WARM_UP_MS);
            Thread sender =
                    new Thread(
                            () -> {
                                for (int n = 0; n < BURST_SIZE; n++) {
                                    sendUnlessClosed(burst.get(n), statements[n]);
                                }
                            });
            sender.start();
            double[] elapsedMs = timeReads(other, "beside", SCENE_MS);
            sender.join();
            System.out.println(
                    "burst of large statements: another client's "
                            + elapsedMs.length
                            + " reads took "
                            + elapsedMs[elapsedMs.length / 2]
                            + " ms in the median and "
                            + elapsedMs[elapsedMs.length - 1]
                            + " ms at most, peak memory "
                            + driver.peakMemoryMb()
                            + " MB");
            assertThat(elapsedMs[elapsedMs.length - 1])
                    .as("longest time of another client's reads, in ms")
                    .isLessThan(MAX_DELAY_MS);
        }
        assertMemoryLimitKept();
        for (TestClient client : burst) {
            client.close();
        }
    }

    private static void sendUnlessClosed(TestClient client, byte[] bytes) {
        try {
            client.send(bytes);
        } catch (IOException closed) {
            // The driver has given its command up.
        }
    }

    /** Sends one read after the other; returns how long each took, in order of length. */
    private static double[] timeReads(TestClient client, String name, long durationMs)
            throws IOException {
        List<Double> elapsedMs = new ArrayList<>();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
        while (System.nanoTime() < endNanos) {
            long startNanos = System.nanoTime();
            assertThat(client.query(readStatement(name + elapsedMs.size())).readResponses())
                    .containsExactly("row " + ROW);
            elapsedMs.add((System.nanoTime() - startNanos) / 1e6);
        }
        return elapsedMs.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }
}
