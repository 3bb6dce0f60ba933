package wingroad.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** A driver's copy of what is settled of the plan, kept by the news that its voter sends. */
public final class PlanCopy {
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final TreeMap<String, Plan.Entry> entries = new TreeMap<>();
    private Holders holders = new Holders(List.of());
    private List<String> lines = List.of();
    private long revision = -1;
    private boolean held;
    private long served;
    private long harmed;
    private final TreeMap<Integer, Long> busy = new TreeMap<>();
    private Set<String> live = Set.of();

    /** Takes news over; returns whether something of it is new. */
    public boolean news(Map<?, ?> m) {
        if (Boolean.TRUE.equals(m.get("whole"))) {
            entries.clear();
        }
        ((List<?>) m.get("gone")).forEach(g -> entries.remove((String) g));
        ((List<?>) m.get("entries"))
                .forEach(
                        v -> {
                            Plan.Entry e = Plan.Entry.of((List<?>) v);
                            entries.put(e.machine, e);
                        });
        if (m.get("lines") instanceof List<?> l) {
            List<String> next = new ArrayList<>();
            l.forEach(o -> next.add((String) o));
            lines = next;
            machines.clear();
            lines.stream().skip(1).map(Machine::of).forEach(x -> machines.put(x.name(), x));
            holders = new Holders(machines.values());
        }
        boolean grown = number(m.get("rev")) != revision;
        revision = number(m.get("rev"));
        held = Boolean.TRUE.equals(m.get("held"));
        return grown;
    }

    /** What only the conductor is told: the fleet's figures and who has a session. */
    public void fleet(List<?> sums, Collection<?> names) {
        served = number(sums.get(0));
        harmed = number(sums.get(1));
        busy.clear();
        ((Map<?, ?>) sums.get(2))
                .forEach((g, ms) -> busy.put(Integer.parseInt((String) g), number(ms)));
        Set<String> all = new TreeSet<>();
        names.forEach(n -> all.add((String) n));
        live = all;
    }

    private static long number(Object n) {
        return ((Number) n).longValue();
    }

    /** Whether anything has been learned. */
    public boolean known() {
        return revision >= 0;
    }

    public long revision() {
        return revision;
    }

    public boolean held() {
        return held;
    }

    public List<String> lines() {
        return lines;
    }

    public Collection<Plan.Entry> entries() {
        return entries.values();
    }

    public Plan.Entry entry(String machine) {
        return entries.get(machine);
    }

    public Map<String, Machine> machines() {
        return machines;
    }

    /** The machine that holds this member, or null. */
    public Machine holder(String uid) {
        return holders.of(uid);
    }

    long served() {
        return served;
    }

    long harmed() {
        return harmed;
    }

    Map<Integer, Long> busy() {
        return busy;
    }

    Set<String> live() {
        return live;
    }
}
