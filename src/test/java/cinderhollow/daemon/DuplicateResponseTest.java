package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.TIMEOUT_MILLIS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cinderhollow.core.DirectMemory;
import cinderhollow.core.GatewayClock;
import cinderhollow.core.LoopActivity;
import cinderhollow.core.Transport;
import cinderhollow.http1.BodyMemoryBudget;
import cinderhollow.http1.UpstreamPool;
import cinderhollow.membership.EndpointList;
import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A server that answers a request a second time some milliseconds later, in simulated time. */
class DuplicateResponseTest {
    private static final long LONG_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AtomicLong nowNanos = new AtomicLong(LONG_TIMEOUT_NANOS);
    private final GatewayClock clock = new GatewayClock() {
        @Override
        public long nanos() {
            return nowNanos.get();
        }
    };

    @AfterEach
    void stop() throws InterruptedException {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await(TIMEOUT_MILLIS);
    }

    private AttemptResult sendRequest(UpstreamPool upstreamPool, String path) {
        AttemptResult attemptResult = new AttemptResult();
        loop.execute(() -> upstreamPool.send("h", new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
                Unpooled.EMPTY_BUFFER), LONG_TIMEOUT_NANOS, attemptResult));
        return attemptResult;
    }

    private static void assertAnswer(String expected, AttemptResult attemptResult) throws Exception {
        assertEquals(expected, attemptResult.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    private UpstreamPool createPool(ScriptedServer server) {
        UpstreamPool upstreamPool = new UpstreamPool(loop, Transport.TCP, clock, new LoopActivity(), LONG_TIMEOUT_NANOS, LONG_TIMEOUT_NANOS, 10,
                new BodyMemoryBudget(DirectMemory.limitBytes(), 10, DirectMemory::inUseBytes), null, 0);
        loop.execute(() -> upstreamPool.update(new EndpointList(1, true, List.of(new Endpoint(
                new ServerInfo("h", "a", "std", 0, Readiness.READY, 1, 0), server.address())))));
        return upstreamPool;
    }

    /** Answers with the path; the first request gets two answers at once, so the pool sees that this server sends duplicates. */
    private static final class DuplicatingScript implements ScriptedServer.Script {
        private final CompletableFuture<Socket> socketOfOne = new CompletableFuture<>();

        @Override
        public void answer(Socket socket, ScriptedServer.Message request) throws IOException {
            String path = request.firstLine().split(" ")[1];
            String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path;
            ScriptedServer.write(socket, path.equals("/zero") ? answer.repeat(2) : answer);
            if (path.equals("/one")) {
                socketOfOne.complete(socket);
            }
        }
    }

    /**
     * The second answer comes while the next request waits for the connection to settle; that request ends as never
     * sent, so that it can be sent elsewhere.
     */
    @Test
    void isNotMistakenForTheResponseToTheNextRequest() throws Exception {
        DuplicatingScript script = new DuplicatingScript();
        try (ScriptedServer server = new ScriptedServer(script)) {
            UpstreamPool upstreamPool = createPool(server);
            assertAnswer("/zero", sendRequest(upstreamPool, "/zero"));
            assertAnswer("/one", sendRequest(upstreamPool, "/one"));
            nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(5));
            AttemptResult secondResult = sendRequest(upstreamPool, "/two");
            loop.submit(() -> { }).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            ScriptedServer.reply("200 OK", "stale").answer(script.socketOfOne.join(), null);
            assertAnswer("CONNECT_FAILED", secondResult);
            assertEquals(2, server.requests.size());
        }
    }

    @Test
    void aConnectionThatHasSettledCarriesTheRequestThatWaitedForIt() throws Exception {
        try (ScriptedServer server = new ScriptedServer(new DuplicatingScript())) {
            UpstreamPool upstreamPool = createPool(server);
            assertAnswer("/zero", sendRequest(upstreamPool, "/zero"));
            assertAnswer("/one", sendRequest(upstreamPool, "/one"));
            AttemptResult secondResult = sendRequest(upstreamPool, "/two");
            AttemptResult otherResult = new AttemptResult();
            loop.submit(() -> upstreamPool.send("h", new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/off",
                    Unpooled.EMPTY_BUFFER), LONG_TIMEOUT_NANOS, otherResult)).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertAnswer("/off", otherResult);
            nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
            assertAnswer("/two", secondResult);
            assertAnswer("/three", sendRequest(upstreamPool, "/three"));
            assertEquals(3, server.connections.size(), "one broken, one that had to settle, one opened meanwhile");
        }
    }
}
