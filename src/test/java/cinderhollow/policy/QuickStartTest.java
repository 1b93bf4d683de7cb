package cinderhollow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.Actions;
import cinderhollow.policy.Protocol.AttemptEnded;
import cinderhollow.policy.Protocol.DedupGroup;
import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.ListKind;
import cinderhollow.policy.Protocol.ListReceived;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.RequestArrived;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.Rules;
import cinderhollow.policy.Protocol.ServerInfo;
import cinderhollow.policy.Protocol.Settings;
import cinderhollow.policy.Protocol.UpstreamOptions;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's example, as a new user would write it. */
class QuickStartTest {
    private static final long MS = 1_000_000L;

    /** The host's side of the interface; a real gateway opens connections and sets timers here. */
    private static final class Host implements Actions {
        final List<String> calls = new ArrayList<>();
        long timers;

        @Override
        public void send(String request, String server, long timeoutNanos) {
            calls.add(request + " to " + server);
        }

        @Override
        public void refuse(String request, long pauseNanos) {
            calls.add(request + " refused");
        }

        @Override
        public void fail(String request) {
            calls.add(request + " failed");
        }

        @Override
        public void cancel(String request, int attempt) { }

        @Override
        public void setTimer(long delayNanos, long token) {
            timers++;
        }

        @Override
        public void subscribe() { }
    }

    @Test
    void aGatewayEmbedsLoadBalancerInAFewLines() {
        RequestClass read = new RequestClass("read", Effect.SAFE, DedupGroup.ALL, 0, 300 * MS, 1000 * MS, 1, 0, false);
        Settings settings = new Settings(1, 0, "zone-a", false, MS, List.of(read), List.of(), 1,
                new UpstreamOptions(3, true),
                new Rules(20 * MS, 250 * MS, 10_000 * MS, 0.2, 20_000 * MS, 2.5, 1000 * MS));
        Host host = new Host();
        LoadBalancer balancer = new LoadBalancer(settings, 42, host);

        long now = 5_000 * MS; // in a gateway: System.nanoTime()
        ServerInfo server = new ServerInfo("10.0.0.7:80", "zone-a", "m5", 0, Readiness.READY, 1, 0);
        balancer.handle(now, new ListReceived(ListKind.WHOLE, List.of(server)));
        balancer.handle(now, new RequestArrived("r1", "read", null, null, 1000 * MS, 0, false));
        balancer.handle(now + 20 * MS, new AttemptEnded("r1", 0, "10.0.0.7:80", Outcome.SERVED, 20 * MS, true, null));

        assertEquals(List.of("r1 to 10.0.0.7:80"), host.calls);
        assertTrue(host.timers > 0, "the module asks to be woken");
    }
}
