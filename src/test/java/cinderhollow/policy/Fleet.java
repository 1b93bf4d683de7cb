package cinderhollow.policy;

import cinderhollow.policy.Protocol.*;
import java.util.ArrayList;
import java.util.List;

/** A gateway under test: its decision module, the recorder of its actions, and short methods for events. */
final class Fleet {
    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;
    static final long WARM_UP = 20 * SECOND;
    static final long STEP = 1;
    static final long SWEEP = 2;
    static final long ASK = 3;
    static final RequestClass READ = new RequestClass("read", Effect.SAFE, DedupGroup.ALL, 0, 500 * MS, 2 * SECOND,
            1, 0.5, false);
    static final RequestClass ORDER = new RequestClass("order", Effect.UNSAFE, DedupGroup.ALL, 0, 500 * MS, 2 * SECOND,
            5, 0, false);
    static final RequestClass FILE = new RequestClass("file", Effect.KEYED, DedupGroup.ZONE, 5 * SECOND, 500 * MS,
            2 * SECOND, 2, 0, false);
    static final UpstreamOptions ALL_ALLOWED = new UpstreamOptions(4, true);
    static final Rules RULES = new Rules(20 * MS, 250 * MS, 10 * SECOND, 0.2, WARM_UP, 2.5, 1500 * MS);

    final Recorder host = new Recorder();
    final LoadBalancer choice;
    long now = 100 * SECOND;
    private final RequestClass main;
    private int requests;

    Fleet() {
        this(settings(false), 7);
    }

    Fleet(Settings settings, long seed) {
        choice = new LoadBalancer(settings, seed, host);
        main = settings.classes().get(0);
    }

    static Settings settings(boolean subscribe) {
        return settings(subscribe, 1, List.of(), List.of(READ, ORDER, FILE));
    }

    static Settings settings(boolean subscribe, int gateways, List<Tenant> tenants, List<RequestClass> classes) {
        return new Settings(gateways, 0, "a", subscribe, 5 * MS, classes, tenants, 0.1, ALL_ALLOWED, RULES);
    }

    static ServerInfo server(String id, String zone, Readiness readiness, long startedAt) {
        return new ServerInfo(id, zone, "k", zone.charAt(0), readiness, 1, startedAt);
    }

    static ServerInfo server(String id) {
        return server(id, "a", Readiness.READY, 0);
    }

    /** Adds warm servers s0, s1 and so on in the gateway's zone. */
    Fleet with(int servers) {
        return with(servers, "a");
    }

    /** Adds such servers alternately in the gateway's zone and in another. */
    Fleet with(int servers, String otherZone) {
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server("s" + i, i % 2 == 0 ? "a" : otherZone, Readiness.READY, 0));
        }
        list(ListKind.CACHED, list);
        return this;
    }

    void list(ListKind kind, List<ServerInfo> servers) {
        choice.handle(now, new ListReceived(kind, servers));
    }

    void list(ListKind kind, ServerInfo... servers) {
        list(kind, List.of(servers));
    }

    /** Submits a request of the class and returns its id. */
    String ask(RequestClass c) {
        return ask(c, null, c.deadlineNanos());
    }

    String ask(RequestClass c, String tenant, long expiresIn) {
        return ask(c, tenant, expiresIn, null);
    }

    String ask(RequestClass c, String tenant, long expiresIn, RoutePolicy course) {
        String id = "r" + requests++;
        choice.handle(now, new RequestArrived(id, c.name(), tenant, null, expiresIn, 0, false, course));
        return id;
    }

    void end(String id, int attempt, String server, Outcome outcome, long elapsed) {
        end(id, attempt, server, outcome, elapsed, outcome == Outcome.SERVED);
    }

    void end(String id, int attempt, String server, Outcome outcome, long elapsed, boolean concluded) {
        choice.handle(now, new AttemptEnded(id, attempt, server, outcome, elapsed, concluded, null));
    }

    void fire(long token) {
        choice.handle(now, new TimerFired(token));
    }

    /** Returns the server of the only send since the last call, or null if there was none. */
    String sentTo() {
        List<Recorder.Action> sends = host.take("send");
        if (sends.size() > 1) {
            throw new AssertionError("more than one send: " + sends);
        }
        return sends.isEmpty() ? null : sends.get(0).server();
    }

    /** Submits a request and ends its attempt at once; returns the server that got it. */
    String serve(RequestClass c, Outcome outcome, long elapsed) {
        return serve(c, outcome, elapsed, outcome == Outcome.SERVED);
    }

    String serve(RequestClass c, Outcome outcome, long elapsed, boolean concluded) {
        String id = ask(c);
        String server = sentTo();
        if (server != null) {
            end(id, 0, server, outcome, elapsed, concluded);
            host.take();
        }
        return server;
    }

    /** Returns how many of this many requests are sent when none is answered. */
    int sentOf(RequestClass c, int n) {
        int out = 0;
        for (int i = 0; i < n; i++) {
            ask(c);
            out += sentTo() == null ? 0 : 1;
        }
        return out;
    }

    /** Submits all requests at once and answers each when it has been sent. */
    void serveTogether(RequestClass c, int n, long elapsed) {
        for (int i = 0; i < n; i++) {
            ask(c);
        }
        answerAll(elapsed);
    }

    /** Answers each request when it has been sent, until none is left; returns the requests in the order of their sends. */
    List<String> answerAll(long elapsed) {
        List<String> sent = new ArrayList<>();
        for (List<Recorder.Action> out = host.take("send"); !out.isEmpty(); out = host.take("send")) {
            for (Recorder.Action a : out) {
                sent.add(a.id());
                end(a.id(), 0, a.server(), Outcome.SERVED, elapsed);
            }
        }
        return sent;
    }

    /** Returns how many requests are sent before the next is held; all are cancelled afterwards. */
    int inFlightAtMost() {
        List<Recorder.Action> out = new ArrayList<>();
        List<String> asked = new ArrayList<>();
        for (List<Recorder.Action> sends = null; sends == null || !sends.isEmpty();) {
            asked.add(ask(main));
            sends = host.take("send");
            out.addAll(sends);
        }
        asked.forEach(id -> choice.handle(now, new ClientLeft(id)));
        out.forEach(a -> end(a.id(), 0, a.server(), Outcome.NOT_SENT, 0, true));
        host.take();
        return out.size();
    }
}
