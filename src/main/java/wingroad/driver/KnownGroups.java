package wingroad.driver;

import java.util.HashSet;
import java.util.Set;

/**
 * The groups that clients may name: those of the member lists so far or, before the first list,
 * whichever they name, up to a number that bounds the memory.
 */
final class KnownGroups {
    /** Far more groups than one driver serves. */
    static final int MAX_UNLISTED_GROUPS = 1024;

    private final Set<Integer> listed = new HashSet<>();
    private final Set<Integer> unlisted = new HashSet<>();

    /** Records that a list names the group. */
    void list(int group) {
        listed.add(group);
        unlisted.clear();
    }

    /** Whether a list names the group, or might: there was none yet. */
    boolean mayExist(int group) {
        return listed.isEmpty() || listed.contains(group);
    }

    /**
     * Whether a txn of the group may be kept until there is a list; false if txns of too many other
     * groups were before.
     */
    boolean admit(int group) {
        return !listed.isEmpty()
                || unlisted.contains(group)
                || unlisted.size() < MAX_UNLISTED_GROUPS && unlisted.add(group);
    }
}
