package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.ledger.RequestEnd;
import cinderhollow.ledger.LedgerPlace;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The admin listener serves metrics to permitted callers, and no caller can harm the gateway. */
class AdminTest {
    private static final int MOST_CONNECTIONS = 16;

    @TempDir
    private Path folder;

    private GatewayFixture gateway(String more, ScriptedHost host) throws Exception {
        Path file = Files.writeString(folder.resolve("operator.toml"), "[ledger]\n" + more);
        return GatewayFixture.governed(file.toString(), host);
    }

    private static ScriptedHost host() throws IOException {
        return new ScriptedHost(ScriptedHost.reply("200 OK", "fine"));
    }

    private static Admin onAnyPort(GatewayFixture f) {
        return Admin.listen(new InetSocketAddress("127.0.0.1", 0), f.gateway);
    }

    private static String text(Admin admin) {
        return "127.0.0.1:" + ((InetSocketAddress) admin.address()).getPort();
    }

    @Test
    void tellsTheSumsOfAllLoopsAndForgetsBreachesThatWereSeen() throws Exception {
        try (ScriptedHost a = host(); GatewayFixture f = gateway("[gateway]\nloops = 2\n", a); Admin admin = onAnyPort(f)) {
            for (int i = 0; i < 10; i++) {
                f.client().ask(status("r" + i, LONG_MILLIS));
            }
            String shown = AdminClient.ledgerTotals(List.of(text(admin))).formatTable();
            assertTrue(shown.contains(" 10 "), shown);
            assertTrue(shown.endsWith("all adds up"), shown);
            assertEquals(2, f.gateway.ledgerMetrics().join().size());
        }
    }

    @Test
    void aBreachStaysUntilItIsAcknowledged() throws Exception {
        try (ScriptedHost a = host(); GatewayFixture f = gateway("", a); Admin admin = onAnyPort(f)) {
            f.client().ask(status("r", LONG_MILLIS));
            Gateway gateway = (Gateway) f.gateway;
            f.loops().get(0).submit(() -> {
                gateway.ledger().counters(LedgerPlace.CORE).recordEnded(0, RequestEnd.SERVED, "twice");
                gateway.findNewBreaches();
            }).sync();
            List<String> address = List.of(text(admin));
            assertTrue(AdminClient.ledgerTotals(address).formatTable().contains(" 2 breaches"));
            AdminClient.acknowledgeBreaches(address);
            String shown = AdminClient.ledgerTotals(address).formatTable();
            assertTrue(shown.contains(" 0 breaches"), shown);
            assertTrue(shown.endsWith("IT DOES NOT ADD UP"), shown);
        }
    }

    @Test
    void aFileSocketIsItsOwnersAloneAndOneLeftBehindIsTakenOver() throws Exception {
        Path file = folder.resolve("admin.sock");
        UnixDomainSocketAddress address = UnixDomainSocketAddress.of(file);
        try (java.nio.channels.ServerSocketChannel left = java.nio.channels.ServerSocketChannel.open(
                java.net.StandardProtocolFamily.UNIX)) {
            left.bind(address);
        }
        assertTrue(Files.exists(file), "left behind");
        try (ScriptedHost a = host(); GatewayFixture f = gateway("", a)) {
            try (Admin admin = Admin.listen(address, f.gateway)) {
                assertEquals("rw-------", java.nio.file.attribute.PosixFilePermissions.toString(
                        Files.getPosixFilePermissions(file)));
                assertTrue(AdminClient.sendRequest("unix:" + file, "GET", "/metrics").endsWith("# EOF\n"));
                assertTrue(assertThrows(IllegalArgumentException.class, () -> Admin.listen(address, f.gateway))
                        .getMessage().contains("another process listens there"));
                assertTrue(admin.address().toString().contains("admin.sock"));
            }
            assertTrue(Files.notExists(file), "gone with its owner");
        }
    }

    @Test
    void otherPathsAndMethodsAndNoiseAreTurnedAway() throws Exception {
        try (ScriptedHost a = host(); GatewayFixture f = gateway("", a); Admin admin = onAnyPort(f)) {
            String address = text(admin);
            assertTrue(assertThrows(IOException.class, () -> AdminClient.sendRequest(address, "GET", "/")).getMessage().contains(" 404 "));
            assertTrue(assertThrows(IOException.class, () -> AdminClient.sendRequest(address, "GET", "/ledger/acknowledge"))
                    .getMessage().contains(" 405 "));
            assertThrows(IOException.class, () -> AdminClient.sendRequest(address, "x y", "/metrics"));
            assertThrows(IOException.class, () -> AdminClient.sendRequest(address, "GET", "/" + "x".repeat(100_000)));
            assertTrue(AdminClient.sendRequest(address, "GET", "/metrics").endsWith("# EOF\n"));
        }
    }

    /**
     * A scraper that connects and reads nothing uses up one of the few admin connections, and never one that clients may
     * have.
     */
    @Test
    void silentScrapersTakeNoPlaceOfClients() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try (ScriptedHost a = host(); GatewayFixture f = gateway("", a); Admin admin = onAnyPort(f)) {
            int port = ((InetSocketAddress) admin.address()).getPort();
            for (int i = 0; i < 3 * MOST_CONNECTIONS; i++) {
                silent.add(new Socket("127.0.0.1", port));
            }
            // Connections beyond the limit are closed at once, so a read on them returns the end of the stream.
            await("the bound", () -> silent.stream().filter(AdminTest::isClosed).count() == 2 * MOST_CONNECTIONS);
            assertEquals("fine", f.client().ask(status("r", LONG_MILLIS)).body());
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    private static boolean isClosed(Socket socket) {
        try {
            socket.setSoTimeout(1);
            return socket.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** While a latch blocks the event loop, the scraper gets an error that says so, and the admin listener goes on working. */
    @Test
    void aLoopThatStandsStillIsToldOf() throws Exception {
        CountDownLatch goOn = new CountDownLatch(1);
        try (ScriptedHost a = host(); GatewayFixture f = gateway("", a); Admin admin = onAnyPort(f)) {
            f.loops().get(0).execute(() -> {
                try {
                    goOn.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            String address = text(admin);
            assertTrue(assertThrows(IOException.class, () -> AdminClient.sendRequest(address, "GET", "/metrics")).getMessage()
                    .contains(" 503 "));
            goOn.countDown();
            assertTrue(AdminClient.sendRequest(address, "GET", "/metrics").endsWith("# EOF\n"));
        } finally {
            goOn.countDown();
        }
    }

    /** A scrape during shutdown is answered or refused, and does not delay the shutdown. */
    @Test
    void aScrapeDuringTheEndIsAnswered() throws Exception {
        try (ScriptedHost a = host(); GatewayFixture f = gateway("", a); Admin admin = onAnyPort(f)) {
            f.client().ask(status("r", LONG_MILLIS));
            var ended = f.gateway.shutDown();
            assertTrue(AdminClient.ledgerTotals(List.of(text(admin))).formatTable().endsWith("all adds up"));
            await("the end", ended::isDone);
            assertTrue(AdminClient.ledgerTotals(List.of(text(admin))).formatTable().endsWith("all adds up"));
        }
    }
}
