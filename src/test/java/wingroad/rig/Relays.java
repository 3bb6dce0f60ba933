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
public final class Relays implements AutoCloseable {
    private static final int PIECE = 16 * 1024;
    private static final int MOST_HELD = 1 << 20;

    /** Which way bytes go: from whoever connected, or back. */
    public enum Way {
        FORTH,
        BACK
    }

    /**
     * Sees what goes by, on the relays' thread; true holds this connection's way from these bytes
     * on.
     */
    public interface Tap {
        boolean sees(Connection link, Way way, ByteBuffer bytes, Object connection);
    }

    private final Selector selector = Selector.open();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Map<String, Connection> links = new LinkedHashMap<>();
    private final Thread thread = new Thread(this::run, "relays");
    private volatile boolean closed;

    public Relays() throws IOException {
        thread.setDaemon(true);
        thread.start();
    }

    /** One link: whoever connects to its port reaches its target. */
    public final class Connection {
        public final String from;
        public final String to;
        private final ServerSocketChannel door = ServerSocketChannel.open();
        private volatile int target;
        private volatile Tap tap;
        private boolean heldForth;
        private boolean heldBack;
        private long delayNanos;
        private final List<Pair> pairs = new ArrayList<>();

        private Connection(String from, String to) throws IOException {
            this.from = from;
            this.to = to;
            door.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            door.configureBlocking(false);
        }

        public int port() throws IOException {
            return ((InetSocketAddress) door.getLocalAddress()).getPort();
        }

        /** Where it leads from now on; 0 is nowhere. */
        public void leadTo(int port) {
            target = port;
        }

        public void tap(Tap t) {
            tap = t;
        }

        private boolean held(Way way) {
            return way == Way.FORTH ? heldForth : heldBack;
        }
    }

    /** Makes a link; its target comes later. */
    public Connection link(String from, String to) throws IOException {
        Connection l = new Connection(from, to);
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

    public Connection between(String from, String to) {
        return links.get(from + ">" + to);
    }

    public List<Connection> all() {
        return List.copyOf(links.values());
    }

    /** Holds what goes this way, or lets it go on, on what is connected and on what will be. */
    public void hold(Connection l, Way way, boolean held) {
        sync(
                () -> {
                    if (way == Way.FORTH) {
                        l.heldForth = held;
                    } else {
                        l.heldBack = held;
                    }
                    for (Pair p : List.copyOf(l.pairs)) {
                        p.turn(way).held = held;
                        p.turn(way).flush();
                    }
                });
    }

    /** All that goes over the link takes this much longer. */
    public void slow(Connection l, long ms) {
        sync(() -> l.delayNanos = ms * 1_000_000);
    }

    /** Ends what is connected now, in the middle of what is held where something is. */
    public void breakOff(Connection l) {
        sync(
                () ->
                        List.copyOf(l.pairs)
                                .forEach(
                                        p -> {
                                            for (Turn t : List.of(p.forth, p.back)) {
                                                t.held = false;
                                                t.half();
                                            }
                                            p.end();
                                        }));
    }

    /** Lets one held connection go on, the one a tap has held. */
    public void letGo(Object connection) {
        sync(
                () -> {
                    Turn t = (Turn) connection;
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

    private final class Pair {
        final Connection link;
        final SocketChannel near;
        final SocketChannel far;
        final Turn forth;
        final Turn back;

        Pair(Connection link, SocketChannel near) throws IOException {
            this.link = link;
            this.near = near;
            far = SocketChannel.open();
            far.configureBlocking(false);
            near.configureBlocking(false);
            forth = new Turn(this, Way.FORTH, near, far);
            back = new Turn(this, Way.BACK, far, near);
            link.pairs.add(this);
            far.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), link.target));
            far.register(selector, SelectionKey.OP_CONNECT, this);
            near.register(selector, SelectionKey.OP_READ, this);
        }

        Turn turn(Way way) {
            return way == Way.FORTH ? forth : back;
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

        private void interest(SocketChannel c, Turn reads, Turn writes) {
            SelectionKey k = c.keyFor(selector);
            if (k != null && k.isValid() && c.isConnected()) {
                k.interestOps(
                        (reads.ended || reads.waiting > MOST_HELD ? 0 : SelectionKey.OP_READ)
                                | (writes.blocked ? SelectionKey.OP_WRITE : 0));
            }
        }
    }

    /** One direction of a connection. */
    private final class Turn {
        final Pair pair;
        final Way way;
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

        Turn(Pair pair, Way way, SocketChannel in, SocketChannel out) {
            this.pair = pair;
            this.way = way;
            this.in = in;
            this.out = out;
            held = pair.link.held(way);
        }

        void read() {
            ByteBuffer b = ByteBuffer.allocate(PIECE);
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
                Tap tap = pair.link.tap;
                if (tap != null && tap.sees(pair.link, way, b.duplicate(), this)) {
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
                if (pair.turn(way == Way.FORTH ? Way.BACK : Way.FORTH).queue.isEmpty()) {
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
                for (Connection l : links()) {
                    if (l.delayNanos > 0 || !l.pairs.isEmpty()) {
                        for (Pair p : List.copyOf(l.pairs)) {
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

    private static void late(Turn t) {
        if (!t.queue.isEmpty() && !t.held && !t.blocked) {
            t.flush();
        }
    }

    private List<Connection> links() {
        List<Connection> all = new ArrayList<>();
        for (SelectionKey k : selector.keys()) {
            if (k.attachment() instanceof Connection l) {
                all.add(l);
            }
        }
        return all;
    }

    private void ready(SelectionKey k) {
        if (k.attachment() instanceof Connection l) {
            try {
                SocketChannel near = l.door.accept();
                if (near != null) {
                    near.setOption(StandardSocketOptions.TCP_NODELAY, true);
                    if (l.target == 0) {
                        near.setOption(StandardSocketOptions.SO_LINGER, 0);
                        near.close();
                    } else {
                        new Pair(l, near);
                    }
                }
            } catch (IOException e) {
                // whoever came has gone, or the target is not there
            }
            return;
        }
        Pair p = (Pair) k.attachment();
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
        for (Connection l : links.values()) {
            l.door.close();
        }
    }
}
