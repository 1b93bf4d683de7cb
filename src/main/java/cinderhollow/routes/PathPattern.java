package cinderhollow.routes;

import java.util.ArrayList;
import java.util.List;

/**
 * Pattern of request paths, with variable segments as in {@code /accounts/{id}/days}, or with any suffix as in
 * {@code /files/**}.
 *
 * @param text the pattern as written by the operator
 * @param segments the segments in order; a variable one is {@link #ONE}, any suffix is {@link #REST}
 */
public record PathPattern(String text, List<String> segments) {
    /** Matches any single segment that is not empty. */
    static final String ONE = "{}";
    /** Matches one or more segments; allowed only at the end of a pattern. */
    static final String REST = "**";

    /** Copies the list. */
    public PathPattern {
        segments = List.copyOf(segments);
    }

    /**
     * Parses a pattern.
     *
     * @throws IllegalArgumentException if the pattern is invalid; the message says why
     */
    public static PathPattern parse(String text) {
        if (!text.startsWith("/") || text.length() < 2) {
            throw new IllegalArgumentException("a path must begin with '/' and have a first segment");
        }
        if (text.indexOf('?') >= 0) {
            throw new IllegalArgumentException("a path must not have a query");
        }
        List<String> segments = new ArrayList<>();
        StringBuilder plain = new StringBuilder();
        String[] parts = text.substring(1).split("/", -1);
        for (int i = 0; i < parts.length; i++) {
            String part = parts[i];
            boolean last = i == parts.length - 1;
            if (part.equals(REST)) {
                if (!last) {
                    throw new IllegalArgumentException("** is allowed only as the last segment");
                }
                segments.add(REST);
                plain.append("/x");
            } else if (part.matches("\\{[A-Za-z][A-Za-z0-9_-]*}")) {
                segments.add(ONE);
                plain.append("/x");
            } else if (part.contains("{") || part.contains("}") || part.contains("*")) {
                throw new IllegalArgumentException("'" + part + "' is neither a literal segment, nor {name}, nor **");
            } else {
                segments.add(part);
                plain.append('/').append(part);
            }
        }
        if (segments.get(0).equals(ONE) || segments.get(0).equals(REST)) {
            throw new IllegalArgumentException("first segment must be literal, or it would match the requests of every class");
        }
        String wrong = Paths.findProblem(plain.toString());
        if (wrong != null) {
            throw new IllegalArgumentException(wrong);
        }
        return new PathPattern(text, segments);
    }

    /** Returns whether some path matches both patterns. */
    public boolean overlaps(PathPattern other) {
        for (int i = 0; ; i++) {
            boolean here = i < segments.size();
            boolean there = i < other.segments.size();
            if (!here || !there) {
                return here == there;
            }
            String a = segments.get(i);
            String b = other.segments.get(i);
            if (a.equals(REST) || b.equals(REST)) {
                return true;
            }
            if (!a.equals(ONE) && !b.equals(ONE) && !a.equals(b)) {
                return false;
            }
        }
    }

    /**
     * Returns whether this pattern takes precedence over the other wherever both match: none of its segments is less specific
     * than the other's at the same position, and at least one is more specific.
     */
    public boolean isMoreSpecificThan(PathPattern other) {
        boolean more = false;
        for (int i = 0; i < Math.min(segments.size(), other.segments.size()); i++) {
            int mine = rank(segments.get(i));
            int theirs = rank(other.segments.get(i));
            if (mine < theirs) {
                return false;
            }
            more |= mine > theirs;
        }
        return more;
    }

    private static int rank(String segment) {
        return segment.equals(REST) ? 0 : segment.equals(ONE) ? 1 : 2;
    }
}
