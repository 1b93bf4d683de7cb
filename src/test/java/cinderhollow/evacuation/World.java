package cinderhollow.evacuation;

import cinderhollow.evacuation.Sightings.Seen;
import cinderhollow.peers.Net;
import cinderhollow.peers.GossipSettings;
import cinderhollow.peers.Roster;
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
final class World {
    /** Defines how an attempt of a gateway at a server of a zone ends; null if it never does. */
    interface Fate {
        Seen of(int gateway, int zone, int host);
    }

    /** Creates the evacuation of a gateway, unchanged or with a planted fault. */
    interface Maker {
        Evacuation make(EvacuationSettings terms, Rules rules, Roster roster, long seed, long lifeMillis, Evacuation.Callbacks host);
    }

    static final List<String> ZONES = List.of("a", "b", "c");
    private static final int HOSTS = 15;
    private static final Rules RULES = new Rules(0, Net.SECOND, 10 * Net.SECOND, 0.3, 8 * Net.SECOND, 2.5, 1_500 * Net.MS);
    private static final long EVERY = 20 * Net.MS, PATIENCE = 200 * Net.MS;

    final Net net;
    final Evacuation[] gateways;
    final List<String> log = new ArrayList<>();
    /** Notified of each log line when a gateway writes it. */
    BiConsumer<Integer, String> watch = (gateway, line) -> { };
    /** Requests per second of each gateway. */
    double rate = 10;
    Fate fate = (gateway, zone, host) -> Seen.GOOD;
    /** Part of a gateway's attempts that goes to its own zone. */
    double ownZone = 0.7;
    /** Number of times that a gateway applied weights below one half for several zones at once. */
    int tooManyOut;
    /** Region of each zone; read when a gateway starts. */
    List<Integer> regions = EvacuationSettings.eachItsOwn(ZONES.size());
    /** Rate that a warm server can take, as last set at each gateway; 0 if unknown. */
    final double[] bears;
    private final List<Map<String, Double>> told;
    private final Maker maker;

    World(int size, long seed) {
        this(size, seed, (terms, rules, roster, itsSeed, life, host) ->
                new Evacuation(terms, rules, roster, GossipSettings.DEFAULT, itsSeed, life, host));
    }

    World(int size, long seed, Maker maker) {
        this.maker = maker;
        bears = new double[size];
        gateways = new Evacuation[size];
        told = new ArrayList<>(Collections.nCopies(size, Map.of()));
        net = new Net(size, seed, (place, unixMillis, itsSeed) -> make(place, unixMillis, itsSeed, size));
        net.started();
        for (int i = 0; i < size; i++) {
            traffic(net.places.get(i));
        }
    }

    int zoneOf(int gateway) {
        return gateway % ZONES.size();
    }

    private Net.Member make(Net.Place place, long unixMillis, long seed, int size) {
        int number = place.number;
        EvacuationSettings usual = EvacuationSettings.withDefaults(ZONES, zoneOf(number), Collections.nCopies(3, size / 3));
        EvacuationSettings terms = new EvacuationSettings(ZONES, usual.vantage(), usual.gatewaysByZone(), regions, 1, usual.holdNanos(), usual.mostHoldNanos());
        told.set(number, Map.of());
        bears[number] = 0;
        Evacuation made = maker.make(terms, RULES, new Roster(number, size, "world", new byte[0]), seed, unixMillis,
                new Evacuation.Callbacks() {
            @Override
            public void send(int member, byte[] datagram) {
                place.carry(member, datagram);
            }

            @Override
            public void setZoneWeights(Map<String, Double> byZone) {
                told.set(number, byZone);
                tooManyOut += byZone.values().stream().filter(w -> w < 0.5).count() > 1 ? 1 : 0;
            }

            @Override
            public void setWarmServerRate(double perSecond) {
                bears[number] = perSecond;
            }

            @Override
            public void setAcceptingClients(boolean clients) { }

            @Override
            public void log(String line) {
                log.add(net.now / Net.MS + " " + number + " " + line);
                watch.accept(number, line);
            }
        });
        made.traffic().updateServers(hosts(ZONES, 0), true);
        gateways[number] = made;
        return new Net.Member() {
            @Override
            public long tick(long now, long unix) {
                return made.tick(now, unix);
            }

            @Override
            public void received(long now, long unix, int from, byte[] datagram) {
                made.onDatagram(now, unix, from, datagram);
            }
        };
    }

    /** Returns all servers of these zones, started at this time; 0 for long ago. */
    static List<ServerInfo> hosts(List<String> zones, long startedAt) {
        List<ServerInfo> hosts = new ArrayList<>();
        for (String zone : zones) {
            for (int h = 0; h < HOSTS; h++) {
                hosts.add(new ServerInfo(zone + h, zone, "t", 0, Readiness.READY, 1, startedAt));
            }
        }
        return hosts;
    }

    private void traffic(Net.Place place) {
        net.at(net.now + EVERY, () -> {
            if (net.now >= place.pausedUntil) {
                for (double left = rate * EVERY / Net.SECOND; net.random.nextDouble() < left; left--) {
                    attempt(place.number);
                }
            }
            traffic(place);
        });
    }

    private void attempt(int gateway) {
        Evacuation at = gateways[gateway];
        int zone = net.random.nextDouble() < ownZone ? zoneOf(gateway) : net.random.nextInt(ZONES.size());
        double[] weights = at.weights();
        for (int tries = 0; tries < 20 && net.random.nextDouble() >= weights[zone]; tries++) {
            zone = net.random.nextInt(ZONES.size());
        }
        int host = net.random.nextInt(HOSTS);
        at.sightings().arrived();
        int slot = at.sightings().sent(net.now, zone, zone * 1_000 + host, PATIENCE);
        Seen how = fate.of(gateway, zone, host);
        long after = how == null ? 3 * PATIENCE : (10 + net.random.nextInt(60)) * Net.MS;
        net.at(net.now + after, () -> {
            if (gateways[gateway] == at) {
                at.sightings().ended(net.now, slot, how == null ? Seen.BAD : how);
                if (how == Seen.GOOD) {
                    at.sightings().served();
                }
            }
        });
    }

    double weight(int gateway, String zone) {
        return told.get(gateway).getOrDefault(zone, 1.0);
    }

    /** Returns whether each of these gateways has a weight below a tenth for a zone. */
    boolean left(String zone, IntPredicate which) {
        for (int i = 0; i < gateways.length; i++) {
            if (which.test(i) && weight(i, zone) > 0.1) {
                return false;
            }
        }
        return true;
    }

    boolean allUsual() {
        for (int i = 0; i < gateways.length; i++) {
            for (String zone : ZONES) {
                if (weight(i, zone) < 1) {
                    return false;
                }
            }
        }
        return true;
    }

    int leftAnything(IntPredicate which) {
        int count = 0;
        for (int i = 0; i < gateways.length; i++) {
            for (String zone : ZONES) {
                count += which.test(i) && weight(i, zone) < 1 ? 1 : 0;
            }
        }
        return count;
    }
}
