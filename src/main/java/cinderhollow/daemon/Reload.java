package cinderhollow.daemon;

import cinderhollow.core.Json;
import cinderhollow.membership.EndpointList;
import java.util.Map;

/**
 * Takes the configuration anew at SIGHUP, whole or not at all. One at a time, off the event loops: of many signals the
 * last file wins.
 */
final class Reload {
    private final Map<String, String> environment;
    private final Serving gateway;
    /** The file in force. */
    private Json running;

    /** Of a gateway that was started from this environment and this file. */
    Reload(Map<String, String> environment, Json running, Serving gateway) {
        this.environment = environment;
        this.running = running;
        this.gateway = gateway;
    }

    /** Reads the file; with one that can't be used all stays as it is, and one line says why. Returns when it counts. */
    void run() {
        try {
            Json next = GatewayConfig.file(environment);
            Retuning.check(running, next);
            String discovery = next.field("discovery").text();
            if (discovery.isEmpty()) {
                throw new IllegalArgumentException("the configuration lacks discovery");
            }
            GatewayConfig config = GatewayConfig.read(next, null, EndpointList.address(discovery),
                    environment.get("LB_OPERATOR"));
            gateway.retune(config).join();
            running = next;
        } catch (IllegalArgumentException e) {
            System.err.println("cinderhollow: kept the old configuration: " + e.getMessage());
            gateway.turnedDown();
        }
    }
}
