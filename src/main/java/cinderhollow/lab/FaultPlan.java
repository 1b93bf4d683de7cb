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
    private static final long IN_THE_MIDDLE = 500, KILLED_FOR = 500, ASLEEP_FOR = 5_000;
    /** For {@link #overlapping}, in milliseconds: the longest pause of a gateway, and the time that a restart takes. */
    private static final long LONGEST_PAUSE = 900, RESTART = 2_500;
    /** For {@link #overlapping}: one disturbance in this many ends the gateway's process, and one end in this many is a kill. */
    private static final int ENDS_ONE_IN = 3;
    /**
     * In milliseconds: the earliest time after SIGTERM at which the platform may kill a process, and the longest pause that any
     * process has to tolerate at any time, including its shutdown.
     */
    private static final long KILL = 3_700, HELD_UP = 150;
    /** Signals round a gateway's shutdown come from this many milliseconds before SIGTERM until the kill. */
    private static final long SIGNALS_BEFORE = 600;
    private static final int MOST_SIGNALS = 4;
    private static final List<Kind> NODE_KINDS = List.of(Kind.CRASH, Kind.DRAIN, Kind.SILENT, Kind.VANISH, Kind.SLOW, Kind.ERRORS,
            Kind.SPOILT, Kind.SURPLUS, Kind.RESET_BEFORE, Kind.RESET_AFTER);
    private static final List<Kind> SIGNALS = List.of(Kind.HANG_UP_GATEWAY, Kind.STOP_AGAIN, Kind.PAUSE_GATEWAY);
    private static final long CROWD_STREAM = 0x63726f7764L;
    private static final int WORDS = 8, AT = 1, KIND = 2, WHO = 3, FOR = 5, SIZE = 7;

    /** Creates a plan; the faults are sorted by time. */
    public FaultPlan {
        faults = faults.stream().sorted(Comparator.comparingLong(Fault::atMillis)).toList();
    }

    /** Returns a plan without faults. */
    public static FaultPlan calm() {
        return new FaultPlan(List.of());
    }

    /**
     * Parses a plan for a fleet of this size.
     *
     * @throws IllegalArgumentException if lines can't be parsed or name a target that does not exist; the message lists them all
     */
    public static FaultPlan parse(String text, int nodes, int gateways) {
        List<Fault> faults = new ArrayList<>();
        List<String> wrong = new ArrayList<>();
        String[] lines = text.split("\n", -1);
        for (int i = 0; i < lines.length; i++) {
            String line = lines[i].strip();
            if (!line.isEmpty() && !line.startsWith("#")) {
                try {
                    faults.add(fault(line, nodes, gateways));
                } catch (IllegalArgumentException e) {
                    wrong.add("line " + (i + 1) + ": " + e.getMessage());
                }
            }
        }
        if (!wrong.isEmpty()) {
            throw new IllegalArgumentException("invalid fault plan: " + String.join("; ", wrong));
        }
        return new FaultPlan(faults);
    }

    private static Fault fault(String line, int nodes, int gateways) {
        String[] words = line.split("\\s+");
        if (words.length != WORDS || !words[0].equals("at") || !words[FOR - 1].equals("for")
                || !words[SIZE - 1].equals("size")) {
            throw new IllegalArgumentException("expected the form 'at 3000ms crash node-2 for 4000ms size 1'");
        }
        Kind kind = kind(words[KIND]);
        return new Fault(millis(words[AT]), kind, who(words[WHO], kind, nodes, gateways), millis(words[FOR]),
                number(words[SIZE]));
    }

    private static Kind kind(String word) {
        for (Kind kind : Kind.values()) {
            if (kind.word().equals(word)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("no such fault: '" + word + "'");
    }

    private static int who(String word, Kind kind, int nodes, int gateways) {
        if (kind.target() == Target.DISCOVERY) {
            if (!word.equals("discovery")) {
                throw new IllegalArgumentException(kind.word() + " applies to discovery, not to '" + word + "'");
            }
            return Fault.EVERYONE;
        }
        if (kind.target() == Target.ZONE) {
            if (!FleetConfig.ZONES.contains(word)) {
                throw new IllegalArgumentException(kind.word() + " applies to one of " + FleetConfig.ZONES + ", not to '" + word + "'");
            }
            return FleetConfig.ZONES.indexOf(word);
        }
        boolean node = kind.target() == Target.NODE;
        int number = Names.number(word, node);
        if (number < 0 || number >= (node ? nodes : gateways)) {
            throw new IllegalArgumentException(kind.word() + " applies to one of "
                    + (node ? Names.node(0) : Names.gateway(0)) + " to "
                    + (node ? Names.node(nodes - 1) : Names.gateway(gateways - 1)) + ", not to '" + word + "'");
        }
        return number;
    }

    private static long millis(String word) {
        if (!word.endsWith("ms")) {
            throw new IllegalArgumentException("expected a time in ms, got '" + word + "'");
        }
        double value = number(word.substring(0, word.length() - 2));
        if (!(value >= 0 && value <= 1e9)) {
            throw new IllegalArgumentException("time out of range: '" + word + "'");
        }
        return Math.round(value);
    }

    private static double number(String word) {
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
        List<Integer> who = shuffled(random, nodes);
        long day = seconds * 1000;
        List<Fault> faults = new ArrayList<>();
        faults.add(new Fault(part(random, day, 0.10, 0.15), Kind.CRASH, who.get(0), part(random, day, 0.20, 0.25), 1));
        faults.add(new Fault(part(random, day, 0.20, 0.25), Kind.DRAIN, who.get(1 % nodes),
                part(random, day, 0.20, 0.30), 1));
        faults.add(new Fault(part(random, day, 0.50, 0.60), Kind.ERRORS, who.get(2 % nodes),
                part(random, day, 0.15, 0.25), 0.9));
        return new FaultPlan(faults);
    }

    /**
     * Returns a plan with a fault of one zone, which begins 9.5 to 10.5 seconds after the start, when processes are warm. In the
     * middle of the decision to leave the zone some gateways are killed; others are paused from before it until long after.
     *
     * @throws IllegalArgumentException if there are fewer gateways than are to be killed and paused, or the kind is unknown
     */
    public static FaultPlan zoneFault(long seed, String word, long seconds, double size, int gateways, int killed, int asleep) {
        if (killed < 0 || asleep < 0 || killed + asleep > gateways) {
            throw new IllegalArgumentException("of " + gateways + " gateways, " + killed + " can't be killed and " + asleep
                    + " paused");
        }
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> faults = new ArrayList<>();
        long at = random.nextLong(9_500, 10_500);
        faults.add(new Fault(at, kind(word), random.nextInt(FleetConfig.ZONES.size()), seconds * 1000, size));
        List<Integer> who = shuffled(random, gateways);
        for (int i = 0; i < killed; i++) {
            faults.add(new Fault(at + IN_THE_MIDDLE + random.nextLong(IN_THE_MIDDLE), Kind.KILL_GATEWAY, who.get(i), KILLED_FOR, 1));
        }
        for (int i = killed; i < killed + asleep; i++) {
            faults.add(new Fault(at - IN_THE_MIDDLE, Kind.PAUSE_GATEWAY, who.get(i), ASLEEP_FOR, 1));
        }
        return new FaultPlan(faults);
    }

    /**
     * Returns a long plan of faults of these kinds. A target has one fault at a time, and faults affect at most a quarter of the
     * nodes, but at least one, and at most one gateway at a time.
     */
    public static FaultPlan draw(long seed, long seconds, int nodes, int gateways, List<String> kinds) {
        List<Kind> drawn = kinds.stream().map(FaultPlan::kind).toList();
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> faults = new ArrayList<>();
        long end = seconds * 1000;
        for (long at = 1000; at < end - 2000; at += random.nextLong(800, 3000)) {
            Kind kind = drawn.get(random.nextInt(drawn.size()));
            Fault fault = new Fault(at, kind, who(random, kind, nodes, gateways), random.nextLong(1500, 6000),
                    size(random, kind));
            if (fits(fault, faults, nodes, gateways)) {
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
        long end = seconds * 1000;
        for (int i = 0; i < gateways; i++) {
            for (long at = random.nextLong(500, 2_500); at < end - 1_500; at += random.nextLong(1_200, 4_000)) {
                if (random.nextInt(ENDS_ONE_IN) > 0) {
                    long length = random.nextLong(100, LONGEST_PAUSE);
                    faults.add(new Fault(at, Kind.PAUSE_GATEWAY, i, length, 1));
                    at += length;
                } else if (random.nextInt(ENDS_ONE_IN) == 0) {
                    long length = random.nextLong(300, 1_500);
                    faults.add(new Fault(at, Kind.KILL_GATEWAY, i, length, 1));
                    at += length + RESTART;
                } else {
                    faults.add(new Fault(at, Kind.STOP_GATEWAY, i, random.nextLong(300, 1_500), 1));
                    signals(random, at, i, faults);
                    at += KILL + RESTART;
                }
            }
        }
        for (int i = 0; i < nodes; i += 2) {
            for (long at = random.nextLong(500, 4_000); at < end - 1_500; at += random.nextLong(800, 4_000)) {
                Kind kind = NODE_KINDS.get(random.nextInt(NODE_KINDS.size()));
                long length = random.nextLong(500, 4_000);
                faults.add(new Fault(at, kind, i + random.nextInt(Math.min(2, nodes - i)), length, size(random, kind)));
                at += length + RESTART;
            }
        }
        faults.add(new Fault(random.nextLong(1_000, end / 2), Kind.DISCOVERY_DOWN, Fault.EVERYONE, random.nextLong(500, 3_000), 1));
        faults.add(new Fault(random.nextLong(end / 2, end - 1_000), Kind.DISCOVERY_MOVE, Fault.EVERYONE, 1, 1));
        for (long at = random.nextLong(500, 2_000); at < end - 4_000; at += random.nextLong(500, 3_000)) {
            faults.add(new Fault(at, Kind.RUDE, random.nextInt(gateways), 500, size(random, Kind.RUDE)));
        }
        return new FaultPlan(faults);
    }

    /** Adds signals round a gateway's shutdown in any order: SIGHUP, another SIGTERM, and pauses as on a busy machine. */
    private static void signals(SplittableRandom random, long stop, int gateway, List<Fault> faults) {
        for (int left = random.nextInt(MOST_SIGNALS + 1); left > 0; left--) {
            long at = Math.max(0, stop + random.nextLong(-SIGNALS_BEFORE, KILL));
            Kind kind = SIGNALS.get(random.nextInt(SIGNALS.size()));
            faults.add(new Fault(at, kind, gateway, kind == Kind.PAUSE_GATEWAY ? random.nextLong(20, HELD_UP) : 1, 1));
        }
    }

    /** Returns this plan with crowds of silent clients at random gateways, each of half to all of the maximum size. */
    public FaultPlan withCrowds(long seed, long seconds, int gateways, int most) {
        SplittableRandom random = new SplittableRandom(seed ^ CROWD_STREAM);
        List<Fault> all = new ArrayList<>(faults);
        for (long at = random.nextLong(500, 2_000); at < seconds * 1000 - 2_000; at += random.nextLong(1_000, 3_000)) {
            all.add(new Fault(at, Kind.CROWD, random.nextInt(gateways), random.nextLong(1_000, 4_000),
                    random.nextInt(most / 2, most + 1)));
        }
        return new FaultPlan(all);
    }

    private static int who(SplittableRandom random, Kind kind, int nodes, int gateways) {
        return switch (kind.target()) {
            case NODE -> random.nextInt(nodes);
            case GATEWAY -> random.nextInt(gateways);
            case DISCOVERY -> Fault.EVERYONE;
            case ZONE -> random.nextInt(FleetConfig.ZONES.size());
        };
    }

    private static double size(SplittableRandom random, Kind kind) {
        double drawn = Math.round(random.nextDouble(0.3, 1) * 100) / 100.0;
        return switch (kind) {
            case SLOW -> Math.round(drawn * 8);
            case RUDE -> Math.round(drawn * 40);
            case CROWD -> Math.round(drawn * 100);
            default -> drawn;
        };
    }

    /** Returns whether the fault may be added: its target is free, and not too many others have a fault. */
    private static boolean fits(Fault fault, List<Fault> others, int nodes, int gateways) {
        Target target = fault.kind().target();
        List<Fault> together = others.stream().filter(o -> o.kind().target() == target
                && o.atMillis() + o.forMillis() + (target == Target.NODE ? 500 : 4000) > fault.atMillis()).toList();
        boolean same = together.stream().anyMatch(o -> o.who() == fault.who());
        long most = target == Target.NODE ? Math.max(1, nodes / 4) : 1;
        boolean lone = target == Target.GATEWAY && gateways == 1 && fault.kind() != Kind.RUDE;
        return !same && together.size() < most && !lone;
    }

    private static long part(SplittableRandom random, long whole, double from, double to) {
        return Math.max(1, Math.round(whole * random.nextDouble(from, to)));
    }

    private static List<Integer> shuffled(SplittableRandom random, int count) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(random.nextInt(all.size() + 1), i);
        }
        return all;
    }

    /** Returns the plan as lines that {@link #parse} can read. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        faults.forEach(fault -> text.append(fault).append('\n'));
        return text.toString().toLowerCase(Locale.ROOT);
    }
}
