package cinderhollow.operator;

import cinderhollow.policy.Protocol.RequestClass;
import java.util.List;

/**
 * What a deployment's settings say that a file must stay within.
 *
 * @param copies two attempts of a request may be out at once
 * @param mostAdviceNanos the longest {@code Retry-After} that clients heed, 0 where there is none
 * @param gateways how many there are
 * @param number this one's among them
 * @param zone where this one is, or empty
 * @param peers gateways may send each other datagrams
 */
public record Platform(List<RequestClass> classes, int mostAttempts, boolean copies, long mostAdviceNanos, int gateways,
                       int number, String zone, boolean peers) {
    /** Of a gateway that is alone. */
    public Platform(List<RequestClass> classes, int mostAttempts, boolean copies, long mostAdviceNanos) {
        this(classes, mostAttempts, copies, mostAdviceNanos, 1, 0, "", true);
    }

    /** Keeps a copy. */
    public Platform {
        classes = List.copyOf(classes);
    }

    RequestClass find(String name) {
        return classes.stream().filter(c -> c.name().equals(name)).findFirst().orElse(null);
    }
}
