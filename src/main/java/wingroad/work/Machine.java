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
        boolean is(String other) {
            return uid.endsWith("*")
                    ? other.startsWith(uid.substring(0, uid.length() - 1))
                    : uid.equals(other);
        }
    }

    public boolean holds(String uid) {
        return members.stream().anyMatch(p -> p.is(uid));
    }

    public Set<Integer> groups() {
        Set<Integer> all = new TreeSet<>();
        members.forEach(p -> all.add(p.group));
        return all;
    }

    boolean sharesGroup(Machine other) {
        return members.stream()
                .anyMatch(p -> other.members.stream().anyMatch(o -> o.group == p.group));
    }

    /** As one line, for the log: names hold neither blanks nor signs that part them. */
    String line() {
        return name
                + " "
                + zone
                + " "
                + String.join(",", members.stream().map(p -> p.uid + "#" + p.group).toList())
                + " "
                + String.join(",", drivers);
    }

    /** Reads such a line; throws {@link IllegalArgumentException} where it is none. */
    static Machine of(String line) {
        String[] w = line.split(" ", -1);
        if (w.length != 4) {
            throw new IllegalArgumentException("no machine: " + line);
        }
        List<MemberPattern> parts = new ArrayList<>();
        for (String p : split(w[2])) {
            int at = p.lastIndexOf('#');
            parts.add(new MemberPattern(p.substring(0, at), Integer.parseInt(p.substring(at + 1))));
        }
        return new Machine(w[0], w[1], List.copyOf(parts), split(w[3]));
    }

    static List<String> split(String commas) {
        return commas.isEmpty() ? List.of() : List.of(commas.split(","));
    }
}
