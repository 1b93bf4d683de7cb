package cinderhollow.operator;

import java.util.Locale;

/** What an operator's file may break. {@code docs/operators/routes.md} explains each. */
public enum Rule {
    /** The file can't be read, is too large, empty or no UTF-8. */
    FILE_FORM("a TOML file of up to 1 MiB in UTF-8 with something in it"),
    /** It is no TOML. */
    SYNTAX("TOML 1.0"),
    /** A key that means nothing here. */
    UNKNOWN_KEY("the keys of deploy/operator.example.toml"),
    /** A value of another type than its key has. */
    WRONG_TYPE("the type that deploy/operator.example.toml shows"),
    /** A duration without a unit, negative, not finite or too long. */
    DURATION_FORM("a text like \"150ms\", \"2s\" or \"500us\", from 0 to 1h"),
    /** A number outside what it can be. */
    NUMBER_RANGE("a number within its range"),
    /** A budget's share below 0 or above 1, or a floor below 0. */
    BUDGET_RANGE("a share from 0 to 1, and a floor from 0 to 1000 a second"),
    /** A class that the deployment does not have. */
    UNKNOWN_CLASS("a class of the deployment"),
    /** An end of an attempt that there is not. */
    UNKNOWN_OUTCOME("connect-failed, full, error, reset, timed-out"),
    /** A route without a method, a path or a class. */
    ROUTE_INCOMPLETE("method, path and class"),
    /** A method that the protocol doesn't carry. */
    METHOD_UNKNOWN("GET or POST"),
    /** A path that has more than one meaning, or is no pattern. */
    PATH_FORM("a pattern like /status/{id} or /files/**"),
    /** An unsafe or keyed class on GET. */
    UNSAFE_ON_GET("POST for a class that is not safe to repeat"),
    /** A safe class on POST. */
    SAFE_ON_POST("GET for a class that is safe to repeat"),
    /** Two routes match the same request, and neither is the more exact one. */
    ROUTES_OVERLAP("at most one route for a request, or one that is more exact at each place"),
    /** A route that is never reached, since another takes all that it matches. */
    ROUTE_SHADOWED("one route for each method and pattern"),
    /** A second copy for a class that must not run twice. */
    COPY_OF_UNSAFE("no second copy: a class that must not run twice has none"),
    /** A second copy where the platform lets no two attempts be out at once. */
    COPY_NOT_ALLOWED("no second copy: the deployment does not allow two attempts at once"),
    /** A second copy without a time, or with two. */
    COPY_TIME("either after or at_percentile"),
    /** A second copy that could not be answered any more. */
    COPY_TOO_LATE("a time before the end of the first attempt"),
    /** A second copy where only one attempt may be made. */
    COPY_ALONE("two attempts or more where there is a second copy"),
    /** A percentile that so few samples can't tell. */
    PERCENTILE_UNKNOWABLE("five samples or more beyond the percentile"),
    /** A retry after an end that does not prove that nothing ran, for a class that must not run twice. */
    RETRY_MAY_RUN_TWICE("connect-failed and full alone for a class that must not run twice"),
    /** A keyed class that could be resent after its window. */
    KEYED_PAST_WINDOW("a total time within the window in which repeats are dropped"),
    /** A keyed class that would be resent beyond its group. */
    KEYED_OUTSIDE_GROUP("a group no wider than the one in which repeats are dropped"),
    /** All attempts and waits together outlast the total time. */
    LONGER_THAN_TOTAL("attempts x attempt_timeout + back-off within the total time"),
    /** A total time that outlasts the client's patience. */
    LONGER_THAN_CLIENT("a total time within the class's deadline"),
    /** An attempt that outlasts the total time. */
    ATTEMPT_BEYOND_TOTAL("an attempt_timeout within the total time"),
    /** More attempts than the platform allows. */
    TOO_MANY_ATTEMPTS("no more attempts than the deployment allows"),
    /** Advice to clients where the platform has none, or more than they heed. */
    ADVICE_NOT_ALLOWED("retry_after within what the deployment's clients heed"),
    /** A subset without a place: a zone or number that the fleet's gateways don't have. */
    SUBSET_PLACE("gateways by zone with this one's zone among them, and its number in it, counted from 0"),
    /** Listeners that there is no such way for. */
    LISTENERS_UNKNOWN("one, or one for each loop: \"one\" or \"each\""),
    /** An admin listener that others than this machine reach, or none. */
    ADMIN_ADDRESS("a loopback address with a port, as \"127.0.0.1:9180\" or \"[::1]:9180\", or \"unix:/path\""),
    /** A directory for the ledger that there is not. */
    NO_DIRECTORY("a directory that exists and lasts over restarts"),
    /** Members that are none, twice the same, or without this one among them. */
    PEERS_PLACE("each member's address once, in the same order everywhere, with this one's number among them"),
    /** Datagrams where the platform allows none. */
    PEERS_NOT_ALLOWED("no peers: the deployment does not allow gateways to talk"),
    /** Peers in a process of several loops. */
    PEERS_LOOPS("one event loop where there are peers"),
    /** Zones without peers, without two names, or without the gateway's own. */
    ZONES_PLACE("two to sixteen zones by name, with this gateway's among them, and [peers]"),
    /** All zones may be left at once. */
    ZONES_MOST_OUT("fewer zones out than there are others"),
    /** A zone in no region or in two, or a single region. */
    ZONES_REGIONS("two regions or more, and each zone in one of them"),
    /** A longest hold that is shorter than the first one. */
    ZONES_HOLD("hold no longer than hold_max"),
    /** A time of zero where something is to happen in it. */
    TIME_TOO_SHORT("1ms or more");

    private final String allowed;

    Rule(String allowed) {
        this.allowed = allowed;
    }

    /** What would be allowed, in general. */
    public String allowed() {
        return allowed;
    }

    /** The name in messages and on the operators' page. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
