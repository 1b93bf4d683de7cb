package cinderhollow.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.DedupGroup;
import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.routes.Route;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that every invalid operator's file is rejected as a whole and that the findings name the violated rule. */
class OperatorFileTest {
    private static final long MS = 1_000_000L;
    private static final PlatformConstraints PLATFORM = new PlatformConstraints(List.of(
            new RequestClass("status", Effect.SAFE, DedupGroup.ALL, 0, 150 * MS, 750 * MS, 1, 0, false),
            new RequestClass("submit", Effect.UNSAFE, DedupGroup.ALL, 0, 100 * MS, 300 * MS, 5, 0, false),
            new RequestClass("amend", Effect.KEYED, DedupGroup.CELL, 400 * MS, 100 * MS, 500 * MS, 2, 0, false)),
            5, true, 400 * MS, 7, 3, "a", true);
    private static final String STATUS = "[class.status]\n", SUBMIT = "[class.submit]\n", AMEND = "[class.amend]\n";

    private static final String PEERS =
            "[peers]\nlisten = \"10.0.0.1:7946\"\nmembers = [\"10.0.0.1:7946\", \"10.0.0.2:7946\"]\nnumber = 1\n";
    private static final String ZONES = "[zones]\nnames = [\"a\", \"b\", \"c\"]\n";

    @Test
    void peersAndZonesAreReadAndExplained() {
        OperatorFile file = OperatorFile.parse(PEERS + ZONES + "gateways = { a = 5 }\nhold = \"2s\"\n", PLATFORM);
        assertEquals(List.of(), file.findings());
        assertEquals(List.of(5, 0, 0), file.peersConfig().gatewaysByZone());
        assertTrue(file.explain()
                .contains("exchanges datagrams with 1 others, without a secret; "
                        + "evacuates up to 1 regions of zones a, b, c, for 2000ms to 60000ms"),
                file::explain);
        PlatformConstraints withoutPeers = new PlatformConstraints(PLATFORM.classes(), 5, true, 0, 7, 3, "a", false);
        assertEquals(Rule.PEERS_NOT_ALLOWED, OperatorFile.parse(PEERS + ZONES, withoutPeers).findings().get(0).rule());
    }

    private static String route(String method, String path, String name) {
        return "[[route]]\nmethod = \"" + method + "\"\npath = \"" + path + "\"\nclass = \"" + name + "\"\n";
    }

