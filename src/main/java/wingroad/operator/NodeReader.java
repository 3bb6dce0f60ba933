package wingroad.operator;

import wingroad.kdl.Node;
import wingroad.kdl.Problem;
import wingroad.kdl.Value;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads and validates one node of the operator's file. Arguments, properties and children are
 * checked for type and range; those not read are reported as problems too. Each problem tells its
 * position and what was expected.
 */
final class NodeReader {
    private final Node node;
    private final List<Problem> problems;
    private final Set<String> readPropertyNames = new HashSet<>();
    private int argumentsRead;

    NodeReader(Node node, List<Problem> problems) {
        this.node = node;
        this.problems = problems;
    }

    void addProblem(String text) {
        problems.add(new Problem(node.line(), node.column(), text));
    }

    private void addProblem(Value at, String text) {
        problems.add(new Problem(at.line(), at.column(), text));
    }

    /** Reads the next argument, a non-empty string; returns null if it is missing or invalid. */
    String stringArgument(String description) {
        if (argumentsRead >= node.arguments().size()) {
            argumentsRead++;
            addProblem("'" + node.name() + "' needs " + description);
            return null;
        }
        Value value = node.arguments().get(argumentsRead++);
        if (value.value() instanceof String s && !s.isEmpty()) {
            return s;
        }
        addProblem(value, "found " + value.describe() + ", expected " + description);
        return null;
    }

    boolean hasMoreArguments() {
        return argumentsRead < node.arguments().size();
    }

    /**
     * Reads the next argument, an integer within the range; returns the default if it is missing or
     * invalid.
     */
    long integerArgument(String description, long min, long max, long defaultValue) {
        if (argumentsRead >= node.arguments().size()) {
            argumentsRead++;
            addProblem(
                    "'" + node.name() + "' needs " + description + ", from " + min + " to " + max);
            return defaultValue;
        }
        Value value = node.arguments().get(argumentsRead++);
        if (value.value() instanceof Long n && n >= min && n <= max) {
            return n;
        }
        addProblem(
                value,
                "found "
                        + value.describe()
                        + ", expected "
                        + description
                        + ", a whole number from "
                        + min
                        + " to "
                        + max);
        return defaultValue;
    }

