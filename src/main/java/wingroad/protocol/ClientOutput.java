package wingroad.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** What a client is told, as the bytes of PostgreSQL's protocol. */
public final class ClientOutput {
    /** Codes that tell a client that trying again is harmless. */
    public static final String DECLINED = "53300";

    /** The outcome of the txn is not known: no promise. */
    public static final String ROLLED_BACK = "08007";

    public static final String MALFORMED = "08P01";
    public static final String UNSUPPORTED = "0A000";
    public static final String UNKNOWN_NAME = "42704";

    private static final byte[] READY = {'Z', 0, 0, 0, 5, 'I'};
    private static final byte[] EMPTY = {'I', 0, 0, 0, 4};

    private final ByteArrayOutputStream out = new ByteArrayOutputStream(128);

    public ByteBuffer bytes() {
        return ByteBuffer.wrap(out.toByteArray());
    }

    public ClientOutput noEncryption() {
        out.write('N');
        return this;
    }

    /**
     * The session is open. {@code newer}: the client asked for a later minor version than there is.
     */
    public ClientOutput welcome(boolean newer, int number) {
        if (newer) {
            message('v', ByteBuffer.allocate(8).array());
        }
        message('R', new byte[4]);
        parameter("server_version", "15.0");
        parameter("client_encoding", "UTF8");
        parameter("server_encoding", "UTF8");
        parameter("standard_conforming_strings", "on");
        parameter("integer_datetimes", "on");
        message('K', ByteBuffer.allocate(8).putInt(number).array());
        return ready();
    }

    private void parameter(String name, String value) {
        message('S', (name + '\0' + value + '\0').getBytes(StandardCharsets.UTF_8));
    }

    public ClientOutput ready() {
        out.writeBytes(READY);
        return this;
    }

    public ClientOutput emptyQuery() {
        out.writeBytes(EMPTY);
        return ready();
    }

    /** Messages that a member sent, unchanged, and that this side is ready. */
    public static ByteBuffer row(byte[] messages) {
        return ByteBuffer.allocate(messages.length + READY.length).put(messages).put(READY).flip();
    }

    public ClientOutput done(String tag) {
        message('C', (tag + '\0').getBytes(StandardCharsets.UTF_8));
        return ready();
    }

    /** An error; {@code detail} may be null. Not followed by ready: a fatal one needs none. */
    public ClientOutput error(boolean fatal, String code, String text, String detail) {
        String severity = fatal ? "FATAL" : "ERROR";
        String fields =
                "S"
                        + severity
                        + "\0V"
                        + severity
                        + "\0C"
                        + code
                        + "\0M"
                        + text
                        + '\0'
                        + (detail == null ? "" : "D" + detail + '\0')
                        + '\0';
        message('E', fields.getBytes(StandardCharsets.UTF_8));
        return this;
    }

    private void message(char type, byte[] body) {
        out.write(type);
        out.writeBytes(ByteBuffer.allocate(4).putInt(4 + body.length).array());
        out.writeBytes(body);
    }
}
