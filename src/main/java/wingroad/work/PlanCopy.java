package wingroad.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** A driver's copy of the committed plan, updated by the changes that its voter sends. */
public final class PlanCopy {
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final TreeMap<String, MaintenancePlan.Entry> entries = new TreeMap<>();
    private MachineIndex machineIndex = new MachineIndex(List.of());
    private List<String> inventoryLines = List.of();
    private long revision = -1;
    private boolean held;
    private long servedCount;
    private long harmedCount;
    private final TreeMap<Integer, Long> busyMsByGroup = new TreeMap<>();
    private Set<String> liveDrivers = Set.of();

    /** Applies a message of changes; returns whether the plan's revision has changed. */
    public boolean applyChanges(Map<?, ?> changes) {
        if (Boolean.TRUE.equals(changes.get("whole"))) {
            entries.clear();
        }
        ((List<?>) changes.get("gone")).forEach(machine -> entries.remove((String) machine));
        ((List<?>) changes.get("entries"))
                .forEach(
                        values -> {
                            MaintenancePlan.Entry entry =
                                    MaintenancePlan.Entry.fromValues((List<?>) values);
                            entries.put(entry.machine, entry);
                        });
        if (changes.get("lines") instanceof List<?> lines) {
            List<String> newLines = new ArrayList<>();
            lines.forEach(line -> newLines.add((String) line));
            inventoryLines = newLines;
            machines.clear();
            inventoryLines.stream()
                    .skip(1)
                    .map(Machine::parse)
                    .forEach(machine -> machines.put(machine.name(), machine));
            machineIndex = new MachineIndex(machines.values());
        }
        boolean changed = number(changes.get("rev")) != revision;
        revision = number(changes.get("rev"));
        held = Boolean.TRUE.equals(changes.get("held"));
        return changed;
    }

    /**
     * Takes over what only the controller is sent: the sums of all drivers' reports and the names
     * of drivers with a session.
     */
    public void updateFleetFigures(List<?> totals, Collection<?> driverNames) {
        servedCount = number(totals.get(0));
        harmedCount = number(totals.get(1));
        busyMsByGroup.clear();
        ((Map<?, ?>) totals.get(2))
                .forEach(
                        (group, busyMs) ->
                                busyMsByGroup.put(
                                        Integer.parseInt((String) group), number(busyMs)));
        Set<String> live = new TreeSet<>();
        driverNames.forEach(name -> live.add((String) name));
        liveDrivers = live;
    }

    private static long number(Object value) {
        return ((Number) value).longValue();
    }

    /** Returns whether the plan has been received. */
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

    /** Returns the machine's entry, or null if no maintenance is requested. */
    public MaintenancePlan.Entry entry(String machine) {
        return entries.get(machine);
    }

    public Map<String, Machine> machines() {
        return machines;
    }

    /** Returns the machine that holds this member, or null. */
    public Machine machineOf(String uid) {
        return machineIndex.find(uid);
    }

    long servedCount() {
        return servedCount;
    }

    long harmedCount() {
        return harmedCount;
    }

    Map<Integer, Long> busyMsByGroup() {
        return busyMsByGroup;
    }

    Set<String> liveDrivers() {
        return liveDrivers;
    }
}
