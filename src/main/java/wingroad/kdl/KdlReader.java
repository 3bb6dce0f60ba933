package wingroad.kdl;

import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Parser;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.IntervalSet;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Parses KDL 2.0 into nodes. Each problem tells its position and what was expected there. */
public final class KdlReader {
    private static final int MAX_PROBLEM_COUNT = 50;

    /** Limits nesting, since the parser recurses for each block. */
    private static final int MAX_NESTING_DEPTH = 64;

    /** The longest excerpt of the document that a message contains. */
    private static final int MAX_QUOTED_CHARS = 30;

    private static final int MAX_CONSECUTIVE_HASHES = 16;
    private static final String NEWLINE_PATTERN = "\r\n|[\r\n\u0085\u000b\u000c\u2028\u2029]";
    private static final String SPACES_PATTERN =
            "[ \\t\u00a0\u1680\u2000-\u200a\u202f\u205f\u3000\ufeff]*";

    /** A parsed document; it has no nodes if there are problems. */
    public record Document(List<Node> nodes, List<Problem> problems) {}

    private final List<Problem> problems = new ArrayList<>();

    private KdlReader() {}

    public static Document read(String text) {
        return new KdlReader().readDocument(text);
    }

    private Document readDocument(String text) {
        if (exceedsNestingDepth(text) || exceedsConsecutiveHashes(text)) {
            return new Document(List.of(), problems);
        }
        BaseErrorListener errorListener =
                new BaseErrorListener() {
                    @Override
                    public void syntaxError(
                            Recognizer<?, ?> recognizer,
                            Object symbol,
                            int line,
                            int column,
                            String msg,
                            RecognitionException e) {
                        addProblem(line, column + 1, describeSyntaxError(recognizer, symbol, msg));
                    }
                };
        KdlLexer lexer = new KdlLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        lexer.addErrorListener(errorListener);
        KdlParser parser = new KdlParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(errorListener);
        KdlParser.DocumentContext tree = parser.document();
        List<Node> nodes = problems.isEmpty() ? nodes(tree.nodes()) : List.of();
        Collections.sort(problems);
        return new Document(nodes, problems);
    }

