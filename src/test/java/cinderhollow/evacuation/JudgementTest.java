package cinderhollow.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.evacuation.Digest.OfZone;
import cinderhollow.evacuation.Judgement.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How often single failing servers are mistaken for a failing zone, and how few attempts reveal a zone that does fail. */
class JudgementTest {
    private static final int HOSTS = 15, GATEWAYS = 9;

    /** Assesses a random sample: each gateway tries some servers of a zone, of which the first few fail. */
    private static Judgement drawn(SplittableRandom random, int failing, int triesOfEach) {
        List<Digest> digests = new ArrayList<>();
        for (int g = 0; g < GATEWAYS; g++) {
            int bad = 0;
            long good = 0;
            long broken = 0;
            for (int i = 0; i < triesOfEach; i++) {
                int host = random.nextInt(HOSTS);
                bad += host < failing ? 1 : 0;
                broken |= host < failing ? 1L << host : 0;
                good |= host < failing ? 0 : 1L << host;
            }
            digests.add(new Digest(0, false, 0, 0, 0, List.of(new OfZone(1, triesOfEach, bad, 0, Digest.UNKNOWN_USE, good, broken))));
        }
        return Judgement.of(1, HOSTS, digests);
    }

    /** Counts the bad verdicts in 20,000 random samples. */
    private static int condemned(int failing, int triesOfEach) {
        SplittableRandom random = new SplittableRandom(failing * 31L + triesOfEach);
        int count = 0;
        for (int i = 0; i < 20_000; i++) {
            count += drawn(random, failing, triesOfEach).verdict() == Verdict.BAD ? 1 : 0;
        }
        return count;
    }

    /** Seven of fifteen servers fail: two attempts by each of nine gateways would often blame the zone by chance. */
    @Test
    void hostsThatFailForThemselvesSeldomPassForTheirZone() {
        assertTrue(condemned(7, 2) < 20, "bad verdicts in 20,000 samples of few attempts: " + condemned(7, 2));
        assertEquals(0, condemned(5, 2));
        assertEquals(0, condemned(7, 8));
    }

    @Test
    void aZoneThatFailsIsToldByOneAttemptOfEachGateway() {
        assertTrue(condemned(HOSTS, 1) > 10_000, "bad verdicts in 20,000 samples: " + condemned(HOSTS, 1));
        assertEquals(20_000, condemned(HOSTS, 2));
    }

    /** With three servers chance can't be ruled out, so that most of all servers failing is enough to blame a small zone. */
    @Test
    void smallZonesAreJudgedByAllTheirHosts() {
        assertTrue(Judgement.mostHosts(3, 3, 3));
        assertTrue(Judgement.mostHosts(2, 3, 3));
        assertFalse(Judgement.mostHosts(2, 2, 15));
        assertFalse(Judgement.mostHosts(5, 7, 15));
        assertTrue(Judgement.mostHosts(6, 6, 15));
    }
}
