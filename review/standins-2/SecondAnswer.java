import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** Servers send three of their answers twice: the second copy comes some milliseconds after the first. */
final class SecondAnswer extends Rig {
    private static final int SERVERS = 3, CLIENTS = 12, REQUESTS = 250, WORK_MILLIS = 15, LATE_MILLIS = 4, FIRST_DOUBLED = 1_000,
            LAST_DOUBLED = 1_002;
    private final AtomicInteger served = new AtomicInteger(), foreign = new AtomicInteger(), other = new AtomicInteger(),
            answers = new AtomicInteger();

    private SecondAnswer(String[] arguments) throws IOException {
        super(arguments);
    }

    public static void main(String[] arguments) throws Exception {
        new SecondAnswer(arguments).start();
    }

    @Override
    void run() throws Exception {
        discovery = new Discovery();
        for (int i = 0; i < SERVERS; i++) {
            Server server = new Server("s-" + i, (self, connection, request) -> {
                sleep(WORK_MILLIS);
                answer(connection, request.id());
                int number = answers.incrementAndGet();
                if (trouble && number >= FIRST_DOUBLED && number <= LAST_DOUBLED) {
                    background(() -> {
                        sleep(LATE_MILLIS);
                        answer(connection, request.id());
                        note(self.name + " has sent its answer to " + request.id() + " a second time");
                    });
                }
            });
            discovery.set(server.name, server.address(), "up");
        }
        GatewayProcess gateway = startGateway("n0", ankara(1), 1024);
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            clients[i] = background(() -> {
                Client client = gateway.connect();
                for (int n = 0; n < REQUESTS; n++) {
                    String id = newId();
                    client.write(get("status", id, 750));
                    Answer answer = client.readAnswer(2_000);
                    if (answer.endsConnection()) {
                        client.close();
                        client = gateway.connect();
                    }
                    if (answer.status != 200) {
                        other.incrementAndGet();
                    } else if (answer.text().equals(answerBody(id))) {
                        served.incrementAndGet();
                    } else {
                        foreign.incrementAndGet();
                        note("foreign: " + id + " got \"" + answer.text().trim() + "\"");
                    }
                }
            });
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        int all = served.get() + foreign.get() + other.get();
        finish(foreign.get() > 0 ? BROKEN : all < CLIENTS * REQUESTS ? CANNOT_RUN : HELD, served + " served with their own answers, "
                + foreign + " with the answer to another request, " + other + " not served");
    }
}
