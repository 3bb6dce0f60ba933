package wingroad.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One HTTP/1.1 answer, taken from the bytes as they come. */
public final class HttpReply {
    public static final int MOST_BODY = 4 << 20;
    private static final int MOST_LINE = 8 * 1024;
    private static final int MOST_LINES = 128;

    /** How far it has come. */
    public enum State {
        WAITING,
        WHOLE,
        BROKEN
    }

    private enum Part {
        STATUS,
        HEADERS,
        BODY,
        TO_THE_END,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        DONE
    }

    private Part part = Part.STATUS;
    private final StringBuilder line = new StringBuilder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private int lines;
    private long left = -1;
    private boolean chunked;
    private boolean closes;
    private String why;

    public static ByteBuffer request(String host, String path) {
        return ByteBuffer.wrap(
                ("GET "
                                + path
                                + " HTTP/1.1\r\nHost: "
                                + host
                                + "\r\nAccept: application/json\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** Takes bytes up to the answer's end. */
    public State take(ByteBuffer in) {
        while (why == null && part != Part.DONE) {
            switch (part) {
                case BODY, CHUNK, TO_THE_END -> {
                    if (!in.hasRemaining()) {
                        return State.WAITING;
                    }
                    int n =
                            part == Part.TO_THE_END
                                    ? in.remaining()
                                    : (int) Math.min(left, in.remaining());
                    if (body.size() + n > MOST_BODY) {
                        why = "a body without end";
                        break;
                    }
                    byte[] bytes = new byte[n];
                    in.get(bytes);
                    body.writeBytes(bytes);
                    left -= n;
                    if (left == 0 && part != Part.TO_THE_END) {
                        part = part == Part.BODY ? Part.DONE : Part.CHUNK_END;
                    }
                }
                default -> {
                    String next = readLine(in);
                    if (next != null) {
                        understood(next);
                    } else if (why == null) {
                        return State.WAITING;
                    }
                }
            }
        }
        return why != null ? State.BROKEN : State.WHOLE;
    }

    /** The stream has ended: some answers end with it. */
    public State end() {
        if (part == Part.TO_THE_END) {
            part = Part.DONE;
        }
        why = part == Part.DONE ? why : "it ends early";
        return why != null ? State.BROKEN : State.WHOLE;
    }

    private String readLine(ByteBuffer in) {
        while (in.hasRemaining()) {
            char c = (char) (in.get() & 0xff);
            if (c == '\n') {
                int length = line.length();
                String all =
                        line.substring(
                                0,
                                length > 0 && line.charAt(length - 1) == '\r'
                                        ? length - 1
                                        : length);
                line.setLength(0);
                return all;
            }
            if (line.length() >= MOST_LINE) {
                why = "a line without end";
                return null;
            }
            line.append(c);
        }
        return null;
    }

    private void understood(String text) {
        if ((part == Part.STATUS || part == Part.HEADERS || part == Part.TRAILERS)
                && ++lines > MOST_LINES) {
            why = "headers without end";
            return;
        }
        switch (part) {
            case STATUS -> {
                if (!text.matches("HTTP/1\\.[01] [0-9]{3}( .*)?")) {
                    why = "no status line";
                    return;
                }
                status = Integer.parseInt(text.substring(9, 12));
                closes = text.startsWith("HTTP/1.0");
                part = Part.HEADERS;
            }
            case HEADERS -> header(text);
            case CHUNK_SIZE -> {
                String size = text.split(";", 2)[0].strip();
                if (!size.matches("[0-9a-fA-F]{1,7}")) {
                    why = "no chunk size";
                    return;
                }
                left = Integer.parseInt(size, 16);
                part = left == 0 ? Part.TRAILERS : Part.CHUNK;
            }
            case CHUNK_END -> {
                why = text.isEmpty() ? null : "a chunk longer than it says";
                part = Part.CHUNK_SIZE;
            }
            default -> {
                if (text.isEmpty()) {
                    part = Part.DONE;
                }
            }
        }
    }

    private void header(String text) {
        if (text.isEmpty()) {
            if (status < 200 && status != 101) {
                part = Part.STATUS;
            } else if (status == 204 || status == 304 || !chunked && left == 0) {
                part = Part.DONE;
            } else {
                part = chunked ? Part.CHUNK_SIZE : left > 0 ? Part.BODY : Part.TO_THE_END;
                closes |= part == Part.TO_THE_END;
            }
            return;
        }
        int colon = text.indexOf(':');
        if (colon <= 0) {
            why = "a header without a name";
            return;
        }
        String value = text.substring(colon + 1).strip();
        switch (text.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> {
                if (!value.matches("[0-9]{1,9}") || Integer.parseInt(value) > MOST_BODY) {
                    why = "a length of " + (value.length() < 20 ? value : "too many digits");
                } else {
                    left = Integer.parseInt(value);
                }
            }
            case "transfer-encoding" ->
                    chunked = value.toLowerCase(Locale.ROOT).endsWith("chunked");
            case "connection" -> closes |= value.equalsIgnoreCase("close");
            default -> {
                // of no use here
            }
        }
    }

    public int status() {
        return status;
    }

    public byte[] body() {
        return body.toByteArray();
    }

    /** The connection can't be used again. */
    public boolean closes() {
        return closes;
    }

    public String why() {
        return why;
    }
}
