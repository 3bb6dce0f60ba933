package wingroad.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import wingroad.protocol.Frames.Frame;

/**
 * What a member sends, one answer after the other: the first one is to the startup message, the
 * others to one query each. An answer is taken whole.
 */
public final class MemberInput {
    /**
     * The largest row. Values of 400 KB were met; what all of them may hold together is bounded by
     * the loop.
     */
    public static final int MOST = 2 << 20;

    /** A value that is text, as a report is. */
    private static final int MOST_TEXT = 4096;

    /** The largest message that is no row. */
    private static final int MOST_BUT_ROWS = 16 * 1024;

    /**
     * What may come beside one answer's row in all; an answer that goes on for longer has no end.
     */
    private static final int MOST_BESIDE = 16 * MOST_BUT_ROWS;

    private static final Pattern TAG = Pattern.compile("[A-Z]{2,20}( [0-9]{1,10}){0,2}");

    /** How far an answer has come. */
    public enum State {
        WAITING,
        WHOLE,
        BROKEN
    }

    private boolean started;
    private boolean described;
    private byte[] value;
    private boolean valued;
    private boolean completed;
    private boolean fatal;
    private int beside;
    private String error;
    private String why;
    private final Map<String, String> parameters = new HashMap<>();

    /** The row's messages, one after the other. */
    private final List<byte[]> row = new ArrayList<>(3);

    /**
     * Takes what it can from the buffer. WHOLE: one answer is there, to be read and then to be
     * cleared.
     */
    public State take(ByteBuffer in) {
        while (why == null) {
            String wrong = early(in);
            if (wrong != null) {
                return broken(wrong);
            }
            int from = in.position();
            Frame f = Frames.next(in, MOST);
            if (f == null) {
                return State.WAITING;
            }
            if (f.broken() != null) {
                return broken(f.broken());
            }
            ByteBuffer body = f.body();
            boolean good =
                    switch (f.type()) {
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
            if (!good) {
                return broken("a malformed " + f.type());
            }
            beside += f.type() == 'D' ? 0 : in.position() - from;
            if (beside > MOST_BESIDE) {
                return broken("an answer without end");
            }
            if ("TDC".indexOf(f.type()) >= 0) {
                byte[] message = new byte[in.position() - from];
                in.get(from, message);
                row.add(message);
            }
            if (f.type() == 'Z' || fatal) {
                return State.WHOLE;
            }
        }
        return State.BROKEN;
    }

    /**
     * What can be told wrong of a message before all of it is there, or null: a spoilt one may
     * never come whole.
     */
    private String early(ByteBuffer in) {
        if (!in.hasRemaining()) {
            return null;
        }
        int at = in.position();
        char type = (char) (in.get(at) & 0xff);
        boolean inTurn =
                switch (type) {
                    case 'S', 'N', 'A' -> true;
                    case 'E' -> error == null && !completed;
                    case 'R', 'K', 'v' -> !started;
                    case 'T' -> started && !described && error == null;
                    case 'D' -> described && !valued && error == null;
                    case 'C' -> valued && !completed && error == null;
                    case 'Z' -> !started || completed || error != null;
                    default -> false;
                };
        if (!inTurn) {
            return "a message out of turn";
        }
        if (in.remaining() < 5) {
            return null;
        }
        int length = in.getInt(at + 1);
        if (length > MOST_BUT_ROWS && type != 'D') {
            return "a message of a wrong length";
        }
        // A row has one column: the two lengths tell the same.
        return type == 'D' && in.remaining() >= 11 && in.getInt(at + 7) != length - 10
                ? "a row of a wrong length"
                : null;
    }

    private boolean decodeParameterStatus(ByteBuffer body) {
        String name = Frames.text(body);
        String setting = name == null ? null : Frames.text(body);
        if (setting == null || body.hasRemaining() || parameters.size() >= 64) {
            return false;
        }
        parameters.put(name, setting);
        return true;
    }

    private boolean decodeRowDescription(ByteBuffer body) {
        described =
                body.remaining() > 2
                        && body.getShort() == 1
                        && Frames.text(body) != null
                        && body.remaining() == 18;
        return described;
    }

    private boolean decodeDataRow(ByteBuffer body) {
        if (body.remaining() < 6 || body.getShort() != 1) {
            return false;
        }
        int length = body.getInt();
        if (length != body.remaining()) {
            return false;
        }
        valued = true;
        if (length <= MOST_TEXT) {
            value = new byte[length];
            body.get(value);
        }
        return true;
    }

    private boolean decodeCommandComplete(ByteBuffer body) {
        String tag = Frames.text(body);
        completed = tag != null && !body.hasRemaining() && TAG.matcher(tag).matches();
        return completed;
    }

    private boolean decodeErrorResponse(ByteBuffer body) {
        String code = null;
        while (body.hasRemaining()) {
            byte field = body.get();
            if (field == 0) {
                error = code;
                return code != null && !body.hasRemaining();
            }
            String text = Frames.text(body);
            if (text == null) {
                return false;
            }
            if (field == 'C') {
                code = text;
            } else if (field == 'V' || field == 'S') {
                fatal |= text.equals("FATAL") || text.equals("PANIC");
            }
        }
        return false;
    }

    private State broken(String what) {
        why = what;
        return State.BROKEN;
    }

    /** Makes ready for the next answer. */
    public void clear() {
        beside = 0;
        started = true;
        described = false;
        value = null;
        valued = false;
        completed = false;
        error = null;
        parameters.clear();
        row.clear();
    }

    /** The row and its end are there, whether or not the member went on to say that it is ready. */
    public boolean served() {
        return valued && completed && error == null;
    }

    /** Anything but notices has come of an answer. */
    public boolean begun() {
        return described || completed || error != null;
    }

    /** The code of the error that it answered with, or null. */
    public String error() {
        return error;
    }

    /** After it nothing more comes. */
    public boolean fatal() {
        return fatal;
    }

    /** What is wrong with the stream, or null. */
    public String why() {
        return why;
    }

    /** The row's messages as they came. */
    public byte[] row() {
        int length = 0;
        for (byte[] message : row) {
            length += message.length;
        }
        ByteBuffer all = ByteBuffer.allocate(length);
        row.forEach(all::put);
        return all.array();
    }

    public String value() {
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    /** What it said of itself, or null. */
    public String parameter(String name) {
        return parameters.get(name);
    }
}