    private static Stream<Arguments> bad() {
        return Stream.of(
                // TOML syntax, keys and types
                badFile(Rule.SYNTAX, "[class.status\n"), badFile(Rule.SYNTAX, "[class.status]\nattempts = \n"),
                badFile(Rule.SYNTAX, STATUS + "attempts = 2\nattempts = 3\n"), badFile(Rule.SYNTAX, STATUS + STATUS),
                badFile(Rule.SYNTAX, "class = { status = { attempts = 2 }\n"), badFile(Rule.SYNTAX, "just words"),
                badFile(Rule.UNKNOWN_KEY, "clas = 1\n"), badFile(Rule.UNKNOWN_KEY, STATUS + "atempts = 2\n"),
                badFile(Rule.UNKNOWN_KEY, STATUS + "second_copy = { after = \"10ms\", delay = 1 }\n"),
                badFile(Rule.UNKNOWN_KEY, STATUS + "retry_budget = { share = 0.1, floor = 1 }\n"),
                badFile(Rule.UNKNOWN_KEY, route("GET", "/status/x", "status") + "pth = \"/y\"\n"),
                badFile(Rule.WRONG_TYPE, STATUS + "attempts = \"2\"\n"), badFile(Rule.WRONG_TYPE, "class = 3\n"),
                badFile(Rule.WRONG_TYPE, "route = \"x\"\n"), badFile(Rule.WRONG_TYPE, "route = [1]\n"),
                badFile(Rule.WRONG_TYPE, "[class]\nstatus = 1\n"), badFile(Rule.WRONG_TYPE, STATUS + "retry_on = \"full\"\n"),
                badFile(Rule.WRONG_TYPE, STATUS + "retry_on = [1]\n"),
                badFile(Rule.WRONG_TYPE, STATUS + "second_copy = \"10ms\"\n"),
                badFile(Rule.WRONG_TYPE, STATUS + "retry_budget = 0.1\n"),
                badFile(Rule.WRONG_TYPE, STATUS + "retry_budget = { share = \"0.1\" }\n"),
                badFile(Rule.WRONG_TYPE, AMEND + "resend_within = \"street\"\n"),
                // durations and numbers
                badFile(Rule.DURATION_FORM, STATUS + "total = 700\n"), badFile(Rule.DURATION_FORM, STATUS + "total = \"700\"\n"),
                badFile(Rule.DURATION_FORM, STATUS + "total = \"-5ms\"\n"), badFile(Rule.DURATION_FORM, STATUS + "total = nan\n"),
                badFile(Rule.DURATION_FORM, STATUS + "total = inf\n"),
                badFile(Rule.DURATION_FORM, STATUS + "total = \"NaNms\"\n"),
                badFile(Rule.DURATION_FORM, STATUS + "total = \"1e3ms\"\n"),
                badFile(Rule.DURATION_FORM, STATUS + "total = \"2h\"\n"),
                badFile(Rule.DURATION_FORM, STATUS + "total = \"99999999999999999999s\"\n"),
                badFile(Rule.DURATION_FORM, STATUS + "total = \"5 parsecs\"\n"),
                badFile(Rule.DURATION_FORM, STATUS + "backoff = \"\"\n"),
                badFile(Rule.DURATION_FORM, STATUS + "total = true\n"),
                badFile(Rule.TIME_TOO_SHORT, STATUS + "total = \"0ms\"\n"),
                badFile(Rule.TIME_TOO_SHORT, STATUS + "attempt_timeout = \"10us\"\nattempts = 1\n"),
                badFile(Rule.NUMBER_RANGE, STATUS + "attempts = 0\n"), badFile(Rule.NUMBER_RANGE, STATUS + "attempts = -1\n"),
                badFile(Rule.NUMBER_RANGE, STATUS + "attempts = 9999999999\n"),
                badFile(Rule.NUMBER_RANGE, STATUS + "second_copy = { at_percentile = 0 }\n"),
                badFile(Rule.NUMBER_RANGE, STATUS + "second_copy = { at_percentile = 100 }\n"),
                badFile(Rule.NUMBER_RANGE, STATUS + "second_copy = { at_percentile = nan }\n"),
                badFile(Rule.NUMBER_RANGE, STATUS + "second_copy = { at_percentile = 50, samples = 0 }\n"),
                badFile(Rule.BUDGET_RANGE, STATUS + "retry_budget = { share = 1.1 }\n"),
                badFile(Rule.BUDGET_RANGE, STATUS + "retry_budget = { share = -0.1 }\n"),
                badFile(Rule.BUDGET_RANGE, STATUS + "retry_budget = { share = nan }\n"),
                badFile(Rule.BUDGET_RANGE, STATUS + "retry_budget = { floor_per_s = -1 }\n"),
                badFile(Rule.BUDGET_RANGE, STATUS + "second_copy = { after = \"10ms\", budget = { share = 2 } }\n"),
                // event loops and subsets
                badFile(Rule.UNKNOWN_KEY, "[gateway]\nloop = 2\n"), badFile(Rule.UNKNOWN_KEY, "[subset]\nsize = 2\n"),
                badFile(Rule.NUMBER_RANGE, "[gateway]\nloops = 0\n"), badFile(Rule.NUMBER_RANGE, "[gateway]\nloops = 65\n"),
                badFile(Rule.WRONG_TYPE, "[gateway]\nloops = \"2\"\n"), badFile(Rule.WRONG_TYPE, "gateway = 2\n"),
                badFile(Rule.LISTENERS_UNKNOWN, "[gateway]\nloops = 2\nlisteners = \"all\"\n"),
                badFile(Rule.NUMBER_RANGE, "[subset]\nnodes = 0\n"), badFile(Rule.SUBSET_PLACE, "[subset]\n"),
                badFile(Rule.SUBSET_PLACE, "[subset]\nnodes = 5\nnumber = 1\n"),
                badFile(Rule.SUBSET_PLACE, "[subset]\nnodes = 5\ngateways = { a = 2 }\n"),
                badFile(Rule.SUBSET_PLACE, "[subset]\nnodes = 5\ngateways = { a = 2 }\nnumber = 2\n"),
                badFile(Rule.SUBSET_PLACE, "[subset]\nnodes = 5\ngateways = { b = 2 }\nnumber = 1\n"),
                badFile(Rule.NUMBER_RANGE, "[subset]\nnodes = 5\ngateways = { a = 0 }\nnumber = 0\n"),
                badFile(Rule.WRONG_TYPE, "[subset]\nnodes = 5\ngateways = 3\nnumber = 0\n"),
                // ledger, peers, zones and the admin listener
                badFile(Rule.UNKNOWN_KEY, "[ledger]\nlogs = \"2s\"\n"), badFile(Rule.DURATION_FORM, "[ledger]\nlog = 5\n"),
                badFile(Rule.TIME_TOO_SHORT, "[ledger]\nlog = \"500us\"\n"), badFile(Rule.WRONG_TYPE, "ledger = true\n"),
                badFile(Rule.NO_DIRECTORY, "[ledger]\ndirectory = \"/nowhere/at/all\"\n"),
                badFile(Rule.NO_DIRECTORY, "[ledger]\nsync = \"1s\"\n"),
                badFile(Rule.TIME_TOO_SHORT, "[ledger]\ndirectory = \"/\"\nsync = \"0s\"\n"),
                badFile(Rule.ZONES_PLACE, PEERS), badFile(Rule.ZONES_PLACE, "[zones]\nnames = [\"a\", \"b\"]\n"),
                badFile(Rule.ZONES_PLACE, PEERS + "[zones]\nnames = [\"a\"]\n"),
                badFile(Rule.ZONES_REGIONS, PEERS + ZONES + "regions = { west = [\"a\", \"b\"] }\n"),
                badFile(Rule.ZONES_REGIONS, PEERS + ZONES + "regions = { west = [\"a\", \"b\"], east = [\"b\", \"c\"] }\n"),
                badFile(Rule.ZONES_REGIONS, PEERS + ZONES + "regions = { west = [\"a\"], east = [\"b\"] }\n"),
                badFile(Rule.ZONES_MOST_OUT, PEERS + ZONES
                + "most_out = 2\nregions = { west = [\"a\", \"b\"], east = [\"c\"] }\n"),
                badFile(Rule.ZONES_PLACE, PEERS + "[zones]\nnames = [\"b\", \"c\"]\n"),
                badFile(Rule.ZONES_PLACE, PEERS + "[zones]\nnames = [\"a\", \"a\", \"b\"]\n"),
                badFile(Rule.ZONES_PLACE, PEERS + ZONES + "gateways = { a = 1, d = 2 }\n"),
                badFile(Rule.ZONES_MOST_OUT, PEERS + ZONES + "most_out = 3\n"),
                badFile(Rule.ZONES_HOLD, PEERS + ZONES + "hold = \"10s\"\nhold_max = \"5s\"\n"),
                badFile(Rule.PEERS_PLACE, PEERS.replace("number = 1", "number = 2") + ZONES),
                badFile(Rule.PEERS_PLACE, PEERS.replace("10.0.0.2:7946", "10.0.0.1:7946") + ZONES),
                badFile(Rule.PEERS_PLACE, PEERS.replace("10.0.0.2:7946", "somewhere") + ZONES),
                badFile(Rule.PEERS_PLACE, PEERS.replace("number = 1\n", "") + ZONES),
                badFile(Rule.PEERS_LOOPS, PEERS + ZONES + "[gateway]\nloops = 2\n"),
                badFile(Rule.FILE_FORM, PEERS + "secret = \"/no/such/file\"\n" + ZONES),
                badFile(Rule.ADMIN_ADDRESS, "[admin]\n"), badFile(Rule.ADMIN_ADDRESS, "[admin]\nlisten = \"0.0.0.0:9180\"\n"),
                badFile(Rule.ADMIN_ADDRESS, "[admin]\nlisten = \"10.1.2.3:9180\"\n"),
                badFile(Rule.ADMIN_ADDRESS, "[admin]\nlisten = \"127.0.0.1\"\n"),
                badFile(Rule.ADMIN_ADDRESS, "[admin]\nlisten = \"127.0.0.1:99999\"\n"),
                badFile(Rule.ADMIN_ADDRESS, "[admin]\nlisten = \"127.0.0.256:1\"\n"),
                badFile(Rule.ADMIN_ADDRESS, "[admin]\nlisten = \"unix:admin\"\n"),
                badFile(Rule.WRONG_TYPE, "[admin]\nlisten = 9180\n"), badFile(Rule.UNKNOWN_KEY, "[admin]\nport = 9180\n"),
                // classes and routes
                badFile(Rule.UNKNOWN_CLASS, "[class.statsu]\n"), badFile(Rule.UNKNOWN_CLASS, route("GET", "/x", "none")),
                badFile(Rule.UNKNOWN_OUTCOME, STATUS + "retry_on = [\"failure\"]\n"),
                badFile(Rule.UNKNOWN_OUTCOME, STATUS + "retry_on = [\"served\"]\n"),
                badFile(Rule.ROUTE_INCOMPLETE, "[[route]]\nmethod = \"GET\"\npath = \"/x\"\n"),
                badFile(Rule.ROUTE_INCOMPLETE, "[[route]]\npath = \"/x\"\nclass = \"status\"\n"),
                badFile(Rule.ROUTE_INCOMPLETE, "[[route]]\nmethod = \"GET\"\nclass = \"status\"\n"),
                badFile(Rule.METHOD_UNKNOWN, route("BREW", "/x", "status")),
                badFile(Rule.METHOD_UNKNOWN, route("get", "/x", "status")),
                badFile(Rule.PATH_FORM, route("GET", "x", "status")), badFile(Rule.PATH_FORM, route("GET", "/a/../b", "status")),
                badFile(Rule.PATH_FORM, route("GET", "/a//b", "status")),
                badFile(Rule.PATH_FORM, route("GET", "/a/{b", "status")),
                badFile(Rule.PATH_FORM, route("GET", "/{a}/b", "status")),
                badFile(Rule.PATH_FORM, route("GET", "/a/**/b", "status")),
                badFile(Rule.PATH_FORM, route("GET", "/a?b=c", "status")),
                badFile(Rule.PATH_FORM, route("GET", "/a%2fb", "status")),
                badFile(Rule.UNSAFE_ON_GET, route("GET", "/x", "submit")),
                badFile(Rule.UNSAFE_ON_GET, route("GET", "/x", "amend")),
                badFile(Rule.SAFE_ON_POST, route("POST", "/x", "status")),
                badFile(Rule.ROUTE_SHADOWED, route("GET", "/a/{x}", "status") + route("GET", "/a/{y}", "status")),
                badFile(Rule.ROUTES_OVERLAP, route("GET", "/a/{x}/c", "status") + route("GET", "/a/b/{y}", "status")),
                badFile(Rule.ROUTES_OVERLAP, route("POST", "/a/{x}/c", "submit") + route("POST", "/a/b/**", "amend")),
                // attempts, timeouts and hedges of a class
                badFile(Rule.COPY_OF_UNSAFE, SUBMIT + "second_copy = { after = \"80ms\" }\n"),
                badFile(Rule.COPY_OF_UNSAFE, route("POST", "/fast/submit", "submit") + "second_copy = { after = \"80ms\" }\n"),
                badFile(Rule.COPY_TIME, STATUS + "second_copy = { }\n"),
                badFile(Rule.COPY_TIME, STATUS + "second_copy = { after = \"10ms\", at_percentile = 90 }\n"),
                badFile(Rule.COPY_ALONE, STATUS + "attempts = 1\nsecond_copy = { after = \"10ms\" }\n"),
                badFile(Rule.COPY_TOO_LATE, STATUS + "second_copy = { after = \"750ms\" }\n"),
                badFile(Rule.COPY_TOO_LATE, STATUS + "attempt_timeout = \"100ms\"\nsecond_copy = { after = \"100ms\" }\n"),
                badFile(Rule.TIME_TOO_SHORT, STATUS + "second_copy = { after = \"0ms\" }\n"),
                badFile(Rule.PERCENTILE_UNKNOWABLE, STATUS + "second_copy = { at_percentile = 99 }\n"),
                badFile(Rule.PERCENTILE_UNKNOWABLE, STATUS + "second_copy = { at_percentile = 90, samples = 49 }\n"),
                badFile(Rule.RETRY_MAY_RUN_TWICE, SUBMIT + "retry_on = [\"reset\"]\n"),
                badFile(Rule.RETRY_MAY_RUN_TWICE, SUBMIT + "retry_on = [\"full\", \"timed-out\"]\n"),
                badFile(Rule.RETRY_MAY_RUN_TWICE, SUBMIT + "retry_on = [\"error\"]\n"),
                badFile(Rule.RETRY_MAY_RUN_TWICE, route("POST", "/fast/submit", "submit") + "retry_on = [\"reset\"]\n"),
                badFile(Rule.KEYED_PAST_WINDOW, AMEND + "total = \"401ms\"\n"),
                badFile(Rule.KEYED_PAST_WINDOW, AMEND + "total = \"450ms\"\nattempts = 2\n"),
                badFile(Rule.KEYED_OUTSIDE_GROUP, AMEND + "total = \"400ms\"\nresend_within = \"zone\"\n"),
                badFile(Rule.KEYED_OUTSIDE_GROUP, AMEND + "total = \"400ms\"\nresend_within = \"all\"\n"),
                badFile(Rule.LONGER_THAN_TOTAL, STATUS + "attempt_timeout = \"251ms\"\nattempts = 3\n"),
                badFile(Rule.LONGER_THAN_TOTAL, STATUS + "attempt_timeout = \"240ms\"\nattempts = 3\nbackoff = \"20ms\"\n"),
                badFile(Rule.LONGER_THAN_TOTAL, STATUS + "retry_on = [\"timed-out\"]\n"),
                badFile(Rule.LONGER_THAN_TOTAL, STATUS + "backoff = \"250ms\"\n"),
                badFile(Rule.LONGER_THAN_CLIENT, STATUS + "total = \"751ms\"\n"),
                badFile(Rule.LONGER_THAN_CLIENT, SUBMIT + "total = \"1s\"\n"),
                badFile(Rule.ATTEMPT_BEYOND_TOTAL, STATUS + "total = \"100ms\"\nattempt_timeout = \"101ms\"\n"),
                badFile(Rule.TOO_MANY_ATTEMPTS, STATUS + "attempts = 6\n"),
                badFile(Rule.ADVICE_NOT_ALLOWED, STATUS + "retry_after = \"401ms\"\n"));
    }

