package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.PATIENCE_MILLIS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cinderhollow.core.GatewayClock;
import cinderhollow.core.Transport;
import cinderhollow.http1.HostPool;
import cinderhollow.http1.Passage;
import cinderhollow.membership.EndpointList;
import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.policy.Protocol.LoadReport;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A host that answers a request a second time some milliseconds later, in made-up time. */
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

    /** The answer's body. */
    private static final class Answered extends CompletableFuture<String> implements HostPool.Listener {
        @Override
        public void ended(HostPool.Attempt attempt, Outcome outcome, long atNanos, LoadReport load, ByteBuf body) {
            complete(outcome == Outcome.SERVED ? body.toString(StandardCharsets.US_ASCII) : outcome.toString());
        }

        @Override
        public void written() { }

        @Override
        public Passage begun(HostPool.Attempt attempt, long atNanos, LoadReport load, long length, Passage.Source source) {
            return null;
        }

        @Override
        public int account() {
            return 0;
        }

        @Override
        public String id() {
            return "any";
        }
    }

    private String ask(HostPool hosts, String path) throws Exception {
        Answered answered = new Answered();
        loop.execute(() -> hosts.send("h", new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
                Unpooled.EMPTY_BUFFER), LONG_NANOS, answered));
        return answered.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The second answer is written when the next request has come: on the connection of the first it would pass for its own. */
    @Test
    void isNotTakenForTheAnswerToTheNextRequest() throws Exception {
        CompletableFuture<Socket> first = new CompletableFuture<>();
        ScriptedHost.Script twice = (socket, request) -> {
            if (request.firstLine().contains("/zero")) {
                ScriptedHost.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n/zero".repeat(2));
                return;
            }
            if (request.firstLine().contains("/one")) {
                first.complete(socket);
            } else if (request.firstLine().contains("/two")) {
                ScriptedHost.reply("200 OK", "stale").answer(first.join(), request);
            }
            ScriptedHost.reply("200 OK", request.firstLine().split(" ")[1]).answer(socket, request);
        };
        try (ScriptedHost host = new ScriptedHost(twice)) {
            HostPool hosts = new HostPool(loop, Transport.TCP, clock, LONG_NANOS, LONG_NANOS, 10, null, 0);
            loop.execute(() -> hosts.update(new EndpointList(1, true, List.of(new Endpoint(
                    new ServerInfo("h", "a", "std", 0, Readiness.READY, 1, 0), host.address())))));
            // That host brings more than one answer, which shows with the first.
            assertEquals("/zero", ask(hosts, "/zero"));
            assertEquals("/one", ask(hosts, "/one"));
            now.addAndGet(TimeUnit.MILLISECONDS.toNanos(5));
            assertEquals("/two", ask(hosts, "/two"));
            assertEquals(3, host.connections.size());
            // Once it has settled, the connection that is still sound carries the next one.
            now.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
            assertEquals("/three", ask(hosts, "/three"));
            assertEquals(3, host.connections.size());
        }
    }
}
