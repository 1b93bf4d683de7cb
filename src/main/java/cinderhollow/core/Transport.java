package cinderhollow.core;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * The kind of sockets that a gateway uses for all its connections.
 *
 * @param serverChannelType Netty class of listening channels
 * @param clientChannelType Netty class of connecting channels
 */
public record Transport(Class<? extends ServerChannel> serverChannelType, Class<? extends Channel> clientChannelType) {
    /** TCP sockets. */
    public static final Transport TCP = new Transport(NioServerSocketChannel.class, NioSocketChannel.class);

    /** Unix domain sockets, which can't be reached from outside this machine. */
    public static final Transport UNIX_DOMAIN = new Transport(NioServerDomainSocketChannel.class, NioDomainSocketChannel.class);

    /** Netty's local channels: queues within this process, without system calls. They need an event loop of their own kind. */
    public static final Transport IN_PROCESS = new Transport(LocalServerChannel.class, LocalChannel.class);
}
