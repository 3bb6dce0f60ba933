package wingroad.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.readStatement;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.nio.charset.StandardCharsets;

class StatementTest {
    private static final String SELECT = " SELECT v FROM records WHERE k = 'ab'";

    private static Statement.Parsed parse(String sql) {
        return Statement.parse(sql.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void parsesAllCommentParameters() {
        Statement statement =
                parse("/* id=9b1f,c=basket,d=480,r=1,cluster=2,after=1767225600123 */" + SELECT)
                        .statement();
        assertThat(statement.id()).isEqualTo("9b1f");
        assertThat(statement.txnType()).isEqualTo("basket");
        assertThat(statement.timeLeftMs()).isEqualTo(480);
        assertThat(statement.group()).isEqualTo(2);
        assertThat(statement.afterPositionMs()).isEqualTo(1767225600123.0);
        assertThat(statement.retry()).isTrue();
        assertThat(statement.write()).isFalse();
        assertThat(statement.key()).isEqualTo("ab");
    }

    @Test
    void withTimeLeftReplacesOnlyTheTimeLeft() {
        Statement statement =
                parse(
                                "/* id=d4000,c=order,d=4000,cluster=2 */ INSERT INTO records (k, v)"
                                        + " VALUES ('d=4000', '\\x9F03') RETURNING v")
                        .statement();
        assertThat(statement.write()).isTrue();
        assertThat(new String(statement.withTimeLeft(17), StandardCharsets.UTF_8))
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
    void rejectsUnsupportedStatementsWithAReason(String sql) {
        assertThat(parse(sql).statement()).isNull();
        assertThat(parse(sql).error()).isNotEmpty();
    }

    @Test
    void parsesPlainRead() {
        assertThat(parse(readStatement("x")).error()).isNull();
        assertThat(parse(readStatement("x")).statement().afterPositionMs()).isNull();
    }

    /** Guards against working through a comment of tens of thousands of fields. */
    @Test
    void rejectsACommentOfTooManyFields() {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < 96; i++) {
            fields.append(",x").append(i).append('=');
        }
        String most = wingroad.Fixtures.readStatement("a").replace(",c=", fields + ",c=");
        String more = most.replace(",c=", ",y=,c=");
        assertThat(Statement.parse(most.getBytes(StandardCharsets.ISO_8859_1)).error()).isNull();
        assertThat(Statement.parse(more.getBytes(StandardCharsets.ISO_8859_1)).error())
                .isEqualTo("the comment has too many names");
    }
}
