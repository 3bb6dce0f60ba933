package wingroad.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wingroad.driver.Driver;
import wingroad.operator.OperatorFile;
import wingroad.simhost.SimHost;

/** The command line. What the benches start does not come by here: see Main. */
@Command(
        name = "wingroad",
        versionProvider = Wingroad.Version.class,
        mixinStandardHelpOptions = true,
        description = "Stands before groups of database members and decides where every txn goes.",
        subcommands = {
            Wingroad.Serve.class,
            Wingroad.Check.class,
            Wingroad.CheckConfig.class,
            Wingroad.Sim.class,
            Wingroad.Rehearse.class,
            FleetCommand.class,
            WorkCommand.class
        })
public final class Wingroad implements Callable<Integer> {
    private static final int UNUSABLE = 2;

    /** The build's, from the jar's manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Wingroad.class.getPackage().getImplementationVersion();
            return new String[] {"wingroad " + (version == null ? "(not from its jar)" : version)};
        }
    }

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    /** Returns the exit status; what serves goes on behind it. */
    public static int run(String... args) {
        return new CommandLine(new Wingroad())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .execute(args);
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return UNUSABLE;
    }

    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "Serves clients by the configuration that the variable LB_CONFIG names.")
    static final class Serve implements Callable<Integer> {
        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description =
                        "The operator's own file, in KDL; read again on SIGHUP. See docs/operators/fair-queues.md.")
        Path operator;

        @Override
        public Integer call() {
            if (operator == null) {
                return Driver.run(System.getenv(), System.out, System.err);
            }
            OperatorFile.Read read = OperatorFile.read(operator);
            if (read.file() == null) {
                read.problems().forEach(p -> System.err.println(operator + ":" + p));
                return UNUSABLE;
            }
            return Driver.run(System.getenv(), System.out, System.err, operator, read.file());
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Reads an operator's file and prints all that is wrong with it. Exit status 0: it can be used; 2: it can't.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The file.")
        Path file;

        @Option(
                names = "--print",
                description = "Prints all settings in force, those left out of the file as well.")
        boolean print;

        @Override
        public Integer call() {
            OperatorFile.Read read = OperatorFile.read(file);
            if (read.file() == null) {
                read.problems().forEach(p -> System.err.println(file + ":" + p));
                return UNUSABLE;
            }
            System.out.print(print ? read.file().print() : "");
            return 0;
        }
    }

    @Command(
            name = "check-config",
            mixinStandardHelpOptions = true,
            description =
                    "Reads a configuration as a start would and prints its shape. Exit status 0: it can be used; 2: it can't.")
    static final class CheckConfig implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The configuration.")
        Path file;

        @Override
        public Integer call() {
            return Driver.check(Map.of("LB_CONFIG", file.toString()), System.out, System.err);
        }
    }

    @Command(
            name = "simhost",
            mixinStandardHelpOptions = true,
            description =
                    "Serves the simulator's wire on standard input and output until the input ends.")
    static final class Sim implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            return new SimHost(System.in, System.out, System.err).run();
        }
    }

    @Command(
            name = "rehearse",
            mixinStandardHelpOptions = true,
            description =
                    "Plays the rehearsal that each start begins with, for an archive of the classes that serving takes.")
    static final class Rehearse implements Callable<Integer> {
        @Override
        public Integer call() {
            return Driver.rehearse(System.getenv(), System.err);
        }
    }
}
