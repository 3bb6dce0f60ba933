package wingroad.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import wingroad.protocol.Frames.Frame;

/**
 * What a member sends, one answer after the other: the first one is to the startup message, the others to one
 * query each. An answer is taken whole.
 */
public final class MemberInput {
    /** The largest message: a value of 64 KiB, in hex at worst, and what stands around it. */
    public static final int MOST = 2 * 64 * 1024 + 4096;

    /** How far an answer has come. */
    public enum State { WAITING, WHOLE, BROKEN }

    private boolean started;
    private boolean described;
    private boolean columnIsOne;
    private byte[] value;
    private boolean completed;
    private boolean fatal;
    private String error;
    private String why;
    private final Map<String, String> parameters = new HashMap<>();
    private final ByteArrayOutputStream row = new ByteArrayOutputStream();

    /** Takes what it can from the buffer. WHOLE: one answer is there, to be read and then to be cleared. */
    public State take(ByteBuffer in) {
        while (why == null) {
            int from = in.position();
            Frame f = Frames.next(in, MOST);
            if (f == null) {
                return State.WAITING;
            }
            if (f.broken() != null) {
                return broken(f.broken());
            }
            ByteBuffer body = f.body();
            switch (f.type()) {
                case 'S': {
                    String name = Frames.text(body);
                    String setting = name == null ? null : Frames.text(body);
                    if (setting != null && parameters.size() < 64) {
                        parameters.put(name, setting);
                    }
                    break;
                }
                case 'N', 'A':
                    break;
                case 'E':
                    if (error != null || completed) {
                        return broken("an error out of turn");
                    }
                    error(body);
                    if (fatal) {
                        return State.WHOLE;
                    }
                    break;
                case 'R':
                    if (started || body.remaining() < 4 || body.getInt() != 0) {
                        return broken("asks for a password");
                    }
                    break;
                case 'K', 'v':
                    if (started) {
                        return broken("a message of the start out of turn");
                    }
                    break;
                case 'T':
                    if (!started || described || completed || error != null || body.remaining() < 2) {
                        return broken("a description out of turn");
                    }
                    described = true;
                    columnIsOne = body.getShort() == 1;
                    keep(in, from);
                    break;
                case 'D':
                    if (!described || !columnIsOne || value != null || completed || error != null || !value(body)) {
                        return broken("a row out of turn");
                    }
                    keep(in, from);
                    break;
                case 'C':
                    if (!started || completed || error != null) {
                        return broken("an end out of turn");
                    }
                    completed = true;
                    keep(in, from);
                    break;
                case 'I':
                    completed = true;
                    break;
                case 'Z':
                    if (started && !completed && error == null) {
                        return broken("ready out of turn");
                    }
                    return State.WHOLE;
                default:
                    return broken("unknown message type " + (int) f.type());
            }
        }
        return State.BROKEN;
    }

    private void keep(ByteBuffer in, int from) {
        byte[] message = new byte[in.position() - from];
        in.get(from, message);
        row.writeBytes(message);
    }

    private boolean value(ByteBuffer body) {
        if (body.remaining() < 6 || body.getShort() != 1) {
            return false;
        }
        int length = body.getInt();
        if (length != body.remaining()) {
            return false;
        }
        value = new byte[length];
        body.get(value);
        return true;
    }

    private void error(ByteBuffer body) {
        error = "XX000";
        while (body.hasRemaining()) {
            byte field = body.get();
            String text = field == 0 ? null : Frames.text(body);
            if (text == null) {
                return;
            }
            if (field == 'C') {
                error = text;
            } else if (field == 'V' || field == 'S') {
                fatal |= text.equals("FATAL") || text.equals("PANIC");
            }
        }
    }

    private State broken(String what) {
        why = what;
        return State.BROKEN;
    }

    /** Makes ready for the next answer. */
    public void clear() {
        started = true;
        described = false;
        columnIsOne = false;
        value = null;
        completed = false;
        error = null;
        parameters.clear();
        row.reset();
    }

    /** The row and its end are there, whether or not the member went on to say that it is ready. */
    public boolean served() {
        return value != null && completed && error == null;
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
        return row.toByteArray();
    }

    public String value() {
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    /** What it said of itself, or null. */
    public String parameter(String name) {
        return parameters.get(name);
    }
}
