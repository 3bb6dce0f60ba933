package wingroad.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A listening socket. One accept is pending at a time, and only while there is capacity for another
 * connection.
 */
public final class Listener {
    private static final int BACKLOG = 1024;

    /** Linux allows twice the size that is asked for, to cover its own overhead. */
    private static final int SYSTEM_OVERHEAD_FACTOR = 2;

    /** The wait after a failed accept is at most 2 to this power, in milliseconds. */
    private static final int MAX_BACKOFF_EXPONENT = 8;

    private final EventLoop loop;
    private final AsynchronousServerSocketChannel channel;
    private final BooleanSupplier canAccept;
    private final Consumer<Function<Connection.Handler, Connection>> onAccepted;
    private final int maxBufferBytes;
    private final int systemBufferBytes;
    private boolean accepting;
    private boolean closed;
    private int consecutiveFailures;

    /**
     * Opens the socket.
     *
     * @param systemBufferBytes how much the system may hold of what each connection has received,
     *     and of what it sends; 0 for the system's default
     * @param canAccept asked before each accept; after it has returned false, {@link #acceptNext}
     *     resumes
     * @param onAccepted gets each accepted connection, as a function from its handler to the
     *     connection
     */
    public Listener(
            EventLoop loop,
            InetSocketAddress address,
            int maxBufferBytes,
            int systemBufferBytes,
            BooleanSupplier canAccept,
            Consumer<Function<Connection.Handler, Connection>> onAccepted)
            throws IOException {
        this.loop = loop;
        this.maxBufferBytes = maxBufferBytes;
        this.systemBufferBytes = systemBufferBytes;
        this.canAccept = canAccept;
        this.onAccepted = onAccepted;
        channel = AsynchronousServerSocketChannel.open(loop.group);
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (systemBufferBytes > 0) {
                // Accepted connections inherit it; their window is bounded from the start.
                channel.setOption(
                        StandardSocketOptions.SO_RCVBUF,
                        systemBufferBytes / SYSTEM_OVERHEAD_FACTOR);
            }
            channel.bind(address, BACKLOG);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
        loop.channelOpened();
    }

    public InetSocketAddress localAddress() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Starts an accept if there is capacity and none is pending. */
    public void acceptNext() {
        if (accepting || closed) {
            return;
        }
        // Freeing capacity closes a connection, whose end calls this method again; the flag makes
        // that call a no-op.
        accepting = true;
        if (!canAccept.getAsBoolean()) {
            accepting = false;
            return;
        }
        channel.accept(
                null,
                new CompletionHandler<AsynchronousSocketChannel, Void>() {
                    @Override
                    public void completed(AsynchronousSocketChannel guestChannel, Void nothing) {
                        loop.execute(
                                () -> {
                                    accepting = false;
                                    consecutiveFailures = 0;
                                    handOver(guestChannel);
                                    acceptNext();
                                });
                    }

                    @Override
                    public void failed(Throwable cause, Void nothing) {
                        loop.execute(
                                () -> {
                                    accepting = false;
                                    consecutiveFailures++;
                                    // Backs off exponentially, so that accepts do not spin while
                                    // no file descriptor is available.
                                    loop.schedule(
                                            Duration.ofMillis(
                                                    1L
                                                            << Math.min(
                                                                    consecutiveFailures,
                                                                    MAX_BACKOFF_EXPONENT)),
                                            Listener.this::acceptNext);
                                });
                    }
                });
    }

    /** Hands an accepted channel over; closes it, unread, if that fails. */
    private void handOver(AsynchronousSocketChannel acceptedChannel) {
        try {
            onAccepted.accept(owner -> accepted(acceptedChannel, owner));
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError error) {
            loop.reportUnexpectedError(error);
            closeQuietly(acceptedChannel);
        }
    }

    private static void closeQuietly(AsynchronousSocketChannel acceptedChannel) {
        try {
            acceptedChannel.close();
        } catch (IOException e) {
            // The channel is closed in any case.
        }
    }

    private Connection accepted(AsynchronousSocketChannel channel, Connection.Handler owner) {
        Connection connection = Connection.accepted(loop, channel, owner, maxBufferBytes);
        if (systemBufferBytes > 0) {
            connection.limitSendBuffer(systemBufferBytes / SYSTEM_OVERHEAD_FACTOR);
        }
        return connection;
    }

    /**
     * Whether no connection waits to be accepted: an accept is pending. There may be some while
     * there is no capacity.
     */
    public boolean isBacklogEmpty() {
        return accepting;
    }

    public void close() {
        if (!closed) {
            closed = true;
            loop.channelClosed();
            try {
                channel.close();
            } catch (IOException e) {
                // The channel is closed in any case.
            }
        }
    }
}
