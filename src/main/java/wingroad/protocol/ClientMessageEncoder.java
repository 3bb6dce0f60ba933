package wingroad.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes the messages that are sent to clients in PostgreSQL's protocol. */
public final class ClientMessageEncoder {
    /** SQLSTATE of a declined txn: nothing was executed, and the client can safely retry. */
    public static final String DECLINED = "53300";

    /** SQLSTATE of a txn with an unknown outcome: it may or may not have been committed. */
    public static final String ROLLED_BACK = "08007";

    public static final String INTERNAL_ERROR = "XX000";
    public static final String PROTOCOL_VIOLATION = "08P01";
    public static final String FEATURE_NOT_SUPPORTED = "0A000";
    public static final String UNDEFINED_OBJECT = "42704";

    private static final String SUCCESSFUL_COMPLETION = "00000";

    private static final byte[] READY_FOR_QUERY = {'Z', 0, 0, 0, 5, 'I'};
    private static final byte[] EMPTY_QUERY_RESPONSE = {'I', 0, 0, 0, 4};

    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(128);

    /** How many bytes were appended so far. */
    public int size() {
        return buffer.size();
    }

    /** Appends all messages of another encoder. */
    public void append(ClientMessageEncoder other) {
        buffer.writeBytes(other.buffer.toByteArray());
    }

    /** Returns all messages appended so far. */
    public ByteBuffer toByteBuffer() {
        return ByteBuffer.wrap(buffer.toByteArray());
    }

    /** Appends the answer to an SSLRequest or GSSENCRequest: encryption is not supported. */
    public ClientMessageEncoder encryptionRefused() {
        buffer.write('N');
        return this;
    }

    /**
     * Appends the messages that complete the startup.
     *
     * @param negotiateVersion whether the client asked for a newer minor version of the protocol
     * @param backendId the process id that the client gets for cancel requests
     */
    public ClientMessageEncoder startupComplete(boolean negotiateVersion, int backendId) {
        if (negotiateVersion) {
            writeMessage('v', ByteBuffer.allocate(8).array());
        }
        writeMessage('R', new byte[4]);
        parameterStatus("server_version", "15.0");
        parameterStatus("client_encoding", "UTF8");
        parameterStatus("server_encoding", "UTF8");
        parameterStatus("standard_conforming_strings", "on");
        parameterStatus("integer_datetimes", "on");
        writeMessage('K', ByteBuffer.allocate(8).putInt(backendId).array());
        return readyForQuery();
    }

    private void parameterStatus(String name, String value) {
        writeMessage('S', (name + '\0' + value + '\0').getBytes(StandardCharsets.UTF_8));
    }

    public ClientMessageEncoder readyForQuery() {
        buffer.writeBytes(READY_FOR_QUERY);
        return this;
    }

    public ClientMessageEncoder emptyQueryResponse() {
        buffer.writeBytes(EMPTY_QUERY_RESPONSE);
        return readyForQuery();
    }

    /** Returns the given messages of a member unchanged, followed by ReadyForQuery. */
    public static ByteBuffer rowResponse(byte[] messages) {
        return ByteBuffer.allocate(messages.length + READY_FOR_QUERY.length)
                .put(messages)
                .put(READY_FOR_QUERY)
                .flip();
    }

    /** Appends CommandComplete with the given tag, and ReadyForQuery. */
    public ClientMessageEncoder commandComplete(String tag) {
        writeMessage('C', (tag + '\0').getBytes(StandardCharsets.UTF_8));
        return readyForQuery();
    }

    /**
     * Appends an error without ReadyForQuery, which a fatal error is not followed by.
     *
     * @param detail the detail field, or null
     */
    public ClientMessageEncoder errorResponse(
            boolean fatal, String sqlState, String text, String detail) {
        String detailField = detail == null ? "" : "D" + detail + '\0';
        writeMessage('E', fields(fatal ? "FATAL" : "ERROR", sqlState, text, detailField));
        return this;
    }

    /** Appends a notice, which may stand between any two messages and which clients ignore. */
    public ClientMessageEncoder notice(String text) {
        writeMessage('N', fields("NOTICE", SUCCESSFUL_COMPLETION, text, ""));
        return this;
    }

    private static byte[] fields(
            String severity, String sqlState, String text, String furtherFields) {
        String fields =
                "S"
                        + severity
                        + "\0V"
                        + severity
                        + "\0C"
                        + sqlState
                        + "\0M"
                        + text
                        + '\0'
                        + furtherFields
                        + '\0';
        return fields.getBytes(StandardCharsets.UTF_8);
    }

    private void writeMessage(char type, byte[] body) {
        buffer.write(type);
        buffer.writeBytes(ByteBuffer.allocate(4).putInt(4 + body.length).array());
        buffer.writeBytes(body);
    }
}
