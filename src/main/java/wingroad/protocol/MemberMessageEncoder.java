package wingroad.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes the messages that are sent to members in PostgreSQL's protocol. */
public final class MemberMessageEncoder {
    private static final int PROTOCOL_VERSION_3_0 = 3 << 16;
    private static final byte[] STARTUP_PARAMETERS =
            "user\0svc\0database\0main\0\0".getBytes(StandardCharsets.UTF_8);

    private MemberMessageEncoder() {}

    public static ByteBuffer startup() {
        return ByteBuffer.allocate(8 + STARTUP_PARAMETERS.length)
                .putInt(8 + STARTUP_PARAMETERS.length)
                .putInt(PROTOCOL_VERSION_3_0)
                .put(STARTUP_PARAMETERS)
                .flip();
    }

    public static ByteBuffer query(byte[] text) {
        return ByteBuffer.allocate(6 + text.length)
                .put((byte) 'Q')
                .putInt(5 + text.length)
                .put(text)
                .put((byte) 0)
                .flip();
    }

    /**
     * Encodes the query that a member answers at once and without effect, behind all that it has
     * sent before.
     */
    public static ByteBuffer emptyQuery() {
        return query(new byte[0]);
    }

    /** Encodes the query for the member's load report. */
    public static ByteBuffer gaugesQuery() {
        return query("SHOW gauges".getBytes(StandardCharsets.UTF_8));
    }

    public static ByteBuffer terminate() {
        return ByteBuffer.wrap(new byte[] {'X', 0, 0, 0, 4});
    }
}
