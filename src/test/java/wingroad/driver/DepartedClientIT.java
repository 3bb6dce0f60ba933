package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.cString;
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
import wingroad.Fixtures.QueryHandler;
import wingroad.Fixtures.TestClient;
import wingroad.rig.PackagedDriver;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Clients that close their connection while much of what they sent, or of what they were sent, is
 * unread: nothing of theirs may begin at a member more than 0.1 s later, and no id runs twice.
 */
@Isolated
@SuppressWarnings("try")
class DepartedClientIT {
    /** How long after a client's end a statement may still begin, and the slack on sockets. */
    private static final long GRACE_MS = 150;

    /** How long a scene waits for statements that must not come. */
    private static final long WATCH_MS = 2500;

    private static final Pattern STATEMENT_ID = Pattern.compile("/\\* id=([^,]*),");

    @TempDir Path directory;

    private FakeDiscovery discovery;
    private FakeMember primary;
    private FakeMember replica;
    private PackagedDriver driver;

    private record Begun(String id, long atMs) {}

    private final List<Begun> begun = Collections.synchronizedList(new ArrayList<>());
    private volatile long memberDelayMs;
    private volatile String row = "v";

    @BeforeEach
    void start() throws IOException {
        discovery = new FakeDiscovery();
        primary = new FakeMember(true, handler(true));
        replica = new FakeMember(false, handler(false));
        String members =
                listEntry("s-1", primary.port(), "ready")
                        + ","
                        + listEntry("s-2", replica.port(), "ready");
        discovery.publish(members);
        driver = new PackagedDriver(directory, discovery.port(), members, null);
    }

    private QueryHandler handler(boolean isPrimary) {
        return (sql, session) -> {
            Matcher matcher = STATEMENT_ID.matcher(sql);
            if (matcher.find()) {
                begun.add(new Begun(matcher.group(1), System.currentTimeMillis()));
            }
            try {
                TimeUnit.MILLISECONDS.sleep(memberDelayMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            session.sendRow(row, isPrimary);
        };
    }

    @AfterEach
    void stop() throws Exception {
        driver.close();
        discovery.close();
        primary.close();
        replica.close();
    }

    private static byte[] query(String sql) {
        return message('Q', cString(sql));
    }

    private static byte[] largeWrite(String id) {
        return query(writeStatement(id).replace("9f03", "7f".repeat(64 * 1024)));
    }

    /** Learns the primary, so that later writes go to it at once. */
    private void warmUp() throws IOException {
        try (TestClient client = new TestClient(driver.port())) {
            client.sendStartup().readResponses();
            for (int n = 0; n < 5; n++) {
                client.query(writeStatement("warm" + n)).readResponses();
                client.query(readStatement("warmread" + n)).readResponses();
            }
        }
        begun.clear();
    }

    private List<Begun> begunLate(long closedAtMs) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(WATCH_MS);
        synchronized (begun) {
            return begun.stream().filter(b -> b.atMs() > closedAtMs + GRACE_MS).toList();
        }
    }

    /** Sends in the background what the driver may not read; the client's end stands behind it. */
    private static void sendAll(TestClient client, byte[]... parts) throws Exception {
        Thread sender =
                new Thread(
                        () -> {
                            try {
                                client.send(parts);
                            } catch (IOException closed) {
                                // The client has left meanwhile.
                            }
                        });
        sender.setDaemon(true);
        sender.start();
        sender.join(300);
    }

    /** Guards against a write that begins for a client that left during the delay of an error. */
    @Test
    void closeBehindRejectedCommands() throws Exception {
        warmUp();
        TestClient client = new TestClient(driver.port()).sendStartup();
        client.readResponses();
        List<byte[]> parts = new ArrayList<>();
        for (int n = 0; n < 7; n++) {
            parts.add(query("unsound"));
        }
        for (int n = 0; n < 4; n++) {
            parts.add(largeWrite("late" + n));
        }
        sendAll(client, parts.toArray(byte[][]::new));
        for (int n = 0; n < 7; n++) {
            assertThat(client.readResponses()).containsExactly("error 08P01");
        }
        client.close();
        assertThat(begunLate(System.currentTimeMillis())).isEmpty();
    }

    /** Guards against working off what a client sent ahead before it left. */
    @Test
    void closeBehindPipelinedWrites() throws Exception {
        warmUp();
        memberDelayMs = 30;
        TestClient client = new TestClient(driver.port()).sendStartup();
        client.readResponses();
        List<byte[]> parts = new ArrayList<>();
        for (int n = 0; n < 5000; n++) {
            parts.add(query(writeStatement("piped" + n)));
        }
        sendAll(client, parts.toArray(byte[][]::new));
        client.close();
        assertThat(begunLate(System.currentTimeMillis())).isEmpty();
    }

    /** Guards against the same where the client has not read its answers either. */
    @Test
    void closeOverUnreadAnswers() throws Exception {
        warmUp();
        row = "z".repeat(64 * 1024);
        TestClient client = new TestClient(driver.port()).sendStartup();
        client.readResponses();
        List<byte[]> parts = new ArrayList<>();
        for (int n = 0; n < 5000; n++) {
            parts.add(query(readStatement("piped" + n)));
        }
        sendAll(client, parts.toArray(byte[][]::new));
        TimeUnit.MILLISECONDS.sleep(500);
        client.close();
        assertThat(begunLate(System.currentTimeMillis())).isEmpty();
    }

    /**
     * Guards against running an id again that ran for a client that left, once its time is over.
     */
    @Test
    void idComesAgainAfterItsTime() throws Exception {
        warmUp();
        memberDelayMs = 100;
        TestClient client = new TestClient(driver.port()).sendStartup();
        client.readResponses();
        client.query(writeStatement("same").replace("d=4000", "d=300"));
        TimeUnit.MILLISECONDS.sleep(50);
        client.close();
        TimeUnit.MILLISECONDS.sleep(500);
        TestClient again = new TestClient(driver.port()).sendStartup();
        again.readResponses();
        assertThat(again.query(writeStatement("same")).readResponses())
                .containsExactly("error 42704");
        assertThat(begun.stream().filter(b -> b.id().equals("same")).count()).isEqualTo(1);
    }

    /** Guards against running a left client's copy of an id that has come again meanwhile. */
    @Test
    void idComesAgainWhileItsFirstCopyIsUnread() throws Exception {
        warmUp();
        TestClient client = new TestClient(driver.port()).sendStartup();
        client.readResponses();
        List<byte[]> parts = new ArrayList<>();
        for (int n = 0; n < 7; n++) {
            parts.add(query("unsound"));
        }
        parts.add(query(writeStatement("same").replace("d=4000", "d=300")));
        for (int n = 0; n < 4; n++) {
            parts.add(largeWrite("late" + n));
        }
        sendAll(client, parts.toArray(byte[][]::new));
        for (int n = 0; n < 7; n++) {
            assertThat(client.readResponses()).containsExactly("error 08P01");
        }
        client.close();
        TestClient again = new TestClient(driver.port()).sendStartup();
        again.readResponses();
        assertThat(again.query(writeStatement("same").replace("d=4000", "d=300")).readResponses())
                .containsExactly("row v");
        TimeUnit.MILLISECONDS.sleep(WATCH_MS);
        assertThat(begun.stream().filter(b -> b.id().equals("same")).count()).isEqualTo(1);
    }
}
