package wingroad.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.listEntry;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import wingroad.protocol.HttpResponseDecoder.State;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

class HttpResponseDecoderTest {
    private final HttpResponseDecoder decoder = new HttpResponseDecoder();

    private State decode(String text, int chunkSize) {
        ByteBuffer received = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        State state = State.INCOMPLETE;
        for (int end = 0; end < received.capacity() && state == State.INCOMPLETE; ) {
            end = Math.min(end + chunkSize, received.capacity());
            received.limit(end);
            state = decoder.decode(received);
        }
        return state;
    }

    private String body() {
        return new String(decoder.body(), StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 1000})
    void decodesBodyWithContentLength(int piece) {
        assertThat(decode("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello", piece))
                .isEqualTo(State.COMPLETE);
        assertThat(decoder.status()).isEqualTo(200);
        assertThat(body()).isEqualTo("hello");
        assertThat(decoder.connectionCloses()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 1000})
    void decodesChunkedBody(int piece) {
        assertThat(
                        decode(
                                "HTTP/1.1 200 OK\r\n"
                                        + "Transfer-Encoding: chunked\r\n\r\n"
                                        + "3;x=y\r\n"
                                        + "hel\r\n"
                                        + "2\r\n"
                                        + "lo\r\n"
                                        + "0\r\n"
                                        + "T: x\r\n\r\n",
                                piece))
                .isEqualTo(State.COMPLETE);
        assertThat(body()).isEqualTo("hello");
    }

    @Test
    void onlyBodyWithoutLengthEndsWithTheConnection() {
        assertThat(decode("HTTP/1.1 200 OK\r\n\r\nhello", 4)).isEqualTo(State.INCOMPLETE);
        assertThat(decoder.endOfStream()).isEqualTo(State.COMPLETE);
        assertThat(body()).isEqualTo("hello");
        HttpResponseDecoder truncated = new HttpResponseDecoder();
        truncated.decode(
                ByteBuffer.wrap(
                        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"
                                .getBytes(StandardCharsets.UTF_8)));
        assertThat(truncated.endOfStream()).isEqualTo(State.MALFORMED);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "hello\r\n",
                "HTTP/2 200\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n"
            })
    void rejectsMalformedResponses(String text) {
        assertThat(decode(text, 1)).isEqualTo(State.MALFORMED);
        assertThat(decoder.malformedReason()).isNotEmpty();
    }

    @Test
    void limitsLinesAndBodies() {
        assertThat(decode("HTTP/1.1 200 " + "x".repeat(100_000), 1000)).isEqualTo(State.MALFORMED);
        HttpResponseDecoder longBody = new HttpResponseDecoder();
        assertThat(
                        longBody.decode(
                                ByteBuffer.wrap(
                                        "HTTP/1.1 200 OK\r\n\r\n"
                                                .getBytes(StandardCharsets.UTF_8))))
                .isEqualTo(State.INCOMPLETE);
        assertThat(
                        longBody.decode(
                                ByteBuffer.wrap(new byte[HttpResponseDecoder.MAX_BODY_BYTES + 1])))
                .isEqualTo(State.MALFORMED);
    }

    @Test
    void parsesMemberListAndRejectsMalformedOnes() {
        MemberList list =
                MemberList.parse(
                                ("{\"rev\":4,\"all\":false,\"targets\":["
                                                + listEntry("s-1", 5433, "draining")
                                                + "],\"more\":{}}")
                                        .getBytes(StandardCharsets.UTF_8))
                        .list();
        assertThat(list.version()).isEqualTo(4);
        assertThat(list.complete()).isFalse();
        assertThat(list.entries().get(0).isDraining()).isTrue();
        assertThat(list.entries().get(0).port()).isEqualTo(5433);
        for (String malformed :
                new String[] {
                    "",
                    "[]",
                    "{",
                    "{\"rev\":1}",
                    "{\"rev\":1,\"targets\":[3]}",
                    "nope",
                    "{\"rev\":1,\"targets\":[{\"uid\":\"a\",\"endpoint\":\"nowhere\"}]}",
                    "{\"rev\":1,\"targets\":[{\"uid\":\"a\",\"endpoint\":\"some.host:80\"}]}",
                    "{\"rev\":1,\"targets\":[{\"uid\":\"a\",\"endpoint\":\"256.0.0.1:80\"}]}",
                    "[".repeat(100_000)
                }) {
            assertThat(MemberList.parse(malformed.getBytes(StandardCharsets.UTF_8)).list())
                    .as(malformed)
                    .isNull();
        }
    }

    /**
     * Guards against a response that goes on without end with interim responses or trailers, which
     * would occupy the event loop's thread.
     */
    @Test
    void limitsInterimResponsesAndTrailers() {
        for (String[] endless :
                new String[][] {
                    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"}
                }) {
            HttpResponseDecoder decoder = new HttpResponseDecoder();
            decoder.decode(ByteBuffer.wrap(endless[0].getBytes(StandardCharsets.US_ASCII)));
            HttpResponseDecoder.State state = HttpResponseDecoder.State.INCOMPLETE;
            for (int i = 0; i < 1000; i++) {
                state =
                        decoder.decode(
                                ByteBuffer.wrap(endless[1].getBytes(StandardCharsets.US_ASCII)));
            }
            assertThat(state).isEqualTo(HttpResponseDecoder.State.MALFORMED);
        }
    }
}
