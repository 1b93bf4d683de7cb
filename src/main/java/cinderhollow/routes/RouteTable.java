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
    private static final class Place {
        private final Map<String, Place> names = new HashMap<>();
        private Place any;
        private final Map<String, Route> rest = new HashMap<>();
        private final Map<String, Route> here = new HashMap<>();
    }

    private final Place root = new Place();
    private final Map<String, Route> byClass;

    /**
     * Creates a table.
     *
     * @param routes routes with a pattern; where two of them match the same request, one must be more specific than the other
     * @param byClass the route of each class without a pattern, by the name of the class
     */
    public RouteTable(List<Route> routes, Map<String, Route> byClass) {
        this.byClass = Map.copyOf(byClass);
        routes.forEach(this::add);
    }

    private void add(Route route) {
        Place place = root;
        for (String segment : route.pattern().segments()) {
            if (segment.equals(PathPattern.REST)) {
                place.rest.put(route.method(), route);
                return;
            }
            if (segment.equals(PathPattern.ONE)) {
                place.any = place.any == null ? new Place() : place.any;
                place = place.any;
            } else {
                place = place.names.computeIfAbsent(segment, name -> new Place());
            }
        }
        place.here.put(route.method(), route);
    }

    /** Returns the route, or null if no pattern matches and no class has that name. {@link Paths} must accept the path. */
    public Route find(String method, String target) {
        Route found = find(root, method, target, 1, Paths.end(target));
        return found != null ? found : byClass.get(Paths.firstSegment(target));
    }

    /** Recurses at most once for each segment of the path; at each position there are at most two children to try. */
    private static Route find(Place place, String method, String target, int from, int end) {
        if (from > end) {
            return place.here.get(method);
        }
        int slash = target.indexOf('/', from);
        int to = slash < 0 || slash > end ? end : slash;
        Place named = place.names.get(target.substring(from, to));
        Route found = named == null ? null : find(named, method, target, to + 1, end);
        if (found == null && place.any != null && to > from) {
            found = find(place.any, method, target, to + 1, end);
        }
        return found != null || to == from ? found : place.rest.get(method);
    }
}
