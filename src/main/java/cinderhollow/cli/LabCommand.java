package cinderhollow.cli;

import cinderhollow.lab.FaultPlan;
import cinderhollow.lab.LoadBenchmark;
import cinderhollow.lab.SingleNode;
import cinderhollow.lab.StartupBenchmark;
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

/** Runs single parts of the lab, each as a subcommand. */
@Command(name = "lab", mixinStandardHelpOptions = true, description = "Run single parts of the lab.",
        subcommands = {LabCommand.Node.class, LabCommand.Soak.class, LabCommand.LoadMeasurement.class, LabCommand.Start.class,
            LabCommand.Relay.class, LabZonesCommand.class, LabFaultSoakCommand.class})
final class LabCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "no part of the lab given");
    }

    /** Runs one stand-in node until the process is ended. */
    @Command(name = "node", mixinStandardHelpOptions = true, description = "Run one stand-in node on the loopback address.")
    static final class Node implements Callable<Integer> {
        @Option(names = "--port", defaultValue = "9001", description = "port to listen on (default: ${DEFAULT-VALUE})")
        private int port;

        @Option(names = "--work", paramLabel = "MS", defaultValue = "10",
                description = "mean processing time of a request in ms (default: ${DEFAULT-VALUE})")
        private double workMillis;

        @Override
        public Integer call() throws InterruptedException {
            System.out.println("ready: node on 127.0.0.1:" + SingleNode.start(port, workMillis));
            return Commands.KEEPS_RUNNING;
        }
    }

    /** Runs a fleet for a long time with a random plan of faults. */
    @Command(name = "soak", mixinStandardHelpOptions = true, sortOptions = false,
            description = "A long run with a random fault every few seconds; the seed determines the faults.")
    static final class Soak implements Callable<Integer> {
        @Option(names = "--seconds", defaultValue = "600", description =
                "length of the run in seconds (default: ${DEFAULT-VALUE})")
        private long seconds;

        @Option(names = "--seed", defaultValue = "1", description =
                "seed of the plan and of the arrivals (default: ${DEFAULT-VALUE})")
        private long seed;

        @Option(names = "--faults", split = ",", paramLabel = "KIND",
                defaultValue = "crash,drain,silent,vanish,slow,errors,spoilt,surplus,reset-before,reset-after,"
                + "kill-gateway,stop-gateway,rude,discovery-down,discovery-move",
                description = "the kinds of faults to choose from (default: ${DEFAULT-VALUE})")
        private List<String> faults;

        @Mixin
        private FleetOptions fleet = new FleetOptions();

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException, ExecutionException {
            FaultPlan plan = FaultPlan.draw(seed, seconds, fleet.nodes(), fleet.gateways(), faults);
            return DemoCommand.runLab(spec, fleet.buildSite(seconds, seed), plan, fleet.reportFile());
        }
    }

    /** Measures the throughput and latency of one gateway under closed-loop load. */
    @Command(name = "load", mixinStandardHelpOptions = true, sortOptions = false,
            description = {"Measure one gateway: clients that send a request as soon as the last one is answered, half status and half",
                "submit, and nodes that answer at once. Ends after the given time."})
    static final class LoadMeasurement implements Callable<Integer> {
        @Option(names = "--nodes", defaultValue = "10", description = "nodes in the list (default: ${DEFAULT-VALUE})")
        private int nodes;

        @Option(names = "--connections", defaultValue = "64", description =
                "number of clients, each with a connection (default: ${DEFAULT-VALUE})")
        private int connections;

        @Option(names = "--seconds", defaultValue = "10", description =
                "length of the measurement in seconds (default: ${DEFAULT-VALUE})")
        private int seconds;

        @Option(names = "--warm-up", defaultValue = "3", description =
                "seconds of load before the measurement (default: ${DEFAULT-VALUE})")
        private int warmUp;

        @Option(names = "--relay", description = "measure a plain byte relay in place of the gateway")
        private boolean relay;

        @Option(names = "--codec", description = "measure a relay that parses and writes HTTP")
        private boolean codec;

        @Option(names = "--cpu", paramLabel = "N", description = "pin the measured process to these cores, such as 4 or 4-7")
        private String cpus;

        @Option(names = "--changes", defaultValue = "0", description =
                "changes of the list of nodes per second (default: ${DEFAULT-VALUE})")
        private int changes;

        @Option(names = "--operator", paramLabel = "FILE", description = "the operator's file for the gateway")
        private Path operatorFile;

        @Option(names = "--java", paramLabel = "FLAG", description = "a flag for the Java runtime of the measured process")
        private List<String> javaFlags = List.of();

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException, ExecutionException {
            try (LoadBenchmark load = new LoadBenchmark(nodes, connections,
                    codec ? LoadBenchmark.Target.CODEC : relay ? LoadBenchmark.Target.RELAY : LoadBenchmark.Target.GATEWAY,
                    changes, cpus,
                    operatorFile == null ? null : operatorFile.toAbsolutePath().toString(), javaFlags)) {
                Runtime.getRuntime().addShutdownHook(new Thread(load::close));
                Commands.print(spec, load.run(warmUp, seconds));
                return 0;
            }
        }
    }

    /** Measures the CPU time of a gateway's start. */
    @Command(name = "start", mixinStandardHelpOptions = true, sortOptions = false,
            description = "Measure the CPU time of a gateway's start until it is ready; with --vs of two commands, alternately.")
    static final class Start implements Callable<Integer> {
        @Option(names = "--command", required = true, paramLabel = "COMMAND", description =
                "the command that starts it, as run in deploy/balancer.toml")
        private String command;

        @Option(names = "--folder", defaultValue = ".", description =
                "working directory of the command (default: ${DEFAULT-VALUE})")
        private Path folder;

        @Option(names = "--vs", paramLabel = "COMMAND", description = "the command to compare with")
        private String otherCommand;

        @Option(names = "--vs-folder", defaultValue = ".", description =
                "working directory of that command (default: ${DEFAULT-VALUE})")
        private Path otherFolder;

        @Option(names = "--runs", defaultValue = "15", description =
                "number of starts of each command (default: ${DEFAULT-VALUE})")
        private int runs;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Commands.print(spec, StartupBenchmark.compare(command, folder, otherCommand, otherFolder, runs));
            return 0;
        }
    }

    /** Runs the byte relay that serves as the baseline for measurements of a gateway. */
    @Command(name = "relay", hidden = true, description =
            "Forward bytes, with one connection to the node for each client connection.")
    static final class Relay implements Callable<Integer> {
        @Option(names = "--listen", required = true)
        private int listen;

        @Option(names = "--to", required = true)
        private int to;

        @Option(names = "--codec")
        private boolean codec;

        @Override
        public Integer call() throws InterruptedException {
            LoadBenchmark.relay(listen, to, codec);
            return Commands.KEEPS_RUNNING;
        }
    }
}
