package cinderhollow.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which request paths are accepted, and which are rejected as ambiguous. */
class PathsTest {
    @ParameterizedTest
    @ValueSource(strings = {"/", "/status", "/status/", "/status/7?q=1", "/status/a%20b", "/a/b/c", "/a..b/.c/...",
        "/x/%C3%BC", "/s?next=/../a//b;c%2F", "/a:b@c!$&'()*+,=-._~"})
    void ordinaryPathsAreAccepted(String target) {
        assertNull(Paths.findProblem(target));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "status", "http://x/status", "*", "?q", "/status/../submit", "/status/..", "/./status",
        "/status/.", "/../submit", "//submit", "/status//7", "/status/%2e%2e/submit", "/status/%2E./submit",
        "/status%2Fsubmit", "/status/%2f", "/status;v=1/7", "/status\\..\\submit", "/status/%5c", "/status/%00",
        "/status/%0d%0a", "/status/%7f", "/status/%", "/status/%2", "/status/%zz", "/%73tatus", "/status/%41", "/st atus",
        "/status/\u00fc", "/status/\u0001", "/status#x", "/status/%3B", "/status/%25"})
    void ambiguousPathsAreRejected(String target) {
        assertNotNull(Paths.findProblem(target));
    }

    /** Guards against accepting a path that a server which normalizes paths reads differently. */
    @Test
    void acceptedPathsAreNormalizedAlready() {
        String alphabet = "/../%2e2fa;\\.b";
        long seed = 20261201;
        SplittableRandom random = new SplittableRandom(seed);
        int acceptedCount = 0;
        for (int i = 0; i < 200_000; i++) {
            StringBuilder text = new StringBuilder("/");
            for (int n = random.nextInt(12); n > 0; n--) {
                text.append(alphabet.charAt(random.nextInt(alphabet.length())));
            }
            String path = text.toString();
            if (Paths.findProblem(path) == null) {
                acceptedCount++;
                assertEquals(path, URI.create("http://h" + path).normalize().getRawPath(), "seed " + seed);
            }
        }
        assertTrue(acceptedCount > 1000, "too few paths accepted: " + acceptedCount);
    }
}
