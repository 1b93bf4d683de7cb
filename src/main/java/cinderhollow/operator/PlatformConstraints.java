package cinderhollow.operator;

import cinderhollow.policy.Protocol.RequestClass;
import java.util.List;

/**
 * The limits that a deployment's settings set for an operator's file.
 *
 * @param classes the request classes of the deployment
 * @param mostAttempts the maximum number of attempts per request
 * @param copies whether two attempts of one request may be in flight at once, which a hedge needs
 * @param mostAdviceNanos the longest {@code Retry-After} that clients honor, in nanoseconds; 0 if answers must carry none
 * @param gateways the number of gateways in the deployment
 * @param number the number of this gateway among them, from 0
 * @param zone the zone of this gateway, or empty
 * @param peers whether gateways may send each other datagrams
 */
public record PlatformConstraints(List<RequestClass> classes, int mostAttempts, boolean copies, long mostAdviceNanos, int gateways,
                       int number, String zone, boolean peers) {
    /** Creates the constraints of a deployment with a single gateway, without a zone. */
    public PlatformConstraints(List<RequestClass> classes, int mostAttempts, boolean copies, long mostAdviceNanos) {
        this(classes, mostAttempts, copies, mostAdviceNanos, 1, 0, "", true);
    }

    /** Copies the list of classes. */
    public PlatformConstraints {
        classes = List.copyOf(classes);
    }

    /** Returns the request class of that name, or null. */
    RequestClass find(String name) {
        return classes.stream().filter(c -> c.name().equals(name)).findFirst().orElse(null);
    }
}
