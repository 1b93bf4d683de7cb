package cinderhollow.cli;

import cinderhollow.daemon.CommandLineConfig;
import cinderhollow.daemon.GatewayDaemon;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one gateway for a small site, configured by options instead of the platform's files. */
@Command(name = "run", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Run a gateway in front of a few nodes.",
        footer = {"", "A request's class is the first part of its path; each request needs an X-Request-ID of its own.",
            "Example: run --listen 127.0.0.1:8080 --nodes 127.0.0.1:9001,127.0.0.1:9002 --class status:safe "
            + "--class submit:unsafe:100ms:300ms"})
final class RunCommand implements Callable<Integer> {
    @Option(names = "--listen", paramLabel = "HOST:PORT", defaultValue = "127.0.0.1:8080",
            description = "address for clients (default: ${DEFAULT-VALUE})")
    private String listenAddress;

    @ArgGroup(multiplicity = "1")
    private NodeSource nodeSource;

    @Option(names = "--class", paramLabel = "NAME:EFFECT[:AIM[:DEADLINE]]",
            description = {"a class of requests; EFFECT is safe (GET, may run twice), unsafe (POST, must not) or",
                "keyed (POST with Idempotency-Key); AIM and DEADLINE as 150ms or 2s (default: 500ms, 2s)"})
    private List<String> classSpecs = new ArrayList<>();

    @Option(names = "--classes", paramLabel = "FILE", description =
            "a file with one class per line, in the form of --class; # starts a comment")
    private Path classesFile;

    @Option(names = "--operator", paramLabel = "FILE", description =
            "an operator's file with routes, timeouts, attempts; see check")
    private String operatorFile;

    /** The source of the nodes: a fixed list, or a discovery service. */
    static final class NodeSource {
        @Option(names = "--nodes", required = true, split = ",", paramLabel = "HOST:PORT", description =
                "the nodes, as a fixed list")
        private List<String> nodes = new ArrayList<>();

        @Option(names = "--discovery", required = true, paramLabel = "HOST:PORT", description =
                "the discovery service that has the list of nodes")
        private String discoveryAddress;
    }

    @Override
    public Integer call() throws IOException {
        List<String> allClassSpecs = new ArrayList<>(classSpecs);
        if (classesFile != null) {
            Files.readAllLines(classesFile).stream().map(String::strip).filter(line -> !line.isEmpty() && !line.startsWith("#"))
                    .forEach(allClassSpecs::add);
        }
        GatewayDaemon.serve(new CommandLineConfig(listenAddress, nodeSource.discoveryAddress, nodeSource.nodes, allClassSpecs,
                operatorFile));
        return Commands.KEEPS_RUNNING;
    }
}
