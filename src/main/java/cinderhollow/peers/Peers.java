package cinderhollow.peers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One member of the fleet: tracks which members are alive, stores the newest facts and sends datagrams. Single-threaded; all
 * random choices come from one seed.
 *
 * <p>Layout of a datagram: protocol version, type, checksum of the fleet, sender, the sender's generation, sequence number for
 * this receiver, body by type, then as many gossiped facts as fit, and an authentication tag over all of it.
 */
public final class Peers {
    /** Callbacks into the process that runs the member. None of these may call the member. */
    public interface Host {
        /** Sends a datagram to a member, without guarantee of delivery. */
        void send(int member, byte[] datagram);

        /** Receives a fact from another member that is newer than the known version. */
        void told(Fact fact);

        /** Notifies that a member is taken for alive from now on, or no longer is. */
        void lives(int member, boolean alive);
    }

    /** Maximum size of a datagram in bytes, as set by the deployment's documentation. */
    public static final int LONGEST = 256;
    private static final int VERSION = 1, HEAD = 18, SHORTEST = HEAD + Seal.BYTES;
    private static final int PING = 1, ACK = 2, ASK = 3, NACK = 4, RUMOURS = 5, SUMS = 6, VERSIONS = 7, RELAYED = 8;
    /** Clocks further ahead than this are considered wrong. */
    private static final long MOST_AHEAD_MILLIS = 300_000;
    /** States of a member; within one incarnation a later state overrides an earlier one. */
    private static final int ALIVE = 0, SUSPECT = 1, DEAD = 2, LEFT = 3, STATES = 4;
    private static final int MOST_HEALTH = 8, ONE_IN_LOST = 4, LEAVES_AT_ONCE = 2, ENTRY = 3 + Fact.VERSION_BYTES;
    /** Part of the ping timeout after which a relay reports that the target has not answered. */
    private static final double NACK_PART = 0.8;
    private static final long NEVER = Long.MAX_VALUE;

    /** Suspicion against a member, until the member refutes it or its time runs out. */
    private static final class Suspicion {
        private final long since;
        private final Set<Integer> accusers = new HashSet<>();

        Suspicion(long since, int accuser) {
            this.since = since;
            accusers.add(accuser);
        }
    }

    /** Indirect probe: a ping that was sent on behalf of another member. */
    private record Errand(int for_, long itsNumber, long nackAt) { }

    private final Roster roster;
    private final GossipSettings pace;
    private final Host host;
    private final SplittableRandom random;
    private final Seal seal;
    private final int mark;
    private final Facts facts;
    private final Replay[] replays;
    private final long[] numbers;
    private final boolean[] alive;
    private int living;
    private final Map<Integer, Suspicion> suspicions = new HashMap<>();
    /** Indirect probes in flight, by target and sequence number of the ping. */
    private final Map<Long, Errand> errands = new HashMap<>();
    private final Map<Flaw, Long> flaws = new EnumMap<>(Flaw.class);
    private final List<Integer> order = new ArrayList<>();
    private long life;
    private long incarnation;
    private long unixMillis;
    private long now;
    private boolean started;
    private boolean left;
    private boolean hurried;
    /** Lifeguard's local health score: 0 is best; higher values mean that this member itself may be at fault. */
    private int health;
    private int probed = -1;
    private long probeNumber;
    private boolean asked;
    private int nacksDue;
    private long probeAt, timeoutAt = NEVER, gossipAt, syncAt;
    private long sentDatagrams, sentBytes, heardDatagrams, heardBytes;

    /**
     * Creates a member that knows no others yet. Its start time in Unix milliseconds is its generation, by which its datagrams
     * are told apart from those of earlier starts.
     */
    public Peers(Roster roster, GossipSettings pace, Collection<Kind> kinds, long seed, long lifeMillis, Host host) {
        this.roster = roster;
        this.pace = pace;
        this.host = host;
        random = new SplittableRandom(seed);
        seal = new Seal(roster.secret());
        mark = roster.mark();
        List<Kind> all = new ArrayList<>(kinds);
        all.add(Kind.MEMBER);
        facts = new Facts(all);
        replays = new Replay[roster.size()];
        Arrays.setAll(replays, i -> new Replay());
        numbers = new long[roster.size()];
        alive = new boolean[roster.size()];
        life = lifeMillis;
        incarnation = lifeMillis;
        alive[roster.self()] = true;
        living = 1;
    }

