package wingroad.operator;

import static wingroad.operator.OperatorFile.node;
import static wingroad.operator.OperatorFile.value;

import wingroad.duty.Lease;
import wingroad.fleet.FleetConfig;
import wingroad.fleet.FleetConfig.Chore;
import wingroad.kdl.Node;
import wingroad.kdl.Value;
import wingroad.protocol.MemberList;
import wingroad.work.MaintenanceSettings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads and writes the {@code fleet} node of the operator's file. */
final class FleetSection {
    /** Names appear in session ids and file names. */
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

    /** A leader election takes up to 3 s; a shorter lease would expire during each one. */
    private static final int MIN_LEASE_MS = 3000;

    private static final int MAX_LEASE_MS = 600_000;
    private static final int DEFAULT_LEASE_MS = 5000;
    private static final double MAX_ALLOWED_CLOCK_DRIFT = 0.2;
    private static final double DEFAULT_MAX_CLOCK_DRIFT = 0.01;
    private static final int DEFAULT_LIST_CHECK_S = 60;
    private static final int MAX_VOTER_COUNT = 5;
    private static final int MAX_CHORE_COUNT = 256;
    private static final int MAX_STATEMENT_CHARS = 4096;

    private FleetSection() {}

    /** Reads the fleet's settings; problems are added to the reader's list. */
    static FleetConfig read(NodeReader fleet) {
        String name = nameArgument(fleet, "the fleet's name");
        String driver = "";
        String listen = null;
        String stateFolder = null;
        long leaseMs = DEFAULT_LEASE_MS;
        double maxClockDrift = DEFAULT_MAX_CLOCK_DRIFT;
        boolean trustedNetwork = false;
        Map<String, String> voters = new LinkedHashMap<>();
        List<Chore> chores = new ArrayList<>();
        Duration listCheckInterval = null;
        MaintenanceSettings maintenance = null;
        Set<String> singletons =
                Set.of(
                        "driver",
                        "listen",
                        "state",
                        "lease-ms",
                        "drift",
                        "trusted-network",
                        "list",
                        "work");
        for (NodeReader section :
                fleet.children(
                        Set.of(
                                "driver",
                                "listen",
                                "voter",
                                "state",
                                "lease-ms",
                                "drift",
                                "trusted-network",
                                "chore",
                                "list",
                                "work"),
                        singletons)) {
            if (section.name().equals("work")) {
                maintenance = WorkSection.read(section);
                continue;
            }
            switch (section.name()) {
                case "driver" -> driver = nameArgument(section, "this driver's name");
                case "listen" -> listen = addressArgument(section, "the address to listen at");
                case "state" -> stateFolder = section.stringArgument("a folder");
                case "lease-ms" ->
                        leaseMs =
                                section.integerArgument(
                                        "how long a lease lasts",
                                        MIN_LEASE_MS,
                                        MAX_LEASE_MS,
                                        leaseMs);
                case "drift" ->
                        maxClockDrift =
                                section.numberArgument(
                                        "how far a clock may run fast or slow",
                                        0,
                                        MAX_ALLOWED_CLOCK_DRIFT,
                                        maxClockDrift);
                case "trusted-network" -> trustedNetwork = section.booleanArgument(false);
                case "voter" -> {
                    String voter = nameArgument(section, "a voter's name");
                    String address = addressArgument(section, "its address");
                    if (voter != null
                            && voters.put(voter, address == null ? "" : address) != null) {
                        section.addProblem("the voter '" + voter + "' is listed already");
                    }
                }
                case "list" ->
                        listCheckInterval =
                                Duration.ofMillis(
                                        Math.round(
                                                section.numberProperty(
                                                                "check",
                                                                1,
                                                                600,
                                                                DEFAULT_LIST_CHECK_S)
                                                        * 1000));
                default -> readChore(section, chores);
            }
            section.reportUnexpected(false);
        }
        fleet.reportUnexpected(true);
        if (stateFolder == null) {
            fleet.addProblem("'fleet' needs state, the folder for persistent state");
        }
        if (voters.isEmpty() || voters.size() > MAX_VOTER_COUNT || voters.size() % 2 == 0) {
            fleet.addProblem(
                    "found "
                            + voters.size()
                            + " voters, expected 1, 3 or 5: an even number tolerates no more"
                            + " failures than one less");
        }
        if (voters.containsKey(driver) && listen == null) {
            fleet.addProblem("'" + driver + "' is a voter and needs listen");
        }
        List<String> listenAddresses = new ArrayList<>(voters.values());
        listenAddresses.add(listen == null ? "127.0.0.1:1" : listen);
        if (!trustedNetwork
                && !listenAddresses.stream()
                        .allMatch(
                                a ->
                                        a.isEmpty()
                                                || a.startsWith("127.")
                                                || a.startsWith("[::1]"))) {
            fleet.addProblem(
                    "an address that is not loopback needs trusted-network #true: drivers' messages"
                            + " are not signed");
        }
        return new FleetConfig(
                name,
                driver,
                listen,
                voters,
                Path.of(stateFolder == null ? "." : stateFolder),
                new Lease(Duration.ofMillis(leaseMs), maxClockDrift),
                List.copyOf(chores),
                listCheckInterval,
                maintenance);
    }

