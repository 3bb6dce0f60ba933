package wingroad.operator;

import static wingroad.operator.OperatorFile.node;
import static wingroad.operator.OperatorFile.value;

import wingroad.kdl.Node;
import wingroad.kdl.Value;
import wingroad.work.Machine;
import wingroad.work.Machine.MemberPattern;
import wingroad.work.MaintenanceSettings;
import wingroad.work.MaintenanceSettings.LostViewPolicy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The node {@code work} of the operator's fleet: the machines that there are, and the limits of
 * work on them.
 */
final class WorkSection {
    /** Names of machines, zones and members stand in lines that blanks, commas and signs part. */
    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._:-]{0,62}\\*?";

    private static final int MOST_MACHINES = 4096;
    private static final int MOST_AT_ONCE = 64;
    private static final int USUAL_HORIZON_S = 60;
    private static final int USUAL_WATCH_S = 10;
    private static final double USUAL_HARM = 0.02;
    private static final int USUAL_LAG_MS = 1000;

    private WorkSection() {}

    /** The rules; what is wrong stands in the section's problems. */
    static MaintenanceSettings read(Section work) {
        int atOnce = 1;
        LostViewPolicy lost = LostViewPolicy.STEADY;
        double horizon = USUAL_HORIZON_S;
        double watch = USUAL_WATCH_S;
        double harm = USUAL_HARM;
        long lag = USUAL_LAG_MS;
        double room = 0;
        Map<String, Machine> machines = new LinkedHashMap<>();
        Map<String, String> holders = new LinkedHashMap<>();
        for (Section s :
                work.within(
                        Set.of(
                                "at-once",
                                "lost-view",
                                "watch",
                                "harm",
                                "lag-ms",
                                "room",
                                "machine"),
                        Set.of("at-once", "lost-view", "watch", "harm", "lag-ms", "room"))) {
            boolean within = false;
            switch (s.name()) {
                case "at-once" ->
                        atOnce = (int) s.whole("how many machines", 1, MOST_AT_ONCE, atOnce);
                case "lost-view" -> {
                    Map<String, LostViewPolicy> words = new LinkedHashMap<>();
                    for (LostViewPolicy l : LostViewPolicy.values()) {
                        words.put(l.name().toLowerCase(Locale.ROOT), l);
                    }
                    LostViewPolicy l = s.oneOf("what a driver does whose view has ended", words);
                    lost = l == null ? lost : l;
                    horizon = s.number("horizon", 5, 86_400, horizon);
                }
                case "watch" ->
                        watch = s.part("how many seconds must be without harm", 0.5, 3600, watch);
                case "harm" -> harm = s.part("the part of the txns", 0, 1, harm);
                case "lag-ms" -> lag = s.whole("how far behind the log", 1, 3_600_000, lag);
                case "room" ->
                        room = s.part("how many txns a member has room for", 0, 100_000, room);
                default -> {
                    machine(s, machines, holders);
                    within = true;
                }
            }
            s.end(within);
        }
        work.end(true);
        if (machines.isEmpty()) {
            work.problem("'work' needs machines");
        }
        return new MaintenanceSettings(
                machines,
                atOnce,
                lost,
                millis(horizon),
                millis(watch),
                harm,
                Duration.ofMillis(lag),
                room,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO);
    }

    private static Duration millis(double seconds) {
        return Duration.ofMillis(Math.round(seconds * 1000));
    }

    private static void machine(
            Section s, Map<String, Machine> machines, Map<String, String> holders) {
        String name = named(s, "the machine's name");
        String zone = s.text("zone", "the machine's zone", "");
        if (!zone.matches(NAME)) {
            s.problem("a machine needs zone: no two zones are worked on together");
        }
        List<MemberPattern> parts = new ArrayList<>();
        List<String> drivers = new ArrayList<>();
        for (Section p : s.within(Set.of("member", "driver"), Set.of())) {
            String what = named(p, p.name().equals("member") ? "a member's id" : "a driver's name");
            int group =
                    p.name().equals("member")
                            ? (int) p.number("group", 0, Integer.MAX_VALUE, -1)
                            : 0;
            if (group < 0) {
                p.problem("a member needs group");
            }
            p.end(false);
            if (what != null
                    && holders.putIfAbsent(p.name() + " " + what, String.valueOf(name)) != null) {
                p.problem(
                        "'"
                                + what
                                + "' is on '"
                                + holders.get(p.name() + " " + what)
                                + "' already");
            }
            if (what != null && p.name().equals("member")) {
                parts.add(new MemberPattern(what, group));
            } else if (what != null) {
                drivers.add(what);
            }
        }
        if (parts.isEmpty() && drivers.isEmpty()) {
            s.problem("a machine holds members or drivers");
        }
        if (machines.size() >= MOST_MACHINES) {
            s.problem("more than " + MOST_MACHINES + " machines");
        }
        if (name != null
                && machines.put(
                                name,
                                new Machine(name, zone, List.copyOf(parts), List.copyOf(drivers)))
                        != null) {
            s.problem("the machine '" + name + "' is listed already");
        }
    }

    private static String named(Section s, String what) {
        String name = s.word(what);
        if (name != null && !name.matches(NAME)) {
            s.problem("'" + name + "' is no name: letters, digits and . _ : - are");
            return null;
        }
        return name;
    }

    /** All settings in force, in the file's own form. */
    static Node whole(MaintenanceSettings w) {
        List<Node> within = new ArrayList<>();
        within.add(one("at-once", (long) w.maxConcurrent()));
        within.add(
                node(
                        "lost-view",
                        List.of(value(w.lostViewPolicy().name().toLowerCase(Locale.ROOT))),
                        Map.of("horizon", value(w.strictHorizon().toMillis() / 1000.0))));
        within.add(one("watch", w.watchPeriod().toMillis() / 1000.0));
        within.add(one("harm", w.maxHarmIncrease()));
        within.add(one("lag-ms", w.maxReplicationLag().toMillis()));
        within.add(one("room", w.memberCapacityTxns()));
        for (Machine m : w.machines().values()) {
            List<Node> holds = new ArrayList<>();
            for (MemberPattern p : m.members()) {
                Map<String, Value> group = Map.of("group", value((long) p.group()));
                holds.add(node("member", List.of(value(p.uid())), group));
            }
            m.drivers().forEach(d -> holds.add(one("driver", d)));
            within.add(
                    new Node(
                            "machine",
                            List.of(value(m.name())),
                            Map.of("zone", value(m.zone())),
                            holds));
        }
        return new Node("work", List.of(), Map.of(), within);
    }

    private static Node one(String name, Object it) {
        return node(name, List.of(value(it)), Map.of());
    }
}
