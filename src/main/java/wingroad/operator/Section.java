package wingroad.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wingroad.kdl.Node;
import wingroad.kdl.Problem;
import wingroad.kdl.Value;

/**
 * One node of the operator's file while it is read: what is asked for is checked by kind and range,
 * and what nobody asked for is a problem too. Every problem says where it is and what was expected.
 */
final class Section {
    private final Node node;
    private final List<Problem> problems;
    private final Set<String> known = new HashSet<>();
    private int arguments;

    Section(Node node, List<Problem> problems) {
        this.node = node;
        this.problems = problems;
    }

    void problem(String text) {
        problems.add(new Problem(node.line(), node.column(), text));
    }

    private void problem(Value at, String text) {
        problems.add(new Problem(at.line(), at.column(), text));
    }

    /** The next argument, a string; null where it is missing or none. */
    String word(String what) {
        if (arguments >= node.arguments().size()) {
            arguments++;
            problem("'" + node.name() + "' needs " + what);
            return null;
        }
        Value v = node.arguments().get(arguments++);
        if (v.it() instanceof String s && !s.isEmpty()) {
            return s;
        }
        problem(v, "found " + v.kind() + ", expected " + what);
        return null;
    }

    boolean more() {
        return arguments < node.arguments().size();
    }

    /** The one argument, a whole number within the range; {@code absent} where it is wrong. */
    long whole(String what, long least, long most, long absent) {
        if (arguments >= node.arguments().size()) {
            arguments++;
            problem("'" + node.name() + "' needs " + what + ", from " + least + " to " + most);
            return absent;
        }
        Value v = node.arguments().get(arguments++);
        if (v.it() instanceof Long n && n >= least && n <= most) {
            return n;
        }
        problem(
                v,
                "found "
                        + v.kind()
                        + ", expected "
                        + what
                        + ", a whole number from "
                        + least
                        + " to "
                        + most);
        return absent;
    }

    /** A property, a number within the range; {@code absent} where it is missing or wrong. */
    double number(String name, double least, double most, double absent) {
        known.add(name);
        Value v = node.properties().get(name);
        if (v == null) {
            return absent;
        }
        if (v.it() instanceof Number n && n.doubleValue() >= least && n.doubleValue() <= most) {
            return n.doubleValue();
        }
        problem(
                v,
                "found "
                        + v.kind()
                        + ", expected "
                        + name
                        + " from "
                        + plain(least)
                        + " to "
                        + plain(most));
        return absent;
    }

    /** A property, a string that is not empty; {@code absent} where it is missing or wrong. */
    String text(String name, String what, String absent) {
        known.add(name);
        Value v = node.properties().get(name);
        if (v == null) {
            return absent;
        }
        if (v.it() instanceof String s && !s.isEmpty()) {
            return s;
        }
        problem(v, "found " + v.kind() + ", expected " + name + ", " + what);
        return absent;
    }

    /** The one argument, #true or #false; {@code absent} where it is wrong. */
    boolean flag(boolean absent) {
        if (arguments >= node.arguments().size()) {
            arguments++;
            problem("'" + node.name() + "' needs #true or #false");
            return absent;
        }
        Value v = node.arguments().get(arguments++);
        if (v.it() instanceof Boolean b) {
            return b;
        }
        problem(v, "found " + v.kind() + ", expected #true or #false");
        return absent;
    }

    /** The one argument, a number within the range; {@code absent} where it is wrong. */
    double part(String what, double least, double most, double absent) {
        if (arguments >= node.arguments().size()) {
            arguments++;
            problem(
                    "'"
                            + node.name()
                            + "' needs "
                            + what
                            + ", from "
                            + plain(least)
                            + " to "
                            + plain(most));
            return absent;
        }
        Value v = node.arguments().get(arguments++);
        if (v.it() instanceof Number n && n.doubleValue() >= least && n.doubleValue() <= most) {
            return n.doubleValue();
        }
        problem(
                v,
                "found "
                        + v.kind()
                        + ", expected "
                        + what
                        + ", from "
                        + plain(least)
                        + " to "
                        + plain(most));
        return absent;
    }

    private static String plain(double d) {
        return d == Math.rint(d) ? Long.toString((long) d) : Double.toString(d);
    }

    /** Which of the words it is, or null. */
    <T> T oneOf(String what, Map<String, T> words) {
        int at = arguments;
        String w = word(what + ", one of " + String.join(", ", words.keySet()));
        if (w != null && !words.containsKey(w)) {
            problem(
                    node.arguments().get(at),
                    "found '"
                            + w
                            + "', expected "
                            + what
                            + ", one of "
                            + String.join(", ", words.keySet()));
        }
        return w == null ? null : words.get(w);
    }

    /**
     * The nodes within, each of a name that is known; {@code once}: those that may stand there one
     * time only.
     */
    List<Section> within(Set<String> names, Set<String> once) {
        List<Section> all = new ArrayList<>();
        Map<String, Node> seen = new HashMap<>();
        for (Node n : node.children()) {
            if (!names.contains(n.name())) {
                problems.add(
                        new Problem(
                                n.line(),
                                n.column(),
                                "'"
                                        + n.name()
                                        + "' is not known in '"
                                        + node.name()
                                        + "', expected one of "
                                        + String.join(", ", names.stream().sorted().toList())));
                continue;
            }
            Node first = seen.putIfAbsent(n.name(), n);
            if (first != null && once.contains(n.name())) {
                problems.add(
                        new Problem(
                                n.line(),
                                n.column(),
                                "'" + n.name() + "' stands in line " + first.line() + " already"));
                continue;
            }
            all.add(new Section(n, problems));
        }
        return all;
    }

    /** Says what stands there that nobody asked for. */
    void end(boolean mayHaveChildren) {
        for (int i = arguments; i < node.arguments().size(); i++) {
            Value v = node.arguments().get(i);
            problem(
                    v,
                    "found " + v.kind() + ", expected nothing more behind '" + node.name() + "'");
        }
        node.properties()
                .forEach(
                        (name, v) -> {
                            if (!known.contains(name)) {
                                problem(
                                        v,
                                        "'"
                                                + name
                                                + "' is not known for '"
                                                + node.name()
                                                + "'"
                                                + (known.isEmpty()
                                                        ? ""
                                                        : ", expected one of "
                                                                + String.join(
                                                                        ", ",
                                                                        known.stream()
                                                                                .sorted()
                                                                                .toList())));
                            }
                        });
        node.repeated()
                .forEach(
                        name ->
                                problem(
                                        node.properties().get(name),
                                        "'" + name + "' stands twice"));
        if (!mayHaveChildren && !node.children().isEmpty()) {
            Node n = node.children().get(0);
            problems.add(
                    new Problem(
                            n.line(), n.column(), "'" + node.name() + "' has nothing within it"));
        }
        if (node.type() != null) {
            problem("'(" + node.type() + ")' means nothing here");
        }
    }

    String name() {
        return node.name();
    }
}
