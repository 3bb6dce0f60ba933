package wingroad.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketOption;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * A TCP connection on the event loop. It has one input buffer, which grows on demand up to a limit
 * and is compacted in place, and a queue of output buffers. All methods and handler callbacks run
 * on the loop's thread.
 */
public final class Connection {
    private static final int INITIAL_BUFFER_BYTES = 1024;

    /**
     * Bytes that are read ahead even if the handler does not accept input yet. The peer's end of
     * stream follows all that it has sent, so more is read ahead, up to the limit, while memory is
     * available, in order to detect it.
     */
    private static final int READ_AHEAD_BYTES = 4096;

    /** Limits one read or write: the JDK copies the whole buffer passed to it for each call. */
    private static final int MAX_BYTES_PER_CALL = 64 * 1024;

    /**
     * Input of this size that others do not depend on is read on in turns, so that many large
     * requests at once delay everything else by little at a time.
     */
    private static final int LARGE_INPUT_BYTES = 8 * 1024;

    /** Receives the events of a connection. */
    public interface Handler {
        /** Called once an outgoing connection is established. */
        default void onConnected() {}

        /**
         * Called with received bytes. The handler consumes what it can use from the front; the rest
         * is delivered again.
         */
        void onBytes(ByteBuffer in);

        /**
         * Whether the handler accepts input now. While it does not, its read-ahead yields memory to
         * other connections.
         */
        default boolean acceptsInput() {
            return true;
        }

        /**
         * Whether others depend on this input, as on a member's response. Where memory is short it
         * takes the place of any client's unfinished input, and other input only that of larger
         * one.
         */
        default boolean isInputEssential() {
            return false;
        }

        /** Called once all queued bytes have been written. */
        default void onAllWritten() {}

        /**
         * Called when the unread input fills the buffer, so that nothing more is read, the peer's
         * end included, until the handler consumes some of it.
         */
        default void onInputFull() {}

        /** Called when there is no memory for more input; nothing more is read. */
        void onInputMemoryExhausted();

        /**
         * Called when the connection was closed other than by {@link #close}.
         *
         * @param unwrittenBytes how many of the queued bytes were certainly not written
         * @param endOfStream whether the peer ended its output in order; if not, as after a reset,
         *     the received data may be incomplete
         */
        void onClosed(int unwrittenBytes, boolean endOfStream, String reason);
    }

    private final EventLoop loop;
    private final AsynchronousSocketChannel channel;
    private final Handler handler;
    private final int maxBufferBytes;
    private final byte[] emptyBuffer = new byte[0];

    /**
     * Unread input is between unreadStart and unreadEnd; a pending read fills the space after it.
     */
    private byte[] buffer = emptyBuffer;

    private int unreadStart;
    private int unreadEnd;
    private boolean reading;
    private boolean inChannelCall;

    /** The unread input while the handler is consuming it, or null. */
    private ByteBuffer delivered;

    private final ArrayDeque<ByteBuffer> writeQueue = new ArrayDeque<>();
    private boolean writing;
    private long writtenBytes;
    private boolean connecting;
    private boolean outputShutdownRequested;
    private boolean readingStopped;

    /** The unread input fills the buffer: nothing is read. */
    private boolean inputFull;

    private boolean closed;

    /**
     * Why the connection failed. Kept while a pending write has yet to report how much was written.
     */
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
        setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    /** Sets an option without which the connection can be used as well. */
    private <T> void setOption(SocketOption<T> option, T value) {
        try {
            channel.setOption(option, value);
        } catch (IOException | RuntimeException e) {
            // Of a connection that has failed, the next read tells.
        }
    }

    /** Bounds what the system takes for this connection before the peer has read it. */
    void limitSendBuffer(int bytes) {
        setOption(StandardSocketOptions.SO_SNDBUF, bytes);
    }

