package cinderhollow.lab;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One stand-in node as a process of its own, for a first look at a gateway. */
public final class SingleNode {
    private SingleNode() { }

    /** Starts it and returns its port; it runs until the process ends. */
    public static int start(int port, double workMillis) throws InterruptedException {
        if (port < 0 || port > 65_535 || !(workMillis >= 0 && workMillis <= 60_000)) {
            throw new IllegalArgumentException("a port from 0 to 65535, and work of 0 to 60000 ms");
        }
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        NodeModel.Machine machine = new NodeModel.Machine(1, 1, 400, 0.31, TimeUnit.SECONDS.toNanos(8), 2.5,
                TimeUnit.MILLISECONDS.toNanos(1_500));
        StandInNode.Ways ways = new StandInNode.Ways(160, TimeUnit.SECONDS.toNanos(15), 0,
                Map.of("", workMillis * TimeUnit.MILLISECONDS.toNanos(1)), workMillis == 0);
        return new StandInNode(port, group.next(), machine, TimeUnit.MILLISECONDS.toNanos(200), ways, port,
                sighting -> { }).listen(port).getPort();
    }
}