    private static Arguments badFile(Rule rule, String text) {
        return Arguments.of(rule, text);
    }

    /** Adds a valid total for the keyed class, whose default total exceeds its dedup window, unless the text sets that class. */
    private static OperatorFile parse(String text) {
        boolean setsKeyedClass = text.contains("class.amend") || text.contains("[class]") || text.startsWith("class =");
        return OperatorFile.parse(setsKeyedClass ? text : text + "\n[class.amend]\ntotal = \"400ms\"\n", PLATFORM);
    }

    @ParameterizedTest
    @MethodSource("bad")
    void aBadFileIsRefusedWithItsRuleNamed(Rule rule, String text) {
        OperatorFile file = parse(text);
        Set<Rule> foundRules = EnumSet.noneOf(Rule.class);
        file.findings().forEach(finding -> foundRules.add(finding.rule()));
        assertTrue(foundRules.contains(rule), () -> text + file.findings());
        assertThrows(IllegalStateException.class, file::routes);
        Finding finding = file.findings().stream().filter(f -> f.rule() == rule).findFirst().orElseThrow();
        assertTrue(finding.toString().contains("[" + rule.label() + "]; allowed: "), finding::toString);
        boolean isAboutDefault = finding.key().startsWith("class ");
        assertTrue(finding.line() > 0 || isAboutDefault, finding::toString);
    }

