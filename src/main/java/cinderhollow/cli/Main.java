package cinderhollow.cli;

import cinderhollow.daemon.GatewayDaemon;
import cinderhollow.sim.Wire;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * Entry point of the program. {@code serve} and {@code simhost}, which the platform starts, are handled here without loading
 * the classes of the other commands, so that those do not slow down their start.
 */
public final class Main {
    static final int EXIT_BAD_INPUT = 1;

    private Main() { }

    /** Runs the command that the arguments name. Exits with a message if the input is invalid or an error occurs. */
    public static void main(String[] args) {
        boolean hasOperatorOption = args.length == 3 && args[0].equals("serve") && args[1].equals("--operator");
        String command = args.length == 1 || hasOperatorOption ? args[0] : "";
        try {
            switch (command) {
                case "serve" -> GatewayDaemon.serve(hasOperatorOption ? environmentWithOperatorFile(args[2]) : System.getenv());
                case "simhost" -> new Wire(System.in, System.out).run();
                default -> Commands.run(args);
            }
        } catch (Wire.MalformedInput | IllegalArgumentException e) {
            exitWithError(e.getMessage());
        } catch (IOException e) {
            exitWithError("can't read or write the simulator's wire: " + e.getMessage());
        } catch (RuntimeException | Error e) {
            // Without an exit the event loops would keep the process alive although it serves no requests.
            e.printStackTrace();
            System.exit(GatewayDaemon.EXIT_INTERNAL_ERROR);
        }
    }

    private static Map<String, String> environmentWithOperatorFile(String operatorFile) {
        Map<String, String> environment = new HashMap<>(System.getenv());
        environment.put("LB_OPERATOR", operatorFile);
        return environment;
    }

    private static void exitWithError(String message) {
        System.err.println("cinderhollow: " + message);
        System.exit(EXIT_BAD_INPUT);
    }
}
