package wingroad.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;

/**
 * TCP proxies for all links of a test cluster. Each link has a port of its own; one thread forwards
 * the data and can hold it, delay it or cut connections in the middle of a message. Held data is
 * not lost: it is delivered late, even if its sender has closed the connection meanwhile.
 */
public final class FaultProxy implements AutoCloseable {
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    /** Direction of data: from the side that connected, or back to it. */
    public enum Direction {
        FORWARD,
        BACKWARD
    }

    /** Inspects forwarded data on the proxy's thread. */
    public interface Interceptor {
        /**
         * Returns true to hold this direction of the connection from these bytes on.
         *
         * @param connection handle for {@link #release}
         */
        boolean intercept(Link link, Direction direction, ByteBuffer bytes, Object connection);
    }

    private final Selector selector = Selector.open();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Map<String, Link> links = new LinkedHashMap<>();
    private final Thread thread = new Thread(this::run, "fault-proxy");
    private volatile boolean closed;

    public FaultProxy() throws IOException {
        thread.setDaemon(true);
        thread.start();
    }

    /** One link: connections to its port are forwarded to its target port. */
    public final class Link {
        public final String from;
        public final String to;
        private final ServerSocketChannel serverChannel = ServerSocketChannel.open();
        private volatile int targetPort;
        private volatile Interceptor interceptor;
        private boolean forwardHeld;
        private boolean backwardHeld;
        private long delayNanos;
        private final List<RelayedConnection> connections = new ArrayList<>();

        private Link(String from, String to) throws IOException {
            this.from = from;
            this.to = to;
            serverChannel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            serverChannel.configureBlocking(false);
        }

        public int port() throws IOException {
            return ((InetSocketAddress) serverChannel.getLocalAddress()).getPort();
        }

        /** Sets the port to which new connections are forwarded; 0 resets them. */
        public void setTargetPort(int port) {
            targetPort = port;
        }

        public void setInterceptor(Interceptor newInterceptor) {
            interceptor = newInterceptor;
        }

        private boolean isHeld(Direction direction) {
            return direction == Direction.FORWARD ? forwardHeld : backwardHeld;
        }
    }

