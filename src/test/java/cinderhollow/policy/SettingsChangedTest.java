package cinderhollow.policy;

import static cinderhollow.policy.GatewayHarness.MS;
import static cinderhollow.policy.GatewayHarness.ORDER;
import static cinderhollow.policy.GatewayHarness.READ;
import static cinderhollow.policy.GatewayHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import cinderhollow.policy.Protocol.*;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Settings change while requests are open, in simulated time. */
class SettingsChangedTest {
    private static Settings settingsWith(int attempts, RequestClass... classes) {
        Settings s = GatewayHarness.settings(false);
        return new Settings(s.gateways(), s.gatewayNumber(), s.zone(), s.subscribe(), s.timerResolutionNanos(), List.of(classes),
                s.tenants(), s.overQuotaWorth(), new UpstreamOptions(attempts, true), s.rules());
    }

    private static RequestClass withEffect(RequestClass c, Effect effect) {
        return new RequestClass(c.name(), effect, c.dedupGroup(), c.dedupWindowNanos(), c.aimNanos(), c.deadlineNanos(),
                c.worth(),
                c.lateWorth(), c.stream());
    }

    /** A request whose class became unsafe between two attempts is still retried, since its class was safe when it arrived. */
    @Test
    void anOpenRequestKeepsTheEffectItCameWith() {
        GatewayHarness gateway = new GatewayHarness(settingsWith(4, READ, ORDER), 7).withServers(3);
        String open = gateway.submit(READ);
        String first = gateway.takeSendTarget();
        gateway.balancer.handle(gateway.now, new SettingsChanged(settingsWith(4, withEffect(READ, Effect.UNSAFE), ORDER)));
        gateway.endAttempt(open, 0, first, Outcome.RESET, 10 * MS, false);
        assertNotEquals(null, gateway.takeSendTarget(), "it is tried again");
        String next = gateway.submit(READ);
        String second = gateway.takeSendTarget();
        gateway.recorder.take();
        gateway.endAttempt(next, 0, second, Outcome.RESET, 10 * MS, false);
        assertEquals(1, gateway.recorder.take("fail").size(), "one that comes now is unsafe");
    }

    @Test
    void anOpenRequestKeepsItsNumberOfAttempts() {
        GatewayHarness gateway = new GatewayHarness(settingsWith(4, READ), 7).withServers(4);
        String open = gateway.submit(READ);
        String first = gateway.takeSendTarget();
        gateway.balancer.handle(gateway.now, new SettingsChanged(settingsWith(1, READ)));
        gateway.endAttempt(open, 0, first, Outcome.FULL, MS, false);
        assertNotEquals(null, gateway.takeSendTarget());
        String next = gateway.submit(READ);
        String only = gateway.takeSendTarget();
        gateway.recorder.take();
        gateway.endAttempt(next, 0, only, Outcome.FULL, MS, false);
        assertEquals(1, gateway.recorder.take("refuse").size());
    }

    /** A request that was held when its class was removed is still sent. */
    @Test
    void aHeldRequestOfADroppedClassIsServed() {
        GatewayHarness gateway = new GatewayHarness(settingsWith(4, READ, ORDER), 7);
        gateway.submit(ORDER);
        assertEquals(null, gateway.takeSendTarget(), "no server is known");
        gateway.balancer.handle(gateway.now, new SettingsChanged(settingsWith(4, READ)));
        gateway.now += 10 * MS;
        gateway.withServers(2);
        assertNotEquals(null, gateway.takeSendTarget());
    }

    /**
     * A reload every second must not refill a tenant's quota each time, which would allow a second's quota in addition each
     * second.
     */
    @Test
    void aTenantsQuotaIsNotRefilledByAReload() {
        Settings s = GatewayHarness.settings(false, 1, List.of(new Tenant("acme", 10)), List.of(READ));
        GatewayHarness gateway = new GatewayHarness(s, 7).withServers(3);
        for (int i = 0; i < 10; i++) {
            gateway.submit(READ, "acme", READ.deadlineNanos());
            gateway.answerAll(MS);
        }
        gateway.balancer.handle(gateway.now, new SettingsChanged(s));
        GatewayHarness other = new GatewayHarness(s, 7).withServers(3);
        assertEquals(0.0, gateway.balancer.remainingQuota("acme"), 1e-9, "used up before the file, and so after it");
        assertEquals(10.0, other.balancer.remainingQuota("acme"), 1e-9);
        gateway.now += SECOND / 2;
        gateway.fireTimer(GatewayHarness.SWEEP_TOKEN);
        assertEquals(5.0, gateway.balancer.remainingQuota("acme"), 1e-9, "it comes back with time");
        gateway.balancer.handle(gateway.now,
                new SettingsChanged(GatewayHarness.settings(false, 1, List.of(new Tenant("other", 4)), List.of(READ))));
        assertEquals(4.0, gateway.balancer.remainingQuota("other"), 1e-9);
    }

    @Test
    void learnedStateOfServersAndClassesIsKept() {
        GatewayHarness gateway = new GatewayHarness(settingsWith(4, READ), 7).withServers(2);
        gateway.submitAndEnd(READ, Outcome.SERVED, 40 * MS);
        double latency = gateway.balancer.classState("read").meanLatencyNanos;
        List<Double> shares = gateway.balancer.readyServers().stream().map(s -> s.share).toList();
        RequestClass longer = new RequestClass("read", Effect.SAFE, DedupGroup.ALL, 0, SECOND, 3 * SECOND, 1, 0.5, false);
        gateway.balancer.handle(gateway.now, new SettingsChanged(settingsWith(4, longer)));
        assertEquals(latency, gateway.balancer.classState("read").meanLatencyNanos);
        assertEquals(shares, gateway.balancer.readyServers().stream().map(s -> s.share).toList());
        assertEquals(3 * SECOND, gateway.balancer.classState("read").requestClass.deadlineNanos());
    }
}
