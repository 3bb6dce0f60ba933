package wingroad.fleet;

import wingroad.protocol.Json;
import wingroad.transport.Connection;
import wingroad.transport.EventLoop;
import wingroad.transport.Listener;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.Supplier;

/** Messages over TCP: each as its length in four bytes, followed by its CBOR encoding. */
final class TcpMessageTransport implements MessageTransport {
    /** Longest message, without its length. */
    private static final int MAX_MESSAGE_BYTES = 4 << 20;

    /** Most bytes that may wait to be sent on one connection. */
    private static final long MAX_UNSENT_BYTES = 8L << 20;

    private static final int LENGTH_PREFIX_BYTES = 4;

    private final EventLoop loop;

    TcpMessageTransport(EventLoop loop) {
        this.loop = loop;
    }

    /** Parses {@code HOST:PORT}. */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public Channel open(String address, ChannelHandler handler) {
        TcpChannel channel = new TcpChannel(handler);
        try {
            channel.connection =
                    Connection.open(
                            loop,
                            parseAddress(address),
                            channel,
                            MAX_MESSAGE_BYTES + LENGTH_PREFIX_BYTES);
        } catch (IOException | RuntimeException e) {
            loop.execute(() -> channel.onClosed(0, false, "cannot open: " + e.getMessage()));
        }
        return channel;
    }

    /** Listens on an address; each accepted connection gets a handler of its own. */
    Listener listen(InetSocketAddress address, Supplier<ChannelHandler> handlerFactory)
            throws IOException {
        Listener listener =
                new Listener(
                        loop,
                        address,
                        MAX_MESSAGE_BYTES + LENGTH_PREFIX_BYTES,
                        0,
                        () -> loop.availableChannels() > 0,
                        accepted -> {
                            ChannelHandler handler = handlerFactory.get();
                            TcpChannel channel = new TcpChannel(handler);
                            channel.connection = accepted.apply(channel);
                            handler.connected(channel);
                            channel.connection.startReading();
                        });
        listener.acceptNext();
        return listener;
    }

    private static final class TcpChannel implements Channel, Connection.Handler {
        private final ChannelHandler handler;
        private Connection connection;
        private long sentBytes;
        private boolean isClosed;

        TcpChannel(ChannelHandler handler) {
            this.handler = handler;
        }

        @Override
        public void send(Map<String, Object> message) {
            if (isClosed || connection == null) {
                return;
            }
            byte[] body = Cbor.encode(message);
            sentBytes += body.length + LENGTH_PREFIX_BYTES;
            if (sentBytes - connection.writtenBytes() > MAX_UNSENT_BYTES) {
                // A peer that does not read is disconnected, so that unsent messages do not
                // exhaust the memory.
                fail("peer does not read its messages");
                return;
            }
            connection.send(
                    ByteBuffer.allocate(LENGTH_PREFIX_BYTES + body.length)
                            .putInt(body.length)
                            .put(body)
                            .flip());
        }

        /** Closes the connection after an error and tells the handler. */
        private void fail(String reason) {
            if (!isClosed) {
                isClosed = true;
                if (connection != null) {
                    connection.close();
                }
                handler.closed(this, reason);
            }
        }

        @Override
        public void onConnected() {
            if (!isClosed) {
                handler.connected(this);
            }
        }

        @Override
        public void onBytes(ByteBuffer in) {
            while (!isClosed && in.remaining() >= LENGTH_PREFIX_BYTES) {
                int length = in.getInt(in.position());
                if (length < 0 || length > MAX_MESSAGE_BYTES) {
                    fail("invalid message length: " + length + " bytes");
                    return;
                }
                if (in.remaining() < LENGTH_PREFIX_BYTES + length) {
                    return;
                }
                byte[] body = new byte[length];
                in.getInt();
                in.get(body);
                try {
                    handler.received(this, Cbor.decode(body));
                } catch (Json.MalformedJsonException | ClassCastException e) {
                    fail("malformed message: " + e.getMessage());
                }
            }
        }

        @Override
        public void onInputMemoryExhausted() {
            fail("no memory left for received messages");
        }

        @Override
        public void onClosed(int unwritten, boolean orderly, String reason) {
            fail(reason);
        }

        @Override
        public void close() {
            isClosed = true;
            if (connection != null) {
                connection.close();
            }
        }
    }
}
