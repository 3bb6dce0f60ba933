package wingroad.rig;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;

/**
 * One client that sends on one connection as fast as the driver reads, without waiting for answers,
 * and drops what it is sent. It comes again when it is disconnected.
 */
@SuppressWarnings("try")
public final class FloodingClient implements AutoCloseable {
    private static final int BATCH_BYTES = 16 * 1024;
    private static final long STOP_TIMEOUT_S = 20;

    private final int port;
    private final byte[] greeting;
    private final IntFunction<byte[]> messages;
    private final Thread writer = new Thread(this::run, "flood");
    private final AtomicLong receivedBytes = new AtomicLong();
    private volatile int messageCount;
    private volatile int connectCount;
    private volatile boolean closed;
    private volatile Socket socket;

    /**
     * Starts the client.
     *
     * @param greeting what each connection sends first
     * @param messages what is sent then, by the number of the message
     */
    public FloodingClient(int port, byte[] greeting, IntFunction<byte[]> messages) {
        this.port = port;
        this.greeting = greeting;
        this.messages = messages;
        writer.setDaemon(true);
        writer.start();
    }

    private void run() {
        while (!closed) {
            try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket = connection;
                connectCount++;
                Thread reader = new Thread(() -> dropInput(connection), "flood's reader");
                reader.setDaemon(true);
                reader.start();
                connection.getOutputStream().write(greeting);
                while (!closed) {
                    connection.getOutputStream().write(nextBatch());
                }
            } catch (IOException disconnected) {
                // It comes again.
            }
        }
    }

    private byte[] nextBatch() {
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        while (batch.size() < BATCH_BYTES) {
            batch.writeBytes(messages.apply(messageCount++));
        }
        return batch.toByteArray();
    }

    private void dropInput(Socket connection) {
        byte[] scratch = new byte[BATCH_BYTES];
        try {
            InputStream in = connection.getInputStream();
            for (int count = in.read(scratch); count >= 0; count = in.read(scratch)) {
                receivedBytes.addAndGet(count);
            }
            connection.close();
        } catch (IOException disconnected) {
            // The writer finds out.
        }
    }

    @Override
    public String toString() {
        return messageCount
                + " messages sent in "
                + connectCount
                + " connections, "
                + receivedBytes.get() / 1024
                + " kB received";
    }

    @Override
    public void close() throws InterruptedException, IOException {
        closed = true;
        if (socket != null) {
            socket.close();
        }
        writer.join(TimeUnit.SECONDS.toMillis(STOP_TIMEOUT_S));
    }
}
