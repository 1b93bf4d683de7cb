package cinderhollow.evacuation;

import cinderhollow.evacuation.AttemptWindow.ZoneSignal;
import cinderhollow.peers.SimulatedNetwork;
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
final class RandomWalk {
    /** Event of a walk and its simulated time in nanoseconds. */
    record Event(long atNanos, EventType type, int target, int argument) {
        @Override
        public String toString() {
            return atNanos / SimulatedNetwork.MS + " ms " + type.name().toLowerCase(java.util.Locale.ROOT) + " " + target + " "
                    + argument;
        }
    }

    enum EventType { KILL, START, PAUSE, PARTITION, ONE_WAY_PARTITION, HEAL_PARTITIONS, DATAGRAM_LOSS, DATAGRAM_DUPLICATION,
            DEAD_ZONE, HALF_FAILING_ZONE, SLOW_ZONE, HEALTHY_ZONE, CLOCK_SHIFT }

    static final int GATEWAY_COUNT = 12;
    private static final long STEP_NANOS = 50 * SimulatedNetwork.MS, SETTLE_NANOS = 4 * SimulatedNetwork.SECOND,
            RECOVERY_NANOS = 45 * SimulatedNetwork.SECOND;
    private static final EventType[] EVENT_TYPES = EventType.values();
    private static final Pattern DECISION_LINE = Pattern.compile(
            "zone=(\\w) seen-from=(\\w) phase=(\\w+) weight=([\\d.]+) epoch=(\\d+) by=(\\d+) flaps=(\\d+) .*");
    /** Tolerated excess of the rates: they are some seconds old, and each gateway gets at least a quarter of the mean part. */
    private static final double MAX_RATE_FACTOR = 4;

    private final SimulatedFleet fleet;
    private final Map<String, String> decisionByVersion = new HashMap<>();
    private final Map<String, Long> newestVersions = new HashMap<>();
    private final boolean[][] partitioned = new boolean[SimulatedFleet.ZONES.size()][SimulatedFleet.ZONES.size()];
    private final String[] zoneFaults = {"", "", ""};
    private String breach;

    private RandomWalk(long seed, SimulatedFleet.GatewayFactory maker) {
        fleet = new SimulatedFleet(GATEWAY_COUNT, seed, (terms, rules, roster, itsSeed, generationMillis, host) -> {
            ObservedEvacuation made = (ObservedEvacuation) maker.make(terms, rules, roster, itsSeed, generationMillis, host);
            made.decisionListener = (decider, course) -> checkMajority(roster.self(), decider);
            return made;
        });
        fleet.requestsPerSecond = 20;
        BiPredicate<Integer, Integer> open = (from, to) -> !partitioned[fleet.zoneOf(from)][fleet.zoneOf(to)];
        fleet.net.canDeliver = open;
        fleet.logListener = (gateway, line) -> {
            Matcher m = DECISION_LINE.matcher(line);
            if (m.matches()) {
                checkDecision(gateway, m);
            }
        };
        fleet.attemptModel = (gateway, zone, host) -> attemptSignal(gateway, zone, host);
    }

    private ZoneSignal attemptSignal(int gateway, int zone, int server) {
        if (partitioned[fleet.zoneOf(gateway)][zone] || partitioned[zone][fleet.zoneOf(gateway)]) {
            return null;
        }
        return switch (zoneFaults[zone]) {
            case "dead" -> null;
            case "half" -> server % 2 == 0 ? ZoneSignal.FAILED : ZoneSignal.GOOD;
            case "slow" -> ZoneSignal.LATE;
            default -> ZoneSignal.GOOD;
        };
    }

