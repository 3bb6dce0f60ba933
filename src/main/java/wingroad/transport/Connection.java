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
    private static final int INITIAL_BUFFER_BYTES = 1024;

    /**
     * Read ahead in any case for an owner that does not take it yet. The other side's end stands
     * behind all that it has sent: as long as there is memory to spare, all of it is read, up to
     * the bound, so that the end is seen.
     */
    private static final int READ_AHEAD_BYTES = 4096;

    /**
     * One call reads or writes no more: the system's side copies all that it is given, each time.
     */
    private static final int MAX_BYTES_PER_CALL = 64 * 1024;

    /** Who a connection belongs to. */
    public interface Handler {
        /** The connection is up; only where it was opened from here. */
        default void onConnected() {}

        /**
         * Bytes are there; the owner takes from the front what it can use, and the rest is offered
         * again.
         */
        void onBytes(ByteBuffer in);

        /**
         * Whether it takes what comes now; while it does not, what is read ahead gives way to
         * others' bytes.
         */
        default boolean acceptsInput() {
            return true;
        }

        /** All that was handed over has been written. */
        default void onAllWritten() {}

        /** There is no memory for more of what comes in; nothing more is read. */
        void onInputMemoryExhausted();

        /**
         * The connection is no more, and not by the owner's own closing. {@code unwritten}: how
         * many of the bytes handed over were certainly not written. {@code endOfStream}: the other
         * side said that no more comes; where it did not, as at a reset, what has come may be a
         * part of it.
         */
        void onClosed(int unwrittenBytes, boolean endOfStream, String reason);
    }

    private final EventLoop loop;
    private final AsynchronousSocketChannel channel;
    private final Handler handler;
    private final int maxBufferBytes;
    private final byte[] emptyBuffer = new byte[0];

    /** What has come in is from start to end; a read that is out fills what is behind it. */
    private byte[] buffer = emptyBuffer;

    private int unreadStart;
    private int unreadEnd;
    private boolean reading;
    private boolean inChannelCall;
    private boolean delivering;
    private final ArrayDeque<ByteBuffer> writeQueue = new ArrayDeque<>();
    private boolean writing;
    private long writtenBytes;
    private boolean connecting;
    private boolean outputShutdownRequested;
    private boolean readingStopped;
    private boolean closed;

    /** Why it broke, while a write that is out must still tell how far it came. */
    private String failure;

    private boolean endOfStream;
    private boolean closeReported;

    private Connection(
            EventLoop loop,
            AsynchronousSocketChannel channel,
            Handler handler,
            int maxBufferBytes) {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
        this.maxBufferBytes = maxBufferBytes;
        loop.channelOpened();
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) {
            fail("no options: " + e.getMessage());
        }
    }

    /** The other side's address, without its port; empty where it has gone already. */
    public String remoteHost() {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress a
                    ? a.getAddress().getHostAddress()
                    : "";
        } catch (IOException e) {
            return "";
        }
    }

    /** Takes over an accepted channel; reading begins with {@link #startReading}. */
    static Connection accepted(
            EventLoop loop,
            AsynchronousSocketChannel channel,
            Handler handler,
            int maxBufferBytes) {
        return new Connection(loop, channel, handler, maxBufferBytes);
    }

    /**
     * Opens a connection; the owner hears {@code up} or {@code ended} later, never within this
     * call.
     */
    public static Connection open(
            EventLoop loop, InetSocketAddress remoteAddress, Handler handler, int maxBufferBytes)
            throws IOException {
        Connection connection =
                new Connection(
                        loop, AsynchronousSocketChannel.open(loop.group), handler, maxBufferBytes);
        connection.connect(remoteAddress);
        return connection;
    }

    private void connect(InetSocketAddress remoteAddress) {
        connecting = true;
        try {
            channel.connect(
                    remoteAddress,
                    null,
                    new CompletionHandler<Void, Void>() {
                        @Override
                        public void completed(Void nothing, Void n) {
                            loop.execute(Connection.this::connected);
                        }

                        @Override
                        public void failed(Throwable cause, Void n) {
                            loop.execute(() -> connectFailed(cause));
                        }
                    });
        } catch (RuntimeException e) {
            loop.execute(() -> connectFailed(e));
        }
    }

    private void connected() {
        connecting = false;
        if (!closed) {
            runGuarded(handler::onConnected);
            startReading();
        }
    }

    private void connectFailed(Throwable cause) {
        connecting = false;
        fail("not connected: " + cause.getMessage());
    }

    public void startReading() {
        read();
    }

    /** Offers again what is still in the buffer, after the owner has become able to take it. */
    public void redeliver() {
        loop.execute(
                () -> {
                    deliver();
                    read();
                });
    }

    private void deliver() {
        if (closed || delivering || unreadStart == unreadEnd) {
            return;
        }
        delivering = true;
        ByteBuffer in = ByteBuffer.wrap(buffer, unreadStart, unreadEnd - unreadStart);
        runGuarded(() -> handler.onBytes(in));
        unreadStart = in.position();
        delivering = false;
    }

    private void read() {
        if (reading || closed || connecting || readingStopped) {
            return;
        }
        if (unreadStart == unreadEnd) {
            unreadStart = 0;
            unreadEnd = 0;
            if (buffer.length > INITIAL_BUFFER_BYTES) {
                loop.addBufferedBytes(-buffer.length);
                buffer = emptyBuffer;
            }
        } else if (unreadEnd == buffer.length) {
            System.arraycopy(buffer, unreadStart, buffer, 0, unreadEnd - unreadStart);
            unreadEnd -= unreadStart;
            unreadStart = 0;
        }
        if (unreadEnd == buffer.length) {
            int newSize =
                    Math.min(maxBufferBytes, Math.max(INITIAL_BUFFER_BYTES, buffer.length * 2));
            if (unreadEnd >= maxBufferBytes
                    || unreadEnd >= READ_AHEAD_BYTES
                            && !handler.acceptsInput()
                            && !loop.canReadAhead(newSize - buffer.length)) {
                return;
            }
            if (newSize > INITIAL_BUFFER_BYTES && !loop.canBuffer(newSize - buffer.length)) {
                runGuarded(handler::onInputMemoryExhausted);
                return;
            }
            loop.addBufferedBytes(newSize - buffer.length);
            buffer = Arrays.copyOf(buffer, newSize);
        }
        reading = true;
        inChannelCall = true;
        try {
            channel.read(
                    ByteBuffer.wrap(
                            buffer,
                            unreadEnd,
                            Math.min(MAX_BYTES_PER_CALL, buffer.length - unreadEnd)),
                    null,
                    readHandler);
        } catch (RuntimeException e) {
            reading = false;
            loop.execute(() -> fail("cannot read: " + e.getMessage()));
        }
        inChannelCall = false;
    }

    // A completion can come within the call that asked for it, so neither handler goes on from
    // there.
    private final CompletionHandler<Integer, Void> readHandler =
            new CompletionHandler<>() {
                @Override
                public void completed(Integer count, Void nothing) {
                    if (inChannelCall) {
                        loop.execute(() -> readCompleted(count));
                    } else {
                        runGuarded(() -> readCompleted(count));
                    }
                }

                @Override
                public void failed(Throwable cause, Void nothing) {
                    loop.execute(
                            () -> {
                                reading = false;
                                fail("read: " + cause.getMessage());
                            });
                }
            };

    private void readCompleted(int count) {
        reading = false;
        if (count < 0) {
            endOfStream = !closed;
            fail("ended by the other side");
            return;
        }
        unreadEnd += count;
        deliver();
        read();
    }

    /** Hands bytes over to be written, after those handed over before. */
    public void send(ByteBuffer bytes) {
        if (closed) {
            return;
        }
        writeQueue.add(bytes);
        loop.addBufferedBytes(bytes.remaining());
        write();
    }

    private void write() {
        if (writing || closed || writeQueue.isEmpty()) {
            return;
        }
        writing = true;
        inChannelCall = true;
        try {
            ByteBuffer first = writeQueue.peek();
            ByteBuffer chunk =
                    first.slice(first.position(), Math.min(MAX_BYTES_PER_CALL, first.remaining()));
            channel.write(chunk, null, writeHandler);
        } catch (RuntimeException e) {
            writing = false;
            loop.execute(() -> fail("cannot write: " + e.getMessage()));
        }
        inChannelCall = false;
    }

    private final CompletionHandler<Integer, Void> writeHandler =
            new CompletionHandler<>() {
                @Override
                public void completed(Integer count, Void nothing) {
                    // No longer a way than a read's: an answer must not seem to come before its
                    // query was written.
                    if (inChannelCall) {
                        loop.execute(() -> writeCompleted(count));
                    } else {
                        runGuarded(() -> writeCompleted(count));
                    }
                }

                @Override
                public void failed(Throwable cause, Void nothing) {
                    loop.execute(
                            () -> {
                                writing = false;
                                fail("write: " + cause.getMessage());
                            });
                }
            };

    private void writeCompleted(int count) {
        writing = false;
        writtenBytes += count;
        writeQueue.peek().position(writeQueue.peek().position() + count);
        if (!writeQueue.peek().hasRemaining()) {
            int releasedBytes = writeQueue.poll().limit();
            loop.addBufferedBytes(closed ? 0 : -releasedBytes);
        }
        if (failure != null) {
            reportClosed();
        } else if (!writeQueue.isEmpty()) {
            write();
        } else if (!closed) {
            if (outputShutdownRequested) {
                shutdownOutput();
            }
            runGuarded(handler::onAllWritten);
        }
    }

    /** How many bytes have been written so far. */
    public long writtenBytes() {
        return writtenBytes;
    }

    /** True while bytes that were handed over have not been written. */
    public boolean hasUnsentBytes() {
        return !writeQueue.isEmpty();
    }

    /** True while bytes that came in have not been taken. */
    public boolean hasUnreadBytes() {
        return unreadStart != unreadEnd;
    }

    public boolean isClosed() {
        return closed;
    }

    private void fail(String reason) {
        if (!closed) {
            failure = reason;
            closeChannel();
            // Only the write that is out knows whether its last byte went: its handler comes now
            // for certain.
            if (!writing) {
                reportClosed();
            }
        } else if (failure != null && !writing) {
            reportClosed();
        }
    }

    private void reportClosed() {
        if (!closeReported) {
            closeReported = true;
            int sum = 0;
            for (ByteBuffer b : writeQueue) {
                sum += b.remaining();
            }
            int unwrittenBytes = sum;
            runGuarded(() -> handler.onClosed(unwrittenBytes, endOfStream, failure));
        }
    }

    /**
     * Writes what was handed over, then tells the other side that no more comes; its own end ends
     * it all.
     */
    public void shutdownOutput() {
        outputShutdownRequested = true;
        if (writeQueue.isEmpty() && !closed) {
            try {
                channel.shutdownOutput();
            } catch (IOException e) {
                fail("cannot end: " + e.getMessage());
            }
        }
    }

    /**
     * Reads nothing more: what still comes is held up at the other side until the connection is
     * closed.
     */
    public void stopReading() {
        readingStopped = true;
    }

    /** Ends it from here; the owner hears nothing more. */
    public void close() {
        closeReported = true;
        closeChannel();
    }

    private void closeChannel() {
        if (!closed) {
            closed = true;
            loop.channelClosed();
            loop.addBufferedBytes(-buffer.length);
            for (ByteBuffer b : writeQueue) {
                loop.addBufferedBytes(-b.limit());
            }
            try {
                channel.close();
            } catch (IOException e) {
                // it is gone either way
            }
        }
    }

    /** An exception in the owner's code ends this connection and nothing else. */
    private void runGuarded(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError error) {
            loop.reportUnexpectedError(error);
            if (!closed) {
                fail("fault of its own");
            }
        }
    }
}
