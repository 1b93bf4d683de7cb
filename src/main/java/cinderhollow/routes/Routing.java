package cinderhollow.routes;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/** The routes of one gateway, each with its policy and the state of that policy. Used by one thread only. */
public final class Routing {
    /** The class that a request belongs to, and the policy of its route, which limits what the decision module may do. */
    public record Match(String requestClass, BudgetedRoutePolicy routePolicy) { }

    private final RouteTable table;
    private final Map<Route, Match> matchesByRoute = new IdentityHashMap<>();

    /** Creates the routing from the routes with a pattern and the routes of classes, which take requests that none matches. */
    public Routing(List<Route> routes) {
        Map<String, Route> routesByClass = new HashMap<>();
        for (Route route : routes) {
            matchesByRoute.put(route, new Match(route.requestClass(), new BudgetedRoutePolicy(matchesByRoute.size(),
                    route.settings())));
            if (route.pattern() == null) {
                routesByClass.put(route.requestClass(), route);
            }
        }
        table = new RouteTable(routes.stream().filter(route -> route.pattern() != null).toList(), routesByClass);
    }

    /** Returns the class and policy of a request, or null if no route matches. {@link Paths} must accept the path. */
    public Match find(String method, String target) {
        Route route = table.find(method, target);
        return route == null ? null : matchesByRoute.get(route);
    }
}
