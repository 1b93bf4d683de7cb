package cinderhollow.cli;

import cinderhollow.daemon.AdminClient;
import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows which zones a fleet has evacuated, and sends orders about zones to it. */
@Command(name = "zone", mixinStandardHelpOptions = true, sortOptions = false,
        description = {"Show the state of each zone in a fleet of gateways, or order the fleet to leave a zone, to return to it, to keep",
            "its state (hold), or to decide by itself again (none). One gateway passes the order on to the whole fleet."})
final class ZoneCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "status|leave|return|hold|none", description = "show the state, or the order to give")
    private String action;

    @Parameters(index = "1", arity = "0..1", paramLabel = "ZONE", description = "the zone of the order")
    private String zone;

    @Option(names = "--admin", required = true, paramLabel = "ADDRESS", description = "one gateway's admin listener")
    private String adminAddress;

    @Option(names = "--minutes", defaultValue = "60", description =
            "how long the order is valid, in minutes (default: ${DEFAULT-VALUE})")
    private long minutes;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        switch (action) {
            case "status" -> Commands.print(spec, AdminClient.zoneStatus(adminAddress).stripTrailing());
            case "leave", "return", "hold", "none" -> {
                if (zone == null) {
                    throw new ParameterException(spec.commandLine(), "an order needs a ZONE");
                }
                AdminClient.order(adminAddress, action, zone, TimeUnit.MINUTES.toMillis(minutes));
                Commands.print(spec, "ordered: " + action + " " + zone + " for " + minutes
                        + " minutes; 'zone status' lists the members that have not received it");
            }
            default -> throw new ParameterException(spec.commandLine(), "unknown action: " + action);
        }
        return 0;
    }
}
