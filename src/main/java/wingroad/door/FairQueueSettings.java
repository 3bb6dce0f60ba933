package wingroad.door;

import java.util.List;
import java.util.Map;

/**
 * What the operator says of the door.
 *
 * @param sources where a tenant's name is looked for, the first that has one counts
 * @param namesPerAddress how many names that are not listed are told apart from one address
 * @param mostWaiting how many txns wait at most
 * @param others for those that are not listed
 * @param tenants by their names; an address may be listed as well
 */
public record FairQueueSettings(
        List<Source> sources,
        int namesPerAddress,
        int mostWaiting,
        Tenant others,
        Map<String, Tenant> tenants) {
    /** Where a name may stand. */
    public enum Place {
        COMMENT,
        STARTUP,
        ADDRESS
    }

    /** A place, and there the name of the value; none for an address. */
    public record Source(Place place, String name) {}

    /**
     * What is due to a tenant.
     *
     * @param weight its share against the others' weights
     * @param cap the largest part of what a lane lets in at once
     */
    public record Tenant(double weight, double cap) {}

    public static final FairQueueSettings USUAL =
            new FairQueueSettings(
                    List.of(new Source(Place.ADDRESS, null)), 8, 2000, new Tenant(1, 1), Map.of());
}