    @Test
    void everyRuleHasATestCase() {
        EnumSet<Rule> coveredRules = EnumSet.noneOf(Rule.class);
        bad().forEach(arguments -> coveredRules.add((Rule) arguments.get()[0]));
        EnumSet<Rule> coveredElsewhere = EnumSet.of(Rule.FILE_FORM, Rule.COPY_NOT_ALLOWED, Rule.PEERS_NOT_ALLOWED);
        coveredRules.addAll(coveredElsewhere);
        assertEquals(EnumSet.allOf(Rule.class), coveredRules);
        assertTrue(bad().count() >= 60);
    }

    @Test
    void allFaultsAreNamedWithTheirLines() {
        List<Finding> findings = parse("clas = 1\n[class.status]\natempts = 2\ntotal = \"x\"\n").findings();
        assertEquals(List.of(1, 3, 4), findings.stream().map(Finding::line).toList());
        assertTrue(findings.get(0).problem().contains("'class'"), findings::toString);
        assertTrue(findings.get(1).problem().contains("'attempts'"), findings::toString);
    }

    @Test
    void hedgesAndRetryAfterAreRejectedWhereThePlatformAllowsNone() {
        PlatformConstraints withoutHedging = new PlatformConstraints(PLATFORM.classes().subList(0, 1), 5, false, 0);
        assertEquals(List.of(Rule.COPY_NOT_ALLOWED, Rule.ADVICE_NOT_ALLOWED), OperatorFile.parse(
                STATUS + "second_copy = { after = \"50ms\" }\nretry_after = \"1ms\"\n", withoutHedging).findings().stream()
                .map(Finding::rule).toList());
    }