    /** Does the work that is due and returns the time in nanoseconds at which the next work is due. */
    public long tick(long nowNanos, long nowUnixMillis) {
        now = nowNanos;
        unixMillis = nowUnixMillis;
        if (!started) {
            started = true;
            tellOfSelf();
            // Random first times, so that members that start together do not probe in step.
            probeAt = now + random.nextLong(pace.probe());
            gossipAt = now + random.nextLong(pace.gossip());
            syncAt = now + random.nextLong(pace.probe());
        }
        if (now >= timeoutAt) {
            askOthers();
        }
        if (now >= probeAt) {
            probe();
        }
        nack();
        condemn();
        if (now >= gossipAt) {
            gossipAt = now + (hurried ? pace.hurried() : pace.gossip());
            if (facts.hasRumours()) {
                some(pace.fanout(), -1).forEach(member -> send(member, RUMOURS, Bytes.ofSize(0)));
            }
        }
        if (now >= syncAt) {
            syncAt = now + pace.sync();
            compare();
        }
        return Math.min(Math.min(probeAt, timeoutAt), Math.min(gossipAt, syncAt));
    }

    private void tellOfSelf() {
        facts.take(new Fact(Kind.MEMBER.number(), roster.self(), incarnation * STATES + (left ? LEFT : ALIVE), new byte[0]));
    }

    /** Announces that this member leaves, so that the others need not detect its end. */
    public void leave() {
        left = true;
        tellOfSelf();
        some(pace.fanout(), -1).forEach(member -> send(member, RUMOURS, Bytes.ofSize(0)));
    }

    /** Publishes a fact; returns false without effect if it is not newer than the known version. */
    public boolean publish(Fact fact) {
        return facts.take(fact);
    }

    /** Sets whether new facts are sent at the shorter interval; the number of sends of each fact stays the same. */
    public void hurry(boolean now) {
        if (now && !hurried) {
            gossipAt = Math.min(gossipAt, this.now + pace.hurried());
        }
        hurried = now;
    }

    /** Returns the newest known version of a fact, or null. */
    public Fact fact(int kind, int subject) {
        return facts.get(kind, subject);
    }

    /** Returns all known facts of a kind. */
    public List<Fact> facts(Kind kind) {
        return facts.all(kind.number());
    }

    /** Returns whether a member is taken for alive. */
    public boolean isAlive(int member) {
        return alive[member];
    }

    /** Returns the number of members taken for alive, including this one. */
    public int living() {
        return living;
    }

    /** Returns the fleet to which this member belongs. */
    public Roster roster() {
        return roster;
    }

    /**
     * Returns Lifeguard's local health score, 0 (best) to 8. It rises when the member was suspected, when its probes fail, and
     * more when relays do not answer either; it falls with each successful probe.
     */
    public int health() {
        return health;
    }

    /** Returns the counters of datagrams and bytes sent and received, and of dropped datagrams by reason. */
    public Figures figures() {
        return new Figures(sentDatagrams, sentBytes, heardDatagrams, heardBytes, Map.copyOf(flaws));
    }

    /** Counters since the start. */
    public record Figures(long sent, long sentBytes, long heard, long heardBytes, Map<Flaw, Long> flaws) { }

    // ---- probing

    private void probe() {
        if (probed >= 0) {
            // The fault may be this member's own: with a worse score it probes less often and waits longer.
            health = Math.min(MOST_HEALTH, health + 1 + Math.max(0, nacksDue));
            suspect(probed, roster.self());
        }
        probed = next();
        asked = false;
        nacksDue = 0;
        timeoutAt = NEVER;
        probeAt = now + pace.probe() * (1 + health);
        if (probed >= 0) {
            probeNumber = ping(probed);
            timeoutAt = now + pace.pingTimeout() * (1 + health);
        }
        // Also pings a member that is not alive at times, so that the halves of a healed partition find each other again.
        if (random.nextInt(ONE_IN_LOST) == 0) {
            int lost = someLost();
            if (lost >= 0) {
                ping(lost);
            }
        }
    }

    /** Returns the next member to probe, each living one once per round in random order; -1 if there is none. */
    private int next() {
        while (true) {
            if (order.isEmpty()) {
                for (int i = 0; i < alive.length; i++) {
                    if (alive[i] && i != roster.self()) {
                        order.add(i);
                    }
                }
                if (order.isEmpty()) {
                    return -1;
                }
            }
            // Removes a random element; the last one fills the gap.
            int at = random.nextInt(order.size());
            int drawn = order.get(at);
            order.set(at, order.get(order.size() - 1));
            order.remove(order.size() - 1);
            if (alive[drawn]) {
                return drawn;
            }
        }
    }

