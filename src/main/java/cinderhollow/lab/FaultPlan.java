package cinderhollow.lab;

import cinderhollow.lab.Fault.Kind;
import cinderhollow.lab.Fault.Target;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * The faults of a run and their times. A plan is written by hand, one line for each fault, or drawn from a seed; the same seed
 * gives the same plan. Lines that begin with {@code #} are comments.
 *
 * <pre>{@code
 * # a comment
 * at 3000ms crash node-2 for 4000ms size 1
 * }</pre>
 */
public record FaultPlan(List<Fault> faults) {
    /** In milliseconds. A decision to leave a zone takes about a second, so that half a second is in the middle of it. */
    private static final long MID_DECISION_MILLIS = 500, KILL_DURATION_MILLIS = 500, PAUSE_DURATION_MILLIS = 5_000;
    /** For {@link #overlapping}, in milliseconds: the longest pause of a gateway, and the time that a restart takes. */
    private static final long MAX_PAUSE_MILLIS = 900, RESTART_MILLIS = 2_500;
    /** For {@link #overlapping}: one disturbance in this many ends the gateway's process, and one end in this many is a kill. */
    private static final int DISTURBANCES_PER_END = 3;
    /**
     * In milliseconds: the earliest time after SIGTERM at which the platform may kill a process, and the longest pause that any
     * process has to tolerate at any time, including its shutdown.
     */
    private static final long KILL_AFTER_SIGTERM_MILLIS = 3_700, MAX_SHUTDOWN_PAUSE_MILLIS = 150;
    /** Signals round a gateway's shutdown come from this many milliseconds before SIGTERM until the kill. */
    private static final long SIGNALS_LEAD_MILLIS = 600;
    private static final int MAX_SIGNALS = 4;
    private static final List<Kind> NODE_KINDS = List.of(Kind.CRASH, Kind.DRAIN, Kind.SILENT, Kind.VANISH, Kind.SLOW, Kind.ERRORS,
            Kind.SPOILT, Kind.SURPLUS, Kind.RESET_BEFORE, Kind.RESET_AFTER);
    private static final List<Kind> SIGNAL_KINDS = List.of(Kind.HANG_UP_GATEWAY, Kind.STOP_AGAIN, Kind.PAUSE_GATEWAY);
    private static final long CROWD_SEED_MASK = 0x63726f7764L;
    private static final int WORDS_PER_LINE = 8, START_INDEX = 1, KIND_INDEX = 2, TARGET_INDEX = 3, DURATION_INDEX = 5,
            SIZE_INDEX = 7;

    /** Creates a plan; the faults are sorted by time. */
    public FaultPlan {
        faults = faults.stream().sorted(Comparator.comparingLong(Fault::atMillis)).toList();
    }

    /** Returns a plan without faults. */
    public static FaultPlan empty() {
        return new FaultPlan(List.of());
    }

    /**
     * Parses a plan for a fleet of this size.
     *
     * @throws IllegalArgumentException if lines can't be parsed or name a target that does not exist; the message lists them all
     */
    public static FaultPlan parse(String text, int nodes, int gateways) {
        List<Fault> faults = new ArrayList<>();
        List<String> errors = new ArrayList<>();
        String[] lines = text.split("\n", -1);
        for (int i = 0; i < lines.length; i++) {
            String line = lines[i].strip();
            if (!line.isEmpty() && !line.startsWith("#")) {
                try {
                    faults.add(parseFault(line, nodes, gateways));
                } catch (IllegalArgumentException e) {
                    errors.add("line " + (i + 1) + ": " + e.getMessage());
                }
            }
        }
        if (!errors.isEmpty()) {
            throw new IllegalArgumentException("invalid fault plan: " + String.join("; ", errors));
        }
        return new FaultPlan(faults);
    }

    private static Fault parseFault(String line, int nodes, int gateways) {
        String[] words = line.split("\\s+");
        if (words.length != WORDS_PER_LINE || !words[0].equals("at") || !words[DURATION_INDEX - 1].equals("for")
                || !words[SIZE_INDEX - 1].equals("size")) {
            throw new IllegalArgumentException("expected the form 'at 3000ms crash node-2 for 4000ms size 1'");
        }
        Kind kind = parseKind(words[KIND_INDEX]);
        return new Fault(parseMillis(words[START_INDEX]), kind, targetIndex(words[TARGET_INDEX], kind, nodes, gateways),
                parseMillis(words[DURATION_INDEX]),
                parseNumber(words[SIZE_INDEX]));
    }

    private static Kind parseKind(String word) {
        for (Kind kind : Kind.values()) {
            if (kind.keyword().equals(word)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("no such fault: '" + word + "'");
    }

    private static int targetIndex(String word, Kind kind, int nodes, int gateways) {
        if (kind.target() == Target.DISCOVERY) {
            if (!word.equals("discovery")) {
                throw new IllegalArgumentException(kind.keyword() + " applies to discovery, not to '" + word + "'");
            }
            return Fault.NO_TARGET;
        }
        if (kind.target() == Target.ZONE) {
            if (!FleetConfig.ZONES.contains(word)) {
                throw new IllegalArgumentException(kind.keyword() + " applies to one of " + FleetConfig.ZONES + ", not to '"
                        + word + "'");
            }
            return FleetConfig.ZONES.indexOf(word);
        }
        boolean node = kind.target() == Target.NODE;
        int number = LabNames.numberOf(word, node);
        if (number < 0 || number >= (node ? nodes : gateways)) {
            throw new IllegalArgumentException(kind.keyword() + " applies to one of "
                    + (node ? LabNames.nodeName(0) : LabNames.gatewayName(0)) + " to "
                    + (node ? LabNames.nodeName(nodes - 1) : LabNames.gatewayName(gateways - 1)) + ", not to '" + word + "'");
        }
        return number;
    }

    private static long parseMillis(String word) {
        if (!word.endsWith("ms")) {
            throw new IllegalArgumentException("expected a time in ms, got '" + word + "'");
        }
        double value = parseNumber(word.substring(0, word.length() - 2));
        if (!(value >= 0 && value <= 1e9)) {
            throw new IllegalArgumentException("time out of range: '" + word + "'");
        }
        return Math.round(value);
    }

    private static double parseNumber(String word) {
        try {
            return Double.parseDouble(word);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a number: '" + word + "'", e);
        }
    }

    /**
     * Returns the plan of the command {@code demo}: a crash with a cold restart, a drain and a period of errors, on nodes and at
     * times drawn from the seed.
     */
    public static FaultPlan demo(long seed, long seconds, int nodes) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Integer> targets = shuffled(random, nodes);
        long totalMillis = seconds * 1000;
        List<Fault> faults = new ArrayList<>();
        faults.add(new Fault(drawFraction(random, totalMillis, 0.10, 0.15), Kind.CRASH, targets.get(0),
                drawFraction(random, totalMillis, 0.20, 0.25), 1));
        faults.add(new Fault(drawFraction(random, totalMillis, 0.20, 0.25), Kind.DRAIN, targets.get(1 % nodes),
                drawFraction(random, totalMillis, 0.20, 0.30), 1));
        faults.add(new Fault(drawFraction(random, totalMillis, 0.50, 0.60), Kind.ERRORS, targets.get(2 % nodes),
                drawFraction(random, totalMillis, 0.15, 0.25), 0.9));
        return new FaultPlan(faults);
    }

    /**
     * Returns a plan with a fault of one zone, which begins 9.5 to 10.5 seconds after the start, when processes are warm. In the
     * middle of the decision to leave the zone some gateways are killed; others are paused from before it until long after.
     *
     * @throws IllegalArgumentException if there are fewer gateways than are to be killed and paused, or the kind is unknown
     */
    public static FaultPlan zoneFault(long seed, String keyword, long seconds, double size, int gateways, int killedGateways,
            int pausedGateways) {
        if (killedGateways < 0 || pausedGateways < 0 || killedGateways + pausedGateways > gateways) {
            throw new IllegalArgumentException("of " + gateways + " gateways, " + killedGateways + " can't be killed and "
                    + pausedGateways
                    + " paused");
        }
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> faults = new ArrayList<>();
        long startMillis = random.nextLong(9_500, 10_500);
        faults.add(new Fault(startMillis, parseKind(keyword), random.nextInt(FleetConfig.ZONES.size()), seconds * 1000, size));
        List<Integer> targets = shuffled(random, gateways);
        for (int i = 0; i < killedGateways; i++) {
            faults.add(new Fault(startMillis + MID_DECISION_MILLIS + random.nextLong(MID_DECISION_MILLIS), Kind.KILL_GATEWAY,
                    targets.get(i), KILL_DURATION_MILLIS, 1));
        }
        for (int i = killedGateways; i < killedGateways + pausedGateways; i++) {
            faults.add(new Fault(startMillis - MID_DECISION_MILLIS, Kind.PAUSE_GATEWAY, targets.get(i), PAUSE_DURATION_MILLIS,
                    1));
        }
        return new FaultPlan(faults);
    }

    /**
     * Returns a long plan of faults of these kinds. A target has one fault at a time, and faults affect at most a quarter of the
     * nodes, but at least one, and at most one gateway at a time.
     */
    public static FaultPlan draw(long seed, long seconds, int nodes, int gateways, List<String> kinds) {
        List<Kind> allowedKinds = kinds.stream().map(FaultPlan::parseKind).toList();
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> faults = new ArrayList<>();
        long endMillis = seconds * 1000;
        for (long at = 1000; at < endMillis - 2000; at += random.nextLong(800, 3000)) {
            Kind kind = allowedKinds.get(random.nextInt(allowedKinds.size()));
            Fault fault = new Fault(at, kind, targetIndex(random, kind, nodes, gateways), random.nextLong(1500, 6000),
                    drawSize(random, kind));
            if (isAllowed(fault, faults, nodes, gateways)) {
                faults.add(fault);
            }
        }
        return new FaultPlan(faults);
    }

    /**
     * Returns a plan of overlapping faults. Each gateway is paused repeatedly, and sometimes killed, or terminated with a series
     * of signals round SIGTERM and the platform's kill after it. Up to half of the nodes have a fault of any kind at a time,
     * discovery fails and moves, and misbehaving clients connect.
     */
    public static FaultPlan overlapping(long seed, long seconds, int nodes, int gateways) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> faults = new ArrayList<>();
        long endMillis = seconds * 1000;
        for (int i = 0; i < gateways; i++) {
            for (long at = random.nextLong(500, 2_500); at < endMillis - 1_500; at += random.nextLong(1_200, 4_000)) {
                if (random.nextInt(DISTURBANCES_PER_END) > 0) {
                    long durationMillis = random.nextLong(100, MAX_PAUSE_MILLIS);
                    faults.add(new Fault(at, Kind.PAUSE_GATEWAY, i, durationMillis, 1));
                    at += durationMillis;
                } else if (random.nextInt(DISTURBANCES_PER_END) == 0) {
                    long durationMillis = random.nextLong(300, 1_500);
                    faults.add(new Fault(at, Kind.KILL_GATEWAY, i, durationMillis, 1));
                    at += durationMillis + RESTART_MILLIS;
                } else {
                    faults.add(new Fault(at, Kind.STOP_GATEWAY, i, random.nextLong(300, 1_500), 1));
                    addSignals(random, at, i, faults);
                    at += KILL_AFTER_SIGTERM_MILLIS + RESTART_MILLIS;
                }
            }
        }
        for (int i = 0; i < nodes; i += 2) {
            for (long at = random.nextLong(500, 4_000); at < endMillis - 1_500; at += random.nextLong(800, 4_000)) {
                Kind kind = NODE_KINDS.get(random.nextInt(NODE_KINDS.size()));
                long durationMillis = random.nextLong(500, 4_000);
                faults.add(new Fault(at, kind, i + random.nextInt(Math.min(2, nodes - i)), durationMillis,
                        drawSize(random, kind)));
                at += durationMillis + RESTART_MILLIS;
            }
        }
        faults.add(new Fault(random.nextLong(1_000, endMillis / 2), Kind.DISCOVERY_DOWN, Fault.NO_TARGET,
                random.nextLong(500, 3_000), 1));
        faults.add(new Fault(random.nextLong(endMillis / 2, endMillis - 1_000), Kind.DISCOVERY_MOVE, Fault.NO_TARGET, 1, 1));
        for (long at = random.nextLong(500, 2_000); at < endMillis - 4_000; at += random.nextLong(500, 3_000)) {
            faults.add(new Fault(at, Kind.RUDE, random.nextInt(gateways), 500, drawSize(random, Kind.RUDE)));
        }
        return new FaultPlan(faults);
    }

    /** Adds signals round a gateway's shutdown in any order: SIGHUP, another SIGTERM, and pauses as on a busy machine. */
    private static void addSignals(SplittableRandom random, long stopAtMillis, int gateway, List<Fault> faults) {
        for (int remaining = random.nextInt(MAX_SIGNALS + 1); remaining > 0; remaining--) {
            long at = Math.max(0, stopAtMillis + random.nextLong(-SIGNALS_LEAD_MILLIS, KILL_AFTER_SIGTERM_MILLIS));
            Kind kind = SIGNAL_KINDS.get(random.nextInt(SIGNAL_KINDS.size()));
            faults.add(new Fault(at, kind, gateway, kind == Kind.PAUSE_GATEWAY ? random.nextLong(20, MAX_SHUTDOWN_PAUSE_MILLIS)
                    : 1, 1));
        }
    }

    /** Returns this plan with crowds of silent clients at random gateways, each of half to all of the maximum size. */
    public FaultPlan withCrowds(long seed, long seconds, int gateways, int maxSize) {
        SplittableRandom random = new SplittableRandom(seed ^ CROWD_SEED_MASK);
        List<Fault> combined = new ArrayList<>(faults);
        for (long at = random.nextLong(500, 2_000); at < seconds * 1000 - 2_000; at += random.nextLong(1_000, 3_000)) {
            combined.add(new Fault(at, Kind.CROWD, random.nextInt(gateways), random.nextLong(1_000, 4_000),
                    random.nextInt(maxSize / 2, maxSize + 1)));
        }
        return new FaultPlan(combined);
    }

    private static int targetIndex(SplittableRandom random, Kind kind, int nodes, int gateways) {
        return switch (kind.target()) {
            case NODE -> random.nextInt(nodes);
            case GATEWAY -> random.nextInt(gateways);
            case DISCOVERY -> Fault.NO_TARGET;
            case ZONE -> random.nextInt(FleetConfig.ZONES.size());
        };
    }

    private static double drawSize(SplittableRandom random, Kind kind) {
        double drawn = Math.round(random.nextDouble(0.3, 1) * 100) / 100.0;
        return switch (kind) {
            case SLOW -> Math.round(drawn * 8);
            case RUDE -> Math.round(drawn * 40);
            case CROWD -> Math.round(drawn * 100);
            default -> drawn;
        };
    }

    /** Returns whether the fault may be added: its target is free, and not too many others have a fault. */
    private static boolean isAllowed(Fault fault, List<Fault> others, int nodes, int gateways) {
        Target target = fault.kind().target();
        List<Fault> concurrent = others.stream().filter(o -> o.kind().target() == target
                && o.atMillis() + o.durationMillis() + (target == Target.NODE ? 500 : 4000) > fault.atMillis()).toList();
        boolean sameTarget = concurrent.stream().anyMatch(o -> o.targetIndex() == fault.targetIndex());
        long maxConcurrent = target == Target.NODE ? Math.max(1, nodes / 4) : 1;
        boolean onlyGateway = target == Target.GATEWAY && gateways == 1 && fault.kind() != Kind.RUDE;
        return !sameTarget && concurrent.size() < maxConcurrent && !onlyGateway;
    }

    private static long drawFraction(SplittableRandom random, long totalMillis, double from, double to) {
        return Math.max(1, Math.round(totalMillis * random.nextDouble(from, to)));
    }

    private static List<Integer> shuffled(SplittableRandom random, int count) {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            order.add(random.nextInt(order.size() + 1), i);
        }
        return order;
    }

    /** Returns the plan as lines that {@link #parse} can read. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        faults.forEach(fault -> text.append(fault).append('\n'));
        return text.toString().toLowerCase(Locale.ROOT);
    }
}
