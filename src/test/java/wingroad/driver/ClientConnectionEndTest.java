package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.STARTUP_MESSAGE;
import static wingroad.Fixtures.concat;
import static wingroad.Fixtures.message;
import static wingroad.Fixtures.readStatement;
import static wingroad.Fixtures.writeStatement;

import org.junit.jupiter.api.Test;

import wingroad.rig.Peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Whatever ends a client's connection, the commands that were read before have their answer. */
class ClientConnectionEndTest extends FrontendTestBase {
    private static final int REJECTED_COMMANDS = 8;
    private static final int IGNORED_MESSAGES = 257;
    private static final long POLLER_TIME_MS = 200;

    ClientConnectionEndTest() throws IOException {
        // declares the exception of the event loop's constructor
    }

    private static int count(String text, String part) {
        return text.split(part, -1).length - 1;
    }

    private static String textToEnd(Peer client) throws IOException {
        return new String(client.readToEnd(), StandardCharsets.ISO_8859_1);
    }

    /** Sends all in one write, so that it is read at once. */
    private static void sendAtOnce(Peer client, byte[]... parts) throws IOException {
        client.send(concat(parts));
    }

    private Peer clientWithAnswer() throws IOException {
        Peer client = connectClient();
        client.send(query(""));
        client.readUntil(READY_FOR_QUERY);
        return client;
    }

    /**
     * Blocks the event loop while the client sends, so that its bytes and the task come together.
     */
    private void runBesideInput(Peer client, byte[] input, Runnable task) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        loop.execute(
                () -> {
                    blocked.countDown();
                    try {
                        released.await();
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                });
        blocked.await();
        loop.execute(task);
        client.send(input);
        // Time for the JDK's poller to read it and to queue its completion behind the task.
        Thread.sleep(POLLER_TIME_MS);
        released.countDown();
    }

