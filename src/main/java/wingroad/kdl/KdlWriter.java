package wingroad.kdl;

import java.util.List;

/**
 * Formats nodes: four spaces per level, quotes only where needed, properties in their given order.
 */
public final class KdlWriter {
    private KdlWriter() {}

    public static String write(List<Node> nodes) {
        StringBuilder out = new StringBuilder();
        nodes.forEach(node -> write(node, "", out));
        return out.toString();
    }

    private static void write(Node node, String indent, StringBuilder out) {
        out.append(indent).append(annotation(node.type())).append(string(node.name()));
        node.arguments().forEach(v -> out.append(' ').append(value(v)));
        node.properties()
                .forEach(
                        (name, v) ->
                                out.append(' ').append(string(name)).append('=').append(value(v)));
        if (!node.children().isEmpty()) {
            out.append(" {\n");
            node.children().forEach(c -> write(c, indent + "    ", out));
            out.append(indent).append('}');
        }
        out.append('\n');
    }

    private static String annotation(String type) {
        return type == null ? "" : '(' + string(type) + ')';
    }

    private static String value(Value v) {
        Object content = v.value();
        String text =
                content == null
                        ? "#null"
                        : content instanceof String s
                                ? string(s)
                                : content instanceof Boolean b
                                        ? "#" + b
                                        : content instanceof Double d
                                                ? number(d)
                                                : content.toString();
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
        StringBuilder quoted = new StringBuilder("\"");
        s.codePoints()
                .forEach(
                        c -> {
                            int escapeIndex = "\n\r\t\b\f\"\\".indexOf(c);
                            if (escapeIndex >= 0) {
                                quoted.append('\\').append("nrtbf\"\\".charAt(escapeIndex));
                            } else if (Character.isISOControl(c)
                                    || Character.getType(c) == Character.FORMAT
                                    || c == 0x2028
                                    || c == 0x2029) {
                                quoted.append(String.format("\\u{%x}", c));
                            } else {
                                quoted.appendCodePoint(c);
                            }
                        });
        return quoted.append('"').toString();
    }
}
