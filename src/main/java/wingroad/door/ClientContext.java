package wingroad.door;

import java.util.Map;

/** State of one client connection: address, startup parameters and the last retry reservation. */
public final class ClientContext {
    final String address;

    /** Parameters of the startup message. */
    final Map<String, String> startupParameters;

    /** The reservation made when its last txn was declined, or null. */
    RetryReservation reservation;

    /** The last tenant name and its hash, cached since most connections use only one name. */
    String lastTenantName;

    long lastTenantHash;
    long addressHash;

    /** Whether {@link #addressHash} is set. */
    boolean addressHashed;

    /** Whether a txn has arrived over this connection. */
    boolean hasSentTxn;

    /**
     * @param address the client's network address
     * @param startupParameters parameters of the startup message by name
     */
    public ClientContext(String address, Map<String, String> startupParameters) {
        this.address = address;
        this.startupParameters = startupParameters;
    }

    /** The value of the startup parameter, or null if it is missing or empty. */
    public String startupParameter(String name) {
        String value = startupParameters.get(name);
        return value == null || value.isEmpty() ? null : value;
    }
}
