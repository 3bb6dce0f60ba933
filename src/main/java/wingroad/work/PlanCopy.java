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
    private final TreeMap<String, MaintenancePlan.Entry> entries = new TreeMap<>();
    private Holders holders = new Holders(List.of());
    private List<String> inventoryLines = List.of();
    private long revision = -1;
    private boolean held;
    private long served;
    private long harmed;
    private final TreeMap<Integer, Long> busy = new TreeMap<>();
    private Set<String> live = Set.of();

    /** Takes news over; returns whether something of it is new. */
    public boolean applyChanges(Map<?, ?> m) {
        if (Boolean.TRUE.equals(m.get("whole"))) {
            entries.clear();
        }
        ((List<?>) m.get("gone")).forEach(g -> entries.remove((String) g));
        ((List<?>) m.get("entries"))
                .forEach(
                        v -> {
                            MaintenancePlan.Entry e = MaintenancePlan.Entry.fromValues((List<?>) v);
                            entries.put(e.machine, e);
                        });
        if (m.get("lines") instanceof List<?> l) {
            List<String> next = new ArrayList<>();
            l.forEach(o -> next.add((String) o));
            inventoryLines = next;
            machines.clear();
            inventoryLines.stream()
                    .skip(1)
                    .map(Machine::of)
                    .forEach(x -> machines.put(x.name(), x));
            holders = new Holders(machines.values());
        }
        boolean grown = number(m.get("rev")) != revision;
        revision = number(m.get("rev"));
        held = Boolean.TRUE.equals(m.get("held"));
        return grown;
    }

    /** What only the conductor is told: the fleet's figures and who has a session. */
    public void updateFleetFigures(List<?> sums, Collection<?> names) {
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
    public boolean isKnown() {
        return revision >= 0;
    }

    public long revision() {
        return revision;
    }

    public boolean held() {
        return held;
    }

    public List<String> inventoryLines() {
        return inventoryLines;
    }

    public Collection<MaintenancePlan.Entry> entries() {
        return entries.values();
    }

    public MaintenancePlan.Entry entry(String machine) {
        return entries.get(machine);
    }

    public Map<String, Machine> machines() {
        return machines;
    }

    /** The machine that holds this member, or null. */
    public Machine machineOf(String uid) {
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
