package cinderhollow.routes;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the route of a request by its method and path: a tree by segments, in which a plain name goes before
 * {@code {name}} and this before {@code **}. The cost grows with the path and not with the number of routes. A
 * request that no route takes belongs to the class that its path's first part names, as without a table.
 */
public final class RouteTable {
    private static final class Place {
        private final Map<String, Place> names = new HashMap<>();
        private Place any;
        private final Map<String, Route> rest = new HashMap<>();
        private final Map<String, Route> here = new HashMap<>();
    }

    private final Place root = new Place();
    private final Map<String, Route> byClass;

    /** No two of the routes may match the same request; {@code byClass} has a class's own route by its name. */
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

    /** The route, or null where neither a pattern nor a class takes it. The path must have passed {@link Paths}. */
    public Route find(String method, String target) {
        Route found = find(root, method, target, 1, Paths.end(target));
        return found != null ? found : byClass.get(Paths.firstPart(target));
    }

    /** The deepest walk is as long as the path has segments; each step has at most two ways on. */
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
