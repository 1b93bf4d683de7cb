import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Clients send several submits at once, and go before the first is answered. */
final class GoneClient extends Rig {
    private static final int CLIENTS = 10, SOUND_CLIENTS = 4, REQUESTS = 6, BODY_BYTES = 30_000, WORK_MILLIS = 250, USUAL_WORK_MILLIS = 25, TIMEOUT_MILLIS = 1_500;
    /** An attempt may begin for so long after the client's close, with the slack of the rules on sockets. */
    private static final int ALLOWED_MILLIS = 100 + 50;

    private GoneClient(String[] arguments) throws IOException {
        super(arguments);
    }

    public static void main(String[] arguments) throws Exception {
        new GoneClient(arguments).start();
    }

    @Override
    void run() throws Exception {
        discovery = new Discovery();
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(new Server("s-" + i, (self, connection, request) -> {
                sleep(request.startLine.contains("/heavy ") ? WORK_MILLIS : USUAL_WORK_MILLIS);
                answer(connection, request.id());
            }));
            discovery.set("s-" + i, servers.get(i).address(), "up");
        }
        GatewayProcess gateway = startGateway("n0", amman(1), 1024);
        for (int i = 0; i < SOUND_CLIENTS; i++) {
            background(() -> askOnAndOn(gateway));
        }
        sleep(2_000);
        int begunLate = 0;
        int begun = 0;
        int unanswered = 0;
        for (int k = 0; k < CLIENTS; k++) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                ids.add(newId());
                all.write(postHead("filing-submit", ids.get(i), TIMEOUT_MILLIS, BODY_BYTES).replace("/7 ", "/heavy ")
                        .getBytes(StandardCharsets.US_ASCII));
                all.write(new byte[BODY_BYTES]);
            }
            Client client = gateway.connect();
            client.write(all.toByteArray());
            note("client " + k + " has sent " + REQUESTS + " submits at once, " + all.size() + " bytes");
            long closedAt = Long.MAX_VALUE;
            sleep(30);
            if (trouble) {
                client.close();
                closedAt = System.nanoTime();
                note("client " + k + " has closed its connection");
                sleep(REQUESTS * WORK_MILLIS + 300);
            } else {
                for (String id : ids) {
                    try {
                        note(id + " answered " + client.readAnswer(REQUESTS * WORK_MILLIS + TIMEOUT_MILLIS).status);
                    } catch (IOException e) {
                        unanswered++;
                        note(id + " not answered: " + e.getMessage());
                    }
                }
                client.close();
            }
            for (int i = 0; i < REQUESTS; i++) {
                for (Server server : servers) {
                    for (long at : server.runs.getOrDefault(ids.get(i), List.of())) {
                        begun++;
                        long after = closedAt == Long.MAX_VALUE ? Long.MIN_VALUE : (at - closedAt) / 1_000_000;
                        boolean late = after > ALLOWED_MILLIS;
                        begunLate += late ? 1 : 0;
                        note((late ? "late: " : "") + "submit " + i + " of client " + k + ", " + ids.get(i) + ", began at " + server.name
                                + (trouble ? ", " + after + " ms after the client's close" : ""));
                    }
                }
            }
        }
        boolean broken = begunLate > 0 || unanswered > 0 || !gateway.isAlive();
        finish(broken ? BROKEN : begun == 0 ? CANNOT_RUN : HELD, begun + " submits began at servers, " + begunLate + " of them more than "
                + ALLOWED_MILLIS + " ms after their client had gone; " + unanswered + " not answered");
    }

    /** A sound client with requests of the usual work. */
    private void askOnAndOn(GatewayProcess gateway) throws Exception {
        Client client = gateway.connect();
        while (true) {
            client.write(get("ledger-view", newId(), 800));
            if (client.readAnswer(2_000).endsConnection()) {
                client.close();
                client = gateway.connect();
            }
            sleep(20);
        }
    }
}