    /**
     * Guards against stack overflow. Brackets in strings and comments count too, which matters only
     * for absurd input.
     */
    private boolean exceedsNestingDepth(String text) {
        int depth = 0;
        int line = 1;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            line += c == '\n' ? 1 : 0;
            boolean opens = text.startsWith("/*", i);
            boolean closes = text.startsWith("*/", i);
            depth += c == '{' || opens ? 1 : c == '}' || closes ? -1 : 0;
            i += opens || closes ? 1 : 0;
            if (depth > MAX_NESTING_DEPTH) {
                addProblem(
                        line,
                        1,
                        "blocks or comments nested more than " + MAX_NESTING_DEPTH + " deep");
                return true;
            }
        }
        return false;
    }

    /** Guards the lexer, which matches the # signs of a raw string recursively. */
    private boolean exceedsConsecutiveHashes(String text) {
        int position = text.indexOf("#".repeat(MAX_CONSECUTIVE_HASHES + 1));
        if (position >= 0) {
            addProblem(
                    1 + (int) text.substring(0, position).chars().filter(c -> c == '\n').count(),
                    1,
                    "more than " + MAX_CONSECUTIVE_HASHES + " signs # in a row");
        }
        return position >= 0;
    }

    private void addProblem(int line, int column, String text) {
        if (problems.size() < MAX_PROBLEM_COUNT) {
            problems.add(new Problem(line, column, text));
        }
    }

    // ---- messages ----

    private static String describeSyntaxError(
            Recognizer<?, ?> recognizer, Object symbol, String msg) {
        if (!(recognizer instanceof Parser parser) || !(symbol instanceof Token token)) {
            return msg;
        }
        String found =
                token.getType() == Token.EOF
                        ? "the end of the text"
                        : token.getType() == KdlLexer.NEWLINE
                                ? "the end of the line"
                                : "'" + abbreviate(token.getText()) + "'";
        String hint = unfinishedTokenHint(token);
        return "found "
                + found
                + hint
                + ", expected "
                + describeExpected(parser.getExpectedTokens());
    }

    private static String unfinishedTokenHint(Token token) {
        if (token.getType() != KdlLexer.STRAY) {
            return "";
        }
        return switch (token.getText()) {
            case "\"" -> " (a string without its end)";
            case "/" -> " (a comment without its end, or a name with a slash: that needs quotes)";
            case "#" ->
                    " (words after # are #true, #false, #null, #inf, #-inf and #nan; a raw string"
                            + " needs its end)";
            case "\\" -> " (a line continuation can be followed only by a comment)";
            default -> "";
        };
    }

    private static String abbreviate(String text) {
        String line = text.replaceAll("[\\r\\n].*", "...");
        return line.length() > MAX_QUOTED_CHARS
                ? line.substring(0, MAX_QUOTED_CHARS) + "..."
                : line;
    }

    private static String describeExpected(IntervalSet tokenTypes) {
        List<String> words = new ArrayList<>();
        for (int type : tokenTypes.toList()) {
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

    private List<Node> nodes(KdlParser.NodesContext context) {
        List<Node> nodes = new ArrayList<>();
        KdlParser.StatementContext previous = null;
        for (KdlParser.StatementContext statement : context.statement()) {
            if (previous != null && previous.end() == null) {
                addProblemAt(
                        statement,
                        "found a second node on the line, expected the end of the line or ';'"
                                + " before it");
            }
            previous = statement;
            if (statement.SLASHDASH() == null) {
                nodes.add(node(statement.node()));
            }
        }
        return nodes;
    }

    private Node node(KdlParser.NodeContext context) {
        List<Value> arguments = new ArrayList<>();
        Map<String, Value> properties = new LinkedHashMap<>();
        Set<String> repeated = new LinkedHashSet<>();
        int end = context.name.getStop().getStopIndex();
        for (KdlParser.EntryContext entry : context.entry()) {
            if (entry.getStart().getStartIndex() == end + 1) {
                addProblemAt(entry, "found no space before '" + abbreviate(entry.getText()) + "'");
            }
            end = entry.getStop().getStopIndex();
            if (entry.SLASHDASH() != null) {
                continue;
            }
            if (entry.property() != null) {
                String name = string(entry.property().key);
                if (properties.put(name, value(entry.property().value())) != null) {
                    repeated.add(name);
                }
            } else {
                arguments.add(value(entry.argument().value()));
            }
        }
        Token start = context.name.getStart();
        return new Node(
                string(context.name),
                context.type() == null ? null : string(context.type().string()),
                arguments,
                properties,
                repeated,
                context.block() == null ? List.of() : nodes(context.block().nodes()),
                start.getLine(),
                start.getCharPositionInLine() + 1);
    }

    private Value value(KdlParser.ValueContext context) {
        Token start = context.getStart();
        Object value =
                context.string() != null
                        ? string(context.string())
                        : context.number() != null
                                ? parseNumber(context.number())
                                : parseKeyword(context.keyword().getText());
        return new Value(
                value,
                context.type() == null ? null : string(context.type().string()),
                start.getLine(),
                start.getCharPositionInLine() + 1);
    }

    private static Object parseKeyword(String word) {
        return switch (word) {
            case "#true" -> Boolean.TRUE;
            case "#false" -> Boolean.FALSE;
            case "#inf" -> Double.POSITIVE_INFINITY;
            case "#-inf" -> Double.NEGATIVE_INFINITY;
            case "#nan" -> Double.NaN;
            default -> null;
        };
    }

    private Object parseNumber(KdlParser.NumberContext context) {
        String text = context.getText().replace("_", "");
        if (context.NUMBER() != null) {
            if (text.matches("[+-]?[0-9]+")) {
                return parseLong(context, text, 10);
            }
            return new BigDecimal(text).doubleValue();
        }
        String digits = text.replaceFirst("0[xob]", "");
        return parseLong(
                context, digits, context.HEX() != null ? 16 : context.OCTAL() != null ? 8 : 2);
    }

    private Object parseLong(ParserRuleContext context, String digits, int base) {
        BigInteger number = new BigInteger(digits, base);
        if (number.bitLength() > 63) {
            addProblemAt(context, "a whole number beyond 64 bits");
            return 0L;
        }
        return number.longValue();
    }

    private void addProblemAt(ParserRuleContext where, String text) {
        addProblem(where.getStart().getLine(), where.getStart().getCharPositionInLine() + 1, text);
    }

    // ---- strings ----

    private String string(KdlParser.StringContext context) {
        String text = context.getText();
        if (context.WORD() != null) {
            if (List.of("true", "false", "null", "inf", "-inf", "nan").contains(text)) {
                addProblemAt(
                        context, "the word " + text + " needs quotes as a string, or is #" + text);
            }
            return text;
        }
        if (context.QUOTED() != null) {
            return unescape(context, text.substring(1, text.length() - 1));
        }
        int hashCount = 0;
        while (text.charAt(hashCount) == '#') {
            hashCount++;
        }
        String inner = text.substring(hashCount, text.length() - hashCount);
        if (context.RAW() != null) {
            return inner.substring(1, inner.length() - 1);
        }
        String dedented = dedent(context, inner.substring(3, inner.length() - 3));
        return context.MULTI() != null ? unescape(context, dedented) : dedented;
    }

    /** Removes the indentation of the closing quotes from every line of a multi-line string. */
    private String dedent(KdlParser.StringContext context, String body) {
        String[] lines = body.split(NEWLINE_PATTERN, -1);
        String indent = lines[lines.length - 1];
        if (!indent.matches(SPACES_PATTERN)) {
            addProblemAt(
                    context,
                    "the closing quotes of a multi-line string must be on a line of their own");
            return "";
        }
        StringBuilder result = new StringBuilder();
        for (int i = 1; i < lines.length - 1; i++) {
            boolean blank = lines[i].matches(SPACES_PATTERN);
            if (!blank && !lines[i].startsWith(indent)) {
                addProblem(
                        context.getStart().getLine() + i,
                        1,
                        "a line of a multi-line string is indented less than its end");
            }
            result.append(i > 1 ? "\n" : "")
                    .append(
                            blank
                                    ? ""
                                    : lines[i].substring(
                                            Math.min(indent.length(), lines[i].length())));
        }
        return result.toString();
    }

    private String unescape(KdlParser.StringContext context, String text) {
        if (text.indexOf('\\') < 0) {
            return text;
        }
        StringBuilder result = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            char next = text.charAt(++i);
            int escapeIndex = "nrtbfs\"\\".indexOf(next);
            if (escapeIndex >= 0) {
                result.append("\n\r\t\b\f \"\\".charAt(escapeIndex));
            } else if (next == 'u') {
                i = unescapeCodePoint(context, text, i, result);
            } else if (Character.isWhitespace(next)
                    || next == '\u0085'
                    || next == '\u00a0'
                    || next == '\ufeff') {
                while (i + 1 < text.length() && Character.isWhitespace(text.charAt(i + 1))) {
                    i++;
                }
            } else {
                addProblemAt(
                        context,
                        "the escape \\"
                                + next
                                + " is none; expected one of \\n"
                                + " \\r"
                                + " \\t \\b \\f \\s \\\" \\\\ \\u{...}");
            }
        }
        return result.toString();
    }

    private int unescapeCodePoint(
            KdlParser.StringContext context, String text, int escapeStart, StringBuilder result) {
        int closingBrace = text.indexOf('}', escapeStart);
        String hex =
                escapeStart + 1 < text.length()
                                && text.charAt(escapeStart + 1) == '{'
                                && closingBrace > 0
                        ? text.substring(escapeStart + 2, closingBrace)
                        : "";
        int codePoint = hex.matches("[0-9a-fA-F]{1,6}") ? Integer.parseInt(hex, 16) : -1;
        if (codePoint < 0 || codePoint > 0x10ffff || codePoint >= 0xd800 && codePoint < 0xe000) {
            addProblemAt(
                    context,
                    "\\u needs one to six hex digits of a character in braces, as in \\u{1f600}");
            return escapeStart;
        }
        result.appendCodePoint(codePoint);
        return closingBrace;
    }
}
