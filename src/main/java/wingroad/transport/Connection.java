package wingroad.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * One connection. It has one buffer for what comes in, which grows as it needs up to a bound and is
 * compacted in place, and a queue for what goes out. All calls and all of the owner's calls are on
 * the loop's thread.
 */
public final class Connection {
    private static final int FIRST_SIZE = 1024;

    /**
     * Read ahead in any case for an owner that does not take it yet. The other side's end stands
     * behind all that it has sent: as long as there is memory to spare, all of it is read, up to
     * the bound, so that the end is seen.
     */
    private static final int AHEAD = 4096;

    /**
     * One call reads or writes no more: the system's side copies all that it is given, each time.
     */
    private static final int PIECE = 64 * 1024;

    /** Who a connection belongs to. */
    public interface Owner {
        /** The connection is up; only where it was opened from here. */
        default void up() {}

        /**
         * Bytes are there; the owner takes from the front what it can use, and the rest is offered
         * again.
         */
        void bytes(ByteBuffer in);

        /**
         * Whether it takes what comes now; while it does not, what is read ahead gives way to
         * others' bytes.
         */
        default boolean takes() {
            return true;
        }

        /** All that was handed over has been written. */
        default void written() {}

        /** There is no memory for more of what comes in; nothing more is read. */
        void full();

        /**
         * The connection is no more, and not by the owner's own closing. {@code unwritten}: how
         * many of the bytes handed over were certainly not written. {@code orderly}: the other side
         * said that no more comes; where it did not, as at a reset, what has come may be a part of
         * it.
         */
        void ended(int unwritten, boolean orderly, String how);
    }

    private final EventLoop loop;
    private final AsynchronousSocketChannel channel;
    private final Owner owner;
    private final int bound;
    private final byte[] none = new byte[0];

    /** What has come in is from start to end; a read that is out fills what is behind it. */
    private byte[] data = none;

    private int start;
    private int end;
    private boolean reading;
    private boolean inCall;
    private boolean offering;
    private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
    private boolean writing;
    private long wrote;
    private boolean connecting;
    private boolean finishing;
    private boolean deaf;
    private boolean closed;

    /** Why it broke, while a write that is out must still tell how far it came. */
    private String broken;

    private boolean orderly;
    private boolean told;

