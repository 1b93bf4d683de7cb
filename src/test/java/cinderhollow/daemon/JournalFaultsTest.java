package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
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
    private static final int FAULT_PERCENT = 60;
    private static final int FAULT_DURATION_SECONDS = 6;
    private static final int REQUESTS_AFTERWARDS = 20;
    /** By then the disk works again, and the journal, which retries a failing disk once a second, has tried it again. */
    private static final long RECOVERY_BOUND_NANOS = TimeUnit.SECONDS.toNanos(FAULT_DURATION_SECONDS + 3);

    @TempDir
    private Path folder;

    @Test
    void requestsAreAnsweredWhileTheDiskFailsAndTheJournalGoesOnAfterIt() throws Exception {
        Path ledgerDirectory = Files.createDirectory(folder.resolve("ledger"));
        Path operatorFile = Files.writeString(folder.resolve("operator.toml"), "[ledger]\ndirectory = \"" + ledgerDirectory
                + "\"\nsync = \"10ms\"\n");
        Map<String, String> environment =
                new HashMap<>(SystemCallFaults.fileFaultEnvironment(folder, FAULT_PERCENT, 1, FAULT_DURATION_SECONDS));
        environment.put("LB_OPERATOR", operatorFile.toString());
        long begin = System.nanoTime();
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
                GatewayProcess gateway = GatewayProcess.start(folder, environment, server)) {
            Client client = gateway.connectClient();
            int[] requestCount = {0};
            Await.until("the disk's end of trouble", () -> {
                assertServed(client, requestCount[0]++);
                // A write may succeed while others still fail.
                return System.nanoTime() - begin > RECOVERY_BOUND_NANOS && gateway.log()
                        .contains("ledger's journal: writing again");
            });
            for (int i = 0; i < REQUESTS_AFTERWARDS; i++) {
                assertServed(client, requestCount[0]++);
            }
            gateway.signal("TERM");
            assertTrue(gateway.waitForExit(LONG_TIMEOUT_MILLIS), gateway.log());
            EarlierRuns earlierRuns = EarlierRuns.read(ledgerDirectory, List.of(0));
            assertEquals(requestCount[0], earlierRuns.totals().stream().mapToLong(EarlierRunTotals::taken).sum(), gateway.log());
            assertTrue(earlierRuns.totals().stream().allMatch(EarlierRunTotals::isBalanced), earlierRuns::toString);
        }
    }

    private static void assertServed(Client client, int number) throws Exception {
        assertTrue(client.exchange(statusRequest("r" + number, LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "));
    }
}
