package cinderhollow.cli;

import cinderhollow.lab.Load;
import cinderhollow.lab.Plan;
import cinderhollow.lab.SingleNode;
import cinderhollow.lab.Starts;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The parts of the lab as commands of their own. */
@Command(name = "lab", mixinStandardHelpOptions = true, description = "Parts of the lab, one by one.",
        subcommands = {LabCommand.Node.class, LabCommand.Soak.class, LabCommand.Measure.class, LabCommand.Start.class,
            LabCommand.Relay.class, LabZonesCommand.class, LabFaultSoakCommand.class})
final class LabCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "name a part of the lab");
    }

    /** One stand-in node. */
    @Command(name = "node", mixinStandardHelpOptions = true, description = "Be one stand-in node on the loopback address.")
    static final class Node implements Callable<Integer> {
        @Option(names = "--port", defaultValue = "9001", description = "where it listens (default: ${DEFAULT-VALUE})")
        private int port;

        @Option(names = "--work", paramLabel = "MS", defaultValue = "10",
                description = "the mean work of a request in ms (default: ${DEFAULT-VALUE})")
        private double workMillis;

        @Override
        public Integer call() throws InterruptedException {
            System.out.println("ready: node on 127.0.0.1:" + SingleNode.start(port, workMillis));
            return Commands.KEEPS_RUNNING;
        }
    }

    /** A long run with a drawn plan. */
    @Command(name = "soak", mixinStandardHelpOptions = true, sortOptions = false,
            description = "A long run in which something goes wrong every few seconds, drawn from the seed.")
    static final class Soak implements Callable<Integer> {
        @Option(names = "--seconds", defaultValue = "600", description = "how long (default: ${DEFAULT-VALUE})")
        private long seconds;

        @Option(names = "--seed", defaultValue = "1", description = "of the plan and the arrivals (default: ${DEFAULT-VALUE})")
        private long seed;

        @Option(names = "--faults", split = ",", paramLabel = "KIND",
                defaultValue = "crash,drain,silent,vanish,slow,errors,spoilt,surplus,reset-before,reset-after,"
                + "kill-gateway,stop-gateway,rude,discovery-down,discovery-move",
                description = "which kinds are drawn (default: ${DEFAULT-VALUE})")
        private List<String> faults;

        @Mixin
        private FleetOptions fleet = new FleetOptions();

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException, ExecutionException {
            Plan plan = Plan.draw(seed, seconds, fleet.nodes(), fleet.gateways(), faults);
            return DemoCommand.play(spec, fleet.site(seconds, seed), plan, fleet.json());
        }
    }

    /** What a gateway can carry. */
    @Command(name = "load", mixinStandardHelpOptions = true, sortOptions = false,
            description = {"Measure one gateway: clients that ask again as soon as they are answered, half status and half",
                "submit, and nodes that answer at once. It runs until the time is over."})
    static final class Measure implements Callable<Integer> {
        @Option(names = "--nodes", defaultValue = "10", description = "nodes in the list (default: ${DEFAULT-VALUE})")
        private int nodes;

        @Option(names = "--connections", defaultValue = "64", description = "clients (default: ${DEFAULT-VALUE})")
        private int connections;

        @Option(names = "--seconds", defaultValue = "10", description = "measured (default: ${DEFAULT-VALUE})")
        private int seconds;

        @Option(names = "--warm-up", defaultValue = "3", description = "seconds before that (default: ${DEFAULT-VALUE})")
        private int warmUp;

        @Option(names = "--relay", description = "measure a bare relay of bytes in place of the gateway")
        private boolean relay;

        @Option(names = "--codec", description = "the same with its bytes read and written as HTTP")
        private boolean codec;

        @Option(names = "--cpu", paramLabel = "N", description = "keep what is measured on this core, or these, as 4-7")
        private String cpus;

        @Option(names = "--changes", defaultValue = "0", description = "of the list, a second (default: ${DEFAULT-VALUE})")
        private int changes;

        @Option(names = "--operator", paramLabel = "FILE", description = "the gateway's operator's file")
        private Path operator;

        @Option(names = "--java", paramLabel = "FLAG", description = "a flag for the Java runtime of what is measured")
        private List<String> flags = List.of();

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException, ExecutionException {
            try (Load load = new Load(nodes, connections,
                    codec ? Load.Way.CODEC : relay ? Load.Way.RELAY : Load.Way.GATEWAY, changes, cpus,
                    operator == null ? null : operator.toAbsolutePath().toString(), flags)) {
                Runtime.getRuntime().addShutdownHook(new Thread(load::close));
                Commands.print(spec, load.run(warmUp, seconds));
                return 0;
            }
        }
    }

    /** What a start costs. */
    @Command(name = "start", mixinStandardHelpOptions = true, sortOptions = false,
            description = "Measure the CPU time of a gateway's start until it is ready; of two commands in turn with --vs.")
    static final class Start implements Callable<Integer> {
        @Option(names = "--command", required = true, paramLabel = "COMMAND", description = "as run in deploy/balancer.toml")
        private String command;

        @Option(names = "--folder", defaultValue = ".", description = "where it is started (default: ${DEFAULT-VALUE})")
        private Path folder;

        @Option(names = "--vs", paramLabel = "COMMAND", description = "the command to compare with")
        private String other;

        @Option(names = "--vs-folder", defaultValue = ".", description = "where that is started (default: ${DEFAULT-VALUE})")
        private Path otherFolder;

        @Option(names = "--runs", defaultValue = "15", description = "of each (default: ${DEFAULT-VALUE})")
        private int runs;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Commands.print(spec, Starts.compare(command, folder, other, otherFolder, runs));
            return 0;
        }
    }

    /** What the gateway is measured against. */
    @Command(name = "relay", hidden = true, description = "Pass bytes on, one connection to the node for each client's.")
    static final class Relay implements Callable<Integer> {
        @Option(names = "--listen", required = true)
        private int listen;

        @Option(names = "--to", required = true)
        private int to;

        @Option(names = "--codec")
        private boolean codec;

        @Override
        public Integer call() throws InterruptedException {
            Load.relay(listen, to, codec);
            return Commands.KEEPS_RUNNING;
        }
    }
}
