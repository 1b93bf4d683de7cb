package cinderhollow.routes;

/**
 * A kind of requests and what may be done for them.
 *
 * @param pattern null for a class's own route, which takes what no pattern does
 */
public record Route(String method, PathPattern pattern, String requestClass, Terms terms) {
    /** How findings and tables name it. */
    @Override
    public String toString() {
        return pattern == null ? "class " + requestClass : method + " " + pattern.text();
    }
}
