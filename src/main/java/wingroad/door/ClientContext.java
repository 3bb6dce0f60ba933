package wingroad.door;

import java.util.Map;

/**
 * Who asks, over one connection: where it comes from, what it said at its start, and what it was
 * told last.
 */
public final class ClientContext {
    final String address;

    /** What it said of itself at the start of the connection. */
    final Map<String, String> startupParameters;

    /** When it is expected back, or null. */
    RetryReservation reservation;

    /** The last name that it used and what came of it: most use one name only. */
    String lastTenantName;

    long lastTenantHash;
    long addressHash;
    boolean addressHashed;

    /** It has asked before, over this connection. */
    boolean hasSentTxn;

    public ClientContext(String address, Map<String, String> startupParameters) {
        this.address = address;
        this.startupParameters = startupParameters;
    }

    /** What it said under this name, or null. */
    public String startupParameter(String name) {
        String value = startupParameters.get(name);
        return value == null || value.isEmpty() ? null : value;
    }
}
