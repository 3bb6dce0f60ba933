package wingroad.kdl;

/**
 * A value with its place: a String, a Double or Long, a Boolean, or null; {@code type} is its
 * annotation or null.
 */
public record Value(Object value, String type, int line, int column) {
    /** What it is, for a reader. */
    public String describe() {
        return value == null
                ? "#null"
                : value instanceof String s
                        ? "the string \"" + s + "\""
                        : value instanceof Boolean b ? "#" + b : "the number " + value;
    }
}
