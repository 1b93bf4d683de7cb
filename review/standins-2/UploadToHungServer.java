import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** One of six servers hangs for some seconds while clients send large bodies of submits. */
final class UploadToHungServer extends Rig {
    private static final int SERVERS = 6, CLIENTS = 6, HANG_MILLIS = 18_000, TIMEOUT_MILLIS = 1_500;
    private static final int[] BODY_BYTES = {3_000_000, 4_000_000, 5_000_000, 6_000_000};
    /** A request is lost if its answer comes later than this after its time. */
    private static final int LOST_AFTER_MILLIS = 500 + 50;
    private final AtomicInteger served = new AtomicInteger(), refusedOrFailed = new AtomicInteger(), lost = new AtomicInteger(),
            notTaken = new AtomicInteger(), open = new AtomicInteger();
    private volatile boolean over;

    private UploadToHungServer(String[] arguments) throws IOException {
        super(arguments);
    }

    public static void main(String[] arguments) throws Exception {
        new UploadToHungServer(arguments).start();
    }

    @Override
    void run() throws Exception {
        discovery = new Discovery();
        Server first = null;
        for (int i = 0; i < SERVERS; i++) {
            Server server = new Server("s-" + i, sound(35), 64 * 1024);
            first = first == null ? server : first;
            discovery.set(server.name, server.address(), "up");
        }
        GatewayProcess gateway = startGateway("n0", amman(1), 1024);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            background(() -> {
                for (int n = number; !over; n++) {
                    open.incrementAndGet();
                    submit(gateway, BODY_BYTES[n % BODY_BYTES.length]);
                    open.decrementAndGet();
                    sleep(100);
                }
            });
        }
        sleep(4_000);
        if (trouble) {
            first.hung = true;
            note(first.name + " hangs");
        }
        for (int i = 0; i < HANG_MILLIS / 1_000 && gateway.isAlive(); i++) {
            sleep(1_000);
            note(counts());
        }
        first.hung = false;
        note(first.name + (trouble ? " goes on" : " has not hung"));
        sleep(3_000);
        over = true;
        for (int i = 0; i < 200 && open.get() > 0; i++) {
            sleep(100);
        }
        boolean broken = lost.get() > 0 || !gateway.isAlive();
        finish(broken ? BROKEN : served.get() == 0 ? CANNOT_RUN : HELD, counts() + (gateway.isAlive() ? "" : "; the gateway ended"));
    }

    private String counts() {
        return "served " + served + ", refused or failed " + refusedOrFailed + ", lost " + lost + ", last byte never written "
                + notTaken;
    }

    /** Sends one request on a connection of its own, and reads while it writes. */
    private void submit(GatewayProcess gateway, int length) throws IOException {
        String id = newId();
        AtomicLong writtenAt = new AtomicLong();
        long begunAt = System.nanoTime();
        String result;
        long answeredAt;
        try (Client client = gateway.connect()) {
            background(() -> {
                client.write(postHead("filing-submit", id, TIMEOUT_MILLIS, length));
                client.write(new byte[length]);
                writtenAt.set(System.nanoTime());
            });
            try {
                Answer answer = client.readAnswer(20_000);
                answeredAt = answer.at;
                (answer.status == 200 ? served : refusedOrFailed).incrementAndGet();
                result = "answered " + answer.status;
            } catch (IOException e) {
                answeredAt = System.nanoTime();
                result = "not answered, " + e.getMessage();
            }
        }
        long sinceLastByte = writtenAt.get() == 0 ? -1 : (answeredAt - writtenAt.get()) / 1_000_000;
        boolean isLost = writtenAt.get() != 0
                && (sinceLastByte > TIMEOUT_MILLIS + LOST_AFTER_MILLIS || result.startsWith("not"));
        if (isLost) {
            lost.incrementAndGet();
        } else if (writtenAt.get() == 0) {
            notTaken.incrementAndGet();
        }
        if (isLost || writtenAt.get() == 0 || sinceLastByte > TIMEOUT_MILLIS) {
            note((isLost ? "lost " : "") + id + ", " + length + " bytes: " + result + "; first byte written " + (answeredAt - begunAt)
                    / 1_000_000 + " ms before that, last byte " + (writtenAt.get() == 0 ? "never" : sinceLastByte + " ms before that")
                    + ", its time " + TIMEOUT_MILLIS + " ms");
        }
    }
}
