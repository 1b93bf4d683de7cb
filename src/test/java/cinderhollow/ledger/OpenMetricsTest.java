package cinderhollow.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.Outcome;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks the metrics text against the grammar of OpenMetrics 1.0.0 ("ABNF" and "Overall Structure"), and reads it back. */
class OpenMetricsTest {
    private static final String NAME = "[a-zA-Z_:][a-zA-Z0-9_:]*", NUMBER =
            "[+-]?(?:[0-9]+(?:\\.[0-9]*)?|\\.[0-9]+)(?:[eE][+-]?[0-9]+)?|[+-]Inf|NaN";
    private static final Pattern LABEL = Pattern.compile("[a-zA-Z_][a-zA-Z0-9_]*=\"(?:[^\"\\\\\n]|\\\\[\\\\n\"])*\"");
    private static final Pattern SAMPLE =
            Pattern.compile("(" + NAME + ")\\{(" + LABEL + "(?:," + LABEL + ")*)?} (?:" + NUMBER + ")");
    private static final Pattern METADATA = Pattern.compile("# (TYPE|HELP|UNIT) (" + NAME + ") (.+)");

    private static Ledger createLedger(List<String> accounts, int requests) {
        Ledger ledger = new Ledger(accounts);
        for (int i = 0; i < requests; i++) {
            int account = i % accounts.size();
            ledger.counters(LedgerPlace.CORE).recordOpened(account, "r" + i);
            ledger.counters(LedgerPlace.CLIENTS).recordOpened(account, "r" + i);
            ledger.counters(LedgerPlace.ATTEMPTS).recordOpened(account, "r" + i);
            ledger.counters(LedgerPlace.NODES).recordOpened(account, "r" + i);
            ledger.counters(LedgerPlace.NODES).recordEnded(account, Outcome.SERVED, "r" + i);
            ledger.counters(LedgerPlace.ATTEMPTS).recordEnded(account, Outcome.SERVED, "r" + i);
            ledger.counters(LedgerPlace.CORE).recordEnded(account, RequestEnd.SERVED, "r" + i);
            ledger.counters(LedgerPlace.CLIENTS).recordEnded(account, RequestEnd.SERVED, "r" + i);
            ledger.recordLatency(account, (i + 1) * 1_000_000L);
        }
        return ledger;
    }

    private static String writeMetrics(Ledger... ledgers) {
        List<LedgerMetrics> figures = new ArrayList<>();
        for (Ledger ledger : ledgers) {
            figures.add(ledger.collectMetrics((place, account) -> 0,
                    List.of(new EarlierRunTotals("x", 9, List.of(1L, 2L, 3L, 1L), 2)), 4));
        }
        return OpenMetrics.write(figures, "1-a");
    }

    /**
     * Checks that each line follows the grammar, and that the lines of a metric family are contiguous, its metadata comes first
     * and its samples have only the suffixes of its type.
     */
    private static int assertGrammar(String text) {
        assertTrue(text.endsWith("# EOF\n"), "no # EOF at the end");
        Set<String> families = new HashSet<>();
        Set<String> samples = new HashSet<>();
        String family = "";
        String type = "";
        int sampleCount = 0;
        for (String line : text.substring(0, text.length() - "# EOF\n".length()).split("\n")) {
            Matcher meta = METADATA.matcher(line);
            if (meta.matches()) {
                if (!meta.group(2).equals(family)) {
                    assertEquals("TYPE", meta.group(1), line);
                    assertTrue(families.add(meta.group(2)), "family is not contiguous: " + line);
                    family = meta.group(2);
                    type = meta.group(3);
                }
                assertTrue(!meta.group(1).equals("UNIT") || family.endsWith("_" + meta.group(3)), line);
                continue;
            }
            Matcher sample = SAMPLE.matcher(line);
            assertTrue(sample.matches(), "not a sample: " + line);
            assertTrue(sample.group(1).startsWith(family), line);
            Set<String> suffixes = switch (type) {
                case "counter" -> Set.of("_total", "_created");
                case "info" -> Set.of("_info");
                case "histogram" -> Set.of("_bucket", "_count", "_sum", "_created");
                default -> Set.of("");
            };
            assertTrue(suffixes.contains(sample.group(1).substring(family.length())), line);
            assertTrue(samples.add(line.substring(0, line.lastIndexOf(' '))), "duplicate sample: " + line);
            sampleCount++;
        }
        return sampleCount;
    }

    @Test
    void theTextFollowsTheGrammar() {
        assertTrue(assertGrammar(writeMetrics(createLedger(List.of("class status", "GET /a \"b\" \\ c\nd"), 40),
                createLedger(List.of("x"), 3))) > 60);
        assertEquals(9, assertGrammar(writeMetrics(createLedger(List.of("x"), 0))));
    }

    /** Guards against histogram buckets that are not cumulative, or whose last one differs from the count. */
    @Test
    void bucketsAddUp() {
        String text = writeMetrics(createLedger(List.of("x"), 100));
        long previousCount = 0;
        for (String line : text.split("\n")) {
            if (line.startsWith("cinderhollow_request_seconds_bucket")) {
                long bucketCount = Long.parseLong(line.substring(line.lastIndexOf(' ') + 1));
                assertTrue(bucketCount >= previousCount, line);
                previousCount = bucketCount;
            }
        }
        assertEquals(100, previousCount);
        assertTrue(text.contains("cinderhollow_request_seconds_bucket{account=\"x\",loop=\"0\",le=\"0.05\"} 50\n"), text);
        assertTrue(text.contains("cinderhollow_request_seconds_count{account=\"x\",loop=\"0\"} 100\n"));
    }

    @Test
    void instancesAddUpAndNamesComeBackAsTheyWere() {
        String name = "GET /a \"b\" \\ c\nd";
        LedgerTotals totals = new LedgerTotals();
        totals.addInstance(writeMetrics(createLedger(List.of(name), 40)));
        totals.addInstance(writeMetrics(createLedger(List.of(name), 2), createLedger(List.of(name), 3)));
        assertTrue(totals.isBalanced());
        assertTrue(totals.formatTable().contains(name));
        assertTrue(totals.formatTable().contains(" 45 "), totals.formatTable());
        assertTrue(totals.formatTable().endsWith("2 instances, 0 breaches not acknowledged: all adds up"));
    }

    /** Guards against trusting the breach count of a gateway: the totals find an imbalance that the gateway does not report. */
    @Test
    void whatDoesNotAddUpShowsInTheTotals() {
        Ledger unbalanced = createLedger(List.of("x", "y"), 10);
        unbalanced.counters(LedgerPlace.NODES).recordEnded(1, Outcome.RESET, "twice");
        LedgerTotals totals = new LedgerTotals();
        totals.addInstance(writeMetrics(createLedger(List.of("x", "y"), 10)));
        totals.addInstance(writeMetrics(unbalanced));
        assertFalse(totals.isBalanced());
        assertTrue(totals.formatTable().contains("y: attempts at the nodes' side don't add up"), totals.formatTable());
        assertFalse(totals.formatTable().contains("x: "));
        assertThrows(IllegalArgumentException.class, () -> totals.addInstance("# TYPE x gauge\nx 1\n"));
    }

    /** The number of accounts is bounded by the configuration, not by what clients send; 10,000 of them are written. */
    @Test
    void tenThousandAccountsAreWritten() {
        List<String> accounts = IntStream.range(0, 10_000).mapToObj(i -> "GET /r" + i).toList();
        assertTrue(assertGrammar(writeMetrics(createLedger(accounts, 10_000))) > 300_000);
    }
}
