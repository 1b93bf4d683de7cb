package cinderhollow.policy;

import cinderhollow.policy.Protocol.*;
import java.util.ArrayList;
import java.util.List;

/** A gateway under test: its decision module, the recorder of its actions, and short methods for events. */
final class GatewayHarness {
    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;
    static final long WARM_UP = 20 * SECOND;
    static final long SHARE_UPDATE_TOKEN = 1;
    static final long SWEEP_TOKEN = 2;
    static final long SUBSCRIBE_TOKEN = 3;
    static final RequestClass READ = new RequestClass("read", Effect.SAFE, DedupGroup.ALL, 0, 500 * MS, 2 * SECOND,
            1, 0.5, false);
    static final RequestClass ORDER = new RequestClass("order", Effect.UNSAFE, DedupGroup.ALL, 0, 500 * MS, 2 * SECOND,
            5, 0, false);
    static final RequestClass FILE = new RequestClass("file", Effect.KEYED, DedupGroup.ZONE, 5 * SECOND, 500 * MS,
            2 * SECOND, 2, 0, false);
    static final UpstreamOptions UPSTREAM_OPTIONS = new UpstreamOptions(4, true);
    static final Rules RULES = new Rules(20 * MS, 250 * MS, 10 * SECOND, 0.2, WARM_UP, 2.5, 1500 * MS);

    final Recorder recorder = new Recorder();
    final LoadBalancer balancer;
    long now = 100 * SECOND;
    private final RequestClass defaultClass;
    private int requestCount;

    GatewayHarness() {
        this(settings(false), 7);
    }

    GatewayHarness(Settings settings, long seed) {
        balancer = new LoadBalancer(settings, seed, recorder);
        defaultClass = settings.classes().get(0);
    }

    static Settings settings(boolean subscribe) {
        return settings(subscribe, 1, List.of(), List.of(READ, ORDER, FILE));
    }

    static Settings settings(boolean subscribe, int gateways, List<Tenant> tenants, List<RequestClass> classes) {
        return new Settings(gateways, 0, "a", subscribe, 5 * MS, classes, tenants, 0.1, UPSTREAM_OPTIONS, RULES);
    }

    static ServerInfo server(String id, String zone, Readiness readiness, long startedAt) {
        return new ServerInfo(id, zone, "k", zone.charAt(0), readiness, 1, startedAt);
    }

    static ServerInfo server(String id) {
        return server(id, "a", Readiness.READY, 0);
    }

    /** Adds warm servers s0, s1 and so on in the gateway's zone. */
    GatewayHarness withServers(int servers) {
        return withServers(servers, "a");
    }

    /** Adds such servers alternately in the gateway's zone and in another. */
    GatewayHarness withServers(int servers, String otherZone) {
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server("s" + i, i % 2 == 0 ? "a" : otherZone, Readiness.READY, 0));
        }
        receiveList(ListKind.CACHED, list);
        return this;
    }

    void receiveList(ListKind kind, List<ServerInfo> servers) {
        balancer.handle(now, new ListReceived(kind, servers));
    }

    void receiveList(ListKind kind, ServerInfo... servers) {
        receiveList(kind, List.of(servers));
    }

    /** Submits a request of the class and returns its id. */
    String submit(RequestClass c) {
        return submit(c, null, c.deadlineNanos());
    }

    String submit(RequestClass c, String tenant, long expiresIn) {
        return submit(c, tenant, expiresIn, null);
    }

    String submit(RequestClass c, String tenant, long expiresIn, RoutePolicy course) {
        String id = "r" + requestCount++;
        balancer.handle(now, new RequestArrived(id, c.name(), tenant, null, expiresIn, 0, false, course));
        return id;
    }

    void endAttempt(String id, int attempt, String server, Outcome outcome, long elapsed) {
        endAttempt(id, attempt, server, outcome, elapsed, outcome == Outcome.SERVED);
    }

    void endAttempt(String id, int attempt, String server, Outcome outcome, long elapsed, boolean concluded) {
        balancer.handle(now, new AttemptEnded(id, attempt, server, outcome, elapsed, concluded, null));
    }

    void fireTimer(long token) {
        balancer.handle(now, new TimerFired(token));
    }

    /** Returns the server of the only send since the last call, or null if there was none. */
    String takeSendTarget() {
        List<Recorder.Action> sends = recorder.take("send");
        if (sends.size() > 1) {
            throw new AssertionError("more than one send: " + sends);
        }
        return sends.isEmpty() ? null : sends.get(0).server();
    }

    /** Submits a request and ends its attempt at once; returns the server that got it. */
    String submitAndEnd(RequestClass c, Outcome outcome, long elapsed) {
        return submitAndEnd(c, outcome, elapsed, outcome == Outcome.SERVED);
    }

    String submitAndEnd(RequestClass c, Outcome outcome, long elapsed, boolean concluded) {
        String id = submit(c);
        String server = takeSendTarget();
        if (server != null) {
            endAttempt(id, 0, server, outcome, elapsed, concluded);
            recorder.take();
        }
        return server;
    }

    /** Returns how many of this many requests are sent when none is answered. */
    int countSent(RequestClass c, int n) {
        int sent = 0;
        for (int i = 0; i < n; i++) {
            submit(c);
            sent += takeSendTarget() == null ? 0 : 1;
        }
        return sent;
    }

    /** Submits all requests at once and answers each when it has been sent. */
    void serveConcurrently(RequestClass c, int n, long elapsed) {
        for (int i = 0; i < n; i++) {
            submit(c);
        }
        answerAll(elapsed);
    }

    /** Answers each request when it has been sent, until none is left; returns the requests in the order of their sends. */
    List<String> answerAll(long elapsed) {
        List<String> sent = new ArrayList<>();
        for (List<Recorder.Action> out = recorder.take("send"); !out.isEmpty(); out = recorder.take("send")) {
            for (Recorder.Action a : out) {
                sent.add(a.id());
                endAttempt(a.id(), 0, a.server(), Outcome.SERVED, elapsed);
            }
        }
        return sent;
    }

    /** Returns how many requests are sent before the next is held; all are cancelled afterwards. */
    int measureMaxInFlight() {
        List<Recorder.Action> sent = new ArrayList<>();
        List<String> submitted = new ArrayList<>();
        for (List<Recorder.Action> sends = null; sends == null || !sends.isEmpty();) {
            submitted.add(submit(defaultClass));
            sends = recorder.take("send");
            sent.addAll(sends);
        }
        submitted.forEach(id -> balancer.handle(now, new ClientLeft(id)));
        sent.forEach(a -> endAttempt(a.id(), 0, a.server(), Outcome.NOT_SENT, 0, true));
        recorder.take();
        return sent.size();
    }
}
