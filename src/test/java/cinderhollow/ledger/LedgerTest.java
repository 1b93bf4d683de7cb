package cinderhollow.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.Outcome;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The sums of the ledger hold however requests and attempts end, and a single missing or duplicate update is found. */
class LedgerTest {
    private static final int ACCOUNTS = 3;

    private final Ledger ledger = new Ledger(List.of("class status", "class submit", "GET /status/{account}/days"));
    private final long[][] openCounts = new long[LedgerPlace.values().length][ACCOUNTS];

    private void open(LedgerPlace place, int account, String id) {
        ledger.counters(place).recordOpened(account, id);
        openCounts[place.ordinal()][account]++;
    }

    private void end(LedgerPlace place, int account, Enum<?> end, String id) {
        ledger.counters(place).recordEnded(account, end.ordinal(), id);
        openCounts[place.ordinal()][account]--;
    }

    private List<Breach> findNewBreaches() {
        return ledger.findNewBreaches((place, account) -> openCounts[place.ordinal()][account]);
    }

    /** Opens and ends requests with up to three attempts each, in random order and with random ends. */
    private void runRandomRequests(SplittableRandom random, int requests) {
        List<Runnable> pendingEnds = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            int account = random.nextInt(ACCOUNTS);
            String id = "r" + i;
            open(LedgerPlace.CORE, account, id);
            open(LedgerPlace.CLIENTS, account, id);
            RequestEnd end = RequestEnd.values()[random.nextInt(RequestEnd.values().length)];
            for (int attempt = random.nextInt(4); attempt > 0; attempt--) {
                open(LedgerPlace.ATTEMPTS, account, id);
                open(LedgerPlace.NODES, account, id);
                Outcome outcome = Outcome.values()[random.nextInt(Outcome.values().length)];
                pendingEnds.add(() -> {
                    end(LedgerPlace.NODES, account, outcome, id);
                    end(LedgerPlace.ATTEMPTS, account, outcome, id);
                });
            }
            pendingEnds.add(() -> {
                end(LedgerPlace.CORE, account, end, id);
                end(LedgerPlace.CLIENTS, account, end, id);
            });
            while (!pendingEnds.isEmpty() && random.nextInt(3) != 0) {
                pendingEnds.remove(random.nextInt(pendingEnds.size())).run();
            }
            assertEquals(List.of(), findNewBreaches());
        }
        pendingEnds.forEach(Runnable::run);
        assertEquals(List.of(), findNewBreaches());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void theSumsHoldAfterEveryStepOfRandomRequests(long seed) {
        runRandomRequests(new SplittableRandom(seed), 2_000);
        assertEquals(0, ledger.breachCount());
        assertEquals(0, Arrays.stream(openCounts).flatMapToLong(Arrays::stream).sum());
    }

    /** Guards against a missing end that is not found, or is reported for the wrong account, place or entries. */
    @ParameterizedTest
    @EnumSource(LedgerPlace.class)
    void aMissingEndAtAnyPlaceIsABreachOfItsAccountAlone(LedgerPlace place) {
        runRandomRequests(new SplittableRandom(7), 100);
        open(place, 1, "lost");
        openCounts[place.ordinal()][1]--;
        List<Breach> newBreaches = findNewBreaches();
        assertTrue(newBreaches.size() >= 2, newBreaches.toString());
        newBreaches.forEach(breach -> assertEquals("class submit", breach.account()));
        assertTrue(newBreaches.get(0).description().startsWith(place + ": "), newBreaches.toString());
        assertEquals("lost opened (" + place + ")", newBreaches.get(0).recentEntries()
                .get(newBreaches.get(0).recentEntries().size() - 1));
        assertEquals(32, newBreaches.get(0).recentEntries().size());
    }

    @ParameterizedTest
    @EnumSource(LedgerPlace.class)
    void aDuplicateEndAtAnyPlaceIsABreach(LedgerPlace place) {
        runRandomRequests(new SplittableRandom(8), 100);
        Enum<?> end = place == LedgerPlace.CLIENTS || place == LedgerPlace.CORE ? RequestEnd.SERVED : Outcome.SERVED;
        ledger.counters(place).recordEnded(2, end.ordinal(), "twice");
        List<Breach> newBreaches = findNewBreaches();
        assertTrue(newBreaches.stream().anyMatch(breach -> breach.description().startsWith("served: ")), newBreaches.toString());
        newBreaches.forEach(breach -> assertEquals("GET /status/{account}/days", breach.account()));
    }

    /** Guards against an end that differs between places: the client got another answer than the core decided. */
    @Test
    void placesThatDisagreeOnTheEndAreABreach() {
        open(LedgerPlace.CORE, 0, "r");
        open(LedgerPlace.CLIENTS, 0, "r");
        end(LedgerPlace.CORE, 0, RequestEnd.REFUSED, "r");
        end(LedgerPlace.CLIENTS, 0, RequestEnd.FAILED, "r");
        assertEquals(2, findNewBreaches().size());
    }

    @Test
    void aBreachIsReportedOnceUntilItGrowsAndStaysUntilAcknowledged() {
        ledger.counters(LedgerPlace.CORE).recordEnded(0, RequestEnd.SERVED, "x");
        assertEquals(2, findNewBreaches().size());
        assertEquals(List.of(), findNewBreaches());
        assertEquals(2, ledger.breachCount());
        ledger.acknowledge();
        assertEquals(0, ledger.breachCount());
        assertEquals(List.of(), findNewBreaches());
        ledger.counters(LedgerPlace.CORE).recordEnded(0, RequestEnd.SERVED, "y");
        assertEquals(2, findNewBreaches().size());
        assertEquals(2, ledger.breachCount());
    }

    /** Guards against false breaches when a 64-bit counter wraps around. */
    @Test
    void countersThatWrapStillAddUp() {
        LedgerCounters counters = new LedgerCounters(LedgerPlace.CORE, new RecentEntries(1), new long[] {-3}, new long[] {-5, 0,
                0, 0});
        for (int i = 0; i < 10; i++) {
            counters.recordOpened(0, "r");
            counters.recordEnded(0, RequestEnd.SERVED, "r");
        }
        assertEquals(7, counters.openedCount(0));
        assertEquals(2, counters.openedCount(0) - counters.endedCount(0));
    }

    @Test
    void theTotalsAreFormattedForTheLog() {
        runRandomRequests(new SplittableRandom(9), 50);
        open(LedgerPlace.CORE, 0, "r");
        open(LedgerPlace.CLIENTS, 0, "r");
        List<String> lines = ledger.formatTotals((place, account) -> openCounts[place.ordinal()][account]);
        assertEquals(3, lines.size());
        assertTrue(lines.get(0).matches("ledger, class status: taken \\d+ = served \\d+ \\+ refused \\d+ \\+ failed \\d+ "
                + "\\+ abandoned \\d+ \\+ open 1"), lines.get(0));
    }
}
