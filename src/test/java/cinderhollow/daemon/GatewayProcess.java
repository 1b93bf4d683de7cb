package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import cinderhollow.membership.EndpointList;
import cinderhollow.testing.Await;
import cinderhollow.testing.Loopback;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A gateway in its own process, started as by {@code serve}, which a test can pause and resume with signals. */
final class GatewayProcess implements AutoCloseable {
    /** The state of a stopped thread in /proc/PID/task/TID/stat. */
    private static final char STOPPED_STATE = 'T';

    private final Process process;
    private final int port;
    private final Path log;
    /** Clients connect on several threads. */
    private final List<Socket> clients = new CopyOnWriteArrayList<>();

    private GatewayProcess(Process process, int port, Path log) {
        this.process = process;
        this.port = port;
        this.log = log;
    }

    /** Starts a gateway whose list has these servers, and waits until it is ready. */
    static GatewayProcess start(Path folder, ScriptedServer... servers) throws Exception {
        return start(folder, Map.of(), servers);
    }

    /** Starts the same gateway with additional environment variables. */
    static GatewayProcess start(Path folder, Map<String, String> environment, ScriptedServer... servers) throws Exception {
        return start(folder, environment, Stream.of(servers).map(ScriptedServer::addressText).toArray(String[]::new));
    }

    /** Starts the same gateway with changed settings. */
    static GatewayProcess start(Path folder, UnaryOperator<String> settings, ScriptedServer... servers) throws Exception {
        return start(folder, Map.of(), settings, Stream.of(servers).map(ScriptedServer::addressText).toArray(String[]::new));
    }

    /** Starts the same gateway with servers at these addresses. */
    static GatewayProcess start(Path folder, Map<String, String> environment, String... addresses) throws Exception {
        return start(folder, environment, UnaryOperator.identity(), addresses);
    }

    private static GatewayProcess start(Path folder, Map<String, String> environment, UnaryOperator<String> changedSettings,
            String... addresses) throws Exception {
        return start(folder, List.of("cinderhollow.cli.Main", "serve"), environment, changedSettings, addresses);
    }

    /** Starts the same gateway with this main class in place of the program's. */
    static GatewayProcess start(Path folder, Class<?> mainClass, Map<String, String> environment, ScriptedServer... servers)
            throws Exception {
        return start(folder, List.of(mainClass.getName()), environment, UnaryOperator.identity(),
                Stream.of(servers).map(ScriptedServer::addressText).toArray(String[]::new));
    }

