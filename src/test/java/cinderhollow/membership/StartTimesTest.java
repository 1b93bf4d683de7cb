package cinderhollow.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests with simulated time a gateway whose wall clock was stepped before it started. */
class StartTimesTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1), NOW = 1_000_000 * SECOND;

    private final StartTimes startTimes = new StartTimes();

    private static EndpointList list(boolean snapshot, String name, long since) {
        return new EndpointList(1, snapshot, List.of(new Endpoint(new ServerInfo(name, "a", "std", 0, Readiness.READY, 1, since),
                new InetSocketAddress("127.0.0.1", 1))));
    }

    private static long startOfFirst(EndpointList list) {
        return list.servers().get(0).startedAtNanos();
    }

    @Test
    void clocksThatAgreeLeaveEachListAsItIs() {
        EndpointList first = list(true, "a", NOW - 3 * SECOND);
        assertSame(first, startTimes.convert(first, NOW));
        EndpointList change = list(false, "b", NOW + 5 * SECOND);
        assertSame(change, startTimes.convert(change, NOW + 6 * SECOND));
        assertEquals(0, startTimes.clockOffsetNanos());
    }

    /** If the gateway's clock is behind, a server would count as cold until that clock has caught up. */
    @ParameterizedTest
    @ValueSource(longs = {5, 3_600})
    void aStartInTheFutureCountsAsNow(long seconds) {
        assertEquals(NOW, startOfFirst(startTimes.convert(list(true, "a", NOW + seconds * SECOND), NOW)));
        EndpointList next = list(false, "b", NOW + (seconds + 10) * SECOND);
        assertEquals(NOW + 10 * SECOND, startOfFirst(startTimes.convert(next, NOW + 12 * SECOND)));
    }

    /** If the gateway's clock is ahead, a server that starts now would count as warm. */
    @Test
    void aNewlyListedStartLongAgoCountsAsNow() {
        startTimes.convert(list(true, "a", NOW - 7_000 * SECOND), NOW);
        long toldNow = NOW + 10 * SECOND - 3_600 * SECOND;
        assertEquals(NOW + 10 * SECOND, startOfFirst(startTimes.convert(list(false, "b", toldNow), NOW + 10 * SECOND)));
        long toldLater = NOW + 20 * SECOND - 3_600 * SECOND;
        assertEquals(NOW + 20 * SECOND, startOfFirst(startTimes.convert(list(false, "c", toldLater), NOW + 22 * SECOND)));
    }

    @Test
    void aStartThatIsKnownStaysWhereItIs() {
        long told = NOW + 3_600 * SECOND;
        assertEquals(NOW, startOfFirst(startTimes.convert(list(true, "a", told), NOW)));
        assertEquals(NOW, startOfFirst(startTimes.convert(list(false, "a", told), NOW + 50 * SECOND)));
    }

    /** A list cached before the gateway started does not tell when servers that it lacks were started. */
    @Test
    void afterACachedListAServerMayHaveStartedLongAgo() {
        startTimes.convertCached(list(true, "a", NOW - 7_000 * SECOND), NOW);
        EndpointList first = list(true, "b", NOW - 5_000 * SECOND);
        assertSame(first, startTimes.convert(first, NOW + SECOND));
    }
}
