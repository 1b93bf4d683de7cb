package cinderhollow.lab;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Runs one stand-in node in a process of its own, to try out a gateway. */
public final class SingleNode {
    private SingleNode() { }

    /** Starts the node and returns its port. It runs until the process exits; port 0 picks a free one. */
    public static int start(int port, double workMillis) throws InterruptedException {
        if (port < 0 || port > 65_535 || !(workMillis >= 0 && workMillis <= 60_000)) {
            throw new IllegalArgumentException("the port must be 0 to 65535, and the work 0 to 60000 ms");
        }
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        MultiThreadIoEventLoopGroup loopGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        NodeModel.Machine machine = new NodeModel.Machine(1, 1, 400, 0.31, TimeUnit.SECONDS.toNanos(8), 2.5,
                TimeUnit.MILLISECONDS.toNanos(1_500));
        StandInNode.Profile profile = new StandInNode.Profile(160, TimeUnit.SECONDS.toNanos(15), 0,
                Map.of("", workMillis * TimeUnit.MILLISECONDS.toNanos(1)), workMillis == 0);
        return new StandInNode(port, loopGroup.next(), machine, TimeUnit.MILLISECONDS.toNanos(200), profile, port,
                sighting -> { }).listen(port).getPort();
    }
}
