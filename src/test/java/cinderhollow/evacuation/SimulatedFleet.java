package cinderhollow.evacuation;

import cinderhollow.evacuation.AttemptWindow.ZoneSignal;
import cinderhollow.peers.GossipSettings;
import cinderhollow.peers.Roster;
import cinderhollow.peers.SimulatedNetwork;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.Rules;
import cinderhollow.policy.Protocol.ServerInfo;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.IntPredicate;

/** Fleet of gateways in simulated time: a test defines how attempts end, and controls the network between the gateways. */
final class SimulatedFleet {
    /** Defines how an attempt of a gateway at a server of a zone ends; null if it never does. */
    interface AttemptModel {
        ZoneSignal of(int gateway, int zone, int server);
    }

    /** Creates the evacuation of a gateway, unchanged or with a planted fault. */
    interface GatewayFactory {
        Evacuation make(EvacuationSettings settings, Rules rules, Roster roster, long seed, long generationMillis,
                Evacuation.Callbacks callbacks);
    }

    static final List<String> ZONES = List.of("a", "b", "c");
    private static final int SERVERS_PER_ZONE = 15;
    private static final Rules RULES =
            new Rules(0, SimulatedNetwork.SECOND, 10 * SimulatedNetwork.SECOND, 0.3, 8 * SimulatedNetwork.SECOND, 2.5,
            1_500 * SimulatedNetwork.MS);
    private static final long TRAFFIC_INTERVAL_NANOS = 20 * SimulatedNetwork.MS, SILENCE_LIMIT_NANOS = 200 * SimulatedNetwork.MS;

    final SimulatedNetwork net;
    final Evacuation[] gateways;
    final List<String> log = new ArrayList<>();
    /** Notified of each log line when a gateway writes it. */
    BiConsumer<Integer, String> logListener = (gateway, line) -> { };
    /** Requests per second of each gateway. */
    double requestsPerSecond = 10;
    AttemptModel attemptModel = (gateway, zone, host) -> ZoneSignal.GOOD;
    /** Part of a gateway's attempts that goes to its own zone. */
    double ownZoneFraction = 0.7;
    /** Number of times that a gateway applied weights below one half for several zones at once. */
    int multiZoneEvacuations;
    /** Region of each zone; read when a gateway starts. */
    List<Integer> regionByZone = EvacuationSettings.oneRegionPerZone(ZONES.size());
    /** Rate that a warm server can take, as last set at each gateway; 0 if unknown. */
    final double[] warmServerRates;
    private final List<Map<String, Double>> appliedWeights;
    private final GatewayFactory factory;

    SimulatedFleet(int size, long seed) {
        this(size, seed, (terms, rules, roster, itsSeed, life, host) ->
                new Evacuation(terms, rules, roster, GossipSettings.DEFAULT, itsSeed, life, host));
    }

    SimulatedFleet(int size, long seed, GatewayFactory factory) {
        this.factory = factory;
        warmServerRates = new double[size];
        gateways = new Evacuation[size];
        appliedWeights = new ArrayList<>(Collections.nCopies(size, Map.of()));
        net = new SimulatedNetwork(size, seed, (slot, unixMillis, itsSeed) -> make(slot, unixMillis, itsSeed, size));
        net.startAll();
        for (int i = 0; i < size; i++) {
            scheduleTraffic(net.slots.get(i));
        }
    }

    int zoneOf(int gateway) {
        return gateway % ZONES.size();
    }

