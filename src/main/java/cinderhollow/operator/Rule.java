package cinderhollow.operator;

import java.util.Locale;

/** The rules for an operator's file. Each constant names the violation; {@code docs/operators/routes.md} explains each. */
public enum Rule {
    /** The file can't be read, is larger than 1 MiB, is empty or is not UTF-8. */
    FILE_FORM("a TOML file of up to 1 MiB in UTF-8 that is not empty"),
    /** The file is not valid TOML. */
    SYNTAX("TOML 1.0"),
    /** A key that is not defined in its table. */
    UNKNOWN_KEY("the keys of deploy/operator.example.toml"),
    /** A value whose type is not the one of its key. */
    WRONG_TYPE("the type that deploy/operator.example.toml shows"),
    /** A duration without a unit, or one that is negative, not finite or longer than an hour. */
    DURATION_FORM("a string like \"150ms\", \"2s\" or \"500us\", from 0 to 1h"),
    /** A number outside the range of its key. */
    NUMBER_RANGE("a number within its range"),
    /** A budget's share below 0 or above 1, or a floor below 0. */
    BUDGET_RANGE("a share from 0 to 1, and a floor from 0 to 1000 a second"),
    /** A class that the deployment does not have. */
    UNKNOWN_CLASS("a class of the deployment"),
    /** An unknown outcome in {@code retry_on}. */
    UNKNOWN_OUTCOME("connect-failed, full, error, reset, timed-out"),
    /** A route without a method, a path or a class. */
    ROUTE_INCOMPLETE("method, path and class"),
    /** A method other than GET and POST. */
    METHOD_UNKNOWN("GET or POST"),
    /** A path that is ambiguous, or not a valid path pattern. */
    PATH_FORM("a pattern like /status/{id} or /files/**"),
    /** An unsafe or keyed class on GET. */
    UNSAFE_ON_GET("POST for a class that is not safe to repeat"),
    /** A safe class on POST. */
    SAFE_ON_POST("GET for a class that is safe to repeat"),
    /** Two routes match the same request, and neither is more specific than the other. */
    ROUTES_OVERLAP("at most one route for a request, or one that is at least as specific in every segment"),
    /** A route that is never used, because an earlier one has the same method and an equivalent pattern. */
    ROUTE_SHADOWED("one route for each method and pattern"),
    /** A hedge for a class whose requests must not run twice. */
    COPY_OF_UNSAFE("no second copy: a class that must not run twice has none"),
    /** A hedge in a deployment that does not allow two attempts of a request in flight at once. */
    COPY_NOT_ALLOWED("no second copy: the deployment does not allow two attempts at once"),
    /** A hedge with neither {@code after} nor {@code at_percentile}, or with both. */
    COPY_TIME("either after or at_percentile"),
    /** A hedge that would start only after the first attempt has timed out. */
    COPY_TOO_LATE("a time before the end of the first attempt"),
    /** A hedge although {@code attempts} is 1. */
    COPY_ALONE("two attempts or more where there is a second copy"),
    /** A percentile that can't be estimated from the number of samples. */
    PERCENTILE_UNKNOWABLE("five samples or more beyond the percentile"),
    /** For a class that must not run twice: a retry after an outcome that does not prove that the request never ran. */
    RETRY_MAY_RUN_TWICE("only connect-failed and full for a class that must not run twice"),
    /** A request of a keyed class could be resent after its dedup window. */
    KEYED_PAST_WINDOW("a total time within the window in which repeats are dropped"),
    /** A request of a keyed class could be resent outside its dedup group. */
    KEYED_OUTSIDE_GROUP("a group no wider than the one in which repeats are dropped"),
    /** All attempts and backoffs together take longer than the total time. */
    LONGER_THAN_TOTAL("attempts x attempt_timeout + back-off within the total time"),
    /** A total time that is longer than the class's deadline. */
    LONGER_THAN_CLIENT("a total time within the class's deadline"),
    /** An attempt timeout that is longer than the total time. */
    ATTEMPT_BEYOND_TOTAL("an attempt_timeout within the total time"),
    /** More attempts than the deployment allows. */
    TOO_MANY_ATTEMPTS("no more attempts than the deployment allows"),
    /** A {@code retry_after} where the deployment allows none, or one that is longer than its clients honor. */
    ADVICE_NOT_ALLOWED("a retry_after no longer than the deployment's clients honor"),
    /** A subset for a gateway whose zone or number is not among the gateways of the fleet. */
    SUBSET_PLACE("gateways by zone with this one's zone among them, and its number in it, counted from 0"),
    /** An unknown value of {@code listeners}. */
    LISTENERS_UNKNOWN("one, or one for each loop: \"one\" or \"each\""),
    /** An admin address that is missing, malformed or reachable from other machines. */
    ADMIN_ADDRESS("a loopback address with a port, as \"127.0.0.1:9180\" or \"[::1]:9180\", or \"unix:/path\""),
    /** A ledger directory that does not exist, or a sync interval without a directory. */
    NO_DIRECTORY("an existing directory that is kept across restarts"),
    /** Peer members that are malformed or duplicate, or whose list does not contain this gateway. */
    PEERS_PLACE("each member's address once, in the same order everywhere, with this one's number among them"),
    /** Peers in a deployment that does not allow datagrams between gateways. */
    PEERS_NOT_ALLOWED("no peers: the deployment does not allow datagrams between gateways"),
    /** Peers in a process with several event loops. */
    PEERS_LOOPS("one event loop where there are peers"),
    /** Zones without peers, fewer than two or more than sixteen of them, or a list without the gateway's own zone. */
    ZONES_PLACE("two to sixteen zones by name, with this gateway's among them, and [peers]"),
    /** As many zones or regions may be evacuated at once as there are. */
    ZONES_MOST_OUT("most_out below the number of regions, or of zones if there are no regions"),
    /** A zone that is in no region or in two, or fewer than two regions. */
    ZONES_REGIONS("two regions or more, and each zone in one of them"),
    /** A maximum hold that is shorter than the initial one. */
    ZONES_HOLD("hold no longer than hold_max"),
    /** A duration below 1 ms where the action needs time. */
    TIME_TOO_SHORT("1ms or more");

    private final String allowed;

    Rule(String allowed) {
        this.allowed = allowed;
    }

    /** Returns what is allowed, as a text for messages. */
    public String allowed() {
        return allowed;
    }

    /** Returns the rule's name in messages and in the operators' documentation: lower case with hyphens. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
