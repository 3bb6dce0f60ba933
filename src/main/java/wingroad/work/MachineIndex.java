package wingroad.work;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Finds the machine that holds a member: by the member's id, else by the longest prefix that a
 * machine names. Avoids scanning all machines, since lists have thousands of members.
 */
final class MachineIndex {
    private final Map<String, Machine> machinesByUid = new HashMap<>();

    /** Machines by prefix. All prefixes of an id that are in the map sort before it. */
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

    /** Returns the machine that holds the member, or null. */
    Machine find(String uid) {
        Machine machine = machinesByUid.get(uid);
        if (machine != null) {
            return machine;
        }
        Map.Entry<String, Machine> candidate = machinesByPrefix.floorEntry(uid);
        while (candidate != null && !uid.startsWith(candidate.getKey())) {
            // A prefix of both the id and this key is no longer than what the two have in common.
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