    private static String nameArgument(NodeReader node, String description) {
        String name = node.stringArgument(description);
        if (name != null && !name.matches(NAME_PATTERN)) {
            node.addProblem(
                    "'"
                            + name
                            + "' is no name: only letters, digits, '.', '_' and '-' are allowed");
        }
        return name;
    }

    private static String addressArgument(NodeReader node, String description) {
        String address = node.stringArgument(description);
        if (address == null) {
            return null;
        }
        int colon = address.lastIndexOf(':');
        if (colon <= 0
                || !address.substring(colon + 1).matches("[0-9]{1,5}")
                || Integer.parseInt(address.substring(colon + 1)) > 0xffff
                || !MemberList.isIpLiteral(address.substring(0, colon))) {
            node.addProblem("'" + address + "' is no address, such as 127.0.0.1:7400");
            return null;
        }
        return address;
    }

    private static void readChore(NodeReader node, List<Chore> chores) {
        String name = nameArgument(node, "the chore's name");
        double every = node.numberProperty("every", 0.5, 86_400, 0);
        int group = (int) node.numberProperty("group", 0, Integer.MAX_VALUE, -1);
        String statement = node.stringProperty("statement", "an SQL statement", "");
        if (every == 0) {
            node.addProblem("a chore needs every, in seconds from 0.5 to 86400");
        }
        if (group < 0) {
            node.addProblem("a chore needs group, whose primary runs it");
        }
        if (!statement.contains("{epoch}")) {
            node.addProblem(
                    "a chore's statement needs {epoch}: without it the member can't reject a stale"
                            + " owner");
        }
        if (statement.length() > MAX_STATEMENT_CHARS
                || statement.contains("*/")
                || statement.indexOf('\0') >= 0) {
            node.addProblem(
                    "a statement has at most "
                            + MAX_STATEMENT_CHARS
                            + " characters, and no '*/' or zero byte");
        }
        if (chores.size() >= MAX_CHORE_COUNT) {
            node.addProblem("more than " + MAX_CHORE_COUNT + " chores");
        }
        if (name != null && chores.stream().anyMatch(c -> c.name().equals(name))) {
            node.addProblem("the chore '" + name + "' is listed already");
        }
        chores.add(
                new Chore(
                        name == null ? "" : name,
                        Duration.ofMillis(Math.round(every * 1000)),
                        group,
                        statement));
    }

    /** Returns all effective settings, defaults included, in the file's own form. */
    static Node toNode(FleetConfig config) {
        List<Node> children = new ArrayList<>();
        children.add(node("driver", List.of(value(config.driver())), Map.of()));
        if (config.listenAddress() != null) {
            children.add(node("listen", List.of(value(config.listenAddress())), Map.of()));
        }
        config.voterAddresses()
                .forEach(
                        (voter, address) ->
                                children.add(
                                        node(
                                                "voter",
                                                List.of(value(voter), value(address)),
                                                Map.of())));
        children.add(node("state", List.of(value(config.stateFolder().toString())), Map.of()));
        children.add(
                node("lease-ms", List.of(value(config.lease().duration().toMillis())), Map.of()));
        children.add(node("drift", List.of(value(config.lease().maxClockDrift())), Map.of()));
        if (config.listCheckInterval() != null) {
            children.add(
                    node(
                            "list",
                            List.of(),
                            Map.of(
                                    "check",
                                    value(config.listCheckInterval().toMillis() / 1000.0))));
        }
        for (Chore chore : config.chores()) {
            Map<String, Value> properties = new LinkedHashMap<>();
            properties.put("every", value(chore.interval().toMillis() / 1000.0));
            properties.put("group", value((long) chore.group()));
            properties.put("statement", value(chore.statement()));
            children.add(node("chore", List.of(value(chore.name())), properties));
        }
        if (config.maintenance() != null) {
            children.add(WorkSection.toNode(config.maintenance()));
        }
        return new Node("fleet", List.of(value(config.name())), Map.of(), children);
    }
}
