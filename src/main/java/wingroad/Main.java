package wingroad;

import wingroad.cli.WingroadCommand;
import wingroad.driver.Driver;
import wingroad.simhost.SimHost;

import java.io.IOException;

/** The program's entry point. */
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
        // All other commands are handled by the command line parser. The three above avoid loading
        // its classes and the time that takes.
        int status = WingroadCommand.run(args);
        if (status != 0) {
            System.exit(status);
        }
    }
}
