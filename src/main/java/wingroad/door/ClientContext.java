package wingroad.door;

import java.util.Map;

/**
 * Who asks, over one connection: where it comes from, what it said at its start, and what it was
 * told last.
 */
public final class ClientContext {
    final String address;

    /** What it said of itself at the start of the connection. */
    final Map<String, String> startupParameter;

    /** When it is expected back, or null. */
    Booking booking;

    /** The last name that it used and what came of it: most use one name only. */
    String lastName;

    long lastHash;
    long addressHash;
    boolean known;

    /** It has asked before, over this connection. */
    boolean came;

    public ClientContext(String address, Map<String, String> said) {
        this.address = address;
        this.startupParameter = said;
    }

    /** What it said under this name, or null. */
    public String startupParameter(String name) {
        String value = startupParameter.get(name);
        return value == null || value.isEmpty() ? null : value;
    }
}
