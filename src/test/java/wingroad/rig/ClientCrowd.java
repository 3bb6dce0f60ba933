package wingroad.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * Hundreds of clients that each send one text, at a given pace, and then nothing more. One that is
 * disconnected comes again. All run on one thread.
 */
@SuppressWarnings("try")
public final class ClientCrowd implements AutoCloseable {
    private static final long ROUND_MS = 20;
    private static final long STOP_TIMEOUT_S = 20;

    /** A round of connects at most, since a listener's backlog is bounded. */
    private static final int MAX_CONNECTS_PER_ROUND = 100;

    private final int port;
    private final int clientCount;
    private final boolean readsAnswers;
    private final int bytesPerRound;
    private final IntFunction<byte[]> text;
    private final Thread thread = new Thread(this::run, "client crowd");
    private volatile int connectCount;
    private volatile boolean closed;

    private static final class Client {
        final SocketChannel channel;
        final ByteBuffer unsent;

        Client(SocketChannel channel, ByteBuffer unsent) {
            this.channel = channel;
            this.unsent = unsent;
        }
    }

    /**
     * Starts the clients.
     *
     * @param readsAnswers whether they read and drop what they are sent, or read nothing
     * @param bytesPerRound how much each writes at most every 20 ms
     * @param text what the n-th connection sends, its startup message included
     */
    public ClientCrowd(
            int port,
            int clientCount,
            boolean readsAnswers,
            int bytesPerRound,
            IntFunction<byte[]> text) {
        this.readsAnswers = readsAnswers;
        this.port = port;
        this.clientCount = clientCount;
        this.bytesPerRound = bytesPerRound;
        this.text = text;
        thread.setDaemon(true);
        thread.start();
    }

    /** How many connections were opened so far. */
    public int connectCount() {
        return connectCount;
    }

    private void run() {
        List<Client> clients = new ArrayList<>();
        ByteBuffer scratch = ByteBuffer.allocate(64 * 1024);
        try {
            while (!closed) {
                for (int n = 0; n < MAX_CONNECTS_PER_ROUND && clients.size() < clientCount; n++) {
                    Client client = connect();
                    if (client != null) {
                        clients.add(client);
                    }
                }
                for (Client client : List.copyOf(clients)) {
                    if (!advance(client, scratch)) {
                        client.channel.close();
                        clients.remove(client);
                    }
                }
                TimeUnit.MILLISECONDS.sleep(ROUND_MS);
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Client client : clients) {
            try {
                client.channel.close();
            } catch (IOException e) {
                // It is closed in any case.
            }
        }
    }

    private Client connect() {
        try {
            SocketChannel channel =
                    SocketChannel.open(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            channel.configureBlocking(false);
            ByteBuffer unsent = ByteBuffer.wrap(text.apply(connectCount));
            connectCount++;
            return new Client(channel, unsent);
        } catch (IOException e) {
            return null;
        }
    }

    /** Reads and writes what is possible; returns false once the connection has ended. */
    private boolean advance(Client client, ByteBuffer scratch) {
        try {
            int count = readsAnswers ? client.channel.read(scratch.clear()) : 0;
            if (client.unsent.hasRemaining()) {
                ByteBuffer chunk =
                        client.unsent.slice(
                                client.unsent.position(),
                                Math.min(bytesPerRound, client.unsent.remaining()));
                int written = client.channel.write(chunk);
                client.unsent.position(client.unsent.position() + written);
            }
            return count >= 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        thread.join(TimeUnit.SECONDS.toMillis(STOP_TIMEOUT_S));
    }
}
