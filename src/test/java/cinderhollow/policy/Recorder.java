package cinderhollow.policy;

import cinderhollow.policy.Protocol.Actions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A host that only records the actions that the module requests. */
final class Recorder implements Actions {
    /** One action; fields that an action lacks are null or 0. A timer has its token as id. */
    record Action(String call, String id, String server, long value) { }

    final List<Action> actions = new ArrayList<>();
    /** For each request, the time within which its newest attempt must be sent. */
    final Map<String, Long> startWithinNanos = new HashMap<>();

    private void add(String call, String id, String server, long value) {
        actions.add(new Action(call, id, server, value));
    }

    /** Removes and returns all actions recorded since the last call. */
    List<Action> take() {
        List<Action> taken = new ArrayList<>(actions);
        actions.clear();
        return taken;
    }

    List<Action> take(String call) {
        return take().stream().filter(a -> a.call().equals(call)).toList();
    }

    @Override
    public void send(String request, String server, long timeoutNanos) {
        add("send", request, server, timeoutNanos);
    }

    @Override
    public void send(String request, String server, long timeoutNanos, long withinNanos) {
        startWithinNanos.put(request, withinNanos);
        send(request, server, timeoutNanos);
    }

    @Override
    public void refuse(String request, long pauseNanos) {
        add("refuse", request, null, pauseNanos);
    }

    @Override
    public void fail(String request) {
        add("fail", request, null, 0);
    }

    @Override
    public void cancel(String request, int attempt) {
        add("cancel", request, null, attempt);
    }

    @Override
    public void probe(String server) {
        add("probe", null, server, 0);
    }

    @Override
    public void broadcast(byte[] body) {
        add("tellAll", null, null, body.length);
    }

    @Override
    public void setTimer(long delayNanos, long token) {
        add("setTimer", String.valueOf(token), null, delayNanos);
    }

    @Override
    public void subscribe() {
        add("subscribe", null, null, 0);
    }

    @Override
    public void fetchList() {
        add("fetchList", null, null, 0);
    }

    @Override
    public void log(String line) {
        add("log", line, null, 0);
    }
}
