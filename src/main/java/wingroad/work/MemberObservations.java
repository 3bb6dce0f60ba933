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
        boolean fitListed;
        Boolean primary;
        Duration roleAt;
        Duration behind;
        Duration behindAt;
        Duration answeredAt;
        Duration failedAt;
        int failures;

        Observation(String uid, int group) {
            this.uid = uid;
            this.group = group;
        }
    }

    private final Map<String, Observation> all = new TreeMap<>();
    private final Map<Integer, Map<String, Observation>> byGroup = new HashMap<>();
    private final Duration fresh;

    /**
     * @param fresh how long what was seen counts
     */
    public MemberObservations(Duration fresh) {
        this.fresh = fresh;
    }

    /** Discovery lists a member, as fit or not; one that is gone is forgotten. */
    public void updateListing(String uid, int group, boolean gone, boolean fit) {
        if (gone) {
            Observation s = all.remove(uid);
            if (s != null
                    && byGroup.get(s.group).remove(uid) != null
                    && byGroup.get(s.group).isEmpty()) {
                byGroup.remove(s.group);
            }
            return;
        }
        Observation s = all.computeIfAbsent(uid, u -> new Observation(u, group));
        byGroup.computeIfAbsent(s.group, g -> new TreeMap<>()).put(uid, s);
        s.listed = true;
        s.fitListed = fit;
    }

    /**
     * It has said of itself; {@code primary} and {@code replicationLag} are null where it did not.
     */
    public void recordReport(String uid, Boolean primary, Duration behind, Duration now) {
        Observation s = all.get(uid);
        if (s == null) {
            return;
        }
        s.answeredAt = now;
        s.failures = 0;
        if (primary != null) {
            s.primary = primary;
            s.roleAt = now;
        }
        if (behind != null) {
            s.behind = behind.isNegative() ? Duration.ZERO : behind;
            s.behindAt = now;
        }
    }

    /** It gave no answer. */
    public void recordFailure(String uid, Duration now) {
        Observation s = all.get(uid);
        if (s != null) {
            s.failures++;
            s.failedAt = now;
        }
    }

    private boolean isFresh(Duration at, Duration now) {
        return at != null && now.minus(at).compareTo(fresh) < 0;
    }

    /** Whom this driver takes for the group's primary, or null. */
    public String primary(int group, Duration now) {
        Observation best = null;
        for (Observation s : byGroup.getOrDefault(group, Map.of()).values()) {
            if (Boolean.TRUE.equals(s.primary)
                    && isFresh(s.roleAt, now)
                    && (best == null || s.roleAt.compareTo(best.roleAt) > 0)) {
                best = s;
            }
        }
        return best == null ? null : best.uid;
    }

    /** Whether it has answered lately, and not failed several times since. */
    public boolean isHealthy(String uid, Duration now) {
        Observation s = all.get(uid);
        return s != null && s.listed && s.fitListed && isFresh(s.answeredAt, now) && s.failures < 3;
    }

    /** How far behind the log it was when it said so last; null where that is not known. */
    public Duration replicationLag(String uid, Duration now) {
        Observation s = all.get(uid);
        return s == null || !isFresh(s.behindAt, now) ? null : s.behind;
    }

    public Collection<String> membersOf(int group) {
        return List.copyOf(byGroup.getOrDefault(group, Map.of()).keySet());
    }

    public Collection<String> uids() {
        return all.keySet();
    }
}