    private SimulatedNetwork.Member make(SimulatedNetwork.MemberSlot slot, long unixMillis, long seed, int size) {
        int number = slot.number;
        EvacuationSettings defaults = EvacuationSettings.withDefaults(ZONES, zoneOf(number), Collections.nCopies(3, size / 3));
        EvacuationSettings settings = new EvacuationSettings(ZONES, defaults.vantage(), defaults.gatewaysByZone(), regionByZone,
                1, defaults.holdNanos(), defaults.maxHoldNanos());
        appliedWeights.set(number, Map.of());
        warmServerRates[number] = 0;
        Evacuation made = factory.make(settings, RULES, new Roster(number, size, "world", new byte[0]), seed, unixMillis,
                new Evacuation.Callbacks() {
            @Override
            public void send(int member, byte[] datagram) {
                slot.sendTo(member, datagram);
            }

            @Override
            public void setZoneWeights(Map<String, Double> byZone) {
                appliedWeights.set(number, byZone);
                multiZoneEvacuations += byZone.values().stream().filter(w -> w < 0.5).count() > 1 ? 1 : 0;
            }

            @Override
            public void setWarmServerRate(double perSecond) {
                warmServerRates[number] = perSecond;
            }

            @Override
            public void setAcceptingClients(boolean clients) { }

            @Override
            public void log(String line) {
                log.add(net.now / SimulatedNetwork.MS + " " + number + " " + line);
                logListener.accept(number, line);
            }
        });
        made.traffic().updateServers(servers(ZONES, 0), true);
        gateways[number] = made;
        return new SimulatedNetwork.Member() {
            @Override
            public long tick(long now, long unix) {
                return made.tick(now, unix);
            }

            @Override
            public void onDatagram(long now, long unix, int from, byte[] datagram) {
                made.onDatagram(now, unix, from, datagram);
            }
        };
    }

    /** Returns all servers of these zones, started at this time; 0 for long ago. */
    static List<ServerInfo> servers(List<String> zones, long startedAtNanos) {
        List<ServerInfo> hosts = new ArrayList<>();
        for (String zone : zones) {
            for (int h = 0; h < SERVERS_PER_ZONE; h++) {
                hosts.add(new ServerInfo(zone + h, zone, "t", 0, Readiness.READY, 1, startedAtNanos));
            }
        }
        return hosts;
    }

    private void scheduleTraffic(SimulatedNetwork.MemberSlot slot) {
        net.schedule(net.now + TRAFFIC_INTERVAL_NANOS, () -> {
            if (net.now >= slot.pausedUntilNanos) {
                for (double left = requestsPerSecond * TRAFFIC_INTERVAL_NANOS / SimulatedNetwork.SECOND; net.random.nextDouble() < left; left--) {
                    startAttempt(slot.number);
                }
            }
            scheduleTraffic(slot);
        });
    }

    private void startAttempt(int gateway) {
        Evacuation evacuation = gateways[gateway];
        int zone = net.random.nextDouble() < ownZoneFraction ? zoneOf(gateway) : net.random.nextInt(ZONES.size());
        double[] weights = evacuation.weights();
        for (int tries = 0; tries < 20 && net.random.nextDouble() >= weights[zone]; tries++) {
            zone = net.random.nextInt(ZONES.size());
        }
        int server = net.random.nextInt(SERVERS_PER_ZONE);
        evacuation.attemptWindow().onRequestReceived();
        int slot = evacuation.attemptWindow().onAttemptSent(net.now, zone, zone * 1_000 + server, SILENCE_LIMIT_NANOS);
        ZoneSignal signal = attemptModel.of(gateway, zone, server);
        long delayNanos = signal == null ? 3 * SILENCE_LIMIT_NANOS : (10 + net.random.nextInt(60)) * SimulatedNetwork.MS;
        net.schedule(net.now + delayNanos, () -> {
            if (gateways[gateway] == evacuation) {
                evacuation.attemptWindow().onAttemptEnded(net.now, slot, signal == null ? ZoneSignal.FAILED : signal);
                if (signal == ZoneSignal.GOOD) {
                    evacuation.attemptWindow().onWarmServed();
                }
            }
        });
    }

    double weight(int gateway, String zone) {
        return appliedWeights.get(gateway).getOrDefault(zone, 1.0);
    }

    /** Returns whether each of these gateways has a weight below a tenth for a zone. */
    boolean isEvacuatedByAll(String zone, IntPredicate which) {
        for (int i = 0; i < gateways.length; i++) {
            if (which.test(i) && weight(i, zone) > 0.1) {
                return false;
            }
        }
        return true;
    }

    boolean areAllWeightsFull() {
        for (int i = 0; i < gateways.length; i++) {
            for (String zone : ZONES) {
                if (weight(i, zone) < 1) {
                    return false;
                }
            }
        }
        return true;
    }

    int countReducedWeights(IntPredicate which) {
        int count = 0;
        for (int i = 0; i < gateways.length; i++) {
            for (String zone : ZONES) {
                count += which.test(i) && weight(i, zone) < 1 ? 1 : 0;
            }
        }
        return count;
    }
}
