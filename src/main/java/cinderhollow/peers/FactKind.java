package cinderhollow.peers;

/**
 * Kind of fact.
 *
 * @param number number of the kind in datagrams
 * @param reconciled whether members compare and synchronise facts of this kind; other facts are only repeated by their source
 * @param priority facts with a lower rank are sent first if not all fit into a datagram
 */
public record FactKind(int number, boolean reconciled, int priority) {
    /** State of a member (alive, suspected, dead or left); used by the membership protocol itself. */
    public static final FactKind MEMBER = new FactKind(0, true, 1);
}
