package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.message;
import static wingroad.Fixtures.readStatement;
import static wingroad.Fixtures.writeStatement;

import org.junit.jupiter.api.Test;

import wingroad.Fixtures;
import wingroad.rig.Peer;
import wingroad.state.Member.Role;
import wingroad.state.Submission.Outcome;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Clients that send, disconnect and are disconnected at moments that the test chooses. The test
 * also takes the place of the members.
 */
class ClientFrontendTest extends FrontendTestBase {
    ClientFrontendTest() throws IOException {
        // declares the exception of the event loop's constructor
    }

    /**
     * Guards against a txn being sent to a member although its client has disconnected, where the
     * disconnect stands behind many unread pipelined statements.
     */
    @Test
    void disconnectBehindPipelinedStatementsIsDetected() throws Exception {
        for (boolean resets : new boolean[] {false, true}) {
            Peer client = connectClient();
            client.send(query(writeStatement("w" + resets).replace("d=4000", "d=60000")));
            awaitOnLoop(() -> dispatcher.openTxnCount() == 1);
            for (int i = 0; i < 400; i++) {
                client.send(query(readStatement("r" + resets + i)));
            }
            if (resets) {
                client.reset();
            } else {
                client.close();
            }
            awaitOnLoop(() -> dispatcher.openTxnCount() == 0);
            reportPrimary();
            awaitOnLoop(() -> frontend.connectionCount() == 0);
            assertThat(dispatched).isEmpty();
            loop.execute(
                    () ->
                            dispatcher
                                    .router()
                                    .memberReported(
                                            clock.now(),
                                            MEMBER_ID,
                                            Role.REPLICA,
                                            clock.now(),
                                            Double.NaN,
                                            Double.NaN,
                                            Double.NaN));
        }
        assertThat(unexpectedFailures).isEmpty();
    }

    /**
     * Guards against a txn being sent to a member after its client has disconnected, where the
     * disconnect stands behind more pipelined statements than are read ahead.
     */
    @Test
    void disconnectBehindMoreThanIsReadAheadIsDetected() throws Exception {
        String longValue = "5a".repeat(64 * 1024);
        for (boolean resets : new boolean[] {false, true}) {
            Peer client = connectClient();
            for (int i = 0; i < 3; i++) {
                String id = "long" + i + resets;
                String statement = writeStatement(id).replace("d=4000", "d=60000");
                client.send(query(statement.replace("9f03", longValue)));
            }
            awaitOnLoop(() -> dispatcher.openTxnCount() == 1);
            if (resets) {
                client.reset();
            } else {
                client.close();
            }
            awaitOnLoop(() -> dispatcher.openTxnCount() == 0);
            awaitOnLoop(() -> frontend.connectionCount() == 0);
        }
        reportPrimary();
        assertThat(dispatched).isEmpty();
        assertThat(unexpectedFailures).isEmpty();
    }

