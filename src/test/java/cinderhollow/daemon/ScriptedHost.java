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
final class ScriptedHost implements AutoCloseable {
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
            String first = line(in);
            if (first == null) {
                return null;
            }
            List<String> headers = new CopyOnWriteArrayList<>();
            for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
                headers.add(header);
            }
            Message head = new Message(first, headers, "");
            String length = head.header("Content-Length");
            int due = length == null ? 0 : Integer.parseInt(length);
            byte[] body = "chunked".equals(head.header("Transfer-Encoding")) ? chunks(in)
                    : in.readNBytes(due);
            if (body.length < due) {
                throw new EOFException(body.length + " bytes received of a body of " + due);
            }
            return new Message(first, headers, new String(body, StandardCharsets.UTF_8));
        }

        /** Reads a chunked body; throws an exception if the stream ends before the last chunk. */
        private static byte[] chunks(InputStream in) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (String size = line(in); size != null; size = line(in)) {
                int length = Integer.parseInt(size.replaceFirst(";.*", ""), 16);
                body.write(in.readNBytes(length));
                String end = line(in);
                if (length == 0) {
                    while (end != null && !end.isEmpty()) {
                        end = line(in);
                    }
                    return body.toByteArray();
                }
            }
            throw new EOFException("chunked body ended without its last chunk after " + body.size() + " bytes");
        }

        private static String line(InputStream in) throws IOException {
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
    private static final int FULL_MILLIS = 300;

    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<Socket> fillers = new ArrayList<>();
    private final List<Integer> own = new ArrayList<>();
    private volatile Script script;
    final List<Message> requests = new CopyOnWriteArrayList<>();
    final List<Socket> connections = new CopyOnWriteArrayList<>();

    ScriptedHost(Script script) throws IOException {
        this(50, script);
        daemon(this::accept);
    }

    private ScriptedHost(int backlog, Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    }

    /**
     * Creates a server to which no connection is established before {@link #comesUp}. Its backlog is full of connections of this
     * test, so the system leaves all others pending and establishes them when they retry, after 1, 3 or 7 s.
     */
    static ScriptedHost late(Script script) throws IOException {
        ScriptedHost host = new ScriptedHost(1, script);
        for (boolean full = false; !full;) {
            Socket filler = new Socket();
            host.fillers.add(filler);
            try {
                filler.connect(host.address(), FULL_MILLIS);
                host.own.add(filler.getLocalPort());
            } catch (SocketTimeoutException e) {
                filler.close();
                full = true;
            }
        }
        return host;
    }

    /** Returns the number of established connections without those that fill the backlog. */
    long dialled() {
        return connections.stream().filter(c -> !own.contains(c.getPort())).count();
    }

    /** Starts to accept connections, so that pending ones are established. */
    void comesUp() throws IOException {
        for (Socket filler : fillers) {
            filler.close();
        }
        daemon(this::accept);
    }

    void script(Script next) {
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
    static void await(CountDownLatch word) throws IOException {
        try {
            if (!word.await(GatewayFixture.PATIENCE_MILLIS, TimeUnit.MILLISECONDS)) {
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
                sockets.add(socket);
                connections.add(socket);
                daemon(() -> serve(socket));
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
            sockets.remove(socket);
        }
    }

    private static void daemon(Runnable work) {
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
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
