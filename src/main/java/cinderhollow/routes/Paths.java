package cinderhollow.routes;

/**
 * Rejects ambiguous request paths. If a gateway chooses the route by the path as received and forwards it unchanged, a server
 * that normalizes paths may see another one: {@code /status/../submit} would be retried like a status request and run as a
 * submit. Therefore paths that can be read in two ways are rejected (RFC 3986, sections 3.3, 5.2.4 and 6.2.2), and routes are
 * chosen by exactly the path that the server sees.
 */
public final class Paths {
    private Paths() { }

    /** Returns the first segment of a path that {@link #findProblem} accepts. Where no route matches, it names the request's class. */
    public static String firstSegment(String target) {
        int pathEnd = findPathEnd(target);
        int slash = target.indexOf('/', 1);
        return target.substring(Math.min(1, pathEnd), slash < 0 || slash > pathEnd ? pathEnd : slash);
    }

    /**
     * Returns one line that says why the path of a request target is ambiguous or invalid, or null if the path is accepted.
     * The query, from the first question mark on, is not checked; only the server interprets it.
     */
    public static String findProblem(String target) {
        int pathEnd = findPathEnd(target);
        if (pathEnd == 0 || target.charAt(0) != '/') {
            return "the target is no path";
        }
        int segmentStart = 1;
        for (int i = 1; i < pathEnd; i++) {
            char c = target.charAt(i);
            if (c <= ' ' || c >= 0x7f) {
                return "the path has a space, a control or a character beyond ASCII";
            }
            if (c == '/') {
                String problem = findSegmentProblem(target, segmentStart, i);
                if (problem != null) {
                    return problem;
                }
                segmentStart = i + 1;
            } else if (c == '%') {
                String problem = findEscapeProblem(target, i, pathEnd);
                if (problem != null) {
                    return problem;
                }
            } else if (c == '\\' || c == ';' || c == '#') {
                return "the path has a '" + c + "', which nodes read in more than one way";
            }
        }
        // One trailing slash is allowed: a server that drops it still sees a path of the same class.
        return segmentStart == pathEnd ? null : findSegmentProblem(target, segmentStart, pathEnd);
    }

    /** Returns the index at which the path ends and the query, if any, begins. */
    static int findPathEnd(String target) {
        int queryStart = target.indexOf('?');
        return queryStart < 0 ? target.length() : queryStart;
    }

    private static String findSegmentProblem(String target, int from, int to) {
        int length = to - from;
        if (length == 0) {
            return "the path has an empty segment";
        }
        boolean dotSegment = target.charAt(from) == '.' && (length == 1 || length == 2 && target.charAt(from + 1) == '.');
        return dotSegment ? "the path has a dot segment" : null;
    }

    /** An escape must be necessary and must not encode a separator; otherwise the same path could be written in two ways. */
    private static String findEscapeProblem(String target, int escapeStart, int pathEnd) {
        int highDigit = escapeStart + 2 < pathEnd ? Character.digit(target.charAt(escapeStart + 1), 16) : -1;
        int lowDigit = escapeStart + 2 < pathEnd ? Character.digit(target.charAt(escapeStart + 2), 16) : -1;
        if (highDigit < 0 || lowDigit < 0) {
            return "the path has a broken percent escape";
        }
        int value = highDigit << 4 | lowDigit;
        if (value == '/' || value == '\\' || value == ';' || value == '%' || value < ' ' || value == 0x7f) {
            return "the path hides a separator, a percent sign or a control in an escape";
        }
        return isUnreserved(value) ? "the path escapes what needs no escape" : null;
    }

    /** Returns whether the character is unreserved (RFC 3986, section 2.3). */
    private static boolean isUnreserved(int c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_'
                || c == '~';
    }
}
