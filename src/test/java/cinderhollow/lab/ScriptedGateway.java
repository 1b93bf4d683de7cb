package cinderhollow.lab;

import cinderhollow.core.Json;
import cinderhollow.membership.EndpointList;
import cinderhollow.membership.EndpointList.Endpoint;
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
final class ScriptedGateway implements GatewayLauncher.RunningGateway {
    /** The flaws that a scripted gateway may have. */
    enum Flaw { NONE, RESENDS_AFTER_A_RESET, ANSWERS_TWICE, SWAPS_ANSWERS, LOSES_REQUESTS_AT_SHUTDOWN, SENDS_TO_DRAINING,
        OVERLOADS_COLD_NODES, REFUSES_AFTER_EXECUTION }

    private static final int MAX_ATTEMPTS = 5, DUPLICATE_ANSWER_INTERVAL = 20;

    private final Flaw flaw;
    private final ServerSocket listener;
    private final InetSocketAddress discoveryAddress;
    private final Map<String, Endpoint> nodes = new ConcurrentHashMap<>();
    private final Set<Socket> clientSockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger openRequests = new AtomicInteger();
    private final AtomicInteger answersWritten = new AtomicInteger();
    private final Exchanger<String> bodyExchanger = new Exchanger<>();
    private volatile boolean discoveryResolved;
    private volatile boolean shuttingDown;

