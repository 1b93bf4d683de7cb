package cinderhollow.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the simulator's line protocol: answers to batches, errors of malformed input, and independence of gateways. */
class WireTest {
    private static final String BEGIN = "BEGIN\tgateway=3\tprng=7\taccounts=\tallowed.max_attempts=3"
            + "\tdiscovery=automatic\tgrades.count=1\tgrades.0.aim_ns=600000000\tgrades.0.deadline_ns=3000000000"
            + "\tgrades.0.name=read\tgrades.0.semantics=safe\tgroup_size=2\tmy_number=0"
            + "\tobligations.cold_from=0.5\tobligations.drain_grace_ns=250000000\tobligations.overload_factor=2.5"
            + "\tobligations.overload_for_ns=1500000000\tobligations.warm_up_ns=20000000000"
            + "\tresolution_ns=5000000\tzone=a\tunheard_of=1\n";
    private static final String ONE_SERVER_LIST = "POOL\tslot=0\trows_in=1\n"
            + "ITEM\thost=host-a\tdc=a\tkind=k\tgroup=0\tstatus=1\tcapacity_hint=1\n"
            + "FLEET\tgateway=3\tscope=3\tepoch=1\tslot=0\n";
    private static final String ASK = "ASK\tgateway=3\trid=t/1\tband=read\texpires_in_ns=2000000000\n";

    private static String batch(int turn, String events) {
        return "BATCH\ttime_ns=" + (1_000_000_000L + turn) + "\tturn=" + turn + "\n" + events + "EOB\n";
    }

    private static String runWire(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Wire(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static void assertMalformed(String input, String message) {
        Wire.MalformedInput e = assertThrows(Wire.MalformedInput.class, () -> runWire(input));
        assertEquals(message, e.getMessage());
    }

    @Test
    void emptyBatchesAreAnsweredWithTheirNumber() throws IOException {
        assertEquals("NEXT\tturn=1\nNEXT\tturn=2\n", runWire(batch(1, "") + batch(2, "")));
    }

    @Test
    void aRequestIsForwardedToTheOnlyServer() throws IOException {
        String reply = runWire(batch(1, BEGIN + ONE_SERVER_LIST) + batch(2, ASK));
        List<String> lines = reply.lines().filter(l -> l.startsWith("FORWARD")).toList();
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).startsWith("FORWARD\tgateway=3\trid=t/1\thost=host-a\ttry_for_ns="), lines.get(0));
    }

    @Test
    void malformedInputNamesTheLineAndTheFault() {
        assertMalformed("HELLO\n", "line 1: expected BATCH, found 'HELLO'");
        assertMalformed(batch(1, "HELLO\tgateway=3\n"), "line 2: unknown message 'HELLO'");
        assertMalformed(batch(1, ASK), "line 2: ASK for unknown gateway 3");
        assertMalformed(batch(1, "ASK\tgateway\n"), "line 2: 'gateway' is not name=value");
        assertMalformed(batch(1, "ASK\tgateway=x\n"), "line 2: gateway is not a whole number: 'x'");
        assertMalformed("BATCH\ttime_ns=1\n", "line 1: BATCH lacks turn");
        assertMalformed("BATCH\ttime_ns=1\tturn=1\n", "line 1: the input ends within a batch");
        assertMalformed(batch(1, BEGIN.replace("\tzone=a", "\tzone=a\tgrades.0.late_worth=much")),
                "line 2: grades.0.late_worth is not a number: 'much'");
        assertMalformed(batch(1, BEGIN.replace("\tdiscovery=automatic", "")), "line 2: the settings lack discovery");
        assertMalformed(batch(1, BEGIN + "FLEET\tgateway=3\tscope=3\tepoch=1\tslot=4\n"),
                "line 3: FLEET names slot 4, never filled");
    }

    private static List<String> linesWithTag(String reply, String tag) {
        return reply.lines().filter(l -> l.startsWith(tag + "\t")).toList();
    }

    @Test
    void everyOutcomeIsReadAndLeadsToAFinalAnswer() throws IOException {
        for (String code : List.of("fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send")) {
            String done = "DONE\tgateway=3\trid=t/1\tsend_no=0\thost=host-a\toutcome=" + code
                    + "\tdelay_seen_ns=5\tload=0.5,0.1\n";
            String input = batch(1, BEGIN + ONE_SERVER_LIST) + batch(2, ASK) + batch(3, done);
            String late = batch(4, "EXPIRED\tgateway=3\trid=t/1\n" + "REMINDER\tgateway=3\tnonce=2\n");
            assertEquals(4, linesWithTag(runWire(input + late), "NEXT").size(), code);
        }
        assertMalformed(batch(1, BEGIN + ONE_SERVER_LIST + ASK + "DONE\tgateway=3\trid=t/1\tsend_no=0\thost=host-a"
                + "\toutcome=lost\tdelay_seen_ns=5\n"), "line 7: unknown outcome 'lost'");
    }