    /** The peer's IP address without its port; empty if the peer has disconnected. */
    public String remoteHost() {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress a
                    ? a.getAddress().getHostAddress()
                    : "";
        } catch (IOException e) {
            return "";
        }
    }

    /** Wraps an accepted channel; reading starts with {@link #startReading}. */
    static Connection accepted(
            EventLoop loop,
            AsynchronousSocketChannel channel,
            Handler handler,
            int maxBufferBytes) {
        return new Connection(loop, channel, handler, maxBufferBytes);
    }

    /**
     * Opens a connection; the handler's {@code onConnected} or {@code onClosed} is called later,
     * never within this call.
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
        fail("connect failed: " + cause.getMessage());
    }

    public void startReading() {
        read();
    }

    /** Delivers buffered input again once the handler can accept it. */
    public void redeliver() {
        loop.execute(
                () -> {
                    deliver();
                    read();
                });
    }

    private void deliver() {
        if (closed || delivered != null || unreadStart == unreadEnd) {
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(buffer, unreadStart, unreadEnd - unreadStart);
        delivered = in;
        runGuarded(() -> handler.onBytes(in));
        unreadStart = in.position();
        delivered = null;
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
                inputFull = true;
                runGuarded(handler::onInputFull);
                return;
            }
            if (newSize > INITIAL_BUFFER_BYTES && !makeRoom(newSize)) {
                runGuarded(handler::onInputMemoryExhausted);
                return;
            }
            byte[] grown = copyOfBuffer(newSize);
            if (grown == null) {
                runGuarded(handler::onInputMemoryExhausted);
                return;
            }
            loop.addBufferedBytes(newSize - buffer.length);
            buffer = grown;
        }
        reading = true;
        inputFull = false;
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
            loop.execute(() -> fail("read failed: " + e.getMessage()));
        }
        inChannelCall = false;
    }

    /** A larger copy of the input buffer; null if the heap has no room for it. */
    private byte[] copyOfBuffer(int newSize) {
        try {
            return Arrays.copyOf(buffer, newSize);
        } catch (OutOfMemoryError error) {
            loop.reportUnexpectedError(error);
            return null;
        }
    }

    private boolean makeRoom(int newSize) {
        return loop.makeRoomForInput(newSize - buffer.length, handler.isInputEssential(), newSize);
    }

    // A completion handler may be invoked within the call that started the operation, so it does
    // not continue directly in that case.
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
                                fail("read failed: " + cause.getMessage());
                            });
                }
            };

    private void readCompleted(int count) {
        reading = false;
        if (count < 0) {
            endOfStream = !closed;
            fail("closed by peer");
            return;
        }
        unreadEnd += count;
        deliver();
        if (unreadEnd - unreadStart < LARGE_INPUT_BYTES || handler.isInputEssential()) {
            read();
        } else {
            loop.executeInTurn(this::read);
        }
    }

    /** Queues bytes to be written after those queued before. */
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
            loop.execute(() -> fail("write failed: " + e.getMessage()));
        }
        inChannelCall = false;
    }

    private final CompletionHandler<Integer, Void> writeHandler =
            new CompletionHandler<>() {
                @Override
                public void completed(Integer count, Void nothing) {
                    // Takes the same path as a read's completion: otherwise a response could be
                    // processed before its query counts as written.
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
                                fail("write failed: " + cause.getMessage());
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

    /** The number of bytes written so far. */
    public long writtenBytes() {
        return writtenBytes;
    }

    /** Whether queued bytes have not been written yet. */
    public boolean hasUnsentBytes() {
        return !writeQueue.isEmpty();
    }

    /** How much memory the queued output holds. */
    public int unsentBytes() {
        int sum = 0;
        for (ByteBuffer bytes : writeQueue) {
            sum += bytes.limit();
        }
        return sum;
    }

    /** Whether received bytes have not been consumed yet. */
    public boolean hasUnreadBytes() {
        return unreadStart != unreadEnd;
    }

    /** A read-only view of the received bytes that have not been consumed yet. */
    public ByteBuffer unreadInput() {
        return delivered != null
                ? delivered.asReadOnlyBuffer()
                : ByteBuffer.wrap(buffer, unreadStart, unreadEnd - unreadStart).asReadOnlyBuffer();
    }

    /** How much memory its input holds. */
    public int inputBufferBytes() {
        return closed ? 0 : buffer.length;
    }

    /** Whether nothing is read since the unread input fills the buffer. */
    public boolean isInputFull() {
        return inputFull && !closed;
    }

    public boolean isClosed() {
        return closed;
    }

    private void fail(String reason) {
        if (!closed) {
            failure = reason;
            closeChannel();
            // Only a pending write knows how many bytes were sent; its completion handler is
            // certain to be called now.
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
     * Writes the queued bytes, then shuts down the output; the peer's end of stream closes the
     * connection.
     */
    public void shutdownOutput() {
        outputShutdownRequested = true;
        if (writeQueue.isEmpty() && !closed) {
            try {
                channel.shutdownOutput();
            } catch (IOException e) {
                fail("shutdown of output failed: " + e.getMessage());
            }
        }
    }

    /** Stops reading: flow control stops the peer until the connection is closed. */
    public void stopReading() {
        readingStopped = true;
    }

    /** Closes the connection; the handler gets no further callbacks. */
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
                // The channel is closed in any case.
            }
        }
    }

    /** Runs a handler callback; an exception in it closes only this connection. */
    private void runGuarded(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError error) {
            loop.reportUnexpectedError(error);
            if (!closed) {
                fail("internal error");
            }
        }
    }
}
