package wingroad.kdl;

/**
 * A value with its place: a String, a Double or Long, a Boolean, or null; {@code type} is its
 * annotation or null.
 */
public record Value(Object it, String type, int line, int column) {
    /** What it is, for a reader. */
    public String kind() {
        return it == null
                ? "#null"
                : it instanceof String s
                        ? "the string \"" + s + "\""
                        : it instanceof Boolean b ? "#" + b : "the number " + it;
    }
}
