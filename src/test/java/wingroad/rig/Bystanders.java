package wingroad.rig;

import wingroad.Fixtures;
import wingroad.Fixtures.TestClient;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Ordinary clients beside whatever a test does to a driver: each keeps a connection and sends one
 * txn after the other, a read and a write of some kilobytes in turn.
 */
@SuppressWarnings("try")
public final class Bystanders implements AutoCloseable {
    /** The time that each txn gives the driver for its answer. */
    public static final long TIME_LIMIT_MS = 3000;

    /** All time limits are longer by this on sockets. */
    private static final long SLACK_MS = 50;

    private static final int MAX_CONNECT_ATTEMPTS = 20;
    private static final int CLIENT_COUNT = 20;
    private static final long INTERVAL_MS = 40;
    private static final int WRITE_VALUE_BYTES = 3000;
    private static final long STOP_TIMEOUT_S = 30;

    private enum Outcome {
        COMMITTED,
        REFUSED,
        FAILED,
        LOST
    }

    private record Answer(Outcome outcome, double elapsedMs) {}

    /**
     * What all clients saw.
     *
     * @param refused txns that were declined, which may be sent again
     * @param failed txns with any other error
     * @param lost txns whose connection ended before an answer, or that got none
     * @param late txns whose answer came after {@link #TIME_LIMIT_MS} and the slack on sockets
     */
    public record Summary(
            int sent,
            int committed,
            int refused,
            int failed,
            int lost,
            int late,
            double medianMs,
            double p99Ms,
            double longestMs) {}

    private final int port;
    private final List<Answer> answers = Collections.synchronizedList(new ArrayList<>());
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean closed;

    public Bystanders(int port) {
        this.port = port;
        for (int i = 0; i < CLIENT_COUNT; i++) {
            String name = "by" + i;
            Thread thread = new Thread(() -> run(name), "bystander " + name);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void run(String name) {
        TestClient client = null;
        for (int n = 0; !closed; n++) {
            String id = name + "-" + n;
            String statement =
                    n % 2 == 0
                            ? Fixtures.readStatement(id)
                            : Fixtures.writeStatement(id)
                                    .replace("d=4000", "d=" + TIME_LIMIT_MS)
                                    .replace("9f03", "7f".repeat(WRITE_VALUE_BYTES));
            long startNanos = System.nanoTime();
            boolean connectionWasIdle = client != null;
            client = connectedClient(client);
            List<String> responses = responses(client, statement);
            if (endedUnanswered(responses) && connectionWasIdle) {
                // The driver may close an idle connection; a request that crosses this is sent once
                // more.
                client = connectedClient(null);
                responses = responses(client, statement);
            }
            if (responses.contains("end")) {
                client = null;
            }
            answers.add(new Answer(outcome(responses), (System.nanoTime() - startNanos) / 1e6));
            try {
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** The connection, or a new one; one that is shut before its first request is no answer. */
    private TestClient connectedClient(TestClient current) {
        TestClient client = current;
        for (int attempt = 0;
                client == null && !closed && attempt < MAX_CONNECT_ATTEMPTS;
                attempt++) {
            try {
                TestClient connecting = new TestClient(port);
                client = connecting.sendStartup().readResponses().isEmpty() ? connecting : null;
            } catch (IOException e) {
                // It tries again.
            }
        }
        return client;
    }

    /** The responses to a statement; "end" alone if the connection ended without any. */
    private static List<String> responses(TestClient client, String statement) {
        try {
            return client == null ? List.of("end") : client.query(statement).readResponses();
        } catch (IOException e) {
            return List.of("end");
        }
    }

    private static boolean endedUnanswered(List<String> responses) {
        return responses.equals(List.of("end"));
    }

    private static Outcome outcome(List<String> responses) {
        String first = responses.get(0);
        if (first.startsWith("row ")) {
            return Outcome.COMMITTED;
        }
        if (first.equals("error 53300") || first.equals("error 57P03")) {
            return Outcome.REFUSED;
        }
        return first.startsWith("error ") ? Outcome.FAILED : Outcome.LOST;
    }

    /** Forgets the answers so far. */
    public void reset() {
        answers.clear();
    }

    public Summary summary() {
        List<Answer> snapshot;
        synchronized (answers) {
            snapshot = List.copyOf(answers);
        }
        double[] elapsed = snapshot.stream().mapToDouble(Answer::elapsedMs).sorted().toArray();
        return new Summary(
                snapshot.size(),
                count(snapshot, Outcome.COMMITTED),
                count(snapshot, Outcome.REFUSED),
                count(snapshot, Outcome.FAILED),
                count(snapshot, Outcome.LOST),
                (int)
                        snapshot.stream()
                                .filter(a -> a.elapsedMs() > TIME_LIMIT_MS + SLACK_MS)
                                .count(),
                quantile(elapsed, 0.5),
                quantile(elapsed, 0.99),
                quantile(elapsed, 1));
    }

    private static int count(List<Answer> answers, Outcome outcome) {
        return (int) answers.stream().filter(answer -> answer.outcome() == outcome).count();
    }

    private static double quantile(double[] sorted, double share) {
        return sorted.length == 0
                ? Double.NaN
                : Math.round(
                                sorted[
                                                (int)
                                                        Math.min(
                                                                sorted.length - 1L,
                                                                (long) (share * sorted.length))]
                                        * 10)
                        / 10.0;
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(STOP_TIMEOUT_S);
        for (Thread thread : threads) {
            long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            thread.join(Math.max(1, leftMs));
        }
    }
}
