package cinderhollow;

import java.io.IOException;

/** The command line: {@code simhost} speaks the simulator's wire on standard input and output. */
public final class Main {
    private static final int EXIT_BAD_INPUT = 1;
    private static final int EXIT_BAD_USAGE = 2;

    private Main() { }

    /** Runs the adapter until its input ends. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: java -jar cinderhollow.jar simhost");
            System.err.println("  simhost   decide for the gateways on standard input, on the lbsim wire");
            System.exit(EXIT_BAD_USAGE);
        }
        try {
            new Wire(System.in, System.out).run();
        } catch (Wire.MalformedInput e) {
            System.err.println("cinderhollow: " + e.getMessage());
            System.exit(EXIT_BAD_INPUT);
        } catch (IOException e) {
            System.err.println("cinderhollow: cannot read or write the wire: " + e.getMessage());
            System.exit(EXIT_BAD_INPUT);
        }
    }
}
