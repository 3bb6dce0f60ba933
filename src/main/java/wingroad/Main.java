package wingroad;

import wingroad.cli.WingroadCommand;
import wingroad.driver.Driver;
import wingroad.simhost.SimHost;

import java.io.IOException;

/** The program's subcommands. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("simhost")) {
            System.exit(new SimHost(System.in, System.out, System.err).run());
        }
        if (args.length == 1 && args[0].equals("serve")) {
            int status = Driver.run(System.getenv(), System.out, System.err);
            if (status != 0) {
                System.exit(status);
            }
            return;
        }
        if (args.length == 1 && args[0].equals("rehearse")) {
            System.exit(Driver.rehearse(System.getenv(), System.err));
        }
        // All else is the command line's. The three above stay clear of it: they cost no class of
        // it, nor its start.
        int status = WingroadCommand.run(args);
        if (status != 0) {
            System.exit(status);
        }
    }
}
