package wingroad.door;

import java.util.List;
import java.util.Map;

/**
 * The operator's settings of admission control and fair queueing.
 *
 * @param tenantNameSources where a txn's tenant name is looked up, in this order; the first source
 *     with a value applies
 * @param maxNamesPerAddress how many names that are not listed are distinguished at one address
 * @param maxQueuedTxns how many txns may be queued, over all queues
 * @param defaultTenant settings of tenants that are not listed
 * @param tenants settings by tenant name; an address may be listed as well
 */
public record FairQueueSettings(
        List<TenantNameSource> tenantNameSources,
        int maxNamesPerAddress,
        int maxQueuedTxns,
        TenantSettings defaultTenant,
        Map<String, TenantSettings> tenants) {
    /**
     * Where a tenant name comes from: the comment of a statement, a startup parameter, the address.
     */
    public enum SourceType {
        COMMENT,
        STARTUP,
        ADDRESS
    }

    /**
     * A source of tenant names.
     *
     * @param parameterName key in the comment or name of the startup parameter; null for an address
     */
    public record TenantNameSource(SourceType type, String parameterName) {}

    /**
     * Settings of one tenant.
     *
     * @param weight its share of each queue, relative to the weights of the other tenants
     * @param maxConcurrencyShare fraction of a queue's concurrency limit that it may use, up to 1
     */
    public record TenantSettings(double weight, double maxConcurrencyShare) {}

    /** The settings that apply where the operator's file gives none. */
    public static final FairQueueSettings DEFAULTS =
            new FairQueueSettings(
                    List.of(new TenantNameSource(SourceType.ADDRESS, null)),
                    8,
                    2000,
                    new TenantSettings(1, 1),
                    Map.of());
}
