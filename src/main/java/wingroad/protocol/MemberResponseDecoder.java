package wingroad.protocol;

import wingroad.protocol.FrameDecoder.Frame;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes the responses of a member: one to the startup message, then one for each query. The
 * messages of a response are kept until it is complete.
 */
public final class MemberResponseDecoder {
    /**
     * The largest message, which is a row: values of 400 KB occur. The total over all connections
     * is bounded by the event loop's limit on buffered bytes.
     */
    public static final int MAX_MESSAGE_BYTES = 2 << 20;

    /** The largest value that is kept as text, as that of a report. */
    private static final int MAX_TEXT_VALUE_BYTES = 4096;

    /** The largest message other than a row. */
    private static final int MAX_NON_ROW_MESSAGE_BYTES = 16 * 1024;

    /**
     * Limits all messages of one response other than the row, so that a response cannot go on
     * without end.
     */
    private static final int MAX_NON_ROW_RESPONSE_BYTES = 16 * MAX_NON_ROW_MESSAGE_BYTES;

    private static final int MAX_PARAMETER_COUNT = 64;

    private static final Pattern COMMAND_TAG = Pattern.compile("[A-Z]{2,20}( [0-9]{1,10}){0,2}");

    /** The state of the response. */
    public enum State {
        INCOMPLETE,
        COMPLETE,
        MALFORMED
    }

    private boolean startupAnswered;
    private boolean emptyQuerySent;
    private boolean emptyQueryAnswered;
    private boolean rowDescribed;
    private byte[] value;
    private boolean rowReceived;
    private boolean commandCompleted;
    private boolean fatal;
    private int nonRowBytes;
    private String errorSqlState;
    private String malformedReason;
    private final Map<String, String> parameters = new HashMap<>();

    /** The messages of the row: RowDescription, DataRow and CommandComplete. */
    private final List<byte[]> rowMessages = new ArrayList<>(3);

    /**
     * Consumes complete messages from the buffer. COMPLETE: one response is available, to be read
     * and then cleared with {@link #reset}.
     */
    public State decode(ByteBuffer in) {
        while (malformedReason == null) {
            String violation = checkMessageHeader(in);
            if (violation != null) {
                return malformed(violation);
            }
            int messageStart = in.position();
            Frame frame = FrameDecoder.next(in, MAX_MESSAGE_BYTES);
            if (frame == null) {
                return State.INCOMPLETE;
            }
            if (frame.error() != null) {
                return malformed(frame.error());
            }
            ByteBuffer body = frame.body();
            boolean wellFormed =
                    switch (frame.type()) {
                        case 'S' -> decodeParameterStatus(body);
                        case 'N', 'A' -> true;
                        case 'E' -> decodeErrorResponse(body);
                        case 'R' -> body.remaining() == 4 && body.getInt() == 0;
                        case 'T' -> decodeRowDescription(body);
                        case 'D' -> decodeDataRow(body);
                        case 'C' -> decodeCommandComplete(body);
                        case 'I' -> decodeEmptyQueryResponse(body);
                        case 'Z' -> body.remaining() == 1 && "ITE".indexOf(body.get()) >= 0;
                        default -> body.remaining() >= 8;
                    };
            if (!wellFormed) {
                return malformed("malformed message of type " + frame.type());
            }
            nonRowBytes += frame.type() == 'D' ? 0 : in.position() - messageStart;
            if (nonRowBytes > MAX_NON_ROW_RESPONSE_BYTES) {
                return malformed("response too long");
            }
            if ("TDC".indexOf(frame.type()) >= 0) {
                byte[] message = new byte[in.position() - messageStart];
                in.get(messageStart, message);
                rowMessages.add(message);
            }
            if (frame.type() == 'Z' || fatal) {
                return State.COMPLETE;
            }
        }
        return State.MALFORMED;
    }

    /**
     * Checks a message's type and lengths before all of it has arrived, as a corrupt message may
     * never be complete. Returns what is wrong, or null.
     */
    private String checkMessageHeader(ByteBuffer in) {
        if (!in.hasRemaining()) {
            return null;
        }
        int headerStart = in.position();
        char type = (char) (in.get(headerStart) & 0xff);
        boolean inSequence =
                switch (type) {
                    case 'S', 'N', 'A' -> true;
                    case 'I' -> emptyQuerySent && !emptyQueryAnswered;
                    case 'E' -> !emptyQuerySent && errorSqlState == null && !commandCompleted;
                    case 'R', 'K', 'v' -> !startupAnswered;
                    case 'T' ->
                            startupAnswered
                                    && !emptyQuerySent
                                    && !rowDescribed
                                    && errorSqlState == null;
                    case 'D' -> rowDescribed && !rowReceived && errorSqlState == null;
                    case 'C' -> rowReceived && !commandCompleted && errorSqlState == null;
                    case 'Z' ->
                            !startupAnswered
                                    || commandCompleted
                                    || emptyQueryAnswered
                                    || errorSqlState != null;
                    default -> false;
                };
        if (!inSequence) {
            return "unexpected message";
        }
        if (in.remaining() < 5) {
            return null;
        }
        int length = in.getInt(headerStart + 1);
        if (length > MAX_NON_ROW_MESSAGE_BYTES && type != 'D') {
            return "invalid message length";
        }
        // A row has one column, so its length field and the column's must agree.
        return type == 'D' && in.remaining() >= 11 && in.getInt(headerStart + 7) != length - 10
                ? "invalid row length"
                : null;
    }

