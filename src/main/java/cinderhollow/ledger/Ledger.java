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
    private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(1);
    /** With more accounts than this a histogram has one significant digit and takes 3 KB instead of 20 KB. */
    private static final int FINE_ACCOUNTS = 100;

    private final List<String> accounts;
    private final LedgerCounters[] sheets = new LedgerCounters[LedgerPlace.values().length];
    private final Ring ring;
    /** Latency histograms by account; null until the first latency of the account is recorded. */
    private final Histogram[] times;
    /** Keys of the sums that the last check found broken. Each is reported once, until it holds again or its error changes. */
    private Set<String> known = new HashSet<>();
    private long breachCount;

    /** Creates an empty ledger. An account is identified by its index in this list of names. */
    public Ledger(List<String> accounts) {
        this.accounts = List.copyOf(accounts);
        ring = new Ring(accounts.size());
        times = new Histogram[accounts.size()];
        for (LedgerPlace place : LedgerPlace.values()) {
            sheets[place.ordinal()] = new LedgerCounters(place, accounts.size(), ring);
        }
    }

    /** Returns the names of the accounts, by account number. */
    public List<String> accounts() {
        return accounts;
    }

    /** Returns the counters of a place, which only that place may update. */
    public LedgerCounters counters(LedgerPlace place) {
        return sheets[place.ordinal()];
    }

    /** Records the time from arrival to end of a request of this account, in nanoseconds. */
    public void recordLatency(int account, long nanos) {
        if (times[account] == null) {
            times[account] = new Histogram(LONGEST_MICROS, accounts.size() > FINE_ACCOUNTS ? 1 : 2);
        }
        times[account].recordValue(Math.max(0, Math.min(LONGEST_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos))));
    }

    /**
     * Returns a copy of all metrics as they are now, which other threads may read.
     *
     * @param open counts what is open now
     * @param earlier totals of earlier runs of the process
     * @param lost number of journal entries that never reached the disk
     */
    public LedgerMetrics collectMetrics(OpenCounter open, List<EarlierRunTotals> earlier, long lost) {
        List<LedgerMetrics.Line> lines = new ArrayList<>();
        List<LedgerMetrics.Times> taken = new ArrayList<>();
        for (int account = 0; account < accounts.size(); account++) {
            for (LedgerPlace place : LedgerPlace.values()) {
                LedgerCounters sheet = counters(place);
                if (sheet.openedCount(account) != 0 || sheet.endedCount(account) != 0) {
                    lines.add(new LedgerMetrics.Line(accounts.get(account), place, sheet.openedCount(account),
                            sheet.ends(account), open.at(place, account)));
                }
            }
            if (times[account] != null) {
                taken.add(new LedgerMetrics.Times(accounts.get(account), times[account].copy()));
            }
        }
        return new LedgerMetrics(lines, taken, breachCount, earlier, lost);
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
     * @param open counts what is open now at a place, independently of the counters of this ledger
     */
    public List<Breach> findNewBreaches(OpenCounter open) {
        List<Breach> found = new ArrayList<>();
        Set<String> broken = new HashSet<>();
        for (int account = 0; account < accounts.size(); account++) {
            for (LedgerPlace place : LedgerPlace.values()) {
                LedgerCounters sheet = counters(place);
                long opened = sheet.openedCount(account);
                long sum = sheet.endedCount(account) + open.at(place, account);
                if (opened != sum) {
                    note(account, place + ": " + opened + " opened, but " + sum + " ended or open",
                            place + " " + (opened - sum), found, broken);
                }
            }
            compare(account, LedgerPlace.CLIENTS, LedgerPlace.CORE, found, broken);
            compare(account, LedgerPlace.ATTEMPTS, LedgerPlace.NODES, found, broken);
        }
        known = broken;
        breachCount += found.size();
        return found;
    }

    /** Returns a line for the log with the totals of each account that has had a request. */
    public List<String> formatTotals(OpenCounter open) {
        List<String> text = new ArrayList<>();
        for (int account = 0; account < accounts.size(); account++) {
            LedgerCounters sheet = counters(LedgerPlace.CORE);
            if (sheet.openedCount(account) != 0) {
                StringBuilder line = new StringBuilder("ledger, " + accounts.get(account) + ": taken " + sheet.openedCount(account) + " =");
                for (RequestEnd end : RequestEnd.values()) {
                    line.append(' ').append(LedgerPlace.CORE.ends().get(end.ordinal())).append(' ')
                            .append(sheet.endedCount(account, end.ordinal())).append(" +");
                }
                text.add(line.append(" open ").append(open.at(LedgerPlace.CORE, account)).toString());
            }
        }
        return text;
    }

    private void compare(int account, LedgerPlace one, LedgerPlace other, List<Breach> found, Set<String> broken) {
        compare(account, "opened", one, other, sheet -> sheet.openedCount(account), found, broken);
        for (int end = 0; end < one.ends().size(); end++) {
            int number = end;
            compare(account, one.ends().get(end), one, other, sheet -> sheet.endedCount(account, number), found, broken);
        }
    }

    private void compare(int account, String what, LedgerPlace one, LedgerPlace other, ToLongFunction<LedgerCounters> figure,
                         List<Breach> found, Set<String> broken) {
        long here = figure.applyAsLong(counters(one));
        long there = figure.applyAsLong(counters(other));
        if (here != there) {
            note(account, what + ": " + here + " " + one + ", " + there + " " + other,
                    what + " " + one + " " + (here - there), found, broken);
        }
    }

    /** Records a broken sum, as a new breach unless the last check found the same {@code key}, which contains the difference. */
    private void note(int account, String rule, String key, List<Breach> found, Set<String> broken) {
        String named = account + " " + key;
        broken.add(named);
        if (!known.contains(named)) {
            found.add(new Breach(accounts.get(account), rule, ring.last(account)));
        }
    }

    /** Counts what is open at a place now. */
    @FunctionalInterface
    public interface OpenCounter {
        /** Returns the number of requests or attempts of this account that are open at this place. */
        long at(LedgerPlace place, int account);
    }
}
