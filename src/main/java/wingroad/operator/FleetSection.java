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

/** The node {@code fleet} of the operator's file. */
final class FleetSection {
    /** Names stand in sessions and in file names. */
    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

    /** A change of leaders takes up to 3 s; a lease that is shorter would run out with each one. */
    private static final int SHORTEST_LEASE_MS = 3000;

    private static final int USUAL_LEASE_MS = 5000;
    private static final double USUAL_DRIFT = 0.01;
    private static final int USUAL_CHECK_S = 60;
    private static final int MOST_CHORES = 256;
    private static final int LONGEST_STATEMENT = 4096;

    private FleetSection() {}

    /** The fleet's rules; what is wrong stands in the section's problems. */
    static FleetConfig read(Section fleet) {
        String name = named(fleet, "the fleet's name");
        String driver = "";
        String listen = null;
        String state = null;
        long lease = USUAL_LEASE_MS;
        double drift = USUAL_DRIFT;
        boolean trusted = false;
        Map<String, String> voters = new LinkedHashMap<>();
        List<Chore> chores = new ArrayList<>();
        Duration listCheck = null;
        MaintenanceSettings work = null;
        Set<String> once =
                Set.of(
                        "driver",
                        "listen",
                        "state",
                        "lease-ms",
                        "drift",
                        "trusted-network",
                        "list",
                        "work");
        for (Section s :
                fleet.within(
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
                        once)) {
            if (s.name().equals("work")) {
                work = WorkSection.read(s);
                continue;
            }
            switch (s.name()) {
                case "driver" -> driver = named(s, "this driver's name");
                case "listen" -> listen = address(s, "the address to listen at");
                case "state" -> state = s.word("a folder");
                case "lease-ms" ->
                        lease =
                                s.whole(
                                        "how long a lease lasts",
                                        SHORTEST_LEASE_MS,
                                        600_000,
                                        lease);
                case "drift" ->
                        drift = s.part("how far a clock may run fast or slow", 0, 0.2, drift);
                case "trusted-network" -> trusted = s.flag(false);
                case "voter" -> {
                    String voter = named(s, "a voter's name");
                    String at = address(s, "its address");
                    if (voter != null && voters.put(voter, at == null ? "" : at) != null) {
                        s.problem("the voter '" + voter + "' is listed already");
                    }
                }
                case "list" ->
                        listCheck =
                                Duration.ofMillis(
                                        Math.round(
                                                s.number("check", 1, 600, USUAL_CHECK_S) * 1000));
                default -> chore(s, chores);
            }
            s.end(false);
        }
        fleet.end(true);
        if (state == null) {
            fleet.problem("'fleet' needs state, the folder for what must outlive the process");
        }
        if (voters.isEmpty() || voters.size() > 5 || voters.size() % 2 == 0) {
            fleet.problem(
                    "found "
                            + voters.size()
                            + " voters, expected 1, 3 or 5: an even number bears no more losses"
                            + " than one less");
        }
        if (voters.containsKey(driver) && listen == null) {
            fleet.problem("'" + driver + "' is a voter and needs listen");
        }
        List<String> open = new ArrayList<>(voters.values());
        open.add(listen == null ? "127.0.0.1:1" : listen);
        if (!trusted
                && !open.stream()
                        .allMatch(
                                a ->
                                        a.isEmpty()
                                                || a.startsWith("127.")
                                                || a.startsWith("[::1]"))) {
            fleet.problem(
                    "an address that is not loopback needs trusted-network #true: drivers' messages"
                            + " are not signed");
        }
        return new FleetConfig(
                name,
                driver,
                listen,
                voters,
                Path.of(state == null ? "." : state),
                new Lease(Duration.ofMillis(lease), drift),
                List.copyOf(chores),
                listCheck,
                work);
    }

    private static String named(Section s, String what) {
        String name = s.word(what);
        if (name != null && !name.matches(NAME)) {
            s.problem("'" + name + "' is no name: letters, digits and . _ - are");
        }
        return name;
    }

    private static String address(Section s, String what) {
        String a = s.word(what);
        if (a == null) {
            return null;
        }
        int colon = a.lastIndexOf(':');
        if (colon <= 0
                || !a.substring(colon + 1).matches("[0-9]{1,5}")
                || Integer.parseInt(a.substring(colon + 1)) > 0xffff
                || !MemberList.isIpLiteral(a.substring(0, colon))) {
            s.problem("'" + a + "' is no address, such as 127.0.0.1:7400");
            return null;
        }
        return a;
    }

    private static void chore(Section s, List<Chore> chores) {
        String name = named(s, "the chore's name");
        double every = s.number("every", 0.5, 86_400, 0);
        int group = (int) s.number("group", 0, Integer.MAX_VALUE, -1);
        String statement = s.text("statement", "an SQL statement", "");
        if (every == 0) {
            s.problem("a chore needs every, in seconds from 0.5 to 86400");
        }
        if (group < 0) {
            s.problem("a chore needs group, whose primary runs it");
        }
        if (!statement.contains("{epoch}")) {
            s.problem(
                    "a chore's statement needs {epoch}: without it the member can't tell an owner"
                            + " that woke up late");
        }
        if (statement.length() > LONGEST_STATEMENT
                || statement.contains("*/")
                || statement.indexOf('\0') >= 0) {
            s.problem(
                    "a statement has at most "
                            + LONGEST_STATEMENT
                            + " characters, and no comment's end");
        }
        if (chores.size() >= MOST_CHORES) {
            s.problem("more than " + MOST_CHORES + " chores");
        }
        if (name != null && chores.stream().anyMatch(c -> c.name().equals(name))) {
            s.problem("the chore '" + name + "' is listed already");
        }
        chores.add(
                new Chore(
                        name == null ? "" : name,
                        Duration.ofMillis(Math.round(every * 1000)),
                        group,
                        statement));
    }

    /** All settings in force, in the file's own form. */
    static Node whole(FleetConfig f) {
        List<Node> within = new ArrayList<>();
        within.add(node("driver", List.of(value(f.driver())), Map.of()));
        if (f.listenAddress() != null) {
            within.add(node("listen", List.of(value(f.listenAddress())), Map.of()));
        }
        f.voterAddresses()
                .forEach(
                        (n, a) -> within.add(node("voter", List.of(value(n), value(a)), Map.of())));
        within.add(node("state", List.of(value(f.stateFolder().toString())), Map.of()));
        within.add(node("lease-ms", List.of(value(f.lease().duration().toMillis())), Map.of()));
        within.add(node("drift", List.of(value(f.lease().maxClockDrift())), Map.of()));
        if (f.listCheckInterval() != null) {
            within.add(
                    node(
                            "list",
                            List.of(),
                            Map.of("check", value(f.listCheckInterval().toMillis() / 1000.0))));
        }
        for (Chore c : f.chores()) {
            Map<String, Value> p = new LinkedHashMap<>();
            p.put("every", value(c.interval().toMillis() / 1000.0));
            p.put("group", value((long) c.group()));
            p.put("statement", value(c.statement()));
            within.add(node("chore", List.of(value(c.name())), p));
        }
        if (f.maintenance() != null) {
            within.add(WorkSection.whole(f.maintenance()));
        }
        return new Node("fleet", List.of(value(f.name())), Map.of(), within);
    }
}
