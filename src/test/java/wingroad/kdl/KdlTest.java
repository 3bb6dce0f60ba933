package wingroad.kdl;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;
import java.util.Random;

class KdlTest {
    private static List<Node> nodes(String text) {
        KdlReader.Document d = KdlReader.read(text);
        assertThat(d.problems()).isEmpty();
        return d.nodes();
    }

    private static Object value(String text) {
        return nodes("n " + text).get(0).arguments().get(0).value();
    }

    @Test
    void nodesHaveNamesArgumentsPropertiesAndChildren() {
        Node n =
                nodes(
                                "/- kdl-version 2\n"
                                        + "(t)name 1 (u8)2 a=x b=#null {\n"
                                        + "  child; other 3\n"
                                        + "}\n"
                                        + "// end")
                        .get(0);
        assertThat(n.type()).isEqualTo("t");
        assertThat(n.arguments()).extracting(Value::value).containsExactly(1L, 2L);
        assertThat(n.arguments()).extracting(Value::type).containsExactly(null, "u8");
        assertThat(n.properties().get("a").value()).isEqualTo("x");
        assertThat(n.properties().get("b").value()).isNull();
        assertThat(n.children()).extracting(Node::name).containsExactly("child", "other");
        assertThat(n.children().get(1).line()).isEqualTo(3);
        assertThat(n.children().get(1).column()).isEqualTo(10);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    1_000        | 1000
                    -0x1F        | -31
                    0o17         | 15
                    0b1010       | 10
                    +2.50        | 2.5
                    1e3          | 1000.0
                    1_0.5_0e-1   | 1.05
                    #true        | true
                    #-inf        | -Infinity
                    word-1.a     | word-1.a
                    -            | -
                    .a           | .a
                    +a           | +a
                    ja           | ja
                    """)
    void valuesAreRead(String text, String value) {
        assertThat(String.valueOf(value(text))).isEqualTo(value);
    }

    @Test
    void stringsAreRead() {
        assertThat(value("\"a\\n\\\"b\\\\ \\u{1F600}\\s\"")).isEqualTo("a\n\"b\\ \uD83D\uDE00 ");
        assertThat(value("\"a\\   \n   b\"")).isEqualTo("ab");
        assertThat(value("#\"raw \\n \"quoted\" \"#")).isEqualTo("raw \\n \"quoted\" ");
        assertThat(value("##\"a\"# b\"##")).isEqualTo("a\"# b");
        assertThat(value("\"\"\"\n    one\n      two\n\n    \"\"\"")).isEqualTo("one\n  two\n");
        assertThat(value("#\"\"\"\n  \\a \"\"\n  \"\"\"#")).isEqualTo("\\a \"\"");
    }

    @Test
    void whatIsCommentedOutIsNotThere() {
        Node n =
                nodes(
                                "a /* x /* y */ z */ 1 /- 2 /-k=3 \\ // goes on\n"
                                        + " 4 /-{ b } {\n"
                                        + " /- c 1 {\n"
                                        + "  d\n"
                                        + " }\n"
                                        + " e\n"
                                        + "}\n"
                                        + "/- f")
                        .get(0);
        assertThat(n.arguments()).extracting(Value::value).containsExactly(1L, 4L);
        assertThat(n.properties()).isEmpty();
        assertThat(n.children()).extracting(Node::name).containsExactly("e");
        assertThat(nodes("a\n/- b\n/-\nc\nd")).extracting(Node::name).containsExactly("a", "d");
    }

    @Test
    void ofARepeatedPropertyTheLastCountsAndItIsKnown() {
        Node n = nodes("a x=1 x=2").get(0);
        assertThat(n.properties().get("x").value()).isEqualTo(2L);
        assertThat(n.repeatedProperties()).containsExactly("x");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    a =1             | 1:3: found '=', expected
                    a { b            | 1:6: found the end of the text, expected
                    a }              | 1:3: found '}', expected
                    a "b             | 1:3: found '"' (a string without its end)
                    a true           | 1:3: the word true needs quotes
                    a #maybe         | 1:3: found '#' (words after #
                    a 99999999999999999999 | 1:3: a whole number beyond 64 bits
                    a "\\q"          | 1:3: the escape \\q is none
                    a "\\u{110000}"  | 1:3: \\u needs
                    a (t             | 1:5: found the end of the text, expected ')'
                    a { b } c        | 1:9: found
                    a 1 /* b         | 1:5: found '/' (a comment without its end
                    """)
    void reportsProblemsWithPositionAndExpectation(String text, String begins) {
        KdlReader.Document d = KdlReader.read(text.replace("\\\\", "\\"));
        assertThat(d.problems()).isNotEmpty();
        assertThat(d.problems().get(0).toString()).startsWith(begins.replace("\\\\", "\\"));
    }

    @Test
    void checksIndentationOfMultiLineStrings() {
        assertThat(KdlReader.read("a \"\"\"\n  x\n y\n  \"\"\"").problems())
                .singleElement()
                .satisfies(p -> assertThat(p.line()).isEqualTo(3));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{", "/*", "\"", "#", "a(", "\\", "(", "a {b;", "/-"})
    void whatIsAbsurdIsRefusedAndEndsNothing(String part) {
        assertThat(KdlReader.read(part.repeat(5000)).problems())
                .isNotEmpty()
                .hasSizeLessThanOrEqualTo(50);
    }

    @Test
    void whateverIsReadIsWrittenSoThatItReadsTheSame() {
        Random random = new Random(9);
        String[] words = {
            "a", "b c", "1", "\"", "\\", "\n", "true", "-1", "é", "#", "x=y", "\u0007", ""
        };
        for (int i = 0; i < 300; i++) {
            StringBuilder text = new StringBuilder();
            for (int n = random.nextInt(5); n >= 0; n--) {
                text.append(KdlWriter.string(words[random.nextInt(words.length)]))
                        .append(" 1.5 -7 #null ")
                        .append(KdlWriter.string(words[random.nextInt(words.length)]))
                        .append("=")
                        .append(KdlWriter.string(words[random.nextInt(words.length)]))
                        .append(" { k #true }\n");
            }
            String once = KdlWriter.write(nodes(text.toString()));
            assertThat(KdlWriter.write(nodes(once))).isEqualTo(once);
        }
    }
}
