package wingroad;

import java.io.IOException;
import wingroad.simhost.SimHost;

/** The program's subcommands. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("simhost")) {
            System.exit(new SimHost(System.in, System.out, System.err).run());
        }
        System.err.println("usage: wingroad simhost");
        System.exit(2);
    }
}
