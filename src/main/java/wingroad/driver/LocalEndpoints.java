package wingroad.driver;

import wingroad.protocol.MemberList;
import wingroad.protocol.MemberList.Entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The members as this driver's own discovery agent lists them, with the endpoints that hold on this
 * driver's machine. Translates lists that another driver relays: an endpoint may differ between
 * drivers, so the other driver's may lead to another member here. No I/O.
 */
final class LocalEndpoints {
    private final Map<String, Entry> localByUid = new HashMap<>();

    /** The members as the relaying driver has listed them, under {@link #relayEpoch}. */
    private final Map<String, Entry> relayedByUid = new HashMap<>();

    private long relayEpoch = Long.MIN_VALUE;

    /**
     * A relayed list under this driver's own endpoints.
     *
     * @param list without the members that have no known endpoint here
     * @param complete whether the list says all that the relayed one does; if not, this driver has
     *     to fetch the list from its own agent
     */
    record Translation(MemberList list, boolean complete) {}

    /** Takes a list of this driver's own agent, or the one of its configuration. */
    void record(MemberList list) {
        update(localByUid, list);
    }

    private static void update(Map<String, Entry> entriesByUid, MemberList list) {
        if (list.complete()) {
            Set<String> listed = new HashSet<>();
            list.entries().forEach(entry -> listed.add(entry.uid()));
            entriesByUid.keySet().retainAll(listed);
        }
        for (Entry entry : list.entries()) {
            if (entry.isGone()) {
                entriesByUid.remove(entry.uid());
            } else {
                entriesByUid.put(entry.uid(), entry);
            }
        }
    }

    /**
     * Translates a list of the relaying driver.
     *
     * @param epoch the epoch under which that driver relays lists
     */
    Translation translate(long epoch, MemberList relayed) {
        if (epoch != relayEpoch) {
            relayEpoch = epoch;
            relayedByUid.clear();
        }
        List<Entry> translated = new ArrayList<>();
        // Changes without any entry concern another driver's endpoints, perhaps this one's.
        boolean complete = relayed.complete() || !relayed.entries().isEmpty();
        for (Entry entry : relayed.entries()) {
            Entry local = localByUid.get(entry.uid());
            if (local != null) {
                translated.add(withEndpointOf(local, entry));
            }
            complete &= isEndpointKnown(local, entry, relayed.complete());
        }
        update(relayedByUid, relayed);
        MemberList list = new MemberList(relayed.version(), relayed.complete(), translated);
        if (complete) {
            update(localByUid, list);
        }
        return new Translation(list, complete);
    }

    /** Whether the endpoint that is known here still holds for the relayed entry. */
    private boolean isEndpointKnown(Entry local, Entry relayed, boolean inWholeList) {
        if (relayed.isGone()) {
            return true;
        }
        if (local == null || local.startedAtMs() != relayed.startedAtMs()) {
            return false;
        }
        Entry previous = relayedByUid.get(relayed.uid());
        boolean movedAtRelay =
                previous != null && !withEndpointOf(previous, relayed).equals(relayed);
        // A change that shows in no other field may be one of the endpoint.
        boolean changeIsVisible = inWholeList || !withEndpointOf(local, relayed).equals(local);
        return !movedAtRelay && changeIsVisible;
    }

    private static Entry withEndpointOf(Entry endpointSource, Entry entry) {
        return new Entry(
                entry.uid(),
                endpointSource.host(),
                endpointSource.port(),
                entry.zone(),
                entry.model(),
                entry.group(),
                entry.state(),
                entry.weight(),
                entry.startedAtMs(),
                entry.primary());
    }
}
