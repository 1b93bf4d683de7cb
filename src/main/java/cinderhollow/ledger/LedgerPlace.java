package cinderhollow.ledger;

import cinderhollow.policy.Protocol.Outcome;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Place in the gateway at which requests or attempts are counted. Each place has its own counters and updates them
 * independently of the other places, so that comparing them shows a missed or duplicate update.
 */
public enum LedgerPlace {
    /** Requests, counted where client connections are handled. */
    CLIENTS("requests at the clients' side", RequestEnd.values()),
    /** Requests, counted where the decisions of the decision module are carried out. */
    CORE("requests at the core", RequestEnd.values()),
    /** Attempts, counted where the decisions of the decision module are carried out. */
    ATTEMPTS("attempts at the core", Outcome.values()),
    /** Attempts, counted where connections to servers are handled. */
    NODES("attempts at the nodes' side", Outcome.values());

    private final String description;
    private final List<String> endNames;

    LedgerPlace(String description, Enum<?>[] endConstants) {
        this.description = description;
        this.endNames = Arrays.stream(endConstants).map(end -> end.name().toLowerCase(Locale.ROOT).replace('_', ' ')).toList();
    }

    /** Returns the names of the ends that a request or attempt can have at this place, in the order of their numbers. */
    public List<String> endNames() {
        return endNames;
    }

    @Override
    public String toString() {
        return description;
    }
}