    private long ping(int member) {
        return send(member, PING, Bytes.ofSize(0));
    }

    private void askOthers() {
        timeoutAt = NEVER;
        if (probed < 0 || asked) {
            return;
        }
        asked = true;
        List<Integer> relays = some(pace.fanout(), probed);
        nacksDue = relays.size();
        relays.forEach(relay -> send(relay, ASK, Bytes.ofSize(6).put(probed, 2).put(probeNumber, 4)));
    }

    /** Sends the due negative acknowledgements: this relay works, but the target has not answered. */
    private void nack() {
        if (!errands.isEmpty()) {
            errands.values().removeIf(errand -> {
                if (now >= errand.nackAt) {
                    send(errand.for_, NACK, Bytes.ofSize(4).put(errand.itsNumber, 4));
                }
                return now >= errand.nackAt;
            });
        }
    }

    private void acknowledged(int from, long number) {
        Errand errand = errands.remove((long) from << 32 | number);
        if (errand != null) {
            send(errand.for_, RELAYED, Bytes.ofSize(6).put(from, 2).put(errand.itsNumber, 4));
        }
    }

    private void succeeded() {
        probed = -1;
        timeoutAt = NEVER;
        health = Math.max(0, health - 1);
    }

    // ---- members

    private long version(int member) {
        Fact known = facts.get(Kind.MEMBER.number(), member);
        return known == null ? -1 : known.version();
    }

    private static int state(long version) {
        return (int) (version % STATES);
    }

    private void suspect(int member, int accuser) {
        long known = version(member);
        if (state(known) == ALIVE) {
            take(new Fact(Kind.MEMBER.number(), member, known + SUSPECT - ALIVE, Bytes.ofSize(2).put(accuser, 2).written()));
        } else if (state(known) == SUSPECT) {
            confirm(new Fact(Kind.MEMBER.number(), member, known, Bytes.ofSize(2).put(accuser, 2).written()));
        }
    }

    /** Adds an accuser to a suspicion; the first few are gossiped, since each shortens the time that the suspect has. */
    private void confirm(Fact suspicion) {
        Suspicion held = suspicions.get(suspicion.subject());
        if (held != null && suspicion.value().length == 2 && held.accusers.size() <= pace.fanout()
                && held.accusers.add((int) Bytes.reading(suspicion.value()).take(2))) {
            facts.passOn(suspicion);
        }
    }

    private void condemn() {
        if (suspicions.isEmpty()) {
            return;
        }
        for (int member : List.copyOf(suspicions.keySet())) {
            Suspicion held = suspicions.get(member);
            long within = pace.suspicion(living, held.accusers.size() - 1) * (1 + health);
            if (now - held.since >= within) {
                take(new Fact(Kind.MEMBER.number(), member, version(member) - SUSPECT + DEAD, new byte[0]));
            }
        }
    }

    /** Handles a fact about the state of a member, from itself or from others. */
    private void take(Fact fact) {
        int member = fact.subject();
        int state = state(fact.version());
        if (member == roster.self()) {
            answerFor(fact.version());
            return;
        }
        if (state == SUSPECT && fact.version() == version(member)) {
            confirm(fact);
            return;
        }
        if (!facts.take(fact)) {
            return;
        }
        suspicions.remove(member);
        if (state == SUSPECT) {
            suspicions.put(member, new Suspicion(now, fact.value().length == 2 ? (int) Bytes.reading(fact.value()).take(2) : member));
        }
        boolean lives = state == ALIVE || state == SUSPECT;
        if (lives != alive[member]) {
            alive[member] = lives;
            living += lives ? 1 : -1;
            host.lives(member, lives);
        }
    }

    /**
     * Refutes a newer fact about this member, such as a suspicion, its death, or a state from a generation that it does not
     * know, by publishing a higher incarnation.
     */
    private void answerFor(long version) {
        long own = incarnation * STATES + (left ? LEFT : ALIVE);
        if (version > own) {
            health = Math.min(MOST_HEALTH, health + (state(version) == SUSPECT ? 1 : 0));
            incarnation = version / STATES + 1;
            if (incarnation > life && state(version) >= DEAD) {
                // The others know a later generation than this one, for instance because the clock was set back before a restart.
                life = incarnation;
                Arrays.fill(numbers, 0);
            }
            tellOfSelf();
        }
    }

