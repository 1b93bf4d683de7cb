package cinderhollow.routes;

import java.util.ArrayList;
import java.util.List;

/**
 * A path with places for what varies: {@code /accounts/{id}/days} and, for all below, {@code /files/**}.
 *
 * @param segments in order; a variable one is {@link #ONE}, the rest of all is {@link #REST}
 */
public record PathPattern(String text, List<String> segments) {
    /** Any one segment that is not empty. */
    static final String ONE = "{}";
    /** One segment or more; only at the end. */
    static final String REST = "**";

    /** Keeps a copy. */
    public PathPattern {
        segments = List.copyOf(segments);
    }

    /** Reads one; what can't be read ends as an {@link IllegalArgumentException} that says why. */
    public static PathPattern parse(String text) {
        if (!text.startsWith("/") || text.length() < 2) {
            throw new IllegalArgumentException("a path begins with '/' and has a first part");
        }
        if (text.indexOf('?') >= 0) {
            throw new IllegalArgumentException("a path has no query");
        }
        List<String> segments = new ArrayList<>();
        StringBuilder plain = new StringBuilder();
        String[] parts = text.substring(1).split("/", -1);
        for (int i = 0; i < parts.length; i++) {
            String part = parts[i];
            boolean last = i == parts.length - 1;
            if (part.equals(REST)) {
                if (!last) {
                    throw new IllegalArgumentException("** stands at the end alone");
                }
                segments.add(REST);
                plain.append("/x");
            } else if (part.matches("\\{[A-Za-z][A-Za-z0-9_-]*}")) {
                segments.add(ONE);
                plain.append("/x");
            } else if (part.contains("{") || part.contains("}") || part.contains("*")) {
                throw new IllegalArgumentException("'" + part + "' is neither a name, nor {name}, nor **");
            } else {
                segments.add(part);
                plain.append('/').append(part);
            }
        }
        if (segments.get(0).equals(ONE) || segments.get(0).equals(REST)) {
            throw new IllegalArgumentException("the first part can't vary: it would take every class's requests");
        }
        String wrong = Paths.fault(plain.toString());
        if (wrong != null) {
            throw new IllegalArgumentException(wrong);
        }
        return new PathPattern(text, segments);
    }

    /** Whether some path matches both. */
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

    /** Whether this one is tried first wherever both match: at each place it is the more exact one, or equal. */
    public boolean isMoreExactThan(PathPattern other) {
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
