package cinderhollow.routes;

/**
 * A route: which requests it matches, and the settings that apply to them.
 *
 * @param method HTTP method of the requests
 * @param pattern pattern of their paths, or null for the route of a class, which takes requests that no pattern matches
 * @param requestClass name of the class that the requests belong to
 * @param settings time-outs, attempts and budgets
 */
public record Route(String method, PathPattern pattern, String requestClass, RouteSettings settings) {
    /** Returns the name of the route in messages and tables. */
    @Override
    public String toString() {
        return pattern == null ? "class " + requestClass : method + " " + pattern.text();
    }
}
