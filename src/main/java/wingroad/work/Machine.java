package wingroad.work;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** A machine: the members that it holds, by id and group, and the drivers that run on it. */
public record Machine(String name, String zone, List<MemberPattern> members, List<String> drivers) {
    /**
     * A member; an id that ends in {@code *} stands for all that begin so: machines come back under
     * new ids.
     */
    public record MemberPattern(String uid, int group) {
        boolean matches(String other) {
            return uid.endsWith("*")
                    ? other.startsWith(uid.substring(0, uid.length() - 1))
                    : uid.equals(other);
        }
    }

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

    /** As one line, for the log: names hold neither blanks nor signs that part them. */
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

    /** Reads such a line; throws {@link IllegalArgumentException} where it is none. */
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

    static List<String> splitList(String commas) {
        return commas.isEmpty() ? List.of() : List.of(commas.split(","));
    }
}
