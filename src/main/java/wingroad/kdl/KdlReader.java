package wingroad.kdl;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Parser;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.IntervalSet;

/**
 * Reads KDL 2.0 into nodes; what is wrong is told with its place and with what was expected there.
 */
public final class KdlReader {
    private static final int MOST_PROBLEMS = 50;

    /** Deeper than any document that is meant; the parser calls itself for each block. */
    private static final int DEEPEST = 64;

    private static final int MOST_SIGNS = 16;
    private static final String NEWLINES = "\r\n|[\r\n\u0085\u000b\u000c\u2028\u2029]";
    private static final String SPACES = "[ \\t\u00a0\u1680\u2000-\u200a\u202f\u205f\u3000\ufeff]*";

    /** A document as far as it could be read. */
    public record Document(List<Node> nodes, List<Problem> problems) {}

    private final List<Problem> problems = new ArrayList<>();

    private KdlReader() {}

    public static Document read(String text) {
        return new KdlReader().document(text);
    }

    private Document document(String text) {
        if (tooDeep(text) || tooManySigns(text)) {
            return new Document(List.of(), problems);
        }
        BaseErrorListener heard =
                new BaseErrorListener() {
                    @Override
                    public void syntaxError(
                            Recognizer<?, ?> recognizer,
                            Object symbol,
                            int line,
                            int column,
                            String msg,
                            RecognitionException e) {
                        problem(line, column + 1, message(recognizer, symbol, msg));
                    }
                };
        KdlLexer lexer = new KdlLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        lexer.addErrorListener(heard);
        KdlParser parser = new KdlParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(heard);
        KdlParser.DocumentContext tree = parser.document();
        List<Node> nodes = problems.isEmpty() ? nodes(tree.nodes()) : List.of();
        Collections.sort(problems);
        return new Document(nodes, problems);
    }

