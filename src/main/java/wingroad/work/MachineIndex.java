package wingroad.work;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which machine holds a member: by its id, else by the longest beginning that a machine names.
 * Lists have thousands of members.
 */
final class MachineIndex {
    private final Map<String, Machine> machinesByUid = new HashMap<>();

    /** By beginning; all beginnings of an id that are in here lie before it in order. */
    private final TreeMap<String, Machine> machinesByPrefix = new TreeMap<>();

    MachineIndex(Collection<Machine> machines) {
        for (Machine machine : machines) {
            for (Machine.MemberPattern member : machine.members()) {
                if (member.uid().endsWith("*")) {
                    machinesByPrefix.putIfAbsent(
                            member.uid().substring(0, member.uid().length() - 1), machine);
                } else {
                    machinesByUid.putIfAbsent(member.uid(), machine);
                }
            }
        }
    }

    /** The machine, or null. */
    Machine find(String uid) {
        Machine machine = machinesByUid.get(uid);
        if (machine != null) {
            return machine;
        }
        Map.Entry<String, Machine> candidate = machinesByPrefix.floorEntry(uid);
        while (candidate != null && !uid.startsWith(candidate.getKey())) {
            // Whatever begins both has no more in common with the id than this one has.
            int commonLength = 0;
            while (commonLength < candidate.getKey().length()
                    && commonLength < uid.length()
                    && candidate.getKey().charAt(commonLength) == uid.charAt(commonLength)) {
                commonLength++;
            }
            candidate =
                    commonLength == 0 && !machinesByPrefix.containsKey("")
                            ? null
                            : machinesByPrefix.floorEntry(uid.substring(0, commonLength));
        }
        return candidate == null ? null : candidate.getValue();
    }
}
