package cinderhollow.cli;

import cinderhollow.daemon.AdminClient;
import cinderhollow.ledger.LedgerTotals;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints the ledger of running gateways and checks whether it balances. */
@Command(name = "ledger", mixinStandardHelpOptions = true, sortOptions = false,
        description = {"Show how many requests running gateways have received, and their outcomes. Exit code 0: the ledger balances, 3: it does not,",
            "1: a gateway does not answer. An address is the one in its operator's file: 127.0.0.1:9180 or unix:/path."})
final class LedgerCommand implements Callable<Integer> {
    private static final int EXIT_UNBALANCED = 3;

    @ArgGroup(multiplicity = "1")
    private Targets targets;

    @Option(names = "--watch", description = "print a table every second until interrupted")
    private boolean watch;

    @Option(names = "--acknowledge", description = "acknowledge the breaches shown")
    private boolean acknowledge;

    @Spec
    private CommandSpec spec;

    /** The gateways to query: one, or several whose totals are added up. */
    static final class Targets {
        @Option(names = "--admin", required = true, paramLabel = "ADDRESS", description = "one gateway's admin listener")
        private String adminAddress;

        @Option(names = "--fleet", required = true, split = ",", paramLabel = "ADDRESS", description =
                "the admin listeners of several gateways, whose totals are added up")
        private List<String> fleetAddresses;
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<String> addresses = targets.fleetAddresses == null ? List.of(targets.adminAddress) : targets.fleetAddresses;
        LedgerTotals totals = printTotals(addresses);
        while (watch) {
            TimeUnit.SECONDS.sleep(1);
            totals = printTotals(addresses);
        }
        if (acknowledge) {
            AdminClient.acknowledgeBreaches(addresses);
        }
        return totals.isBalanced() ? 0 : EXIT_UNBALANCED;
    }

    private LedgerTotals printTotals(List<String> addresses) throws IOException {
        LedgerTotals totals = AdminClient.ledgerTotals(addresses);
        Commands.print(spec, totals.formatTable());
        return totals;
    }
}
