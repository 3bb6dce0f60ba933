package wingroad.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.STARTUP_MESSAGE;
import static wingroad.Fixtures.cString;
import static wingroad.Fixtures.concat;
import static wingroad.Fixtures.message;
import static wingroad.Fixtures.readStatement;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import wingroad.protocol.ClientMessageDecoder.Kind;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

class ClientInputTest {

    /** The messages in the bytes when they come in pieces of the size. */
    private static List<ClientMessageDecoder.Message> in(byte[] bytes, int piece) {
        ClientMessageDecoder input = new ClientMessageDecoder();
        List<ClientMessageDecoder.Message> all = new ArrayList<>();
        ByteBuffer seen = ByteBuffer.wrap(bytes);
        for (int end = Math.min(piece, bytes.length); ; end = Math.min(end + piece, bytes.length)) {
            seen.limit(end);
            for (var m = input.next(seen); m != null; m = input.next(seen)) {
                all.add(m);
                if (m.kind() == Kind.MALFORMED) {
                    return all;
                }
            }
            if (end == bytes.length) {
                return all;
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1000})
    void commandsAreCutOutWhereverTheBytesAreSplit(int piece) {
        byte[] tls = ByteBuffer.allocate(8).putInt(8).putInt(80877103).array();
        byte[] bytes =
                concat(
                        tls,
                        STARTUP_MESSAGE,
                        message('Q', cString(readStatement("x1"))),
                        message('Q', cString("")),
                        message('P', cString("s")),
                        message('S'),
                        message('X'));
        List<ClientMessageDecoder.Message> all = in(bytes, piece);
        assertThat(all)
                .extracting(ClientMessageDecoder.Message::kind)
                .containsExactly(
                        Kind.ENCRYPTION_REQUEST,
                        Kind.STARTUP,
                        Kind.QUERY,
                        Kind.QUERY,
                        Kind.EXTENDED_QUERY,
                        Kind.SYNC,
                        Kind.TERMINATE);
        assertThat(new String(all.get(2).body(), StandardCharsets.UTF_8))
                .isEqualTo(readStatement("x1"));
    }

    @Test
    void startupsThatMakeNoSenseBreakTheStreamAtOnce() {
        assertThat(in(new byte[] {0, 0, 0, 3, 0, 0}, 1).get(0).kind()).isEqualTo(Kind.MALFORMED);
        assertThat(in(new byte[] {'G', 'E', 'T', ' ', '/', 0, 0, 0}, 1).get(0).kind())
                .isEqualTo(Kind.MALFORMED);
        byte[] old = ByteBuffer.allocate(8).putInt(100).putInt(2 << 16).array();
        assertThat(in(old, 8).get(0).reason()).isEqualTo("unsupported protocol");
        byte[] cancel = ByteBuffer.allocate(16).putInt(16).putInt(80877102).array();
        assertThat(in(cancel, 5).get(0).kind()).isEqualTo(Kind.CANCEL_REQUEST);
        byte[] newer = STARTUP_MESSAGE.clone();
        newer[7] = 2;
        assertThat(in(newer, 5).get(0).kind()).isEqualTo(Kind.STARTUP_NEWER_MINOR);
    }

    @Test
    void commandsThatMakeNoSenseBreakTheStreamAtOnce() {
        for (byte[] bad :
                new byte[][] {
                    {'Q', 0, 0, 0, 3},
                    {'Q', 127, 0, 0, 0},
                    {'Q', -1, 0, 0, 0},
                    {7},
                    {'Q', 0, 0, 0, 5, 'x'},
                    {'Q', 0, 0, 0, 4},
                    {'p', 0, 0, 0, 4}
                }) {
            assertThat(in(concat(STARTUP_MESSAGE, bad), 1))
                    .extracting(ClientMessageDecoder.Message::kind)
                    .containsExactly(Kind.STARTUP, Kind.MALFORMED);
        }
    }
}