    private boolean decodeParameterStatus(ByteBuffer body) {
        String name = FrameDecoder.readCString(body);
        String value = name == null ? null : FrameDecoder.readCString(body);
        if (value == null || body.hasRemaining() || parameters.size() >= MAX_PARAMETER_COUNT) {
            return false;
        }
        parameters.put(name, value);
        return true;
    }

    private boolean decodeRowDescription(ByteBuffer body) {
        rowDescribed =
                body.remaining() > 2
                        && body.getShort() == 1
                        && FrameDecoder.readCString(body) != null
                        && body.remaining() == 18;
        return rowDescribed;
    }

    private boolean decodeDataRow(ByteBuffer body) {
        if (body.remaining() < 6 || body.getShort() != 1) {
            return false;
        }
        int length = body.getInt();
        if (length != body.remaining()) {
            return false;
        }
        rowReceived = true;
        if (length <= MAX_TEXT_VALUE_BYTES) {
            value = new byte[length];
            body.get(value);
        }
        return true;
    }

    private boolean decodeCommandComplete(ByteBuffer body) {
        String tag = FrameDecoder.readCString(body);
        commandCompleted =
                tag != null && !body.hasRemaining() && COMMAND_TAG.matcher(tag).matches();
        return commandCompleted;
    }

    private boolean decodeEmptyQueryResponse(ByteBuffer body) {
        emptyQueryAnswered = !body.hasRemaining();
        return emptyQueryAnswered;
    }

    private boolean decodeErrorResponse(ByteBuffer body) {
        String sqlState = null;
        while (body.hasRemaining()) {
            byte field = body.get();
            if (field == 0) {
                errorSqlState = sqlState;
                return sqlState != null && !body.hasRemaining();
            }
            String text = FrameDecoder.readCString(body);
            if (text == null) {
                return false;
            }
            if (field == 'C') {
                sqlState = text;
            } else if (field == 'V' || field == 'S') {
                fatal |= text.equals("FATAL") || text.equals("PANIC");
            }
        }
        return false;
    }

    private State malformed(String reason) {
        malformedReason = reason;
        return State.MALFORMED;
    }

    /** Prepares for the response to an empty query, which allows neither a row nor an error. */
    public void expectEmptyQueryResponse() {
        reset();
        emptyQuerySent = true;
    }

    /** Prepares for the next response. */
    public void reset() {
        nonRowBytes = 0;
        startupAnswered = true;
        emptyQuerySent = false;
        emptyQueryAnswered = false;
        rowDescribed = false;
        value = null;
        rowReceived = false;
        commandCompleted = false;
        errorSqlState = null;
        parameters.clear();
        rowMessages.clear();
    }

    /** Whether the row and its end have arrived, with or without ReadyForQuery. */
    public boolean rowComplete() {
        return rowReceived && commandCompleted && errorSqlState == null;
    }

    /**
     * Whether any message other than notices and parameters has arrived for the current response.
     */
    public boolean responseStarted() {
        return rowDescribed || commandCompleted || errorSqlState != null;
    }

    /** The SQLSTATE of the error response, or null. */
    public String errorSqlState() {
        return errorSqlState;
    }

    /** Whether the member reported a fatal error, after which nothing more is received. */
    public boolean fatal() {
        return fatal;
    }

    /** What is malformed in the stream, or null. */
    public String malformedReason() {
        return malformedReason;
    }

    /** The messages of the row, concatenated as received. */
    public byte[] rowMessages() {
        int length = 0;
        for (byte[] message : rowMessages) {
            length += message.length;
        }
        ByteBuffer concatenated = ByteBuffer.allocate(length);
        rowMessages.forEach(concatenated::put);
        return concatenated.array();
    }

    /** The row's value as text; null without a row, or if it is too long to be kept as text. */
    public String value() {
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    /** The value of a parameter that the member reported with this response, or null. */
    public String parameter(String name) {
        return parameters.get(name);
    }
}
