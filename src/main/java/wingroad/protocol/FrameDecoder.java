package wingroad.protocol;

import java.nio.ByteBuffer;

/**
 * Cuts PostgreSQL's messages (a type, a length, a body) out of a stream as their last bytes come.
 */
final class FrameDecoder {
    /** A message, or why there can be none any more. */
    record Frame(char type, ByteBuffer body, String error) {
        static Frame error(String reason) {
            return new Frame('\0', null, reason);
        }
    }

    private FrameDecoder() {}

    /** The next message, or null until it is whole; the buffer then stands where it stood. */
    static Frame next(ByteBuffer in, int maxLengthBytes) {
        if (in.remaining() < 5) {
            return null;
        }
        int length = in.getInt(in.position() + 1);
        if (length < 4 || length > maxLengthBytes) {
            return Frame.error("message of a wrong length");
        }
        if (in.remaining() < 1 + length) {
            return null;
        }
        char type = (char) (in.get() & 0xff);
        in.getInt();
        return new Frame(type, readSlice(in, length - 4), null);
    }

    /** Takes so many bytes from the front, as a view of them. */
    static ByteBuffer readSlice(ByteBuffer in, int count) {
        ByteBuffer body = in.slice(in.position(), count);
        in.position(in.position() + count);
        return body;
    }

    /** The text up to the next zero byte, which is taken as well, or null where there is none. */
    static String readCString(ByteBuffer in) {
        for (int i = in.position(); i < in.limit(); i++) {
            if (in.get(i) == 0) {
                byte[] bytes = new byte[i - in.position()];
                in.get(bytes);
                in.get();
                return new String(bytes, java.nio.charset.StandardCharsets.UTF_8);
            }
        }
        return null;
    }
}
