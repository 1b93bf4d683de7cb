package cinderhollow.routes;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the route of a request by its method and path, with a trie of path segments. A literal segment takes precedence over
 * {@code {name}}, and this over {@code **}. The cost depends on the length of the path and not on the number of routes. A
 * request that no pattern matches belongs to the class that is named by the first segment of its path, as without a table.
 */
public final class RouteTable {
    /** Position in the trie, reached by the path segments so far. */
    private static final class TriePosition {
        private final Map<String, TriePosition> literalChildren = new HashMap<>();
        private TriePosition wildcardChild;
        private final Map<String, Route> suffixRoutes = new HashMap<>();
        private final Map<String, Route> exactRoutes = new HashMap<>();
    }

    private final TriePosition root = new TriePosition();
    private final Map<String, Route> routesByClass;

    /**
     * Creates a table.
     *
     * @param routes routes with a pattern; where two of them match the same request, one must be more specific than the other
     * @param routesByClass the route of each class without a pattern, by the name of the class
     */
    public RouteTable(List<Route> routes, Map<String, Route> routesByClass) {
        this.routesByClass = Map.copyOf(routesByClass);
        routes.forEach(this::add);
    }

    private void add(Route route) {
        TriePosition position = root;
        for (String segment : route.pattern().segments()) {
            if (segment.equals(PathPattern.ANY_SUFFIX)) {
                position.suffixRoutes.put(route.method(), route);
                return;
            }
            if (segment.equals(PathPattern.ANY_SEGMENT)) {
                position.wildcardChild = position.wildcardChild == null ? new TriePosition() : position.wildcardChild;
                position = position.wildcardChild;
            } else {
                position = position.literalChildren.computeIfAbsent(segment, name -> new TriePosition());
            }
        }
        position.exactRoutes.put(route.method(), route);
    }

    /** Returns the route, or null if no pattern matches and no class has that name. {@link Paths} must accept the path. */
    public Route find(String method, String target) {
        Route route = find(root, method, target, 1, Paths.findPathEnd(target));
        return route != null ? route : routesByClass.get(Paths.firstSegment(target));
    }

    /** Recurses at most once for each segment of the path; at each position there are at most two children to try. */
    private static Route find(TriePosition position, String method, String target, int segmentStart, int pathEnd) {
        if (segmentStart > pathEnd) {
            return position.exactRoutes.get(method);
        }
        int slash = target.indexOf('/', segmentStart);
        int segmentEnd = slash < 0 || slash > pathEnd ? pathEnd : slash;
        TriePosition literalChild = position.literalChildren.get(target.substring(segmentStart, segmentEnd));
        Route route = literalChild == null ? null : find(literalChild, method, target, segmentEnd + 1, pathEnd);
        if (route == null && position.wildcardChild != null && segmentEnd > segmentStart) {
            route = find(position.wildcardChild, method, target, segmentEnd + 1, pathEnd);
        }
        return route != null || segmentEnd == segmentStart ? route : position.suffixRoutes.get(method);
    }
}
