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
            WorkCommand.Want.class,
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
    private static final int UNUSABLE = 2;
    private static final int REFUSED = 1;
    private static final String ALL = "*";

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return UNUSABLE;
    }

    /** One that changes something: asked under one id until it is settled. */
    abstract static class Changes extends FleetCommand.Asks {
        @Option(
                names = "--id",
                description = "The id of the request: the same again is done once; a new one else.")
        String id;

        @Option(
                names = "--within",
                paramLabel = "S",
                defaultValue = "10",
                description = "Tries for so many seconds; ${DEFAULT-VALUE}.")
        double within;

        /** Asks for one machine until that is settled; empty, or why it is refused. */
        String settle(FleetConfig rules, String machine, Ask<String> what) throws IOException {
            long end = System.nanoTime() + (long) (within * 1e9);
            while (true) {
                try {
                    return first(rules, what);
                } catch (IOException e) {
                    if (System.nanoTime() > end) {
                        throw e;
                    }
                }
            }
        }

        String idFor(String machine) {
            return (id == null ? UUID.randomUUID().toString() : id) + " " + machine;
        }

        int told(Map<String, String> answers) throws IOException {
            boolean refused = false;
            for (Map.Entry<String, String> a : answers.entrySet()) {
                boolean ok = a.getValue().isEmpty();
                refused |= !ok;
                System.out.println(
                        json
                                ? FleetCommand.text(
                                        new java.util.TreeMap<>(
                                                Map.of(
                                                        "machine",
                                                        a.getKey(),
                                                        "settled",
                                                        ok,
                                                        "why",
                                                        a.getValue())))
                                : a.getKey()
                                        + ": "
                                        + (ok ? "settled" : "refused: " + a.getValue()));
            }
            return refused ? REFUSED : 0;
        }
    }

    @Command(
            name = "ask",
            mixinStandardHelpOptions = true,
            description =
                    "Wants machines out. Answered once that is settled; exit status 1: one can"
                            + " never be had, with the reason.")
    static final class Want extends Changes {
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
        String span;

        @Option(names = "--why", defaultValue = "", description = "For people.")
        String why;

        @Option(
                names = "--before",
                paramLabel = "TIME",
                description = "It has to be out before, such as 2026-12-06T06:00:00Z.")
        String before;

        @Option(
                names = "--after",
                paramLabel = "MACHINE",
                arity = "1",
                description = "Not while this one is asked for.")
        List<String> after = List.of();

        @Override
        int ask(FleetConfig rules) throws IOException {
            long forMs;
            long beforeMs;
            try {
                forMs = Duration.parse("PT" + span.toUpperCase(java.util.Locale.ROOT)).toMillis();
                beforeMs = before == null ? 0 : Instant.parse(before).toEpochMilli();
            } catch (DateTimeParseException e) {
                System.err.println(
                        "wingroad: '"
                                + e.getParsedString()
                                + "' is no span, such as 20m, or no time");
                return UNUSABLE;
            }
            Map<String, String> answers = new LinkedHashMap<>();
            for (String m : machines) {
                String ask = idFor(m);
                answers.put(
                        m,
                        settle(
                                rules,
                                m,
                                c -> c.requestMaintenance(m, why, forMs, beforeMs, after, ask)));
            }
            return told(answers);
        }
    }

    /** A word on one machine, or several. */
    abstract static class Word extends Changes {
        @Parameters(
                paramLabel = "MACHINE",
                arity = "1..*",
                description = "As the operator's file names them.")
        List<String> machines;

        abstract String word();

        @Override
        int ask(FleetConfig rules) throws IOException {
            Map<String, String> answers = new LinkedHashMap<>();
            for (String m : machines) {
                String ask = idFor(m);
                answers.put(m, settle(rules, m, c -> c.sendOperatorCommand(word(), m, ask)));
            }
            return told(answers);
        }
    }

    @Command(
            name = "done",
            mixinStandardHelpOptions = true,
            description = "Work on it is done and it runs again: it is brought back.")
    static final class Done extends Word {
        @Override
        String word() {
            return "done";
        }
    }

    @Command(
            name = "back",
            mixinStandardHelpOptions = true,
            description = "It is to be back, however far it has come.")
    static final class Back extends Word {
        @Override
        String word() {
            return "back";
        }
    }

    @Command(
            name = "cancel",
            mixinStandardHelpOptions = true,
            description = "It is no more asked for; not once it is out.")
    static final class Cancel extends Word {
        @Override
        String word() {
            return "cancel";
        }
    }

    @Command(
            name = "gone",
            mixinStandardHelpOptions = true,
            description =
                    "Drivers without a session have ended for certain: nobody waits for them any"
                            + " more.")
    static final class Gone extends Word {
        @Override
        String word() {
            return "gone";
        }
    }

    /** A word on machines, or on all. */
    abstract static class WordOrAll extends Changes {
        @Parameters(
                paramLabel = "MACHINE",
                arity = "0..*",
                description = "As the operator's file names them.")
        List<String> machines = List.of();

        @Option(names = "--all", description = "All, those not yet asked for as well.")
        boolean all;

        abstract String word();

        @Override
        int ask(FleetConfig rules) throws IOException {
            if (all == !machines.isEmpty()) {
                System.err.println("wingroad: machines, or --all");
                return UNUSABLE;
            }
            Map<String, String> answers = new LinkedHashMap<>();
            for (String m : all ? List.of(ALL) : machines) {
                String ask = idFor(m);
                answers.put(m, settle(rules, m, c -> c.sendOperatorCommand(word(), m, ask)));
            }
            return told(answers);
        }
    }

    @Command(
            name = "hold",
            mixinStandardHelpOptions = true,
            description =
                    "Nothing more is begun, and what drains is put back at once; what is out stays"
                            + " out.")
    static final class Hold extends WordOrAll {
        @Override
        String word() {
            return "hold";
        }
    }

    @Command(name = "go", mixinStandardHelpOptions = true, description = "The end of a hold.")
    static final class Go extends WordOrAll {
        @Override
        String word() {
            return "go";
        }
    }

    @Command(
            name = "plan",
            mixinStandardHelpOptions = true,
            description = "All that is asked for, how far it is, what it waits for.")
    static final class Plan extends FleetCommand.Asks {
        @Override
        int ask(FleetConfig rules) throws IOException {
            Map<String, Object> work = work(newest(rules));
            if (json) {
                System.out.println(FleetCommand.text(work));
                return 0;
            }
            System.out.println(
                    FleetCommand.maps(work.get("machines")).size()
                            + " machines, "
                            + FleetCommand.maps(work.get("entries")).size()
                            + " asked for"
                            + (Boolean.TRUE.equals(work.get("held")) ? ", all held" : ""));
            FleetCommand.maps(work.get("entries"))
                    .forEach(
                            e ->
                                    System.out.printf(
                                            "  %-16s %-10s %s%s%n",
                                            e.get("machine"),
                                            e.get("stage"),
                                            e.get("why"),
                                            String.valueOf(e.get("waits")).isEmpty()
                                                    ? ""
                                                    : "; waits: " + e.get("waits")));
            if (work.get("astray") instanceof List<?> l && !l.isEmpty()) {
                System.out.println("  without a session, not known to have stopped: " + l);
            }
            return 0;
        }
    }

    private static Map<String, Object> work(Map<String, Object> status) throws IOException {
        if (status.get("work") instanceof Map<?, ?>) {
            return wingroad.protocol.Json.object(status.get("work"), "the plan");
        }
        throw new IOException("this fleet has no work node in its files");
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "One machine: what it holds, how far it is, what was.")
    static final class Show extends FleetCommand.Asks {
        @Parameters(paramLabel = "MACHINE", description = "As the operator's file names it.")
        String machine;

        @Override
        int ask(FleetConfig rules) throws IOException {
            Map<String, Object> work = work(newest(rules));
            Map<String, Object> of =
                    FleetCommand.maps(work.get("machines")).stream()
                            .filter(m -> machine.equals(m.get("name")))
                            .findFirst()
                            .orElse(null);
            if (of == null) {
                System.err.println("wingroad: there is no machine '" + machine + "'");
                return REFUSED;
            }
            Map<String, Object> entry =
                    FleetCommand.maps(work.get("entries")).stream()
                            .filter(e -> machine.equals(e.get("machine")))
                            .findFirst()
                            .orElse(Map.of("stage", "in"));
            List<String> lines =
                    ((List<?>) work.get("history"))
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
                        FleetCommand.text(Map.of("machine", of, "entry", entry, "history", lines)));
                return 0;
            }
            System.out.println(
                    machine
                            + ", zone "
                            + of.get("zone")
                            + ", members "
                            + of.get("members")
                            + ", drivers "
                            + of.get("drivers"));
            System.out.println(
                    "  "
                            + entry.get("stage")
                            + (entry.containsKey("waits") ? ", waits: " + entry.get("waits") : ""));
            lines.forEach(
                    l ->
                            System.out.println(
                                    "  "
                                            + FleetCommand.time(
                                                    Long.parseLong(l.substring(0, l.indexOf(' '))))
                                            + l.substring(l.indexOf(' '))));
            return 0;
        }
    }
}
