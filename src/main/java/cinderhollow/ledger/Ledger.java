package cinderhollow.ledger;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/**
 * Double-entry accounting of one event loop: the same requests are counted at the clients' side and at the core, and the same
 * attempts at the core and at the servers' side. Each place has its own {@link LedgerCounters}. The number of requests or attempts open
 * at a place is found independently of these counters, by an {@link OpenCounter}, and {@link #findNewBreaches} compares them all. Call it
 * between events, when no event is half processed. Used by one thread only.
 */
public final class Ledger {
    /**
     * One minute, which no request exceeds. The histograms have 2 significant digits, since 3 would take ten times the memory.
     */
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(1);
    /** With more accounts than this a histogram has one significant digit and takes 3 KB instead of 20 KB. */
    private static final int MAX_TWO_DIGIT_ACCOUNTS = 100;

    private final List<String> accounts;
    private final LedgerCounters[] countersByPlace = new LedgerCounters[LedgerPlace.values().length];
    private final RecentEntries recentEntries;
    /** Latency histograms by account; null until the first latency of the account is recorded. */
    private final Histogram[] latencies;
    /** Keys of the sums that the last check found broken. Each is reported once, until it holds again or its error changes. */
    private Set<String> reportedBreachKeys = new HashSet<>();
    private long breachCount;

    /** Creates an empty ledger. An account is identified by its index in this list of names. */
    public Ledger(List<String> accounts) {
        this.accounts = List.copyOf(accounts);
        recentEntries = new RecentEntries(accounts.size());
        latencies = new Histogram[accounts.size()];
        for (LedgerPlace place : LedgerPlace.values()) {
            countersByPlace[place.ordinal()] = new LedgerCounters(place, accounts.size(), recentEntries);
        }
    }

    /** Returns the names of the accounts, by account number. */
    public List<String> accounts() {
        return accounts;
    }

    /** Returns the counters of a place, which only that place may update. */
    public LedgerCounters counters(LedgerPlace place) {
        return countersByPlace[place.ordinal()];
    }

