package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.listEntry;
import static wingroad.Fixtures.readStatement;
import static wingroad.Fixtures.writeStatement;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

import wingroad.Fixtures;
import wingroad.Fixtures.FakeDiscovery;
import wingroad.Fixtures.FakeMember;
import wingroad.rig.PackagedDriver;
import wingroad.rig.PipeliningClient;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/** What clients get from the packaged driver while it is told to stop and its members hang. */
@Isolated
@SuppressWarnings("try")
class PlannedStopIT {
    /** When the process may be killed after SIGTERM, with a longest deadline of 3 s or more. */
    private static final long EARLIEST_KILL_MS = 3700;

    /** A client waits longer than the process has until it may be killed. */
    private static final String LONG_WAIT = "d=6000";

    private static final int UNLIMITED_BYTES = 1 << 20;
    private static final int LOW_DESCRIPTOR_LIMIT = 64;

    @TempDir Path directory;

    private FakeDiscovery discovery;
    private FakeMember primary;
    private FakeMember replica;
    private PackagedDriver driver;
    private final List<PipeliningClient> clients = new ArrayList<>();

    @BeforeEach
    void startProcesses() throws IOException {
        discovery = new FakeDiscovery();
        primary = startMember(true);
        replica = startMember(false);
        startDriver(PackagedDriver.DESCRIPTOR_LIMIT);
    }

    private void startDriver(int descriptorLimit) throws IOException {
        String members =
                listEntry("s-1", primary.port(), "ready")
                        + ","
                        + listEntry("s-2", replica.port(), "ready");
        discovery.publish(members);
        String settings =
                Fixtures.SETTINGS_JSON.replaceAll("\"deadline\":[0-9]+", "\"deadline\":6000");
        driver =
                new PackagedDriver(
                        directory, discovery.port(), members, null, settings, descriptorLimit);
    }

    private static FakeMember startMember(boolean isPrimary) throws IOException {
        return new FakeMember(
                isPrimary,
                (sql, session) ->
                        session.sendRow(sql.replaceAll(".*id=([^,]*),.*", "$1"), isPrimary));
    }

    @AfterEach
    void closeAll() throws Exception {
        for (PipeliningClient client : clients) {
            client.close();
        }
        driver.close();
        discovery.close();
        primary.close();
        replica.close();
    }

    private void hangMembers() {
        primary.queryHandler((sql, session) -> session.awaitPeerClose());
        replica.queryHandler((sql, session) -> session.awaitPeerClose());
    }

    private PipeliningClient client(int count, IntFunction<String> commands) throws IOException {
        String name = "c" + clients.size();
        PipeliningClient client = new PipeliningClient(name, driver.port());
        clients.add(client);
        for (int i = 0; i < count; i++) {
            client.send(name + "x" + i, commands.apply(i).replace("ID", name + "x" + i));
        }
        return client;
    }

    private static String read(int number) {
        return readStatement("ID").replace("d=3000", LONG_WAIT);
    }

    private static String write(int number) {
        return writeStatement("ID").replace("d=4000", LONG_WAIT);
    }

    private void pollFor(long ms) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() < endNanos
                && clients.stream().anyMatch(client -> !client.ended())) {
            for (PipeliningClient client : clients) {
                client.poll(UNLIMITED_BYTES);
            }
            Thread.sleep(1);
        }
    }

    /** Sends SIGTERM, then takes all connections as ended at the time of the earliest kill. */
    private void stopUntilKill() throws Exception {
        pollFor(200);
        driver.signal("TERM");
        pollFor(EARLIEST_KILL_MS);
        clients.forEach(PipeliningClient::endNow);
    }

    private void assertAllAnswered(int commandsPerClient) {
        for (PipeliningClient client : clients) {
            assertThat(client.problems()).as("log: " + driver.logLines("")).isEmpty();
            assertThat(client.answerCount()).isEqualTo(commandsPerClient);
        }
        assertThat(driver.logLines("without an answer")).isEmpty();
    }

    @Test
    void readsSentAheadAreAnsweredAtAStopWhileMembersHang() throws Exception {
        hangMembers();
        client(6, PlannedStopIT::read);
        stopUntilKill();
        assertAllAnswered(6);
    }

    @Test
    void singleReadsAreAnsweredAtAStopWhileMembersHang() throws Exception {
        hangMembers();
        for (int i = 0; i < 6; i++) {
            client(1, PlannedStopIT::read);
        }
        stopUntilKill();
        assertAllAnswered(1);
    }

    @Test
    void manyCommandsSentAheadAreAnsweredAtAStopWhileMembersHang() throws Exception {
        hangMembers();
        for (int i = 0; i < 10; i++) {
            client(400, number -> number % 3 == 1 ? write(number) : read(number));
        }
        stopUntilKill();
        assertAllAnswered(400);
    }

    @Test
    void largeWritesSentAheadAreAnsweredAtAStopWhileMembersHang() throws Exception {
        hangMembers();
        String value = "5a".repeat(60_000);
        for (int i = 0; i < 10; i++) {
            client(6, number -> write(number).replace("9f03", value));
        }
        stopUntilKill();
        assertAllAnswered(6);
    }

    @Test
    void clientsInTheBacklogAreAnsweredAtAStopWithAllDescriptorsInUse() throws Exception {
        driver.close();
        startDriver(LOW_DESCRIPTOR_LIMIT);
        hangMembers();
        for (int i = 0; i < LOW_DESCRIPTOR_LIMIT; i++) {
            client(1, PlannedStopIT::read);
        }
        stopUntilKill();
        assertAllAnswered(1);
    }

    @Test
    void readsAreAnsweredWhileTheConfigurationCannotBeRead() throws Exception {
        Path configuration = directory.resolve("config.json");
        Files.delete(configuration);
        // Opening a named pipe that nobody writes to hangs, as a folder on a lost disk does.
        new ProcessBuilder("mkfifo", configuration.toString()).inheritIO().start().waitFor();
        driver.signal("HUP");
        client(6, PlannedStopIT::read);
        driver.signal("HUP");
        stopUntilKill();
        assertAllAnswered(6);
    }
}
