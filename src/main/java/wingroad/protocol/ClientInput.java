package wingroad.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import wingroad.protocol.Frames.Frame;

/** What a client sends, cut out of the bytes as they come. */
public final class ClientInput {
    /**
     * A value of 64 KiB is twice as long when it is written in hex; the rest is for the statement
     * around it.
     */
    public static final int MOST = 2 * 64 * 1024 + 4096;

    private static final int MOST_STARTUP = 10_000;
    private static final int VERSION = 3 << 16;
    private static final int CANCEL = 80877102;
    private static final int TLS = 80877103;
    private static final int GSS = 80877104;

    /** What a message asks for. */
    public enum Kind {
        STARTUP,
        NEWER_STARTUP,
        ENCRYPTION,
        CANCEL,
        QUERY,
        EXTENDED,
        SYNC,
        SKIP,
        TERMINATE,
        BROKEN
    }

    /**
     * One message: {@code bytes} is a query's or startup's text, {@code why} tells what broke the
     * stream.
     */
    public record Message(Kind kind, byte[] bytes, String why) {
        private static Message of(Kind kind) {
            return new Message(kind, null, null);
        }
    }

    private boolean started;

    /** The next message, or null until it is whole. After BROKEN there is nothing more to read. */
    public Message next(ByteBuffer in) {
        return started ? command(in) : startup(in);
    }

    private Message startup(ByteBuffer in) {
        if (in.remaining() < 4) {
            return null;
        }
        int length = in.getInt(in.position());
        if (length < 8 || length > MOST_STARTUP) {
            return broken("startup message of a wrong length");
        }
        if (in.remaining() < 8) {
            return null;
        }
        int code = in.getInt(in.position() + 4);
        if (code != TLS && code != GSS && code != CANCEL && code >>> 16 != VERSION >>> 16) {
            return broken("unsupported protocol");
        }
        if (in.remaining() < length) {
            return null;
        }
        int parameters = in.position() + 8;
        in.position(in.position() + length);
        if (code == TLS || code == GSS) {
            return Message.of(Kind.ENCRYPTION);
        }
        if (code == CANCEL) {
            return Message.of(Kind.CANCEL);
        }
        started = true;
        byte[] said = new byte[length - 8];
        in.get(parameters, said);
        return new Message(code == VERSION ? Kind.STARTUP : Kind.NEWER_STARTUP, said, null);
    }

    /** The names and values that a startup message holds, as far as they are whole. */
    public static Map<String, String> parameters(byte[] startup) {
        Map<String, String> all = new HashMap<>();
        String[] words = new String(startup, StandardCharsets.UTF_8).split("\0", -1);
        for (int i = 0; i + 1 < words.length && !words[i].isEmpty(); i += 2) {
            all.putIfAbsent(words[i], words[i + 1]);
        }
        return all;
    }

    private static Message command(ByteBuffer in) {
        // A length without a known type is no message: garbage is told at its first byte.
        if (in.hasRemaining() && "QXPBDECHSFpdcf".indexOf(in.get(in.position())) < 0) {
            return broken("unknown message type");
        }
        Frame f = Frames.next(in, MOST);
        if (f == null) {
            return null;
        }
        if (f.broken() != null) {
            return broken(f.broken());
        }
        switch (f.type()) {
            case 'Q':
                {
                    ByteBuffer body = f.body();
                    int last = body.limit() - 1;
                    if (last < 0 || body.get(last) != 0) {
                        return broken("query without its end");
                    }
                    byte[] text = new byte[last];
                    body.get(text);
                    return new Message(Kind.QUERY, text, null);
                }
            case 'X':
                return Message.of(Kind.TERMINATE);
            case 'S':
                return Message.of(Kind.SYNC);
            case 'd', 'c', 'f':
                return Message.of(Kind.SKIP);
            case 'p':
                return broken("no password was asked for");
            default:
                return new Message(
                        f.type() == 'F' ? Kind.SYNC : Kind.EXTENDED, null, "function call");
        }
    }

    private static Message broken(String why) {
        return new Message(Kind.BROKEN, null, why);
    }
}
