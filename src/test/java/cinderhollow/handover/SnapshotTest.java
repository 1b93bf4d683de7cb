package cinderhollow.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import cinderhollow.policy.LearnedState;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of snapshots. */
class SnapshotTest {
    private static final Snapshot EXAMPLE = new Snapshot(new LearnedState(0.5, 0.25, 12.5,
            List.of(new LearnedState.ServerEntry("s-1", 1_700_000_000_123_000_000L, 0.25, 3.5, 1.5, 0.125, true)),
            List.of(new LearnedState.ClassEntry("submit", 1.5e7, 1.25e7, 400))), 41,
            List.of(new Snapshot.EndpointEntry("s-1", "10.1.0.18:8080", "a", "m\"2", 3, false, 1.5, 1_700_000_000_123L),
                    new Snapshot.EndpointEntry("s-2", "10.1.0.19:8080", "b", "m2", 4, true, 1, 0)), true);

    private static int bodyOffset(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1).indexOf('\n') + 1;
    }

    private static Snapshot decode(byte[] bytes) {
        int bodyOffset = bodyOffset(bytes);
        return Snapshot.decode(new String(bytes, 0, bodyOffset, StandardCharsets.ISO_8859_1),
                Arrays.copyOfRange(bytes, bodyOffset, bytes.length));
    }

    @Test
    void whatIsWrittenIsReadAgain() {
        assertEquals(EXAMPLE, decode(EXAMPLE.encode()));
        Snapshot empty = new Snapshot(new LearnedState(0, 0, 0, List.of(), List.of()), 0, List.of(), false);
        assertEquals(empty, decode(empty.encode()));
    }

    /** Changes each byte, and truncates at each length; guards against accepting a corrupt snapshot and other exceptions. */
    @Test
    void truncatedOrChangedSnapshotsAreRejected() {
        byte[] encoded = EXAMPLE.encode();
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < encoded.length; i++) {
            byte[] changed = encoded.clone();
            // The line feed that ends the header line is not part of its fields, so changing it is not an error.
            if (i != bodyOffset(encoded) - 1) {
                changed[i] ^= (byte) (1 + random.nextInt(127));
                assertThrows(IllegalArgumentException.class, () -> decode(changed), "seed 11, byte " + i);
            }
            byte[] truncated = Arrays.copyOf(encoded, i);
            assertThrows(IllegalArgumentException.class, () -> decode(truncated), "the first " + i + " bytes");
        }
    }

    @Test
    void foreignHeadersAndOtherVersionsAreRejected() {
        String header = new String(EXAMPLE.encode(), 0, bodyOffset(EXAMPLE.encode()), StandardCharsets.US_ASCII);
        assertEquals("unsupported snapshot version 2, expected 1", assertThrows(IllegalArgumentException.class,
                () -> Snapshot.bodyLength(header.replace(" 1 ", " 2 "))).getMessage());
        for (String foreignHeader : List.of("", "\n", "HTTP/1.1 400 Bad Request\r\n",
                "kestrelpier-handover 1 99999999 00000000\n",
                "kestrelpier-handover 1 -5 00000000\n", "kestrelpier-handover 1 5\n")) {
            assertThrows(IllegalArgumentException.class, () -> Snapshot.bodyLength(foreignHeader), foreignHeader);
        }
    }

    /**
     * The descriptor limits of the site let one gateway connect to at most 2,000 endpoints: their snapshot is within the size
     * limit, and one that exceeds the limit is rejected.
     */
    @Test
    void itsSizeIsBounded() {
        assertEquals(2_000, decode(withEndpoints(2_000).encode()).endpoints().size());
        assertThrows(IllegalArgumentException.class, () -> withEndpoints(20_000).encode());
    }

    private static Snapshot withEndpoints(int endpointCount) {
        return new Snapshot(EXAMPLE.learnedState(), 1, Collections.nCopies(endpointCount, EXAMPLE.endpoints().get(0)), false);
    }
}
