package wingroad.work;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a driver has observed of the members recently, from their answers and probes: role,
 * replication lag, health. Observations expire after a maximum age. Memory is bounded by the
 * members that discovery lists.
 */
public final class MemberObservations {
    /** A member with so many failures since its last answer is unhealthy. */
    private static final int MAX_CONSECUTIVE_FAILURES = 3;

    /** The newest observations of a member. */
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
     * Creates an empty set of observations.
     *
     * @param maxAge how long an observation counts
     */
    public MemberObservations(Duration maxAge) {
        this.maxAge = maxAge;
    }

    /**
     * Updates a member from discovery's list; one that is gone is forgotten.
     *
     * @param healthy whether the list has it as able to serve
     */
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
        Observation observation = byUid.computeIfAbsent(uid, key -> new Observation(key, group));
        byGroup.computeIfAbsent(observation.group, key -> new TreeMap<>()).put(uid, observation);
        observation.listed = true;
        observation.listedHealthy = healthy;
    }

    /**
     * Records a member's answer.
     *
     * @param primary whether it reported to be the primary; null if it did not report its role
     * @param positionAge how long ago the log position in the answer was current, which is the age
     *     of a primary's claim and the lag of a replica; null if it reported none
     */
    public void recordReport(String uid, Boolean primary, Duration positionAge, Duration now) {
        Observation observation = byUid.get(uid);
        if (observation == null) {
            return;
        }
        observation.answeredAt = now;
        observation.consecutiveFailures = 0;
        if (Boolean.TRUE.equals(primary)) {
            recordPrimaryClaim(observation, positionAge == null ? now : now.minus(positionAge));
        } else if (primary != null) {
            observation.primary = false;
            observation.roleAt = now;
        }
        if (positionAge != null) {
            boolean isPrimary =
                    Boolean.TRUE.equals(primary) && Boolean.TRUE.equals(observation.primary);
            observation.replicationLag =
                    isPrimary || positionAge.isNegative() ? Duration.ZERO : positionAge;
            observation.lagAt = now;
        }
    }

    /** Records a claim to be the primary unless the member has reported its role since then. */
    private static void recordPrimaryClaim(Observation observation, Duration claimedAt) {
        if (observation.roleAt == null || claimedAt.compareTo(observation.roleAt) >= 0) {
            observation.primary = true;
            observation.roleAt = claimedAt;
        }
    }

    /** Records that a member did not answer. */
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

    /**
     * Returns the member that last reported itself as the group's primary, or null if none did
     * recently.
     */
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

    /**
     * Returns whether the member is listed as healthy, has answered recently, and has not failed
     * several times since.
     */
    public boolean isHealthy(String uid, Duration now) {
        Observation observation = byUid.get(uid);
        return observation != null
                && observation.listed
                && observation.listedHealthy
                && isFresh(observation.answeredAt, now)
                && observation.consecutiveFailures < MAX_CONSECUTIVE_FAILURES;
    }

    /** Returns how far behind the log the member last reported itself to be; null if not known. */
    public Duration replicationLag(String uid, Duration now) {
        Observation observation = byUid.get(uid);
        return observation == null || !isFresh(observation.lagAt, now)
                ? null
                : observation.replicationLag;
    }

    /** Returns the ids of the group's listed members. */
    public Collection<String> membersOf(int group) {
        return List.copyOf(byGroup.getOrDefault(group, Map.of()).keySet());
    }

    public Collection<String> uids() {
        return byUid.keySet();
    }
}
