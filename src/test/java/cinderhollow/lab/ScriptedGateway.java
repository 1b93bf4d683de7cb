package cinderhollow.lab;

import cinderhollow.core.Json;
import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.membership.EndpointList;
import cinderhollow.policy.Protocol.Readiness;
import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Exchanger;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/** A gateway with one thread for each connection that keeps all rules except the one that its flaw breaks. */
final class ScriptedGateway implements Gateways.Running {
    /** The flaws that a scripted gateway may have. */
    enum Flaw { NONE, RESENDS_AFTER_A_RESET, ANSWERS_TWICE, SWAPS_ANSWERS, LOSES_AT_THE_END, SENDS_TO_DRAINED,
        FLOODS_THE_COLD, REFUSES_WHAT_RAN }

    private static final int MOST_ATTEMPTS = 5, TWICE_EVERY = 20;

    private final Flaw flaw;
    private final ServerSocket listener;
    private final InetSocketAddress discovery;
    private final Map<String, Endpoint> nodes = new ConcurrentHashMap<>();
    private final Set<Socket> clients = ConcurrentHashMap.newKeySet();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private final Exchanger<String> swap = new Exchanger<>();
    private volatile boolean listed;
    private volatile boolean ending;

    /** An HTTP message as read from a socket. */
    private record Message(String first, List<String> headers, String body) {
        String header(String name) {
            return headers.stream().filter(h -> h.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                    .map(h -> h.substring(name.length() + 1).trim()).findFirst().orElse(null);
        }

        static Message read(InputStream in) throws IOException {
            List<String> lines = new ArrayList<>();
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); ; c = in.read()) {
                if (c < 0) {
                    return null;
                }
                if (c != '\n') {
                    line.append((char) c);
                } else if (line.toString().isBlank()) {
                    break;
                } else {
                    lines.add(line.toString().strip());
                    line.setLength(0);
                }
            }
            Message head = new Message(lines.get(0), lines.subList(1, lines.size()), "");
            String length = head.header("Content-Length");
            byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
            if (length != null && body.length < Integer.parseInt(length)) {
                return null;
            }
            return new Message(head.first, head.headers, new String(body, StandardCharsets.UTF_8));
        }
    }

    private ScriptedGateway(Flaw flaw, Gateways.Spec spec) throws IOException {
        this.flaw = flaw;
        InetSocketAddress listen = EndpointList.parseAddress(spec.environment().get("LB_LISTEN"));
        discovery = EndpointList.parseAddress(spec.environment().get("LB_DISCOVERY"));
        listener = new ServerSocket(listen.getPort(), 200, listen.getAddress());
        take(EndpointList.read(Json.read(Files.readString(Path.of(spec.environment().get("LB_CONFIG"))))
                .required("known")));
        daemon(this::watch);
        daemon(this::accept);
    }

    static Gateways with(Flaw flaw) {
        return spec -> new ScriptedGateway(flaw, spec);
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void take(EndpointList list) {
        for (Endpoint endpoint : list.endpoints()) {
            boolean kept = flaw == Flaw.SENDS_TO_DRAINED && endpoint.info().readiness() == Readiness.DRAINING;
            if (endpoint.info().readiness() == Readiness.READY) {
                nodes.put(endpoint.info().id(), endpoint);
            } else if (!kept) {
                nodes.remove(endpoint.info().id());
            }
        }
    }

    private void watch() {
        while (!ending) {
            try (Socket socket = new Socket(discovery.getAddress(), discovery.getPort())) {
                socket.getOutputStream().write("GET /v1/endpoints?follow=1&since=1 HTTP/1.1\r\nHost: d\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                        StandardCharsets.UTF_8));
                // The lines of JSON are mixed with those of the response head and the chunk sizes.
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (line.startsWith("{")) {
                        take(EndpointList.read(Json.read(line)));
                        listed = true;
                    }
                }
            } catch (IOException e) {
                listed = true; // a failed call to discovery counts as done
            }
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                clients.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message request = Message.read(in); request != null; request = Message.read(in)) {
                open.incrementAndGet();
                try {
                    answer(socket, request);
                } finally {
                    open.decrementAndGet();
                    tellWaiters();
                }
                if (ending) {
                    return;
                }
            }
        } catch (IOException e) {
            // The client has closed the connection, or this gateway is shutting down.
        } finally {
            clients.remove(socket);
        }
    }

    private void answer(Socket socket, Message request) throws IOException {
        if (request.first.startsWith("GET /ready")) {
            write(socket, listed ? "200 OK" : "503 Starting", "");
            return;
        }
        String body = carry(request);
        if (body == null) {
            return;
        }
        if (body.startsWith("made for")) {
            body = flaw == Flaw.SWAPS_ANSWERS ? swapped(body) : body;
            write(socket, "200 OK", body);
            if (flaw == Flaw.ANSWERS_TWICE && answers.incrementAndGet() % TWICE_EVERY == 0) {
                write(socket, "200 OK", body);
            }
        } else {
            write(socket, body, "");
        }
    }

    private String swapped(String body) {
        try {
            return swap.exchange(body, 5, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return body;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return body;
        }
    }

    /** Returns the body of a node's answer, or the status of this gateway's own answer. */
    private String carry(Message request) {
        boolean safe = request.first.startsWith("GET ");
        long micros = Long.parseLong(request.header("X-Timeout").replace("u", ""));
        // Long before the client's deadline, since this gateway runs in the lab's process and stalls with it.
        long end = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(micros) / 2;
        boolean mayHaveRun = false;
        for (int i = 0; i < MOST_ATTEMPTS; i++) {
            int left = (int) TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            Endpoint node = pick();
            if (node == null || left <= 1) {
                return mayHaveRun ? "502 Nobody" : "503 Nobody";
            }
            boolean written = false;
            try (Socket socket = new Socket()) {
                socket.connect(node.address(), left);
                socket.setSoTimeout(left);
                String text = request.first + "\r\n" + String.join("\r\n", request.headers) + "\r\n\r\n" + request.body;
                written = true;
                socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
                Message answer = Message.read(new BufferedInputStream(socket.getInputStream()));
                if (answer != null && answer.first.contains(" 200 ")) {
                    return answer.body;
                }
                if (answer != null && "1".equals(answer.header("X-Not-Processed"))) {
                    continue;
                }
                if (answer != null) {
                    return "502 Failed";
                }
            } catch (SocketTimeoutException e) {
                return written || mayHaveRun ? "502 Time" : "503 Time";
            } catch (IOException | NumberFormatException e) {
                if (!written) {
                    continue;
                }
            }
            if (flaw == Flaw.REFUSES_WHAT_RAN) {
                return "503 It ran";
            }
            if (!safe && flaw != Flaw.RESENDS_AFTER_A_RESET) {
                return "502 It may have run";
            }
            mayHaveRun = true;
        }
        return mayHaveRun ? "502 Tried enough" : "503 Tried enough";
    }

    private Endpoint pick() {
        List<Endpoint> all = List.copyOf(nodes.values());
        if (all.isEmpty()) {
            return null;
        }
        Endpoint newest = all.stream().max(Comparator.comparingLong(e -> e.info().startedAtNanos())).orElseThrow();
        if (flaw == Flaw.FLOODS_THE_COLD && newest.info().startedAtNanos() > 0) {
            return newest;
        }
        List<Endpoint> calm = all.stream().filter(e -> e.info().startedAtNanos() == 0).toList();
        List<Endpoint> among = calm.isEmpty() ? all : calm;
        return among.get(ThreadLocalRandom.current().nextInt(among.size()));
    }

    private static void write(Socket socket, String status, String body) throws IOException {
        socket.getOutputStream().write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body).getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public boolean isAlive() {
        return !listener.isClosed() || open.get() > 0;
    }

    @Override
    public void terminate() {
        ending = true;
        closeAll(flaw == Flaw.LOSES_AT_THE_END);
    }

    private void tellWaiters() {
        synchronized (open) {
            open.notifyAll();
        }
    }

    private void closeAll(boolean clientsToo) {
        try {
            listener.close();
            if (clientsToo) {
                for (Socket socket : clients) {
                    socket.close();
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        tellWaiters();
    }

    @Override
    public void kill() {
        ending = true;
        closeAll(true);
    }

    @Override
    public void hangUp() {
        // Nothing to reload: it watches the same discovery all the time.
    }

    @Override
    public void pause(boolean on) {
        throw new IllegalStateException("a scripted gateway is not a process and can't be paused");
    }

    @Override
    public Duration cpu() {
        return Duration.ZERO;
    }

    @Override
    public boolean awaitEnd(Duration most) throws InterruptedException {
        long end = System.nanoTime() + most.toNanos();
        synchronized (open) {
            for (long left = most.toNanos(); isAlive() && left > 0; left = end - System.nanoTime()) {
                TimeUnit.NANOSECONDS.timedWait(open, left);
            }
        }
        return !isAlive();
    }

    @Override
    public String lastWords() {
        return "scripted";
    }
}
