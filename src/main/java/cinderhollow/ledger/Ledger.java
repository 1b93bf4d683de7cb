package cinderhollow.ledger;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/**
 * The double-entry account of one event loop: the same requests counted at the clients' side and at the core, the same
 * attempts at the core and at the nodes' side. Each place has its own {@link Sheet} and also tells, counted anew, what is
 * open there now; {@link #check} compares. To be called between events, when nothing is half done. One owner thread.
 */
public final class Ledger {
    /** No request lives longer; 3 significant digits would take ten times the memory of 2. */
    private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(1);
    /** Beyond so many accounts a histogram has one digit, and takes 3 KB in place of 20. */
    private static final int FINE_ACCOUNTS = 100;

    private final List<String> accounts;
    private final Sheet[] sheets = new Sheet[Place.values().length];
    private final Ring ring;
    /** Made with the first answer of an account. */
    private final Histogram[] times;
    /** Sums that were broken at the last look: each is told once, until it holds again or breaks further. */
    private Set<String> known = new HashSet<>();
    private long breaches;

    /** With nothing in it. Each account has a name, and is a number from 0. */
    public Ledger(List<String> accounts) {
        this.accounts = List.copyOf(accounts);
        ring = new Ring(accounts.size());
        times = new Histogram[accounts.size()];
        for (Place place : Place.values()) {
            sheets[place.ordinal()] = new Sheet(place, accounts.size(), ring);
        }
    }

    /** Their names, by number. */
    public List<String> accounts() {
        return accounts;
    }

    /** The count that this place alone writes. */
    public Sheet sheet(Place place) {
        return sheets[place.ordinal()];
    }

    /** A request of this account took so long until its end. */
    public void took(int account, long nanos) {
        if (times[account] == null) {
            times[account] = new Histogram(LONGEST_MICROS, accounts.size() > FINE_ACCOUNTS ? 1 : 2);
        }
        times[account].recordValue(Math.max(0, Math.min(LONGEST_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos))));
    }

    /** All of it as it is now, for others than the owner to read. */
    public Figures figures(OpenNow open, List<Life> earlier, long lost) {
        List<Figures.Line> lines = new ArrayList<>();
        List<Figures.Times> taken = new ArrayList<>();
        for (int account = 0; account < accounts.size(); account++) {
            for (Place place : Place.values()) {
                Sheet sheet = sheet(place);
                if (sheet.opened(account) != 0 || sheet.ended(account) != 0) {
                    lines.add(new Figures.Line(accounts.get(account), place, sheet.opened(account),
                            sheet.ends(account), open.at(place, account)));
                }
            }
            if (times[account] != null) {
                taken.add(new Figures.Times(accounts.get(account), times[account].copy()));
            }
        }
        return new Figures(lines, taken, breaches, earlier, lost);
    }

    /** Breaches found and not acknowledged: zero while all holds. */
    public long breaches() {
        return breaches;
    }

    /** What was found has been seen; what is still broken is not told again. */
    public void acknowledge() {
        breaches = 0;
    }

    /**
     * Compares all sums; the breaches that are new since the last look.
     *
     * @param open how many are open now at a place, by account: found there by looking and not by these counters
     */
    public List<Breach> check(OpenNow open) {
        List<Breach> found = new ArrayList<>();
        Set<String> broken = new HashSet<>();
        for (int account = 0; account < accounts.size(); account++) {
            for (Place place : Place.values()) {
                Sheet sheet = sheet(place);
                long opened = sheet.opened(account);
                long sum = sheet.ended(account) + open.at(place, account);
                if (opened != sum) {
                    note(account, place + ": " + opened + " opened are not the " + sum + " ended and open",
                            place + " " + (opened - sum), found, broken);
                }
            }
            compare(account, Place.CLIENTS, Place.CORE, found, broken);
            compare(account, Place.ATTEMPTS, Place.NODES, found, broken);
        }
        known = broken;
        breaches += found.size();
        return found;
    }

    /** A line for each account that has had a request: the sum in figures. */
    public List<String> sums(OpenNow open) {
        List<String> text = new ArrayList<>();
        for (int account = 0; account < accounts.size(); account++) {
            Sheet sheet = sheet(Place.CORE);
            if (sheet.opened(account) != 0) {
                StringBuilder line = new StringBuilder("ledger, " + accounts.get(account) + ": taken " + sheet.opened(account) + " =");
                for (End end : End.values()) {
                    line.append(' ').append(Place.CORE.ends().get(end.ordinal())).append(' ')
                            .append(sheet.ended(account, end.ordinal())).append(" +");
                }
                text.add(line.append(" open ").append(open.at(Place.CORE, account)).toString());
            }
        }
        return text;
    }

    private void compare(int account, Place one, Place other, List<Breach> found, Set<String> broken) {
        compare(account, "opened", one, other, sheet -> sheet.opened(account), found, broken);
        for (int end = 0; end < one.ends().size(); end++) {
            int number = end;
            compare(account, one.ends().get(end), one, other, sheet -> sheet.ended(account, number), found, broken);
        }
    }

    private void compare(int account, String what, Place one, Place other, ToLongFunction<Sheet> figure,
                         List<Breach> found, Set<String> broken) {
        long here = figure.applyAsLong(sheet(one));
        long there = figure.applyAsLong(sheet(other));
        if (here != there) {
            note(account, what + ": " + here + " " + one + ", " + there + " " + other,
                    what + " " + one + " " + (here - there), found, broken);
        }
    }

    /** {@code key} is the same for as long as the sum is wrong by the same. */
    private void note(int account, String rule, String key, List<Breach> found, Set<String> broken) {
        String named = account + " " + key;
        broken.add(named);
        if (!known.contains(named)) {
            found.add(new Breach(accounts.get(account), rule, ring.last(account)));
        }
    }

    /** What is open at a place now. */
    @FunctionalInterface
    public interface OpenNow {
        /** So many of this account. */
        long at(Place place, int account);
    }
}
