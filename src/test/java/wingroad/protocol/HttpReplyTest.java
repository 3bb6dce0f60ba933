package wingroad.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.listEntry;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import wingroad.protocol.HttpResponseDecoder.State;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

class HttpReplyTest {
    private final HttpResponseDecoder reply = new HttpResponseDecoder();

    private State take(String text, int piece) {
        ByteBuffer all = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        State state = State.INCOMPLETE;
        for (int end = 0; end < all.capacity() && state == State.INCOMPLETE; ) {
            end = Math.min(end + piece, all.capacity());
            all.limit(end);
            state = reply.decode(all);
        }
        return state;
    }

    private String body() {
        return new String(reply.body(), StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 1000})
    void aBodyOfStatedLengthIsTakenWhole(int piece) {
        assertThat(take("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello", piece))
                .isEqualTo(State.COMPLETE);
        assertThat(reply.status()).isEqualTo(200);
        assertThat(body()).isEqualTo("hello");
        assertThat(reply.connectionCloses()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 1000})
    void aBodyInChunksIsTakenWhole(int piece) {
        assertThat(
                        take(
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
    void aBodyWithoutLengthEndsWithItsConnectionAndAnotherMayNot() {
        assertThat(take("HTTP/1.1 200 OK\r\n\r\nhello", 4)).isEqualTo(State.INCOMPLETE);
        assertThat(reply.endOfStream()).isEqualTo(State.COMPLETE);
        assertThat(body()).isEqualTo("hello");
        HttpResponseDecoder cut = new HttpResponseDecoder();
        cut.decode(
                ByteBuffer.wrap(
                        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"
                                .getBytes(StandardCharsets.UTF_8)));
        assertThat(cut.endOfStream()).isEqualTo(State.MALFORMED);
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
    void whatMakesNoSenseIsBroken(String text) {
        assertThat(take(text, 1)).isEqualTo(State.MALFORMED);
        assertThat(reply.malformedReason()).isNotEmpty();
    }

    @Test
    void linesAndBodiesWithoutEndAreBroken() {
        assertThat(take("HTTP/1.1 200 " + "x".repeat(100_000), 1000)).isEqualTo(State.MALFORMED);
        HttpResponseDecoder long1 = new HttpResponseDecoder();
        assertThat(
                        long1.decode(
                                ByteBuffer.wrap(
                                        "HTTP/1.1 200 OK\r\n\r\n"
                                                .getBytes(StandardCharsets.UTF_8))))
                .isEqualTo(State.INCOMPLETE);
        assertThat(long1.decode(ByteBuffer.wrap(new byte[HttpResponseDecoder.MAX_BODY_BYTES + 1])))
                .isEqualTo(State.MALFORMED);
    }

    @Test
    void aListIsReadAndABrokenOneIsNone() {
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
        for (String bad :
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
            assertThat(MemberList.parse(bad.getBytes(StandardCharsets.UTF_8)).list())
                    .as(bad)
                    .isNull();
        }
    }

    /**
     * Guards the thread against an answer that goes on for ever with what is none yet, or no more.
     */
    @Test
    void interimAnswersAndTrailersHaveAnEnd() {
        for (String[] endless :
                new String[][] {
                    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"}
                }) {
            HttpResponseDecoder r = new HttpResponseDecoder();
            r.decode(ByteBuffer.wrap(endless[0].getBytes(StandardCharsets.US_ASCII)));
            HttpResponseDecoder.State s = HttpResponseDecoder.State.INCOMPLETE;
            for (int i = 0; i < 1000; i++) {
                s = r.decode(ByteBuffer.wrap(endless[1].getBytes(StandardCharsets.US_ASCII)));
            }
            assertThat(s).isEqualTo(HttpResponseDecoder.State.MALFORMED);
        }
    }
}
