package wingroad.kdl;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;
import java.util.Random;

class KdlTest {
    private static List<Node> readNodes(String text) {
        KdlReader.Document document = KdlReader.read(text);
        assertThat(document.problems()).isEmpty();
        return document.nodes();
    }

    private static Object readValue(String text) {
        return readNodes("n " + text).get(0).arguments().get(0).value();
    }

    @Test
    void readsTypesArgumentsPropertiesAndChildrenOfNodes() {
        Node node =
                readNodes(
                                "/- kdl-version 2\n"
                                        + "(t)name 1 (u8)2 a=x b=#null {\n"
                                        + "  child; other 3\n"
                                        + "}\n"
                                        + "// end")
                        .get(0);
        assertThat(node.type()).isEqualTo("t");
        assertThat(node.arguments()).extracting(Value::value).containsExactly(1L, 2L);
        assertThat(node.arguments()).extracting(Value::type).containsExactly(null, "u8");
        assertThat(node.properties().get("a").value()).isEqualTo("x");
        assertThat(node.properties().get("b").value()).isNull();
        assertThat(node.children()).extracting(Node::name).containsExactly("child", "other");
        assertThat(node.children().get(1).line()).isEqualTo(3);
        assertThat(node.children().get(1).column()).isEqualTo(10);
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
    void readsNumbersKeywordsAndIdentifiers(String text, String expected) {
        assertThat(String.valueOf(readValue(text))).isEqualTo(expected);
    }

    @Test
    void readsQuotedRawAndMultiLineStrings() {
        assertThat(readValue("\"a\\n\\\"b\\\\ \\u{1F600}\\s\""))
                .isEqualTo("a\n\"b\\ \uD83D\uDE00 ");
        assertThat(readValue("\"a\\   \n   b\"")).isEqualTo("ab");
        assertThat(readValue("#\"raw \\n \"quoted\" \"#")).isEqualTo("raw \\n \"quoted\" ");
        assertThat(readValue("##\"a\"# b\"##")).isEqualTo("a\"# b");
        assertThat(readValue("\"\"\"\n    one\n      two\n\n    \"\"\"")).isEqualTo("one\n  two\n");
        assertThat(readValue("#\"\"\"\n  \\a \"\"\n  \"\"\"#")).isEqualTo("\\a \"\"");
    }

    @Test
    void skipsCommentsAndCommentedOutElements() {
        Node node =
                readNodes(
                                "a /* x /* y */ z */ 1 /- 2 /-k=3 \\ // goes on\n"
                                        + " 4 /-{ b } {\n"
                                        + " /- c 1 {\n"
                                        + "  d\n"
                                        + " }\n"
                                        + " e\n"
                                        + "}\n"
                                        + "/- f")
                        .get(0);
        assertThat(node.arguments()).extracting(Value::value).containsExactly(1L, 4L);
        assertThat(node.properties()).isEmpty();
        assertThat(node.children()).extracting(Node::name).containsExactly("e");
        assertThat(readNodes("a\n/- b\n/-\nc\nd")).extracting(Node::name).containsExactly("a", "d");
    }

    @Test
    void lastValueOfRepeatedPropertyWinsAndRepetitionIsRecorded() {
        Node node = readNodes("a x=1 x=2").get(0);
        assertThat(node.properties().get("x").value()).isEqualTo(2L);
        assertThat(node.repeatedProperties()).containsExactly("x");
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
    void reportsProblemsWithPositionAndExpectation(String text, String expectedPrefix) {
        KdlReader.Document document = KdlReader.read(text.replace("\\\\", "\\"));
        assertThat(document.problems()).isNotEmpty();
        assertThat(document.problems().get(0).toString())
                .startsWith(expectedPrefix.replace("\\\\", "\\"));
    }

    @Test
    void checksIndentationOfMultiLineStrings() {
        assertThat(KdlReader.read("a \"\"\"\n  x\n y\n  \"\"\"").problems())
                .singleElement()
                .satisfies(problem -> assertThat(problem.line()).isEqualTo(3));
    }

    /** Long malformed input must neither overflow the stack nor yield problems without limit. */
    @ParameterizedTest
    @ValueSource(strings = {"{", "/*", "\"", "#", "a(", "\\", "(", "a {b;", "/-"})
    void reportsBoundedNumberOfProblemsForMalformedInput(String fragment) {
        assertThat(KdlReader.read(fragment.repeat(5000)).problems())
                .isNotEmpty()
                .hasSizeLessThanOrEqualTo(50);
    }

    @Test
    void writtenDocumentsReadBackTheSame() {
        Random random = new Random(9);
        String[] words = {
            "a", "b c", "1", "\"", "\\", "\n", "true", "-1", "é", "#", "x=y", "\u0007", ""
        };
        for (int round = 0; round < 300; round++) {
            StringBuilder text = new StringBuilder();
            for (int remainingNodes = random.nextInt(5); remainingNodes >= 0; remainingNodes--) {
                text.append(KdlWriter.string(words[random.nextInt(words.length)]))
                        .append(" 1.5 -7 #null ")
                        .append(KdlWriter.string(words[random.nextInt(words.length)]))
                        .append("=")
                        .append(KdlWriter.string(words[random.nextInt(words.length)]))
                        .append(" { k #true }\n");
            }
            String written = KdlWriter.write(readNodes(text.toString()));
            assertThat(KdlWriter.write(readNodes(written))).isEqualTo(written);
        }
    }
}