    @Test
    void aFileWithScalingTablesAloneSetsOnlyThose() {
        OperatorFile file = parse("[gateway]\nloops = 4\nlisteners = \"each\"\n[subset]\nnodes = 200\nnumber = 2\n"
                + "gateways = { a = 3, b = 4 }\n");
        assertEquals(List.of(), file.findings());
        assertEquals(new ScalingConfig(4, true, 200, Map.of("a", 3, "b", 4), "a", 2), file.scalingConfig());
        assertTrue(file.explain().contains("4 event loops") && file.explain().contains("about 200 nodes"));
        // Without [subset] gateways and number, the deployment's gateway count and number apply.
        assertEquals(new ScalingConfig(1, false, 50, Map.of("a", 7), "a", 3), parse("[subset]\nnodes = 50\n").scalingConfig());
        assertEquals(new ScalingConfig(1, false, 0, Map.of("a", 7), "a", 3), parse(STATUS).scalingConfig());
    }

    @Test
    void aRouteOverridesItsClassAndExplainTellsWhereEachValueCameFrom() {
        OperatorFile file = parse("[class.status]\nattempts = 2\ntotal = \"600ms\"\n"
                + route("GET", "/status/{id}/days", "status") + "attempts = 4\n");
        assertEquals(List.of(), file.findings());
        Route first = file.routes().get(0);
        assertEquals("GET /status/{id}/days", first.toString());
        assertEquals(4, first.settings().maxAttempts());
        assertEquals(600 * MS, first.settings().totalTimeoutNanos());
        Route status = file.routes().stream().filter(r -> r.toString().equals("class status")).findFirst().orElseThrow();
        assertEquals(2, status.settings().maxAttempts());
        String text = file.explain();
        assertTrue(text.lines().anyMatch(l -> l.contains("attempts") && l.endsWith("route, line 8")), text);
        assertTrue(text.lines().anyMatch(l -> l.contains("total") && l.endsWith("class, line 3")), text);
        assertTrue(text.lines().anyMatch(l -> l.contains("backoff") && l.endsWith("default")), text);
    }

