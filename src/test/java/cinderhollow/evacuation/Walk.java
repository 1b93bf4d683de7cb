package cinderhollow.evacuation;

import cinderhollow.evacuation.Sightings.Seen;
import cinderhollow.peers.Net;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Random walk of a fleet through faults. The events are drawn from a seed as a list, so that they can be replayed with some of
 * them left out. The invariants are checked after each change of a decision and every 50 ms.
 */
final class Walk {
    /** Event of a walk and its simulated time in nanoseconds. */
    record Happens(long at, What what, int who, int whom) {
        @Override
        public String toString() {
            return at / Net.MS + " ms " + what.name().toLowerCase(java.util.Locale.ROOT) + " " + who + " " + whom;
        }
    }

    enum What { KILL, START, SLEEP, CUT, CUT_ONE_WAY, HEAL, LOSS, DOUBLES, DEAD_ZONE, HALF_ZONE, SLOW_ZONE, WELL, CLOCK }

    static final int SIZE = 12;
    private static final long STEP = 50 * Net.MS, CALM = 4 * Net.SECOND, HEALS = 45 * Net.SECOND;
    private static final What[] ALL = What.values();
    private static final Pattern CHANGE = Pattern.compile(
            "zone=(\\w) seen-from=(\\w) phase=(\\w+) weight=([\\d.]+) epoch=(\\d+) by=(\\d+) flaps=(\\d+) .*");
    /** Tolerated excess of the rates: they are some seconds old, and each gateway gets at least a quarter of the mean part. */
    private static final double MOST_BEARS = 4;

    private final World world;
    private final Map<String, String> decided = new HashMap<>();
    private final Map<String, Long> newest = new HashMap<>();
    private final boolean[][] cut = new boolean[World.ZONES.size()][World.ZONES.size()];
    private final String[] fates = {"", "", ""};
    private String breach;

    private Walk(long seed, World.Maker maker) {
        world = new World(SIZE, seed, (terms, rules, roster, itsSeed, life, host) -> {
            Watched made = (Watched) maker.make(terms, rules, roster, itsSeed, life, host);
            made.watch = (decider, course) -> decides(roster.self(), decider);
            return made;
        });
        world.rate = 20;
        BiPredicate<Integer, Integer> open = (from, to) -> !cut[world.zoneOf(from)][world.zoneOf(to)];
        world.net.open = open;
        world.watch = (gateway, line) -> {
            Matcher m = CHANGE.matcher(line);
            if (m.matches()) {
                changed(gateway, m);
            }
        };
        world.fate = (gateway, zone, host) -> fate(gateway, zone, host);
    }

    private Seen fate(int gateway, int zone, int host) {
        if (cut[world.zoneOf(gateway)][zone] || cut[zone][world.zoneOf(gateway)]) {
            return null;
        }
        return switch (fates[zone]) {
            case "dead" -> null;
            case "half" -> host % 2 == 0 ? Seen.BAD : Seen.GOOD;
            case "slow" -> Seen.LATE;
            default -> Seen.GOOD;
        };
    }

