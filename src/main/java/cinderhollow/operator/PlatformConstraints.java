package cinderhollow.operator;

import cinderhollow.policy.Protocol.RequestClass;
import java.util.List;

/**
 * The limits that a deployment's settings set for an operator's file.
 *
 * @param classes the request classes of the deployment
 * @param maxAttempts the maximum number of attempts per request
 * @param hedgingAllowed whether two attempts of one request may be in flight at once, which a hedge needs
 * @param maxRetryAfterNanos the longest {@code Retry-After} that clients honor, in nanoseconds; 0 if answers must carry none
 * @param gatewayCount the number of gateways in the deployment
 * @param gatewayNumber the number of this gateway among them, from 0
 * @param zone the zone of this gateway, or empty
 * @param peersAllowed whether gateways may send each other datagrams
 */
public record PlatformConstraints(List<RequestClass> classes, int maxAttempts, boolean hedgingAllowed, long maxRetryAfterNanos,
        int gatewayCount,
                       int gatewayNumber, String zone, boolean peersAllowed) {
    /** Creates the constraints of a deployment with a single gateway, without a zone. */
    public PlatformConstraints(List<RequestClass> classes, int maxAttempts, boolean hedgingAllowed, long maxRetryAfterNanos) {
        this(classes, maxAttempts, hedgingAllowed, maxRetryAfterNanos, 1, 0, "", true);
    }

    /** Copies the list of classes. */
    public PlatformConstraints {
        classes = List.copyOf(classes);
    }

    /** Returns the request class of that name, or null. */
    RequestClass findClass(String name) {
        return classes.stream().filter(c -> c.name().equals(name)).findFirst().orElse(null);
    }
}
