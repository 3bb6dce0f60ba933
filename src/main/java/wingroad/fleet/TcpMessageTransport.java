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

/** Messages over TCP: each as its length in four bytes and its CBOR. */
final class TcpMessageTransport implements MessageTransport {
    private static final int MAX_MESSAGE_BYTES = 4 << 20;
    private static final long MAX_UNSENT_BYTES = 8L << 20;

    private final EventLoop loop;

    TcpMessageTransport(EventLoop loop) {
        this.loop = loop;
    }

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
                    Connection.open(loop, parseAddress(address), channel, MAX_MESSAGE_BYTES + 4);
        } catch (IOException | RuntimeException e) {
            loop.run(() -> channel.ended(0, false, "cannot open: " + e.getMessage()));
        }
        return channel;
    }

    /** Listens; each guest gets an owner of its own. */
    Listener listen(InetSocketAddress address, Supplier<ChannelHandler> handlerFactory)
            throws IOException {
        Listener listener =
                new Listener(
                        loop,
                        address,
                        MAX_MESSAGE_BYTES + 4,
                        () -> loop.channelsLeft() > 0,
                        accepted -> {
                            ChannelHandler handler = handlerFactory.get();
                            TcpChannel channel = new TcpChannel(handler);
                            channel.connection = accepted.apply(channel);
                            handler.connected(channel);
                            channel.connection.begin();
                        });
        listener.again();
        return listener;
    }

    private static final class TcpChannel implements Channel, Connection.Owner {
        private final ChannelHandler handler;
        private Connection connection;
        private long sentBytes;
        private boolean closed;

        TcpChannel(ChannelHandler handler) {
            this.handler = handler;
        }

        @Override
        public void send(Map<String, Object> message) {
            if (closed || connection == null) {
                return;
            }
            byte[] body = Cbor.encode(message);
            sentBytes += body.length + 4;
            if (sentBytes - connection.wrote() > MAX_UNSENT_BYTES) {
                // Whoever does not read gets no more: what waits for it must not fill the memory.
                closeWith("does not read");
                return;
            }
            connection.send(
                    ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).flip());
        }

        private void closeWith(String reason) {
            if (!closed) {
                closed = true;
                if (connection != null) {
                    connection.close();
                }
                handler.closed(this, reason);
            }
        }

        @Override
        public void up() {
            if (!closed) {
                handler.connected(this);
            }
        }

        @Override
        public void bytes(ByteBuffer in) {
            while (!closed && in.remaining() >= 4) {
                int length = in.getInt(in.position());
                if (length < 0 || length > MAX_MESSAGE_BYTES) {
                    closeWith("a message of " + length + " bytes");
                    return;
                }
                if (in.remaining() < 4 + length) {
                    return;
                }
                byte[] body = new byte[length];
                in.getInt();
                in.get(body);
                try {
                    handler.received(this, Cbor.decode(body));
                } catch (Json.Malformed | ClassCastException e) {
                    closeWith("a broken message: " + e.getMessage());
                }
            }
        }

        @Override
        public void full() {
            closeWith("no memory for its messages");
        }

        @Override
        public void ended(int unwritten, boolean orderly, String reason) {
            closeWith(reason);
        }

        @Override
        public void close() {
            closed = true;
            if (connection != null) {
                connection.close();
            }
        }
    }
}
