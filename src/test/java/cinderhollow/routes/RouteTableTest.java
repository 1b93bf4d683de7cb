package cinderhollow.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which route a request takes, and which path patterns are rejected. */
class RouteTableTest {
    private static Route route(String method, String path) {
        return new Route(method, path == null ? null : PathPattern.parse(path), "c", null);
    }

    private static RouteTable table(Route... routes) {
        return new RouteTable(List.of(routes), Map.of("status", route(null, null)));
    }

    @Test
    void theMoreSpecificRouteIsTaken() {
        Route suffixRoute = route("GET", "/a/**");
        Route variableRoute = route("GET", "/a/{id}");
        Route literalRoute = route("GET", "/a/b");
        Route deepRoute = route("GET", "/a/{id}/d");
        RouteTable table = table(suffixRoute, variableRoute, literalRoute, deepRoute);
        assertEquals(literalRoute, table.find("GET", "/a/b"));
        assertEquals(literalRoute, table.find("GET", "/a/b?q=/a/c"));
        assertEquals(variableRoute, table.find("GET", "/a/c"));
        assertEquals(deepRoute, table.find("GET", "/a/b/d"));
        assertEquals(suffixRoute, table.find("GET", "/a/b/e"));
        assertEquals(suffixRoute, table.find("GET", "/a/b/d/e"));
        assertNull(table.find("POST", "/a/b"), "other method");
        assertNull(table.find("GET", "/a"), "** matches at least one segment");
        assertNull(table.find("GET", "/a/"), "** does not match an empty segment");
        assertNull(table.find("GET", "/b"));
    }

    @Test
    void unmatchedRequestsBelongToTheClassOfTheirFirstSegment() {
        RouteTable table = table(route("GET", "/status/x"));
        assertNull(table.find("GET", "/status/x/").pattern());
        assertNull(table.find("POST", "/status").pattern());
        assertNull(table.find("GET", "/status?x").pattern());
        assertNull(table.find("GET", "/"));
        assertNull(table.find("GET", "/other/status"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "/", "a", "/a//b", "/a/../b", "/{a}/b", "/**", "/a/**/b", "/a/{b", "/a/x{b}", "/a/*",
        "/a/{}", "/a?b", "/a/%2e", "/a;b"})
    void invalidPatternsAreRejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> PathPattern.parse(text));
    }

    /** Compares the trie with a linear search over all routes, on random tables without conflicting routes. */
    @Test
    void theTrieFindsWhatALinearSearchFinds() {
        long seed = 11;
        SplittableRandom random = new SplittableRandom(seed);
        for (int round = 0; round < 2000; round++) {
            List<Route> routes = new ArrayList<>();
            for (int i = random.nextInt(1, 9); i > 0; i--) {
                Route next = route(random.nextBoolean() ? "GET" : "POST", randomPattern(random));
                boolean unambiguous = routes.stream().noneMatch(r -> r.method().equals(next.method())
                        && (r.pattern().segments().equals(next.pattern().segments())
                        || r.pattern().overlaps(next.pattern()) && !r.pattern().isMoreSpecificThan(next.pattern())
                        && !next.pattern().isMoreSpecificThan(r.pattern())));
                if (unambiguous) {
                    routes.add(next);
                }
            }
            RouteTable table = new RouteTable(routes, Map.of());
            for (int i = 0; i < 20; i++) {
                String path = randomPattern(random).replaceAll("\\{.}|\\*\\*", "z");
                Route best = null;
                for (Route r : routes) {
                    boolean matches = r.method().equals("GET") && r.pattern().overlaps(PathPattern.parse(path));
                    best = matches && (best == null || r.pattern().isMoreSpecificThan(best.pattern())) ? r : best;
                }
                assertEquals(best, table.find("GET", path), "seed " + seed + ", " + routes + ", " + path);
            }
        }
    }

    private static String randomPattern(SplittableRandom random) {
        StringBuilder text = new StringBuilder("/").append((char) ('a' + random.nextInt(2)));
        int furtherSegments = random.nextInt(4);
        for (int i = 0; i < furtherSegments; i++) {
            int kind = random.nextInt(5);
            text.append(kind == 0 ? "/{x}" : kind == 1 && i == furtherSegments - 1 ? "/**" : "/"
                    + (char) ('a' + random.nextInt(2)));
        }
        return text.toString();
    }
}
