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

/** Commands for maintenance work on machines, answered by any reachable voter. */
@Command(
        name = "work",
        mixinStandardHelpOptions = true,
        description =
                "Takes machines out of service for maintenance and back, in an order that the"
                        + " drivers agree on. See docs/operators/work.md.",
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

    /**
     * A command that changes the plan. It is retried under the same request id until it is
     * committed or times out.
     */
    abstract static class ChangeCommand extends FleetCommand.VoterCommand {
        @Option(
                names = "--id",
                description =
                        "The request id: a repeated request with the same id is applied once;"
                                + " default: a new id.")
        String id;

        @Option(
                names = "--within",
                paramLabel = "S",
                defaultValue = "10",
                description = "Retries for this many seconds; default ${DEFAULT-VALUE}.")
        double timeoutSeconds;

        /**
         * Sends the request for one machine until it is committed; returns an empty string, or why
         * it was refused.
         */
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
                    "Requests machines for maintenance; returns once the request is committed. Exit"
                            + " status 1: one was refused, with the reason.")
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
                description =
                        "How long the work takes, such as 20m; a machine that is out for longer is"
                                + " reported.")
        String duration;

        @Option(names = "--why", defaultValue = "", description = "The reason, shown to operators.")
        String why;

        @Option(
                names = "--before",
                paramLabel = "TIME",
                description =
                        "The time before which it has to be out, such as 2026-12-06T06:00:00Z.")
        String deadline;

        @Option(
                names = "--after",
                paramLabel = "MACHINE",
                arity = "1",
                description = "Starts only once the request for this machine has ended.")
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
                                + "' is no duration, such as 20m, or no time");
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

    /** A command for one or more machines. */
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
            description =
                    "Reports that the work is done and the machine runs again, so that it returns"
                            + " to service.")
    static final class Done extends MachinesCommand {
        @Override
        String operatorCommand() {
            return "done";
        }
    }

    @Command(
            name = "back",
            mixinStandardHelpOptions = true,
            description = "Returns a machine to service, whatever the stage of its maintenance.")
    static final class Back extends MachinesCommand {
        @Override
        String operatorCommand() {
            return "back";
        }
    }

    @Command(
            name = "cancel",
            mixinStandardHelpOptions = true,
            description = "Withdraws a request; refused once the machine is out.")
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
                    "Confirms that drivers without a session have stopped, so that the plan no"
                            + " longer waits for them.")
    static final class Gone extends MachinesCommand {
        @Override
        String operatorCommand() {
            return "gone";
        }
    }

    /** A command for one or more machines, or for all. */
    abstract static class MachinesOrAllCommand extends ChangeCommand {
        @Parameters(
                paramLabel = "MACHINE",
                arity = "0..*",
                description = "As the operator's file names them.")
        List<String> machines = List.of();

        @Option(names = "--all", description = "All machines, including those requested later.")
        boolean all;

        abstract String operatorCommand();

        @Override
        int execute(FleetConfig config) throws IOException {
            if (all == !machines.isEmpty()) {
                System.err.println("wingroad: name machines or give --all");
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
                    "Starts no more maintenance and returns draining machines to service at once;"
                            + " machines that are out stay out.")
    static final class Hold extends MachinesOrAllCommand {
        @Override
        String operatorCommand() {
            return "hold";
        }
    }

    @Command(name = "go", mixinStandardHelpOptions = true, description = "Ends a hold.")
    static final class Go extends MachinesOrAllCommand {
        @Override
        String operatorCommand() {
            return "go";
        }
    }

    @Command(
            name = "plan",
            mixinStandardHelpOptions = true,
            description = "Shows all requests, their stages and what they wait for.")
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
            description = "Shows one machine: its members and drivers, its stage and its history.")
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
