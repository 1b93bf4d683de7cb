package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.submit;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** An exception in the middle of a decision, forced by a log that throws on certain lines. */
class FaultsTest {
    private static String shortTimes(String settings) {
        return settings.replace("\"aim_ns\":10000000000,\"deadline_ns\":20000000000", "\"aim_ns\":20000000,\"deadline_ns\":2000000000");
    }

    /** The exception comes in the middle of a tick; the ticks after it must still run. */
    @Test
    void aFaultInAStepIsNotTheEndOfAllSteps() throws Exception {
        AtomicInteger steps = new AtomicInteger();
        try (GatewayFixture f = GatewayFixture.logging(line -> {
            if (line.contains("in this tick")) {
                steps.incrementAndGet();
                throw new IllegalStateException("forced");
            }
        }, FaultsTest::shortTimes)) {
            Client client = f.client();
            AtomicInteger asked = new AtomicInteger();
            await("a second step with refusals", () -> {
                // No server is available for it.
                assertTrue(refused(client, "r" + asked.incrementAndGet()));
                return steps.get() > 1;
            });
        }
    }

    private static boolean refused(Client client, String id) {
        try {
            return client.ask(submit(id, 300, "x")).firstLine().contains(" 503 ");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The exception ends a sweep, so held requests are not examined by it; the guard must answer them. */
    @Test
    void whatAFaultLeavesBehindIsAnsweredWithinItsTime() throws Exception {
        int many = 40;
        AtomicInteger faults = new AtomicInteger();
        try (ScriptedHost silent = new ScriptedHost(ScriptedHost.reply("200 OK", "served"));
                GatewayFixture f = GatewayFixture.logging(line -> {
                    if (line.contains(" is silent")) {
                        faults.incrementAndGet();
                        throw new IllegalStateException("forced");
                    }
                }, FaultsTest::shortTimes, silent)) {
            // A server that has answered gets an in-flight limit of more than one.
            for (int i = 0; i < many; i++) {
                assertTrue(f.client().ask(submit("a" + i, 2_000, "x")).firstLine().contains(" 200 "));
            }
            silent.script((socket, request) -> { });
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < many; i++) {
                clients.add(f.client());
                clients.get(i).write(submit("r" + i, 2_000, "x"));
            }
            for (Client client : clients) {
                String answer = client.read().firstLine();
                assertTrue(answer.contains(" 50"), answer);
            }
            assertTrue(faults.get() > 0, "the fault was forced");
            await("nothing open", () -> f.open() == 0);
        }
    }
}
