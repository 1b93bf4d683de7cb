package cinderhollow.cli;

import cinderhollow.daemon.Server;
import cinderhollow.sim.Wire;
import java.io.IOException;

/**
 * The command line: {@code serve} is a real gateway, {@code simhost} speaks the simulator's wire on standard
 * input and output.
 */
public final class Main {
    private static final int EXIT_BAD_INPUT = 1;
    private static final int EXIT_BAD_USAGE = 2;

    private Main() { }

    /** Runs the gateway or the adapter. */
    public static void main(String[] args) {
        String verb = args.length == 1 ? args[0] : "";
        try {
            switch (verb) {
                case "serve" -> Server.serve(System.getenv());
                case "simhost" -> new Wire(System.in, System.out).run();
                default -> {
                    System.err.println("usage: java -jar cinderhollow.jar serve | simhost");
                    System.err.println("  serve     be the gateway that the LB_ variables describe");
                    System.err.println("  simhost   decide for the gateways on standard input, on the lbsim wire");
                    System.exit(EXIT_BAD_USAGE);
                }
            }
        } catch (Wire.MalformedInput | IllegalArgumentException e) {
            fail(e.getMessage());
        } catch (IOException e) {
            fail("cannot read or write the wire: " + e.getMessage());
        }
    }

    private static void fail(String line) {
        System.err.println("cinderhollow: " + line);
        System.exit(EXIT_BAD_INPUT);
    }
}
