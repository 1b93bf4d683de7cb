package cinderhollow.operator;

import cinderhollow.policy.Protocol.DedupGroup;
import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.routes.PathPattern;
import cinderhollow.routes.Route;
import cinderhollow.routes.RouteSettings;
import cinderhollow.routes.RouteSettings.BudgetSettings;
import cinderhollow.routes.RouteSettings.HedgeSettings;
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
 * The contents of an operator's file. A file without findings has routes and scaling settings, and a ledger, an admin address
 * and peers only if it configures them; of a file that violates a rule nothing is used, and {@link #findings()} has its
 * violations.
 */
public final class OperatorFile {
    private static final int MAX_FILE_BYTES = 1 << 20, MAX_ROUTES = 10_000;
    private static final char BYTE_ORDER_MARK = '\uFEFF';
    private static final BudgetSettings DEFAULT_RETRY_BUDGET = new BudgetSettings(0.1, 1), DEFAULT_HEDGE_BUDGET =
            new BudgetSettings(0.05, 0);
    private static final int DEFAULT_MAX_ATTEMPTS = 3, DEFAULT_HEDGE_SAMPLES = 200, MAX_HEDGE_SAMPLES = 10_000,
            MIN_SAMPLES_BEYOND_PERCENTILE = 5;
    private static final Set<Outcome> NEVER_RAN_OUTCOMES = EnumSet.of(Outcome.CONNECT_FAILED, Outcome.FULL);
    private static final Set<Outcome> RETRYABLE_OUTCOMES = EnumSet.of(Outcome.CONNECT_FAILED, Outcome.FULL, Outcome.ERROR,
            Outcome.RESET, Outcome.TIMED_OUT);
    private static final List<String> POLICY_KEYS = List.of("total", "attempt_timeout", "attempts", "retry_on", "backoff",
            "backoff_max", "retry_budget", "second_copy", "retry_after", "resend_within");
    private static final List<String> ROUTE_KEYS = List.of("method", "path", "class");
    private static final long MILLISECOND_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Allows only loopback addresses and Unix sockets, because everyone who can connect can read all metrics. */
    private static final Pattern ADMIN_ADDRESS_PATTERN = Pattern.compile(
            "127(\\.(25[0-5]|2[0-4][0-9]|1?[0-9]{1,2})){3}:[0-9]{1,5}|\\[::1]:[0-9]{1,5}|unix:/[!-~]{1,90}");
    private static final int MAX_PORT = 65_535;
    private static final long DEFAULT_SYNC_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final Pattern PEER_ADDRESS_PATTERN = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}");
    private static final int MAX_ZONES = 16;
    private static final long DEFAULT_HOLD_NANOS = TimeUnit.SECONDS.toNanos(1), DEFAULT_MAX_HOLD_NANOS =
            TimeUnit.SECONDS.toNanos(60);
    private static final int MAX_LOOPS = 64, MAX_FLEET_SIZE = 100_000;

    private final PlatformConstraints platform;
    private ScalingConfig scalingConfig;
    private LedgerConfig ledgerConfig;
    private String adminAddress;
    /** Null if the file configures no peers. */
    private PeersConfig peersConfig;
    private final List<Finding> findings = new ArrayList<>();
    private final List<Route> routes = new ArrayList<>();
    private final List<Map<String, String>> sourcesByRoute = new ArrayList<>();
    private final List<Integer> routeLines = new ArrayList<>();

    private OperatorFile(PlatformConstraints platform) {
        this.platform = platform;
    }

    /** Reads and checks the file. A file that can't be read gives a finding, not an exception. */
    public static OperatorFile read(Path file, PlatformConstraints platform) {
        OperatorFile result = new OperatorFile(platform);
        String text = result.readText(file);
        if (text != null) {
            result.parse(text);
        }
        result.findings.sort(null);
        return result;
    }

    /** Checks the text of an operator's file. */
    public static OperatorFile parse(String text, PlatformConstraints platform) {
        OperatorFile result = new OperatorFile(platform);
        result.parse(text);
        result.findings.sort(null);
        return result;
    }

    /** Returns all violations in the order of their lines. */
    public List<Finding> findings() {
        return List.copyOf(findings);
    }

    /**
     * Returns the routes. The last rows, one per class and without a pattern, take the requests that no pattern matches.
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

    private void readAdmin(TomlTableReader root, TomlTableReader adminTable) {
        if (adminTable != null) {
            adminTable.rejectUnknownKeys(List.of("listen"));
            adminAddress = adminTable.text("listen");
            if (!adminTable.has("listen")) {
                root.addFinding("admin", Rule.ADMIN_ADDRESS, "listen is missing");
            } else if (adminAddress != null && !(ADMIN_ADDRESS_PATTERN.matcher(adminAddress).matches()
                    && (adminAddress.startsWith("unix:")
                    || Integer.parseInt(adminAddress.replaceFirst(".*:", "")) <= MAX_PORT))) {
                adminTable.addFinding("listen", Rule.ADMIN_ADDRESS, "'" + adminAddress + "'");
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

    private void readPeers(TomlTableReader root, TomlTableReader peersTable, TomlTableReader zonesTable) {
        if (peersTable == null || zonesTable == null) {
            if (peersTable != null || zonesTable != null) {
                root.addFinding(peersTable == null ? "zones" : "peers", Rule.ZONES_PLACE,
                        "[peers] and [zones] must be given together");
            }
            return;
        }
        peersTable.rejectUnknownKeys(List.of("fleet", "listen", "members", "number", "secret"));
        if (!platform.peersAllowed()) {
            root.addFinding("peers", Rule.PEERS_NOT_ALLOWED, "the deployment's settings forbid peers");
        }
        if (scalingConfig.loopCount() > 1) {
            root.addFinding("peers", Rule.PEERS_LOOPS, scalingConfig.loopCount() + " event loops");
        }
        List<String> members = peersTable.has("members") ? peersTable.texts("members") : List.of();
        Integer memberNumber = peersTable.integer("number", 0, MAX_FLEET_SIZE);
        String listenAddress = peersTable.text("listen");
        if (members != null && peersTable.has("members")) {
            List<String> malformed = members.stream().filter(m -> !PEER_ADDRESS_PATTERN.matcher(m).matches()).toList();
            if (!malformed.isEmpty() || members.stream().distinct().count() < members.size() || members.size() < 2) {
                peersTable.addFinding("members", Rule.PEERS_PLACE, malformed.isEmpty() ? members.size()
                        + " members: there are duplicates, or fewer than two" : "'"
                        + malformed.get(0) + "'");
            }
            if (memberNumber == null || memberNumber >= members.size()) {
                peersTable.addFinding(peersTable.has("number") ? "number" : "members", Rule.PEERS_PLACE,
                        "no valid member number is given, counted from 0: " + memberNumber);
            }
        }
        if (peersTable.has("listen") && listenAddress != null && !PEER_ADDRESS_PATTERN.matcher(listenAddress).matches()) {
            peersTable.addFinding("listen", Rule.PEERS_PLACE, "'" + listenAddress + "'");
        }
        if (peersTable.has("members") != peersTable.has("listen") || peersTable.has("members") != peersTable.has("number")) {
            root.addFinding("peers", Rule.PEERS_PLACE,
                    "members, listen and number must be given together; without all three the deployment's settings apply");
        }
        String secretFile = peersTable.text("secret");
        if (secretFile != null && !Files.isRegularFile(Path.of(secretFile))) {
            peersTable.addFinding("secret", Rule.FILE_FORM, "the secret file '" + secretFile
                    + "' does not exist or is not a regular file");
        }
        String fleet = peersTable.text("fleet");
        peersConfig = readZones(zonesTable, fleet == null ? "" : fleet, listenAddress, members == null ? List.of() : members,
                memberNumber == null ? -1 : memberNumber, secretFile == null ? null : Path.of(secretFile));
    }

    private PeersConfig readZones(TomlTableReader zonesTable, String fleet, String listenAddress, List<String> members,
            int memberNumber, Path secretFile) {
        zonesTable.rejectUnknownKeys(List.of("names", "gateways", "regions", "most_out", "hold", "hold_max"));
        List<String> zoneNames = zonesTable.texts("names");
        zoneNames = zoneNames == null ? List.of() : zoneNames;
        if (zoneNames.size() < 2 || zoneNames.size() > MAX_ZONES || zoneNames.stream().distinct().count() < zoneNames.size()
                || !zoneNames.contains(platform.zone())) {
            zonesTable.addFinding("names", Rule.ZONES_PLACE, zoneNames + "; this gateway's zone is '" + platform.zone() + "'");
        }
        Map<String, Integer> gatewaysByZone = readCountsByZone(zonesTable.table("gateways"));
        for (String zone : gatewaysByZone.keySet()) {
            if (!zoneNames.contains(zone)) {
                zonesTable.addFinding("gateways", Rule.ZONES_PLACE, "'" + zone + "' is not one of " + zoneNames);
            }
        }
        Integer maxRegionsOut = zonesTable.integer("most_out", 1, MAX_ZONES);
        List<Integer> regionByZone = readRegions(zonesTable, zoneNames);
        int regionCount = (int) regionByZone.stream().distinct().count();
        if (maxRegionsOut != null && maxRegionsOut >= regionCount) {
            zonesTable.addFinding("most_out", Rule.ZONES_MOST_OUT, maxRegionsOut + " of " + regionCount);
        }
        long holdNanos = durationOrDefault(zonesTable, "hold", DEFAULT_HOLD_NANOS);
        long maxHoldNanos = durationOrDefault(zonesTable, "hold_max", Math.max(holdNanos, DEFAULT_MAX_HOLD_NANOS));
        if (holdNanos > maxHoldNanos) {
            zonesTable.addFinding("hold", Rule.ZONES_HOLD, formatNanos(holdNanos) + " is longer than hold_max, "
                    + formatNanos(maxHoldNanos));
        }
        return new PeersConfig(fleet, listenAddress, members, memberNumber, secretFile, zoneNames,
                zoneNames.stream().map(zone -> gatewaysByZone.getOrDefault(zone, 0)).toList(),
                regionByZone, maxRegionsOut == null ? Math.max(1, (regionCount - 1) / 2) : maxRegionsOut, holdNanos,
                maxHoldNanos);
    }

    /** Returns the number of each zone's region, from 0. Without configured regions each zone is a region of its own. */
    private static List<Integer> readRegions(TomlTableReader zonesTable, List<String> zoneNames) {
        TomlTableReader regionsTable = zonesTable.table("regions");
        Map<String, Integer> regionByZone = new HashMap<>();
        int regionNumber = 0;
        for (String region : regionsTable == null ? Set.<String>of() : new TreeSet<>(regionsTable.keys())) {
            List<String> regionZones = regionsTable.texts(region);
            for (String zone : regionZones == null ? List.<String>of() : regionZones) {
                if (!zoneNames.contains(zone) || regionByZone.putIfAbsent(zone, regionNumber) != null) {
                    regionsTable.addFinding(region, Rule.ZONES_REGIONS, "'" + zone + "' is not one of " + zoneNames
                            + ", or is listed more than once");
                }
            }
            regionNumber++;
        }
        if (regionsTable != null && (regionNumber < 2 || regionByZone.size() < zoneNames.size())) {
            zonesTable.addFinding("regions", Rule.ZONES_REGIONS, regionNumber + " regions with " + regionByZone.size() + " of "
                    + zoneNames.size() + " zones");
        }
        return IntStream.range(0, zoneNames.size())
                .mapToObj(i -> regionsTable == null ? i : regionByZone.getOrDefault(zoneNames.get(i), 0)).toList();
    }

    private static long durationOrDefault(TomlTableReader table, String key, long defaultNanos) {
        Long nanos = table.duration(key);
        if (nanos != null && nanos < MILLISECOND_NANOS) {
            table.addFinding(key, Rule.TIME_TOO_SHORT, "the duration is shorter than 1ms");
        }
        return nanos == null ? defaultNanos : nanos;
    }

    private void readLedger(TomlTableReader ledgerTable) {
        if (ledgerTable != null) {
            ledgerTable.rejectUnknownKeys(List.of("log", "directory", "sync"));
            String directory = ledgerTable.text("directory");
            if (directory != null && !Files.isDirectory(Path.of(directory))) {
                ledgerTable.addFinding("directory", Rule.NO_DIRECTORY, "'" + directory + "'");
            }
            if (ledgerTable.has("sync") && !ledgerTable.has("directory")) {
                ledgerTable.addFinding("sync", Rule.NO_DIRECTORY, "sync needs a directory");
            }
            ledgerConfig = new LedgerConfig(durationOrDefault(ledgerTable, "log", 0), directory == null ? null
                    : Path.of(directory),
                    durationOrDefault(ledgerTable, "sync", DEFAULT_SYNC_INTERVAL_NANOS));
        }
    }

    private ScalingConfig readScaling(TomlTableReader root, TomlTableReader gatewayTable, TomlTableReader subsetTable) {
        Integer loopCount = null;
        String listeners = null;
        if (gatewayTable != null) {
            gatewayTable.rejectUnknownKeys(List.of("loops", "listeners"));
            loopCount = gatewayTable.integer("loops", 1, MAX_LOOPS);
            listeners = gatewayTable.text("listeners");
            if (listeners != null && !listeners.equals("one") && !listeners.equals("each")) {
                gatewayTable.addFinding("listeners", Rule.LISTENERS_UNKNOWN, "'" + listeners + "'");
            }
        }
        int subsetSize = 0;
        Map<String, Integer> gatewaysByZone = Map.of(platform.zone(), platform.gatewayCount());
        int numberInZone = platform.gatewayNumber();
        if (subsetTable != null) {
            subsetTable.rejectUnknownKeys(List.of("nodes", "gateways", "number"));
            Integer nodes = subsetTable.integer("nodes", 1, MAX_FLEET_SIZE);
            if (!subsetTable.has("nodes")) {
                root.addFinding("subset", Rule.SUBSET_PLACE, "nodes is missing");
            }
            subsetSize = nodes == null ? 0 : nodes;
            if (subsetTable.has("gateways") != subsetTable.has("number")) {
                subsetTable.addFinding(subsetTable.has("gateways") ? "gateways" : "number", Rule.SUBSET_PLACE,
                        "gateways by zone and the number of this gateway must be given together");
            } else if (subsetTable.has("gateways")) {
                gatewaysByZone = readCountsByZone(subsetTable.table("gateways"));
                Integer configuredNumber = subsetTable.integer("number", 0, MAX_FLEET_SIZE);
                numberInZone = configuredNumber == null ? 0 : configuredNumber;
                Integer gatewaysInZone = gatewaysByZone.get(platform.zone());
                if (gatewaysInZone == null || numberInZone >= gatewaysInZone) {
                    subsetTable.addFinding("number", Rule.SUBSET_PLACE, "there is no gateway " + numberInZone + " of zone '"
                            + platform.zone() + "' among " + gatewaysByZone);
                }
            }
        }
        return new ScalingConfig(loopCount == null ? 1 : loopCount, "each".equals(listeners), subsetSize, gatewaysByZone,
                platform.zone(), numberInZone);
    }

    private static Map<String, Integer> readCountsByZone(TomlTableReader table) {
        Map<String, Integer> counts = new TreeMap<>();
        if (table != null) {
            for (String zone : table.keys()) {
                Integer count = table.integer(zone, 1, MAX_FLEET_SIZE);
                counts.put(zone, count == null ? 1 : count);
            }
        }
        return counts;
    }

    private void addFinding(Rule rule, String problem) {
        findings.add(new Finding(0, "", rule, problem));
    }

    private String readText(Path file) {
        try {
            if (!Files.isRegularFile(file)) {
                addFinding(Rule.FILE_FORM, Files.exists(file) ? "not a regular file" : "the file does not exist");
                return null;
            }
            if (Files.size(file) > MAX_FILE_BYTES) {
                addFinding(Rule.FILE_FORM, "the file has " + Files.size(file) + " bytes");
                return null;
            }
            String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(Files.readAllBytes(file))).toString();
            // Some editors write a byte order mark; it has no meaning in UTF-8.
            text = !text.isEmpty() && text.charAt(0) == BYTE_ORDER_MARK ? text.substring(1) : text;
            if (text.isBlank()) {
                // Rejects an empty file: one truncated to nothing would otherwise remove all settings.
                addFinding(Rule.FILE_FORM, "the file is empty");
                return null;
            }
            return text;
        } catch (CharacterCodingException e) {
            addFinding(Rule.FILE_FORM, "the file is not UTF-8");
        } catch (IOException e) {
            addFinding(Rule.FILE_FORM, "the file can't be read: " + e.getMessage());
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
        TomlTableReader root = new TomlTableReader(toml, "", findings);
        root.rejectUnknownKeys(List.of("class", "route", "gateway", "subset", "ledger", "admin", "peers", "zones"));
        readAdmin(root, root.table("admin"));
        readLedger(root.table("ledger"));
        scalingConfig = readScaling(root, root.table("gateway"), root.table("subset"));
        readPeers(root, root.table("peers"), root.table("zones"));
        Map<String, TomlTableReader> classTables = new LinkedHashMap<>();
        TomlTableReader classSection = root.table("class");
        if (classSection != null) {
            for (String name : classSection.keys()) {
                if (platform.findClass(name) == null) {
                    classSection.addFinding(name, Rule.UNKNOWN_CLASS, "the deployment has the classes " + classNames());
                }
                TomlTableReader table = classSection.table(name);
                if (table != null) {
                    table.rejectUnknownKeys(POLICY_KEYS);
                    classTables.put(name, table);
                }
            }
        }
        List<TomlTableReader> routeTables = root.tables("route");
        if (routeTables.size() > MAX_ROUTES) {
            root.addFinding("route", Rule.NUMBER_RANGE, routeTables.size() + " routes exceed the maximum of " + MAX_ROUTES);
            return;
        }
        routeTables.forEach(table -> readRoute(table, classTables));
        for (RequestClass requestClass : platform.classes()) {
            TomlTableReader classTable = classTables.get(requestClass.name());
            resolve(requestClass, null, null, classTable == null ? List.of() : List.of(classTable), classTable == null ? 0
                    : firstLine(classTable));
        }
        checkOverlaps();
    }

    private String classNames() {
        return String.join(", ", platform.classes().stream().map(RequestClass::name).toList());
    }

    private static int firstLine(TomlTableReader table) {
        return table.keys().stream().mapToInt(table::lineOf).filter(line -> line > 0).min().orElse(0);
    }

    private void readRoute(TomlTableReader table, Map<String, TomlTableReader> classTables) {
        Set<String> allowedKeys = new TreeSet<>(POLICY_KEYS);
        allowedKeys.addAll(ROUTE_KEYS);
        table.rejectUnknownKeys(allowedKeys);
        String method = table.text("method");
        String path = table.text("path");
        String className = table.text("class");
        for (String key : ROUTE_KEYS) {
            if (!table.has(key)) {
                findings.add(new Finding(firstLine(table), "route", Rule.ROUTE_INCOMPLETE, "the route lacks " + key));
            }
        }
        PathPattern pattern = null;
        if (path != null) {
            try {
                pattern = PathPattern.parse(path);
            } catch (IllegalArgumentException e) {
                table.addFinding("path", Rule.PATH_FORM, "'" + path + "': " + e.getMessage());
            }
        }
        RequestClass requestClass = className == null ? null : platform.findClass(className);
        if (className != null && requestClass == null) {
            table.addFinding("class", Rule.UNKNOWN_CLASS, "'" + className + "'; the deployment has the classes " + classNames());
        }
        boolean methodSupported = method != null && (method.equals("GET") || method.equals("POST"));
        if (method != null && !methodSupported) {
            table.addFinding("method", Rule.METHOD_UNKNOWN, "'" + method + "'");
        }
        if (methodSupported && requestClass != null) {
            boolean safe = requestClass.effect() == Effect.SAFE;
            if (method.equals("GET") && !safe) {
                table.addFinding("method", Rule.UNSAFE_ON_GET, "class " + className + " is " + label(requestClass.effect()));
            } else if (method.equals("POST") && safe) {
                table.addFinding("method", Rule.SAFE_ON_POST, "class " + className + " is safe");
            }
        }
        if (requestClass != null) {
            TomlTableReader classTable = classTables.get(className);
            resolve(requestClass, method, pattern, classTable == null ? List.of(table) : List.of(table, classTable),
                    firstLine(table));
        }
    }

    private static String label(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the first table that has the key, or null. The route's own table comes before the one of its class. */
    private static TomlTableReader findTableWith(List<TomlTableReader> tables, String key) {
        return tables.stream().filter(table -> table.has(key)).findFirst().orElse(null);
    }

    private void resolve(RequestClass requestClass, String method, PathPattern pattern, List<TomlTableReader> tables, int line) {
        // Findings in a class's table are reported when the class itself is resolved, not again for its routes.
        int findingsBefore = findings.size();
        RouteResolver resolver = new RouteResolver(requestClass, tables);
        RouteSettings terms = resolver.resolve();
        if (pattern == null && method != null) {
            return;
        }
        boolean inherited = tables.size() == 2;
        if (inherited) {
            dropInheritedFindings(findingsBefore);
        }
        routes.add(new Route(method, pattern, requestClass.name(), terms));
        sourcesByRoute.add(resolver.sourceByKey);
        routeLines.add(line);
    }

    /** Removes the findings in a class's table that a route inherits; they are reported once, for the class itself. */
    private void dropInheritedFindings(int findingsBefore) {
        List<Finding> ownFindings = findings.subList(findingsBefore, findings.size()).stream()
                .filter(finding -> !finding.key().startsWith("class.")).toList();
        findings.subList(findingsBefore, findings.size()).clear();
        findings.addAll(ownFindings);
    }

    /** Resolves the policy of one route from its own table, the table of its class and the defaults. */
    private final class RouteResolver {
        private final RequestClass requestClass;
        private final List<TomlTableReader> tables;
        private final Map<String, String> sourceByKey = new LinkedHashMap<>();

        RouteResolver(RequestClass requestClass, List<TomlTableReader> tables) {
            this.requestClass = requestClass;
            this.tables = tables;
        }

        private TomlTableReader resolveTable(String key) {
            TomlTableReader table = OperatorFile.findTableWith(tables, key);
            sourceByKey.put(key, table == null ? "default" : (table.isClassTable() ? "class, line " : "route, line ")
                    + table.lineOf(key));
            return table;
        }

        /** Adds a finding at the key that set the value; if the value is a default, at the first line of the route or class. */
        private void addFinding(String key, Rule rule, String problem) {
            TomlTableReader table = OperatorFile.findTableWith(tables, key);
            if (table != null) {
                table.addFinding(key, rule, problem);
            } else {
                findings.add(new Finding(tables.isEmpty() ? 0 : firstLine(tables.get(0)), "class " + requestClass.name() + ", "
                        + key,
                        rule, problem));
            }
        }

        private long resolveDuration(String key, long defaultNanos, long minNanos) {
            TomlTableReader table = resolveTable(key);
            Long value = table == null ? null : table.duration(key);
            if (value != null && value < minNanos) {
                addFinding(key, Rule.TIME_TOO_SHORT, "the duration is shorter than 1ms");
            }
            return value == null ? defaultNanos : value;
        }

        RouteSettings resolve() {
            long totalNanos = resolveDuration("total", requestClass.deadlineNanos(), MILLISECOND_NANOS);
            if (totalNanos > requestClass.deadlineNanos()) {
                addFinding("total", Rule.LONGER_THAN_CLIENT, formatNanos(totalNanos) + " is longer than the class's deadline of "
                        + formatNanos(requestClass.deadlineNanos()));
            }
            int maxAttempts = resolveMaxAttempts();
            long backoffNanos = resolveDuration("backoff", 0, 0);
            long maxBackoffNanos = resolveDuration("backoff_max", backoffNanos * 8, 0);
            boolean hasAttemptTimeout = OperatorFile.findTableWith(tables, "attempt_timeout") != null;
            long attemptTimeoutNanos = resolveDuration("attempt_timeout", totalNanos, MILLISECOND_NANOS);
            if (attemptTimeoutNanos > totalNanos) {
                addFinding("attempt_timeout", Rule.ATTEMPT_BEYOND_TOTAL, formatNanos(attemptTimeoutNanos)
                        + " is longer than the total time of " + formatNanos(totalNanos));
            }
            Set<Outcome> retryOn = resolveRetryOn();
            BudgetSettings retryBudget = resolveBudget("retry_budget", DEFAULT_RETRY_BUDGET);
            HedgeSettings hedge = resolveHedge(attemptTimeoutNanos, totalNanos, maxAttempts);
            boolean retriesOnTimeout = retryOn.contains(Outcome.TIMED_OUT);
            long totalBackoffNanos = sumBackoffs(maxAttempts, backoffNanos, maxBackoffNanos);
            if (hasAttemptTimeout && attemptTimeoutNanos <= totalNanos && maxAttempts * attemptTimeoutNanos
                    + totalBackoffNanos > totalNanos) {
                addFinding("attempt_timeout", Rule.LONGER_THAN_TOTAL, maxAttempts + " x " + formatNanos(attemptTimeoutNanos)
                        + " and "
                        + formatNanos(totalBackoffNanos) + " of backoff are longer than the total time of "
                        + formatNanos(totalNanos));
            } else if (!hasAttemptTimeout && retriesOnTimeout && maxAttempts > 1) {
                addFinding("retry_on", Rule.LONGER_THAN_TOTAL, "after a timeout nothing is left of the total time; set "
                        + "attempt_timeout");
            } else if (!hasAttemptTimeout && totalBackoffNanos >= totalNanos) {
                addFinding("backoff", Rule.LONGER_THAN_TOTAL, formatNanos(totalBackoffNanos)
                        + " of backoff leave nothing of the total time of "
                        + formatNanos(totalNanos));
            }
            checkKeyed(totalNanos, maxAttempts, hedge);
            return new RouteSettings(totalNanos, Math.min(attemptTimeoutNanos, totalNanos), maxAttempts, retryOn, backoffNanos,
                    maxBackoffNanos, retryBudget, hedge,
                    resolveRetryAfter());
        }

        private int resolveMaxAttempts() {
            TomlTableReader table = resolveTable("attempts");
            Integer value = table == null ? null : table.integer("attempts", 1, 60);
            if (value != null && value > platform.maxAttempts()) {
                addFinding("attempts", Rule.TOO_MANY_ATTEMPTS, value + " attempts; the deployment allows "
                        + platform.maxAttempts());
            }
            return value == null ? Math.min(DEFAULT_MAX_ATTEMPTS, platform.maxAttempts()) : value;
        }

        private long sumBackoffs(int maxAttempts, long backoffNanos, long maxBackoffNanos) {
            long sum = 0;
            for (int retry = 1; retry < maxAttempts; retry++) {
                sum += Math.min(maxBackoffNanos, backoffNanos << Math.min(20, retry - 1));
            }
            return sum;
        }

        private Set<Outcome> resolveRetryOn() {
            TomlTableReader table = resolveTable("retry_on");
            List<String> texts = table == null ? null : table.texts("retry_on");
            boolean unsafe = requestClass.effect() == Effect.UNSAFE;
            if (texts == null) {
                return unsafe ? NEVER_RAN_OUTCOMES
                        : EnumSet.of(Outcome.CONNECT_FAILED, Outcome.FULL, Outcome.ERROR, Outcome.RESET);
            }
            Set<Outcome> outcomes = EnumSet.noneOf(Outcome.class);
            for (String text : texts) {
                Outcome outcome = RETRYABLE_OUTCOMES.stream().filter(o -> label(o).equals(text)).findFirst().orElse(null);
                if (outcome == null) {
                    addFinding("retry_on", Rule.UNKNOWN_OUTCOME, "'" + text + "'");
                } else if (unsafe && !outcome.provesItNeverRan()) {
                    addFinding("retry_on", Rule.RETRY_MAY_RUN_TWICE, "after '" + text + "' a " + requestClass.name()
                            + " may have run, but must not run twice");
                } else {
                    outcomes.add(outcome);
                }
            }
            return outcomes;
        }

        private BudgetSettings resolveBudget(String key, BudgetSettings defaultBudget) {
            TomlTableReader table = resolveTable(key);
            TomlTableReader budgetTable = table == null ? null : table.table(key);
            return budgetTable == null ? defaultBudget : resolveBudget(budgetTable, defaultBudget);
        }

        private BudgetSettings resolveBudget(TomlTableReader budgetTable, BudgetSettings defaultBudget) {
            budgetTable.rejectUnknownKeys(List.of("share", "floor_per_s"));
            Double share = budgetTable.number("share", 0, 1, Rule.BUDGET_RANGE);
            Double floor = budgetTable.number("floor_per_s", 0, 1000, Rule.BUDGET_RANGE);
            return new BudgetSettings(share == null ? defaultBudget.requestFraction() : share,
                    floor == null ? defaultBudget.minPerSecond() : floor);
        }

        private HedgeSettings resolveHedge(long attemptTimeoutNanos, long totalNanos, int maxAttempts) {
            TomlTableReader table = resolveTable("second_copy");
            TomlTableReader hedgeTable = table == null ? null : table.table("second_copy");
            if (hedgeTable == null) {
                return null;
            }
            hedgeTable.rejectUnknownKeys(List.of("after", "at_percentile", "samples", "budget"));
            if (requestClass.effect() == Effect.UNSAFE) {
                addFinding("second_copy", Rule.COPY_OF_UNSAFE, "class " + requestClass.name() + " must not run twice");
            } else if (!platform.hedgingAllowed()) {
                addFinding("second_copy", Rule.COPY_NOT_ALLOWED, "the deployment allows one attempt at a time");
            }
            if (hedgeTable.has("after") == hedgeTable.has("at_percentile")) {
                addFinding("second_copy", Rule.COPY_TIME, hedgeTable.has("after") ? "both after and at_percentile are set"
                        : "neither after nor at_percentile is set");
            }
            if (maxAttempts < 2) {
                addFinding("second_copy", Rule.COPY_ALONE, "attempts is 1");
            }
            Long afterNanos = hedgeTable.duration("after");
            if (afterNanos != null && afterNanos < MILLISECOND_NANOS) {
                hedgeTable.addFinding("after", Rule.TIME_TOO_SHORT, "the duration is shorter than 1ms");
            }
            if (afterNanos != null && afterNanos >= Math.min(attemptTimeoutNanos, totalNanos)) {
                hedgeTable.addFinding("after", Rule.COPY_TOO_LATE, formatNanos(afterNanos)
                        + ", but the first attempt times out after "
                        + formatNanos(Math.min(attemptTimeoutNanos, totalNanos)));
            }
            Double percentile = hedgeTable.number("at_percentile", 1, 99.99, Rule.NUMBER_RANGE);
            Integer samples = hedgeTable.integer("samples", 1, MAX_HEDGE_SAMPLES);
            int sampleCount = samples == null ? DEFAULT_HEDGE_SAMPLES : samples;
            if (percentile != null && sampleCount * (1 - percentile / 100) < MIN_SAMPLES_BEYOND_PERCENTILE - 1e-9) {
                hedgeTable.addFinding("at_percentile", Rule.PERCENTILE_UNKNOWABLE, "of " + sampleCount + " samples, fewer than "
                        + MIN_SAMPLES_BEYOND_PERCENTILE
                        + " lie beyond " + percentile);
            }
            TomlTableReader budgetTable = hedgeTable.table("budget");
            return new HedgeSettings(afterNanos == null ? 0 : afterNanos, percentile == null ? 0 : percentile, sampleCount,
                    budgetTable == null ? DEFAULT_HEDGE_BUDGET : resolveBudget(budgetTable, DEFAULT_HEDGE_BUDGET));
        }

        /** Checks resend_within and the total time of keyed requests. resend_within is only checked, and not passed on. */
        private void checkKeyed(long totalNanos, int maxAttempts, HedgeSettings hedge) {
            TomlTableReader table = resolveTable("resend_within");
            String groupName = table == null ? null : table.text("resend_within");
            if (groupName != null) {
                DedupGroup group = switch (groupName) {
                    case "all" -> DedupGroup.ALL;
                    case "zone" -> DedupGroup.ZONE;
                    case "cell" -> DedupGroup.CELL;
                    default -> null;
                };
                if (group == null) {
                    addFinding("resend_within", Rule.WRONG_TYPE, "unknown group '" + groupName
                            + "': must be all, zone or cell");
                } else if (requestClass.effect() == Effect.KEYED && group.compareTo(requestClass.dedupGroup()) < 0) {
                    addFinding("resend_within", Rule.KEYED_OUTSIDE_GROUP, "a repeat is dropped only if it stays within one "
                            + label(requestClass.dedupGroup()) + ", the class's dedup group");
                }
            }
            // A class that the file does not mention is not checked: there the decision module itself keeps to the dedup window.
            boolean mayResend = !tables.isEmpty() && (maxAttempts > 1 || hedge != null);
            if (requestClass.effect() == Effect.KEYED && mayResend && totalNanos > requestClass.dedupWindowNanos()) {
                addFinding("total", Rule.KEYED_PAST_WINDOW, formatNanos(totalNanos)
                        + " is longer than the time for which repeats are dropped, "
                        + formatNanos(requestClass.dedupWindowNanos()));
            }
        }

        private long resolveRetryAfter() {
            long retryAfterNanos = resolveDuration("retry_after", 0, 0);
            if (retryAfterNanos > platform.maxRetryAfterNanos()) {
                addFinding("retry_after", Rule.ADVICE_NOT_ALLOWED, platform.maxRetryAfterNanos() == 0
                        ? "the deployment allows no Retry-After"
                        : "clients honor at most " + formatNanos(platform.maxRetryAfterNanos()) + " of Retry-After");
            }
            return retryAfterNanos;
        }
    }

    /** Adds a finding for each pair of routes that match the same requests. */
    private void checkOverlaps() {
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
                    findings.add(new Finding(routeLines.get(i), "route", Rule.ROUTE_SHADOWED, b + " is never used: " + a
                            + " in line " + routeLines.get(j) + " matches the same requests"));
                } else if (p.overlaps(q) && !p.isMoreSpecificThan(q) && !q.isMoreSpecificThan(p)) {
                    findings.add(new Finding(routeLines.get(i), "route", Rule.ROUTES_OVERLAP, b + " and " + a + " in line "
                            + routeLines.get(j) + " match the same requests"));
                }
            }
        }
    }

    private static String formatNanos(long nanos) {
        return nanos % MILLISECOND_NANOS == 0 ? nanos / MILLISECOND_NANOS + "ms" : nanos / 1000 + "us";
    }

    /**
     * Returns a text with the settings and the policy of each route, and the source of each row: default, or a line of the route
     * or class. The row of the backoff has two values and shows the source of backoff, not that of backoff_max.
     */
    public String explain() {
        List<String> output = new ArrayList<>(scalingConfig.describe());
        if (ledgerConfig != null) {
            output.add("ledger of requests and attempts"
                    + (ledgerConfig.logIntervalNanos() == 0 ? "" : ", logged every "
                    + formatNanos(ledgerConfig.logIntervalNanos()))
                    + (ledgerConfig.directory() == null ? "" : ", with a journal in " + ledgerConfig.directory()
                    + ", synced within "
                    + formatNanos(ledgerConfig.syncIntervalNanos())));
        }
        if (peersConfig != null) {
            output.add("exchanges datagrams with "
                    + (peersConfig.members().isEmpty() ? "the peers in the deployment's settings"
                    : (peersConfig.members().size() - 1) + " others")
                    + (peersConfig.secretFile() == null ? ", without a secret" : "") + "; evacuates up to "
                    + peersConfig.maxRegionsOut() + " regions of zones "
                    + String.join(", ", peersConfig.zones()) + ", for " + formatNanos(peersConfig.holdNanos()) + " to "
                    + formatNanos(peersConfig.maxHoldNanos()));
        }
        if (adminAddress != null) {
            output.add("metrics are served at " + adminAddress);
        }
        for (int i = 0; i < routes.size(); i++) {
            Route route = routes.get(i);
            RouteSettings terms = route.settings();
            Map<String, String> sourceByKey = sourcesByRoute.get(i);
            output.add(route + (route.pattern() == null ? "" : "  (class " + route.requestClass() + ")"));
            appendRow(output, "total", formatNanos(terms.totalTimeoutNanos()), sourceByKey);
            appendRow(output, "attempt_timeout", formatNanos(terms.attemptTimeoutNanos()), sourceByKey);
            appendRow(output, "attempts", String.valueOf(terms.maxAttempts()), sourceByKey);
            appendRow(output, "retry_on", String.join(", ", terms.retryOn().stream().sorted().map(OperatorFile::label).toList()),
                    sourceByKey);
            appendRow(output, "backoff", formatNanos(terms.baseBackoffNanos()) + ", up to "
                    + formatNanos(terms.maxBackoffNanos()), sourceByKey);
            appendRow(output, "retry_budget", formatBudget(terms.retryBudget()), sourceByKey);
            HedgeSettings hedge = terms.hedge();
            appendRow(output, "second_copy", hedge == null ? "none" : (hedge.percentile() > 0 ? "at percentile "
                    + hedge.percentile() + " of " + hedge.sampleCount() : "after " + formatNanos(hedge.delayNanos())) + ", "
                    + formatBudget(hedge.budget()), sourceByKey);
            appendRow(output, "retry_after", terms.retryAfterNanos() == 0 ? "none" : formatNanos(terms.retryAfterNanos()),
                    sourceByKey);
        }
        return String.join("\n", output);
    }

    private static String formatBudget(BudgetSettings budget) {
        return budget.requestFraction() + " of the requests and " + budget.minPerSecond() + " a second";
    }

    private static void appendRow(List<String> output, String key, String value, Map<String, String> sourceByKey) {
        output.add(String.format(Locale.ROOT, "  %-16s %-60s %s", key, value, sourceByKey.get(key)));
    }
}
