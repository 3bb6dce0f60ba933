package wingroad.kdl;

import java.util.List;

/**
 * Writes nodes in one plain form: four spaces a level, quotes only where a word needs them,
 * properties as they came.
 */
public final class KdlWriter {
    private KdlWriter() {}

    public static String write(List<Node> nodes) {
        StringBuilder all = new StringBuilder();
        nodes.forEach(n -> write(n, "", all));
        return all.toString();
    }

    private static void write(Node n, String indent, StringBuilder all) {
        all.append(indent).append(annotation(n.type())).append(string(n.name()));
        n.arguments().forEach(v -> all.append(' ').append(value(v)));
        n.properties()
                .forEach(
                        (name, v) ->
                                all.append(' ').append(string(name)).append('=').append(value(v)));
        if (!n.children().isEmpty()) {
            all.append(" {\n");
            n.children().forEach(c -> write(c, indent + "    ", all));
            all.append(indent).append('}');
        }
        all.append('\n');
    }

    private static String annotation(String type) {
        return type == null ? "" : '(' + string(type) + ')';
    }

    private static String value(Value v) {
        Object it = v.it();
        String text =
                it == null
                        ? "#null"
                        : it instanceof String s
                                ? string(s)
                                : it instanceof Boolean b
                                        ? "#" + b
                                        : it instanceof Double d ? number(d) : it.toString();
        return annotation(v.type()) + text;
    }

    private static String number(double d) {
        return Double.isNaN(d)
                ? "#nan"
                : Double.isInfinite(d)
                        ? d > 0 ? "#inf" : "#-inf"
                        : d == Math.rint(d) && Math.abs(d) < 1e15
                                ? Long.toString((long) d)
                                : Double.toString(d);
    }

    static String string(String s) {
        if (s.matches("[\\p{L}_][\\p{L}\\p{N}_.-]*")
                && !List.of("true", "false", "null", "inf", "nan").contains(s)) {
            return s;
        }
        StringBuilder all = new StringBuilder("\"");
        s.codePoints()
                .forEach(
                        c -> {
                            int plain = "\n\r\t\b\f\"\\".indexOf(c);
                            if (plain >= 0) {
                                all.append('\\').append("nrtbf\"\\".charAt(plain));
                            } else if (Character.isISOControl(c)
                                    || Character.getType(c) == Character.FORMAT
                                    || c == 0x2028
                                    || c == 0x2029) {
                                all.append(String.format("\\u{%x}", c));
                            } else {
                                all.appendCodePoint(c);
                            }
                        });
        return all.append('"').toString();
    }
}
