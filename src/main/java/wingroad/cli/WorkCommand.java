package wingroad.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import wingroad.fleet.FleetConfig;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;

/** What operators ask of a fleet about work on machines, through any voter that answers. */
@Command(
        name = "work",
        mixinStandardHelpOptions = true,
        description =
                "Takes machines out for work and brings them back, in an order that the drivers"
                        + " settle. See docs/operators/work.md.",
        subcommands = {
            WorkCommand.Ask.class,
            WorkCommand.Plan.class,
            WorkCommand.Show.class,
            WorkCommand.Done.class,
            WorkCommand.Back.class,
            WorkCommand.Cancel.class,
            WorkCommand.Hold.class,
            WorkCommand.Go.class,
            WorkCommand.Gone.class
        })
final class WorkCommand implements Callable<Integer> {
    private static final int EXIT_INVALID_INPUT = 2;
    private static final int EXIT_REFUSED = 1;
    private static final String ALL_MACHINES = "*";

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return EXIT_INVALID_INPUT;
    }

    /** One that changes something: asked under one id until it is settled. */
    abstract static class ChangeCommand extends FleetCommand.VoterCommand {
        @Option(
                names = "--id",
                description = "The id of the request: the same again is done once; a new one else.")
        String id;

        @Option(
                names = "--within",
                paramLabel = "S",
                defaultValue = "10",
                description = "Tries for so many seconds; ${DEFAULT-VALUE}.")
        double timeoutSeconds;

        /** Asks for one machine until that is settled; empty, or why it is refused. */
        String submitUntilSettled(FleetConfig config, String machine, VoterRequest<String> request)
                throws IOException {
            long deadlineNanos = System.nanoTime() + (long) (timeoutSeconds * 1e9);
            while (true) {
                try {
                    return firstResponse(config, request);
                } catch (IOException e) {
                    if (System.nanoTime() > deadlineNanos) {
                        throw e;
                    }
                }
            }
        }

        String requestIdFor(String machine) {
            return (id == null ? UUID.randomUUID().toString() : id) + " " + machine;
        }

        int printOutcomes(Map<String, String> refusals) throws IOException {
            boolean anyRefused = false;
            for (Map.Entry<String, String> refusal : refusals.entrySet()) {
                boolean settled = refusal.getValue().isEmpty();
                anyRefused |= !settled;
                System.out.println(
                        json
                                ? FleetCommand.toJson(
                                        new java.util.TreeMap<>(
                                                Map.of(
                                                        "machine",
                                                        refusal.getKey(),
                                                        "settled",
                                                        settled,
                                                        "why",
                                                        refusal.getValue())))
                                : refusal.getKey()
                                        + ": "
                                        + (settled ? "settled" : "refused: " + refusal.getValue()));
            }
            return anyRefused ? EXIT_REFUSED : 0;
        }
    }

    @Command(
            name = "ask",
            mixinStandardHelpOptions = true,
            description =
                    "Wants machines out. Answered once that is settled; exit status 1: one can"
                            + " never be had, with the reason.")
    static final class Ask extends ChangeCommand {
        @Parameters(
                paramLabel = "MACHINE",
                arity = "1..*",
                description = "As the operator's file names them.")
        List<String> machines;

        @Option(
                names = "--for",
                paramLabel = "SPAN",
                defaultValue = "0s",
                description = "How long work takes, such as 20m; who is out for longer is told.")
        String duration;

        @Option(names = "--why", defaultValue = "", description = "For people.")
        String why;

        @Option(
                names = "--before",
                paramLabel = "TIME",
                description = "It has to be out before, such as 2026-12-06T06:00:00Z.")
        String deadline;

        @Option(
                names = "--after",
                paramLabel = "MACHINE",
                arity = "1",
                description = "Not while this one is asked for.")
        List<String> predecessors = List.of();

        @Override
        int execute(FleetConfig config) throws IOException {
            long durationMs;
            long deadlineUnixMs;
            try {
                durationMs =
                        Duration.parse("PT" + duration.toUpperCase(java.util.Locale.ROOT))
                                .toMillis();
                deadlineUnixMs = deadline == null ? 0 : Instant.parse(deadline).toEpochMilli();
            } catch (DateTimeParseException e) {
                System.err.println(
                        "wingroad: '"
                                + e.getParsedString()
                                + "' is no span, such as 20m, or no time");
                return EXIT_INVALID_INPUT;
            }
            Map<String, String> refusals = new LinkedHashMap<>();
            for (String machine : machines) {
                String requestId = requestIdFor(machine);
                refusals.put(
                        machine,
                        submitUntilSettled(
                                config,
                                machine,
                                client ->
                                        client.requestMaintenance(
                                                machine,
                                                why,
                                                durationMs,
                                                deadlineUnixMs,
                                                predecessors,
                                                requestId)));
            }
            return printOutcomes(refusals);
        }
    }

    /** A word on one machine, or several. */
    abstract static class MachinesCommand extends ChangeCommand {
        @Parameters(
                paramLabel = "MACHINE",
                arity = "1..*",
                description = "As the operator's file names them.")
        List<String> machines;

        abstract String operatorCommand();

        @Override
        int execute(FleetConfig config) throws IOException {
            Map<String, String> refusals = new LinkedHashMap<>();
            for (String machine : machines) {
                String requestId = requestIdFor(machine);
                refusals.put(
                        machine,
                        submitUntilSettled(
                                config,
                                machine,
                                client ->
                                        client.sendOperatorCommand(
                                                operatorCommand(), machine, requestId)));
            }
            return printOutcomes(refusals);
        }
    }

    @Command(
            name = "done",
            mixinStandardHelpOptions = true,
            description = "Work on it is done and it runs again: it is brought back.")
    static final class Done extends MachinesCommand {
        @Override
        String operatorCommand() {
            return "done";
        }
    }

    @Command(
            name = "back",
            mixinStandardHelpOptions = true,
            description = "It is to be back, however far it has come.")
    static final class Back extends MachinesCommand {
        @Override
        String operatorCommand() {
            return "back";
        }
    }

    @Command(
            name = "cancel",
            mixinStandardHelpOptions = true,
            description = "It is no more asked for; not once it is out.")
    static final class Cancel extends MachinesCommand {
        @Override
        String operatorCommand() {
            return "cancel";
        }
    }

    @Command(
            name = "gone",
            mixinStandardHelpOptions = true,
            description =
                    "Drivers without a session have ended for certain: nobody waits for them any"
                            + " more.")
    static final class Gone extends MachinesCommand {
        @Override
        String operatorCommand() {
            return "gone";
        }
    }

    /** A word on machines, or on all. */
    abstract static class MachinesOrAllCommand extends ChangeCommand {
        @Parameters(
                paramLabel = "MACHINE",
                arity = "0..*",
                description = "As the operator's file names them.")
        List<String> machines = List.of();

        @Option(names = "--all", description = "All, those not yet asked for as well.")
        boolean all;

        abstract String operatorCommand();

        @Override
        int execute(FleetConfig config) throws IOException {
            if (all == !machines.isEmpty()) {
                System.err.println("wingroad: machines, or --all");
                return EXIT_INVALID_INPUT;
            }
            Map<String, String> refusals = new LinkedHashMap<>();
            for (String machine : all ? List.of(ALL_MACHINES) : machines) {
                String requestId = requestIdFor(machine);
                refusals.put(
                        machine,
                        submitUntilSettled(
                                config,
                                machine,
                                client ->
                                        client.sendOperatorCommand(
                                                operatorCommand(), machine, requestId)));
            }
            return printOutcomes(refusals);
        }
    }

    @Command(
            name = "hold",
            mixinStandardHelpOptions = true,
            description =
                    "Nothing more is begun, and what drains is put back at once; what is out stays"
                            + " out.")
    static final class Hold extends MachinesOrAllCommand {
        @Override
        String operatorCommand() {
            return "hold";
        }
    }

    @Command(name = "go", mixinStandardHelpOptions = true, description = "The end of a hold.")
    static final class Go extends MachinesOrAllCommand {
        @Override
        String operatorCommand() {
            return "go";
        }
    }

    @Command(
            name = "plan",
            mixinStandardHelpOptions = true,
            description = "All that is asked for, how far it is, what it waits for.")
    static final class Plan extends FleetCommand.VoterCommand {
        @Override
        int execute(FleetConfig config) throws IOException {
            Map<String, Object> maintenance = maintenanceStatus(newestStatus(config));
            if (json) {
                System.out.println(FleetCommand.toJson(maintenance));
                return 0;
            }
            System.out.println(
                    FleetCommand.asMaps(maintenance.get("machines")).size()
                            + " machines, "
                            + FleetCommand.asMaps(maintenance.get("entries")).size()
                            + " asked for"
                            + (Boolean.TRUE.equals(maintenance.get("held")) ? ", all held" : ""));
            FleetCommand.asMaps(maintenance.get("entries"))
                    .forEach(
                            entry ->
                                    System.out.printf(
                                            "  %-16s %-10s %s%s%n",
                                            entry.get("machine"),
                                            entry.get("stage"),
                                            entry.get("why"),
                                            String.valueOf(entry.get("waits")).isEmpty()
                                                    ? ""
                                                    : "; waits: " + entry.get("waits")));
            if (maintenance.get("astray") instanceof List<?> l && !l.isEmpty()) {
                System.out.println("  without a session, not known to have stopped: " + l);
            }
            return 0;
        }
    }

    private static Map<String, Object> maintenanceStatus(Map<String, Object> status)
            throws IOException {
        if (status.get("work") instanceof Map<?, ?>) {
            return wingroad.protocol.Json.object(status.get("work"), "the plan");
        }
        throw new IOException("this fleet has no work node in its files");
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "One machine: what it holds, how far it is, what was.")
    static final class Show extends FleetCommand.VoterCommand {
        @Parameters(paramLabel = "MACHINE", description = "As the operator's file names it.")
        String machine;

        @Override
        int execute(FleetConfig config) throws IOException {
            Map<String, Object> maintenance = maintenanceStatus(newestStatus(config));
            Map<String, Object> machineStatus =
                    FleetCommand.asMaps(maintenance.get("machines")).stream()
                            .filter(m -> machine.equals(m.get("name")))
                            .findFirst()
                            .orElse(null);
            if (machineStatus == null) {
                System.err.println("wingroad: there is no machine '" + machine + "'");
                return EXIT_REFUSED;
            }
            Map<String, Object> entry =
                    FleetCommand.asMaps(maintenance.get("entries")).stream()
                            .filter(e -> machine.equals(e.get("machine")))
                            .findFirst()
                            .orElse(Map.of("stage", "in"));
            List<String> lines =
                    ((List<?>) maintenance.get("history"))
                            .stream()
                                    .map(String::valueOf)
                                    .filter(
                                            l ->
                                                    l.matches(
                                                            "[0-9]+ (\\*|"
                                                                    + java.util.regex.Pattern.quote(
                                                                            machine)
                                                                    + ") .*"))
                                    .toList();
            if (json) {
                System.out.println(
                        FleetCommand.toJson(
                                Map.of(
                                        "machine",
                                        machineStatus,
                                        "entry",
                                        entry,
                                        "history",
                                        lines)));
                return 0;
            }
            System.out.println(
                    machine
                            + ", zone "
                            + machineStatus.get("zone")
                            + ", members "
                            + machineStatus.get("members")
                            + ", drivers "
                            + machineStatus.get("drivers"));
            System.out.println(
                    "  "
                            + entry.get("stage")
                            + (entry.containsKey("waits") ? ", waits: " + entry.get("waits") : ""));
            lines.forEach(
                    l ->
                            System.out.println(
                                    "  "
                                            + FleetCommand.formatTime(
                                                    Long.parseLong(l.substring(0, l.indexOf(' '))))
                                            + l.substring(l.indexOf(' '))));
            return 0;
        }
    }
}
