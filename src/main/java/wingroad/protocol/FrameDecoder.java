package wingroad.protocol;

import java.nio.ByteBuffer;

/** Splits a byte stream into PostgreSQL's messages, each made of a type, a length and a body. */
final class FrameDecoder {
    /**
     * One message, or the reason why the stream is malformed.
     *
     * @param body a view of the input buffer, or null for a malformed stream
     * @param error what is malformed, or null
     */
    record Frame(char type, ByteBuffer body, String error) {
        static Frame error(String reason) {
            return new Frame('\0', null, reason);
        }
    }

    private FrameDecoder() {}

    /**
     * Decodes the next message. Returns null, and leaves the buffer's position, until the message
     * is complete.
     *
     * @param maxLengthBytes the largest length field accepted
     */
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

    /** Consumes the given number of bytes and returns a view of them. */
    static ByteBuffer readSlice(ByteBuffer in, int count) {
        ByteBuffer body = in.slice(in.position(), count);
        in.position(in.position() + count);
        return body;
    }

    /** Consumes a zero-terminated string, or returns null if there is no terminator. */
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