    @Test
    void anUnsafeClassIsByDefaultRetriedOnlyAfterOutcomesThatProveItNeverRan() {
        OperatorFile file = parse(STATUS);
        Route submit = file.routes().stream().filter(r -> r.requestClass().equals("submit")).findFirst().orElseThrow();
        assertEquals(Set.of(Outcome.CONNECT_FAILED, Outcome.FULL), submit.settings().retryOn());
    }

    @Test
    void theExampleFileIsValid() {
        PlatformConstraints platform = new PlatformConstraints(PLATFORM.classes().subList(0, 2), 5, true, 400 * MS);
        OperatorFile file = OperatorFile.read(Path.of("deploy/operator.example.toml"), platform);
        assertEquals(List.of(), file.findings());
        assertEquals(3, file.routes().size());
    }

    private static Set<Rule> findRules(Path file) {
        EnumSet<Rule> rules = EnumSet.noneOf(Rule.class);
        OperatorFile.read(file, PLATFORM).findings().forEach(finding -> rules.add(finding.rule()));
        return rules;
    }

    @Test
    void unreadableOrEmptyFilesAreRejected(@TempDir Path folder) throws Exception {
        assertEquals(Set.of(Rule.FILE_FORM), findRules(folder), "a directory");
        assertEquals(Set.of(Rule.FILE_FORM), findRules(folder.resolve("missing")));
        assertEquals(Set.of(Rule.FILE_FORM), findRules(Files.createFile(folder.resolve("empty"))));
        assertEquals(Set.of(Rule.FILE_FORM), findRules(Files.writeString(folder.resolve("blank"), " \r\n\n")));
        byte[] large = new byte[10_000_000];
        Arrays.fill(large, (byte) '#');
        assertEquals(Set.of(Rule.FILE_FORM), findRules(Files.write(folder.resolve("large"), large)));
        assertEquals(Set.of(Rule.FILE_FORM), findRules(Files.write(folder.resolve("latin"),
                "# \u00fc".getBytes(StandardCharsets.ISO_8859_1))));
        assertEquals(Set.of(Rule.SYNTAX), findRules(Files.write(folder.resolve("nul"), new byte[] {'a', 0, 'b'})));
    }

    @Test
    void aByteOrderMarkAndWindowsLineEndingsAreIgnored(@TempDir Path folder) throws Exception {
        String text = "\uFEFF[class.status]\r\nattempts = 2\r\n[class.amend]\r\ntotal = \"400ms\"\r\n";
        OperatorFile file = OperatorFile.read(Files.writeString(folder.resolve("f"), text), PLATFORM);
        assertEquals(List.of(), file.findings());
    }
}
