package wingroad.driver;

import wingroad.protocol.MemberList;
import wingroad.protocol.MemberList.Entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps members that are known to drain or to be gone out of use when a list arrives that is older
 * than the one that said so, as from a discovery service at a new address that is behind.
 *
 * <p>A lower version may also come from a service that was set up anew and counts from the start.
 * Whatever stops a member's use is taken from either list at once. What ends a stop is taken from a
 * list with a lower version only if the member has started again since, or once lower versions have
 * been seen for {@link #RECOUNT_PERIOD}. No I/O; the clock is passed in.
 */
final class StaleListFilter {
    /**
     * After this time a lower version is the count of a new service: a service that is behind
     * catches up within seconds.
     */
    static final Duration RECOUNT_PERIOD = Duration.ofSeconds(30);

    /** How long a stop is remembered, which bounds the memory; far longer than a list is behind. */
    static final Duration STOP_RETENTION = Duration.ofMinutes(10);

    /** The entry that stopped a member's use, and when it was received. */
    private record Stop(Entry entry, Duration receivedAt) {}

    private final Map<String, Stop> stopsByUid = new HashMap<>();

    /** The members that the lists so far have as not gone. */
    private final Map<String, Entry> listedByUid = new HashMap<>();

    private long highestVersion;

    /** When the first of the lower versions in a row was received; null after a higher one. */
    private Duration lowerVersionsSince;

    /** Takes a list that was received; returns what of it is to be applied. */
    MemberList filter(MemberList list, Duration now) {
        stopsByUid.values().removeIf(stop -> isOver(stop.receivedAt(), STOP_RETENTION, now));
        if (list.version() < highestVersion && !isRecount(now)) {
            return withKnownStops(list, now);
        }
        highestVersion = list.version();
        lowerVersionsSince = null;
        record(list, now);
        return list;
    }

    /** Whether lower versions have been seen for so long that they are a new service's count. */
    private boolean isRecount(Duration now) {
        lowerVersionsSince = lowerVersionsSince == null ? now : lowerVersionsSince;
        return isOver(lowerVersionsSince, RECOUNT_PERIOD, now);
    }

    private static boolean isOver(Duration start, Duration period, Duration now) {
        return now.minus(start).compareTo(period) >= 0;
    }

    private void record(MemberList list, Duration now) {
        Set<String> listedNow = new HashSet<>();
        for (Entry entry : list.entries()) {
            recordEntry(entry, now);
            listedNow.add(entry.uid());
        }
        if (list.complete()) {
            for (Entry omitted : List.copyOf(listedByUid.values())) {
                if (!listedNow.contains(omitted.uid())) {
                    recordEntry(omitted.withState(Entry.GONE), now);
                }
            }
        }
    }

    private void recordEntry(Entry entry, Duration now) {
        if (entry.isDraining() || entry.isGone()) {
            stopsByUid.put(entry.uid(), new Stop(entry, now));
        } else {
            stopsByUid.remove(entry.uid());
        }
        if (entry.isGone()) {
            listedByUid.remove(entry.uid());
        } else {
            listedByUid.put(entry.uid(), entry);
        }
    }

    /** The list with the known stops in place of entries that would end them. */
    private MemberList withKnownStops(MemberList list, Duration now) {
        List<Entry> entries = new ArrayList<>();
        for (Entry entry : list.entries()) {
            Stop stop = stopsByUid.get(entry.uid());
            boolean stopHolds = stop != null && entry.startedAtMs() <= stop.entry().startedAtMs();
            if (!stopHolds) {
                recordEntry(entry, now);
            }
            boolean endsStop = stopHolds && !entry.isDraining() && !entry.isGone();
            entries.add(endsStop ? entry.withState(stop.entry().state()) : entry);
        }
        return new MemberList(list.version(), list.complete(), entries);
    }
}
