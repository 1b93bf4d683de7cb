package cinderhollow.daemon;

import cinderhollow.ops.GatewayControl;
import cinderhollow.ops.GatewayStats;
import cinderhollow.ops.OpsSocket;
import io.netty.channel.EventLoopGroup;
import java.net.SocketAddress;
import java.util.concurrent.CompletableFuture;

/** Starts the operators' socket of a process. Loaded only where the platform names an address for it. */
final class OpsSocketLauncher {
    private OpsSocketLauncher() { }

    /**
     * Opens the operators' socket for this gateway and returns a task that closes it. An address that cannot be bound causes
     * an {@link IllegalArgumentException}, which fails the start.
     */
    static Runnable open(EventLoopGroup group, SocketAddress address, GatewayService gateway) {
        OpsSocket opsSocket = new OpsSocket(group.next(), new GatewayControl() {
            @Override
            public CompletableFuture<Boolean> isServing() {
                return gateway.isServing();
            }

            @Override
            public CompletableFuture<GatewayStats> stats() {
                return gateway.stats();
            }

            @Override
            public CompletableFuture<Void> setStandby(boolean empty) {
                return gateway.setStandby(empty);
            }
        }, Gateway.OPS_SOCKET_DESCRIPTORS - 1);
        Throwable fault = opsSocket.open(address).awaitUninterruptibly().cause();
        if (fault != null) {
            group.shutdownGracefully();
            throw new IllegalArgumentException("can't listen on " + address + " for operators: " + fault.getMessage(), fault);
        }
        return opsSocket::close;
    }
}
