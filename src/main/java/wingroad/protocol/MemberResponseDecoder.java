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
 * What a member sends, one answer after the other: the first one is to the startup message, the
 * others to one query each. An answer is taken whole.
 */
public final class MemberResponseDecoder {
    /**
     * The largest row. Values of 400 KB were met; what all of them may hold together is bounded by
     * the loop.
     */
    public static final int MAX_MESSAGE_BYTES = 2 << 20;

    /** A value that is text, as a report is. */
    private static final int MAX_TEXT_VALUE_BYTES = 4096;

    /** The largest message that is no row. */
    private static final int MAX_NON_ROW_MESSAGE_BYTES = 16 * 1024;

    /**
     * What may come beside one answer's row in all; an answer that goes on for longer has no end.
     */
    private static final int MAX_NON_ROW_RESPONSE_BYTES = 16 * MAX_NON_ROW_MESSAGE_BYTES;

    private static final Pattern COMMAND_TAG = Pattern.compile("[A-Z]{2,20}( [0-9]{1,10}){0,2}");

    /** How far an answer has come. */
    public enum State {
        INCOMPLETE,
        COMPLETE,
        MALFORMED
    }

    private boolean startupAnswered;
    private boolean rowDescribed;
    private byte[] value;
    private boolean rowReceived;
    private boolean commandCompleted;
    private boolean fatal;
    private int nonRowBytes;
    private String errorSqlState;
    private String malformedReason;
    private final Map<String, String> parameters = new HashMap<>();

    /** The row's messages, one after the other. */
    private final List<byte[]> rowMessages = new ArrayList<>(3);

    /**
     * Takes what it can from the buffer. WHOLE: one answer is there, to be read and then to be
     * cleared.
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
                        case 'Z' -> body.remaining() == 1 && "ITE".indexOf(body.get()) >= 0;
                        default -> body.remaining() >= 8;
                    };
            if (!wellFormed) {
                return malformed("a malformed " + frame.type());
            }
            nonRowBytes += frame.type() == 'D' ? 0 : in.position() - messageStart;
            if (nonRowBytes > MAX_NON_ROW_RESPONSE_BYTES) {
                return malformed("an answer without end");
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
     * What can be told wrong of a message before all of it is there, or null: a spoilt one may
     * never come whole.
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
                    case 'E' -> errorSqlState == null && !commandCompleted;
                    case 'R', 'K', 'v' -> !startupAnswered;
                    case 'T' -> startupAnswered && !rowDescribed && errorSqlState == null;
                    case 'D' -> rowDescribed && !rowReceived && errorSqlState == null;
                    case 'C' -> rowReceived && !commandCompleted && errorSqlState == null;
                    case 'Z' -> !startupAnswered || commandCompleted || errorSqlState != null;
                    default -> false;
                };
        if (!inSequence) {
            return "a message out of turn";
        }
        if (in.remaining() < 5) {
            return null;
        }
        int length = in.getInt(headerStart + 1);
        if (length > MAX_NON_ROW_MESSAGE_BYTES && type != 'D') {
            return "a message of a wrong length";
        }
        // A row has one column: the two lengths tell the same.
        return type == 'D' && in.remaining() >= 11 && in.getInt(headerStart + 7) != length - 10
                ? "a row of a wrong length"
                : null;
    }

    private boolean decodeParameterStatus(ByteBuffer body) {
        String name = FrameDecoder.readCString(body);
        String value = name == null ? null : FrameDecoder.readCString(body);
        if (value == null || body.hasRemaining() || parameters.size() >= 64) {
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

    /** Makes ready for the next answer. */
    public void reset() {
        nonRowBytes = 0;
        startupAnswered = true;
        rowDescribed = false;
        value = null;
        rowReceived = false;
        commandCompleted = false;
        errorSqlState = null;
        parameters.clear();
        rowMessages.clear();
    }

    /** The row and its end are there, whether or not the member went on to say that it is ready. */
    public boolean rowComplete() {
        return rowReceived && commandCompleted && errorSqlState == null;
    }

    /** Anything but notices has come of an answer. */
    public boolean responseStarted() {
        return rowDescribed || commandCompleted || errorSqlState != null;
    }

    /** The code of the error that it answered with, or null. */
    public String errorSqlState() {
        return errorSqlState;
    }

    /** After it nothing more comes. */
    public boolean fatal() {
        return fatal;
    }

    /** What is wrong with the stream, or null. */
    public String malformedReason() {
        return malformedReason;
    }

    /** The row's messages as they came. */
    public byte[] rowMessages() {
        int length = 0;
        for (byte[] message : rowMessages) {
            length += message.length;
        }
        ByteBuffer concatenated = ByteBuffer.allocate(length);
        rowMessages.forEach(concatenated::put);
        return concatenated.array();
    }

    public String value() {
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    /** What it said of itself, or null. */
    public String parameter(String name) {
        return parameters.get(name);
    }
}