    // ---- facts

    private void compare() {
        int lost = random.nextInt(ONE_IN_LOST) == 0 ? someLost() : -1;
        List<Integer> one = lost >= 0 ? List.of(lost) : some(1, -1);
        one.forEach(member -> sendSums(member, -1));
    }

    private void sendSums(int member, int group) {
        Bytes body = Bytes.ofSize(1 + Facts.GROUPS * Facts.SUM_BYTES).put(group + 1, 1);
        facts.writeSums(body, group);
        send(member, SUMS, body);
    }

    private void sendVersions(int member, int leaf) {
        Bytes body = Bytes.ofSize(room());
        int count = Math.min(facts.inLeaf(leaf).size(), (room() - 2) / ENTRY);
        body.put(leaf, 1).put(count, 1);
        facts.inLeaf(leaf).stream().limit(count)
                .forEach(fact -> body.put(fact.kind(), 1).put(fact.subject(), 2).put(fact.version(), Fact.VERSION_BYTES));
        send(member, VERSIONS, body);
    }

    /** Compares received checksums with its own and continues one level down where they differ. */
    private void compared(int from, Bytes body) {
        int group = (int) body.take(1) - 1;
        List<Integer> differing = facts.differing(body, group);
        for (int i = 0; i < LEAVES_AT_ONCE && !differing.isEmpty(); i++) {
            int drawn = differing.remove(random.nextInt(differing.size()));
            if (group < 0) {
                sendSums(from, drawn);
            } else {
                sendVersions(from, drawn);
            }
        }
    }

    /** Sends facts that are newer here, and its own versions if the other member has newer facts. */
    private void versions(int from, Bytes body) {
        int leaf = (int) body.take(1);
        Map<Integer, Long> theirs = new HashMap<>();
        boolean lacks = false;
        for (long count = body.take(1); count > 0; count--) {
            int kind = (int) body.take(1);
            int subject = (int) body.take(2);
            long version = body.take(Fact.VERSION_BYTES);
            theirs.put(kind << 16 | subject, version);
            Fact own = facts.get(kind, subject);
            lacks |= own == null || own.version() < version;
        }
        Bytes newer = Bytes.ofSize(room());
        for (Fact fact : facts.inLeaf(leaf)) {
            if (fact.version() > theirs.getOrDefault(fact.key(), -1L)) {
                if (fact.size() > newer.left()) {
                    send(from, RUMOURS, newer);
                    newer = Bytes.ofSize(room());
                }
                fact.write(newer);
            }
        }
        if (newer.left() < room()) {
            send(from, RUMOURS, newer);
        }
        if (lacks) {
            sendVersions(from, leaf);
        }
    }

    private static int room() {
        return LONGEST - SHORTEST;
    }

    // ---- datagrams

    /** Returns up to this number of random living members, without this one and another one. */
    private List<Integer> some(int count, int but) {
        Set<Integer> drawn = new HashSet<>();
        for (int tries = 0; drawn.size() < count && tries < 4 * count + 8; tries++) {
            int member = random.nextInt(roster.size());
            if (alive[member] && member != roster.self() && member != but) {
                drawn.add(member);
            }
        }
        if (drawn.isEmpty() && living > 1) {
            for (int i = 0; i < alive.length && drawn.size() < count; i++) {
                if (alive[i] && i != roster.self() && i != but) {
                    drawn.add(i);
                }
            }
        }
        return List.copyOf(drawn);
    }

    /** Returns a random member that is not taken for alive, or -1. */
    private int someLost() {
        if (living == roster.size()) {
            return -1;
        }
        int from = random.nextInt(roster.size());
        for (int i = 0; i < alive.length; i++) {
            int member = (from + i) % alive.length;
            if (!alive[member]) {
                return member;
            }
        }
        return -1;
    }

    /** Sends a datagram with queued facts and returns its sequence number for this receiver. */
    private long send(int member, int kind, Bytes body) {
        Bytes datagram = head(member, kind).put(body.written());
        Fact ofReceiver = facts.get(Kind.MEMBER.number(), member);
        if (ofReceiver != null && state(ofReceiver.version()) != ALIVE && datagram.left() >= ofReceiver.size()) {
            // Lifeguard's buddy system: a suspect gets the suspicion with the next datagram sent to it.
            ofReceiver.write(datagram);
        }
        facts.write(datagram, pace.sends(living));
        go(member, datagram);
        return numbers[member];
    }

