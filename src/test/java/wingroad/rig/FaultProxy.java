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
        boolean intercept(Link link, Direction way, ByteBuffer bytes, Object connection);
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
        private final ServerSocketChannel door = ServerSocketChannel.open();
        private volatile int target;
        private volatile Interceptor tap;
        private boolean heldForth;
        private boolean heldBack;
        private long delayNanos;
        private final List<RelayedConnection> pairs = new ArrayList<>();

        private Link(String from, String to) throws IOException {
            this.from = from;
            this.to = to;
            door.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            door.configureBlocking(false);
        }

        public int port() throws IOException {
            return ((InetSocketAddress) door.getLocalAddress()).getPort();
        }

        /** Where it leads from now on; 0 is nowhere. */
        public void setTargetPort(int port) {
            target = port;
        }

        public void setInterceptor(Interceptor t) {
            tap = t;
        }

        private boolean held(Direction way) {
            return way == Direction.FORWARD ? heldForth : heldBack;
        }
    }

    /** Makes a link; its target comes later. */
    public Link addLink(String from, String to) throws IOException {
        Link l = new Link(from, to);
        links.put(from + ">" + to, l);
        sync(
                () -> {
                    try {
                        l.door.register(selector, SelectionKey.OP_ACCEPT, l);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
        return l;
    }

    public Link linkBetween(String from, String to) {
        return links.get(from + ">" + to);
    }

    public List<Link> allLinks() {
        return List.copyOf(links.values());
    }

    /** Holds what goes this way, or lets it go on, on what is connected and on what will be. */
    public void hold(Link l, Direction way, boolean held) {
        sync(
                () -> {
                    if (way == Direction.FORWARD) {
                        l.heldForth = held;
                    } else {
                        l.heldBack = held;
                    }
                    for (RelayedConnection p : List.copyOf(l.pairs)) {
                        p.turn(way).held = held;
                        p.turn(way).flush();
                    }
                });
    }

    /** All that goes over the link takes this much longer. */
    public void setDelay(Link l, long ms) {
        sync(() -> l.delayNanos = ms * 1_000_000);
    }

    /** Ends what is connected now, in the middle of what is held where something is. */
    public void disconnect(Link l) {
        sync(
                () ->
                        List.copyOf(l.pairs)
                                .forEach(
                                        p -> {
                                            for (RelayedStream t : List.of(p.forth, p.back)) {
                                                t.held = false;
                                                t.half();
                                            }
                                            p.end();
                                        }));
    }

    /** Lets one held connection go on, the one a tap has held. */
    public void release(Object connection) {
        sync(
                () -> {
                    RelayedStream t = (RelayedStream) connection;
                    t.held = t.pair.link.held(t.way);
                    t.flush();
                });
    }

    private void sync(Runnable task) {
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
        final SocketChannel near;
        final SocketChannel far;
        final RelayedStream forth;
        final RelayedStream back;

        RelayedConnection(Link link, SocketChannel near) throws IOException {
            this.link = link;
            this.near = near;
            far = SocketChannel.open();
            far.configureBlocking(false);
            near.configureBlocking(false);
            forth = new RelayedStream(this, Direction.FORWARD, near, far);
            back = new RelayedStream(this, Direction.BACKWARD, far, near);
            link.pairs.add(this);
            far.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), link.target));
            far.register(selector, SelectionKey.OP_CONNECT, this);
            near.register(selector, SelectionKey.OP_READ, this);
        }

        RelayedStream turn(Direction way) {
            return way == Direction.FORWARD ? forth : back;
        }

        void end() {
            link.pairs.remove(this);
            for (SocketChannel c : List.of(near, far)) {
                try {
                    c.close();
                } catch (IOException e) {
                    // it is gone
                }
            }
        }

        /** Reads what both sides may give now, and watches for what each needs. */
        void interests() {
            interest(near, forth, back);
            interest(far, back, forth);
        }

        private void interest(SocketChannel c, RelayedStream reads, RelayedStream writes) {
            SelectionKey k = c.keyFor(selector);
            if (k != null && k.isValid() && c.isConnected()) {
                k.interestOps(
                        (reads.ended || reads.waiting > MAX_BUFFERED_BYTES
                                        ? 0
                                        : SelectionKey.OP_READ)
                                | (writes.blocked ? SelectionKey.OP_WRITE : 0));
            }
        }
    }

    /** One direction of a connection. */
    private final class RelayedStream {
        final RelayedConnection pair;
        final Direction way;
        final SocketChannel in;
        final SocketChannel out;
        final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
        final ArrayDeque<Long> due = new ArrayDeque<>();
        long waiting;
        boolean held;
        boolean ended;
        boolean blocked;

        /** Whoever it goes to is gone, while the other way still holds something. */
        boolean dead;

        RelayedStream(RelayedConnection pair, Direction way, SocketChannel in, SocketChannel out) {
            this.pair = pair;
            this.way = way;
            this.in = in;
            this.out = out;
            held = pair.link.held(way);
        }

        void read() {
            ByteBuffer b = ByteBuffer.allocate(READ_BUFFER_BYTES);
            int n;
            try {
                n = in.read(b);
            } catch (IOException e) {
                n = -1;
            }
            if (n < 0) {
                ended = true;
            } else if (n > 0 && !dead) {
                b.flip();
                Interceptor tap = pair.link.tap;
                if (tap != null && tap.intercept(pair.link, way, b.duplicate(), this)) {
                    held = true;
                }
                queue.add(b);
                due.add(System.nanoTime() + pair.link.delayNanos);
                waiting += n;
            }
            flush();
        }

        void flush() {
            blocked = false;
            try {
                while (!held
                        && out.isConnected()
                        && !queue.isEmpty()
                        && due.peek() <= System.nanoTime()) {
                    ByteBuffer b = queue.peek();
                    waiting -= out.write(b);
                    if (b.hasRemaining()) {
                        blocked = true;
                        break;
                    }
                    queue.poll();
                    due.poll();
                }
                if (ended && queue.isEmpty() && !held && out.isConnected()) {
                    // The other side's own end comes behind all that it had sent; half-open
                    // connections are not needed here.
                    pair.end();
                    return;
                }
            } catch (IOException e) {
                if (pair.turn(way == Direction.FORWARD ? Direction.BACKWARD : Direction.FORWARD)
                        .queue
                        .isEmpty()) {
                    pair.end();
                    return;
                }
                dead = true;
                queue.clear();
                due.clear();
                waiting = 0;
            }
            pair.interests();
        }

        /** Passes on half of what waits. */
        void half() {
            try {
                ByteBuffer b = queue.peek();
                if (b != null && out.isConnected()) {
                    out.write(b.slice(b.position(), b.remaining() / 2));
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
                for (Runnable t = tasks.poll(); t != null; t = tasks.poll()) {
                    t.run();
                }
                for (SelectionKey k : selector.selectedKeys()) {
                    if (k.isValid()) {
                        ready(k);
                    }
                }
                selector.selectedKeys().clear();
                for (Link l : links()) {
                    if (l.delayNanos > 0 || !l.pairs.isEmpty()) {
                        for (RelayedConnection p : List.copyOf(l.pairs)) {
                            late(p.forth);
                            late(p.back);
                        }
                    }
                }
            } catch (IOException e) {
                closed = true;
            }
        }
    }

    private static void late(RelayedStream t) {
        if (!t.queue.isEmpty() && !t.held && !t.blocked) {
            t.flush();
        }
    }

    private List<Link> links() {
        List<Link> all = new ArrayList<>();
        for (SelectionKey k : selector.keys()) {
            if (k.attachment() instanceof Link l) {
                all.add(l);
            }
        }
        return all;
    }

    private void ready(SelectionKey k) {
        if (k.attachment() instanceof Link l) {
            try {
                SocketChannel near = l.door.accept();
                if (near != null) {
                    near.setOption(StandardSocketOptions.TCP_NODELAY, true);
                    if (l.target == 0) {
                        near.setOption(StandardSocketOptions.SO_LINGER, 0);
                        near.close();
                    } else {
                        new RelayedConnection(l, near);
                    }
                }
            } catch (IOException e) {
                // whoever came has gone, or the target is not there
            }
            return;
        }
        RelayedConnection p = (RelayedConnection) k.attachment();
        try {
            if (k.isConnectable()) {
                p.far.finishConnect();
                p.far.setOption(StandardSocketOptions.TCP_NODELAY, true);
                p.forth.flush();
                return;
            }
            if (k.isReadable()) {
                (k.channel() == p.near ? p.forth : p.back).read();
            }
            if (k.isValid() && k.isWritable()) {
                (k.channel() == p.near ? p.back : p.forth).flush();
            }
        } catch (IOException e) {
            p.end();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        for (Link l : links.values()) {
            l.door.close();
        }
    }
}
