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

/** How a fleet stands to its zones, and orders to it. */
@Command(name = "zone", mixinStandardHelpOptions = true, sortOptions = false,
        description = {"Show how a fleet of gateways stands to its zones, or order it to leave one, to return to it, to hold all",
            "as it is, or (none) to decide by itself again. An order goes to the whole fleet by way of one gateway."})
final class ZoneCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "status|leave|return|hold|none", description = "what is wanted")
    private String verb;

    @Parameters(index = "1", arity = "0..1", paramLabel = "ZONE", description = "of which zone, for an order")
    private String zone;

    @Option(names = "--admin", required = true, paramLabel = "ADDRESS", description = "one gateway's admin listener")
    private String admin;

    @Option(names = "--minutes", defaultValue = "60", description = "how long an order stands (default: ${DEFAULT-VALUE})")
    private long minutes;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        switch (verb) {
            case "status" -> Commands.print(spec, AdminClient.zones(admin).stripTrailing());
            case "leave", "return", "hold", "none" -> {
                if (zone == null) {
                    throw new ParameterException(spec.commandLine(), "name the zone");
                }
                AdminClient.order(admin, verb, zone, TimeUnit.MINUTES.toMillis(minutes));
                Commands.print(spec, "ordered: " + verb + " " + zone + " for " + minutes + " minutes; 'zone status' tells who has not heard");
            }
            default -> throw new ParameterException(spec.commandLine(), "no such call: " + verb);
        }
        return 0;
    }
}
