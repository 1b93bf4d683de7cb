package cinderhollow.cli;

import cinderhollow.daemon.AdminClient;
import cinderhollow.ledger.Totals;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Shows the account of running gateways, and whether it adds up. */
@Command(name = "ledger", mixinStandardHelpOptions = true, sortOptions = false,
        description = {"Show what running gateways took and how it ended. Exit code 0: all adds up, 3: it does not,",
            "1: one can't be asked. An address is that of its operator's file: 127.0.0.1:9180 or unix:/path."})
final class LedgerCommand implements Callable<Integer> {
    private static final int BROKEN = 3;

    @ArgGroup(multiplicity = "1")
    private Whom whom;

    @Option(names = "--watch", description = "a table each second until interrupted")
    private boolean watch;

    @Option(names = "--acknowledge", description = "tell them that the breaches shown have been seen")
    private boolean acknowledge;

    @Spec
    private CommandSpec spec;

    /** One or several. */
    static final class Whom {
        @Option(names = "--admin", required = true, paramLabel = "ADDRESS", description = "one gateway's admin listener")
        private String admin;

        @Option(names = "--fleet", required = true, split = ",", paramLabel = "ADDRESS", description = "several, added up")
        private List<String> fleet;
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<String> addresses = whom.fleet == null ? List.of(whom.admin) : whom.fleet;
        Totals totals = show(addresses);
        while (watch) {
            TimeUnit.SECONDS.sleep(1);
            totals = show(addresses);
        }
        if (acknowledge) {
            AdminClient.acknowledge(addresses);
        }
        return totals.addUp() ? 0 : BROKEN;
    }

    private Totals show(List<String> addresses) throws IOException {
        Totals totals = AdminClient.totals(addresses);
        Commands.print(spec, totals.table());
        return totals;
    }
}