    private static GatewayProcess start(Path folder, List<String> program, Map<String, String> environment,
            UnaryOperator<String> changedSettings, String... addresses) throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < addresses.length; i++) {
            entries.add(GatewayFixture.endpointJson("s-" + i, addresses[i], "up", 0));
        }
        String settings = changedSettings.apply(GatewayFixture.SETTINGS).replace("IDLE", "60000000000")
                .replace("\"dial_timeout_ns\":2000000000", "\"dial_timeout_ns\":20000000000");
        Path config = Files.writeString(folder.resolve("config.json"), "{\"seed\":\"2a\",\"limits\":{\"sockets\":1024},\"discovery\":\"127.0.0.1:1\",\"known\":"
                + GatewayFixture.endpointListJson(1, true, entries) + ",\"settings\":" + settings + "}");
        int port = environment.containsKey("LB_LISTEN") ? EndpointList.parseAddress(environment.get("LB_LISTEN")).getPort()
                : Loopback.freePort();
        Path log = Files.createTempFile(folder, "gateway", ".log");
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path")));
        command.addAll(program);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        // No connection to discovery succeeds, so the gateway keeps the list of its configuration.
        builder.environment().putAll(Map.of("LB_LISTEN", Loopback.processAddress().getHostAddress() + ":" + port,
                "LB_DISCOVERY", "127.0.0.1:1", "LB_CONFIG", config.toString()));
        builder.environment().putAll(environment);
        GatewayProcess gateway = new GatewayProcess(builder.start(), port, log);
        boolean ready = false;
        try {
            Await.until("ready", () -> {
                assertTrue(gateway.process.isAlive(), gateway.log());
                return gateway.isReady();
            });
            ready = true;
            return gateway;
        } finally {
            if (!ready) {
                // A process that hangs during its start would otherwise outlive the tests.
                System.err.println(gateway.log());
                gateway.close();
            }
        }
    }

    private boolean isReady() {
        try {
            Message answer = connectClient().exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
            return answer != null && answer.firstLine().contains(" 200 ");
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns what the process has written to its log so far. */
    String log() throws IOException {
        return Files.readString(log);
    }

    /** Opens a new connection to the gateway. */
    Client connectClient() throws IOException {
        return connectClient(new Socket());
    }

    /** Opens a new connection whose client can hold only so much that it has not read. */
    Client connectClient(int receiveBufferBytes) throws IOException {
        Socket socket = new Socket();
        // Before the connect, so that the receive window is small from the first byte on.
        socket.setReceiveBufferSize(receiveBufferBytes);
        return connectClient(socket);
    }

    private Client connectClient(Socket socket) throws IOException {
        socket.connect(new InetSocketAddress(Loopback.processAddress(), port));
        socket.setSoTimeout(GatewayFixture.LONG_TIMEOUT_MILLIS);
        clients.add(socket);
        return new Client(socket);
    }

    /** Stops all threads of the process until {@link #resume}; its sockets still receive bytes. */
    void pause() throws Exception {
        signal("STOP");
        // The signal has been sent, but each thread stops only when it is next scheduled.
        Await.until("all threads stopped", this::isStopped);
    }

    private boolean isStopped() throws IOException {
        try (Stream<Path> threads = Files.list(Path.of("/proc", String.valueOf(process.pid()), "task"))) {
            for (Path thread : threads.toList()) {
                String stat = Files.readString(thread.resolve("stat"));
                if (stat.charAt(stat.lastIndexOf(')') + 2) != STOPPED_STATE) {
                    return false;
                }
            }
        }
        return true;
    }

    void resume() throws Exception {
        signal("CONT");
    }

    void signal(String name) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor());
    }

    /** Lets the process run on one core only, as on the deployment's machines. */
    void limitToOneCore() throws Exception {
        String lastCore = String.valueOf(Runtime.getRuntime().availableProcessors() - 1);
        assertEquals(0, new ProcessBuilder("taskset", "--all-tasks", "--cpu-list", "--pid", lastCore, String.valueOf(process.pid()))
                .start().waitFor());
    }

    /** Returns the size of all objects that are in use in the process's heap, in bytes. */
    long liveHeapBytes() throws Exception {
        return histogramNumber("^Total +\\d+ +(\\d+)");
    }

    /** Returns the number of objects of this class that are in use in the process's heap. */
    long liveObjects(String className) throws Exception {
        return histogramNumber("^ +\\d+: +(\\d+) +\\d+ +" + Pattern.quote(className));
    }

    /** Returns the number that a line of the runtime's class histogram tells, which begins with this pattern; 0 if there is none. */
    private long histogramNumber(String line) throws Exception {
        Process histogram = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                String.valueOf(process.pid()), "GC.class_histogram").redirectErrorStream(true).start();
        String text = new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(text.contains("Total"), text);
        Matcher number = Pattern.compile(line, Pattern.MULTILINE).matcher(text);
        return number.find() ? Long.parseLong(number.group(1)) : 0;
    }

    /** Returns whether the process ends within this time. */
    boolean waitForExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Returns the address that its clients connect to. */
    String addressText() throws IOException {
        return Loopback.processAddress().getHostAddress() + ":" + port;
    }

    /** Returns the same address for sockets that the test opens by itself. */
    InetSocketAddress address() throws IOException {
        return new InetSocketAddress(Loopback.processAddress(), port);
    }

    /** Returns the exit code of a process that has ended. */
    int exitCode() {
        return process.exitValue();
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : clients) {
            socket.close();
        }
        process.destroyForcibly();
    }
}
