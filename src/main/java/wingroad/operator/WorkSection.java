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
 * Reads and writes the {@code work} node within {@code fleet}: the machines, and the limits of
 * maintenance work on them.
 */
final class WorkSection {
    /** Names appear in text lines where blanks, commas and operators are separators. */
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._:-]{0,62}\\*?";

    private static final int MAX_MACHINE_COUNT = 4096;
    private static final int MAX_CONCURRENT_MACHINES = 64;
    private static final int DEFAULT_STRICT_HORIZON_S = 60;
    private static final int DEFAULT_WATCH_PERIOD_S = 10;
    private static final double DEFAULT_MAX_HARM_INCREASE = 0.02;
    private static final int DEFAULT_MAX_LAG_MS = 1000;

    private WorkSection() {}

    /** Reads the maintenance settings; problems are added to the reader's list. */
    static MaintenanceSettings read(NodeReader work) {
        int maxConcurrent = 1;
        LostViewPolicy lostViewPolicy = LostViewPolicy.STEADY;
        double strictHorizonS = DEFAULT_STRICT_HORIZON_S;
        double watchPeriodS = DEFAULT_WATCH_PERIOD_S;
        double maxHarmIncrease = DEFAULT_MAX_HARM_INCREASE;
        long maxLagMs = DEFAULT_MAX_LAG_MS;
        double memberCapacityTxns = 0;
        Map<String, Machine> machines = new LinkedHashMap<>();
        Map<String, String> machineByHosted = new LinkedHashMap<>();
        for (NodeReader section :
                work.children(
                        Set.of(
                                "at-once",
                                "lost-view",
                                "watch",
                                "harm",
                                "lag-ms",
                                "room",
                                "machine"),
                        Set.of("at-once", "lost-view", "watch", "harm", "lag-ms", "room"))) {
            boolean hasChildren = false;
            switch (section.name()) {
                case "at-once" ->
                        maxConcurrent =
                                (int)
                                        section.integerArgument(
                                                "how many machines",
                                                1,
                                                MAX_CONCURRENT_MACHINES,
                                                maxConcurrent);
                case "lost-view" -> {
                    Map<String, LostViewPolicy> policiesByName = new LinkedHashMap<>();
                    for (LostViewPolicy policy : LostViewPolicy.values()) {
                        policiesByName.put(policy.name().toLowerCase(Locale.ROOT), policy);
                    }
                    LostViewPolicy policy =
                            section.choiceArgument(
                                    "what a driver does when its view has expired", policiesByName);
                    lostViewPolicy = policy == null ? lostViewPolicy : policy;
                    strictHorizonS = section.numberProperty("horizon", 5, 86_400, strictHorizonS);
                }
                case "watch" ->
                        watchPeriodS =
                                section.numberArgument(
                                        "how many seconds must pass without harm",
                                        0.5,
                                        3600,
                                        watchPeriodS);
                case "harm" ->
                        maxHarmIncrease =
                                section.numberArgument(
                                        "the share of the txns", 0, 1, maxHarmIncrease);
                case "lag-ms" ->
                        maxLagMs =
                                section.integerArgument(
                                        "the replication lag in milliseconds",
                                        1,
                                        3_600_000,
                                        maxLagMs);
                case "room" ->
                        memberCapacityTxns =
                                section.numberArgument(
                                        "how many txns a member can run at once",
                                        0,
                                        100_000,
                                        memberCapacityTxns);
                default -> {
                    readMachine(section, machines, machineByHosted);
                    hasChildren = true;
                }
            }
            section.reportUnexpected(hasChildren);
        }
        work.reportUnexpected(true);
        if (machines.isEmpty()) {
            work.addProblem("'work' needs machines");
        }
        return new MaintenanceSettings(
                machines,
                maxConcurrent,
                lostViewPolicy,
                durationOfSeconds(strictHorizonS),
                durationOfSeconds(watchPeriodS),
                maxHarmIncrease,
                Duration.ofMillis(maxLagMs),
                memberCapacityTxns,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO);
    }

    private static Duration durationOfSeconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * 1000));
    }

    private static void readMachine(
            NodeReader node, Map<String, Machine> machines, Map<String, String> machineByHosted) {
        String name = nameArgument(node, "the machine's name");
        String zone = node.stringProperty("zone", "the machine's zone", "");
        if (!zone.matches(NAME_PATTERN)) {
            node.addProblem("a machine needs zone: maintenance runs in one zone at a time");
        }
        List<MemberPattern> members = new ArrayList<>();
        List<String> drivers = new ArrayList<>();
        for (NodeReader child : node.children(Set.of("member", "driver"), Set.of())) {
            String hosted =
                    nameArgument(
                            child,
                            child.name().equals("member") ? "a member's id" : "a driver's name");
            int group =
                    child.name().equals("member")
                            ? (int) child.numberProperty("group", 0, Integer.MAX_VALUE, -1)
                            : 0;
            if (group < 0) {
                child.addProblem("a member needs group");
            }
            child.reportUnexpected(false);
            if (hosted != null
                    && machineByHosted.putIfAbsent(
                                    child.name() + " " + hosted, String.valueOf(name))
                            != null) {
                child.addProblem(
                        "'"
                                + hosted
                                + "' is on '"
                                + machineByHosted.get(child.name() + " " + hosted)
                                + "' already");
            }
            if (hosted != null && child.name().equals("member")) {
                members.add(new MemberPattern(hosted, group));
            } else if (hosted != null) {
                drivers.add(hosted);
            }
        }
        if (members.isEmpty() && drivers.isEmpty()) {
            node.addProblem("a machine holds members or drivers");
        }
        if (machines.size() >= MAX_MACHINE_COUNT) {
            node.addProblem("more than " + MAX_MACHINE_COUNT + " machines");
        }
        if (name != null
                && machines.put(
                                name,
                                new Machine(name, zone, List.copyOf(members), List.copyOf(drivers)))
                        != null) {
            node.addProblem("the machine '" + name + "' is listed already");
        }
    }

    private static String nameArgument(NodeReader node, String description) {
        String name = node.stringArgument(description);
        if (name != null && !name.matches(NAME_PATTERN)) {
            node.addProblem(
                    "'"
                            + name
                            + "' is no name: only letters, digits, '.', '_', ':' and '-' are"
                            + " allowed");
            return null;
        }
        return name;
    }

    /** Returns all effective settings, defaults included, in the file's own form. */
    static Node toNode(MaintenanceSettings settings) {
        List<Node> children = new ArrayList<>();
        children.add(singleValueNode("at-once", (long) settings.maxConcurrent()));
        children.add(
                node(
                        "lost-view",
                        List.of(value(settings.lostViewPolicy().name().toLowerCase(Locale.ROOT))),
                        Map.of("horizon", value(settings.strictHorizon().toMillis() / 1000.0))));
        children.add(singleValueNode("watch", settings.watchPeriod().toMillis() / 1000.0));
        children.add(singleValueNode("harm", settings.maxHarmIncrease()));
        children.add(singleValueNode("lag-ms", settings.maxReplicationLag().toMillis()));
        children.add(singleValueNode("room", settings.memberCapacityTxns()));
        for (Machine machine : settings.machines().values()) {
            List<Node> hosted = new ArrayList<>();
            for (MemberPattern member : machine.members()) {
                Map<String, Value> group = Map.of("group", value((long) member.group()));
                hosted.add(node("member", List.of(value(member.uid())), group));
            }
            machine.drivers().forEach(driver -> hosted.add(singleValueNode("driver", driver)));
            children.add(
                    new Node(
                            "machine",
                            List.of(value(machine.name())),
                            Map.of("zone", value(machine.zone())),
                            hosted));
        }
        return new Node("work", List.of(), Map.of(), children);
    }

    private static Node singleValueNode(String name, Object value) {
        return node(name, List.of(value(value)), Map.of());
    }
}
