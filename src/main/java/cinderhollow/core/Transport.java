package cinderhollow.core;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/** The kind of sockets that a gateway uses on all its sides. */
public record Transport(Class<? extends ServerChannel> server, Class<? extends Channel> client) {
    /** Sockets of the network. */
    public static final Transport TCP = new Transport(NioServerSocketChannel.class, NioSocketChannel.class);

    /** Sockets in the file system, which nothing outside this machine can reach. */
    public static final Transport FILES = new Transport(NioServerDomainSocketChannel.class, NioDomainSocketChannel.class);

    /** Queues within this process, for which no kernel is asked; on the event loop of such channels alone. */
    public static final Transport PROCESS = new Transport(LocalServerChannel.class, LocalChannel.class);
}
