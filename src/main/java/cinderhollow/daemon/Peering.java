package cinderhollow.daemon;

import cinderhollow.evacuation.EvacuationSettings;
import cinderhollow.peers.Roster;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * How this gateway exchanges datagrams with the fleet's other gateways, as set by the operator's file.
 *
 * @param listenAddress address on which datagrams are received
 * @param members addresses of all members, in the order of their numbers; a member also sends from its address
 * @param roster this member's number, the fleet's size and name, and its secret
 * @param evacuationConfig configuration of the evacuation of zones
 */
record Peering(InetSocketAddress listenAddress, List<InetSocketAddress> members, Roster roster,
        EvacuationSettings evacuationConfig) {
    /** Copies the list of members. */
    Peering {
        members = List.copyOf(members);
    }
}