    @Test
    void streamsProbesAndPeersAreRead() throws IOException {
        String reply = runWire(batch(1, BEGIN + ONE_SERVER_LIST + ASK
                + "STREAMING\tgateway=3\trid=t/1\tsend_no=0\thost=host-a\tdelay_seen_ns=5\n"
                + "PING_RESULT\tgateway=3\thost=host-a\toutcome=pass\tdelay_seen_ns=5\n"
                + "WHISPER\tgateway=3\tneighbour=2\tbody=68692037\n"));
        assertEquals(1, linesWithTag(reply, "FORWARD").size());
        assertMalformed(batch(1, BEGIN + "WHISPER\tgateway=3\tneighbour=2\tbody=6g\n"),
                "line 3: body is not hex: '6g'");
    }

    @Test
    void aSlotReusedWithinABatchIsReadInOrder() throws IOException {
        String second = ONE_SERVER_LIST.replace("host-a", "host-b").replace("scope=3", "scope=1");
        String reply = runWire(batch(1, BEGIN + ONE_SERVER_LIST + second + ASK));
        assertTrue(linesWithTag(reply, "FORWARD").get(0).contains("\thost=host-b\t"), reply);
    }

    @Test
    void aRetiredGatewayCanBeginAgainWithinABatchAndIsUnknownUntilThen() throws IOException {
        String restart = "RETIRE\tgateway=3\n" + BEGIN + ONE_SERVER_LIST.substring(ONE_SERVER_LIST.indexOf("FLEET"));
        String reply = runWire(batch(1, BEGIN + ONE_SERVER_LIST + ASK) + batch(2, restart + ASK.replace("t/1", "t/2")));
        assertEquals(2, linesWithTag(reply, "FORWARD").size());
        assertMalformed(batch(1, BEGIN + "RETIRE\tgateway=3\n" + ASK), "line 4: ASK for unknown gateway 3");
    }

    @Test
    void subscriptionIsRequestedAtOnceAndRetriedAfterAFailure() throws IOException {
        String begin = BEGIN.replace("automatic", "subscribe");
        assertEquals(1, linesWithTag(runWire(batch(1, begin + ONE_SERVER_LIST)), "SUBSCRIBE").size());
        String failed = "FLEET\tgateway=3\tscope=0\tepoch=1\tslot=0\n";
        assertTrue(runWire(batch(1, begin + ONE_SERVER_LIST + failed)).contains("nonce=3"),
                "a timer for the next request of the list");
    }

    @Test
    void equalEventsGiveEqualActionsWhateverOtherInstancesDo() throws IOException {
        String list = ONE_SERVER_LIST + ONE_SERVER_LIST.replace("host-a", "host-b").replace("scope=3", "scope=2");
        StringBuilder gatewayRequests = new StringBuilder();
        StringBuilder bothGatewaysRequests = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            String ask = ASK.replace("t/1", "t/" + i);
            gatewayRequests.append(ask);
            bothGatewaysRequests.append(ask.replace("gateway=3", "gateway=4")).append(ask);
        }
        String alone = runWire(batch(1, BEGIN + list) + batch(2, gatewayRequests.toString()));
        String otherBegin = (BEGIN + list).replace("gateway=3", "gateway=4").replace("prng=7", "prng=8");
        String together = runWire(batch(1, otherBegin + BEGIN + list) + batch(2, bothGatewaysRequests.toString()));
        assertEquals(alone.lines().filter(l -> l.contains("gateway=3")).toList(),
                together.lines().filter(l -> l.contains("gateway=3")).toList());
    }

    @Test
    void anExceptionInTheModuleBecomesTheFailureAction() throws IOException {
        String reply = runWire(batch(1, BEGIN + ONE_SERVER_LIST + ASK.replace("read", "unheard")));
        assertEquals("GIVE_IN\tgateway=3\tmessage=java.lang.IllegalArgumentException: requestClass: unknown class"
                + " unheard", linesWithTag(reply, "GIVE_IN").get(0));
    }
}
