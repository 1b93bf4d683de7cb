import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for a gateway's platform: discovery, servers and clients on loopback addresses, the gateway itself as a process started
 * by the command of the deploy file, and the record. A case is a class with a main method that extends this one.
 *
 * <p>Arguments of a case: the root of the project, the folder of the case, a temporary folder.
 */
abstract class Rig {
    static final String HOST = "127.0.0.1";
    /** The exit codes, which run.sh translates: the Java runtime ends with 1 on errors of its own. */
    static final int HELD = 0, BROKEN = 10, CANNOT_RUN = 20;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path temporary;
    final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();
    private final AtomicLong ids = new AtomicLong(System.nanoTime());
    Discovery discovery;

    Rig(String[] arguments) throws IOException {
        root = Path.of(arguments[0]);
        temporary = Path.of(arguments[2]);
        record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[1], "record.txt")), true);
        note("trouble " + (trouble ? "on" : "off"));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    }

    /** Plays the case and ends with {@link #finish}. */
    abstract void run() throws Exception;

    /** Plays the case; a failure of the case's own means that it could not run. */
    final void start() {
        try {
            run();
        } catch (Exception e) {
            finish(CANNOT_RUN, e.toString());
        }
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    }

    synchronized void note(String line) {
        record.printf(Locale.ROOT, "%7d ms  %s%n", millis(), line);
    }

    /** Ends the case: prints and records the verdict, ends the processes, and exits. */
    void finish(int code, String verdict) {
        String word = code == HELD ? "HELD" : code == BROKEN ? "BROKEN" : "CANNOT RUN";
        note(word + ": " + verdict);
        System.out.println(word + ": " + verdict);
        for (Process process : processes) {
            try {
                process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        Runtime.getRuntime().halt(code);
    }

    String newId() {
        return "r" + Long.toHexString(ids.incrementAndGet());
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread background(Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception e) {
                // A connection that ends: whoever cares about it sees that in its own answer.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Body {
        void run() throws Exception;
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return probe.getLocalPort();
        }
    }

    // ------------------------------------------------------------------ the gateway

    /** A gateway process. */
    final class GatewayProcess {
        final Process process;
        final int port;
        final Path log;
        final Path config;

        GatewayProcess(Process process, int port, Path log, Path config) {
            this.process = process;
            this.port = port;
            this.log = log;
            this.config = config;
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        }

        Client connect() throws IOException {
            return connect(0);
        }

        /** Connects with a receive buffer of this size, or with the system's own if it is 0. */
        Client connect(int receiveBufferBytes) throws IOException {
            return new Client(new InetSocketAddress(HOST, port), receiveBufferBytes);
        }
    }

    /** Starts a gateway with the command {@code run} of the deploy file and waits until it is ready. */
    GatewayProcess startGateway(String name, String settings, int sockets) throws Exception {
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        int port = freePort();
        Path folder = Files.createDirectories(temporary.resolve(name));
        Path config = folder.resolve("config.json");
        Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"" + HOST + ":" + port + "\",\"discovery\":\""
                + discovery.address() + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                + sockets + "},\"known\":" + discovery.list() + ",\"settings\":" + settings + "}");
        Path log = folder.resolve("gateway.log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile()).redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().putAll(Map.of("LB_NAME", name, "LB_LISTEN", HOST + ":" + port, "LB_DISCOVERY",
                discovery.address(), "LB_CONFIG", config.toString(), "TMPDIR",
                Files.createDirectories(folder.resolve("tmp")).toString()));
        Process process = builder.start();
        processes.add(process);
        GatewayProcess gateway = new GatewayProcess(process, port, log, config);
        for (int i = 0; i < 300; i++) {
            if (!process.isAlive()) {
                finish(CANNOT_RUN, "the gateway ended at its start: " + Files.readString(log));
            }
            try (Client probe = gateway.connect()) {
                probe.write("GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n");
                if (probe.readAnswer(1_000).status == 200) {
                    note(name + " is ready");
                    return gateway;
                }
            } catch (IOException e) {
                // Not yet.
            }
            sleep(100);
        }
        finish(CANNOT_RUN, "the gateway was not ready within 30 s");
        return null;
    }

    /** A class of requests in the settings. */
    static String requestClass(String name, String effect, int aimMillis, int deadlineMillis, double worth, double lateWorth) {
        return "{\"name\":\"" + name + "\",\"semantics\":\"" + effect + "\",\"dedup_scope\":\"all\",\"window_ns\":5000000000,"
                + "\"aim_ns\":" + aimMillis + "000000,\"deadline_ns\":" + deadlineMillis + "000000,\"value\":" + worth
                + ",\"late_worth\":" + lateWorth + ",\"stream\":false}";
    }

    /** The settings of the pages' first deployment, with these classes and this number of gateways. */
    static String settings(int gateways, String... classes) {
        return "{\"accounts\":[{\"name\":\"anadolu-gaz\",\"quota_per_s\":700.0,\"share\":1.0}],"
                + "\"allowed\":{\"conn_idle_ns\":15000000000,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":8000,"
                + "\"dial_timeout_ns\":50000000,\"max_attempts\":5,\"max_open\":20000,\"max_retry_after_ns\":400000000,"
                + "\"may_cancel\":true,\"may_duplicate\":true,\"peers\":false,\"probing\":false,\"retry_after\":true,"
                + "\"streams_per_conn\":1},\"callers\":{\"marks_retry\":false},\"discovery\":\"subscribe\","
                + "\"failure_domains\":[\"ostim\"],\"family\":\"proxy\",\"grades\":[" + String.join(",", classes) + "],"
                + "\"group_size\":" + gateways + ",\"my_number\":0,\"obligations\":{\"answer_slack_ns\":5000000,"
                + "\"ask_within_ns\":10000000000,\"cold_from\":0.31,\"drain_grace_ns\":1000000000,\"overload_factor\":2.5,"
                + "\"overload_for_ns\":1500000000,\"warm_up_ns\":8400000000},\"over_share_worth\":0.2,"
                + "\"report\":{\"columns\":[],\"via\":\"none\"},\"resolution_ns\":1000000,\"skus\":[\"std\"],\"stage\":0,"
                + "\"tiers\":[\"nom-app\"],\"weights\":\"none\",\"worth_by\":\"request\",\"zone\":\"ostim\"}";
    }

    /** The two classes of the pages' first deployment. */
    static String ankara(int gateways) {
        return settings(gateways, requestClass("status", "safe", 150, 750, 1, 0), requestClass("submit", "unsafe", 100, 300, 5, 0));
    }

    /** The settings of the pages' second deployment, in one of its data centres. */
    static String amman(int gateways) {
        return settings(gateways, requestClass("ledger-view", "safe", 300, 800, 5, 0.35),
                requestClass("filing-submit", "unsafe", 300, 1_500, 3, 0.35))
                .replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\"")
                .replace("\"max_attempts\":5", "\"max_attempts\":4")
                .replace("\"drain_grace_ns\":1000000000", "\"drain_grace_ns\":2000000000")
                .replace("\"overload_factor\":2.5", "\"overload_factor\":3.0")
                .replace("\"overload_for_ns\":1500000000", "\"overload_for_ns\":2000000000")
                .replace("\"warm_up_ns\":8400000000", "\"warm_up_ns\":7900000000")
                .replace("anadolu-gaz", "amman-branch");
    }

    // ------------------------------------------------------------------ discovery

    /** Discovery: the list, and a watch on its changes with an empty line every 2 s. */
    final class Discovery {
        private final ServerSocket listener;
        private final Map<String, String> entries = new TreeMap<>();
        private final List<OutputStream> watches = new ArrayList<>();
        private long index = 40;

        Discovery() throws IOException {
            listener = new ServerSocket(0, 128, InetAddress.getByName(HOST));
            background(() -> {
                while (true) {
                    Socket call = listener.accept();
                    background(() -> serve(call));
                }
            });
            background(() -> {
                while (true) {
                    sleep(2_000);
                    send("\n");
                }
            });
        }

        String address() {
            return HOST + ":" + listener.getLocalPort();
        }

        synchronized String list() {
            return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", entries.values()) + "]}";
        }

        synchronized void set(String name, String address, String status) {
            String entry = "{\"name\":\"" + name + "\",\"address\":\"" + address
                    + "\",\"zone\":\"ostim\",\"type\":\"std\",\"group\":0,\"status\":\"" + status
                    + "\",\"weight\":1.0,\"since_ms\":0}";
            entries.put(name, entry);
            index++;
            note("discovery tells: " + name + " " + status);
            send("{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + entry + "]}\n");
        }

        private synchronized void send(String line) {
            watches.removeIf(watch -> {
                try {
                    writeChunk(watch, line);
                    return false;
                } catch (IOException e) {
                    return true;
                }
            });
        }

        private void writeChunk(OutputStream out, String line) throws IOException {
            out.write((Integer.toHexString(line.length()) + "\r\n" + line + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        private void serve(Socket call) throws IOException {
            InputStream in = new BufferedInputStream(call.getInputStream());
            OutputStream out = call.getOutputStream();
            while (true) {
                Message request = Message.read(in, true);
                synchronized (this) {
                    if (request.startLine.contains("follow=1")) {
                        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                        writeChunk(out, list() + "\n");
                        watches.add(out);
                    } else {
                        String body = list();
                        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.US_ASCII));
                    }
                }
            }
        }
    }

    // ------------------------------------------------------------------ HTTP

    /** A message of HTTP/1.1 with its whole body. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        static Message read(InputStream in, boolean request) throws IOException {
            Message message = new Message();
            message.startLine = readLine(in);
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
            }
            String length = message.headers.get("Content-Length");
            if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                for (int size = Integer.parseInt(readLine(in), 16); size > 0; size = Integer.parseInt(readLine(in), 16)) {
                    all.write(readFully(in, size));
                    readLine(in);
                }
                readLine(in);
                message.body = all.toByteArray();
            } else if (length != null) {
                message.body = readFully(in, Integer.parseInt(length));
            }
            return message;
        }

        private static byte[] readFully(InputStream in, int length) throws IOException {
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException("the connection ended within a body");
            }
            return bytes;
        }

        private static String readLine(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    throw new EOFException("the connection ended");
                }
                if (c != '\r') {
                    line.append((char) c);
                }
            }
            return line.toString();
        }

        String id() {
            return headers.getOrDefault("X-Request-ID", "");
        }
    }

    // ------------------------------------------------------------------ servers

    /** How a server treats one request that it has whole. */
    interface Handling {
        void handle(Server server, Socket connection, Message request) throws Exception;
    }

    /** A server: begins a request when its last byte has come; one request at a time on a connection. */
    final class Server {
        final String name;
        final ServerSocket listener;
        volatile Handling handling;
        /** Whether it hangs: its connections stay open, and it reads, works and writes nothing. */
        volatile boolean hung;
        /** When each request began, by id and attempt. */
        final Map<String, List<Long>> runs = new ConcurrentHashMap<>();

        Server(String name, Handling handling) throws IOException {
            this(name, handling, 0);
        }

        /** Creates a server whose connections have a receive buffer of this size, or the system's own if it is 0. */
        Server(String name, Handling handling, int receiveBufferBytes) throws IOException {
            this.name = name;
            this.handling = handling;
            listener = new ServerSocket();
            if (receiveBufferBytes > 0) {
                listener.setReceiveBufferSize(receiveBufferBytes);
            }
            listener.bind(new InetSocketAddress(HOST, 0), 256);
            background(() -> {
                while (true) {
                    Socket connection = listener.accept();
                    connection.setTcpNoDelay(true);
                    background(() -> serve(connection));
                }
            });
        }

        String address() {
            return HOST + ":" + listener.getLocalPort();
        }

        void waitWhileHung() {
            while (hung) {
                sleep(10);
            }
        }

        private void serve(Socket connection) throws Exception {
            try (connection) {
                InputStream in = new BufferedInputStream(new FilterInputStream(connection.getInputStream()) {
                    @Override
                    public int read(byte[] into, int offset, int length) throws IOException {
                        waitWhileHung();
                        return super.read(into, offset, length);
                    }
                });
                while (true) {
                    Message request = Message.read(in, true);
                    runs.computeIfAbsent(request.id(), id -> new CopyOnWriteArrayList<>())
                            .add(System.nanoTime());
                    handling.handle(this, connection, request);
                    waitWhileHung();
                }
            }
        }
    }

    /** The body with which every server answers a request: it names the request, so that a foreign answer shows. */
    static String answerBody(String id) {
        return "answer to " + id + "\n";
    }

    static void answer(Socket connection, String id) throws IOException {
        String body = answerBody(id);
        connection.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
    }

    /** A sound server that takes this long for a request. */
    static Handling sound(long workMillis) {
        return (server, connection, request) -> {
            sleep(workMillis);
            server.waitWhileHung();
            answer(connection, request.id());
        };
    }

    // ------------------------------------------------------------------ clients

    static final class Answer {
        int status;
        Map<String, String> headers = Map.of();
        byte[] body = new byte[0];
        /** When its last byte came. */
        long at;

        String text() {
            return new String(body, StandardCharsets.US_ASCII);
        }

        /** Whether the connection carries no further request. */
        boolean endsConnection() {
            return "close".equalsIgnoreCase(headers.get("Connection"));
        }
    }

    /** One connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;

        Client(InetSocketAddress address, int receiveBufferBytes) throws IOException {
            if (receiveBufferBytes > 0) {
                socket.setReceiveBufferSize(receiveBufferBytes);
            }
            socket.connect(address, 2_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.US_ASCII));
        }

        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** Reads an answer; fails with an exception if the connection ends or nothing comes for so long. */
        Answer readAnswer(int millis) throws IOException {
            socket.setSoTimeout(millis);
            Message message = Message.read(in, false);
            Answer answer = new Answer();
            answer.status = Integer.parseInt(message.startLine.split(" ")[1]);
            answer.headers = message.headers;
            answer.body = message.body;
            answer.at = System.nanoTime();
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String get(String requestClass, String id, int timeoutMillis) {
        return "GET /" + requestClass + "/7 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: " + id
                + "\r\nX-Tenant-Id: anadolu-gaz\r\nX-Timeout: " + timeoutMillis + "m\r\n\r\n";
    }

    static String postHead(String requestClass, String id, int timeoutMillis, int length) {
        return "POST /" + requestClass + "/7 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: " + id
                + "\r\nX-Tenant-Id: anadolu-gaz\r\nX-Timeout: " + timeoutMillis + "m\r\nContent-Length: " + length + "\r\n\r\n";
    }
}
