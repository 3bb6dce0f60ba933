package wingroad.protocol;

import static org.assertj.core.api.Assertions.assertThat;

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

class MemberInputTest {
    private static final byte[] ROW = message('D', dataRowBody("val"));

    private MemberResponseDecoder input;

    /** An input past its start, given these bytes in pieces of the size. */
    private State take(int piece, byte[]... parts) {
        input = new MemberResponseDecoder();
        input.reset();
        ByteBuffer seen = ByteBuffer.wrap(concat(parts));
        State state = State.INCOMPLETE;
        for (int end = 0; end < seen.capacity() && state == State.INCOMPLETE; ) {
            end = Math.min(end + piece, seen.capacity());
            seen.limit(end);
            state = input.decode(seen);
        }
        return state;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 1000})
    void aRowIsTakenWholeWithWhatTheMemberSaysOfItself(int piece) {
        byte[] notice = message('N', cString("Mnothing"), new byte[1]);
        assertThat(
                        take(
                                piece,
                                notice,
                                message('T', ROW_DESCRIPTION),
                                ROW,
                                message('C', cString("SELECT 1")),
                                parameterStatus("part", "replica"),
                                parameterStatus("caught_up_to", "17"),
                                READY_FOR_QUERY))
                .isEqualTo(State.COMPLETE);
        assertThat(input.rowComplete()).isTrue();
        assertThat(input.value()).isEqualTo("val");
        assertThat(input.parameter("part")).isEqualTo("replica");
        assertThat(input.parameter("caught_up_to")).isEqualTo("17");
        assertThat(input.rowMessages())
                .startsWith(message('T', ROW_DESCRIPTION))
                .endsWith(message('C', cString("SELECT 1")))
                .hasSize(
                        message('T', ROW_DESCRIPTION).length
                                + ROW.length
                                + message('C', cString("SELECT 1")).length);
    }

    @Test
    void anErrorIsKnownByItsCodeAndAFatalOneNeedsNoReady() {
        assertThat(
                        take(
                                3,
                                message('E', cString("SERROR"), cString("C25006"), new byte[1]),
                                READY_FOR_QUERY))
                .isEqualTo(State.COMPLETE);
        assertThat(input.errorSqlState()).isEqualTo("25006");
        assertThat(input.fatal()).isFalse();
        assertThat(take(3, message('E', cString("SFATAL"), cString("C53300"), new byte[1])))
                .isEqualTo(State.COMPLETE);
        assertThat(input.fatal()).isTrue();
    }

    @Test
    void aRowWithoutItsEndIsNotServed() {
        assertThat(take(9, message('T', ROW_DESCRIPTION), ROW)).isEqualTo(State.INCOMPLETE);
        assertThat(input.rowComplete()).isFalse();
        assertThat(input.responseStarted()).isTrue();
    }

    @Test
    void whatComesOutOfTurnBreaksTheStream() {
        byte[] done = message('C', cString("SELECT 1"));
        byte[] described = message('T', ROW_DESCRIPTION);
        byte[][][] bad = {
            {ROW},
            {described, described},
            {described, ROW, ROW},
            {described, ROW, done, done},
            {READY_FOR_QUERY},
            {message('T', new byte[] {0, 2}), ROW},
            {message('R', new byte[4])},
            {message('?')},
            {{'D', 0, 0, 0, 1}},
            {{'D', 100, 0, 0, 0}},
            {described, message('D', new byte[] {0, 1, 0, 0, 0, 9, 'x'})},
            {done, message('E', cString("CXX000"), new byte[1])}
        };
        for (byte[][] parts : bad) {
            assertThat(take(1, parts)).isEqualTo(State.MALFORMED);
            assertThat(input.rowComplete() && input.malformedReason() == null).isFalse();
            assertThat(input.decode(ByteBuffer.wrap(READY_FOR_QUERY)))
                    .as("it stays broken")
                    .isEqualTo(State.MALFORMED);
        }
    }

    @Test
    void malformedFiguresCountAsAbsent() {
        assertThat(Gauges.parse("x0=17.5,x1=,busy=abc,=3,rif=-2,q=1e400,zz"))
                .isEqualTo(Map.of("x0", 17.5, "rif", -2.0));
        assertThat(Gauges.parseNumber("NaN")).isNull();
        assertThat(Gauges.parseNumber("Infinity")).isNull();
        assertThat(Gauges.parseNumber(null)).isNull();
    }
}
