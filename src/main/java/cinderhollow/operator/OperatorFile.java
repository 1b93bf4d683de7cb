package cinderhollow.operator;

import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.DedupGroup;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.routes.PathPattern;
import cinderhollow.routes.Route;
import cinderhollow.routes.RouteSettings.BudgetSettings;
import cinderhollow.routes.RouteSettings.HedgeSettings;
import cinderhollow.routes.RouteSettings;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * The contents of an operator's file. A file without findings has routes, ledger, peer and scaling settings; of a file that
 * violates a rule nothing is used, and {@link #findings()} has all its violations.
 */
public final class OperatorFile {
    private static final int LARGEST = 1 << 20, MOST_ROUTES = 10_000;
    private static final char BYTE_ORDER_MARK = '\uFEFF';
    private static final BudgetSettings USUAL_RETRIES = new BudgetSettings(0.1, 1), USUAL_COPIES = new BudgetSettings(0.05, 0);
    private static final int USUAL_ATTEMPTS = 3, USUAL_SAMPLES = 200, MOST_SAMPLES = 10_000, BEYOND = 5;
    private static final Set<Outcome> NEVER_RAN = EnumSet.of(Outcome.CONNECT_FAILED, Outcome.FULL);
    private static final Set<Outcome> ANY = EnumSet.of(Outcome.CONNECT_FAILED, Outcome.FULL, Outcome.ERROR,
            Outcome.RESET, Outcome.TIMED_OUT);
    private static final List<String> TERMS = List.of("total", "attempt_timeout", "attempts", "retry_on", "backoff",
            "backoff_max", "retry_budget", "second_copy", "retry_after", "resend_within");
    private static final List<String> ROUTE = List.of("method", "path", "class");
    private static final long LEAST_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Allows only loopback addresses and Unix sockets, because everyone who can connect can read all metrics. */
    private static final Pattern ADMIN = Pattern.compile(
            "127(\\.(25[0-5]|2[0-4][0-9]|1?[0-9]{1,2})){3}:[0-9]{1,5}|\\[::1]:[0-9]{1,5}|unix:/[!-~]{1,90}");
    private static final int LAST_PORT = 65_535;
    private static final long USUAL_SYNC_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final Pattern ADDRESS = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}");
    private static final int MOST_ZONES = 16;
    private static final long USUAL_HOLD_NANOS = TimeUnit.SECONDS.toNanos(1), USUAL_MOST_HOLD_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int MOST_LOOPS = 64, MOST_NODES = 100_000;

    private final PlatformConstraints platform;
    private ScalingConfig scalingConfig;
    private LedgerConfig ledgerConfig;
    private String adminAddress;
    /** Null if the file configures no peers. */
    private PeersConfig peersConfig;
    private final List<Finding> findings = new ArrayList<>();
    private final List<Route> routes = new ArrayList<>();
    private final List<Map<String, String>> sources = new ArrayList<>();
    private final List<Integer> lines = new ArrayList<>();

    private OperatorFile(PlatformConstraints platform) {
        this.platform = platform;
    }

    /** Reads and checks the file. A file that can't be read gives a finding, not an exception. */
    public static OperatorFile read(Path file, PlatformConstraints platform) {
        OperatorFile read = new OperatorFile(platform);
        String text = read.text(file);
        if (text != null) {
            read.parse(text);
        }
        read.findings.sort(null);
        return read;
    }

    /** Checks the text of an operator's file. */
    public static OperatorFile parse(String text, PlatformConstraints platform) {
        OperatorFile read = new OperatorFile(platform);
        read.parse(text);
        read.findings.sort(null);
        return read;
    }

    /** Returns all violations in the order of their lines. */
    public List<Finding> findings() {
        return List.copyOf(findings);
    }

    /**
     * Returns the routes; the last ones are the defaults of the classes.
     *
     * @throws IllegalStateException if the file has findings
     */
    public List<Route> routes() {
        if (!findings.isEmpty()) {
            throw new IllegalStateException("the file has faults");
        }
        return List.copyOf(routes);
    }

    /**
     * Returns the event loops and the subset of nodes.
     *
     * @throws IllegalStateException if the file has findings
     */
    public ScalingConfig scalingConfig() {
        if (!findings.isEmpty()) {
            throw new IllegalStateException("the file has faults");
        }
        return scalingConfig;
    }

    /**
     * Returns the settings of the ledger, or null if the file has none.
     *
     * @throws IllegalStateException if the file has findings
     */
    public LedgerConfig ledgerConfig() {
        if (!findings.isEmpty()) {
            throw new IllegalStateException("the file has faults");
        }
        return ledgerConfig;
    }

    /**
     * Returns the address of the admin listener, as {@code 127.0.0.1:9180} or {@code unix:/run/gateway}; null if there is none.
     *
     * @throws IllegalStateException if the file has findings
     */
    public String adminAddress() {
        if (!findings.isEmpty()) {
            throw new IllegalStateException("the file has faults");
        }
        return adminAddress;
    }

    private void admin(Table root, Table table) {
        if (table != null) {
            table.only(List.of("listen"));
            adminAddress = table.text("listen");
            if (!table.has("listen")) {
                root.fault("admin", Rule.ADMIN_ADDRESS, "listen is missing");
            } else if (adminAddress != null && !(ADMIN.matcher(adminAddress).matches()
                    && (adminAddress.startsWith("unix:") || Integer.parseInt(adminAddress.replaceFirst(".*:", "")) <= LAST_PORT))) {
                table.fault("listen", Rule.ADMIN_ADDRESS, "'" + adminAddress + "'");
            }
        }
    }

    /**
     * Returns the peers and zones, or null if the file configures none.
     *
     * @throws IllegalStateException if the file has findings
     */
    public PeersConfig peersConfig() {
        if (!findings.isEmpty()) {
            throw new IllegalStateException("the file has faults");
        }
        return peersConfig;
    }

    private void fellows(Table root, Table peers, Table zones) {
        if (peers == null || zones == null) {
            if (peers != null || zones != null) {
                root.fault(peers == null ? "zones" : "peers", Rule.ZONES_PLACE, "[peers] and [zones] must be given together");
            }
            return;
        }
        peers.only(List.of("fleet", "listen", "members", "number", "secret"));
        if (!platform.peers()) {
            root.fault("peers", Rule.PEERS_NOT_ALLOWED, "the deployment's settings forbid peers");
        }
        if (scalingConfig.loopCount() > 1) {
            root.fault("peers", Rule.PEERS_LOOPS, scalingConfig.loopCount() + " event loops");
        }
        List<String> members = peers.has("members") ? peers.texts("members") : List.of();
        Integer number = peers.whole("number", 0, MOST_NODES);
        String listen = peers.text("listen");
        if (members != null && peers.has("members")) {
            List<String> bad = members.stream().filter(m -> !ADDRESS.matcher(m).matches()).toList();
            if (!bad.isEmpty() || members.stream().distinct().count() < members.size() || members.size() < 2) {
                peers.fault("members", Rule.PEERS_PLACE, bad.isEmpty() ? members.size() + " members" : "'" + bad.get(0) + "'");
            }
            if (number == null || number >= members.size()) {
                peers.fault(peers.has("number") ? "number" : "members", Rule.PEERS_PLACE, "there is no member " + number);
            }
        }
        if (peers.has("listen") && listen != null && !ADDRESS.matcher(listen).matches()) {
            peers.fault("listen", Rule.PEERS_PLACE, "'" + listen + "'");
        }
        if (peers.has("members") != peers.has("listen") || peers.has("members") != peers.has("number")) {
            root.fault("peers", Rule.PEERS_PLACE, "members, listen and number must be given together; without all three the deployment's settings apply");
        }
        String secret = peers.text("secret");
        if (secret != null && !Files.isRegularFile(Path.of(secret))) {
            peers.fault("secret", Rule.FILE_FORM, "there is no file '" + secret + "'");
        }
        String fleet = peers.text("fleet");
        peersConfig = zones(zones, fleet == null ? "" : fleet, listen, members == null ? List.of() : members,
                number == null ? -1 : number, secret == null ? null : Path.of(secret));
    }

    private PeersConfig zones(Table zones, String fleet, String listen, List<String> members, int number, Path secret) {
        zones.only(List.of("names", "gateways", "regions", "most_out", "hold", "hold_max"));
        List<String> names = zones.texts("names");
        names = names == null ? List.of() : names;
        if (names.size() < 2 || names.size() > MOST_ZONES || names.stream().distinct().count() < names.size()
                || !names.contains(platform.zone())) {
            zones.fault("names", Rule.ZONES_PLACE, names + "; this gateway's zone is '" + platform.zone() + "'");
        }
        Map<String, Integer> gateways = byZone(zones.table("gateways"));
        for (String zone : gateways.keySet()) {
            if (!names.contains(zone)) {
                zones.fault("gateways", Rule.ZONES_PLACE, "'" + zone + "' is not one of " + names);
            }
        }
        Integer mostOut = zones.whole("most_out", 1, MOST_ZONES);
        List<Integer> regions = regions(zones, names);
        int places = (int) regions.stream().distinct().count();
        if (mostOut != null && mostOut >= places) {
            zones.fault("most_out", Rule.ZONES_MOST_OUT, mostOut + " of " + places);
        }
        long hold = time(zones, "hold", USUAL_HOLD_NANOS);
        long most = time(zones, "hold_max", Math.max(hold, USUAL_MOST_HOLD_NANOS));
        if (hold > most) {
            zones.fault("hold", Rule.ZONES_HOLD, millis(hold) + " is longer than hold_max, " + millis(most));
        }
        return new PeersConfig(fleet, listen, members, number, secret, names,
                names.stream().map(zone -> gateways.getOrDefault(zone, 0)).toList(),
                regions, mostOut == null ? Math.max(1, (places - 1) / 2) : mostOut, hold, most);
    }

    /** Returns the number of each zone's region, from 0. Without configured regions each zone is a region of its own. */
    private static List<Integer> regions(Table zones, List<String> names) {
        Table table = zones.table("regions");
        Map<String, Integer> of = new HashMap<>();
        int number = 0;
        for (String region : table == null ? Set.<String>of() : new TreeSet<>(table.keys())) {
            List<String> members = table.texts(region);
            for (String zone : members == null ? List.<String>of() : members) {
                if (!names.contains(zone) || of.putIfAbsent(zone, number) != null) {
                    table.fault(region, Rule.ZONES_REGIONS, "'" + zone + "' is not one of " + names + ", or is listed more than once");
                }
            }
            number++;
        }
        if (table != null && (number < 2 || of.size() < names.size())) {
            zones.fault("regions", Rule.ZONES_REGIONS, number + " regions with " + of.size() + " of " + names.size() + " zones");
        }
        return IntStream.range(0, names.size()).mapToObj(i -> table == null ? i : of.getOrDefault(names.get(i), 0)).toList();
    }

    private static long time(Table table, String key, long absent) {
        Long time = table.duration(key);
        if (time != null && time < LEAST_NANOS) {
            table.fault(key, Rule.TIME_TOO_SHORT, "the duration is shorter than 1ms");
        }
        return time == null ? absent : time;
    }

    private void ledger(Table ledger) {
        if (ledger != null) {
            ledger.only(List.of("log", "directory", "sync"));
            String directory = ledger.text("directory");
            if (directory != null && !Files.isDirectory(Path.of(directory))) {
                ledger.fault("directory", Rule.NO_DIRECTORY, "'" + directory + "'");
            }
            if (ledger.has("sync") && !ledger.has("directory")) {
                ledger.fault("sync", Rule.NO_DIRECTORY, "sync needs a directory");
            }
            ledgerConfig = new LedgerConfig(time(ledger, "log", 0), directory == null ? null : Path.of(directory),
                    time(ledger, "sync", USUAL_SYNC_NANOS));
        }
    }

    private ScalingConfig growth(Table root, Table gateway, Table subset) {
        Integer loops = null;
        String listeners = null;
        if (gateway != null) {
            gateway.only(List.of("loops", "listeners"));
            loops = gateway.whole("loops", 1, MOST_LOOPS);
            listeners = gateway.text("listeners");
            if (listeners != null && !listeners.equals("one") && !listeners.equals("each")) {
                gateway.fault("listeners", Rule.LISTENERS_UNKNOWN, "'" + listeners + "'");
            }
        }
        int size = 0;
        Map<String, Integer> gateways = Map.of(platform.zone(), platform.gateways());
        int number = platform.number();
        if (subset != null) {
            subset.only(List.of("nodes", "gateways", "number"));
            Integer nodes = subset.whole("nodes", 1, MOST_NODES);
            if (!subset.has("nodes")) {
                root.fault("subset", Rule.SUBSET_PLACE, "nodes is missing");
            }
            size = nodes == null ? 0 : nodes;
            if (subset.has("gateways") != subset.has("number")) {
                subset.fault(subset.has("gateways") ? "gateways" : "number", Rule.SUBSET_PLACE,
                        "gateways by zone and the number of this gateway must be given together");
            } else if (subset.has("gateways")) {
                gateways = byZone(subset.table("gateways"));
                Integer own = subset.whole("number", 0, MOST_NODES);
                number = own == null ? 0 : own;
                Integer here = gateways.get(platform.zone());
                if (here == null || number >= here) {
                    subset.fault("number", Rule.SUBSET_PLACE, "there is no gateway " + number + " of zone '"
                            + platform.zone() + "' among " + gateways);
                }
            }
        }
        return new ScalingConfig(loops == null ? 1 : loops, "each".equals(listeners), size, gateways, platform.zone(), number);
    }

    private static Map<String, Integer> byZone(Table table) {
        Map<String, Integer> counts = new TreeMap<>();
        if (table != null) {
            for (String zone : table.keys()) {
                Integer count = table.whole(zone, 1, MOST_NODES);
                counts.put(zone, count == null ? 1 : count);
            }
        }
        return counts;
    }

    private void fault(Rule rule, String what) {
        findings.add(new Finding(0, "", rule, what));
    }

    private String text(Path file) {
        try {
            if (!Files.isRegularFile(file)) {
                fault(Rule.FILE_FORM, Files.exists(file) ? "not a regular file" : "the file does not exist");
                return null;
            }
            if (Files.size(file) > LARGEST) {
                fault(Rule.FILE_FORM, "the file has " + Files.size(file) + " bytes");
                return null;
            }
            String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(Files.readAllBytes(file))).toString();
            // Some editors write a byte order mark; it has no meaning in UTF-8.
            text = !text.isEmpty() && text.charAt(0) == BYTE_ORDER_MARK ? text.substring(1) : text;
            if (text.isBlank()) {
                // Rejects an empty file: one truncated to nothing would otherwise remove all settings.
                fault(Rule.FILE_FORM, "the file is empty");
                return null;
            }
            return text;
        } catch (CharacterCodingException e) {
            fault(Rule.FILE_FORM, "the file is not UTF-8");
        } catch (IOException e) {
            fault(Rule.FILE_FORM, "the file can't be read: " + e.getMessage());
        }
        return null;
    }

    private void parse(String text) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            toml.errors().forEach(error -> findings.add(new Finding(error.position().line(), "", Rule.SYNTAX,
                    error.getMessage().lines().findFirst().orElse("unreadable"))));
            return;
        }
        Table root = new Table(toml, "", findings);
        root.only(List.of("class", "route", "gateway", "subset", "ledger", "admin", "peers", "zones"));
        admin(root, root.table("admin"));
        ledger(root.table("ledger"));
        scalingConfig = growth(root, root.table("gateway"), root.table("subset"));
        fellows(root, root.table("peers"), root.table("zones"));
        Map<String, Table> classes = new LinkedHashMap<>();
        Table byName = root.table("class");
        if (byName != null) {
            for (String name : byName.keys()) {
                if (platform.find(name) == null) {
                    byName.fault(name, Rule.UNKNOWN_CLASS, "the deployment has the classes " + names());
                }
                Table table = byName.table(name);
                if (table != null) {
                    table.only(TERMS);
                    classes.put(name, table);
                }
            }
        }
        List<Table> tables = root.tables("route");
        if (tables.size() > MOST_ROUTES) {
            root.fault("route", Rule.NUMBER_RANGE, tables.size() + " routes exceed the maximum of " + MOST_ROUTES);
            return;
        }
        tables.forEach(table -> route(table, classes));
        for (RequestClass c : platform.classes()) {
            Table own = classes.get(c.name());
            resolve(c, null, null, own == null ? List.of() : List.of(own), own == null ? 0 : firstLine(own));
        }
        compare();
    }

    private String names() {
        return String.join(", ", platform.classes().stream().map(RequestClass::name).toList());
    }

    private static int firstLine(Table table) {
        return table.keys().stream().mapToInt(table::line).filter(line -> line > 0).min().orElse(0);
    }

    private void route(Table table, Map<String, Table> classes) {
        Set<String> known = new TreeSet<>(TERMS);
        known.addAll(ROUTE);
        table.only(known);
        String method = table.text("method");
        String path = table.text("path");
        String name = table.text("class");
        for (String key : ROUTE) {
            if (!table.has(key)) {
                findings.add(new Finding(firstLine(table), "route", Rule.ROUTE_INCOMPLETE, "the route lacks " + key));
            }
        }
        PathPattern pattern = null;
        if (path != null) {
            try {
                pattern = PathPattern.parse(path);
            } catch (IllegalArgumentException e) {
                table.fault("path", Rule.PATH_FORM, "'" + path + "': " + e.getMessage());
            }
        }
        RequestClass c = name == null ? null : platform.find(name);
        if (name != null && c == null) {
            table.fault("class", Rule.UNKNOWN_CLASS, "'" + name + "'; the deployment has the classes " + names());
        }
        boolean carried = method != null && (method.equals("GET") || method.equals("POST"));
        if (method != null && !carried) {
            table.fault("method", Rule.METHOD_UNKNOWN, "'" + method + "'");
        }
        if (carried && c != null) {
            boolean safe = c.effect() == Effect.SAFE;
            if (method.equals("GET") && !safe) {
                table.fault("method", Rule.UNSAFE_ON_GET, "class " + name + " is " + word(c.effect()));
            } else if (method.equals("POST") && safe) {
                table.fault("method", Rule.SAFE_ON_POST, "class " + name + " is safe");
            }
        }
        if (c != null) {
            Table own = classes.get(name);
            resolve(c, method, pattern, own == null ? List.of(table) : List.of(table, own), firstLine(table));
        }
    }

    private static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the first table that has the key, or null. The route's own table comes before the one of its class. */
    private static Table holder(List<Table> tables, String key) {
        return tables.stream().filter(table -> table.has(key)).findFirst().orElse(null);
    }

    private void resolve(RequestClass c, String method, PathPattern pattern, List<Table> tables, int line) {
        // Findings in a class's table are reported when the class itself is resolved, not again for its routes.
        int before = findings.size();
        Resolver resolver = new Resolver(c, tables);
        RouteSettings terms = resolver.terms();
        if (pattern == null && method != null) {
            return;
        }
        boolean inherited = tables.size() == 2;
        if (inherited) {
            dropRepeated(before);
        }
        routes.add(new Route(method, pattern, c.name(), terms));
        sources.add(resolver.sources);
        lines.add(line);
    }

    /** Removes the findings in a class's table that a route inherits; they are reported once, for the class itself. */
    private void dropRepeated(int before) {
        List<Finding> own = findings.subList(before, findings.size()).stream()
                .filter(finding -> !finding.key().startsWith("class.")).toList();
        findings.subList(before, findings.size()).clear();
        findings.addAll(own);
    }

    /** Resolves the policy of one route from its own table, the table of its class and the defaults. */
    private final class Resolver {
        private final RequestClass c;
        private final List<Table> tables;
        private final Map<String, String> sources = new LinkedHashMap<>();

        Resolver(RequestClass c, List<Table> tables) {
            this.c = c;
            this.tables = tables;
        }

        private Table holder(String key) {
            Table holder = OperatorFile.holder(tables, key);
            sources.put(key, holder == null ? "default" : (holder.isOfClass() ? "class, line " : "route, line ")
                    + holder.line(key));
            return holder;
        }

        /** Adds a finding at the key that set the value; if the value is a default, at the first line of the route or class. */
        private void fault(String key, Rule rule, String what) {
            Table holder = OperatorFile.holder(tables, key);
            if (holder != null) {
                holder.fault(key, rule, what);
            } else {
                findings.add(new Finding(tables.isEmpty() ? 0 : firstLine(tables.get(0)), "class " + c.name() + ", " + key,
                        rule, what));
            }
        }

        private long duration(String key, long absent, long least) {
            Table holder = holder(key);
            Long value = holder == null ? null : holder.duration(key);
            if (value != null && value < least) {
                fault(key, Rule.TIME_TOO_SHORT, "the duration is shorter than 1ms");
            }
            return value == null ? absent : value;
        }

        RouteSettings terms() {
            long total = duration("total", c.deadlineNanos(), LEAST_NANOS);
            if (total > c.deadlineNanos()) {
                fault("total", Rule.LONGER_THAN_CLIENT, millis(total) + " is longer than the class's deadline of "
                        + millis(c.deadlineNanos()));
            }
            int attempts = attempts();
            long backoff = duration("backoff", 0, 0);
            long mostBackoff = duration("backoff_max", backoff * 8, 0);
            boolean ownTimeout = OperatorFile.holder(tables, "attempt_timeout") != null;
            long attempt = duration("attempt_timeout", total, LEAST_NANOS);
            if (attempt > total) {
                fault("attempt_timeout", Rule.ATTEMPT_BEYOND_TOTAL, millis(attempt) + " is longer than the total time of " + millis(total));
            }
            Set<Outcome> retryOn = retryOn();
            BudgetSettings retries = allowance("retry_budget", USUAL_RETRIES);
            HedgeSettings copy = copy(attempt, total, attempts);
            boolean timed = retryOn.contains(Outcome.TIMED_OUT);
            long waits = waits(attempts, backoff, mostBackoff);
            if (ownTimeout && attempt <= total && attempts * attempt + waits > total) {
                fault("attempt_timeout", Rule.LONGER_THAN_TOTAL, attempts + " x " + millis(attempt) + " and "
                        + millis(waits) + " of backoff are longer than the total time of " + millis(total));
            } else if (!ownTimeout && timed && attempts > 1) {
                fault("retry_on", Rule.LONGER_THAN_TOTAL, "after a timeout nothing is left of the total time; set "
                        + "attempt_timeout");
            } else if (!ownTimeout && waits >= total) {
                fault("backoff", Rule.LONGER_THAN_TOTAL, millis(waits) + " of backoff leave nothing of the total time of "
                        + millis(total));
            }
            keyed(total, attempts, copy);
            return new RouteSettings(total, Math.min(attempt, total), attempts, retryOn, backoff, mostBackoff, retries, copy,
                    advice());
        }

        private int attempts() {
            Table holder = holder("attempts");
            Integer value = holder == null ? null : holder.whole("attempts", 1, 60);
            if (value != null && value > platform.mostAttempts()) {
                fault("attempts", Rule.TOO_MANY_ATTEMPTS, value + " attempts; the deployment allows "
                        + platform.mostAttempts());
            }
            return value == null ? Math.min(USUAL_ATTEMPTS, platform.mostAttempts()) : value;
        }

        private long waits(int attempts, long backoff, long most) {
            long sum = 0;
            for (int retry = 1; retry < attempts; retry++) {
                sum += Math.min(most, backoff << Math.min(20, retry - 1));
            }
            return sum;
        }

        private Set<Outcome> retryOn() {
            Table holder = holder("retry_on");
            List<String> texts = holder == null ? null : holder.texts("retry_on");
            boolean unsafe = c.effect() == Effect.UNSAFE;
            if (texts == null) {
                return unsafe ? NEVER_RAN : EnumSet.of(Outcome.CONNECT_FAILED, Outcome.FULL, Outcome.ERROR, Outcome.RESET);
            }
            Set<Outcome> outcomes = EnumSet.noneOf(Outcome.class);
            for (String text : texts) {
                Outcome outcome = ANY.stream().filter(o -> word(o).equals(text)).findFirst().orElse(null);
                if (outcome == null) {
                    fault("retry_on", Rule.UNKNOWN_OUTCOME, "'" + text + "'");
                } else if (unsafe && !outcome.provesItNeverRan()) {
                    fault("retry_on", Rule.RETRY_MAY_RUN_TWICE, "after '" + text + "' a " + c.name()
                            + " may have run, but must not run twice");
                } else {
                    outcomes.add(outcome);
                }
            }
            return outcomes;
        }

        private BudgetSettings allowance(String key, BudgetSettings absent) {
            Table holder = holder(key);
            Table budget = holder == null ? null : holder.table(key);
            return budget == null ? absent : allowance(budget, absent);
        }

        private BudgetSettings allowance(Table budget, BudgetSettings absent) {
            budget.only(List.of("share", "floor_per_s"));
            Double share = budget.number("share", 0, 1, Rule.BUDGET_RANGE);
            Double floor = budget.number("floor_per_s", 0, 1000, Rule.BUDGET_RANGE);
            return new BudgetSettings(share == null ? absent.requestFraction() : share,
                    floor == null ? absent.minPerSecond() : floor);
        }

        private HedgeSettings copy(long attempt, long total, int attempts) {
            Table holder = holder("second_copy");
            Table copy = holder == null ? null : holder.table("second_copy");
            if (copy == null) {
                return null;
            }
            copy.only(List.of("after", "at_percentile", "samples", "budget"));
            if (c.effect() == Effect.UNSAFE) {
                fault("second_copy", Rule.COPY_OF_UNSAFE, "class " + c.name() + " must not run twice");
            } else if (!platform.copies()) {
                fault("second_copy", Rule.COPY_NOT_ALLOWED, "the deployment allows one attempt at a time");
            }
            if (copy.has("after") == copy.has("at_percentile")) {
                fault("second_copy", Rule.COPY_TIME, copy.has("after") ? "both after and at_percentile are set" : "neither after nor at_percentile is set");
            }
            if (attempts < 2) {
                fault("second_copy", Rule.COPY_ALONE, "attempts is 1");
            }
            Long after = copy.duration("after");
            if (after != null && after < LEAST_NANOS) {
                copy.fault("after", Rule.TIME_TOO_SHORT, "the second copy would be sent at the same time as the first attempt");
            }
            if (after != null && after >= Math.min(attempt, total)) {
                copy.fault("after", Rule.COPY_TOO_LATE, millis(after) + ", but the first attempt times out after "
                        + millis(Math.min(attempt, total)));
            }
            Double percentile = copy.number("at_percentile", 1, 99.99, Rule.NUMBER_RANGE);
            Integer samples = copy.whole("samples", 1, MOST_SAMPLES);
            int held = samples == null ? USUAL_SAMPLES : samples;
            if (percentile != null && held * (1 - percentile / 100) < BEYOND - 1e-9) {
                copy.fault("at_percentile", Rule.PERCENTILE_UNKNOWABLE, "of " + held + " samples, fewer than " + BEYOND
                        + " lie beyond " + percentile);
            }
            Table budget = copy.table("budget");
            return new HedgeSettings(after == null ? 0 : after, percentile == null ? 0 : percentile, held,
                    budget == null ? USUAL_COPIES : allowance(budget, USUAL_COPIES));
        }

        private void keyed(long total, int attempts, HedgeSettings copy) {
            Table holder = holder("resend_within");
            String within = holder == null ? null : holder.text("resend_within");
            if (within != null) {
                DedupGroup group = switch (within) {
                    case "all" -> DedupGroup.ALL;
                    case "zone" -> DedupGroup.ZONE;
                    case "cell" -> DedupGroup.CELL;
                    default -> null;
                };
                if (group == null) {
                    fault("resend_within", Rule.WRONG_TYPE, "'" + within + "' is neither all, zone nor cell");
                } else if (c.effect() == Effect.KEYED && group.compareTo(c.dedupGroup()) < 0) {
                    fault("resend_within", Rule.KEYED_OUTSIDE_GROUP, "a repeat is dropped only if it stays within one "
                            + word(c.dedupGroup()) + ", the class's dedup group");
                }
            }
            // A class that the file does not mention is not checked: there the decision module itself keeps to the dedup window.
            boolean resends = !tables.isEmpty() && (attempts > 1 || copy != null);
            if (c.effect() == Effect.KEYED && resends && total > c.dedupWindowNanos()) {
                fault("total", Rule.KEYED_PAST_WINDOW, millis(total) + " is longer than the time for which repeats are dropped, "
                        + millis(c.dedupWindowNanos()));
            }
        }

        private long advice() {
            long advice = duration("retry_after", 0, 0);
            if (advice > platform.mostAdviceNanos()) {
                fault("retry_after", Rule.ADVICE_NOT_ALLOWED, platform.mostAdviceNanos() == 0
                        ? "the deployment allows no Retry-After"
                        : "clients honor at most " + millis(platform.mostAdviceNanos()) + " of Retry-After");
            }
            return advice;
        }
    }

    /** Adds a finding for each pair of routes that match the same requests. */
    private void compare() {
        for (int i = 0; i < routes.size(); i++) {
            for (int j = 0; j < i; j++) {
                Route a = routes.get(j);
                Route b = routes.get(i);
                if (a.pattern() == null || b.pattern() == null || a.method() == null || !a.method().equals(b.method())) {
                    continue;
                }
                PathPattern p = a.pattern();
                PathPattern q = b.pattern();
                if (p.segments().equals(q.segments())) {
                    findings.add(new Finding(lines.get(i), "route", Rule.ROUTE_SHADOWED, b + " is never used: " + a
                            + " in line " + lines.get(j) + " matches the same requests"));
                } else if (p.overlaps(q) && !p.isMoreSpecificThan(q) && !q.isMoreSpecificThan(p)) {
                    findings.add(new Finding(lines.get(i), "route", Rule.ROUTES_OVERLAP, b + " and " + a + " in line "
                            + lines.get(j) + " match the same requests"));
                }
            }
        }
    }

    private static String millis(long nanos) {
        return nanos % LEAST_NANOS == 0 ? nanos / LEAST_NANOS + "ms" : nanos / 1000 + "us";
    }

    /** Returns a text with the settings and the policy of each route, and the source of each value: default or a line. */
    public String explain() {
        List<String> text = new ArrayList<>(scalingConfig.explained());
        if (ledgerConfig != null) {
            text.add("ledger of requests and attempts"
                    + (ledgerConfig.logIntervalNanos() == 0 ? "" : ", logged every " + millis(ledgerConfig.logIntervalNanos()))
                    + (ledgerConfig.directory() == null ? "" : ", with a journal in " + ledgerConfig.directory() + ", synced within "
                    + millis(ledgerConfig.syncIntervalNanos())));
        }
        if (peersConfig != null) {
            text.add("exchanges datagrams with " + (peersConfig.members().isEmpty() ? "the peers in the deployment's settings" : (peersConfig.members().size() - 1) + " others")
                    + (peersConfig.secretFile() == null ? ", without a secret" : "") + "; evacuates up to " + peersConfig.maxRegionsOut() + " of zones "
                    + String.join(", ", peersConfig.zones()) + ", for " + millis(peersConfig.holdNanos()) + " to "
                    + millis(peersConfig.maxHoldNanos()));
        }
        if (adminAddress != null) {
            text.add("metrics are served at " + adminAddress);
        }
        for (int i = 0; i < routes.size(); i++) {
            Route route = routes.get(i);
            RouteSettings terms = route.settings();
            Map<String, String> from = sources.get(i);
            text.add(route + (route.pattern() == null ? "" : "  (class " + route.requestClass() + ")"));
            row(text, "total", millis(terms.totalTimeoutNanos()), from);
            row(text, "attempt_timeout", millis(terms.attemptTimeoutNanos()), from);
            row(text, "attempts", String.valueOf(terms.maxAttempts()), from);
            row(text, "retry_on", String.join(", ", terms.retryOn().stream().sorted().map(OperatorFile::word).toList()),
                    from);
            row(text, "backoff", millis(terms.baseBackoffNanos()) + ", up to " + millis(terms.maxBackoffNanos()), from);
            row(text, "retry_budget", allowance(terms.retryBudget()), from);
            HedgeSettings copy = terms.hedge();
            row(text, "second_copy", copy == null ? "none" : (copy.percentile() > 0 ? "at percentile "
                    + copy.percentile() + " of " + copy.sampleCount() : "after " + millis(copy.delayNanos())) + ", "
                    + allowance(copy.budget()), from);
            row(text, "retry_after", terms.retryAfterNanos() == 0 ? "none" : millis(terms.retryAfterNanos()), from);
        }
        return String.join("\n", text);
    }

    private static String allowance(BudgetSettings allowance) {
        return allowance.requestFraction() + " of the requests and " + allowance.minPerSecond() + " a second";
    }

    private static void row(List<String> text, String key, String value, Map<String, String> from) {
        text.add(String.format(Locale.ROOT, "  %-16s %-60s %s", key, value, from.get(key)));
    }
}