    /** Records the time from arrival to end of a request of this account, in nanoseconds. */
    public void recordLatency(int account, long nanos) {
        if (latencies[account] == null) {
            latencies[account] = new Histogram(MAX_LATENCY_MICROS, accounts.size() > MAX_TWO_DIGIT_ACCOUNTS ? 1 : 2);
        }
        latencies[account].recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos))));
    }

    /**
     * Returns a copy of all metrics as they are now, which other threads may read.
     *
     * @param openCounter counts what is open now
     * @param earlierTotals totals of earlier runs of the process
     * @param lostEntries number of journal entries that never reached the disk
     */
    public LedgerMetrics collectMetrics(OpenCounter openCounter, List<EarlierRunTotals> earlierTotals, long lostEntries) {
        List<LedgerMetrics.PlaceCounts> placeCounts = new ArrayList<>();
        List<LedgerMetrics.AccountLatency> latencyCopies = new ArrayList<>();
        for (int account = 0; account < accounts.size(); account++) {
            for (LedgerPlace place : LedgerPlace.values()) {
                LedgerCounters placeCounters = counters(place);
                if (placeCounters.openedCount(account) != 0 || placeCounters.endedCount(account) != 0) {
                    placeCounts.add(new LedgerMetrics.PlaceCounts(accounts.get(account), place,
                            placeCounters.openedCount(account),
                            placeCounters.endedCountsOf(account), openCounter.countOpen(place, account)));
                }
            }
            if (latencies[account] != null) {
                latencyCopies.add(new LedgerMetrics.AccountLatency(accounts.get(account), latencies[account].copy()));
            }
        }
        return new LedgerMetrics(placeCounts, latencyCopies, breachCount, earlierTotals, lostEntries);
    }

    /** Returns the number of breaches found and not acknowledged. */
    public long breachCount() {
        return breachCount;
    }

    /** Acknowledges all breaches found so far. A sum that is still broken by the same amount is not reported again. */
    public void acknowledge() {
        breachCount = 0;
    }

    /**
     * Compares all sums and returns the breaches that the previous check did not find.
     *
     * @param openCounter counts what is open now at a place, independently of the counters of this ledger
     */
    public List<Breach> findNewBreaches(OpenCounter openCounter) {
        List<Breach> newBreaches = new ArrayList<>();
        Set<String> brokenKeys = new HashSet<>();
        for (int account = 0; account < accounts.size(); account++) {
            for (LedgerPlace place : LedgerPlace.values()) {
                LedgerCounters placeCounters = counters(place);
                long opened = placeCounters.openedCount(account);
                long endedAndOpen = placeCounters.endedCount(account) + openCounter.countOpen(place, account);
                if (opened != endedAndOpen) {
                    recordBreach(account, place + ": " + opened + " opened, but " + endedAndOpen + " ended or open",
                            place + " " + (opened - endedAndOpen), newBreaches, brokenKeys);
                }
            }
            comparePlaces(account, LedgerPlace.CLIENTS, LedgerPlace.CORE, newBreaches, brokenKeys);
            comparePlaces(account, LedgerPlace.ATTEMPTS, LedgerPlace.NODES, newBreaches, brokenKeys);
        }
        reportedBreachKeys = brokenKeys;
        breachCount += newBreaches.size();
        return newBreaches;
    }

    /** Returns a line for the log with the totals of each account that has had a request. */
    public List<String> formatTotals(OpenCounter openCounter) {
        List<String> lines = new ArrayList<>();
        for (int account = 0; account < accounts.size(); account++) {
            LedgerCounters coreCounters = counters(LedgerPlace.CORE);
            if (coreCounters.openedCount(account) != 0) {
                StringBuilder line = new StringBuilder("ledger, " + accounts.get(account) + ": taken "
                        + coreCounters.openedCount(account) + " =");
                for (RequestEnd end : RequestEnd.values()) {
                    line.append(' ').append(LedgerPlace.CORE.endNames().get(end.ordinal())).append(' ')
                            .append(coreCounters.endedCount(account, end.ordinal())).append(" +");
                }
                lines.add(line.append(" open ").append(openCounter.countOpen(LedgerPlace.CORE, account)).toString());
            }
        }
        return lines;
    }

    private void comparePlaces(int account, LedgerPlace firstPlace, LedgerPlace secondPlace, List<Breach> newBreaches,
            Set<String> brokenKeys) {
        comparePlaces(account, "opened", firstPlace, secondPlace, counters -> counters.openedCount(account), newBreaches,
                brokenKeys);
        for (int end = 0; end < firstPlace.endNames().size(); end++) {
            int endNumber = end;
            comparePlaces(account, firstPlace.endNames().get(end), firstPlace, secondPlace,
                    counters -> counters.endedCount(account, endNumber), newBreaches, brokenKeys);
        }
    }

    private void comparePlaces(int account, String countName, LedgerPlace firstPlace, LedgerPlace secondPlace,
            ToLongFunction<LedgerCounters> count,
                         List<Breach> newBreaches, Set<String> brokenKeys) {
        long firstCount = count.applyAsLong(counters(firstPlace));
        long secondCount = count.applyAsLong(counters(secondPlace));
        if (firstCount != secondCount) {
            recordBreach(account, countName + ": " + firstCount + " " + firstPlace + ", " + secondCount + " " + secondPlace,
                    countName + " " + firstPlace + " " + (firstCount - secondCount), newBreaches, brokenKeys);
        }
    }

    /** Records a broken sum, as a new breach unless the last check found the same {@code key}, which contains the difference. */
    private void recordBreach(int account, String description, String key, List<Breach> newBreaches, Set<String> brokenKeys) {
        String accountKey = account + " " + key;
        brokenKeys.add(accountKey);
        if (!reportedBreachKeys.contains(accountKey)) {
            newBreaches.add(new Breach(accounts.get(account), description, recentEntries.describeEntries(account)));
        }
    }

    /** Counts what is open at a place now. */
    @FunctionalInterface
    public interface OpenCounter {
        /** Returns the number of requests or attempts of this account that are open at this place. */
        long countOpen(LedgerPlace place, int account);
    }
}
