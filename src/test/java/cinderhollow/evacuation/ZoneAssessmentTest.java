package cinderhollow.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.evacuation.Digest.ZoneSummary;
import cinderhollow.evacuation.ZoneAssessment.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How often single failing servers are mistaken for a failing zone, and how few attempts reveal a zone that does fail. */
class ZoneAssessmentTest {
    private static final int SERVERS = 15, GATEWAYS = 9;

    /** Assesses a random sample: each gateway tries some servers of a zone, of which the first few fail. */
    private static ZoneAssessment sampleAssessment(SplittableRandom random, int failing, int attemptsPerGateway) {
        List<Digest> digests = new ArrayList<>();
        for (int g = 0; g < GATEWAYS; g++) {
            int failures = 0;
            long healthyServerBits = 0;
            long failingServerBits = 0;
            for (int i = 0; i < attemptsPerGateway; i++) {
                int server = random.nextInt(SERVERS);
                failures += server < failing ? 1 : 0;
                failingServerBits |= server < failing ? 1L << server : 0;
                healthyServerBits |= server < failing ? 0 : 1L << server;
            }
            digests.add(new Digest(0, false, 0, 0, 0,
                    List.of(new ZoneSummary(1, attemptsPerGateway, failures, 0, Digest.UNKNOWN_UTILISATION, healthyServerBits,
                    failingServerBits))));
        }
        return ZoneAssessment.of(1, SERVERS, digests);
    }

    /** Counts the bad verdicts in 20,000 random samples. */
    private static int countBadVerdicts(int failing, int attemptsPerGateway) {
        SplittableRandom random = new SplittableRandom(failing * 31L + attemptsPerGateway);
        int count = 0;
        for (int i = 0; i < 20_000; i++) {
            count += sampleAssessment(random, failing, attemptsPerGateway).verdict() == Verdict.BAD ? 1 : 0;
        }
        return count;
    }

    /** Seven of fifteen servers fail: two attempts by each of nine gateways would often blame the zone by chance. */
    @Test
    void independentServerFailuresRarelyCondemnTheZone() {
        assertTrue(countBadVerdicts(7, 2) < 20, "bad verdicts in 20,000 samples of few attempts: " + countBadVerdicts(7, 2));
        assertEquals(0, countBadVerdicts(5, 2));
        assertEquals(0, countBadVerdicts(7, 8));
    }

    @Test
    void oneAttemptPerGatewayDetectsAFailedZone() {
        assertTrue(countBadVerdicts(SERVERS, 1) > 10_000, "bad verdicts in 20,000 samples: " + countBadVerdicts(SERVERS, 1));
        assertEquals(20_000, countBadVerdicts(SERVERS, 2));
    }

    /** With three servers chance can't be ruled out, so that most of all servers failing is enough to blame a small zone. */
    @Test
    void smallZonesAreAssessedByAllTheirServers() {
        assertTrue(ZoneAssessment.areMostServersFailing(3, 3, 3));
        assertTrue(ZoneAssessment.areMostServersFailing(2, 3, 3));
        assertFalse(ZoneAssessment.areMostServersFailing(2, 2, 15));
        assertFalse(ZoneAssessment.areMostServersFailing(5, 7, 15));
        assertTrue(ZoneAssessment.areMostServersFailing(6, 6, 15));
    }
}