    private Bytes head(int member, int kind) {
        return Bytes.ofSize(LONGEST - Seal.BYTES).put(VERSION, 1).put(kind, 1).put(mark, 4).put(roster.self(), 2).put(life, 6)
                .put(++numbers[member], 4);
    }

    private void go(int member, Bytes datagram) {
        byte[] whole = seal.onto(datagram.written());
        sentDatagrams++;
        sentBytes += whole.length;
        host.send(member, whole);
    }

    /** Handles a datagram received from the address of a member; -1 if the address belongs to no member. */
    public void received(long nowNanos, long nowUnixMillis, int from, byte[] datagram) {
        now = nowNanos;
        unixMillis = nowUnixMillis;
        heardDatagrams++;
        heardBytes += datagram.length;
        Flaw flaw = read(from, datagram);
        if (flaw != null) {
            flaws.merge(flaw, 1L, Long::sum);
        }
    }

    private Flaw read(int from, byte[] datagram) {
        if (datagram.length < SHORTEST || datagram.length > LONGEST) {
            return Flaw.LENGTH;
        }
        int length = datagram.length - Seal.BYTES;
        Bytes in = Bytes.reading(Arrays.copyOf(datagram, length));
        if (in.take(1) != VERSION) {
            return Flaw.VERSION;
        }
        int kind = (int) in.take(1);
        if ((int) in.take(4) != mark) {
            return Flaw.FLEET;
        }
        if (!seal.holds(datagram)) {
            return Flaw.SEAL;
        }
        int sender = (int) in.take(2);
        if (sender != from || sender == roster.self()) {
            return Flaw.SENDER;
        }
        long itsLife = in.take(6);
        long number = in.take(4);
        if (itsLife > unixMillis + MOST_AHEAD_MILLIS) {
            return Flaw.FUTURE;
        }
        Flaw replayed = replays[sender].take(itsLife, number);
        if (replayed != null) {
            if (replayed == Flaw.OLD_LIFE) {
                // Tells a sender whose clock was set back of its later generation, so that it takes a still later one.
                Bytes dead = head(sender, RUMOURS);
                new Fact(Kind.MEMBER.number(), sender, replays[sender].life() * STATES + DEAD, new byte[0]).write(dead);
                go(sender, dead);
            }
            return replayed;
        }
        if (version(sender) < itsLife * STATES) {
            take(new Fact(Kind.MEMBER.number(), sender, itsLife * STATES + ALIVE, new byte[0]));
        }
        try {
            act(sender, kind, number, in);
            while (in.left() > 0) {
                heard(Fact.read(in));
            }
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            return Flaw.FORM;
        }
        return null;
    }

    private void act(int sender, int kind, long number, Bytes in) {
        switch (kind) {
            case PING -> send(sender, ACK, Bytes.ofSize(4).put(number, 4));
            case ACK -> {
                long acknowledged = in.take(4);
                acknowledged(sender, acknowledged);
                if (sender == probed && acknowledged == probeNumber) {
                    succeeded();
                }
            }
            case RELAYED -> {
                // Names its target: sequence numbers are per receiver, so that another target's may be the same.
                if (in.take(2) == probed && in.take(4) == probeNumber) {
                    succeeded();
                }
            }
            case ASK -> {
                int target = (int) in.take(2);
                long itsNumber = in.take(4);
                if (target >= roster.size()) {
                    throw new IllegalArgumentException("indirect probe of an unknown member " + target);
                }
                long mine = ping(target);
                errands.put((long) target << 32 | mine, new Errand(sender, itsNumber, now + (long) (pace.pingTimeout() * NACK_PART)));
            }
            case NACK -> {
                if (probed >= 0 && in.take(4) == probeNumber) {
                    nacksDue--;
                }
            }
            case RUMOURS -> { }
            case SUMS -> compared(sender, in);
            case VERSIONS -> versions(sender, in);
            default -> throw new IllegalArgumentException("datagram of an unknown type " + kind);
        }
    }

    private void heard(Fact fact) {
        if (!facts.knows(fact.kind())) {
            return; // a kind of a newer build: skipped, and the rest still counts
        }
        if (fact.kind() == Kind.MEMBER.number()) {
            if (fact.subject() >= roster.size() || fact.version() / STATES > unixMillis + MOST_AHEAD_MILLIS) {
                throw new IllegalArgumentException("invalid member state: " + fact);
            }
            take(fact);
        } else if (facts.take(fact)) {
            host.told(fact);
        }
    }
}
