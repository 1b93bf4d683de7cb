package cinderhollow.cli;

import cinderhollow.daemon.Server;
import cinderhollow.sim.Wire;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * The command line. {@code serve} and {@code simhost} are the platform's: they are looked at first and load nothing
 * of the other commands, so that these cost their start nothing.
 */
public final class Main {
    static final int EXIT_BAD_INPUT = 1;
    /** An error of the program's own. */
    static final int EXIT_FAULT = 70;

    private Main() { }

    /** Runs the command that the arguments name. */
    public static void main(String[] args) {
        boolean operator = args.length == 3 && args[0].equals("serve") && args[1].equals("--operator");
        String verb = args.length == 1 || operator ? args[0] : "";
        try {
            switch (verb) {
                case "serve" -> Server.serve(operator ? withOperator(args[2]) : System.getenv());
                case "simhost" -> new Wire(System.in, System.out).run();
                default -> Commands.run(args);
            }
        } catch (Wire.MalformedInput | IllegalArgumentException e) {
            fail(e.getMessage());
        } catch (IOException e) {
            fail("cannot read or write the wire: " + e.getMessage());
        } catch (RuntimeException e) {
            // Its event loops would keep a process that serves nobody alive.
            e.printStackTrace();
            System.exit(EXIT_FAULT);
        }
    }

    private static Map<String, String> withOperator(String file) {
        Map<String, String> environment = new HashMap<>(System.getenv());
        environment.put("LB_OPERATOR", file);
        return environment;
    }

    private static void fail(String line) {
        System.err.println("cinderhollow: " + line);
        System.exit(EXIT_BAD_INPUT);
    }
}
