package wingroad.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import wingroad.driver.Driver;
import wingroad.operator.OperatorFile;
import wingroad.simhost.SimHost;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;

/** The command line. What the benches start does not come by here: see Main. */
@Command(
        name = "wingroad",
        versionProvider = WingroadCommand.Version.class,
        mixinStandardHelpOptions = true,
        description = "Stands before groups of database members and decides where every txn goes.",
        subcommands = {
            WingroadCommand.Serve.class,
            WingroadCommand.Check.class,
            WingroadCommand.CheckConfig.class,
            WingroadCommand.Simhost.class,
            WingroadCommand.Rehearse.class,
            FleetCommand.class,
            WorkCommand.class
        })
public final class WingroadCommand implements Callable<Integer> {
    private static final int EXIT_INVALID_INPUT = 2;

    /** The build's, from the jar's manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = WingroadCommand.class.getPackage().getImplementationVersion();
            return new String[] {"wingroad " + (version == null ? "(not from its jar)" : version)};
        }
    }

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    /** Returns the exit status; what serves goes on behind it. */
    public static int run(String... args) {
        return new CommandLine(new WingroadCommand())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .execute(args);
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return EXIT_INVALID_INPUT;
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
                        "The operator's own file, in KDL; read again on SIGHUP. See"
                            + " docs/operators/fair-queues.md.")
        Path operatorFile;

        @Override
        public Integer call() {
            if (operatorFile == null) {
                return Driver.run(System.getenv(), System.out, System.err);
            }
            OperatorFile.LoadResult loaded = OperatorFile.read(operatorFile);
            if (loaded.file() == null) {
                loaded.problems().forEach(p -> System.err.println(operatorFile + ":" + p));
                return EXIT_INVALID_INPUT;
            }
            return Driver.run(System.getenv(), System.out, System.err, operatorFile, loaded.file());
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Reads an operator's file and prints all that is wrong with it. Exit status 0:"
                        + " it can be used; 2: it can't.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The file.")
        Path file;

        @Option(
                names = "--print",
                description = "Prints all settings in force, those left out of the file as well.")
        boolean print;

        @Override
        public Integer call() {
            OperatorFile.LoadResult loaded = OperatorFile.read(file);
            if (loaded.file() == null) {
                loaded.problems().forEach(p -> System.err.println(file + ":" + p));
                return EXIT_INVALID_INPUT;
            }
            System.out.print(print ? loaded.file().toKdl() : "");
            return 0;
        }
    }

    @Command(
            name = "check-config",
            mixinStandardHelpOptions = true,
            description =
                    "Reads a configuration as a start would and prints its shape. Exit status 0: it"
                        + " can be used; 2: it can't.")
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
                    "Serves the simulator's wire on standard input and output until the input"
                        + " ends.")
    static final class Simhost implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            return new SimHost(System.in, System.out, System.err).run();
        }
    }

    @Command(
            name = "rehearse",
            mixinStandardHelpOptions = true,
            description =
                    "Plays the rehearsal that each start begins with, for an archive of the classes"
                        + " that serving takes.")
    static final class Rehearse implements Callable<Integer> {
        @Override
        public Integer call() {
            return Driver.rehearse(System.getenv(), System.err);
        }
    }
}
