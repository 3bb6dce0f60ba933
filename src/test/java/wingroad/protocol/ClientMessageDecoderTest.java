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
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;

class ClientMessageDecoderTest {

    /** Decodes all messages from bytes that arrive in chunks of the given size. */
    private static List<ClientMessageDecoder.Message> decodeAll(byte[] bytes, int chunkSize) {
        ClientMessageDecoder decoder = new ClientMessageDecoder();
        List<ClientMessageDecoder.Message> messages = new ArrayList<>();
        ByteBuffer received = ByteBuffer.wrap(bytes);
        for (int end = Math.min(chunkSize, bytes.length);
                ;
                end = Math.min(end + chunkSize, bytes.length)) {
            received.limit(end);
            for (var message = decoder.next(received);
                    message != null;
                    message = decoder.next(received)) {
                messages.add(message);
                if (message.kind() == Kind.MALFORMED) {
                    return messages;
                }
            }
            if (end == bytes.length) {
                return messages;
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1000})
    void decodesMessagesWhereverTheBytesAreSplit(int chunkSize) {
        byte[] sslRequest = ByteBuffer.allocate(8).putInt(8).putInt(80877103).array();
        byte[] bytes =
                concat(
                        sslRequest,
                        STARTUP_MESSAGE,
                        message('Q', cString(readStatement("x1"))),
                        message('Q', cString("")),
                        message('P', cString("s")),
                        message('S'),
                        message('X'));
        List<ClientMessageDecoder.Message> messages = decodeAll(bytes, chunkSize);
        assertThat(messages)
                .extracting(ClientMessageDecoder.Message::kind)
                .containsExactly(
                        Kind.ENCRYPTION_REQUEST,
                        Kind.STARTUP,
                        Kind.QUERY,
                        Kind.QUERY,
                        Kind.EXTENDED_QUERY,
                        Kind.SYNC,
                        Kind.TERMINATE);
        assertThat(new String(messages.get(2).body(), StandardCharsets.UTF_8))
                .isEqualTo(readStatement("x1"));
    }

    @Test
    void rejectsMalformedStartupMessages() {
        assertThat(decodeAll(new byte[] {0, 0, 0, 3, 0, 0}, 1).get(0).kind())
                .isEqualTo(Kind.MALFORMED);
        assertThat(decodeAll(new byte[] {'G', 'E', 'T', ' ', '/', 0, 0, 0}, 1).get(0).kind())
                .isEqualTo(Kind.MALFORMED);
        byte[] old = ByteBuffer.allocate(8).putInt(100).putInt(2 << 16).array();
        assertThat(decodeAll(old, 8).get(0).reason()).isEqualTo("unsupported protocol");
        byte[] cancel = ByteBuffer.allocate(16).putInt(16).putInt(80877102).array();
        assertThat(decodeAll(cancel, 5).get(0).kind()).isEqualTo(Kind.CANCEL_REQUEST);
        byte[] newer = STARTUP_MESSAGE.clone();
        newer[7] = 2;
        assertThat(decodeAll(newer, 5).get(0).kind()).isEqualTo(Kind.STARTUP_NEWER_MINOR);
    }

    @Test
    void rejectsMalformedMessages() {
        for (byte[] malformed :
                new byte[][] {
                    {'Q', 0, 0, 0, 3},
                    {'Q', 127, 0, 0, 0},
                    {'Q', -1, 0, 0, 0},
                    {7},
                    {'Q', 0, 0, 0, 5, 'x'},
                    {'Q', 0, 0, 0, 4},
                    {'p', 0, 0, 0, 4}
                }) {
            assertThat(decodeAll(concat(STARTUP_MESSAGE, malformed), 1))
                    .extracting(ClientMessageDecoder.Message::kind)
                    .containsExactly(Kind.STARTUP, Kind.MALFORMED);
        }
    }

    /** Guards against a client that asks for encryption without end and never starts up. */
    @Test
    void rejectsEncryptionRequestsWithoutEnd() {
        byte[] request = ByteBuffer.allocate(8).putInt(8).putInt(80877103).array();
        assertThat(decodeAll(concat(request, request, request), 3))
                .extracting(ClientMessageDecoder.Message::kind)
                .containsExactly(Kind.ENCRYPTION_REQUEST, Kind.ENCRYPTION_REQUEST, Kind.MALFORMED);
    }

    /** Guards against keeping thousands of startup parameters for each connection. */
    @Test
    void keepsOnlyTheStartupParametersThatAreAskedFor() {
        String body = "user\0svc\0x\0y\0database\0main\0user\0second\0long\0abcdef\0\0after\0z\0";
        assertThat(
                        ClientMessageDecoder.startupParameters(
                                body.getBytes(StandardCharsets.UTF_8),
                                Set.of("user", "long", "after", "absent"),
                                4))
                .isEqualTo(Map.of("user", "svc", "long", "abcd"));
        assertThat(
                        ClientMessageDecoder.startupParameters(
                                "user\0svc".getBytes(StandardCharsets.UTF_8), Set.of("user"), 9))
                .as("without its end")
                .isEqualTo(Map.of("user", "svc"));
        assertThat(
                        ClientMessageDecoder.startupParameters(
                                "user".getBytes(StandardCharsets.UTF_8), Set.of("user"), 9))
                .isEmpty();
    }

    @Test
    void wholeQueriesAreCountedUpToThePartialOne() {
        byte[] query = message('Q', cString("SELECT 1"));
        byte[] input = concat(query, message('S'), query, Arrays.copyOf(query, 8));
        assertThat(ClientMessageDecoder.countQueries(ByteBuffer.wrap(input))).isEqualTo(2);
    }
}
