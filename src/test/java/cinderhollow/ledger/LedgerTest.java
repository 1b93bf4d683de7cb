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
    private final long[][] open = new long[LedgerPlace.values().length][ACCOUNTS];

    private void open(LedgerPlace place, int account, String id) {
        ledger.counters(place).recordOpened(account, id);
        open[place.ordinal()][account]++;
    }

    private void end(LedgerPlace place, int account, Enum<?> end, String id) {
        ledger.counters(place).recordEnded(account, end.ordinal(), id);
        open[place.ordinal()][account]--;
    }

    private List<Breach> check() {
        return ledger.findNewBreaches((place, account) -> open[place.ordinal()][account]);
    }

    /** Opens and ends requests with up to three attempts each, in random order and with random ends. */
    private void play(SplittableRandom random, int requests) {
        List<Runnable> due = new ArrayList<>();
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
                due.add(() -> {
                    end(LedgerPlace.NODES, account, outcome, id);
                    end(LedgerPlace.ATTEMPTS, account, outcome, id);
                });
            }
            due.add(() -> {
                end(LedgerPlace.CORE, account, end, id);
                end(LedgerPlace.CLIENTS, account, end, id);
            });
            while (!due.isEmpty() && random.nextInt(3) != 0) {
                due.remove(random.nextInt(due.size())).run();
            }
            assertEquals(List.of(), check());
        }
        due.forEach(Runnable::run);
        assertEquals(List.of(), check());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void theSumsHoldAtEveryMomentOfARandomDay(long seed) {
        play(new SplittableRandom(seed), 2_000);
        assertEquals(0, ledger.breachCount());
        assertEquals(0, Arrays.stream(open).flatMapToLong(Arrays::stream).sum());
    }

    /** Guards against a missing end that is not found, or is reported for the wrong account, place or entries. */
    @ParameterizedTest
    @EnumSource(LedgerPlace.class)
    void aLostCloseAtAnyPlaceIsABreachOfItsAccountAlone(LedgerPlace place) {
        play(new SplittableRandom(7), 100);
        open(place, 1, "lost");
        open[place.ordinal()][1]--;
        List<Breach> found = check();
        assertTrue(found.size() >= 2, found.toString());
        found.forEach(breach -> assertEquals("class submit", breach.account()));
        assertTrue(found.get(0).rule().startsWith(place + ": "), found.toString());
        assertEquals("lost opened (" + place + ")", found.get(0).last().get(found.get(0).last().size() - 1));
        assertEquals(32, found.get(0).last().size());
    }

    @ParameterizedTest
    @EnumSource(LedgerPlace.class)
    void aDoubleCloseAtAnyPlaceIsABreach(LedgerPlace place) {
        play(new SplittableRandom(8), 100);
        Enum<?> end = place == LedgerPlace.CLIENTS || place == LedgerPlace.CORE ? RequestEnd.SERVED : Outcome.SERVED;
        ledger.counters(place).recordEnded(2, end.ordinal(), "twice");
        List<Breach> found = check();
        assertTrue(found.stream().anyMatch(breach -> breach.rule().startsWith("served: ")), found.toString());
        found.forEach(breach -> assertEquals("GET /status/{account}/days", breach.account()));
    }

    /** Guards against an end that differs between places: the client got another answer than the core decided. */
    @Test
    void placesThatDisagreeOnTheEndAreABreach() {
        open(LedgerPlace.CORE, 0, "r");
        open(LedgerPlace.CLIENTS, 0, "r");
        end(LedgerPlace.CORE, 0, RequestEnd.REFUSED, "r");
        end(LedgerPlace.CLIENTS, 0, RequestEnd.FAILED, "r");
        assertEquals(2, check().size());
    }

    @Test
    void aBreachIsToldOnceUntilItGrowsAndStaysUntilAcknowledged() {
        ledger.counters(LedgerPlace.CORE).recordEnded(0, RequestEnd.SERVED, "x");
        assertEquals(2, check().size());
        assertEquals(List.of(), check());
        assertEquals(2, ledger.breachCount());
        ledger.acknowledge();
        assertEquals(0, ledger.breachCount());
        assertEquals(List.of(), check());
        ledger.counters(LedgerPlace.CORE).recordEnded(0, RequestEnd.SERVED, "y");
        assertEquals(2, check().size());
        assertEquals(2, ledger.breachCount());
    }

    /** Guards against false breaches when a 64-bit counter wraps around. */
    @Test
    void countersThatWrapStillAddUp() {
        LedgerCounters sheet = new LedgerCounters(LedgerPlace.CORE, new Ring(1), new long[] {-3}, new long[] {-5, 0, 0, 0});
        for (int i = 0; i < 10; i++) {
            sheet.recordOpened(0, "r");
            sheet.recordEnded(0, RequestEnd.SERVED, "r");
        }
        assertEquals(7, sheet.openedCount(0));
        assertEquals(2, sheet.openedCount(0) - sheet.endedCount(0));
    }

    @Test
    void theSumsAreReadable() {
        play(new SplittableRandom(9), 50);
        open(LedgerPlace.CORE, 0, "r");
        open(LedgerPlace.CLIENTS, 0, "r");
        List<String> sums = ledger.formatTotals((place, account) -> open[place.ordinal()][account]);
        assertEquals(3, sums.size());
        assertTrue(sums.get(0).matches("ledger, class status: taken \\d+ = served \\d+ \\+ refused \\d+ \\+ failed \\d+ "
                + "\\+ abandoned \\d+ \\+ open 1"), sums.get(0));
    }
}