    /** Adds a link without a target. */
    public Link addLink(String from, String to) throws IOException {
        Link link = new Link(from, to);
        links.put(from + ">" + to, link);
        runOnProxyThread(
                () -> {
                    try {
                        link.serverChannel.register(selector, SelectionKey.OP_ACCEPT, link);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
        return link;
    }

    /** Returns the link, or null if there is none. */
    public Link linkBetween(String from, String to) {
        return links.get(from + ">" + to);
    }

    public List<Link> allLinks() {
        return List.copyOf(links.values());
    }

    /** Holds or releases one direction of all connections of the link, present and future. */
    public void hold(Link link, Direction direction, boolean held) {
        runOnProxyThread(
                () -> {
                    if (direction == Direction.FORWARD) {
                        link.forwardHeld = held;
                    } else {
                        link.backwardHeld = held;
                    }
                    for (RelayedConnection connection : List.copyOf(link.connections)) {
                        connection.stream(direction).held = held;
                        connection.stream(direction).flush();
                    }
                });
    }

    /** Delays all data on the link. */
    public void setDelay(Link link, long delayMs) {
        runOnProxyThread(() -> link.delayNanos = delayMs * 1_000_000);
    }

    /**
     * Closes all connections of the link; if data is queued, only half of its first buffer is
     * delivered.
     */
    public void disconnect(Link link) {
        runOnProxyThread(
                () ->
                        List.copyOf(link.connections)
                                .forEach(
                                        connection -> {
                                            for (RelayedStream stream :
                                                    List.of(
                                                            connection.forwardStream,
                                                            connection.backwardStream)) {
                                                stream.held = false;
                                                stream.writeHalfOfNextBuffer();
                                            }
                                            connection.closeBoth();
                                        }));
    }

    /** Releases one connection that an interceptor has held. */
    public void release(Object connection) {
        runOnProxyThread(
                () -> {
                    RelayedStream stream = (RelayedStream) connection;
                    stream.held = stream.connection.link.isHeld(stream.direction);
                    stream.flush();
                });
    }

    private void runOnProxyThread(Runnable task) {
        CountDownLatch done = new CountDownLatch(1);
        tasks.add(
                () -> {
                    try {
                        task.run();
                    } finally {
                        done.countDown();
                    }
                });
        selector.wakeup();
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final class RelayedConnection {
        final Link link;
        final SocketChannel clientChannel;
        final SocketChannel targetChannel;
        final RelayedStream forwardStream;
        final RelayedStream backwardStream;

        RelayedConnection(Link link, SocketChannel clientChannel) throws IOException {
            this.link = link;
            this.clientChannel = clientChannel;
            targetChannel = SocketChannel.open();
            targetChannel.configureBlocking(false);
            clientChannel.configureBlocking(false);
            forwardStream =
                    new RelayedStream(this, Direction.FORWARD, clientChannel, targetChannel);
            backwardStream =
                    new RelayedStream(this, Direction.BACKWARD, targetChannel, clientChannel);
            link.connections.add(this);
            targetChannel.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), link.targetPort));
            targetChannel.register(selector, SelectionKey.OP_CONNECT, this);
            clientChannel.register(selector, SelectionKey.OP_READ, this);
        }

        RelayedStream stream(Direction direction) {
            return direction == Direction.FORWARD ? forwardStream : backwardStream;
        }

        void closeBoth() {
            link.connections.remove(this);
            for (SocketChannel channel : List.of(clientChannel, targetChannel)) {
                try {
                    channel.close();
                } catch (IOException e) {
                    // The channel is already closed.
                }
            }
        }

        /** Updates the selector's interest in both channels. */
        void updateInterests() {
            updateInterest(clientChannel, forwardStream, backwardStream);
            updateInterest(targetChannel, backwardStream, forwardStream);
        }

        private void updateInterest(
                SocketChannel channel, RelayedStream inbound, RelayedStream outbound) {
            SelectionKey key = channel.keyFor(selector);
            if (key != null && key.isValid() && channel.isConnected()) {
                key.interestOps(
                        (inbound.sourceEnded || inbound.bufferedBytes > MAX_BUFFERED_BYTES
                                        ? 0
                                        : SelectionKey.OP_READ)
                                | (outbound.writeBlocked ? SelectionKey.OP_WRITE : 0));
            }
        }
    }

    /** One direction of a connection. */
    private final class RelayedStream {
        final RelayedConnection connection;
        final Direction direction;
        final SocketChannel source;
        final SocketChannel destination;
        final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();
        final ArrayDeque<Long> sendTimesNanos = new ArrayDeque<>();
        long bufferedBytes;
        boolean held;
        boolean sourceEnded;
        boolean writeBlocked;

        /** Whether writing has failed while the other direction still holds data. */
        boolean destinationFailed;

        RelayedStream(
                RelayedConnection connection,
                Direction direction,
                SocketChannel source,
                SocketChannel destination) {
            this.connection = connection;
            this.direction = direction;
            this.source = source;
            this.destination = destination;
            held = connection.link.isHeld(direction);
        }

        void read() {
            ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
            int readCount;
            try {
                readCount = source.read(buffer);
            } catch (IOException e) {
                readCount = -1;
            }
            if (readCount < 0) {
                sourceEnded = true;
            } else if (readCount > 0 && !destinationFailed) {
                buffer.flip();
                Interceptor interceptor = connection.link.interceptor;
                if (interceptor != null
                        && interceptor.intercept(
                                connection.link, direction, buffer.duplicate(), this)) {
                    held = true;
                }
                buffers.add(buffer);
                sendTimesNanos.add(System.nanoTime() + connection.link.delayNanos);
                bufferedBytes += readCount;
            }
            flush();
        }

        void flush() {
            writeBlocked = false;
            try {
                while (!held
                        && destination.isConnected()
                        && !buffers.isEmpty()
                        && sendTimesNanos.peek() <= System.nanoTime()) {
                    ByteBuffer buffer = buffers.peek();
                    bufferedBytes -= destination.write(buffer);
                    if (buffer.hasRemaining()) {
                        writeBlocked = true;
                        break;
                    }
                    buffers.poll();
                    sendTimesNanos.poll();
                }
                if (sourceEnded && buffers.isEmpty() && !held && destination.isConnected()) {
                    // The end of the stream follows all data that was sent before it. Half-open
                    // connections are not supported.
                    connection.closeBoth();
                    return;
                }
            } catch (IOException e) {
                if (connection.stream(
                                direction == Direction.FORWARD
                                        ? Direction.BACKWARD
                                        : Direction.FORWARD)
                        .buffers
                        .isEmpty()) {
                    connection.closeBoth();
                    return;
                }
                destinationFailed = true;
                buffers.clear();
                sendTimesNanos.clear();
                bufferedBytes = 0;
            }
            connection.updateInterests();
        }

        /** Writes half of the first queued buffer. */
        void writeHalfOfNextBuffer() {
            try {
                ByteBuffer buffer = buffers.peek();
                if (buffer != null && destination.isConnected()) {
                    destination.write(buffer.slice(buffer.position(), buffer.remaining() / 2));
                }
            } catch (IOException e) {
                // The connection is closed in any case.
            }
        }
    }

    private void run() {
        while (!closed) {
            try {
                selector.select(5);
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid()) {
                        handleReadyKey(key);
                    }
                }
                selector.selectedKeys().clear();
                for (Link link : links()) {
                    if (link.delayNanos > 0 || !link.connections.isEmpty()) {
                        for (RelayedConnection connection : List.copyOf(link.connections)) {
                            flushIfDue(connection.forwardStream);
                            flushIfDue(connection.backwardStream);
                        }
                    }
                }
            } catch (IOException e) {
                closed = true;
            }
        }
    }

    private static void flushIfDue(RelayedStream stream) {
        if (!stream.buffers.isEmpty() && !stream.held && !stream.writeBlocked) {
            stream.flush();
        }
    }

    private List<Link> links() {
        List<Link> registered = new ArrayList<>();
        for (SelectionKey key : selector.keys()) {
            if (key.attachment() instanceof Link link) {
                registered.add(link);
            }
        }
        return registered;
    }

    private void handleReadyKey(SelectionKey key) {
        if (key.attachment() instanceof Link link) {
            try {
                SocketChannel clientChannel = link.serverChannel.accept();
                if (clientChannel != null) {
                    clientChannel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                    if (link.targetPort == 0) {
                        clientChannel.setOption(StandardSocketOptions.SO_LINGER, 0);
                        clientChannel.close();
                    } else {
                        new RelayedConnection(link, clientChannel);
                    }
                }
            } catch (IOException e) {
                // The client has closed its connection, or the target refuses connections.
            }
            return;
        }
        RelayedConnection connection = (RelayedConnection) key.attachment();
        try {
            if (key.isConnectable()) {
                connection.targetChannel.finishConnect();
                connection.targetChannel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                connection.forwardStream.flush();
                return;
            }
            if (key.isReadable()) {
                (key.channel() == connection.clientChannel
                                ? connection.forwardStream
                                : connection.backwardStream)
                        .read();
            }
            if (key.isValid() && key.isWritable()) {
                (key.channel() == connection.clientChannel
                                ? connection.backwardStream
                                : connection.forwardStream)
                        .flush();
            }
        } catch (IOException e) {
            connection.closeBoth();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        for (Link link : links.values()) {
            link.serverChannel.close();
        }
    }
}
