package cinderhollow.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.testing.Await;
import cinderhollow.testing.Loopback;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Upgrades real gateway processes that inherit one listener from their parent. Java can't start a child with a socket as its
 * descriptor 0, so the parent is a short Perl script that holds the listener and starts the commands that it reads.
 */
class UpgradeTest {
    private static final String PARENT_SCRIPT = """
            use IO::Socket::INET; $| = 1;
            my $listener = IO::Socket::INET->new(Listen => 128, LocalAddr => '127.0.0.1', LocalPort => 0) or die;
            print $listener->sockport, "\\n";
            while (my $line = <STDIN>) {
                chomp $line;
                my ($log, $ops, @command) = split /\\t/, $line;
                my $pid = fork;
                if ($pid == 0) {
                    open(STDIN, '<&', $listener) or die; open(STDOUT, '>', $log) or die; open(STDERR, '>&STDOUT') or die;
                    $ENV{LB_OPS} = $ops; exec @command;
                }
                print "$pid\\n";
            }
            """;
    private static final String CONFIG = """
            {"seed":"1","limits":{"sockets":1024},"known":{"index":1,"snapshot":true,"endpoints":[{"name":"s","address":"HOST",
            "zone":"a","type":"t","group":0,"status":"up","weight":1.0,"since_ms":0}]},
            "settings":{"group_size":1,"my_number":0,"zone":"a","discovery":"subscribe",
            "resolution_ns":1000000,"grades":[{"name":"status","semantics":"safe","aim_ns":1000000000,
            "deadline_ns":3000000000}],"allowed":{"max_attempts":3,"dial_timeout_ns":2000000000,"conn_idle_ns":15000000000},
            "obligations":{"drain_grace_ns":1000000000}}}""";
    private static final int TIMEOUT_MILLIS = 60_000;
    private static final String LARGE_ANSWER_ID = "large";
    /** A client reads the large answer in 7 s; the process has 3.5 s to begin its last answers. */
    private static final int LARGE_ANSWER_BYTES = 20_000_000, READ_BYTES = 300_000, READ_INTERVAL_MILLIS = 100;

    @TempDir
    private Path folder;
    private Path sharedDirectory;
    private Process parent;
    private OutputStream toParent;
    private BufferedReader fromParent;
    private ServerSocket upstreamListener;
    private int port;
    private int startedCount;
    private final List<Long> pids = new ArrayList<>();

    private record StartedProcess(long pid, int opsPort, Path logFile) { }

    @BeforeEach
    void startParentAndServer() throws Exception {
        // The path must be short: a Unix socket's path can't have more than about a hundred characters.
        sharedDirectory = Files.createTempDirectory("up");
        upstreamListener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        startDaemonThread(this::serveUpstream);
        Path configFile = Files.writeString(folder.resolve("config.json"),
                CONFIG.replace("HOST", "127.0.0.1:" + upstreamListener.getLocalPort()));
        ProcessBuilder builder = new ProcessBuilder("perl", "-e", PARENT_SCRIPT).redirectError(ProcessBuilder.Redirect.INHERIT);
        builder.environment().putAll(Map.of("LB_LISTEN", "127.0.0.1:1", "LB_DISCOVERY", "127.0.0.1:1", "LB_CONFIG",
                configFile.toString(), "LB_INHERITED_FD", "0", "TMPDIR", sharedDirectory.toString()));
        parent = builder.start();
        toParent = parent.getOutputStream();
        fromParent = new BufferedReader(new InputStreamReader(parent.getInputStream(), StandardCharsets.UTF_8));
        port = Integer.parseInt(fromParent.readLine());
    }

