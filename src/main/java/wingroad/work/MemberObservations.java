package wingroad.work;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a driver has seen of the members lately, from their answers and probes: who says it is
 * primary, how far behind the log, who answers. What has not been heard for a while counts for
 * nothing. Bounded by what discovery lists.
 */
public final class MemberObservations {
    /** What a member said last. */
    public static final class Observation {
        final String uid;
        final int group;
        boolean listed;
        boolean listedHealthy;
        Boolean primary;
        Duration roleAt;
        Duration replicationLag;
        Duration lagAt;
        Duration answeredAt;
        Duration failedAt;
        int consecutiveFailures;

        Observation(String uid, int group) {
            this.uid = uid;
            this.group = group;
        }
    }

    private final Map<String, Observation> byUid = new TreeMap<>();
    private final Map<Integer, Map<String, Observation>> byGroup = new HashMap<>();
    private final Duration maxAge;

    /**
     * @param maxAge how long what was seen counts
     */
    public MemberObservations(Duration maxAge) {
        this.maxAge = maxAge;
    }

    /** Discovery lists a member, as fit or not; one that is gone is forgotten. */
    public void updateListing(String uid, int group, boolean gone, boolean healthy) {
        if (gone) {
            Observation observation = byUid.remove(uid);
            if (observation != null
                    && byGroup.get(observation.group).remove(uid) != null
                    && byGroup.get(observation.group).isEmpty()) {
                byGroup.remove(observation.group);
            }
            return;
        }
        Observation observation = byUid.computeIfAbsent(uid, u -> new Observation(u, group));
        byGroup.computeIfAbsent(observation.group, g -> new TreeMap<>()).put(uid, observation);
        observation.listed = true;
        observation.listedHealthy = healthy;
    }

    /**
     * It has said of itself; {@code primary} and {@code replicationLag} are null where it did not.
     */
    public void recordReport(String uid, Boolean primary, Duration replicationLag, Duration now) {
        Observation observation = byUid.get(uid);
        if (observation == null) {
            return;
        }
        observation.answeredAt = now;
        observation.consecutiveFailures = 0;
        if (primary != null) {
            observation.primary = primary;
            observation.roleAt = now;
        }
        if (replicationLag != null) {
            observation.replicationLag =
                    replicationLag.isNegative() ? Duration.ZERO : replicationLag;
            observation.lagAt = now;
        }
    }

    /** It gave no answer. */
    public void recordFailure(String uid, Duration now) {
        Observation observation = byUid.get(uid);
        if (observation != null) {
            observation.consecutiveFailures++;
            observation.failedAt = now;
        }
    }

    private boolean isFresh(Duration at, Duration now) {
        return at != null && now.minus(at).compareTo(maxAge) < 0;
    }

    /** Whom this driver takes for the group's primary, or null. */
    public String primary(int group, Duration now) {
        Observation newest = null;
        for (Observation observation : byGroup.getOrDefault(group, Map.of()).values()) {
            if (Boolean.TRUE.equals(observation.primary)
                    && isFresh(observation.roleAt, now)
                    && (newest == null || observation.roleAt.compareTo(newest.roleAt) > 0)) {
                newest = observation;
            }
        }
        return newest == null ? null : newest.uid;
    }

    /** Whether it has answered lately, and not failed several times since. */
    public boolean isHealthy(String uid, Duration now) {
        Observation observation = byUid.get(uid);
        return observation != null
                && observation.listed
                && observation.listedHealthy
                && isFresh(observation.answeredAt, now)
                && observation.consecutiveFailures < 3;
    }

    /** How far behind the log it was when it said so last; null where that is not known. */
    public Duration replicationLag(String uid, Duration now) {
        Observation observation = byUid.get(uid);
        return observation == null || !isFresh(observation.lagAt, now)
                ? null
                : observation.replicationLag;
    }

    public Collection<String> membersOf(int group) {
        return List.copyOf(byGroup.getOrDefault(group, Map.of()).keySet());
    }

    public Collection<String> uids() {
        return byUid.keySet();
    }
}
