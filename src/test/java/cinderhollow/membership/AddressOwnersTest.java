package cinderhollow.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class AddressOwnersTest {
    private static final int PORT = 1, OTHER_PORT = 2;

    private final AddressOwners owners = new AddressOwners();

    private static Endpoint endpoint(String name, int port, long startedAt) {
        return new Endpoint(new ServerInfo(name, "a", "k", 0, Readiness.READY, 1, startedAt),
                InetSocketAddress.createUnresolved("x", port));
    }

    private Set<String> removedBy(boolean snapshot, Endpoint... endpoints) {
        return owners.resolve(new EndpointList(1, snapshot, List.of(endpoints))).endpoints().stream().filter(Endpoint::isGone)
                .map(endpoint -> endpoint.info().id()).collect(Collectors.toSet());
    }

    /** Guards against a new process that is taken for the one that had its address before. */
    @Test
    void aLaterServerReplacesTheEarlierOneAtItsAddress() {
        assertEquals(Set.of(), removedBy(true, endpoint("old", PORT, 0), endpoint("other", OTHER_PORT, 0)));
        assertEquals(Set.of("old"), removedBy(false, endpoint("new", PORT, 5)));
        assertEquals(Set.of("old"), removedBy(true, endpoint("new", PORT, 5), endpoint("old", PORT, 0)));
        assertEquals(Set.of("old"), removedBy(false, endpoint("old", PORT, 0)));
    }

    @Test
    void serversWithoutAnOrderLeaveEachOtherAlone() {
        assertEquals(Set.of(), removedBy(true, endpoint("one", PORT, 0), endpoint("two", PORT, 0)));
    }

    @Test
    void aServerThatHasMovedLeavesItsAddressToOthers() {
        removedBy(true, endpoint("moved", PORT, 5));
        assertEquals(Set.of(), removedBy(false, endpoint("moved", OTHER_PORT, 5)));
        assertEquals(Set.of(), removedBy(false, endpoint("next", PORT, 3)));
    }
}
