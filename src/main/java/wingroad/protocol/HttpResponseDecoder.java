package wingroad.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Decodes one HTTP/1.1 response incrementally. */
public final class HttpResponseDecoder {
    public static final int MAX_BODY_BYTES = 4 << 20;
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_LINE_COUNT = 128;

    /** The state of the response. */
    public enum State {
        INCOMPLETE,
        COMPLETE,
        MALFORMED
    }

    private enum Phase {
        STATUS_LINE,
        HEADERS,
        BODY,
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        DONE
    }

    private Phase phase = Phase.STATUS_LINE;
    private final StringBuilder lineBuffer = new StringBuilder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private int headerLineCount;
    private long remainingBytes = -1;
    private boolean chunked;
    private boolean connectionCloses;
    private String malformedReason;

    /** Encodes a GET request that accepts JSON. */
    public static ByteBuffer encodeGetRequest(String host, String path) {
        return ByteBuffer.wrap(
                ("GET "
                                + path
                                + " HTTP/1.1\r\nHost: "
                                + host
                                + "\r\nAccept: application/json\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** Consumes bytes up to the end of the response. */
    public State decode(ByteBuffer in) {
        while (malformedReason == null && phase != Phase.DONE) {
            switch (phase) {
                case BODY, CHUNK_DATA, BODY_UNTIL_CLOSE -> {
                    if (!in.hasRemaining()) {
                        return State.INCOMPLETE;
                    }
                    int count =
                            phase == Phase.BODY_UNTIL_CLOSE
                                    ? in.remaining()
                                    : (int) Math.min(remainingBytes, in.remaining());
                    if (body.size() + count > MAX_BODY_BYTES) {
                        malformedReason = "response body too long";
                        break;
                    }
                    byte[] bytes = new byte[count];
                    in.get(bytes);
                    body.writeBytes(bytes);
                    remainingBytes -= count;
                    if (remainingBytes == 0 && phase != Phase.BODY_UNTIL_CLOSE) {
                        phase = phase == Phase.BODY ? Phase.DONE : Phase.CHUNK_END;
                    }
                }
                default -> {
                    String line = readLine(in);
                    if (line != null) {
                        decodeLine(line);
                    } else if (malformedReason == null) {
                        return State.INCOMPLETE;
                    }
                }
            }
        }
        return malformedReason != null ? State.MALFORMED : State.COMPLETE;
    }

    /** Handles the end of the stream, which completes a response without a length. */
    public State endOfStream() {
        if (phase == Phase.BODY_UNTIL_CLOSE) {
            phase = Phase.DONE;
        }
        malformedReason = phase == Phase.DONE ? malformedReason : "response truncated";
        return malformedReason != null ? State.MALFORMED : State.COMPLETE;
    }

    private String readLine(ByteBuffer in) {
        while (in.hasRemaining()) {
            char c = (char) (in.get() & 0xff);
            if (c == '\n') {
                int length = lineBuffer.length();
                String completeLine =
                        lineBuffer.substring(
                                0,
                                length > 0 && lineBuffer.charAt(length - 1) == '\r'
                                        ? length - 1
                                        : length);
                lineBuffer.setLength(0);
                return completeLine;
            }
            if (lineBuffer.length() >= MAX_LINE_BYTES) {
                malformedReason = "header line too long";
                return null;
            }
            lineBuffer.append(c);
        }
        return null;
    }

    private void decodeLine(String line) {
        if ((phase == Phase.STATUS_LINE || phase == Phase.HEADERS || phase == Phase.TRAILERS)
                && ++headerLineCount > MAX_HEADER_LINE_COUNT) {
            malformedReason = "too many header lines";
            return;
        }
        switch (phase) {
            case STATUS_LINE -> {
                if (!line.matches("HTTP/1\\.[01] [0-9]{3}( .*)?")) {
                    malformedReason = "invalid status line";
                    return;
                }
                status = Integer.parseInt(line.substring(9, 12));
                connectionCloses = line.startsWith("HTTP/1.0");
                phase = Phase.HEADERS;
            }
            case HEADERS -> decodeHeader(line);
            case CHUNK_SIZE -> {
                String size = line.split(";", 2)[0].strip();
                if (!size.matches("[0-9a-fA-F]{1,7}")) {
                    malformedReason = "invalid chunk size";
                    return;
                }
                remainingBytes = Integer.parseInt(size, 16);
                phase = remainingBytes == 0 ? Phase.TRAILERS : Phase.CHUNK_DATA;
            }
            case CHUNK_END -> {
                malformedReason = line.isEmpty() ? null : "chunk exceeds its size";
                phase = Phase.CHUNK_SIZE;
            }
            default -> {
                if (line.isEmpty()) {
                    phase = Phase.DONE;
                }
            }
        }
    }

    private void decodeHeader(String line) {
        if (line.isEmpty()) {
            if (status < 200 && status != 101) {
                phase = Phase.STATUS_LINE;
            } else if (status == 204 || status == 304 || !chunked && remainingBytes == 0) {
                phase = Phase.DONE;
            } else {
                phase =
                        chunked
                                ? Phase.CHUNK_SIZE
                                : remainingBytes > 0 ? Phase.BODY : Phase.BODY_UNTIL_CLOSE;
                connectionCloses |= phase == Phase.BODY_UNTIL_CLOSE;
            }
            return;
        }
        int colon = line.indexOf(':');
        if (colon <= 0) {
            malformedReason = "header without a name";
            return;
        }
        String value = line.substring(colon + 1).strip();
        switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> {
                if (!value.matches("[0-9]{1,9}") || Integer.parseInt(value) > MAX_BODY_BYTES) {
                    malformedReason =
                            "invalid content-length "
                                    + (value.length() < 20 ? value : "with too many digits");
                } else {
                    remainingBytes = Integer.parseInt(value);
                }
            }
            case "transfer-encoding" ->
                    chunked = value.toLowerCase(Locale.ROOT).endsWith("chunked");
            case "connection" -> connectionCloses |= value.equalsIgnoreCase("close");
            default -> {
                // Other headers are ignored.
            }
        }
    }

    public int status() {
        return status;
    }

    public byte[] body() {
        return body.toByteArray();
    }

    /** Whether the connection can't be reused after this response. */
    public boolean connectionCloses() {
        return connectionCloses;
    }

    /** What is malformed in the response, or null. */
    public String malformedReason() {
        return malformedReason;
    }
}
