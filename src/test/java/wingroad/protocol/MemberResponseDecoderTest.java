package wingroad.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.EMPTY_QUERY_RESPONSE;
import static wingroad.Fixtures.READY_FOR_QUERY;
import static wingroad.Fixtures.ROW_DESCRIPTION;
import static wingroad.Fixtures.cString;
import static wingroad.Fixtures.concat;
import static wingroad.Fixtures.dataRowBody;
import static wingroad.Fixtures.message;
import static wingroad.Fixtures.parameterStatus;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import wingroad.protocol.MemberResponseDecoder.State;

import java.nio.ByteBuffer;
import java.util.Map;

class MemberResponseDecoderTest {
    private static final byte[] ROW = message('D', dataRowBody("val"));

    private MemberResponseDecoder decoder;

    /**
     * Creates a decoder whose startup is done and passes it the bytes in chunks of the given size.
     */
    private State decode(int chunkSize, byte[]... parts) {
        decoder = new MemberResponseDecoder();
        decoder.reset();
        ByteBuffer received = ByteBuffer.wrap(concat(parts));
        State state = State.INCOMPLETE;
        for (int end = 0; end < received.capacity() && state == State.INCOMPLETE; ) {
            end = Math.min(end + chunkSize, received.capacity());
            received.limit(end);
            state = decoder.decode(received);
        }
        return state;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 1000})
    void decodesRowWithReportedParameters(int piece) {
        byte[] notice = message('N', cString("Mnothing"), new byte[1]);
        assertThat(
                        decode(
                                piece,
                                notice,
                                message('T', ROW_DESCRIPTION),
                                ROW,
                                message('C', cString("SELECT 1")),
                                parameterStatus("part", "replica"),
                                parameterStatus("caught_up_to", "17"),
                                READY_FOR_QUERY))
                .isEqualTo(State.COMPLETE);
        assertThat(decoder.rowComplete()).isTrue();
        assertThat(decoder.value()).isEqualTo("val");
        assertThat(decoder.parameter("part")).isEqualTo("replica");
        assertThat(decoder.parameter("caught_up_to")).isEqualTo("17");
        assertThat(decoder.rowMessages())
                .startsWith(message('T', ROW_DESCRIPTION))
                .endsWith(message('C', cString("SELECT 1")))
                .hasSize(
                        message('T', ROW_DESCRIPTION).length
                                + ROW.length
                                + message('C', cString("SELECT 1")).length);
    }

    @Test
    void decodesErrorsAndEndsAfterFatalOnes() {
        assertThat(
                        decode(
                                3,
                                message('E', cString("SERROR"), cString("C25006"), new byte[1]),
                                READY_FOR_QUERY))
                .isEqualTo(State.COMPLETE);
        assertThat(decoder.errorSqlState()).isEqualTo("25006");
        assertThat(decoder.fatal()).isFalse();
        assertThat(decode(3, message('E', cString("SFATAL"), cString("C53300"), new byte[1])))
                .isEqualTo(State.COMPLETE);
        assertThat(decoder.fatal()).isTrue();
    }

    @Test
    void rowWithoutCommandCompleteIsIncomplete() {
        assertThat(decode(9, message('T', ROW_DESCRIPTION), ROW)).isEqualTo(State.INCOMPLETE);
        assertThat(decoder.rowComplete()).isFalse();
        assertThat(decoder.responseStarted()).isTrue();
    }

    @Test
    void rejectsMalformedAndUnexpectedMessages() {
        byte[] commandComplete = message('C', cString("SELECT 1"));
        byte[] rowDescription = message('T', ROW_DESCRIPTION);
        byte[][][] malformed = {
            {ROW},
            {rowDescription, rowDescription},
            {rowDescription, ROW, ROW},
            {rowDescription, ROW, commandComplete, commandComplete},
            {READY_FOR_QUERY},
            {message('T', new byte[] {0, 2}), ROW},
            {message('R', new byte[4])},
            {message('?')},
            {EMPTY_QUERY_RESPONSE, READY_FOR_QUERY},
            {{'D', 0, 0, 0, 1}},
            {{'D', 100, 0, 0, 0}},
            {rowDescription, message('D', new byte[] {0, 1, 0, 0, 0, 9, 'x'})},
            {commandComplete, message('E', cString("CXX000"), new byte[1])}
        };
        for (byte[][] parts : malformed) {
            assertThat(decode(1, parts)).isEqualTo(State.MALFORMED);
            assertThat(decoder.rowComplete() && decoder.malformedReason() == null).isFalse();
            assertThat(decoder.decode(ByteBuffer.wrap(READY_FOR_QUERY)))
                    .as("remains malformed")
                    .isEqualTo(State.MALFORMED);
        }
    }

    @Test
    void emptyQueryHasItsOwnResponseAndNoOther() {
        decoder = new MemberResponseDecoder();
        decoder.expectEmptyQueryResponse();
        byte[] notice = message('N', cString("Mnothing"), new byte[1]);
        assertThat(
                        decoder.decode(
                                ByteBuffer.wrap(
                                        concat(notice, EMPTY_QUERY_RESPONSE, READY_FOR_QUERY))))
                .isEqualTo(State.COMPLETE);
        byte[][] unexpected = {
            message('T', ROW_DESCRIPTION),
            message('E', cString("CXX000"), new byte[1]),
            READY_FOR_QUERY,
            concat(EMPTY_QUERY_RESPONSE, EMPTY_QUERY_RESPONSE)
        };
        for (byte[] bytes : unexpected) {
            decoder = new MemberResponseDecoder();
            decoder.expectEmptyQueryResponse();
            assertThat(decoder.decode(ByteBuffer.wrap(bytes))).isEqualTo(State.MALFORMED);
        }
        decoder = new MemberResponseDecoder();
        decoder.expectEmptyQueryResponse();
        decoder.reset();
        assertThat(decoder.decode(ByteBuffer.wrap(message('T', ROW_DESCRIPTION))))
                .as("the next statement's response")
                .isEqualTo(State.INCOMPLETE);
    }

    @Test
    void ignoresMalformedGauges() {
        assertThat(Gauges.parse("x0=17.5,x1=,busy=abc,=3,rif=-2,q=1e400,zz"))
                .isEqualTo(Map.of("x0", 17.5, "rif", -2.0));
        assertThat(Gauges.parseNumber("NaN")).isNull();
        assertThat(Gauges.parseNumber("Infinity")).isNull();
        assertThat(Gauges.parseNumber(null)).isNull();
    }
}
