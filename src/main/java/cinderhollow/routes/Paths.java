package cinderhollow.routes;

/**
 * Paths that mean one thing. A gateway that routes on one reading of a path and passes on the bytes lets a node that
 * normalises them read another: {@code /status/../submit} would be repeated as a status and run as a submit. What has
 * two readings is turned away (RFC 3986, sections 3.3, 5.2.4 and 6.2.2), and routes are found on exactly what the node
 * will see.
 */
public final class Paths {
    private Paths() { }

    /** The first part of a path that has passed {@link #fault}: without routes the class of a request. */
    public static String firstPart(String target) {
        int end = end(target);
        int slash = target.indexOf('/', 1);
        return target.substring(Math.min(1, end), slash < 0 || slash > end ? end : slash);
    }

    /**
     * What is wrong with the path of a request's target, as one plain line, or null if it has one meaning. The query,
     * from the first question mark on, is the node's own matter.
     */
    public static String fault(String target) {
        int end = end(target);
        if (end == 0 || target.charAt(0) != '/') {
            return "the target is no path";
        }
        int segment = 1;
        for (int i = 1; i < end; i++) {
            char c = target.charAt(i);
            if (c <= ' ' || c >= 0x7f) {
                return "the path has a space, a control or a character beyond ASCII";
            }
            if (c == '/') {
                String wrong = segmentFault(target, segment, i);
                if (wrong != null) {
                    return wrong;
                }
                segment = i + 1;
            } else if (c == '%') {
                String wrong = escapeFault(target, i, end);
                if (wrong != null) {
                    return wrong;
                }
            } else if (c == '\\' || c == ';' || c == '#') {
                return "the path has a '" + c + "', which nodes read in more than one way";
            }
        }
        // One slash at the end is a path of its own; nodes that drop it reach the same class.
        return segment == end ? null : segmentFault(target, segment, end);
    }

    /** Where the path ends. */
    static int end(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target.length() : query;
    }

    private static String segmentFault(String target, int from, int to) {
        int length = to - from;
        if (length == 0) {
            return "the path has an empty segment";
        }
        boolean dots = target.charAt(from) == '.' && (length == 1 || length == 2 && target.charAt(from + 1) == '.');
        return dots ? "the path has a dot segment" : null;
    }

    /** An escape must be needed, and must not hide what parts a path; else the same path has two spellings. */
    private static String escapeFault(String target, int at, int end) {
        int high = at + 2 < end ? Character.digit(target.charAt(at + 1), 16) : -1;
        int low = at + 2 < end ? Character.digit(target.charAt(at + 2), 16) : -1;
        if (high < 0 || low < 0) {
            return "the path has a broken percent escape";
        }
        int value = high << 4 | low;
        if (value == '/' || value == '\\' || value == ';' || value == '%' || value < ' ' || value == 0x7f) {
            return "the path hides a separator, a percent sign or a control in an escape";
        }
        return isUnreserved(value) ? "the path escapes what needs no escape" : null;
    }

    /** RFC 3986, section 2.3. */
    private static boolean isUnreserved(int c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_'
                || c == '~';
    }
}
