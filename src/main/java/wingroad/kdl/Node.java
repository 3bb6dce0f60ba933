package wingroad.kdl;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A node with its place. Of a property that stands twice the last one counts, as the language says;
 * {@code repeatedProperties} has the names of such.
 */
public record Node(
        String name,
        String type,
        List<Value> arguments,
        Map<String, Value> properties,
        Set<String> repeatedProperties,
        List<Node> children,
        int line,
        int column) {
    /** One that was not read but made. */
    public Node(
            String name,
            List<Value> arguments,
            Map<String, Value> properties,
            List<Node> children) {
        this(name, null, arguments, properties, Set.of(), children, 1, 1);
    }
}
