package cinderhollow.cli;

import cinderhollow.emulator.Emulation;
import cinderhollow.emulator.Scenario;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Emulates a fleet in virtual time, with the real decision module, for several seeds. */
@Command(name = "emulate", mixinStandardHelpOptions = true, sortOptions = false,
        description = {"Emulate a fleet of many gateways in virtual time, for several seeds: what is served in time and what it costs.",
            "Exit code 0 only if no gateway broke a rule."})
final class EmulateCommand implements Callable<Integer> {
    @Option(names = "--gateways", defaultValue = "100", description = "how many gateways (default: ${DEFAULT-VALUE})")
    private int gateways;

    @Option(names = "--nodes", defaultValue = "65", description = "how many nodes (default: ${DEFAULT-VALUE})")
    private int nodes;

    @Option(names = "--seconds", defaultValue = "25", description =
            "length of each run, in virtual seconds (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--load", defaultValue = "0.6", description =
            "offered load as a fraction of the nodes' capacity (default: ${DEFAULT-VALUE})")
    private double load;

    @Option(names = "--seeds", defaultValue = "4", description = "number of seeds, each one run (default: ${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--log", description = "with --talk: print the gateways' log lines about zones")
    private boolean printZoneLog;

    @Option(names = "--by-second", description = "print the percentage served in time, for each second")
    private boolean printPerSecond;

    @Option(names = "--first", defaultValue = "1", description = "the first seed (default: ${DEFAULT-VALUE})")
    private long first;

    @Option(names = "--talk", description = "the gateways exchange gossip and evacuate zones together")
    private boolean peering;

    @Option(names = "--fault", paramLabel = "KIND:FROM:SECONDS:PART[:SIZE]",
            description = "the fault: slow, silent, replaced, lost nodes, killed or rolled gateways, cut (the first zone is cut off from the others); for example silent:8:6:0.2 or slow:5:15:0.125:5")
    private String fault;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        Scenario baseScenario = Scenario.sparseTraffic(gateways, nodes, seconds, load);
        Scenario faultFreeScenario = peering ? baseScenario.withEvacuation() : baseScenario;
        Scenario scenario = fault == null ? faultFreeScenario : faultFreeScenario.withFault(parseFault(fault));
        long startedAt = System.nanoTime();
        Emulation.Result[] results = LongStream.range(first, first + seeds).parallel()
                .mapToObj(seed -> runSeed(scenario, seed)).toArray(Emulation.Result[]::new);
        double sum = 0;
        long events = 0;
        for (int i = 0; i < results.length; i++) {
            Commands.print(spec, "seed " + (first + i) + ": " + results[i]);
            sum += results[i].score();
            events += results[i].events();
        }
        Commands.print(spec, String.format(Locale.ROOT, "mean figure %.4f of %d days; %d events in %.1f s", sum / results.length,
                results.length, events, (System.nanoTime() - startedAt) / 1e9));
        return Stream.of(results).allMatch(Emulation.Result::isClean) ? 0 : DemoCommand.EXIT_RULES_BROKEN;
    }

    private Emulation.Result runSeed(Scenario scenario, long seed) {
        Emulation emulation = new Emulation(scenario, seed);
        Emulation.Result result = emulation.run();
        if (printPerSecond) {
            Commands.print(spec, "seed " + seed + ":" + Arrays.stream(emulation.inTimeRatioBySecond())
                    .mapToObj(part -> " " + Math.round(100 * part))
                    .collect(Collectors.joining()));
        }
        if (peering) {
            Scenario.Fault f = scenario.fault();
            Emulation.EvacuationReport leaving = f == null ? emulation.measureEvacuation(0, seconds)
                    : emulation.measureEvacuation(f.fromSecond(), f.seconds());
            Commands.print(spec, "seed " + seed + ": " + leaving);
            if (printZoneLog) {
                emulation.logLines().stream().filter(line -> line.contains("zone=")).forEach(line -> Commands.print(spec, line));
            }
        }
        return result;
    }

    private static Scenario.Fault parseFault(String text) {
        String[] parts = text.split(":", -1);
        try {
            if (parts.length == 4 || parts.length == 5) {
                return new Scenario.Fault(Scenario.FaultKind.valueOf(parts[0].toUpperCase(Locale.ROOT)),
                        Double.parseDouble(parts[1]),
                        Double.parseDouble(parts[2]), Double.parseDouble(parts[3]),
                        parts.length == 5 ? Double.parseDouble(parts[4]) : 1);
            }
        } catch (IllegalArgumentException e) {
            // Reported below, with the expected format.
        }
        throw new IllegalArgumentException("invalid fault '" + text + "': expected KIND:FROM:SECONDS:PART[:SIZE]");
    }
}
