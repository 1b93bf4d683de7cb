package cinderhollow.routes;

import java.util.ArrayList;
import java.util.List;

/**
 * Pattern of request paths, with variable segments as in {@code /accounts/{id}/days}, or with any suffix as in
 * {@code /files/**}.
 *
 * @param text the pattern as written by the operator
 * @param segments the segments in order; a variable one is {@link #ANY_SEGMENT}, any suffix is {@link #ANY_SUFFIX}
 */
public record PathPattern(String text, List<String> segments) {
    /** Matches any single segment that is not empty. */
    static final String ANY_SEGMENT = "{}";
    /** Matches one or more segments; allowed only at the end of a pattern. */
    static final String ANY_SUFFIX = "**";

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
        StringBuilder examplePath = new StringBuilder();
        String[] parts = text.substring(1).split("/", -1);
        for (int i = 0; i < parts.length; i++) {
            String part = parts[i];
            boolean last = i == parts.length - 1;
            if (part.equals(ANY_SUFFIX)) {
                if (!last) {
                    throw new IllegalArgumentException("** is allowed only as the last segment");
                }
                segments.add(ANY_SUFFIX);
                examplePath.append("/x");
            } else if (part.matches("\\{[A-Za-z][A-Za-z0-9_-]*}")) {
                segments.add(ANY_SEGMENT);
                examplePath.append("/x");
            } else if (part.contains("{") || part.contains("}") || part.contains("*")) {
                throw new IllegalArgumentException("'" + part + "' is neither a literal segment, nor {name}, nor **");
            } else {
                segments.add(part);
                examplePath.append('/').append(part);
            }
        }
        if (segments.get(0).equals(ANY_SEGMENT) || segments.get(0).equals(ANY_SUFFIX)) {
            throw new IllegalArgumentException("first segment must be literal, or it would match the requests of every class");
        }
        String problem = Paths.findProblem(examplePath.toString());
        if (problem != null) {
            throw new IllegalArgumentException(problem);
        }
        return new PathPattern(text, segments);
    }

    /** Returns whether some path matches both patterns. */
    public boolean overlaps(PathPattern other) {
        for (int i = 0; ; i++) {
            boolean hasSegment = i < segments.size();
            boolean otherHasSegment = i < other.segments.size();
            if (!hasSegment || !otherHasSegment) {
                return hasSegment == otherHasSegment;
            }
            String a = segments.get(i);
            String b = other.segments.get(i);
            if (a.equals(ANY_SUFFIX) || b.equals(ANY_SUFFIX)) {
                return true;
            }
            if (!a.equals(ANY_SEGMENT) && !b.equals(ANY_SEGMENT) && !a.equals(b)) {
                return false;
            }
        }
    }

    /**
     * Returns whether this pattern takes precedence over the other wherever both match: none of its segments is less specific
     * than the other's at the same position, and at least one is more specific.
     */
    public boolean isMoreSpecificThan(PathPattern other) {
        boolean moreSpecific = false;
        for (int i = 0; i < Math.min(segments.size(), other.segments.size()); i++) {
            int ownRank = rank(segments.get(i));
            int otherRank = rank(other.segments.get(i));
            if (ownRank < otherRank) {
                return false;
            }
            moreSpecific |= ownRank > otherRank;
        }
        return moreSpecific;
    }

    private static int rank(String segment) {
        return segment.equals(ANY_SUFFIX) ? 0 : segment.equals(ANY_SEGMENT) ? 1 : 2;
    }
}
