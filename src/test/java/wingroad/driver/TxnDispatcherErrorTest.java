package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.readStatement;

import org.junit.jupiter.api.Test;

import wingroad.protocol.Statement;
import wingroad.routing.Router;
import wingroad.transport.EventLoop;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** What becomes of txns where the router, or the answering of another txn, fails. */
class TxnDispatcherErrorTest {
    private static final long WAIT_TIMEOUT_SECONDS = 20;

    private final BlockingQueue<Throwable> unexpectedErrors = new LinkedBlockingQueue<>();
    private final EventLoop loop = new EventLoop(10, 1 << 20, unexpectedErrors::add);
    private final List<String> answers = new ArrayList<>();
    private Error errorOnArrival;

    /** A router that never decides anything, and whose arrivals may fail. */
    private final Router router =
            (Router)
                    Proxy.newProxyInstance(
                            Router.class.getClassLoader(),
                            new Class<?>[] {Router.class},
                            (proxy, method, arguments) -> {
                                if (method.getName().equals("txnArrived")
                                        && errorOnArrival != null) {
                                    throw errorOnArrival;
                                }
                                return method.getReturnType() == boolean.class ? false : null;
                            });

    private final TxnDispatcher dispatcher =
            new TxnDispatcher(
                    loop, new Clock(), router, Duration.ofMillis(250), unexpectedErrors::add);

    TxnDispatcherErrorTest() throws IOException {
        // declares the exception of the event loop's constructor
    }

    private final class RecordingCallback implements TxnDispatcher.TxnCallback {
        private final String name;
        private final boolean fails;

        RecordingCallback(String name, boolean fails) {
            this.name = name;
            this.fails = fails;
        }

        @Override
        public void committed(byte[] row) {
            answers.add(name + " committed");
        }

        @Override
        public void declined(Duration retryAfter) {
            if (fails) {
                throw new IllegalStateException("as the test wants");
            }
            answers.add(name + " declined");
        }

        @Override
        public void rolledBack() {
            answers.add(name + " rolled back");
        }

        @Override
        public void answerFailed() {
            answers.add(name + " failed");
        }
    }

    private String arrive(String name, boolean answerFails) {
        byte[] text = readStatement(name).getBytes(StandardCharsets.UTF_8);
        return dispatcher.txnArrived(
                Statement.parse(text).statement(),
                0,
                TxnDispatcher.NO_SESSION,
                new RecordingCallback(name, answerFails));
    }

    private void runOnLoop(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(
                () -> {
                    task.run();
                    done.complete(null);
                });
        done.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void txnIsNotOpenIfTheRouterRunsOutOfMemoryAtItsArrival() throws Exception {
        errorOnArrival = new OutOfMemoryError("as the test wants");
        runOnLoop(() -> assertThatNothingIsOpen(arrive("a", false)));
        assertThat(unexpectedErrors).containsExactly(errorOnArrival);
    }

    private void assertThatNothingIsOpen(String txn) {
        answers.add("name " + txn + ", open " + dispatcher.openTxnCount());
        assertThat(answers).containsExactly("name null, open 0");
    }

    @Test
    void txnsThatTheRouterHasLostAreAnsweredAtTheExit() throws Exception {
        runOnLoop(
                () -> {
                    arrive("a", true);
                    arrive("b", false);
                    dispatcher.answerOpenTxns();
                });
        assertThat(answers).containsExactlyInAnyOrder("a failed", "b declined");
        assertThat(dispatcher.openTxnCount()).isZero();
    }
}