    /** Guards against taking a client that only sends much ahead for one that has gone. */
    @Test
    void clientThatSendsMoreThanIsReadAheadGetsAllAnswers() throws Exception {
        String longValue = "5a".repeat(64 * 1024);
        Peer client = connectClient();
        byte[][] statements = new byte[3][];
        for (int i = 0; i < statements.length; i++) {
            statements[i] = query(writeStatement("ahead" + i).replace("9f03", longValue));
        }
        client.send(statements);
        awaitOnLoop(() -> dispatcher.openTxnCount() == 1);
        assertThat(client.readUntil("Min progress\0\0")).startsWith("N");
        reportPrimary();
        for (int i = 0; i < statements.length; i++) {
            commit(dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertThat(client.readUntil(READY_FOR_QUERY)).contains("done");
        }
        client.close();
        awaitOnLoop(() -> frontend.connectionCount() == 0);
    }

    /**
     * Pipelined statements are read only while less than half of the memory is in use: a client
     * that floods the driver must wait, and the rest is left to others.
     */
    @Test
    void pipelinedStatementsUseHalfOfTheMemoryAtMost() throws Exception {
        Peer client = connectClient();
        client.send(query(writeStatement("w").replace("d=4000", "d=60000")));
        awaitOnLoop(() -> dispatcher.openTxnCount() == 1);
        loop.execute(() -> loop.addBufferedBytes(HALF_MEMORY_LIMIT_BYTES - loop.bufferedBytes()));
        for (int i = 0; i < 1000; i++) {
            client.send(query(readStatement("r" + i)));
        }
        reportPrimary();
        commit(dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertThat(client.readUntil(READY_FOR_QUERY)).contains("done");
        BlockingQueue<Long> bufferedBytes = new LinkedBlockingQueue<>();
        loop.execute(() -> bufferedBytes.add(loop.bufferedBytes()));
        assertThat(bufferedBytes.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .isLessThan(HALF_MEMORY_LIMIT_BYTES + 64 * 1024);
        assertThat(dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS).statement().id())
                .isEqualTo("r0");
    }

    /**
     * Guards against a shutdown that disconnects a client in the middle of sending a statement, be
     * it the client's first or a later one.
     */
    @Test
    void partlySentStatementIsAnsweredBeforeClosing() throws Exception {
        reportPrimary();
        Peer clientWithAnswer = connectClient();
        clientWithAnswer.send(query(""));
        clientWithAnswer.readUntil(READY_FOR_QUERY);
        for (Peer client : List.of(clientWithAnswer, connectClient())) {
            byte[] statement = query(writeStatement("half" + (client == clientWithAnswer)));
            // The last answer counts as written, so that only the half statement is left.
            awaitOnLoop(frontend::isIdle);
            client.send(Arrays.copyOf(statement, 60));
            awaitOnLoop(() -> !frontend.isIdle());
            loop.execute(frontend::beginClosing);
            client.send(Arrays.copyOfRange(statement, 60, statement.length));
            commit(dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertThat(client.readUntil(READY_FOR_QUERY)).contains("done");
            assertThat(client.readToEnd()).isEmpty();
            client.close();
            awaitOnLoop(frontend::isIdle);
        }
        awaitOnLoop(() -> frontend.connectionCount() == 0);
    }

    /**
     * Guards against an idle timeout in the middle of a command: the client has rested for almost
     * the idle timeout and then writes slowly.
     */
    @Test
    void commandThatBeginsBeforeTheIdleTimeoutIsReadToItsEnd() throws Exception {
        reportPrimary();
        Peer client = connectClient();
        client.send(query(""));
        client.readUntil(READY_FOR_QUERY);
        byte[] statement = query(writeStatement("slow"));
        Thread.sleep(1900);
        client.send(Arrays.copyOf(statement, 60));
        // Past the idle timeout of 2.2 s, within the 1.5 s that a command may take.
        Thread.sleep(900);
        client.send(Arrays.copyOfRange(statement, 60, statement.length));
        commit(dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertThat(client.readUntil(READY_FOR_QUERY)).contains("done");
        client.close();
    }

    /**
     * A txn is open when closing begins, with pipelined statements behind it: all of them are
     * answered in order before the connection is closed.
     */
    @Test
    void pipelinedStatementsAreAnsweredBeforeClosing() throws Exception {
        reportPrimary();
        Peer client = connectClient();
        // Sent in one write so that all of it is read at once. Statements that are unread when the
        // driver closes its side are not answered; their client sends them to another driver.
        client.send(
                Fixtures.concat(query(writeStatement("w")), query(readStatement("r")), query("")));
        TxnDispatcher.MemberRequest writeRequest =
                dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        loop.execute(frontend::beginClosing);
        commit(writeRequest);
        assertThat(client.readUntil(READY_FOR_QUERY)).contains("done");
        TxnDispatcher.MemberRequest readRequest =
                dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(readRequest.statement().id()).isEqualTo("r");
        commit(readRequest);
        assertThat(client.readUntil(READY_FOR_QUERY)).contains("done");
        assertThat(client.readUntil(READY_FOR_QUERY)).startsWith("I");
        assertThat(client.readToEnd()).isEmpty();
        client.close();
        awaitOnLoop(() -> frontend.connectionCount() == 0);
    }

    /**
     * A statement that arrives just after the driver has closed its side is not sent to a member,
     * and its client sees an orderly close instead of a reset.
     */
    @Test
    void inputAfterFinishIsDiscarded() throws Exception {
        reportPrimary();
        Peer client = connectClient();
        client.send(query(""));
        client.readUntil(READY_FOR_QUERY);
        Peer newClient = connectClient();
        loop.execute(frontend::finishAll);
        // Accepted from the listen backlog after all others were finished: finished at once.
        Peer pendingClient = Peer.connect(port);
        assertThat(pendingClient.readToEnd()).isEmpty();
        pendingClient.close();
        for (Peer finishedClient : List.of(client, newClient)) {
            finishedClient.send(query(writeStatement("late")));
            assertThat(finishedClient.readToEnd()).isEmpty();
            finishedClient.send(query(writeStatement("later")));
        }
        // Both connections stay open until their clients close them: closing a socket with unread
        // bytes would reset the connection.
        awaitOnLoop(() -> frontend.connectionCount() == 2 && frontend.isIdle());
        client.close();
        newClient.close();
        awaitOnLoop(() -> frontend.connectionCount() == 0);
        assertThat(dispatched).isEmpty();
        assertThat(dispatcher.openTxnCount()).isZero();
    }

    /**
     * A client reads late, and its answer is still being written when all connections are finished:
     * the answer must arrive completely.
     */
    @Test
    void unflushedAnswerIsWrittenBeforeFinish() throws Exception {
        reportPrimary();
        Peer client = connectClient();
        client.send(query(writeStatement("large")));
        TxnDispatcher.MemberRequest request =
                dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        byte[] rowMessages = new byte[32 << 20];
        loop.execute(
                () -> {
                    dispatcher.submissionEnded(
                            request,
                            Outcome.COMMITTED,
                            Duration.ofMillis(1),
                            new TxnDispatcher.MemberStatus(Role.PRIMARY, null, null),
                            rowMessages);
                    frontend.finishAll();
                });
        awaitOnLoop(() -> dispatcher.openTxnCount() == 0 && !frontend.isIdle());
        assertThat(client.readToEnd().length).isGreaterThanOrEqualTo(rowMessages.length);
        client.close();
        awaitOnLoop(() -> frontend.connectionCount() == 0);
    }

    /**
     * Guards against clients that keep the event loop busy with an endless stream of messages that
     * get no answer: CopyData, or extended queries without Sync.
     */
    @Test
    void clientWithTooManyIgnoredMessagesIsDisconnected() throws Exception {
        for (byte[] ignoredMessage :
                new byte[][] {message('d', new byte[1000]), message('P', new byte[1000])}) {
            Peer client = connectClient();
            for (int i = 0; i < 300; i++) {
                client.send(ignoredMessage);
            }
            assertThat(new String(client.readToEnd(), StandardCharsets.ISO_8859_1))
                    .contains("too much that is no query");
            client.close();
            awaitOnLoop(() -> frontend.connectionCount() == 0);
        }
        reportPrimary();
        Peer client = connectClient();
        client.send(query(writeStatement("other")));
        commit(dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertThat(client.readUntil(READY_FOR_QUERY)).contains("done");
    }

    /**
     * Guards against queries without end behind a rejected message, which are skipped to a Sync.
     */
    @Test
    void clientWithTooManySkippedQueriesIsDisconnected() throws Exception {
        Peer client = connectClient();
        client.send(message('P', new byte[10]));
        for (int i = 0; i < 300; i++) {
            client.send(query("skipped"));
        }
        assertThat(new String(client.readToEnd(), StandardCharsets.ISO_8859_1))
                .contains("too much that is no query");
        client.close();
    }

    /**
     * Guards against declining a client for lack of memory that others hold for commands of which
     * they never send the rest.
     */
    @Test
    void largestUnfinishedCommandGivesWayToOthers() throws Exception {
        byte[] largeWrite = query(writeStatement("large").replace("9f03", "5a".repeat(60_000)));
        Peer small = connectClient().send(Arrays.copyOf(largeWrite, 20_000));
        Peer large = connectClient().send(Arrays.copyOf(largeWrite, 100_000));
        awaitOnLoop(() -> loop.bufferedBytes() > 128 * 1024);
        loop.execute(
                () -> loop.addBufferedBytes(MEMORY_LIMIT_BYTES * 3L / 4 - loop.bufferedBytes()));
        Peer client =
                connectClient()
                        .send(
                                query(
                                        readStatement("r")
                                                .replace(
                                                        "k = 'ab'", "k = '" + "k".repeat(200) + "'")
                                                .replace(
                                                        "/* id",
                                                        "/* pad=" + "x".repeat(5000) + ",id")));
        assertThat(large.readUntilClosed()).contains("53300", "no memory for this now");
        awaitOnLoop(() -> dispatcher.openTxnCount() == 1);
        reportPrimary();
        commit(dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertThat(client.readUntil(READY_FOR_QUERY)).contains("done");
        small.close();
    }

    /**
     * A client disconnects and retries at once under the same id: the retry is accepted if the
     * first attempt was not sent to a member, and rejected if it may have been.
     */
    @Test
    void idOfDisconnectedClientIsReusableOnlyIfNothingWasSent() throws Exception {
        Peer client = connectClient();
        client.send(query(writeStatement("same")));
        awaitOnLoop(() -> dispatcher.openTxnCount() == 1);
        client.reset();
        awaitOnLoop(() -> dispatcher.openTxnCount() == 0);
        Peer retryingClient = connectClient().send(query(writeStatement("same")));
        awaitOnLoop(() -> dispatcher.openTxnCount() == 1);
        reportPrimary();
        assertThat(dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS).statement().id())
                .isEqualTo("same");
        retryingClient.reset();
        awaitOnLoop(() -> dispatcher.openTxnCount() == 0);
        assertThat(connectClient().send(query(writeStatement("same"))).readUntil(READY_FOR_QUERY))
                .contains("42704");
        assertThat(dispatched).isEmpty();
    }

    /**
     * A client disconnects while its txn waits for a connection: the dispatcher must refuse it when
     * it is consulted just before sending.
     */
    @Test
    void txnIsNotSentIfItsClientDisconnectsWhileConnectionOpens() throws Exception {
        reportPrimary();
        Peer client = connectClient();
        client.send(query(writeStatement("w")));
        TxnDispatcher.MemberRequest request =
                dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        BlockingQueue<Boolean> results = new LinkedBlockingQueue<>();
        loop.execute(() -> results.add(dispatcher.mayDispatch(request)));
        assertThat(results.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        client.shutdownOutput();
        awaitOnLoop(() -> dispatcher.openTxnCount() == 0);
        loop.execute(() -> results.add(dispatcher.mayDispatch(request)));
        assertThat(results.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isFalse();
        client.close();
    }

    /**
     * A statement and the client's disconnect are both pending when the event loop next polls, as
     * after a pause of the whole process.
     */
    @Test
    void txnReadAfterItsClientDisconnectedIsNotSent() throws Exception {
        reportPrimary();
        for (boolean resets : new boolean[] {false, true}) {
            Peer client = connectClient();
            CountDownLatch loopBlocked = new CountDownLatch(1);
            CountDownLatch loopReleased = new CountDownLatch(1);
            loop.execute(
                    () -> {
                        loopBlocked.countDown();
                        try {
                            loopReleased.await();
                        } catch (InterruptedException interrupted) {
                            Thread.currentThread().interrupt();
                        }
                    });
            loopBlocked.await();
            client.send(query(writeStatement("left" + resets)));
            if (resets) {
                client.reset();
            } else {
                client.close();
            }
            loopReleased.countDown();
            awaitOnLoop(() -> frontend.connectionCount() == 0);
            assertThat(dispatched).isEmpty();
        }
    }

    /** Two statements arrive one byte at a time: both are answered, in order. */
    @Test
    void statementsMayArriveByteByByte() throws Exception {
        reportPrimary();
        Peer client = connectClient();
        client.sendByteByByte(
                Fixtures.concat(query(writeStatement("a")), query(writeStatement("b"))));
        for (String id : new String[] {"a", "b"}) {
            TxnDispatcher.MemberRequest request =
                    dispatched.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertThat(request.statement().id()).isEqualTo(id);
            commit(request);
            assertThat(client.readUntil(READY_FOR_QUERY)).contains("done");
        }
        assertThat(new String(client.send(message('X')).readToEnd(), StandardCharsets.ISO_8859_1))
                .isEmpty();
    }
}
