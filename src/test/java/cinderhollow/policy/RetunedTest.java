package cinderhollow.policy;

import static cinderhollow.policy.Fleet.MS;
import static cinderhollow.policy.Fleet.ORDER;
import static cinderhollow.policy.Fleet.READ;
import static cinderhollow.policy.Fleet.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import cinderhollow.policy.Protocol.*;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Settings change while requests are open, in simulated time. */
class RetunedTest {
    private static Settings with(int attempts, RequestClass... classes) {
        Settings s = Fleet.settings(false);
        return new Settings(s.gateways(), s.gatewayNumber(), s.zone(), s.subscribe(), s.timerResolutionNanos(), List.of(classes),
                s.tenants(), s.overQuotaWorth(), new UpstreamOptions(attempts, true), s.rules());
    }

    private static RequestClass as(RequestClass c, Effect effect) {
        return new RequestClass(c.name(), effect, c.dedupGroup(), c.dedupWindowNanos(), c.aimNanos(), c.deadlineNanos(), c.worth(),
                c.lateWorth(), c.stream());
    }

    /** A request whose class became unsafe between two attempts is still retried, since its class was safe when it arrived. */
    @Test
    void anOpenRequestKeepsTheEffectItCameWith() {
        Fleet fleet = new Fleet(with(4, READ, ORDER), 7).with(3);
        String open = fleet.ask(READ);
        String first = fleet.sentTo();
        fleet.choice.handle(fleet.now, new SettingsChanged(with(4, as(READ, Effect.UNSAFE), ORDER)));
        fleet.end(open, 0, first, Outcome.RESET, 10 * MS, false);
        assertNotEquals(null, fleet.sentTo(), "it is tried again");
        String next = fleet.ask(READ);
        String second = fleet.sentTo();
        fleet.host.take();
        fleet.end(next, 0, second, Outcome.RESET, 10 * MS, false);
        assertEquals(1, fleet.host.take("fail").size(), "one that comes now is unsafe");
    }

    @Test
    void anOpenRequestKeepsItsNumberOfAttempts() {
        Fleet fleet = new Fleet(with(4, READ), 7).with(4);
        String open = fleet.ask(READ);
        String first = fleet.sentTo();
        fleet.choice.handle(fleet.now, new SettingsChanged(with(1, READ)));
        fleet.end(open, 0, first, Outcome.FULL, MS, false);
        assertNotEquals(null, fleet.sentTo());
        String next = fleet.ask(READ);
        String only = fleet.sentTo();
        fleet.host.take();
        fleet.end(next, 0, only, Outcome.FULL, MS, false);
        assertEquals(1, fleet.host.take("refuse").size());
    }

    /** A request that was held when its class was removed is still sent. */
    @Test
    void aHeldRequestOfADroppedClassIsServed() {
        Fleet fleet = new Fleet(with(4, READ, ORDER), 7);
        fleet.ask(ORDER);
        assertEquals(null, fleet.sentTo(), "no server is known");
        fleet.choice.handle(fleet.now, new SettingsChanged(with(4, READ)));
        fleet.now += 10 * MS;
        fleet.with(2);
        assertNotEquals(null, fleet.sentTo());
    }

    /**
     * A reload every second must not refill a tenant's quota each time, which would allow a second's quota in addition each
     * second.
     */
    @Test
    void aTenantsShareIsNotFullAgainWithEachFile() {
        Settings s = Fleet.settings(false, 1, List.of(new Tenant("acme", 10)), List.of(READ));
        Fleet fleet = new Fleet(s, 7).with(3);
        for (int i = 0; i < 10; i++) {
            fleet.ask(READ, "acme", READ.deadlineNanos());
            fleet.answerAll(MS);
        }
        fleet.choice.handle(fleet.now, new SettingsChanged(s));
        Fleet other = new Fleet(s, 7).with(3);
        assertEquals(0.0, fleet.choice.left("acme"), 1e-9, "used up before the file, and so after it");
        assertEquals(10.0, other.choice.left("acme"), 1e-9);
        fleet.now += SECOND / 2;
        fleet.fire(Fleet.SWEEP);
        assertEquals(5.0, fleet.choice.left("acme"), 1e-9, "it comes back with time");
        fleet.choice.handle(fleet.now, new SettingsChanged(Fleet.settings(false, 1, List.of(new Tenant("other", 4)), List.of(READ))));
        assertEquals(4.0, fleet.choice.left("other"), 1e-9);
    }

    @Test
    void whatWasLearntOfAServerAndAClassCountsOn() {
        Fleet fleet = new Fleet(with(4, READ), 7).with(2);
        fleet.serve(READ, Outcome.SERVED, 40 * MS);
        double latency = fleet.choice.kind("read").latency;
        List<Double> shares = fleet.choice.ready().stream().map(s -> s.share).toList();
        RequestClass longer = new RequestClass("read", Effect.SAFE, DedupGroup.ALL, 0, SECOND, 3 * SECOND, 1, 0.5, false);
        fleet.choice.handle(fleet.now, new SettingsChanged(with(4, longer)));
        assertEquals(latency, fleet.choice.kind("read").latency);
        assertEquals(shares, fleet.choice.ready().stream().map(s -> s.share).toList());
        assertEquals(3 * SECOND, fleet.choice.kind("read").spec.deadlineNanos());
    }
}
