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
    private final BooleanSupplier room;
    private final Consumer<Function<Connection.Owner, Connection>> guest;
    private final int bound;
    private boolean accepting;
    private boolean closed;
    private int refusals;

    /**
     * @param room asked before each accept; when it says no, {@link #again} goes on later
     * @param guest gets each accepted connection, as a function from its owner to its link
     */
    public Listener(
            EventLoop loop,
            InetSocketAddress at,
            int bound,
            BooleanSupplier room,
            Consumer<Function<Connection.Owner, Connection>> guest)
            throws IOException {
        this.loop = loop;
        this.bound = bound;
        this.room = room;
        this.guest = guest;
        channel = AsynchronousServerSocketChannel.open(loop.group);
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(at, BACKLOG);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
        loop.opened();
    }

    public InetSocketAddress at() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Accepts the next connection, when there is room and none is being accepted. */
    public void again() {
        if (accepting || closed) {
            return;
        }
        // Making room closes a connection, and its end asks for the next accept: that is this one.
        accepting = true;
        if (!room.getAsBoolean()) {
            accepting = false;
            return;
        }
        channel.accept(
                null,
                new CompletionHandler<AsynchronousSocketChannel, Void>() {
                    @Override
                    public void completed(AsynchronousSocketChannel guestChannel, Void nothing) {
                        loop.run(
                                () -> {
                                    accepting = false;
                                    refusals = 0;
                                    guest.accept(
                                            owner ->
                                                    Connection.accepted(
                                                            loop, guestChannel, owner, bound));
                                    again();
                                });
                    }

                    @Override
                    public void failed(Throwable cause, Void nothing) {
                        loop.run(
                                () -> {
                                    accepting = false;
                                    refusals++;
                                    // Guards against spinning where the system has no descriptor
                                    // left: a longer wait each time.
                                    loop.after(
                                            Duration.ofMillis(1L << Math.min(refusals, 8)),
                                            Listener.this::again);
                                });
                    }
                });
    }

    public void close() {
        if (!closed) {
            closed = true;
            loop.closed();
            try {
                channel.close();
            } catch (IOException e) {
                // it is gone either way
            }
        }
    }
}