    /**
     * Guards the stack: brackets in strings and comments count too, which only matters to what is
     * absurd anyway.
     */
    private boolean tooDeep(String text) {
        int deep = 0;
        int line = 1;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            line += c == '\n' ? 1 : 0;
            boolean opens = text.startsWith("/*", i);
            boolean closes = text.startsWith("*/", i);
            deep += c == '{' || opens ? 1 : c == '}' || closes ? -1 : 0;
            i += opens || closes ? 1 : 0;
            if (deep > DEEPEST) {
                problem(line, 1, "blocks or comments nested more than " + DEEPEST + " deep");
                return true;
            }
        }
        return false;
    }

    /** Guards the lexer, which counts the signs of a raw string by calling itself. */
    private boolean tooManySigns(String text) {
        int at = text.indexOf("#".repeat(MOST_SIGNS + 1));
        if (at >= 0) {
            problem(
                    1 + (int) text.substring(0, at).chars().filter(c -> c == '\n').count(),
                    1,
                    "more than " + MOST_SIGNS + " signs # in a row");
        }
        return at >= 0;
    }

    private void problem(int line, int column, String text) {
        if (problems.size() < MOST_PROBLEMS) {
            problems.add(new Problem(line, column, text));
        }
    }

    // ---- messages ----

    private static String message(Recognizer<?, ?> recognizer, Object symbol, String msg) {
        if (!(recognizer instanceof Parser parser) || !(symbol instanceof Token t)) {
            return msg;
        }
        String found =
                t.getType() == Token.EOF
                        ? "the end of the text"
                        : t.getType() == KdlLexer.NEWLINE
                                ? "the end of the line"
                                : "'" + shown(t.getText()) + "'";
        String why = unfinished(t);
        return "found " + found + why + ", expected " + expected(parser.getExpectedTokens());
    }

    private static String unfinished(Token t) {
        if (t.getType() != KdlLexer.STRAY) {
            return "";
        }
        return switch (t.getText()) {
            case "\"" -> " (a string without its end)";
            case "/" -> " (a comment without its end, or a name with a slash: that needs quotes)";
            case "#" ->
                    " (words after # are #true, #false, #null, #inf, #-inf and #nan; a raw string needs its end)";
            case "\\" -> " (a line goes on only where nothing but a comment stands behind)";
            default -> "";
        };
    }

    private static String shown(String text) {
        String line = text.replaceAll("[\\r\\n].*", "...");
        return line.length() > 30 ? line.substring(0, 30) + "..." : line;
    }

    private static String expected(IntervalSet set) {
        List<String> words = new ArrayList<>();
        for (int type : set.toList()) {
            String word =
                    switch (type) {
                        case KdlLexer.QUOTED -> "a name or string";
                        case KdlLexer.NUMBER -> "a number";
                        case KdlLexer.KEYWORD -> "#true, #false or #null";
                        case KdlLexer.NEWLINE -> "the end of the line";
                        case KdlLexer.EQUALS -> "'='";
                        case KdlLexer.LEFT -> "'{'";
                        case KdlLexer.RIGHT -> "'}'";
                        case KdlLexer.CLOSE -> "')'";
                        default -> null;
                    };
            if (word != null) {
                words.add(word);
            }
        }
        int last = words.size() - 1;
        return last < 0
                ? "the end"
                : last == 0
                        ? words.get(0)
                        : String.join(", ", words.subList(0, last)) + " or " + words.get(last);
    }

    // ---- nodes ----

    private List<Node> nodes(KdlParser.NodesContext all) {
        List<Node> nodes = new ArrayList<>();
        KdlParser.StatementContext before = null;
        for (KdlParser.StatementContext s : all.statement()) {
            if (before != null && before.end() == null) {
                at(
                        s,
                        "found a second node on the line, expected the end of the line or ';' before it");
            }
            before = s;
            if (s.SLASHDASH() == null) {
                nodes.add(node(s.node()));
            }
        }
        return nodes;
    }

    private Node node(KdlParser.NodeContext n) {
        List<Value> arguments = new ArrayList<>();
        Map<String, Value> properties = new LinkedHashMap<>();
        Set<String> repeated = new LinkedHashSet<>();
        int end = n.name.getStop().getStopIndex();
        for (KdlParser.EntryContext e : n.entry()) {
            if (e.getStart().getStartIndex() == end + 1) {
                at(e, "found no space before '" + shown(e.getText()) + "'");
            }
            end = e.getStop().getStopIndex();
            if (e.SLASHDASH() != null) {
                continue;
            }
            if (e.property() != null) {
                String name = string(e.property().key);
                if (properties.put(name, value(e.property().value())) != null) {
                    repeated.add(name);
                }
            } else {
                arguments.add(value(e.argument().value()));
            }
        }
        Token at = n.name.getStart();
        return new Node(
                string(n.name),
                n.type() == null ? null : string(n.type().string()),
                arguments,
                properties,
                repeated,
                n.block() == null ? List.of() : nodes(n.block().nodes()),
                at.getLine(),
                at.getCharPositionInLine() + 1);
    }

    private Value value(KdlParser.ValueContext v) {
        Token at = v.getStart();
        Object it =
                v.string() != null
                        ? string(v.string())
                        : v.number() != null ? number(v.number()) : keyword(v.keyword().getText());
        return new Value(
                it,
                v.type() == null ? null : string(v.type().string()),
                at.getLine(),
                at.getCharPositionInLine() + 1);
    }

    private static Object keyword(String word) {
        return switch (word) {
            case "#true" -> Boolean.TRUE;
            case "#false" -> Boolean.FALSE;
            case "#inf" -> Double.POSITIVE_INFINITY;
            case "#-inf" -> Double.NEGATIVE_INFINITY;
            case "#nan" -> Double.NaN;
            default -> null;
        };
    }

    private Object number(KdlParser.NumberContext n) {
        String text = n.getText().replace("_", "");
        if (n.NUMBER() != null) {
            if (text.matches("[+-]?[0-9]+")) {
                return whole(n, text, 10);
            }
            return new BigDecimal(text).doubleValue();
        }
        String digits = text.replaceFirst("0[xob]", "");
        return whole(n, digits, n.HEX() != null ? 16 : n.OCTAL() != null ? 8 : 2);
    }

    private Object whole(ParserRuleContext at, String digits, int base) {
        BigInteger n = new BigInteger(digits, base);
        if (n.bitLength() > 63) {
            at(at, "a whole number beyond 64 bits");
            return 0L;
        }
        return n.longValue();
    }

    private void at(ParserRuleContext where, String text) {
        problem(where.getStart().getLine(), where.getStart().getCharPositionInLine() + 1, text);
    }

    // ---- strings ----

    private String string(KdlParser.StringContext s) {
        String text = s.getText();
        if (s.WORD() != null) {
            if (List.of("true", "false", "null", "inf", "-inf", "nan").contains(text)) {
                at(s, "the word " + text + " needs quotes as a string, or is #" + text);
            }
            return text;
        }
        if (s.QUOTED() != null) {
            return unescaped(s, text.substring(1, text.length() - 1));
        }
        int signs = 0;
        while (text.charAt(signs) == '#') {
            signs++;
        }
        String inner = text.substring(signs, text.length() - signs);
        if (s.RAW() != null) {
            return inner.substring(1, inner.length() - 1);
        }
        String lines = dedented(s, inner.substring(3, inner.length() - 3));
        return s.MULTI() != null ? unescaped(s, lines) : lines;
    }

    /** A multi-line string: what stands before the closing quotes is taken off every line. */
    private String dedented(KdlParser.StringContext s, String body) {
        String[] lines = body.split(NEWLINES, -1);
        String indent = lines[lines.length - 1];
        if (!indent.matches(SPACES)) {
            at(s, "the closing quotes of a multi-line string stand on a line of their own");
            return "";
        }
        StringBuilder all = new StringBuilder();
        for (int i = 1; i < lines.length - 1; i++) {
            boolean blank = lines[i].matches(SPACES);
            if (!blank && !lines[i].startsWith(indent)) {
                problem(
                        s.getStart().getLine() + i,
                        1,
                        "a line of a multi-line string is indented less than its end");
            }
            all.append(i > 1 ? "\n" : "")
                    .append(
                            blank
                                    ? ""
                                    : lines[i].substring(
                                            Math.min(indent.length(), lines[i].length())));
        }
        return all.toString();
    }

    private String unescaped(KdlParser.StringContext s, String text) {
        if (text.indexOf('\\') < 0) {
            return text;
        }
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c != '\\') {
                all.append(c);
                continue;
            }
            char next = text.charAt(++i);
            int plain = "nrtbfs\"\\".indexOf(next);
            if (plain >= 0) {
                all.append("\n\r\t\b\f \"\\".charAt(plain));
            } else if (next == 'u') {
                i = unicode(s, text, i, all);
            } else if (Character.isWhitespace(next)
                    || next == '\u0085'
                    || next == '\u00a0'
                    || next == '\ufeff') {
                while (i + 1 < text.length() && Character.isWhitespace(text.charAt(i + 1))) {
                    i++;
                }
            } else {
                at(
                        s,
                        "the escape \\"
                                + next
                                + " is none; expected one of \\n \\r \\t \\b \\f \\s \\\" \\\\ \\u{...}");
            }
        }
        return all.toString();
    }

    private int unicode(KdlParser.StringContext s, String text, int i, StringBuilder all) {
        int close = text.indexOf('}', i);
        String hex =
                i + 1 < text.length() && text.charAt(i + 1) == '{' && close > 0
                        ? text.substring(i + 2, close)
                        : "";
        int point = hex.matches("[0-9a-fA-F]{1,6}") ? Integer.parseInt(hex, 16) : -1;
        if (point < 0 || point > 0x10ffff || point >= 0xd800 && point < 0xe000) {
            at(s, "\\u needs one to six hex digits of a character in braces, as in \\u{1f600}");
            return i;
        }
        all.appendCodePoint(point);
        return close;
    }
}
