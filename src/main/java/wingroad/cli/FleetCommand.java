package wingroad.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import wingroad.fleet.FleetClient;
import wingroad.fleet.FleetConfig;
import wingroad.operator.OperatorFile;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;

/** Commands for a running fleet, answered by any reachable voter. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description =
                "Shows the status of a running fleet, its drivers and the owners of duties; hands"
                        + " duties over. See docs/operators/fleet.md.",
        subcommands = {
            FleetCommand.Status.class,
            FleetCommand.Watch.class,
            FleetCommand.History.class,
            FleetCommand.HandOver.class,
            FleetCommand.Voters.class
        })
final class FleetCommand implements Callable<Integer> {
    private static final int EXIT_INVALID_INPUT = 2;

    /** Exit status when no voter answers. */
    private static final int EXIT_NO_ANSWER = 3;

    private static final int EXIT_REFUSED = 1;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return EXIT_INVALID_INPUT;
    }

    /** A command that queries or changes the fleet of an operator's file. */
    abstract static class VoterCommand implements Callable<Integer> {
        @Option(
                names = "--operator",
                paramLabel = "FILE",
                required = true,
                description = "The operator's file of the fleet, which lists its voters.")
        Path operatorFile;

        @Option(names = "--json", description = "Prints JSON.")
        boolean json;

        /** A request to one voter. */
        interface VoterRequest<T> {
            T send(FleetClient client) throws IOException;
        }

        abstract int execute(FleetConfig config) throws IOException;

        @Override
        public Integer call() {
            OperatorFile.LoadResult loaded = OperatorFile.read(operatorFile);
            if (loaded.file() == null || loaded.file().fleet() == null) {
                loaded.problems().forEach(p -> System.err.println(operatorFile + ":" + p));
                if (loaded.file() != null) {
                    System.err.println(operatorFile + ": has no fleet");
                }
                return EXIT_INVALID_INPUT;
            }
            try {
                return execute(loaded.file().fleet());
            } catch (IOException e) {
                System.err.println("wingroad: no voter answers: " + e.getMessage());
                return EXIT_NO_ANSWER;
            }
        }

        /** Sends the request to the voters in turn until one answers. */
        static <T> T firstResponse(FleetConfig config, VoterRequest<T> request) throws IOException {
            List<String> failures = new ArrayList<>();
            for (String voter : config.voterAddresses().keySet()) {
                try (FleetClient client = new FleetClient(config, voter)) {
                    return request.send(client);
                } catch (IOException e) {
                    failures.add(
                            voter
                                    + ": "
                                    + (e.getMessage() == null ? e.toString() : e.getMessage()));
                }
            }
            throw new IOException(String.join("; ", failures));
        }

        /**
         * Returns the status with the highest revision of all voters that answer; key {@code
         * silent} lists the failures of the others.
         */
        static Map<String, Object> newestStatus(FleetConfig config) throws IOException {
            Map<String, Object> newest = null;
            List<String> failures = new ArrayList<>();
            for (String voter : config.voterAddresses().keySet()) {
                try (FleetClient client = new FleetClient(config, voter)) {
                    Map<String, Object> status = client.status();
                    newest =
                            newest == null
                                            || longValue(status, "revision")
                                                    > longValue(newest, "revision")
                                    ? status
                                    : newest;
                } catch (IOException e) {
                    failures.add(
                            voter
                                    + ": "
                                    + (e.getMessage() == null ? e.toString() : e.getMessage()));
                }
            }
            if (newest == null) {
                throw new IOException(String.join("; ", failures));
            }
            newest.put("silent", failures);
            return newest;
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description =
                    "Shows drivers, voters, the leader and the owners of duties. Exit status 3: no"
                            + " voter answers.")
    static final class Status extends VoterCommand {
        @Override
        int execute(FleetConfig config) throws IOException {
            Map<String, Object> status = newestStatus(config);
            System.out.print(json ? toJson(status) + "\n" : formatStatus(status));
            return 0;
        }
    }

    @Command(
            name = "watch",
            mixinStandardHelpOptions = true,
            description = "Shows the status repeatedly until interrupted.")
    static final class Watch extends VoterCommand {
        @Option(
                names = "--every",
                paramLabel = "S",
                defaultValue = "2",
                description = "Interval in seconds; default ${DEFAULT-VALUE}.")
        double intervalSeconds;

        @Option(names = "--times", paramLabel = "N", description = "Ends after this many rounds.")
        int maxRounds;

        @Override
        int execute(FleetConfig config) throws IOException {
            for (int round = 1; maxRounds == 0 || round <= maxRounds; round++) {
                try {
                    Map<String, Object> status = newestStatus(config);
                    System.out.print(
                            json
                                    ? toJson(status) + "\n"
                                    : Instant.now().truncatedTo(ChronoUnit.SECONDS)
                                            + "\n"
                                            + formatStatus(status));
                } catch (IOException e) {
                    System.out.println(
                            Instant.now().truncatedTo(ChronoUnit.SECONDS)
                                    + " no voter answers: "
                                    + e.getMessage());
                }
                if (round != maxRounds) {
                    try {
                        Thread.sleep(Duration.ofMillis((long) (intervalSeconds * 1000)).toMillis());
                    } catch (InterruptedException e) {
                        return 0;
                    }
                }
            }
            return 0;
        }
    }

    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description = "Shows the history of a duty, oldest first.")
    static final class History extends VoterCommand {
        @Parameters(
                paramLabel = "DUTY",
                description = "As status prints it, such as \"chore purge\".")
        String duty;

        @Override
        int execute(FleetConfig config) throws IOException {
            for (Map<String, Object> dutyStatus : asMaps(newestStatus(config).get("duties"))) {
                if (duty.equals(dutyStatus.get("name"))) {
                    for (Object line : (List<?>) dutyStatus.get("history")) {
                        String text = (String) line;
                        int space = text.indexOf(' ');
                        System.out.println(
                                json
                                        ? toJson(
                                                Map.of(
                                                        "at",
                                                        Long.parseLong(text.substring(0, space)),
                                                        "what",
                                                        text.substring(space + 1)))
                                        : formatTime(Long.parseLong(text.substring(0, space)))
                                                + " "
                                                + text.substring(space + 1));
                    }
                    return 0;
                }
            }
            System.err.println("wingroad: there is no duty '" + duty + "'");
            return EXIT_REFUSED;
        }
    }

    @Command(
            name = "hand-over",
            mixinStandardHelpOptions = true,
            description =
                    "Hands a duty over to another driver; returns once the request is committed."
                            + " Exit status 1: refused.")
    static final class HandOver extends VoterCommand {
        @Parameters(
                paramLabel = "DUTY",
                description = "As status prints it, such as \"chore purge\".")
        String duty;

        @Option(
                names = "--to",
                paramLabel = "DRIVER",
                defaultValue = "",
                description = "The new owner; default: any other driver.")
        String targetDriver;

        @Override
        int execute(FleetConfig config) throws IOException {
            // All voters get the same request id, so that a retried request is applied once.
            String requestId = UUID.randomUUID().toString();
            String refusal =
                    firstResponse(config, client -> client.handOver(duty, targetDriver, requestId));
            System.out.println(
                    json
                            ? toJson(Map.of("settled", refusal.isEmpty(), "why", refusal))
                            : refusal.isEmpty()
                                    ? "settled: the owner is asked to give it up"
                                    : "refused: " + refusal);
            return refusal.isEmpty() ? 0 : EXIT_REFUSED;
        }
    }

    @Command(
            name = "voters",
            mixinStandardHelpOptions = true,
            description =
                    "Adds or removes one voter; 'status' shows when the change has taken effect."
                            + " Exit status 1: refused.")
    static final class Voters extends VoterCommand {
        /** The change to the set of voters. */
        enum Change {
            add,
            remove
        }

        @Parameters(index = "0", paramLabel = "add|remove", description = "The change.")
        Change change;

        @Parameters(
                index = "1",
                paramLabel = "DRIVER",
                description = "The driver's name in the fleet.")
        String driver;

        @Parameters(
                index = "2",
                paramLabel = "ADDRESS",
                arity = "0..1",
                defaultValue = "",
                description = "The address on which it listens; only with add.")
        String address;

        @Override
        int execute(FleetConfig config) throws IOException {
            if ((change == Change.add) == address.isEmpty()) {
                System.err.println("wingroad: 'add' needs an address, 'remove' takes none");
                return EXIT_INVALID_INPUT;
            }
            String requestId = UUID.randomUUID().toString();
            String refusal =
                    firstResponse(config, client -> client.changeVoter(driver, address, requestId));
            System.out.println(
                    json
                            ? toJson(Map.of("settled", refusal.isEmpty(), "why", refusal))
                            : refusal.isEmpty()
                                    ? "settled: the leader "
                                            + (change == Change.add ? "lets it in" : "takes it out")
                                    : "refused: " + refusal);
            return refusal.isEmpty() ? 0 : EXIT_REFUSED;
        }
    }

    // ---- output ----

    private static long longValue(Map<String, Object> object, String name) {
        return object.get(name) instanceof Number n ? n.longValue() : 0;
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> asMaps(Object list) {
        return list instanceof List<?> l ? (List<Map<String, Object>>) l : List.of();
    }

    static String formatTime(long unixMs) {
        return unixMs <= 0
                ? "-"
                : Instant.ofEpochMilli(unixMs).truncatedTo(ChronoUnit.MILLIS).toString();
    }

    private static String formatStatus(Map<String, Object> status) {
        StringBuilder page = new StringBuilder();
        String leader = String.valueOf(status.get("leader"));
        page.append("fleet ")
                .append(status.get("fleet"))
                .append(", council ")
                .append(status.get("council"))
                .append(", by ")
                .append(status.get("voter"))
                .append(" (")
                .append(status.get("phase"))
                .append(")\n");
        page.append("voters ")
                .append(status.get("voters"))
                .append(", leader ")
                .append(leader.isEmpty() ? "none" : leader)
                .append(", term ")
                .append(status.get("term"))
                .append('\n');
        if (status.get("silent") instanceof List<?> silent && !silent.isEmpty()) {
            page.append("silent: ").append(silent).append('\n');
        }
        for (Map<String, Object> d : asMaps(status.get("sessions"))) {
            page.append(
                    String.format(
                            "  driver %-16s since %s, last heard %d ms ago%n",
                            d.get("name"),
                            formatTime(longValue(d, "since")),
                            longValue(d, "quiet-ms")));
        }
        for (Map<String, Object> d : asMaps(status.get("duties"))) {
            String owner = String.valueOf(d.get("owner"));
            String wanted = String.valueOf(d.get("wanted"));
            page.append(
                    String.format(
                            "  duty %-24s %-16s epoch %d, turn %d %s%s%n",
                            d.get("name"),
                            owner.isEmpty() ? "(nobody)" : owner,
                            longValue(d, "epoch"),
                            longValue(d, "turn"),
                            d.get("outcome"),
                            wanted.isEmpty()
                                    ? ""
                                    : ", asked back for "
                                            + (wanted.equals("*") ? "any other" : wanted)));
        }
        return page.toString();
    }

    static String toJson(Object value) throws IOException {
        StringWriter writer = new StringWriter();
        try (JsonGenerator generator = new JsonFactory().createGenerator(writer)) {
            writeJson(generator, value);
        }
        return writer.toString();
    }

    private static void writeJson(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Map<?, ?> m) {
            generator.writeStartObject();
            for (Map.Entry<?, ?> e : m.entrySet()) {
                generator.writeFieldName((String) e.getKey());
                writeJson(generator, e.getValue());
            }
            generator.writeEndObject();
        } else if (value instanceof List<?> l) {
            generator.writeStartArray();
            for (Object o : l) {
                writeJson(generator, o);
            }
            generator.writeEndArray();
        } else if (value instanceof Number n) {
            generator.writeNumber(n.longValue());
        } else if (value instanceof Boolean b) {
            generator.writeBoolean(b);
        } else {
            generator.writeString(String.valueOf(value));
        }
    }
}
