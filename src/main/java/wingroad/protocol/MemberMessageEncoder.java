package wingroad.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** What a member is sent. */
public final class MemberMessageEncoder {
    private static final byte[] STARTUP_PARAMETERS =
            "user\0svc\0database\0main\0\0".getBytes(StandardCharsets.UTF_8);

    private MemberMessageEncoder() {}

    public static ByteBuffer startup() {
        return ByteBuffer.allocate(8 + STARTUP_PARAMETERS.length)
                .putInt(8 + STARTUP_PARAMETERS.length)
                .putInt(3 << 16)
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

    /** Asks for the member's own report. */
    public static ByteBuffer gaugesQuery() {
        return query("SHOW gauges".getBytes(StandardCharsets.UTF_8));
    }

    public static ByteBuffer terminate() {
        return ByteBuffer.wrap(new byte[] {'X', 0, 0, 0, 4});
    }
}
