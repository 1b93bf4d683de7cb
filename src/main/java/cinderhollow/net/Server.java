package cinderhollow.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** The process round a {@link Gateway}: its thread, its start and its end. */
public final class Server {
    /** The platform kills no sooner than 3.7 s after it asked for an end. */
    private static final long LONGEST_END_MILLIS = 3_300, LOOP_END_MILLIS = 100;

    private Server() { }

    /**
     * Starts the gateway that the environment describes and returns when it listens; it runs until the
     * process is asked to end. A bad environment or configuration is an {@link IllegalArgumentException}.
     */
    public static void serve(Map<String, String> environment) {
        GatewayConfig config = GatewayConfig.read(environment);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            Gateway gateway = Gateway.start(group.next(), config).join();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> end(gateway, group)));
        } catch (CompletionException e) {
            group.shutdownGracefully();
            throw new IllegalArgumentException("can't listen on " + config.listen() + ": "
                    + e.getCause().getMessage(), e);
        }
    }

    private static void end(Gateway gateway, EventLoopGroup group) {
        try {
            gateway.end().get(LONGEST_END_MILLIS, TimeUnit.MILLISECONDS);
            // The Java runtime waits 0.3 s at its exit for a thread that stands in a system call.
            group.shutdownGracefully(0, LOOP_END_MILLIS, TimeUnit.MILLISECONDS).await(LOOP_END_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("cinderhollow: ended with requests open: " + e);
        }
    }
}
