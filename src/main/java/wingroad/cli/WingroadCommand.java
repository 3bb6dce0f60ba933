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

/**
 * The root of the command line. The commands that the benches start are handled in Main, without
 * these classes.
 */
@Command(
        name = "wingroad",
        versionProvider = WingroadCommand.Version.class,
        mixinStandardHelpOptions = true,
        description = "Routes txns to the members of database groups.",
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

    /** Reads the version from the jar's manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = WingroadCommand.class.getPackage().getImplementationVersion();
            return new String[] {
                "wingroad "
                        + (version == null
                                ? "(unknown version: not started from the jar)"
                                : version)
            };
        }
    }

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    /** Runs a command and returns its exit status; a server's threads keep running after a 0. */
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
                    "Reads an operator's file and prints all problems in it. Exit status 0: it is"
                            + " valid; 2: it is not.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The file.")
        Path file;

        @Option(
                names = "--print",
                description = "Prints all effective settings, including defaults.")
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
                    "Reads a configuration as a start would and prints a summary. Exit status 0: it"
                            + " is valid; 2: it is not.")
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
                    "Serves the simulator's protocol on standard input and output until the input"
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
                    "Runs the warm-up that each start begins with, to record an archive of the"
                            + " classes that serving loads.")
    static final class Rehearse implements Callable<Integer> {
        @Override
        public Integer call() {
            return Driver.rehearse(System.getenv(), System.err);
        }
    }
}
