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

/** The listening socket. One accept is out at a time, and only while the guest list has room. */
public final class Listener {
    private static final int BACKLOG = 1024;

    private final EventLoop loop;
    private final AsynchronousServerSocketChannel channel;
    private final BooleanSupplier canAccept;
    private final Consumer<Function<Connection.Handler, Connection>> onAccepted;
    private final int maxBufferBytes;
    private boolean accepting;
    private boolean closed;
    private int consecutiveFailures;

    /**
     * @param canAccept asked before each accept; when it says no, {@link #acceptNext} goes on later
     * @param onAccepted gets each accepted connection, as a function from its owner to its link
     */
    public Listener(
            EventLoop loop,
            InetSocketAddress address,
            int maxBufferBytes,
            BooleanSupplier canAccept,
            Consumer<Function<Connection.Handler, Connection>> onAccepted)
            throws IOException {
        this.loop = loop;
        this.maxBufferBytes = maxBufferBytes;
        this.canAccept = canAccept;
        this.onAccepted = onAccepted;
        channel = AsynchronousServerSocketChannel.open(loop.group);
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
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

    /** Accepts the next connection, when there is room and none is being accepted. */
    public void acceptNext() {
        if (accepting || closed) {
            return;
        }
        // Making room closes a connection, and its end asks for the next accept: that is this one.
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
                                    onAccepted.accept(
                                            owner ->
                                                    Connection.accepted(
                                                            loop,
                                                            guestChannel,
                                                            owner,
                                                            maxBufferBytes));
                                    acceptNext();
                                });
                    }

                    @Override
                    public void failed(Throwable cause, Void nothing) {
                        loop.execute(
                                () -> {
                                    accepting = false;
                                    consecutiveFailures++;
                                    // Guards against spinning where the system has no descriptor
                                    // left: a longer wait each time.
                                    loop.schedule(
                                            Duration.ofMillis(
                                                    1L << Math.min(consecutiveFailures, 8)),
                                            Listener.this::acceptNext);
                                });
                    }
                });
    }

    public void close() {
        if (!closed) {
            closed = true;
            loop.channelClosed();
            try {
                channel.close();
            } catch (IOException e) {
                // it is gone either way
            }
        }
    }
}
