package cinderhollow.daemon;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A server on a free loopback port that handles each request with a script. */
final class ScriptedServer implements AutoCloseable {
    /** Handles a request that was received completely. */
    interface Script {
        void answer(Socket socket, Message request) throws IOException;
    }

    /** A message as it was read from the socket. */
    record Message(String firstLine, List<String> headers, String body) {
        String header(String name) {
            return headers.stream().filter(h -> h.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                    .map(h -> h.substring(name.length() + 1).trim()).findFirst().orElse(null);
        }

        /** Reads a message; returns null at the end of the stream. */
        static Message read(InputStream in) throws IOException {
            String startLine = readLine(in);
            if (startLine == null) {
                return null;
            }
            List<String> headers = new CopyOnWriteArrayList<>();
            for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
                headers.add(header);
            }
            Message head = new Message(startLine, headers, "");
            String length = head.header("Content-Length");
            int contentLength = length == null ? 0 : Integer.parseInt(length);
            byte[] body = "chunked".equals(head.header("Transfer-Encoding")) ? readChunkedBody(in)
                    : in.readNBytes(contentLength);
            if (body.length < contentLength) {
                throw new EOFException(body.length + " bytes received of a body of " + contentLength);
            }
            return new Message(startLine, headers, new String(body, StandardCharsets.UTF_8));
        }

        /** Reads a chunked body; throws an exception if the stream ends before the last chunk. */
        private static byte[] readChunkedBody(InputStream in) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (String size = readLine(in); size != null; size = readLine(in)) {
                int length = Integer.parseInt(size.replaceFirst(";.*", ""), 16);
                body.write(in.readNBytes(length));
                String trailerLine = readLine(in);
                if (length == 0) {
                    while (trailerLine != null && !trailerLine.isEmpty()) {
                        trailerLine = readLine(in);
                    }
                    return body.toByteArray();
                }
            }
            throw new EOFException("chunked body ended without its last chunk after " + body.size() + " bytes");
        }

        private static String readLine(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            int c = in.read();
            if (c < 0) {
                return null;
            }
            for (; c >= 0 && c != '\n'; c = in.read()) {
                line.append((char) c);
            }
            return line.toString().stripTrailing();
        }
    }

    /** A connect within one machine that takes longer than this is not going to succeed. */
    private static final int BACKLOG_FULL_TIMEOUT_MILLIS = 300;

    private final ServerSocket listener;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private final List<Socket> backlogFillers = new ArrayList<>();
    private final List<Integer> fillerPorts = new ArrayList<>();
    private volatile Script script;
    final List<Message> requests = new CopyOnWriteArrayList<>();
    final List<Socket> connections = new CopyOnWriteArrayList<>();

    ScriptedServer(Script script) throws IOException {
        this(50, script);
        startDaemonThread(this::accept);
    }

    private ScriptedServer(int backlog, Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    }

    /**
     * Creates a server to which no connection is established before {@link #startAccepting}. Its backlog is full of connections of this
     * test, so the system leaves all others pending and establishes them when they retry, after 1, 3 or 7 s.
     */
    static ScriptedServer withFullBacklog(Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(1, script);
        for (boolean backlogFull = false; !backlogFull;) {
            Socket filler = new Socket();
            server.backlogFillers.add(filler);
            try {
                filler.connect(server.address(), BACKLOG_FULL_TIMEOUT_MILLIS);
                server.fillerPorts.add(filler.getLocalPort());
            } catch (SocketTimeoutException e) {
                filler.close();
                backlogFull = true;
            }
        }
        return server;
    }

    /** Returns the number of established connections without those that fill the backlog. */
    long countGatewayConnections() {
        return connections.stream().filter(c -> !fillerPorts.contains(c.getPort())).count();
    }

    /** Starts to accept connections, so that pending ones are established. */
    void startAccepting() throws IOException {
        for (Socket filler : backlogFillers) {
            filler.close();
        }
        startDaemonThread(this::accept);
    }

    void setScript(Script next) {
        script = next;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    String addressText() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns a script that answers with this status, these header lines and this body. */
    static Script reply(String status, String body, String... headers) {
        return (socket, request) -> write(socket, "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length()
                + "\r\n" + String.join("", List.of(headers).stream().map(h -> h + "\r\n").toList())
                + "\r\n" + body);
    }

    static void write(Socket socket, String text) throws IOException {
        // One call only: once these bytes have arrived, the gateway may close, and the socket may not return its stream any more.
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Waits until the test counts the latch down. */
    static void await(CountDownLatch latch) throws IOException {
        try {
            if (!latch.await(GatewayFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new IOException("the test did not count the latch down in time");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Closes the connection with a reset. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                openSockets.add(socket);
                connections.add(socket);
                startDaemonThread(() -> serve(socket));
            } catch (IOException e) {
                return; // closed by the test
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message m = Message.read(in); m != null; m = Message.read(in)) {
                requests.add(m);
                script.answer(socket, m);
            }
        } catch (IOException e) {
            // The gateway or the test has closed the connection.
        } finally {
            openSockets.remove(socket);
        }
    }

    private static void startDaemonThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        stop();
    }

    /** Stops as if the process died: its connections break, and new ones are refused. */
    void stop() {
        try {
            listener.close();
            for (Socket socket : openSockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
