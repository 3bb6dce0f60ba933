package wingroad.work;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A machine with the members that it holds and the drivers that run on it.
 *
 * @param members ids or prefixes of the members, each with its group
 * @param drivers names of the drivers
 */
public record Machine(String name, String zone, List<MemberPattern> members, List<String> drivers) {
    /**
     * A member's id and group. An id that ends in {@code *} matches all ids with that prefix, since
     * members of a machine may return under new ids.
     */
    public record MemberPattern(String uid, int group) {
        boolean matches(String other) {
            return uid.endsWith("*")
                    ? other.startsWith(uid.substring(0, uid.length() - 1))
                    : uid.equals(other);
        }
    }

    /** Returns whether the member runs on this machine. */
    public boolean holds(String uid) {
        return members.stream().anyMatch(member -> member.matches(uid));
    }

    public Set<Integer> groups() {
        Set<Integer> groups = new TreeSet<>();
        members.forEach(member -> groups.add(member.group));
        return groups;
    }

    boolean sharesGroup(Machine other) {
        return members.stream()
                .anyMatch(
                        member ->
                                other.members.stream()
                                        .anyMatch(
                                                otherMember -> otherMember.group == member.group));
    }

    /**
     * Returns the machine as one line for the log. Names contain no blanks and none of the
     * separators.
     */
    String toLine() {
        return name
                + " "
                + zone
                + " "
                + String.join(
                        ",",
                        members.stream().map(member -> member.uid + "#" + member.group).toList())
                + " "
                + String.join(",", drivers);
    }

    /**
     * Reads a line of {@link #toLine}; throws {@link IllegalArgumentException} if it is malformed.
     */
    static Machine parse(String line) {
        String[] fields = line.split(" ", -1);
        if (fields.length != 4) {
            throw new IllegalArgumentException("no machine: " + line);
        }
        List<MemberPattern> members = new ArrayList<>();
        for (String member : splitList(fields[2])) {
            int separator = member.lastIndexOf('#');
            members.add(
                    new MemberPattern(
                            member.substring(0, separator),
                            Integer.parseInt(member.substring(separator + 1))));
        }
        return new Machine(fields[0], fields[1], List.copyOf(members), splitList(fields[3]));
    }

    /** Splits a comma-separated list; an empty text is an empty list. */
    static List<String> splitList(String commas) {
        return commas.isEmpty() ? List.of() : List.of(commas.split(","));
    }
}
