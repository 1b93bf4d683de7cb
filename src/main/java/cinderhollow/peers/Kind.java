package cinderhollow.peers;

/**
 * Kind of fact.
 *
 * @param number number of the kind in datagrams
 * @param lasting whether members compare and synchronise facts of this kind; other facts are only repeated by their source
 * @param rank facts with a lower rank are sent first if not all fit into a datagram
 */
public record Kind(int number, boolean lasting, int rank) {
    /** State of a member (alive, suspected, dead or left); used by the membership protocol itself. */
    public static final Kind MEMBER = new Kind(0, true, 1);
}