    /** An HTTP message as read from a socket. */
    private record Message(String startLine, List<String> headers, String body) {
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
            return new Message(head.startLine, head.headers, new String(body, StandardCharsets.UTF_8));
        }
    }

    private ScriptedGateway(Flaw flaw, GatewayLauncher.Spec spec) throws IOException {
        this.flaw = flaw;
        InetSocketAddress listen = EndpointList.parseAddress(spec.environment().get("LB_LISTEN"));
        discoveryAddress = EndpointList.parseAddress(spec.environment().get("LB_DISCOVERY"));
        listener = new ServerSocket(listen.getPort(), 200, listen.getAddress());
        applyList(EndpointList.read(Json.read(Files.readString(Path.of(spec.environment().get("LB_CONFIG"))))
                .required("known")));
        startDaemonThread(this::watchDiscovery);
        startDaemonThread(this::acceptClients);
    }

    static GatewayLauncher launcher(Flaw flaw) {
        return spec -> new ScriptedGateway(flaw, spec);
    }

    private static void startDaemonThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void applyList(EndpointList list) {
        for (Endpoint endpoint : list.endpoints()) {
            boolean keepDraining = flaw == Flaw.SENDS_TO_DRAINING && endpoint.info().readiness() == Readiness.DRAINING;
            if (endpoint.info().readiness() == Readiness.READY) {
                nodes.put(endpoint.info().id(), endpoint);
            } else if (!keepDraining) {
                nodes.remove(endpoint.info().id());
            }
        }
    }

    private void watchDiscovery() {
        while (!shuttingDown) {
            try (Socket socket = new Socket(discoveryAddress.getAddress(), discoveryAddress.getPort())) {
                socket.getOutputStream().write("GET /v1/endpoints?follow=1&since=1 HTTP/1.1\r\nHost: d\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                        StandardCharsets.UTF_8));
                // The lines of JSON are mixed with those of the response head and the chunk sizes.
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (line.startsWith("{")) {
                        applyList(EndpointList.read(Json.read(line)));
                        discoveryResolved = true;
                    }
                }
            } catch (IOException e) {
                discoveryResolved = true; // a failed call to discovery counts as done
            }
        }
    }

    private void acceptClients() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                clientSockets.add(socket);
                startDaemonThread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message request = Message.read(in); request != null; request = Message.read(in)) {
                openRequests.incrementAndGet();
                try {
                    answerRequest(socket, request);
                } finally {
                    openRequests.decrementAndGet();
                    notifyWaiters();
                }
                if (shuttingDown) {
                    return;
                }
            }
        } catch (IOException e) {
            // The client has closed the connection, or this gateway is shutting down.
        } finally {
            clientSockets.remove(socket);
        }
    }

    private void answerRequest(Socket socket, Message request) throws IOException {
        if (request.startLine.startsWith("GET /ready")) {
            writeResponse(socket, discoveryResolved ? "200 OK" : "503 Starting", "");
            return;
        }
        String body = forward(request);
        if (body == null) {
            return;
        }
        if (body.startsWith("made for")) {
            body = flaw == Flaw.SWAPS_ANSWERS ? swapBody(body) : body;
            writeResponse(socket, "200 OK", body);
            if (flaw == Flaw.ANSWERS_TWICE && answersWritten.incrementAndGet() % DUPLICATE_ANSWER_INTERVAL == 0) {
                writeResponse(socket, "200 OK", body);
            }
        } else {
            writeResponse(socket, body, "");
        }
    }

    private String swapBody(String body) {
        try {
            return bodyExchanger.exchange(body, 5, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return body;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return body;
        }
    }

    /** Returns the body of a node's answer, or the status of this gateway's own answer. */
    private String forward(Message request) {
        boolean safe = request.startLine.startsWith("GET ");
        long micros = Long.parseLong(request.header("X-Timeout").replace("u", ""));
        // Long before the client's deadline, since this gateway runs in the lab's process and stalls with it.
        long deadlineNanos = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(micros) / 2;
        boolean mayHaveRun = false;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int remainingMillis = (int) TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            Endpoint node = pickNode();
            if (node == null || remainingMillis <= 1) {
                return mayHaveRun ? "502 Nobody" : "503 Nobody";
            }
            boolean written = false;
            try (Socket socket = new Socket()) {
                socket.connect(node.address(), remainingMillis);
                socket.setSoTimeout(remainingMillis);
                String text = request.startLine + "\r\n" + String.join("\r\n", request.headers) + "\r\n\r\n" + request.body;
                written = true;
                socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
                Message answer = Message.read(new BufferedInputStream(socket.getInputStream()));
                if (answer != null && answer.startLine.contains(" 200 ")) {
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
            if (flaw == Flaw.REFUSES_AFTER_EXECUTION) {
                return "503 It ran";
            }
            if (!safe && flaw != Flaw.RESENDS_AFTER_A_RESET) {
                return "502 It may have run";
            }
            mayHaveRun = true;
        }
        return mayHaveRun ? "502 Tried enough" : "503 Tried enough";
    }

    private Endpoint pickNode() {
        List<Endpoint> all = List.copyOf(nodes.values());
        if (all.isEmpty()) {
            return null;
        }
        Endpoint newest = all.stream().max(Comparator.comparingLong(e -> e.info().startedAtNanos())).orElseThrow();
        if (flaw == Flaw.OVERLOADS_COLD_NODES && newest.info().startedAtNanos() > 0) {
            return newest;
        }
        List<Endpoint> longRunning = all.stream().filter(e -> e.info().startedAtNanos() == 0).toList();
        List<Endpoint> candidates = longRunning.isEmpty() ? all : longRunning;
        return candidates.get(ThreadLocalRandom.current().nextInt(candidates.size()));
    }

    private static void writeResponse(Socket socket, String status, String body) throws IOException {
        socket.getOutputStream().write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body).getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public boolean isAlive() {
        return !listener.isClosed() || openRequests.get() > 0;
    }

    @Override
    public void terminate() {
        shuttingDown = true;
        closeSockets(flaw == Flaw.LOSES_REQUESTS_AT_SHUTDOWN);
    }

    private void notifyWaiters() {
        synchronized (openRequests) {
            openRequests.notifyAll();
        }
    }

    private void closeSockets(boolean closeClients) {
        try {
            listener.close();
            if (closeClients) {
                for (Socket socket : clientSockets) {
                    socket.close();
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        notifyWaiters();
    }

    @Override
    public void kill() {
        shuttingDown = true;
        closeSockets(true);
    }

    @Override
    public void reload() {
        // Nothing to reload: it watches the same discovery all the time.
    }

    @Override
    public void setPaused(boolean paused) {
        throw new IllegalStateException("a scripted gateway is not a process and can't be paused");
    }

    @Override
    public Duration cpuTime() {
        return Duration.ZERO;
    }

    @Override
    public boolean awaitExit(Duration timeout) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        synchronized (openRequests) {
            for (long remainingNanos = timeout.toNanos(); isAlive() && remainingNanos > 0; remainingNanos =
                    deadlineNanos - System.nanoTime()) {
                TimeUnit.NANOSECONDS.timedWait(openRequests, remainingNanos);
            }
        }
        return !isAlive();
    }

    @Override
    public String logTail() {
        return "scripted";
    }
}
