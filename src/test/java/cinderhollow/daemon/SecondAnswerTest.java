package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.PATIENCE_MILLIS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cinderhollow.core.GatewayClock;
import cinderhollow.core.Transport;
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
class SecondAnswerTest {
    private static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AtomicLong now = new AtomicLong(LONG_NANOS);
    private final GatewayClock clock = new GatewayClock() {
        @Override
        public long nanos() {
            return now.get();
        }
    };

    @AfterEach
    void stop() throws InterruptedException {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await(PATIENCE_MILLIS);
    }

    private Answered ask(UpstreamPool hosts, String path) {
        Answered answered = new Answered();
        loop.execute(() -> hosts.send("h", new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
                Unpooled.EMPTY_BUFFER), LONG_NANOS, answered));
        return answered;
    }

    private static void assertAnswer(String expected, Answered answered) throws Exception {
        assertEquals(expected, answered.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
    }

    private UpstreamPool pool(ScriptedHost host) {
        UpstreamPool hosts = new UpstreamPool(loop, Transport.TCP, clock, LONG_NANOS, LONG_NANOS, 10, null, 0);
        loop.execute(() -> hosts.update(new EndpointList(1, true, List.of(new Endpoint(
                new ServerInfo("h", "a", "std", 0, Readiness.READY, 1, 0), host.address())))));
        return hosts;
    }

    /** Answers with the path; the first request gets two answers at once, so the pool sees that this server sends duplicates. */
    private static final class Twice implements ScriptedHost.Script {
        private final CompletableFuture<Socket> one = new CompletableFuture<>();

        @Override
        public void answer(Socket socket, ScriptedHost.Message request) throws IOException {
            String path = request.firstLine().split(" ")[1];
            String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path;
            ScriptedHost.write(socket, path.equals("/zero") ? answer.repeat(2) : answer);
            if (path.equals("/one")) {
                one.complete(socket);
            }
        }
    }

    /**
     * The second answer comes while the next request waits for the connection to settle; that request ends as never
     * sent, so that it can be sent elsewhere.
     */
    @Test
    void isNotTakenForTheAnswerToTheNextRequest() throws Exception {
        Twice twice = new Twice();
        try (ScriptedHost host = new ScriptedHost(twice)) {
            UpstreamPool hosts = pool(host);
            assertAnswer("/zero", ask(hosts, "/zero"));
            assertAnswer("/one", ask(hosts, "/one"));
            now.addAndGet(TimeUnit.MILLISECONDS.toNanos(5));
            Answered two = ask(hosts, "/two");
            loop.submit(() -> { }).get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            ScriptedHost.reply("200 OK", "stale").answer(twice.one.join(), null);
            assertAnswer("CONNECT_FAILED", two);
            assertEquals(2, host.requests.size());
        }
    }

    @Test
    void aConnectionThatHasSettledCarriesWhatHasWaitedForIt() throws Exception {
        try (ScriptedHost host = new ScriptedHost(new Twice())) {
            UpstreamPool hosts = pool(host);
            assertAnswer("/zero", ask(hosts, "/zero"));
            assertAnswer("/one", ask(hosts, "/one"));
            Answered two = ask(hosts, "/two");
            Answered off = new Answered();
            loop.submit(() -> hosts.send("h", new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/off",
                    Unpooled.EMPTY_BUFFER), LONG_NANOS, off)).get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            assertAnswer("/off", off);
            now.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
            assertAnswer("/two", two);
            assertAnswer("/three", ask(hosts, "/three"));
            assertEquals(3, host.connections.size(), "one broken, one that had to settle, one opened meanwhile");
        }
    }
}
