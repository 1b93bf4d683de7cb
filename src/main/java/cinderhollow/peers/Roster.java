package cinderhollow.peers;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Members of a fleet, numbered by their positions in the list of addresses that all of them are configured with.
 *
 * @param self number of this member
 * @param size number of members
 * @param fleet name of the fleet; datagrams of other fleets are dropped
 * @param secret secret shared by all members, which authenticates datagrams; empty if there is none
 */
public record Roster(int self, int size, String fleet, byte[] secret) {
    /** Maximum number of members; a member's number is encoded in two bytes. */
    public static final int MAX_MEMBERS = 10_000;

    /** Checks the numbers and copies the secret. */
    public Roster {
        if (size < 1 || size > MAX_MEMBERS || self < 0 || self >= size) {
            throw new IllegalArgumentException("invalid member number " + self + " of " + size);
        }
        secret = secret.clone();
    }

    /** Returns a checksum of name and size: with another size, member numbers may mean other members. */
    int fleetTag() {
        CRC32C sum = new CRC32C();
        sum.update((fleet + '/' + size).getBytes(StandardCharsets.UTF_8));
        return (int) sum.getValue();
    }

    @Override
    public byte[] secret() {
        return secret.clone();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Roster r && r.self == self && r.size == size && r.fleet.equals(fleet)
                && Arrays.equals(r.secret, secret);
    }

    @Override
    public int hashCode() {
        return 31 * self + fleet.hashCode();
    }

    @Override
    public String toString() {
        return "member " + self + " of " + size + " of fleet '" + fleet + "'";
    }
}
