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
 * One member: whom it takes for alive, what it knows, and what it sends next. Single-threaded; all chance is from one seed.
 *
 * <p>A datagram: version, kind, mark of the fleet, sender, its life, its number for this receiver, what the kind needs, then as
 * many rumours as fit, and a seal over all of it.
 */
public final class Peers {
    /** What a member's host does for it. None of these may call the member. */
    public interface Host {
        /** Sends it to a member, perhaps in vain. */
        void send(int member, byte[] datagram);

        /** Something newer than what was known, from another member. */
        void told(Fact fact);

        /** A member is taken for alive from now on, or no more. */
        void lives(int member, boolean alive);
    }

    /** The longest datagram that the deployment's page allows. */
    public static final int LONGEST = 256;
    private static final int VERSION = 1, HEAD = 18, SHORTEST = HEAD + Seal.BYTES;
    private static final int PING = 1, ACK = 2, ASK = 3, NACK = 4, RUMOURS = 5, SUMS = 6, VERSIONS = 7, RELAYED = 8;
    /** A clock that is further ahead is wrong. */
    private static final long MOST_AHEAD_MILLIS = 300_000;
    /** The states of a member, in the order in which they beat each other at one incarnation. */
    private static final int ALIVE = 0, SUSPECT = 1, DEAD = 2, LEFT = 3, STATES = 4;
    private static final int MOST_HEALTH = 8, ONE_IN_LOST = 4, LEAVES_AT_ONCE = 2, ENTRY = 3 + Fact.VERSION_BYTES;
    /** Of the time that a relay has, when it says that it has heard nothing. */
    private static final double NACK_PART = 0.8;
    private static final long NEVER = Long.MAX_VALUE;

    /** What is held against a member until it speaks up. */
    private static final class Suspicion {
        private final long since;
        private final Set<Integer> accusers = new HashSet<>();

        Suspicion(long since, int accuser) {
            this.since = since;
            accusers.add(accuser);
        }
    }

    /** A ping that was sent for another member. */
    private record Errand(int for_, long itsNumber, long nackAt) { }

    private final Roster roster;
    private final Pace pace;
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
    /** By whom was pinged and with which number. */
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
    /** Lifeguard's: how much this member doubts itself. */
    private int health;
    private int probed = -1;
    private long probeNumber;
    private boolean asked;
    private int nacksDue;
    private long probeAt, timeoutAt = NEVER, gossipAt, syncAt;
    private long sentDatagrams, sentBytes, heardDatagrams, heardBytes;

    /** A member that has just started and knows nobody; its life is told from its earlier ones by when it began, in Unix time. */
    public Peers(Roster roster, Pace pace, Collection<Kind> kinds, long seed, long lifeMillis, Host host) {
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

    /** Does what is due, and tells when the next is. */
    public long tick(long nowNanos, long nowUnixMillis) {
        now = nowNanos;
        unixMillis = nowUnixMillis;
        if (!started) {
            started = true;
            tellOfSelf();
            // Guards against all that start at once probing in step.
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

    /** Ends in good order: the others need not find out. */
    public void leave() {
        left = true;
        tellOfSelf();
        some(pace.fanout(), -1).forEach(member -> send(member, RUMOURS, Bytes.ofSize(0)));
    }

    /** Says something; where it is older than what is known nothing happens, and this is false. */
    public boolean publish(Fact fact) {
        return facts.take(fact);
    }

    /** Whether what is new goes out sooner from now on: as often in all, in fuller haste. */
    public void hurry(boolean now) {
        if (now && !hurried) {
            gossipAt = Math.min(gossipAt, this.now + pace.hurried());
        }
        hurried = now;
    }

    /** The newest that is known, or null. */
    public Fact fact(int kind, int subject) {
        return facts.get(kind, subject);
    }

    /** All that is known of this kind. */
    public List<Fact> facts(Kind kind) {
        return facts.all(kind.number());
    }

    /** Whether a member is taken for alive. */
    public boolean isAlive(int member) {
        return alive[member];
    }

    /** How many are, this one among them. */
    public int living() {
        return living;
    }

    /** The fleet that it belongs to. */
    public Roster roster() {
        return roster;
    }

    /** How much it doubts itself, 0 to 8: it answers late, or is the only one to miss others. */
    public int health() {
        return health;
    }

    /** Datagrams and bytes, out and in, and those that were not believed, by why. */
    public Figures figures() {
        return new Figures(sentDatagrams, sentBytes, heardDatagrams, heardBytes, Map.copyOf(flaws));
    }

    /** Counts since the start. */
    public record Figures(long sent, long sentBytes, long heard, long heardBytes, Map<Flaw, Long> flaws) { }

    // ---- probing

    private void probe() {
        if (probed >= 0) {
            // Guards against blaming others for what is this member's own fault: it probes more seldom while it fails.
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
        // Guards against two halves that hold each other for dead and never look again.
        if (random.nextInt(ONE_IN_LOST) == 0) {
            int lost = someLost();
            if (lost >= 0) {
                ping(lost);
            }
        }
    }

    /** Each of the living once, in an order drawn anew for each round. */
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
            // Drawn without order: the last one fills the gap.
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

    /** Tells who asked that the relay itself is well, though the one asked for says nothing. */
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

    /** One accuser more of the same suspect: the first few go round too, since they shorten its time. */
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

    /** What is said of a member, by itself or by others. */
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

    /** Guards against being held for dead, or for what it was in a life of which it knows nothing. */
    private void answerFor(long version) {
        long own = incarnation * STATES + (left ? LEFT : ALIVE);
        if (version > own) {
            health = Math.min(MOST_HEALTH, health + (state(version) == SUSPECT ? 1 : 0));
            incarnation = version / STATES + 1;
            if (incarnation > life && state(version) >= DEAD) {
                // The others have heard of a later life than this one, as where the clock was set back between two.
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

    /** Goes down one step where the sums differ. */
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

    /** Sends what is newer here, and says what is here where the other has newer. */
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

    /** So many of the living, this one and another not among them. */
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

    /** One of those that are not known to be alive, or -1. */
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

    /** Its number for this receiver. */
    private long send(int member, int kind, Bytes body) {
        Bytes datagram = head(member, kind).put(body.written());
        Fact ofReceiver = facts.get(Kind.MEMBER.number(), member);
        if (ofReceiver != null && state(ofReceiver.version()) != ALIVE && datagram.left() >= ofReceiver.size()) {
            // Lifeguard's buddy: whoever is doubted hears of it with the next word that it gets.
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

    /** A datagram from the address of this member; -1 where it is nobody's. */
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
                // One whose clock was set back hears of its later life, and takes a still later one.
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
                // It names whom it speaks of: numbers are each receiver's own, so that another's may be the same.
                if (in.take(2) == probed && in.take(4) == probeNumber) {
                    succeeded();
                }
            }
            case ASK -> {
                int target = (int) in.take(2);
                long itsNumber = in.take(4);
                if (target >= roster.size()) {
                    throw new IllegalArgumentException("there is no member " + target);
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
            default -> throw new IllegalArgumentException("there is no kind " + kind);
        }
    }

    private void heard(Fact fact) {
        if (!facts.knows(fact.kind())) {
            return; // of a newer build: it is passed over, and the rest still counts
        }
        if (fact.kind() == Kind.MEMBER.number()) {
            if (fact.subject() >= roster.size() || fact.version() / STATES > unixMillis + MOST_AHEAD_MILLIS) {
                throw new IllegalArgumentException("no member can be so: " + fact);
            }
            take(fact);
        } else if (facts.take(fact)) {
            host.told(fact);
        }
    }
}
