package cinderhollow.daemon;

import cinderhollow.ledger.Totals;
import cinderhollow.membership.EndpointList;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Asks the admin listeners of running gateways. */
public final class AdminClient {
    private static final String UNIX = "unix:";
    private static final long PATIENCE_MILLIS = 10_000;
    /** Figures of 10,000 accounts take some tens of MB; nothing else is this long. */
    private static final int LARGEST_ANSWER = 1 << 27;

    private AdminClient() { }

    /** An address as the operator's file has it. */
    static SocketAddress address(String text) {
        return text.startsWith(UNIX) ? UnixDomainSocketAddress.of(text.substring(UNIX.length()))
                : EndpointList.address(text);
    }

    /** What the ledgers of these have together. */
    public static Totals totals(List<String> addresses) throws IOException {
        Totals totals = new Totals();
        for (String address : addresses) {
            totals.add(metrics(address));
        }
        return totals;
    }

    /** Tells these that their breaches have been seen. */
    public static void acknowledge(List<String> addresses) throws IOException {
        for (String address : addresses) {
            ask(address, "POST", "/ledger/acknowledge");
        }
    }

    /** A gateway's figures as OpenMetrics text. */
    public static String metrics(String address) throws IOException {
        return ask(address, "GET", "/metrics");
    }

    /** How a gateway's fleet stands to its zones. */
    public static String zones(String address) throws IOException {
        return ask(address, "GET", "/zones");
    }

    /** An order to the whole fleet, by way of this gateway. */
    public static void order(String address, String what, String zone, long forMillis) throws IOException {
        ask(address, "POST", "/zones/" + what + "/" + zone + "/" + forMillis);
    }

    /** The body of a 200 answer. */
    static String ask(String address, String method, String path) throws IOException {
        SocketAddress to = address(address);
        String answer;
        try (SocketChannel channel = to instanceof UnixDomainSocketAddress ? SocketChannel.open(StandardProtocolFamily.UNIX)
                : SocketChannel.open()) {
            // Closing the channel ends the wait of the thread that reads.
            answer = CompletableFuture.supplyAsync(() -> exchange(channel, to, method, path))
                    .get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            String why = e instanceof TimeoutException ? "no answer in time" : e.getCause().getMessage();
            throw new IOException("can't ask " + address + ": " + why, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while asking " + address, e);
        }
        int body = answer.indexOf("\r\n\r\n");
        if (!answer.startsWith("HTTP/1.1 200 ") || body < 0) {
            String why = body < 0 ? "" : ": " + answer.substring(body + 4).strip();
            throw new IOException(address + " answers " + answer.lines().findFirst().orElse("nothing") + why);
        }
        return answer.substring(body + 4);
    }

    private static String exchange(SocketChannel channel, SocketAddress to, String method, String path) {
        try {
            channel.connect(to);
            ByteBuffer request = StandardCharsets.US_ASCII.encode(method + " " + path
                    + " HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            while (request.hasRemaining()) {
                channel.write(request);
            }
            return new String(Channels.newInputStream(channel).readNBytes(LARGEST_ANSWER), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }
}
