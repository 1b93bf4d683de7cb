package cinderhollow.daemon;

import cinderhollow.core.Json;
import cinderhollow.membership.EndpointList;
import java.util.Map;

/**
 * Reloads the configuration at SIGHUP, wholly or not at all. Reloads run one at a time, off the event loops; after several
 * signals the newest file is in force.
 */
final class Reload {
    private final Map<String, String> environment;
    private final GatewayService gateway;
    /** The configuration file that is in force. */
    private Json currentFile;

    /** Creates the reload of a gateway that was started from this environment and this file. */
    Reload(Map<String, String> environment, Json currentFile, GatewayService gateway) {
        this.environment = environment;
        this.currentFile = currentFile;
        this.gateway = gateway;
    }

    /**
     * Reads the file and applies it; returns when it is in force. If it is not usable, the old configuration stays and one
     * line says why.
     */
    void run() {
        try {
            Json next = GatewayConfig.readFile(environment);
            ReloadValidator.check(currentFile, next);
            String discovery = next.field("discovery").text();
            if (discovery.isEmpty()) {
                throw new IllegalArgumentException("the configuration has no discovery address");
            }
            GatewayConfig config = GatewayConfig.read(next, null, EndpointList.parseAddress(discovery),
                    environment.get("LB_OPERATOR"));
            gateway.reconfigure(config).join();
            currentFile = next;
        } catch (IllegalArgumentException e) {
            System.err.println("cinderhollow: reload rejected, the old configuration stays in force: " + e.getMessage());
            gateway.recordRejectedConfig();
        }
    }
}
