package cinderhollow.cli;

import cinderhollow.daemon.OperatorConfigLoader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks an operator's file without starting a gateway. */
@Command(name = "check", mixinStandardHelpOptions = true, sortOptions = false,
        description = {"Check an operator's file: prints the policy of each route with the source of each value, or",
            "every violation with its line, the rule and what is allowed (exit code 1)."})
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the operator's file")
    private Path operatorFile;

    @Option(names = "--config", paramLabel = "CONFIG", description =
            "a gateway's JSON file, whose settings limit the operator's file "
            + "(default: a deployment with the classes status and submit)")
    private Path configFile;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        Commands.print(spec, OperatorConfigLoader.explain(operatorFile, configFile));
        return 0;
    }
}
