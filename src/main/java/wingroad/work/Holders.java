package wingroad.work;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which machine holds a member: by its id, else by the longest beginning that a machine names.
 * Lists have thousands of members.
 */
final class Holders {
    private final Map<String, Machine> ids = new HashMap<>();

    /** By beginning; all beginnings of an id that are in here lie before it in order. */
    private final TreeMap<String, Machine> beginnings = new TreeMap<>();

    Holders(Collection<Machine> machines) {
        for (Machine m : machines) {
            for (Machine.MemberPattern p : m.members()) {
                if (p.uid().endsWith("*")) {
                    beginnings.putIfAbsent(p.uid().substring(0, p.uid().length() - 1), m);
                } else {
                    ids.putIfAbsent(p.uid(), m);
                }
            }
        }
    }

    /** The machine, or null. */
    Machine of(String uid) {
        Machine m = ids.get(uid);
        if (m != null) {
            return m;
        }
        Map.Entry<String, Machine> e = beginnings.floorEntry(uid);
        while (e != null && !uid.startsWith(e.getKey())) {
            // Whatever begins both has no more in common with the id than this one has.
            int same = 0;
            while (same < e.getKey().length()
                    && same < uid.length()
                    && e.getKey().charAt(same) == uid.charAt(same)) {
                same++;
            }
            e =
                    same == 0 && !beginnings.containsKey("")
                            ? null
                            : beginnings.floorEntry(uid.substring(0, same));
        }
        return e == null ? null : e.getValue();
    }
}
