package wingroad.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.readStatement;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.nio.charset.StandardCharsets;

class StatementTest {
    private static final String SELECT = " SELECT v FROM records WHERE k = 'ab'";

    private static Statement.Parsed parsed(String sql) {
        return Statement.parse(sql.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void aReadTellsAllThatItsCommentHolds() {
        Statement s =
                parsed("/* id=9b1f,c=basket,d=480,r=1,cluster=2,after=1767225600123 */" + SELECT)
                        .statement();
        assertThat(s.id()).isEqualTo("9b1f");
        assertThat(s.txnType()).isEqualTo("basket");
        assertThat(s.timeLeftMs()).isEqualTo(480);
        assertThat(s.group()).isEqualTo(2);
        assertThat(s.afterPositionMs()).isEqualTo(1767225600123.0);
        assertThat(s.retry()).isTrue();
        assertThat(s.write()).isFalse();
        assertThat(s.key()).isEqualTo("ab");
    }

    @Test
    void onlyTheTimeLeftChangesOnTheWayToAMember() {
        Statement s =
                parsed(
                                "/* id=d4000,c=order,d=4000,cluster=2 */ INSERT INTO records (k, v)"
                                        + " VALUES ('d=4000', '\\x9F03') RETURNING v")
                        .statement();
        assertThat(s.write()).isTrue();
        assertThat(new String(s.withTimeLeft(17), StandardCharsets.UTF_8))
                .isEqualTo(
                        "/* id=d4000,c=order,d=17,cluster=2 */ INSERT INTO records (k, v) VALUES"
                                + " ('d=4000', '\\x9F03') RETURNING v");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "SELECT 1",
                "/* id=1,c=a,d=1,cluster=1",
                "/**/" + SELECT,
                "/* c=a,d=1,cluster=1 */" + SELECT,
                "/* id=,c=a,d=1,cluster=1 */" + SELECT,
                "/* id=1,id=1,c=a,d=1,cluster=1 */" + SELECT,
                "/* id=1,d=1,cluster=1 */" + SELECT,
                "/* id=1,c=a,d=0,cluster=1 */" + SELECT,
                "/* id=1,c=a,d=-5,cluster=1 */" + SELECT,
                "/* id=1,c=a,d=1.5,cluster=1 */" + SELECT,
                "/* id=1,c=a,cluster=1 */" + SELECT,
                "/* id=1,c=a,d=99999999999999999999,cluster=1 */" + SELECT,
                "/* id=1,c=a,d=1 */" + SELECT,
                "/* id=1,c=a,d=1,cluster=x */" + SELECT,
                "/* id=1,c=a,d=1,cluster=1,after=x */" + SELECT,
                "/* id=1,c=a,d=1,cluster=1,r=2 */" + SELECT,
                "/* id=1,c=a,d=1,cluster=1,zz */" + SELECT,
                "/* id=1,c=a,d=1,cluster=1 */" + SELECT + "; SELECT 2",
                "/* id=1,c=a,d=1,cluster=1 */" + SELECT + "--",
                "/* id=1,c=a,d=1,cluster=1 */ SELECT v FROM records WHERE k = ''",
                "/* id=1,c=a,d=1,cluster=1 */ DELETE",
                "/* id=1,c=a,d=1,cluster=1 */ INSERT INTO records (k, v) VALUES ('a', '\\x9')"
                        + " RETURNING v",
                "/* id=1,c=a,d=1,cluster=1 */ INSERT INTO records (k, v) VALUES ('a', '\\xzz')"
                        + " RETURNING v",
                "/* id=1,c=a,d=1,cluster=1 */ INSERT INTO records (k, v) VALUES ('a', '\\x') ')"
                        + " RETURNING v",
                "/* id=1,c=a,d=1,cluster=1 */ INSERT INTO records (k, v) VALUES ('a'', '\\x')"
                        + " RETURNING v"
            })
    void whatIsNotOfTheAgreedFormIsTurnedAwayWithAReason(String sql) {
        assertThat(parsed(sql).statement()).isNull();
        assertThat(parsed(sql).error()).isNotEmpty();
    }

    @Test
    void aReadWithoutOddities() {
        assertThat(parsed(readStatement("x")).error()).isNull();
        assertThat(parsed(readStatement("x")).statement().afterPositionMs()).isNull();
    }
}
