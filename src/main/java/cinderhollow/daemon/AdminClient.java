package cinderhollow.daemon;

import cinderhollow.ledger.LedgerTotals;
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

/** Client of the admin listeners of running gateways. */
public final class AdminClient {
    private static final String UNIX_PREFIX = "unix:";
    private static final long TIMEOUT_MILLIS = 10_000;
    /** Longest answer, in bytes: the metrics of 10,000 accounts take some tens of MB, and nothing else is as long. */
    private static final int MAX_ANSWER_BYTES = 1 << 27;

    private AdminClient() { }

    /** Parses an address in the form of the operator's file: {@code unix:PATH} or host and port. */
    static SocketAddress parseAddress(String text) {
        return text.startsWith(UNIX_PREFIX) ? UnixDomainSocketAddress.of(text.substring(UNIX_PREFIX.length()))
                : EndpointList.parseAddress(text);
    }

    /** Returns the sums of the ledgers of the gateways at these addresses. */
    public static LedgerTotals ledgerTotals(List<String> addresses) throws IOException {
        LedgerTotals totals = new LedgerTotals();
        for (String address : addresses) {
            totals.addInstance(metrics(address));
        }
        return totals;
    }

    /** Marks the ledger breaches of the gateways at these addresses as seen. */
    public static void acknowledgeBreaches(List<String> addresses) throws IOException {
        for (String address : addresses) {
            sendRequest(address, "POST", "/ledger/acknowledge");
        }
    }

    /** Returns a gateway's metrics as OpenMetrics text. */
    public static String metrics(String address) throws IOException {
        return sendRequest(address, "GET", "/metrics");
    }

    /** Returns the state of the zones of a gateway's fleet, as text. */
    public static String zoneStatus(String address) throws IOException {
        return sendRequest(address, "GET", "/zones");
    }

    /** Gives the whole fleet an order about a zone, by way of this gateway, valid for {@code forMillis} milliseconds. */
    public static void order(String address, String what, String zone, long forMillis) throws IOException {
        sendRequest(address, "POST", "/zones/" + what + "/" + zone + "/" + forMillis);
    }

    /** Sends a request and returns the body of the answer; any status but 200 is an {@link IOException}. */
    static String sendRequest(String address, String method, String path) throws IOException {
        SocketAddress target = parseAddress(address);
        String answer;
        try (SocketChannel channel = target instanceof UnixDomainSocketAddress ? SocketChannel.open(StandardProtocolFamily.UNIX)
                : SocketChannel.open()) {
            // Closing the channel unblocks the thread that reads from it.
            answer = CompletableFuture.supplyAsync(() -> exchange(channel, target, method, path))
                    .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            String reason = e instanceof TimeoutException ? "no answer in time" : e.getCause().getMessage();
            throw new IOException("can't ask " + address + ": " + reason, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while asking " + address, e);
        }
        int headersEnd = answer.indexOf("\r\n\r\n");
        if (!answer.startsWith("HTTP/1.1 200 ") || headersEnd < 0) {
            String reason = headersEnd < 0 ? "" : ": " + answer.substring(headersEnd + 4).strip();
            throw new IOException(address + " answers " + answer.lines().findFirst().orElse("nothing") + reason);
        }
        return answer.substring(headersEnd + 4);
    }

    private static String exchange(SocketChannel channel, SocketAddress target, String method, String path) {
        try {
            channel.connect(target);
            ByteBuffer request = StandardCharsets.US_ASCII.encode(method + " " + path
                    + " HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            while (request.hasRemaining()) {
                channel.write(request);
            }
            return new String(Channels.newInputStream(channel).readNBytes(MAX_ANSWER_BYTES), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }
}
