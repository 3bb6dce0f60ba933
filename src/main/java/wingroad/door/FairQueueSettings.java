package wingroad.door;

import java.util.List;
import java.util.Map;

/**
 * What the operator says of the door.
 *
 * @param tenantNameSources where a tenant's name is looked for, the first that has one counts
 * @param maxNamesPerAddress how many names that are not listed are told apart from one address
 * @param maxQueuedTxns how many txns wait at most
 * @param defaultTenant for those that are not listed
 * @param tenants by their names; an address may be listed as well
 */
public record FairQueueSettings(
        List<TenantNameSource> tenantNameSources,
        int maxNamesPerAddress,
        int maxQueuedTxns,
        TenantSettings defaultTenant,
        Map<String, TenantSettings> tenants) {
    /** Where a name may stand. */
    public enum SourceType {
        COMMENT,
        STARTUP,
        ADDRESS
    }

    /** A place, and there the name of the value; none for an address. */
    public record TenantNameSource(SourceType type, String parameterName) {}

    /**
     * What is due to a tenant.
     *
     * @param weight its share against the others' weights
     * @param cap the largest part of what a lane lets in at once
     */
    public record TenantSettings(double weight, double maxConcurrencyShare) {}

    public static final FairQueueSettings DEFAULTS =
            new FairQueueSettings(
                    List.of(new TenantNameSource(SourceType.ADDRESS, null)),
                    8,
                    2000,
                    new TenantSettings(1, 1),
                    Map.of());
}
