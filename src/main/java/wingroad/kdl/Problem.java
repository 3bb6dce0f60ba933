package wingroad.kdl;

/** A problem in a document; lines and columns count from 1. */
public record Problem(int line, int column, String message) implements Comparable<Problem> {
    @Override
    public int compareTo(Problem other) {
        return line != other.line
                ? Integer.compare(line, other.line)
                : Integer.compare(column, other.column);
    }

    @Override
    public String toString() {
        return line + ":" + column + ": " + message;
    }
}
