package cinderhollow.daemon;

import cinderhollow.evacuation.Terms;
import cinderhollow.peers.Roster;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * How an operator lets this gateway talk with the fleet's others.
 *
 * @param listen where their datagrams come
 * @param members where each of them listens, in the order of their numbers; a datagram of one comes from there too
 */
record Peering(InetSocketAddress listen, List<InetSocketAddress> members, Roster roster, Terms terms) {
    /** Keeps a copy. */
    Peering {
        members = List.copyOf(members);
    }
}