    /** Returns the events of a walk of this many seconds, drawn from the seed. */
    static List<Happens> drawn(long seed, int seconds) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Happens> all = new ArrayList<>();
        for (long at = CALM; at < CALM + seconds * Net.SECOND; at += random.nextLong(20 * Net.MS, 900 * Net.MS)) {
            What what = ALL[random.nextInt(ALL.length)];
            boolean ofZone = what != What.KILL && what != What.START && what != What.SLEEP && what != What.CLOCK;
            all.add(new Happens(at, what, random.nextInt(ofZone ? 3 : SIZE), random.nextInt(3)));
        }
        return all;
    }

    /** Runs the events and returns the broken invariant, or null; adds the number of steps to the first of {@code steps}. */
    static String play(long seed, List<Happens> all, World.Maker maker, long[] steps) {
        Walk walk = new Walk(seed, maker);
        long begin = walk.world.net.now;
        for (Happens next : all) {
            walk.goOn(begin + next.at);
            walk.happens(next);
        }
        walk.goOn(walk.world.net.now + Net.SECOND);
        walk.heal();
        long end = walk.world.net.now + HEALS;
        while (walk.breach == null && walk.world.net.now < end && !walk.world.allUsual()) {
            walk.goOn(walk.world.net.now + STEP);
        }
        if (walk.breach == null && !walk.world.allUsual()) {
            walk.breach = "not all weights are full " + HEALS / Net.SECOND + " s after all faults have ended";
        }
        steps[0] += walk.world.net.steps;
        return walk.breach;
    }

    /** Returns the shortest failing list of events that is found within this number of replays. */
    static List<Happens> shortest(long seed, List<Happens> all, World.Maker maker, int plays) {
        String play = play(seed, all, maker, new long[1]);
        List<Happens> least = new ArrayList<>(all);
        int left = plays;
        for (int part = Math.max(1, least.size() / 2); left > 0; part = part == 1 ? 0 : part / 2) {
            if (part == 0) {
                break;
            }
            for (int from = 0; from + part <= least.size() && left > 0;) {
                List<Happens> without = new ArrayList<>(least);
                without.subList(from, from + part).clear();
                left--;
                if (alike(play(seed, without, maker, new long[1]), play)) {
                    least = without;
                } else {
                    from += part;
                }
            }
        }
        return least;
    }

    /** Returns whether the same invariant broke, regardless of time and gateway. */
    private static boolean alike(String one, String other) {
        return one != null && one.replaceAll("[0-9]+", "").equals(other.replaceAll("[0-9]+", ""));
    }

    private void goOn(long to) {
        while (breach == null && world.net.now < to) {
            world.net.run(Math.min(STEP, to - world.net.now));
            look();
        }
    }

    private void happens(Happens h) {
        Net.Place place = world.net.places.get(Math.min(h.who, SIZE - 1));
        switch (h.what) {
            case KILL -> {
                place.kill();
                world.bears[place.number] = 0;
            }
            case START -> {
                place.kill();
                forgets(place.number);
                place.start();
            }
            case SLEEP -> place.pausedUntil = world.net.now + (1 + h.whom) * Net.SECOND;
            case CUT -> {
                cut[h.who][h.whom] = h.who != h.whom;
                cut[h.whom][h.who] = h.who != h.whom;
            }
            case CUT_ONE_WAY -> cut[h.who][h.whom] = h.who != h.whom;
            case HEAL -> {
                for (boolean[] row : cut) {
                    java.util.Arrays.fill(row, false);
                }
            }
            case LOSS -> world.net.loss = 0.1 * h.whom;
            case DOUBLES -> world.net.repeats = 0.1 * h.whom;
            case DEAD_ZONE -> fates[h.who] = "dead";
            case HALF_ZONE -> fates[h.who] = "half";
            case SLOW_ZONE -> fates[h.who] = "slow";
            case WELL -> fates[h.who] = "";
            case CLOCK -> place.clockAhead = (h.whom - 1) * 3_600_000L;
        }
    }

    private void heal() {
        for (boolean[] row : cut) {
            java.util.Arrays.fill(row, false);
        }
        java.util.Arrays.fill(fates, "");
        world.net.loss = 0;
        for (Net.Place place : world.net.places) {
            place.clockAhead = 0;
            place.kill();
            forgets(place.number);
            place.start();
        }
    }

    private void forgets(int gateway) {
        newest.keySet().removeIf(key -> key.startsWith(gateway + " "));
    }

    private void broke(String what) {
        breach = breach == null ? world.net.now / Net.MS + " ms: " + what : breach;
    }

    private void look() {
        if (world.tooManyOut > 0) {
            broke("more zones left at once than the maximum");
        }
        double sum = 0;
        for (int g = 0; g < SIZE; g++) {
            sum += world.gateways[g] == null ? 0 : world.bears[g];
        }
        double ofOne = SIZE * world.rate / (World.ZONES.size() * 15);
        if (sum > MOST_BEARS * ofOne) {
            broke("together they send " + Math.round(sum) + " requests per second to a cold server, though a warm one can take " + Math.round(ofOne));
        }
    }

    private void changed(int gateway, Matcher m) {
        String course = m.group(1) + m.group(2);
        long version = Long.parseLong(m.group(5)) << 16 | Integer.parseInt(m.group(6));
        String what = m.group(3) + " " + m.group(4);
        String before = decided.putIfAbsent(course + " " + version, what);
        if (before != null && !before.equals(what)) {
            broke("two decisions of one epoch on " + course + ": " + before + ", " + what + " (" + m.group(5) + " by " + m.group(6) + ")");
        }
        Long had = newest.put(gateway + " " + course, version);
        if (had != null && had > version) {
            broke("gateway " + gateway + " adopted an old epoch on " + course);
        }
    }

    private void decides(int gateway, Evacuation decider) {
        if (2 * decider.livingOf(world.zoneOf(gateway)) <= SIZE / World.ZONES.size()) {
            broke("gateway " + gateway + " decides though it takes at most half of its vantage for alive");
        }
    }
}
