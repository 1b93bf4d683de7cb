package cinderhollow.ledger;

import cinderhollow.policy.Protocol.Outcome;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Where something is counted. No two of them share a counter, and none is filled in from another. */
public enum Place {
    /** Requests, where clients' connections are. */
    CLIENTS("requests at the clients' side", End.values()),
    /** Requests, where the module's decisions are carried out. */
    CORE("requests at the core", End.values()),
    /** Attempts, where the module's decisions are carried out. */
    ATTEMPTS("attempts at the core", Outcome.values()),
    /** Attempts, where nodes' connections are. */
    NODES("attempts at the nodes' side", Outcome.values());

    private final String words;
    private final List<String> ends;

    Place(String words, Enum<?>[] ends) {
        this.words = words;
        this.ends = Arrays.stream(ends).map(end -> end.name().toLowerCase(Locale.ROOT).replace('_', ' ')).toList();
    }

    /** The ways in which what is counted here can end, in the order of their numbers. */
    public List<String> ends() {
        return ends;
    }

    @Override
    public String toString() {
        return words;
    }
}
