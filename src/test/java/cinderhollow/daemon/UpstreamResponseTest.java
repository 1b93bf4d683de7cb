package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import cinderhollow.daemon.ScriptedServer.Script;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How a gateway handles malformed answers of servers, and valid answers that are followed by additional bytes. */
class UpstreamResponseTest {
    private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";

    private static Script respondWithBytes(String bytes) {
        return (socket, request) -> ScriptedServer.write(socket, bytes);
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
    void aMalformedResponseFailsItsAttemptAndClosesTheConnection(String bytes) throws Exception {
        try (ScriptedServer server = new ScriptedServer(respondWithBytes(bytes)); GatewayFixture f =
                GatewayFixture.withServers(server)) {
            Message answer = f.connectClient().exchange(submitRequest("r", LONG_TIMEOUT_MILLIS, "x"));
            assertTrue(answer.firstLine().contains(" 502 "), answer.firstLine());
            assertEquals(1, server.requests.size(), "it may have run");
            await("the close", () -> server.connections.get(0).isClosed());
        }
    }

    /** Each of these answers would fill the memory if the gateway went on reading it. */
    @ParameterizedTest
    @ValueSource(strings = {
        "HTTP/1.1 200 OK\r\n|X-Pad: pppppppppppppppppppppppp\r\n",
        "HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n|4\r\nmore\r\n",
        "|HTTP/1.1 200 OK"})
    void anEndlessResponseIsCutOff(String headAndRest) throws Exception {
        String[] parts = headAndRest.split("\\|");
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            ScriptedServer.write(socket, parts[0]);
            for (int i = 0; i < 1_000_000; i++) {
                ScriptedServer.write(socket, parts[1]);
            }
        }); GatewayFixture f = GatewayFixture.withServers(server)) {
            Message answer = f.connectClient().exchange(submitRequest("r", LONG_TIMEOUT_MILLIS, "x"));
            assertTrue(answer.firstLine().contains(" 502 "), answer.firstLine());
            await("the close", () -> server.connections.get(0).isClosed());
        }
    }

    /**
     * If the connection were used again, the bytes behind the first answer would be taken for the answer to the second
     * request.
     */
    @ParameterizedTest
    @ValueSource(strings = {
        OK_RESPONSE, "noise", "noise\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"})
    void aGoodAnswerWithMoreBehindItIsServedAndItsConnectionNotUsedAgain(String trailingBytes) throws Exception {
        try (ScriptedServer server = new ScriptedServer(respondWithBytes(OK_RESPONSE + trailingBytes)); GatewayFixture f =
                GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            assertEquals("fine", client.exchange(submitRequest("r1", LONG_TIMEOUT_MILLIS, "x")).body());
            server.setScript(ScriptedServer.reply("200 OK", "second"));
            assertEquals("second", client.exchange(submitRequest("r2", LONG_TIMEOUT_MILLIS, "x")).body());
            assertEquals(2, server.connections.size());
        }
    }

    @Test
    void bytesOnAnIdleConnectionEndIt() throws Exception {
        try (ScriptedServer server = new ScriptedServer(respondWithBytes(OK_RESPONSE)); GatewayFixture f =
                GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            assertEquals("fine", client.exchange(submitRequest("r1", LONG_TIMEOUT_MILLIS, "x")).body());
            Socket keptConnection = server.connections.get(0);
            ScriptedServer.write(keptConnection, "late noise without a line's end");
            await("the close", () -> isClosed(keptConnection));
            assertEquals("fine", client.exchange(submitRequest("r2", LONG_TIMEOUT_MILLIS, "x")).body());
            assertEquals(2, server.connections.size());
        }
    }

    private static boolean isClosed(Socket socket) {
        try {
            ScriptedServer.write(socket, "x");
            return socket.isClosed();
        } catch (IOException e) {
            return true;
        }
    }

    @Test
    void interimResponsesAreSkippedAndTheConnectionIsKept() throws Exception {
        String interimResponses = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        try (ScriptedServer server = new ScriptedServer(respondWithBytes(interimResponses + OK_RESPONSE)); GatewayFixture f =
                GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            assertEquals("fine", client.exchange(submitRequest("r1", LONG_TIMEOUT_MILLIS, "x")).body());
            assertEquals("fine", client.exchange(submitRequest("r2", LONG_TIMEOUT_MILLIS, "x")).body());
            assertEquals(1, server.connections.size());
        }
    }

    @Test
    void aResponseInPiecesIsForwardedWhole() throws Exception {
        String body = "0123456789".repeat(5000);
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length())
                    + "\r\n" + body + "\r\n0\r\n\r\n";
            byte[] bytes = chunked.getBytes(StandardCharsets.UTF_8);
            for (int i = 0; i < bytes.length; i += 777) {
                socket.getOutputStream().write(bytes, i, Math.min(777, bytes.length - i));
            }
        }); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            assertEquals(body, client.exchange(statusRequest("r1", LONG_TIMEOUT_MILLIS)).body());
            assertEquals(body, client.exchange(statusRequest("r2", LONG_TIMEOUT_MILLIS)).body());
        }
    }
}
