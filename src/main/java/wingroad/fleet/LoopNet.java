package wingroad.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.Supplier;
import wingroad.protocol.Json;
import wingroad.transport.Connection;
import wingroad.transport.EventLoop;
import wingroad.transport.Listener;

/** Messages over TCP: each as its length in four bytes and its CBOR. */
final class LoopNet implements Net {
    private static final int LONGEST = 4 << 20;
    private static final long MOST_UNSENT = 8L << 20;

    private final EventLoop loop;

    LoopNet(EventLoop loop) {
        this.loop = loop;
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public Wire open(String address, Owner owner) {
        Line line = new Line(owner);
        try {
            line.link = Connection.open(loop, address(address), line, LONGEST + 4);
        } catch (IOException | RuntimeException e) {
            loop.run(() -> line.ended(0, false, "cannot open: " + e.getMessage()));
        }
        return line;
    }

    /** Listens; each guest gets an owner of its own. */
    Listener listen(InetSocketAddress at, Supplier<Owner> owners) throws IOException {
        Listener door =
                new Listener(
                        loop,
                        at,
                        LONGEST + 4,
                        () -> loop.channelsLeft() > 0,
                        guest -> {
                            Owner owner = owners.get();
                            Line line = new Line(owner);
                            line.link = guest.apply(line);
                            owner.up(line);
                            line.link.begin();
                        });
        door.again();
        return door;
    }

    private static final class Line implements Wire, Connection.Owner {
        private final Owner owner;
        private Connection link;
        private long handedOver;
        private boolean over;

        Line(Owner owner) {
            this.owner = owner;
        }

        @Override
        public void send(Map<String, Object> message) {
            if (over || link == null) {
                return;
            }
            byte[] text = Cbor.write(message);
            handedOver += text.length + 4;
            if (handedOver - link.wrote() > MOST_UNSENT) {
                // Whoever does not read gets no more: what waits for it must not fill the memory.
                end("does not read");
                return;
            }
            link.send(ByteBuffer.allocate(4 + text.length).putInt(text.length).put(text).flip());
        }

        private void end(String how) {
            if (!over) {
                over = true;
                if (link != null) {
                    link.close();
                }
                owner.ended(this, how);
            }
        }

        @Override
        public void up() {
            if (!over) {
                owner.up(this);
            }
        }

        @Override
        public void bytes(ByteBuffer in) {
            while (!over && in.remaining() >= 4) {
                int length = in.getInt(in.position());
                if (length < 0 || length > LONGEST) {
                    end("a message of " + length + " bytes");
                    return;
                }
                if (in.remaining() < 4 + length) {
                    return;
                }
                byte[] text = new byte[length];
                in.getInt();
                in.get(text);
                try {
                    owner.message(this, Cbor.map(text));
                } catch (Json.Malformed | ClassCastException e) {
                    end("a broken message: " + e.getMessage());
                }
            }
        }

        @Override
        public void full() {
            end("no memory for its messages");
        }

        @Override
        public void ended(int unwritten, boolean orderly, String how) {
            end(how);
        }

        @Override
        public void close() {
            over = true;
            if (link != null) {
                link.close();
            }
        }
    }
}