    private Connection(EventLoop loop, AsynchronousSocketChannel channel, Owner owner, int bound) {
        this.loop = loop;
        this.channel = channel;
        this.owner = owner;
        this.bound = bound;
        loop.opened();
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) {
            breaks("no options: " + e.getMessage());
        }
    }

    /** The other side's address, without its port; empty where it has gone already. */
    public String from() {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress a
                    ? a.getAddress().getHostAddress()
                    : "";
        } catch (IOException e) {
            return "";
        }
    }

    /** Takes over an accepted channel; reading begins with {@link #begin}. */
    static Connection accepted(
            EventLoop loop, AsynchronousSocketChannel channel, Owner owner, int bound) {
        return new Connection(loop, channel, owner, bound);
    }

    /**
     * Opens a connection; the owner hears {@code up} or {@code ended} later, never within this
     * call.
     */
    public static Connection open(EventLoop loop, InetSocketAddress to, Owner owner, int bound)
            throws IOException {
        Connection link =
                new Connection(loop, AsynchronousSocketChannel.open(loop.group), owner, bound);
        link.connect(to);
        return link;
    }

    private void connect(InetSocketAddress to) {
        connecting = true;
        try {
            channel.connect(
                    to,
                    null,
                    new CompletionHandler<Void, Void>() {
                        @Override
                        public void completed(Void nothing, Void n) {
                            loop.run(Connection.this::connected);
                        }

                        @Override
                        public void failed(Throwable cause, Void n) {
                            loop.run(() -> notConnected(cause));
                        }
                    });
        } catch (RuntimeException e) {
            loop.run(() -> notConnected(e));
        }
    }

    private void connected() {
        connecting = false;
        if (!closed) {
            guarded(owner::up);
            begin();
        }
    }

    private void notConnected(Throwable cause) {
        connecting = false;
        breaks("not connected: " + cause.getMessage());
    }

    public void begin() {
        read();
    }

    /** Offers again what is still in the buffer, after the owner has become able to take it. */
    public void offerAgain() {
        loop.run(
                () -> {
                    offer();
                    read();
                });
    }

    private void offer() {
        if (closed || offering || start == end) {
            return;
        }
        offering = true;
        ByteBuffer in = ByteBuffer.wrap(data, start, end - start);
        guarded(() -> owner.bytes(in));
        start = in.position();
        offering = false;
    }

    private void read() {
        if (reading || closed || connecting || deaf) {
            return;
        }
        if (start == end) {
            start = 0;
            end = 0;
            if (data.length > FIRST_SIZE) {
                loop.hold(-data.length);
                data = none;
            }
        } else if (end == data.length) {
            System.arraycopy(data, start, data, 0, end - start);
            end -= start;
            start = 0;
        }
        if (end == data.length) {
            int size = Math.min(bound, Math.max(FIRST_SIZE, data.length * 2));
            if (end >= bound
                    || end >= AHEAD && !owner.takes() && !loop.maySpare(size - data.length)) {
                return;
            }
            if (size > FIRST_SIZE && !loop.mayHold(size - data.length)) {
                guarded(owner::full);
                return;
            }
            loop.hold(size - data.length);
            data = Arrays.copyOf(data, size);
        }
        reading = true;
        inCall = true;
        try {
            channel.read(
                    ByteBuffer.wrap(data, end, Math.min(PIECE, data.length - end)), null, reads);
        } catch (RuntimeException e) {
            reading = false;
            loop.run(() -> breaks("cannot read: " + e.getMessage()));
        }
        inCall = false;
    }

    // A completion can come within the call that asked for it, so neither handler goes on from
    // there.
    private final CompletionHandler<Integer, Void> reads =
            new CompletionHandler<>() {
                @Override
                public void completed(Integer count, Void nothing) {
                    if (inCall) {
                        loop.run(() -> haveRead(count));
                    } else {
                        guarded(() -> haveRead(count));
                    }
                }

                @Override
                public void failed(Throwable cause, Void nothing) {
                    loop.run(
                            () -> {
                                reading = false;
                                breaks("read: " + cause.getMessage());
                            });
                }
            };

    private void haveRead(int count) {
        reading = false;
        if (count < 0) {
            orderly = !closed;
            breaks("ended by the other side");
            return;
        }
        end += count;
        offer();
        read();
    }

    /** Hands bytes over to be written, after those handed over before. */
    public void send(ByteBuffer bytes) {
        if (closed) {
            return;
        }
        out.add(bytes);
        loop.hold(bytes.remaining());
        write();
    }

    private void write() {
        if (writing || closed || out.isEmpty()) {
            return;
        }
        writing = true;
        inCall = true;
        try {
            ByteBuffer first = out.peek();
            ByteBuffer piece = first.slice(first.position(), Math.min(PIECE, first.remaining()));
            channel.write(piece, null, writes);
        } catch (RuntimeException e) {
            writing = false;
            loop.run(() -> breaks("cannot write: " + e.getMessage()));
        }
        inCall = false;
    }

    private final CompletionHandler<Integer, Void> writes =
            new CompletionHandler<>() {
                @Override
                public void completed(Integer count, Void nothing) {
                    // No longer a way than a read's: an answer must not seem to come before its
                    // query was written.
                    if (inCall) {
                        loop.run(() -> haveWritten(count));
                    } else {
                        guarded(() -> haveWritten(count));
                    }
                }

                @Override
                public void failed(Throwable cause, Void nothing) {
                    loop.run(
                            () -> {
                                writing = false;
                                breaks("write: " + cause.getMessage());
                            });
                }
            };

    private void haveWritten(int count) {
        writing = false;
        wrote += count;
        out.peek().position(out.peek().position() + count);
        if (!out.peek().hasRemaining()) {
            int gone = out.poll().limit();
            loop.hold(closed ? 0 : -gone);
        }
        if (broken != null) {
            tellEnded();
        } else if (!out.isEmpty()) {
            write();
        } else if (!closed) {
            if (finishing) {
                finish();
            }
            guarded(owner::written);
        }
    }

    /** How many bytes have been written so far. */
    public long wrote() {
        return wrote;
    }

    /** True while bytes that were handed over have not been written. */
    public boolean unsent() {
        return !out.isEmpty();
    }

    /** True while bytes that came in have not been taken. */
    public boolean unread() {
        return start != end;
    }

    public boolean isClosed() {
        return closed;
    }

    private void breaks(String how) {
        if (!closed) {
            broken = how;
            shut();
            // Only the write that is out knows whether its last byte went: its handler comes now
            // for certain.
            if (!writing) {
                tellEnded();
            }
        } else if (broken != null && !writing) {
            tellEnded();
        }
    }

    private void tellEnded() {
        if (!told) {
            told = true;
            int unwritten = 0;
            for (ByteBuffer b : out) {
                unwritten += b.remaining();
            }
            int left = unwritten;
            guarded(() -> owner.ended(left, orderly, broken));
        }
    }

    /**
     * Writes what was handed over, then tells the other side that no more comes; its own end ends
     * it all.
     */
    public void finish() {
        finishing = true;
        if (out.isEmpty() && !closed) {
            try {
                channel.shutdownOutput();
            } catch (IOException e) {
                breaks("cannot end: " + e.getMessage());
            }
        }
    }

    /**
     * Reads nothing more: what still comes is held up at the other side until the connection is
     * closed.
     */
    public void readNoMore() {
        deaf = true;
    }

    /** Ends it from here; the owner hears nothing more. */
    public void close() {
        told = true;
        shut();
    }

    private void shut() {
        if (!closed) {
            closed = true;
            loop.closed();
            loop.hold(-data.length);
            for (ByteBuffer b : out) {
                loop.hold(-b.limit());
            }
            try {
                channel.close();
            } catch (IOException e) {
                // it is gone either way
            }
        }
    }

    /** An exception in the owner's code ends this connection and nothing else. */
    private void guarded(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError bug) {
            loop.bug(bug);
            if (!closed) {
                breaks("fault of its own");
            }
        }
    }
}
