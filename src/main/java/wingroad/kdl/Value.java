package wingroad.kdl;

/**
 * A value and its position.
 *
 * @param value a String, Double, Long or Boolean, or null
 * @param type the type annotation, or null
 */
public record Value(Object value, String type, int line, int column) {
    /** Describes the value for messages. */
    public String describe() {
        return value == null
                ? "#null"
                : value instanceof String s
                        ? "the string \"" + s + "\""
                        : value instanceof Boolean b ? "#" + b : "the number " + value;
    }
}
