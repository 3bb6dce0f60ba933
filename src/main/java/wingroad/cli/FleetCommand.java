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

/** What operators ask of a fleet that runs, through any voter that answers. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description =
                "Asks a running fleet: who is there, who owns which duty; hands duties over. See"
                    + " docs/operators/fleet.md.",
        subcommands = {
            FleetCommand.Status.class,
            FleetCommand.Watch.class,
            FleetCommand.History.class,
            FleetCommand.HandOver.class,
            FleetCommand.Voters.class
        })
final class FleetCommand implements Callable<Integer> {
    private static final int UNUSABLE = 2;

    /** Nobody could say. */
    private static final int NO_ANSWER = 3;

    private static final int REFUSED = 1;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return UNUSABLE;
    }

    /** One that speaks to the fleet of an operator's file. */
    abstract static class Asks implements Callable<Integer> {
        @Option(
                names = "--operator",
                paramLabel = "FILE",
                required = true,
                description = "An operator's file of the fleet; its voters are asked.")
        Path operator;

        @Option(names = "--json", description = "Prints JSON.")
        boolean json;

        /** What is asked of one voter. */
        interface Ask<T> {
            T of(FleetClient client) throws IOException;
        }

        abstract int ask(FleetConfig rules) throws IOException;

        @Override
        public Integer call() {
            OperatorFile.Read read = OperatorFile.read(operator);
            if (read.file() == null || read.file().fleet() == null) {
                read.problems().forEach(p -> System.err.println(operator + ":" + p));
                if (read.file() != null) {
                    System.err.println(operator + ": has no fleet");
                }
                return UNUSABLE;
            }
            try {
                return ask(read.file().fleet());
            } catch (IOException e) {
                System.err.println("wingroad: no voter answers: " + e.getMessage());
                return NO_ANSWER;
            }
        }

        /** Asks the voters in turn until one answers. */
        static <T> T first(FleetConfig rules, Ask<T> what) throws IOException {
            List<String> failures = new ArrayList<>();
            for (String voter : rules.voterAddresses().keySet()) {
                try (FleetClient c = new FleetClient(rules, voter)) {
                    return what.of(c);
                } catch (IOException e) {
                    failures.add(
                            voter
                                    + ": "
                                    + (e.getMessage() == null ? e.toString() : e.getMessage()));
                }
            }
            throw new IOException(String.join("; ", failures));
        }

        /** What the voter says that is the furthest. */
        static Map<String, Object> newest(FleetConfig rules) throws IOException {
            Map<String, Object> best = null;
            List<String> failures = new ArrayList<>();
            for (String voter : rules.voterAddresses().keySet()) {
                try (FleetClient c = new FleetClient(rules, voter)) {
                    Map<String, Object> s = c.status();
                    best =
                            best == null || number(s, "revision") > number(best, "revision")
                                    ? s
                                    : best;
                } catch (IOException e) {
                    failures.add(
                            voter
                                    + ": "
                                    + (e.getMessage() == null ? e.toString() : e.getMessage()));
                }
            }
            if (best == null) {
                throw new IOException(String.join("; ", failures));
            }
            best.put("silent", failures);
            return best;
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description =
                    "Who is there, who votes and leads, who owns which duty. Exit status 3: no"
                        + " voter answers.")
    static final class Status extends Asks {
        @Override
        int ask(FleetConfig rules) throws IOException {
            Map<String, Object> s = newest(rules);
            System.out.print(json ? text(s) + "\n" : page(s));
            return 0;
        }
    }

    @Command(
            name = "watch",
            mixinStandardHelpOptions = true,
            description = "The status again and again, until interrupted.")
    static final class Watch extends Asks {
        @Option(
                names = "--every",
                paramLabel = "S",
                defaultValue = "2",
                description = "Seconds between; ${DEFAULT-VALUE}.")
        double every;

        @Option(names = "--times", paramLabel = "N", description = "Ends after so many.")
        int times;

        @Override
        int ask(FleetConfig rules) throws IOException {
            for (int n = 1; times == 0 || n <= times; n++) {
                try {
                    Map<String, Object> s = newest(rules);
                    System.out.print(
                            json
                                    ? text(s) + "\n"
                                    : Instant.now().truncatedTo(ChronoUnit.SECONDS)
                                            + "\n"
                                            + page(s));
                } catch (IOException e) {
                    System.out.println(
                            Instant.now().truncatedTo(ChronoUnit.SECONDS)
                                    + " no voter answers: "
                                    + e.getMessage());
                }
                if (n != times) {
                    try {
                        Thread.sleep(Duration.ofMillis((long) (every * 1000)).toMillis());
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
            description = "What is remembered of a duty, the newest last.")
    static final class History extends Asks {
        @Parameters(
                paramLabel = "DUTY",
                description = "As status prints it, such as \"chore purge\".")
        String duty;

        @Override
        int ask(FleetConfig rules) throws IOException {
            for (Map<String, Object> d : maps(newest(rules).get("duties"))) {
                if (duty.equals(d.get("name"))) {
                    for (Object line : (List<?>) d.get("history")) {
                        String s = (String) line;
                        int space = s.indexOf(' ');
                        System.out.println(
                                json
                                        ? text(
                                                Map.of(
                                                        "at",
                                                        Long.parseLong(s.substring(0, space)),
                                                        "what",
                                                        s.substring(space + 1)))
                                        : time(Long.parseLong(s.substring(0, space)))
                                                + " "
                                                + s.substring(space + 1));
                    }
                    return 0;
                }
            }
            System.err.println("wingroad: there is no duty '" + duty + "'");
            return REFUSED;
        }
    }

    @Command(
            name = "hand-over",
            mixinStandardHelpOptions = true,
            description =
                    "Has a duty go to another driver; answered once that is settled. Exit status 1:"
                        + " refused.")
    static final class HandOver extends Asks {
        @Parameters(
                paramLabel = "DUTY",
                description = "As status prints it, such as \"chore purge\".")
        String duty;

        @Option(
                names = "--to",
                paramLabel = "DRIVER",
                defaultValue = "",
                description = "To this one; else to any other.")
        String to;

        @Override
        int ask(FleetConfig rules) throws IOException {
            // Under one name with every voter: however often it is asked, it is done once.
            String name = UUID.randomUUID().toString();
            String refusal = first(rules, c -> c.handOver(duty, to, name));
            System.out.println(
                    json
                            ? text(Map.of("settled", refusal.isEmpty(), "why", refusal))
                            : refusal.isEmpty()
                                    ? "settled: the owner is asked to give it up"
                                    : "refused: " + refusal);
            return refusal.isEmpty() ? 0 : REFUSED;
        }
    }

    @Command(
            name = "voters",
            mixinStandardHelpOptions = true,
            description =
                    "Changes who votes, one at a time; 'status' shows when it is settled. Exit"
                        + " status 1: refused.")
    static final class Voters extends Asks {
        /** What to do with one. */
        enum Change {
            add,
            remove
        }

        @Parameters(index = "0", paramLabel = "add|remove", description = "What to do.")
        Change change;

        @Parameters(index = "1", paramLabel = "DRIVER", description = "Its name in the fleet.")
        String name;

        @Parameters(
                index = "2",
                paramLabel = "ADDRESS",
                arity = "0..1",
                defaultValue = "",
                description = "Where it listens; only with add.")
        String address;

        @Override
        int ask(FleetConfig rules) throws IOException {
            if ((change == Change.add) == address.isEmpty()) {
                System.err.println("wingroad: 'add' needs an address, 'remove' takes none");
                return UNUSABLE;
            }
            String ask = UUID.randomUUID().toString();
            String refusal = first(rules, c -> c.changeVoter(name, address, ask));
            System.out.println(
                    json
                            ? text(Map.of("settled", refusal.isEmpty(), "why", refusal))
                            : refusal.isEmpty()
                                    ? "settled: the leader "
                                            + (change == Change.add ? "lets it in" : "takes it out")
                                    : "refused: " + refusal);
            return refusal.isEmpty() ? 0 : REFUSED;
        }
    }

    // ---- pages ----

    private static long number(Map<String, Object> m, String name) {
        return m.get(name) instanceof Number n ? n.longValue() : 0;
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> maps(Object list) {
        return list instanceof List<?> l ? (List<Map<String, Object>>) l : List.of();
    }

    static String time(long unixMs) {
        return unixMs <= 0
                ? "-"
                : Instant.ofEpochMilli(unixMs).truncatedTo(ChronoUnit.MILLIS).toString();
    }

    private static String page(Map<String, Object> s) {
        StringBuilder p = new StringBuilder();
        String leader = String.valueOf(s.get("leader"));
        p.append("fleet ")
                .append(s.get("fleet"))
                .append(", council ")
                .append(s.get("council"))
                .append(", by ")
                .append(s.get("voter"))
                .append(" (")
                .append(s.get("phase"))
                .append(")\n");
        p.append("voters ")
                .append(s.get("voters"))
                .append(", leader ")
                .append(leader.isEmpty() ? "none" : leader)
                .append(", term ")
                .append(s.get("term"))
                .append('\n');
        if (s.get("silent") instanceof List<?> silent && !silent.isEmpty()) {
            p.append("silent: ").append(silent).append('\n');
        }
        for (Map<String, Object> d : maps(s.get("sessions"))) {
            p.append(
                    String.format(
                            "  driver %-16s since %s, last heard %d ms ago%n",
                            d.get("name"), time(number(d, "since")), number(d, "quiet-ms")));
        }
        for (Map<String, Object> d : maps(s.get("duties"))) {
            String owner = String.valueOf(d.get("owner"));
            String wanted = String.valueOf(d.get("wanted"));
            p.append(
                    String.format(
                            "  duty %-24s %-16s epoch %d, turn %d %s%s%n",
                            d.get("name"),
                            owner.isEmpty() ? "(nobody)" : owner,
                            number(d, "epoch"),
                            number(d, "turn"),
                            d.get("outcome"),
                            wanted.isEmpty()
                                    ? ""
                                    : ", asked back for "
                                            + (wanted.equals("*") ? "any other" : wanted)));
        }
        return p.toString();
    }

    static String text(Object value) throws IOException {
        StringWriter w = new StringWriter();
        try (JsonGenerator g = new JsonFactory().createGenerator(w)) {
            write(g, value);
        }
        return w.toString();
    }

    private static void write(JsonGenerator g, Object value) throws IOException {
        if (value instanceof Map<?, ?> m) {
            g.writeStartObject();
            for (Map.Entry<?, ?> e : m.entrySet()) {
                g.writeFieldName((String) e.getKey());
                write(g, e.getValue());
            }
            g.writeEndObject();
        } else if (value instanceof List<?> l) {
            g.writeStartArray();
            for (Object o : l) {
                write(g, o);
            }
            g.writeEndArray();
        } else if (value instanceof Number n) {
            g.writeNumber(n.longValue());
        } else if (value instanceof Boolean b) {
            g.writeBoolean(b);
        } else {
            g.writeString(String.valueOf(value));
        }
    }
}
