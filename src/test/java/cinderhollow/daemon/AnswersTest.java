package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.status;
import static cinderhollow.daemon.GatewayFixture.submit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedHost.Message;
import cinderhollow.daemon.ScriptedHost.Script;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How a gateway handles malformed answers of servers, and valid answers that are followed by additional bytes. */
class AnswersTest {
    private static final String FINE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";

    private static Script sends(String bytes) {
        return (socket, request) -> ScriptedHost.write(socket, bytes);
    }

    /** The server keeps the connection open, so the attempt ends only if the gateway itself detects the malformed answer. */
    @ParameterizedTest
    @ValueSource(strings = {
        "noise that no line ends\0\1\2\r\n\r\n",
        "HTTP/1.1 OK 200\r\nContent-Length: 4\r\n\r\nfine",
        "HTTP/9.9 200 OK\r\nContent-Length: 4\r\n\r\nfine",
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nfine",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nfine",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nfine",
        "HTTP/1.1 200 OK\r\nContent-Length: four\r\n\r\nfine",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nfi\r\nzz\r\nne\r\n0\r\n\r\n",
        "HTTP/1.1 500 Error\r\n\r\nfine",
        "HTTP/1.1 500 Error\r\nContent-Length: 3000000000\r\n\r\nfine",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"})
    void aSpoiltAnswerFailsItsAttemptAndEndsTheConnection(String bytes) throws Exception {
        try (ScriptedHost host = new ScriptedHost(sends(bytes)); GatewayFixture f = GatewayFixture.knowing(host)) {
            Message answer = f.client().ask(submit("r", LONG_MILLIS, "x"));
            assertTrue(answer.firstLine().contains(" 502 "), answer.firstLine());
            assertEquals(1, host.requests.size(), "it may have run");
            await("the close", () -> host.connections.get(0).isClosed());
        }
    }

    /** Each of these answers would fill the memory if the gateway went on reading it. */
    @ParameterizedTest
    @ValueSource(strings = {
        "HTTP/1.1 200 OK\r\n|X-Pad: pppppppppppppppppppppppp\r\n",
        "HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n|4\r\nmore\r\n",
        "|HTTP/1.1 200 OK"})
    void anAnswerWithoutEndIsCutOff(String headAndRest) throws Exception {
        String[] parts = headAndRest.split("\\|");
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            ScriptedHost.write(socket, parts[0]);
            for (int i = 0; i < 1_000_000; i++) {
                ScriptedHost.write(socket, parts[1]);
            }
        }); GatewayFixture f = GatewayFixture.knowing(host)) {
            Message answer = f.client().ask(submit("r", LONG_MILLIS, "x"));
            assertTrue(answer.firstLine().contains(" 502 "), answer.firstLine());
            await("the close", () -> host.connections.get(0).isClosed());
        }
    }

    /**
     * If the connection were used again, the bytes behind the first answer would be taken for the answer to the second
     * request.
     */
    @ParameterizedTest
    @ValueSource(strings = {
        FINE, "noise", "noise\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"})
    void aGoodAnswerWithMoreBehindItIsServedAndItsConnectionNotUsedAgain(String more) throws Exception {
        try (ScriptedHost host = new ScriptedHost(sends(FINE + more)); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            assertEquals("fine", client.ask(submit("r1", LONG_MILLIS, "x")).body());
            host.script(ScriptedHost.reply("200 OK", "second"));
            assertEquals("second", client.ask(submit("r2", LONG_MILLIS, "x")).body());
            assertEquals(2, host.connections.size());
        }
    }

    @Test
    void bytesOnAnIdleConnectionEndIt() throws Exception {
        try (ScriptedHost host = new ScriptedHost(sends(FINE)); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            assertEquals("fine", client.ask(submit("r1", LONG_MILLIS, "x")).body());
            Socket kept = host.connections.get(0);
            ScriptedHost.write(kept, "late noise without a line's end");
            await("the close", () -> closed(kept));
            assertEquals("fine", client.ask(submit("r2", LONG_MILLIS, "x")).body());
            assertEquals(2, host.connections.size());
        }
    }

    private static boolean closed(Socket socket) {
        try {
            ScriptedHost.write(socket, "x");
            return socket.isClosed();
        } catch (IOException e) {
            return true;
        }
    }

    @Test
    void whatComesAheadOfAnAnswerIsSkippedAndTheConnectionKept() throws Exception {
        String ahead = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        try (ScriptedHost host = new ScriptedHost(sends(ahead + FINE)); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            assertEquals("fine", client.ask(submit("r1", LONG_MILLIS, "x")).body());
            assertEquals("fine", client.ask(submit("r2", LONG_MILLIS, "x")).body());
            assertEquals(1, host.connections.size());
        }
    }

    @Test
    void anAnswerInPiecesIsPassedOnWhole() throws Exception {
        String body = "0123456789".repeat(5000);
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length())
                    + "\r\n" + body + "\r\n0\r\n\r\n";
            byte[] bytes = chunked.getBytes(StandardCharsets.UTF_8);
            for (int i = 0; i < bytes.length; i += 777) {
                socket.getOutputStream().write(bytes, i, Math.min(777, bytes.length - i));
            }
        }); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            assertEquals(body, client.ask(status("r1", LONG_MILLIS)).body());
            assertEquals(body, client.ask(status("r2", LONG_MILLIS)).body());
        }
    }
}
