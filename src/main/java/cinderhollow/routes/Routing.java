package cinderhollow.routes;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/** The routes of one gateway, each with its course. One owner thread. */
public final class Routing {
    /** The class that a request belongs to, and what its route lets the module do. */
    public record Match(String requestClass, RouteCourse course) { }

    private final RouteTable table;
    private final Map<Route, Match> matches = new IdentityHashMap<>();

    /** The routes with a pattern, and those of the classes, which take what no pattern does. */
    public Routing(List<Route> routes) {
        Map<String, Route> byClass = new HashMap<>();
        for (Route route : routes) {
            matches.put(route, new Match(route.requestClass(), new RouteCourse(matches.size(), route.terms())));
            if (route.pattern() == null) {
                byClass.put(route.requestClass(), route);
            }
        }
        table = new RouteTable(routes.stream().filter(route -> route.pattern() != null).toList(), byClass);
    }

    /** Null where nothing takes the request. */
    public Match find(String method, String target) {
        Route route = table.find(method, target);
        return route == null ? null : matches.get(route);
    }
}