    /** An idle client whose command arrives together with a task that ends it, and is served. */
    private Peer clientServedAlthoughItEndsBy(Runnable task) throws Exception {
        reportPrimary();
        Peer client = clientWithAnswer();
        runBesideInput(client, query(readStatement("r")), task);
        commit(dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertThat(client.readUntil(READY_FOR_QUERY)).contains("done");
        return client;
    }

    @Test
    void commandBehindADelayedRejectionIsAnsweredBeforeClosing() throws Exception {
        reportPrimary();
        Peer client = connectClient();
        sendAtOnce(client, query("nonsense"), query("nonsense"), query("nonsense"), query(""));
        client.readUntil(READY_FOR_QUERY);
        loop.execute(frontend::beginClosing);
        assertThat(count(textToEnd(client), READY_FOR_QUERY)).isEqualTo(3);
        client.close();
    }

    @Test
    void commandsSentAheadAreDeclinedWhenAllConnectionsEnd() throws Exception {
        Peer client = connectClient();
        byte[] read = query(readStatement("r").replace("d=3000", "d=60000"));
        byte[] largeWrite = query(writeStatement("l").replace("9f03", "5a".repeat(20_000)));
        byte[] first = query(writeStatement("w").replace("d=4000", "d=60000"));
        sendAtOnce(client, first, read, query("nonsense"), largeWrite, query(""));
        awaitOnLoop(() -> dispatcher.openTxnCount() == 1);
        loop.execute(
                () -> {
                    dispatcher.setAnswerDeadline(clock.now());
                    frontend.declineAll();
                });
        String answers = textToEnd(client);
        assertThat(count(answers, READY_FOR_QUERY)).isEqualTo(5);
        assertThat(count(answers, "C53300")).isEqualTo(4);
        assertThat(dispatched).isEmpty();
        client.close();
    }

    @Test
    void commandThatArrivesWithTheIdleTimeoutIsServed() throws Exception {
        Peer client =
                clientServedAlthoughItEndsBy(
                        () -> frontend.checkTimeoutsAt(clock.now().plusSeconds(10)));
        client.close();
    }

    @Test
    void restThatArrivesWithTheCommandTimeoutIsServed() throws Exception {
        reportPrimary();
        Peer client = clientWithAnswer();
        byte[] read = query(readStatement("r"));
        client.send(Arrays.copyOf(read, 20));
        awaitOnLoop(() -> !frontend.isIdle());
        byte[] rest = concat(Arrays.copyOfRange(read, 20, read.length), query(""));
        runBesideInput(client, rest, () -> frontend.checkTimeoutsAt(clock.now().plusSeconds(10)));
        commit(dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertThat(client.readUntil(READY_FOR_QUERY)).contains("done");
        assertThat(client.readUntil(READY_FOR_QUERY)).startsWith("I");
        client.close();
    }

    @Test
    void startupThatArrivesWithItsTimeoutIsServed() throws Exception {
        Peer client = Peer.connect(port);
        awaitOnLoop(() -> frontend.connectionCount() == 1);
        byte[] input = concat(STARTUP_MESSAGE, query(""));
        runBesideInput(client, input, () -> frontend.checkTimeoutsAt(clock.now().plusSeconds(10)));
        client.readUntil(READY_FOR_QUERY);
        assertThat(client.readUntil(READY_FOR_QUERY)).startsWith("I");
        client.close();
    }

    @Test
    void commandsAheadOfMalformedInputAreAnswered() throws Exception {
        Peer client = connectClient();
        sendAtOnce(client, query(""), query(""), new byte[] {'!', 0, 0, 0, 0});
        String answers = textToEnd(client);
        assertThat(count(answers, READY_FOR_QUERY)).isEqualTo(2);
        assertThat(answers).contains("SFATAL", "unknown message type");
        client.close();
    }

    @Test
    void commandThatArrivesWithTheStopIsAnswered() throws Exception {
        Peer client = clientServedAlthoughItEndsBy(frontend::beginClosing);
        assertThat(textToEnd(client)).isEmpty();
        client.close();
    }

    @Test
    void commandThatArrivesAsTheDescriptorIsNeededIsServed() throws Exception {
        Peer client = clientServedAlthoughItEndsBy(frontend::closeIdleConnection);
        awaitOnLoop(() -> loop.closingChannels() == 0);
        client.close();
    }

    @Test
    void idleConnectionIsClosedForItsDescriptor() throws Exception {
        Peer client = clientWithAnswer();
        loop.execute(frontend::closeIdleConnection);
        assertThat(textToEnd(client)).isEmpty();
        awaitOnLoop(() -> frontend.connectionCount() == 0 && loop.closingChannels() == 0);
        client.close();
    }

    @Test
    void commandBehindTooManyRejectedOnesIsAnswered() throws Exception {
        reportPrimary();
        Peer client = connectClient();
        byte[][] commands = new byte[REJECTED_COMMANDS + 2][];
        Arrays.fill(commands, query("nonsense"));
        commands[REJECTED_COMMANDS] = query(readStatement("behind"));
        commands[REJECTED_COMMANDS + 1] = query("");
        sendAtOnce(client, commands);
        String answers = textToEnd(client);
        assertThat(count(answers, READY_FOR_QUERY)).isEqualTo(REJECTED_COMMANDS + 1);
        assertThat(count(answers, "SFATAL")).isEqualTo(1);
        assertThat(answers).contains("C53300");
        client.close();
    }

    @Test
    void commandBehindTooManyIgnoredMessagesIsAnswered() throws Exception {
        Peer client = connectClient();
        byte[][] messages = new byte[IGNORED_MESSAGES + 2][];
        Arrays.fill(messages, message('d', new byte[1]));
        messages[IGNORED_MESSAGES] = query(readStatement("behind"));
        messages[IGNORED_MESSAGES + 1] = query(readStatement("behind it"));
        sendAtOnce(client, messages);
        String answers = textToEnd(client);
        assertThat(count(answers, "C53300")).isEqualTo(2);
        assertThat(answers).contains("too much that is no query");
        client.close();
    }

    @Test
    void commandsBehindARejectionAreAnsweredWhereMemoryIsShort() throws Exception {
        reportPrimary();
        Peer client = connectClient();
        // Each fits the first buffer of 1 KB, and all together do not.
        byte[] padded =
                query(readStatement("p").replace("/* id", "/* pad=" + "x".repeat(925) + ",id"));
        loop.execute(() -> loop.addBufferedBytes(MEMORY_LIMIT_BYTES));
        byte[] empty = query("");
        sendAtOnce(
                client, query("nonsense"), empty, padded, empty, empty, empty, empty, empty, empty);
        assertThat(client.readUntil(READY_FOR_QUERY)).contains("C08P01");
        assertThat(client.readUntil(READY_FOR_QUERY)).startsWith("I");
        commit(dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertThat(client.readUntil(READY_FOR_QUERY)).contains("done");
        assertThat(client.readUntil(READY_FOR_QUERY)).startsWith("I");
        client.close();
    }

    @Test
    void clientGetsAnErrorIfItsAnswerCannotBeMade() throws Exception {
        reportPrimary();
        Peer client = connectClient();
        client.send(query(readStatement("r")));
        TxnDispatcher.MemberRequest request =
                dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        commit(request, null);
        assertThat(client.readUntil(READY_FOR_QUERY)).contains("CXX000");
        client.send(query(""));
        assertThat(client.readUntil(READY_FOR_QUERY)).startsWith("I");
        client.close();
    }
}