    /**
     * Reads a property, a number within the range; returns the default if it is missing or invalid.
     */
    double numberProperty(String name, double min, double max, double defaultValue) {
        readPropertyNames.add(name);
        Value value = node.properties().get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value.value() instanceof Number n && n.doubleValue() >= min && n.doubleValue() <= max) {
            return n.doubleValue();
        }
        addProblem(
                value,
                "found "
                        + value.describe()
                        + ", expected "
                        + name
                        + " from "
                        + formatNumber(min)
                        + " to "
                        + formatNumber(max));
        return defaultValue;
    }

    /** Reads a property, a non-empty string; returns the default if it is missing or invalid. */
    String stringProperty(String name, String description, String defaultValue) {
        readPropertyNames.add(name);
        Value value = node.properties().get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value.value() instanceof String s && !s.isEmpty()) {
            return s;
        }
        addProblem(value, "found " + value.describe() + ", expected " + name + ", " + description);
        return defaultValue;
    }

    /**
     * Reads the next argument, #true or #false; returns the default if it is missing or invalid.
     */
    boolean booleanArgument(boolean defaultValue) {
        if (argumentsRead >= node.arguments().size()) {
            argumentsRead++;
            addProblem("'" + node.name() + "' needs #true or #false");
            return defaultValue;
        }
        Value value = node.arguments().get(argumentsRead++);
        if (value.value() instanceof Boolean b) {
            return b;
        }
        addProblem(value, "found " + value.describe() + ", expected #true or #false");
        return defaultValue;
    }

    /**
     * Reads the next argument, a number within the range; returns the default if it is missing or
     * invalid.
     */
    double numberArgument(String description, double min, double max, double defaultValue) {
        if (argumentsRead >= node.arguments().size()) {
            argumentsRead++;
            addProblem(
                    "'"
                            + node.name()
                            + "' needs "
                            + description
                            + ", from "
                            + formatNumber(min)
                            + " to "
                            + formatNumber(max));
            return defaultValue;
        }
        Value value = node.arguments().get(argumentsRead++);
        if (value.value() instanceof Number n && n.doubleValue() >= min && n.doubleValue() <= max) {
            return n.doubleValue();
        }
        addProblem(
                value,
                "found "
                        + value.describe()
                        + ", expected "
                        + description
                        + ", from "
                        + formatNumber(min)
                        + " to "
                        + formatNumber(max));
        return defaultValue;
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /**
     * Reads the next argument, one of the given words; returns the word's value, or null if it is
     * missing or invalid.
     */
    <T> T choiceArgument(String description, Map<String, T> choices) {
        int index = argumentsRead;
        String word =
                stringArgument(description + ", one of " + String.join(", ", choices.keySet()));
        if (word != null && !choices.containsKey(word)) {
            addProblem(
                    node.arguments().get(index),
                    "found '"
                            + word
                            + "', expected "
                            + description
                            + ", one of "
                            + String.join(", ", choices.keySet()));
        }
        return word == null ? null : choices.get(word);
    }

    /**
     * Returns the children with an allowed name and reports the others.
     *
     * @param singletons names that may occur only once
     */
    List<NodeReader> children(Set<String> allowedNames, Set<String> singletons) {
        List<NodeReader> children = new ArrayList<>();
        Map<String, Node> firstByName = new HashMap<>();
        for (Node child : node.children()) {
            if (!allowedNames.contains(child.name())) {
                problems.add(
                        new Problem(
                                child.line(),
                                child.column(),
                                "'"
                                        + child.name()
                                        + "' is not known in '"
                                        + node.name()
                                        + "', expected one of "
                                        + String.join(
                                                ", ", allowedNames.stream().sorted().toList())));
                continue;
            }
            Node first = firstByName.putIfAbsent(child.name(), child);
            if (first != null && singletons.contains(child.name())) {
                problems.add(
                        new Problem(
                                child.line(),
                                child.column(),
                                "'"
                                        + child.name()
                                        + "' stands in line "
                                        + first.line()
                                        + " already"));
                continue;
            }
            children.add(new NodeReader(child, problems));
        }
        return children;
    }

    /** Reports arguments, properties, children and a type annotation that were not expected. */
    void reportUnexpected(boolean mayHaveChildren) {
        for (int i = argumentsRead; i < node.arguments().size(); i++) {
            Value value = node.arguments().get(i);
            addProblem(
                    value,
                    "found "
                            + value.describe()
                            + ", expected nothing more behind '"
                            + node.name()
                            + "'");
        }
        node.properties()
                .forEach(
                        (name, value) -> {
                            if (!readPropertyNames.contains(name)) {
                                addProblem(
                                        value,
                                        "'"
                                                + name
                                                + "' is not known for '"
                                                + node.name()
                                                + "'"
                                                + (readPropertyNames.isEmpty()
                                                        ? ""
                                                        : ", expected one of "
                                                                + String.join(
                                                                        ", ",
                                                                        readPropertyNames.stream()
                                                                                .sorted()
                                                                                .toList())));
                            }
                        });
        node.repeatedProperties()
                .forEach(
                        name ->
                                addProblem(
                                        node.properties().get(name),
                                        "'" + name + "' stands twice"));
        if (!mayHaveChildren && !node.children().isEmpty()) {
            Node child = node.children().get(0);
            problems.add(
                    new Problem(
                            child.line(),
                            child.column(),
                            "'" + node.name() + "' has nothing within it"));
        }
        if (node.type() != null) {
            addProblem("'(" + node.type() + ")' means nothing here");
        }
    }

    String name() {
        return node.name();
    }
}
