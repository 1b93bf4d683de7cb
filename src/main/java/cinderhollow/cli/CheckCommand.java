package cinderhollow.cli;

import cinderhollow.daemon.Operator;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Looks at an operator's file before any gateway does. */
@Command(name = "check", mixinStandardHelpOptions = true, sortOptions = false,
        description = {"Check an operator's file: prints what each route comes to and where each value came from, or",
            "every fault with its line, the broken rule and what would be allowed (exit code 1)."})
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the operator's file")
    private Path file;

    @Option(names = "--config", paramLabel = "CONFIG", description = "a gateway's JSON file, whose settings bind "
            + "(default: a deployment with the classes status and submit)")
    private Path config;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        Commands.print(spec, Operator.explain(file, config));
        return 0;
    }
}