    /** Returns the events of a walk of this many seconds, drawn from the seed. */
    static List<Event> drawEvents(long seed, int seconds) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Event> events = new ArrayList<>();
        for (long at = SETTLE_NANOS; at < SETTLE_NANOS
                + seconds * SimulatedNetwork.SECOND; at += random.nextLong(20 * SimulatedNetwork.MS, 900 * SimulatedNetwork.MS)) {
            EventType type = EVENT_TYPES[random.nextInt(EVENT_TYPES.length)];
            boolean ofZone = type != EventType.KILL && type != EventType.START && type != EventType.PAUSE
                    && type != EventType.CLOCK_SHIFT;
            events.add(new Event(at, type, random.nextInt(ofZone ? 3 : GATEWAY_COUNT), random.nextInt(3)));
        }
        return events;
    }

    /** Runs the events and returns the broken invariant, or null; adds the number of steps to the first of {@code steps}. */
    static String run(long seed, List<Event> events, SimulatedFleet.GatewayFactory maker, long[] steps) {
        RandomWalk walk = new RandomWalk(seed, maker);
        long begin = walk.fleet.net.now;
        for (Event next : events) {
            walk.runUntil(begin + next.atNanos);
            walk.apply(next);
        }
        walk.runUntil(walk.fleet.net.now + SimulatedNetwork.SECOND);
        walk.healAll();
        long end = walk.fleet.net.now + RECOVERY_NANOS;
        while (walk.breach == null && walk.fleet.net.now < end && !walk.fleet.areAllWeightsFull()) {
            walk.runUntil(walk.fleet.net.now + STEP_NANOS);
        }
        if (walk.breach == null && !walk.fleet.areAllWeightsFull()) {
            walk.breach = "not all weights are full " + RECOVERY_NANOS / SimulatedNetwork.SECOND
                    + " s after all faults have ended";
        }
        steps[0] += walk.fleet.net.steps;
        return walk.breach;
    }

    /** Returns the shortest failing list of events that is found within this number of replays. */
    static List<Event> shrink(long seed, List<Event> events, SimulatedFleet.GatewayFactory maker, int maxRuns) {
        String originalBreach = run(seed, events, maker, new long[1]);
        List<Event> shrunk = new ArrayList<>(events);
        int runsLeft = maxRuns;
        for (int chunk = Math.max(1, shrunk.size() / 2); runsLeft > 0; chunk = chunk == 1 ? 0 : chunk / 2) {
            if (chunk == 0) {
                break;
            }
            for (int from = 0; from + chunk <= shrunk.size() && runsLeft > 0;) {
                List<Event> without = new ArrayList<>(shrunk);
                without.subList(from, from + chunk).clear();
                runsLeft--;
                if (isSameBreach(run(seed, without, maker, new long[1]), originalBreach)) {
                    shrunk = without;
                } else {
                    from += chunk;
                }
            }
        }
        return shrunk;
    }

    /** Returns whether the same invariant broke, regardless of time and gateway. */
    private static boolean isSameBreach(String one, String other) {
        return one != null && one.replaceAll("[0-9]+", "").equals(other.replaceAll("[0-9]+", ""));
    }

    private void runUntil(long endNanos) {
        while (breach == null && fleet.net.now < endNanos) {
            fleet.net.runFor(Math.min(STEP_NANOS, endNanos - fleet.net.now));
            checkInvariants();
        }
    }

    private void apply(Event h) {
        SimulatedNetwork.MemberSlot slot = fleet.net.slots.get(Math.min(h.target, GATEWAY_COUNT - 1));
        switch (h.type) {
            case KILL -> {
                slot.kill();
                fleet.warmServerRates[slot.number] = 0;
            }
            case START -> {
                slot.kill();
                forgetVersions(slot.number);
                slot.start();
            }
            case PAUSE -> slot.pausedUntilNanos = fleet.net.now + (1 + h.argument) * SimulatedNetwork.SECOND;
            case PARTITION -> {
                partitioned[h.target][h.argument] = h.target != h.argument;
                partitioned[h.argument][h.target] = h.target != h.argument;
            }
            case ONE_WAY_PARTITION -> partitioned[h.target][h.argument] = h.target != h.argument;
            case HEAL_PARTITIONS -> {
                for (boolean[] row : partitioned) {
                    java.util.Arrays.fill(row, false);
                }
            }
            case DATAGRAM_LOSS -> fleet.net.lossRatio = 0.1 * h.argument;
            case DATAGRAM_DUPLICATION -> fleet.net.duplicateRatio = 0.1 * h.argument;
            case DEAD_ZONE -> zoneFaults[h.target] = "dead";
            case HALF_FAILING_ZONE -> zoneFaults[h.target] = "half";
            case SLOW_ZONE -> zoneFaults[h.target] = "slow";
            case HEALTHY_ZONE -> zoneFaults[h.target] = "";
            case CLOCK_SHIFT -> slot.clockAheadMillis = (h.argument - 1) * 3_600_000L;
        }
    }

    private void healAll() {
        for (boolean[] row : partitioned) {
            java.util.Arrays.fill(row, false);
        }
        java.util.Arrays.fill(zoneFaults, "");
        fleet.net.lossRatio = 0;
        for (SimulatedNetwork.MemberSlot slot : fleet.net.slots) {
            slot.clockAheadMillis = 0;
            slot.kill();
            forgetVersions(slot.number);
            slot.start();
        }
    }

    private void forgetVersions(int gateway) {
        newestVersions.keySet().removeIf(key -> key.startsWith(gateway + " "));
    }

    private void recordBreach(String description) {
        breach = breach == null ? fleet.net.now / SimulatedNetwork.MS + " ms: " + description : breach;
    }

    private void checkInvariants() {
        if (fleet.multiZoneEvacuations > 0) {
            recordBreach("more zones left at once than the maximum");
        }
        double sum = 0;
        for (int g = 0; g < GATEWAY_COUNT; g++) {
            sum += fleet.gateways[g] == null ? 0 : fleet.warmServerRates[g];
        }
        double ratePerServer = GATEWAY_COUNT * fleet.requestsPerSecond / (SimulatedFleet.ZONES.size() * 15);
        if (sum > MAX_RATE_FACTOR * ratePerServer) {
            recordBreach("together they send " + Math.round(sum)
                    + " requests per second to a cold server, though a warm one can take " + Math.round(ratePerServer));
        }
    }

    private void checkDecision(int gateway, Matcher m) {
        String zoneAndVantage = m.group(1) + m.group(2);
        long version = Long.parseLong(m.group(5)) << 16 | Integer.parseInt(m.group(6));
        String phaseAndWeight = m.group(3) + " " + m.group(4);
        String before = decisionByVersion.putIfAbsent(zoneAndVantage + " " + version, phaseAndWeight);
        if (before != null && !before.equals(phaseAndWeight)) {
            recordBreach("two decisions of one epoch on " + zoneAndVantage + ": " + before + ", " + phaseAndWeight + " ("
                    + m.group(5) + " by " + m.group(6) + ")");
        }
        Long previousVersion = newestVersions.put(gateway + " " + zoneAndVantage, version);
        if (previousVersion != null && previousVersion > version) {
            recordBreach("gateway " + gateway + " adopted an old epoch on " + zoneAndVantage);
        }
    }

    private void checkMajority(int gateway, Evacuation decider) {
        if (2 * decider.aliveCountOf(fleet.zoneOf(gateway)) <= GATEWAY_COUNT / SimulatedFleet.ZONES.size()) {
            recordBreach("gateway " + gateway + " decides though it takes at most half of its vantage for alive");
        }
    }
}