    @AfterEach
    void stopAll() throws Exception {
        for (long pid : pids) {
            ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
        }
        parent.destroy();
        upstreamListener.close();
        // The directory also has the files that a killed process has left.
        try (var files = Files.walk(sharedDirectory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private static void startDaemonThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    /** Answers each request with its id as the body. */
    private void serveUpstream() {
        while (!upstreamListener.isClosed()) {
            try {
                Socket socket = upstreamListener.accept();
                startDaemonThread(() -> {
                    try (socket) {
                        InputStream in = socket.getInputStream();
                        for (String head = readHead(in); head != null; head = readHead(in)) {
                            String id = head.replaceFirst("(?is).*x-request-id: ([^\r]*)\r.*", "$1");
                            if (id.startsWith(LARGE_ANSWER_ID)) {
                                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_ANSWER_BYTES + "\r\n\r\n");
                                socket.getOutputStream().write(new byte[LARGE_ANSWER_BYTES]);
                                continue;
                            }
                            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id);
                        }
                    } catch (IOException e) {
                        // The gateway or the test has closed the connection.
                    }
                });
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads up to and including the empty line after a head; returns null at the end of the stream. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            head.append((char) c);
        }
        return head.toString();
    }

    private StartedProcess start(String... command) throws IOException {
        Path logFile = folder.resolve("log-" + startedCount++);
        int opsPort = Loopback.freePort();
        List<String> fields = new ArrayList<>(List.of(logFile.toString(), Loopback.processAddress().getHostAddress() + ":"
                + opsPort));
        fields.addAll(List.of(command));
        toParent.write((String.join("\t", fields) + "\n").getBytes(StandardCharsets.UTF_8));
        toParent.flush();
        long pid = Long.parseLong(fromParent.readLine());
        pids.add(pid);
        return new StartedProcess(pid, opsPort, logFile);
    }

    private StartedProcess startGateway() throws IOException {
        return start(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m",
                "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), "cinderhollow.cli.Main", "serve");
    }

    private static String sendOpsCommand(StartedProcess process, String command) throws IOException {
        try (Socket socket = new Socket(Loopback.processAddress(), process.opsPort)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            write(socket, command + "\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Returns the output of the process so far; empty while the parent has not yet opened the file. */
    private static String readLog(StartedProcess process) throws IOException {
        return Files.exists(process.logFile) ? Files.readString(process.logFile) : "";
    }

    private static void awaitServing(StartedProcess process) throws Exception {
        Await.until("gateway serves", () -> {
            assertTrue(ProcessHandle.of(process.pid).isPresent() && !hasExited(process), readLog(process));
            try {
                return sendOpsCommand(process, "status").startsWith("200");
            } catch (IOException e) {
                return false;
            }
        });
    }

    private static void signal(StartedProcess process, String name) throws Exception {
        assertEquals(0, new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid).start().waitFor());
    }

    private static void awaitExit(StartedProcess process) throws Exception {
        Await.until("process has exited", () -> hasExited(process));
    }

    /** Returns whether the process is a zombie: it has exited, and the parent never waits for its children. */
    private static boolean hasExited(StartedProcess process) throws IOException {
        return Files.readString(Path.of("/proc/" + process.pid + "/stat")).matches("(?s).*\\) Z .*");
    }

    /** A client that reuses its connection while the gateway allows it, and counts requests served, and those refused or lost. */
    private final class Client implements Runnable {
        private final int number;
        private final AtomicBoolean stop;
        private final AtomicInteger served;
        private final AtomicInteger lost;

        Client(int number, AtomicBoolean stop, AtomicInteger served, AtomicInteger lost) {
            this.number = number;
            this.stop = stop;
            this.served = served;
            this.lost = lost;
        }

        @Override
        public void run() {
            Socket connection = null;
            for (int i = 0; !stop.get(); i++) {
                try {
                    connection = connection == null ? new Socket("127.0.0.1", port) : connection;
                    String id = number + "-" + i;
                    write(connection, "GET /status HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\n\r\n");
                    String head = readHead(connection.getInputStream());
                    if (head == null || !head.startsWith("HTTP/1.1 200 ")
                            || !new String(connection.getInputStream().readNBytes(id.length()), StandardCharsets.UTF_8)
                            .equals(id)) {
                        lost.incrementAndGet();
                        connection.close();
                        connection = null;
                    } else {
                        served.incrementAndGet();
                        if (head.toLowerCase().contains("connection: close")) {
                            connection.close();
                            connection = null;
                        }
                    }
                } catch (IOException e) {
                    lost.incrementAndGet();
                    connection = null;
                }
            }
        }
    }

    /** Two upgrades in a row under load must refuse, reset or lose no request, and each old process must exit by itself. */
    @Test
    void clientsNoticeNothingOfUpgrades() throws Exception {
        StartedProcess first = startGateway();
        awaitServing(first);
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(new Thread(new Client(i, stop, served, lost)));
            clients.get(i).start();
        }
        StartedProcess current = first;
        for (int i = 0; i < 2; i++) {
            int servedBefore = served.get();
            StartedProcess next = startGateway();
            awaitServing(next);
            signal(current, "TERM");
            awaitExit(current);
            Await.until("answers of the successor", () -> served.get() > servedBefore + 50);
            assertTrue(readLog(next).contains("took over from the process before"), readLog(next));
            assertTrue(readLog(current).contains("a successor process serves"), readLog(current));
            current = next;
        }
        stop.set(true);
        for (Thread client : clients) {
            client.join(TIMEOUT_MILLIS);
        }
        assertEquals(0, lost.get(), "of " + served + " served");
    }

    /** The old process finishes a large answer, for longer than it has for its last answers, beside its successor. */
    @Test
    void anUpgradeLeavesALargeAnswerToTheOldProcess() throws Exception {
        StartedProcess first = startGateway();
        awaitServing(first);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicBoolean stop = new AtomicBoolean();
        try (Socket reader = new Socket()) {
            reader.setReceiveBufferSize(READ_BYTES);
            reader.connect(new InetSocketAddress("127.0.0.1", port));
            reader.setSoTimeout(TIMEOUT_MILLIS);
            write(reader, "GET /status HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + LARGE_ANSWER_ID + "\r\n\r\n");
            assertTrue(readHead(reader.getInputStream()).startsWith("HTTP/1.1 200 "));
            StartedProcess next = startGateway();
            awaitServing(next);
            signal(first, "TERM");
            Thread client = new Thread(new Client(1, stop, served, lost));
            client.start();
            int received = 0;
            for (int n = 1; n > 0 && received < LARGE_ANSWER_BYTES; received += n) {
                n = reader.getInputStream().readNBytes(Math.min(READ_BYTES, LARGE_ANSWER_BYTES - received)).length;
                TimeUnit.MILLISECONDS.sleep(READ_INTERVAL_MILLIS);
            }
            assertEquals(LARGE_ANSWER_BYTES, received);
            assertTrue(sendOpsCommand(next, "status").startsWith("200"));
            stop.set(true);
            client.join(TIMEOUT_MILLIS);
        }
        awaitExit(first);
        assertEquals(0, lost.get(), "of " + served + " served");
        assertTrue(served.get() > 0);
    }

    /** A successor is killed during the handover: the old process must keep serving, and a later successor must start. */
    @Test
    void killingASuccessorDuringTheHandoverLosesNoRequest() throws Exception {
        StartedProcess first = startGateway();
        awaitServing(first);
        StartedProcess killedSuccessor = startGateway();
        Await.until("operators' socket of the successor", () -> {
            try {
                return !sendOpsCommand(killedSuccessor, "status").isEmpty();
            } catch (IOException e) {
                return false;
            }
        });
        signal(killedSuccessor, "KILL");
        awaitExit(killedSuccessor);
        assertTrue(sendOpsCommand(first, "status").startsWith("200"));
        AtomicInteger served = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicBoolean stop = new AtomicBoolean();
        Thread client = new Thread(new Client(9, stop, served, lost));
        client.start();
        Await.until("answers of the old process", () -> served.get() > 20);
        stop.set(true);
        client.join(TIMEOUT_MILLIS);
        assertEquals(0, lost.get());
        StartedProcess next = startGateway();
        awaitServing(next);
    }

    @Test
    void aDescriptorThatIsNoListenerFailsTheStartWithOneLine() throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classPath = System.getProperty("java.class.path");
        for (String[] invalid : new String[][] {{"3", "</dev/null"}, {"0", "</dev/null"}, {"x", "</dev/null"}}) {
            StartedProcess process = start("/bin/sh", "-c", "LB_INHERITED_FD=" + invalid[0] + " exec '" + java + "' -cp '"
                    + classPath
                    + "' cinderhollow.cli.Main serve " + invalid[1]);
            awaitExit(process);
            String log = readLog(process);
            assertTrue(log.contains("LB_INHERITED_FD names descriptor"), log);
        }
    }
}
