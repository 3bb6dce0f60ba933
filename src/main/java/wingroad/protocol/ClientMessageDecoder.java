package wingroad.protocol;

import wingroad.protocol.FrameDecoder.Frame;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Decodes the messages that a client sends in PostgreSQL's protocol from a byte stream. */
public final class ClientMessageDecoder {
    /**
     * The largest message: a value of 64 KiB, which takes twice as many characters in hex, and the
     * statement around it.
     */
    public static final int MAX_MESSAGE_BYTES = 2 * 64 * 1024 + 4096;

    private static final String MESSAGE_TYPES = "QXPBDECHSFpdcf";
    private static final int MAX_STARTUP_MESSAGE_BYTES = 10_000;

    /** One for TLS and one for GSSAPI. */
    private static final int MAX_ENCRYPTION_REQUEST_COUNT = 2;

    private static final int PROTOCOL_VERSION_3_0 = 3 << 16;
    private static final int CANCEL_REQUEST_CODE = 80877102;
    private static final int SSL_REQUEST_CODE = 80877103;
    private static final int GSSENC_REQUEST_CODE = 80877104;

    /** The kinds of messages that callers tell apart. */
    public enum Kind {
        STARTUP,
        STARTUP_NEWER_MINOR,
        ENCRYPTION_REQUEST,
        CANCEL_REQUEST,
        QUERY,
        EXTENDED_QUERY,
        SYNC,
        IGNORED,
        TERMINATE,
        MALFORMED
    }

    /**
     * One decoded message.
     *
     * @param body the text of a query, or the parameters of a startup message; null for other kinds
     * @param reason what is malformed or not supported, or null
     */
    public record Message(Kind kind, byte[] body, String reason) {
        private static Message of(Kind kind) {
            return new Message(kind, null, null);
        }
    }

    private boolean startupReceived;
    private int encryptionRequestCount;

    /**
     * Decodes the next message, or returns null until it is complete. Nothing can be decoded after
     * a message of kind MALFORMED.
     */
    public Message next(ByteBuffer in) {
        return startupReceived ? decodeMessage(in) : decodeStartup(in);
    }

    private Message decodeStartup(ByteBuffer in) {
        if (in.remaining() < 4) {
            return null;
        }
        int length = in.getInt(in.position());
        if (length < 8 || length > MAX_STARTUP_MESSAGE_BYTES) {
            return malformed("startup message of a wrong length");
        }
        if (in.remaining() < 8) {
            return null;
        }
        int requestCode = in.getInt(in.position() + 4);
        if (requestCode != SSL_REQUEST_CODE
                && requestCode != GSSENC_REQUEST_CODE
                && requestCode != CANCEL_REQUEST_CODE
                && requestCode >>> 16 != PROTOCOL_VERSION_3_0 >>> 16) {
            return malformed("unsupported protocol");
        }
        if (in.remaining() < length) {
            return null;
        }
        int parametersStart = in.position() + 8;
        in.position(in.position() + length);
        if (requestCode == SSL_REQUEST_CODE || requestCode == GSSENC_REQUEST_CODE) {
            // Guards the startup's time limit: each request is answered and may be followed.
            return ++encryptionRequestCount > MAX_ENCRYPTION_REQUEST_COUNT
                    ? malformed("too many encryption requests")
                    : Message.of(Kind.ENCRYPTION_REQUEST);
        }
        if (requestCode == CANCEL_REQUEST_CODE) {
            return Message.of(Kind.CANCEL_REQUEST);
        }
        startupReceived = true;
        byte[] body = new byte[length - 8];
        in.get(parametersStart, body);
        return new Message(
                requestCode == PROTOCOL_VERSION_3_0 ? Kind.STARTUP : Kind.STARTUP_NEWER_MINOR,
                body,
                null);
    }

    /** How many whole queries stand in input that follows the startup message. */
    public static int countQueries(ByteBuffer in) {
        int count = 0;
        for (Frame frame = FrameDecoder.next(in, MAX_MESSAGE_BYTES);
                frame != null && frame.error() == null;
                frame = FrameDecoder.next(in, MAX_MESSAGE_BYTES)) {
            count += frame.type() == 'Q' ? 1 : 0;
        }
        return count;
    }

    /**
     * The values of some parameters of a startup message, each the first of its name. The others
     * cost no memory: a message may have thousands.
     *
     * @param maxValueChars longer values are cut to this length
     */
    public static Map<String, String> startupParameters(
            byte[] startupBody, Set<String> names, int maxValueChars) {
        Map<String, String> parameters = new HashMap<>();
        int nameStart = 0;
        while (nameStart < startupBody.length && startupBody[nameStart] != 0) {
            int nameEnd = terminatorIndex(startupBody, nameStart);
            if (nameEnd == startupBody.length) {
                break;
            }
            int valueEnd = terminatorIndex(startupBody, nameEnd + 1);
            for (String name : names) {
                if (name.length() == nameEnd - nameStart
                        && name.equals(text(startupBody, nameStart, nameEnd))) {
                    String value = text(startupBody, nameEnd + 1, valueEnd);
                    parameters.putIfAbsent(
                            name, value.substring(0, Math.min(value.length(), maxValueChars)));
                }
            }
            nameStart = valueEnd + 1;
        }
        return parameters;
    }

    /** The index of the next zero byte, or the length if there is none. */
    private static int terminatorIndex(byte[] bytes, int from) {
        int index = from;
        while (index < bytes.length && bytes[index] != 0) {
            index++;
        }
        return index;
    }

    private static String text(byte[] bytes, int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.UTF_8);
    }

    private static Message decodeMessage(ByteBuffer in) {
        // Checks the type before the length is complete, so that garbage is rejected at its first
        // byte.
        if (in.hasRemaining() && MESSAGE_TYPES.indexOf(in.get(in.position())) < 0) {
            return malformed("unknown message type");
        }
        Frame frame = FrameDecoder.next(in, MAX_MESSAGE_BYTES);
        if (frame == null) {
            return null;
        }
        if (frame.error() != null) {
            return malformed(frame.error());
        }
        switch (frame.type()) {
            case 'Q':
                {
                    ByteBuffer body = frame.body();
                    int terminatorIndex = body.limit() - 1;
                    if (terminatorIndex < 0 || body.get(terminatorIndex) != 0) {
                        return malformed("query without its end");
                    }
                    byte[] text = new byte[terminatorIndex];
                    body.get(text);
                    return new Message(Kind.QUERY, text, null);
                }
            case 'X':
                return Message.of(Kind.TERMINATE);
            case 'S':
                return Message.of(Kind.SYNC);
            case 'd', 'c', 'f':
                return Message.of(Kind.IGNORED);
            case 'p':
                return malformed("no password was asked for");
            default:
                return new Message(
                        frame.type() == 'F' ? Kind.SYNC : Kind.EXTENDED_QUERY,
                        null,
                        "function call");
        }
    }

    private static Message malformed(String reason) {
        return new Message(Kind.MALFORMED, null, reason);
    }
}
