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
 * Every link of the rig: a port for each, and one thread that passes on what comes, or holds it,
 * slows it, breaks it off in mid-message. What is held is not lost: it comes late, also where its
 * sender has gone meanwhile.
 */
public final class FaultProxy implements AutoCloseable {
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    /** Which way bytes go: from whoever connected, or back. */
    public enum Direction {
        FORWARD,
        BACKWARD
    }

    /**
     * Sees what goes by, on the relays' thread; true holds this connection's way from these bytes
     * on.
     */
    public interface Interceptor {
        boolean intercept(Link link, Direction direction, ByteBuffer bytes, Object connection);
    }

    private final Selector selector = Selector.open();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Map<String, Link> links = new LinkedHashMap<>();
    private final Thread thread = new Thread(this::run, "relays");
    private volatile boolean closed;

    public FaultProxy() throws IOException {
        thread.setDaemon(true);
        thread.start();
    }

    /** One link: whoever connects to its port reaches its target. */
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

        /** Where it leads from now on; 0 is nowhere. */
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

    /** Makes a link; its target comes later. */
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

    public Link linkBetween(String from, String to) {
        return links.get(from + ">" + to);
    }

    public List<Link> allLinks() {
        return List.copyOf(links.values());
    }

    /** Holds what goes this way, or lets it go on, on what is connected and on what will be. */
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

    /** All that goes over the link takes this much longer. */
    public void setDelay(Link link, long delayMs) {
        runOnProxyThread(() -> link.delayNanos = delayMs * 1_000_000);
    }

    /** Ends what is connected now, in the middle of what is held where something is. */
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

    /** Lets one held connection go on, the one a tap has held. */
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
                    // it is gone
                }
            }
        }

        /** Reads what both sides may give now, and watches for what each needs. */
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

        /** Whoever it goes to is gone, while the other way still holds something. */
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
                    // The other side's own end comes behind all that it had sent; half-open
                    // connections are not needed here.
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

        /** Passes on half of what waits. */
        void writeHalfOfNextBuffer() {
            try {
                ByteBuffer buffer = buffers.peek();
                if (buffer != null && destination.isConnected()) {
                    destination.write(buffer.slice(buffer.position(), buffer.remaining() / 2));
                }
            } catch (IOException e) {
                // it ends anyhow
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
                // whoever came has gone, or the target is not there
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
