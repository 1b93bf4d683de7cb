package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.ledger.EarlierRunTotals;
import cinderhollow.testing.Await;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs a real process whose disk fails for some seconds (ENOSPC, EIO, short writes, failing syncs). Requests must be answered
 * during that time, and the ledger's journal must resume by itself once the disk works again.
 */
class JournalFaultsTest {
    private static final int PERCENT = 60;
    private static final int FAILS_FOR_SECONDS = 6;
    private static final int AFTERWARDS = 20;
    /** By then the disk works again, and the journal, which retries a failing disk once a second, has tried it again. */
    private static final long OVER_NANOS = TimeUnit.SECONDS.toNanos(FAILS_FOR_SECONDS + 3);

    @TempDir
    private Path folder;

    @Test
    void requestsAreAnsweredWhileTheDiskFailsAndTheJournalGoesOnAfterIt() throws Exception {
        Path ledger = Files.createDirectory(folder.resolve("ledger"));
        Path operator = Files.writeString(folder.resolve("operator.toml"), "[ledger]\ndirectory = \"" + ledger + "\"\nsync = \"10ms\"\n");
        Map<String, String> environment = new HashMap<>(SystemCallFaults.ofFiles(folder, PERCENT, 1, FAILS_FOR_SECONDS));
        environment.put("LB_OPERATOR", operator.toString());
        long begin = System.nanoTime();
        try (ScriptedHost server = new ScriptedHost(ScriptedHost.reply("200 OK", "served"));
                GatewayProcess gateway = GatewayProcess.start(folder, environment, server)) {
            Client client = gateway.client();
            int[] asked = {0};
            Await.until("the disk's end of trouble", () -> {
                serve(client, asked[0]++);
                // A write may succeed while others still fail.
                return System.nanoTime() - begin > OVER_NANOS && gateway.log().contains("ledger's journal: writing again");
            });
            for (int i = 0; i < AFTERWARDS; i++) {
                serve(client, asked[0]++);
            }
            gateway.signal("TERM");
            assertTrue(gateway.endsWithin(LONG_MILLIS), gateway.log());
            EarlierRuns lives = EarlierRuns.read(ledger, List.of(0));
            assertEquals(asked[0], lives.totals().stream().mapToLong(EarlierRunTotals::taken).sum(), gateway.log());
            assertTrue(lives.totals().stream().allMatch(EarlierRunTotals::isBalanced), lives::toString);
        }
    }

    private static void serve(Client client, int number) throws Exception {
        assertTrue(client.ask(status("r" + number, LONG_MILLIS)).firstLine().contains(" 200 "));
    }
}
