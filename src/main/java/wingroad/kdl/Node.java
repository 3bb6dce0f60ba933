package wingroad.kdl;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A node and its position. If a property is repeated, the last one applies, as KDL specifies.
 *
 * @param type the type annotation, or null
 * @param repeatedProperties names of properties that occur more than once
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
    /** Creates a node that was not read from a document. */
    public Node(
            String name,
            List<Value> arguments,
            Map<String, Value> properties,
            List<Node> children) {
        this(name, null, arguments, properties, Set.of(), children, 1, 1);
    }
}
