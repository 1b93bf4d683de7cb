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
    public interface Callbacks {
        /** Sends a datagram to a member, without guarantee of delivery. */
        void send(int member, byte[] datagram);

        /** Receives a fact from another member that is newer than the known version. */
        void onFact(Fact fact);

        /** Notifies that a member is taken for alive from now on, or no longer is. */
        void onLivenessChanged(int member, boolean alive);
    }

    /** Maximum size of a datagram in bytes, as set by the deployment's documentation. */
    public static final int MAX_DATAGRAM_BYTES = 256;
    private static final int PROTOCOL_VERSION = 1, HEADER_BYTES = 18, MIN_DATAGRAM_BYTES = HEADER_BYTES
            + DatagramAuthenticator.TAG_BYTES;
    private static final int PING = 1, ACK = 2, PING_REQ = 3, NACK = 4, GOSSIP = 5, SUMS = 6, VERSIONS = 7, RELAYED_ACK = 8;
    /** Clocks further ahead than this are considered wrong. */
    private static final long MAX_CLOCK_AHEAD_MILLIS = 300_000;
    /** States of a member; within one incarnation a later state overrides an earlier one. */
    private static final int ALIVE = 0, SUSPECT = 1, DEAD = 2, LEFT = 3, STATE_COUNT = 4;
    private static final int MAX_HEALTH_SCORE = 8, UNREACHABLE_CONTACT_ONE_IN = 4, MAX_BRANCHES_PER_SYNC = 2,
            VERSION_ENTRY_BYTES = 3 + Fact.VERSION_BYTES;
    /** Part of the ping timeout after which a relay reports that the target has not answered. */
    private static final double NACK_TIMEOUT_FRACTION = 0.8;
    private static final long NEVER = Long.MAX_VALUE;

    /** Suspicion against a member, until the member refutes it or its time runs out. */
    private static final class Suspicion {
        private final long sinceNanos;
        private final Set<Integer> accusers = new HashSet<>();

        Suspicion(long sinceNanos, int accuser) {
            this.sinceNanos = sinceNanos;
            accusers.add(accuser);
        }
    }

    /** Indirect probe: a ping that was sent on behalf of another member. */
    private record RelayedPing(int requester, long requesterSequence, long nackAtNanos) { }

    private final Roster roster;
    private final GossipSettings settings;
    private final Callbacks callbacks;
    private final SplittableRandom random;
    private final DatagramAuthenticator authenticator;
    private final int fleetTag;
    private final FactStore facts;
    private final ReplayWindow[] replayWindows;
    private final long[] sequenceNumbers;
    private final boolean[] alive;
    private int aliveCount;
    private final Map<Integer, Suspicion> suspicions = new HashMap<>();
    /** Indirect probes in flight, by target and sequence number of the ping. */
    private final Map<Long, RelayedPing> relayedPings = new HashMap<>();
    private final Map<DropReason, Long> dropCounts = new EnumMap<>(DropReason.class);
    private final List<Integer> probeOrder = new ArrayList<>();
    private long generation;
    private long incarnation;
    private long unixMillis;
    private long now;
    private boolean started;
    private boolean hasLeft;
    private boolean fastGossip;
    /** Lifeguard's local health score: 0 is best; higher values mean that this member itself may be at fault. */
    private int healthScore;
    private int probeTarget = -1;
    private long probeSequence;
    private boolean indirectPingsSent;
    private int missingNacks;
    private long nextProbeAtNanos, pingTimeoutAtNanos = NEVER, nextGossipAtNanos, nextSyncAtNanos;
    private long sentDatagrams, sentBytes, receivedDatagrams, receivedBytes;

    /**
     * Creates a member that knows no others yet. Its start time in Unix milliseconds is its generation, by which its datagrams
     * are told apart from those of earlier starts.
     */
    public Peers(Roster roster, GossipSettings settings, Collection<FactKind> kinds, long seed, long generationMillis,
            Callbacks callbacks) {
        this.roster = roster;
        this.settings = settings;
        this.callbacks = callbacks;
        random = new SplittableRandom(seed);
        authenticator = new DatagramAuthenticator(roster.secret());
        fleetTag = roster.fleetTag();
        List<FactKind> all = new ArrayList<>(kinds);
        all.add(FactKind.MEMBER);
        facts = new FactStore(all);
        replayWindows = new ReplayWindow[roster.size()];
        Arrays.setAll(replayWindows, i -> new ReplayWindow());
        sequenceNumbers = new long[roster.size()];
        alive = new boolean[roster.size()];
        generation = generationMillis;
        incarnation = generationMillis;
        alive[roster.self()] = true;
        aliveCount = 1;
    }

    /** Does the work that is due and returns the time in nanoseconds at which the next work is due. */
    public long tick(long nowNanos, long nowUnixMillis) {
        now = nowNanos;
        unixMillis = nowUnixMillis;
        if (!started) {
            started = true;
            announceSelf();
            // Random first times, so that members that start together do not probe in step.
            nextProbeAtNanos = now + random.nextLong(settings.probeIntervalNanos());
            nextGossipAtNanos = now + random.nextLong(settings.gossipIntervalNanos());
            nextSyncAtNanos = now + random.nextLong(settings.probeIntervalNanos());
        }
        if (now >= pingTimeoutAtNanos) {
            sendPingRequests();
        }
        if (now >= nextProbeAtNanos) {
            probe();
        }
        sendDueNacks();
        expireSuspicions();
        if (now >= nextGossipAtNanos) {
            nextGossipAtNanos = now + (fastGossip ? settings.fastGossipIntervalNanos() : settings.gossipIntervalNanos());
            if (facts.hasQueued()) {
                pickAlive(settings.fanout(), -1).forEach(member -> send(member, GOSSIP, ByteCursor.allocate(0)));
            }
        }
        if (now >= nextSyncAtNanos) {
            nextSyncAtNanos = now + settings.syncIntervalNanos();
            startSync();
        }
        return Math.min(Math.min(nextProbeAtNanos, pingTimeoutAtNanos), Math.min(nextGossipAtNanos, nextSyncAtNanos));
    }

    private void announceSelf() {
        facts.putIfNewer(new Fact(FactKind.MEMBER.number(), roster.self(), incarnation * STATE_COUNT + (hasLeft ? LEFT : ALIVE),
                new byte[0]));
    }

    /** Announces that this member leaves, so that the others need not detect its end. */
    public void leave() {
        hasLeft = true;
        announceSelf();
        pickAlive(settings.fanout(), -1).forEach(member -> send(member, GOSSIP, ByteCursor.allocate(0)));
    }

    /** Publishes a fact; returns false without effect if it is not newer than the known version. */
    public boolean publish(Fact fact) {
        return facts.putIfNewer(fact);
    }

    /** Sets whether new facts are sent at the shorter interval; the number of sends of each fact stays the same. */
    public void setFastGossip(boolean fast) {
        if (fast && !fastGossip) {
            nextGossipAtNanos = Math.min(nextGossipAtNanos, this.now + settings.fastGossipIntervalNanos());
        }
        fastGossip = fast;
    }

    /** Returns the newest known version of a fact, or null. */
    public Fact fact(int kind, int subject) {
        return facts.get(kind, subject);
    }

    /** Returns all known facts of a kind. */
    public List<Fact> facts(FactKind kind) {
        return facts.ofKind(kind.number());
    }

    /** Returns whether a member is taken for alive. */
    public boolean isAlive(int member) {
        return alive[member];
    }

    /** Returns the number of members taken for alive, including this one. */
    public int aliveCount() {
        return aliveCount;
    }

    /** Returns the fleet to which this member belongs. */
    public Roster roster() {
        return roster;
    }

    /**
     * Returns Lifeguard's local health score, 0 (best) to 8. It rises when the member was suspected, when its probes fail, and
     * more when relays do not answer either; it falls with each successful probe.
     */
    public int healthScore() {
        return healthScore;
    }

    /** Returns the counters of datagrams and bytes sent and received, and of dropped datagrams by reason. */
    public Counters counters() {
        return new Counters(sentDatagrams, sentBytes, receivedDatagrams, receivedBytes, Map.copyOf(dropCounts));
    }

    /** Counters since the start. */
    public record Counters(long sentDatagrams, long sentBytes, long receivedDatagrams, long receivedBytes, Map<DropReason,
            Long> dropCounts) { }

    // ---- probing

    private void probe() {
        if (probeTarget >= 0) {
            // The fault may be this member's own: with a worse score it probes less often and waits longer.
            healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + 1 + Math.max(0, missingNacks));
            suspect(probeTarget, roster.self());
        }
        probeTarget = nextProbeTarget();
        indirectPingsSent = false;
        missingNacks = 0;
        pingTimeoutAtNanos = NEVER;
        nextProbeAtNanos = now + settings.probeIntervalNanos() * (1 + healthScore);
        if (probeTarget >= 0) {
            probeSequence = ping(probeTarget);
            pingTimeoutAtNanos = now + settings.pingTimeoutNanos() * (1 + healthScore);
        }
        // Also pings a member that is not alive at times, so that the halves of a healed partition find each other again.
        if (random.nextInt(UNREACHABLE_CONTACT_ONE_IN) == 0) {
            int unreachable = pickUnreachable();
            if (unreachable >= 0) {
                ping(unreachable);
            }
        }
    }

    /** Returns the next member to probe, each living one once per round in random order; -1 if there is none. */
    private int nextProbeTarget() {
        while (true) {
            if (probeOrder.isEmpty()) {
                for (int i = 0; i < alive.length; i++) {
                    if (alive[i] && i != roster.self()) {
                        probeOrder.add(i);
                    }
                }
                if (probeOrder.isEmpty()) {
                    return -1;
                }
            }
            // Removes a random element; the last one fills the gap.
            int index = random.nextInt(probeOrder.size());
            int drawn = probeOrder.get(index);
            probeOrder.set(index, probeOrder.get(probeOrder.size() - 1));
            probeOrder.remove(probeOrder.size() - 1);
            if (alive[drawn]) {
                return drawn;
            }
        }
    }

    private long ping(int member) {
        return send(member, PING, ByteCursor.allocate(0));
    }

    private void sendPingRequests() {
        pingTimeoutAtNanos = NEVER;
        if (probeTarget < 0 || indirectPingsSent) {
            return;
        }
        indirectPingsSent = true;
        List<Integer> relays = pickAlive(settings.fanout(), probeTarget);
        missingNacks = relays.size();
        relays.forEach(relay -> send(relay, PING_REQ, ByteCursor.allocate(6).put(probeTarget, 2).put(probeSequence, 4)));
    }

    /** Sends the due negative acknowledgements: this relay works, but the target has not answered. */
    private void sendDueNacks() {
        if (!relayedPings.isEmpty()) {
            relayedPings.values().removeIf(relayedPing -> {
                if (now >= relayedPing.nackAtNanos) {
                    send(relayedPing.requester, NACK, ByteCursor.allocate(4).put(relayedPing.requesterSequence, 4));
                }
                return now >= relayedPing.nackAtNanos;
            });
        }
    }

    private void relayAck(int from, long sequence) {
        RelayedPing relayedPing = relayedPings.remove((long) from << 32 | sequence);
        if (relayedPing != null) {
            send(relayedPing.requester, RELAYED_ACK, ByteCursor.allocate(6).put(from, 2).put(relayedPing.requesterSequence, 4));
        }
    }

    private void onProbeSucceeded() {
        probeTarget = -1;
        pingTimeoutAtNanos = NEVER;
        healthScore = Math.max(0, healthScore - 1);
    }

    // ---- members

    private long memberVersion(int member) {
        Fact known = facts.get(FactKind.MEMBER.number(), member);
        return known == null ? -1 : known.version();
    }

    private static int state(long version) {
        return (int) (version % STATE_COUNT);
    }

    private void suspect(int member, int accuser) {
        long known = memberVersion(member);
        if (state(known) == ALIVE) {
            applyMemberState(new Fact(FactKind.MEMBER.number(), member, known + SUSPECT - ALIVE, ByteCursor.allocate(2)
                    .put(accuser, 2).toByteArray()));
        } else if (state(known) == SUSPECT) {
            confirm(new Fact(FactKind.MEMBER.number(), member, known, ByteCursor.allocate(2).put(accuser, 2).toByteArray()));
        }
    }

    /** Adds an accuser to a suspicion; the first few are gossiped, since each shortens the time that the suspect has. */
    private void confirm(Fact suspicion) {
        Suspicion current = suspicions.get(suspicion.subject());
        if (current != null && suspicion.value().length == 2 && current.accusers.size() <= settings.fanout()
                && current.accusers.add((int) ByteCursor.wrap(suspicion.value()).readUnsigned(2))) {
            facts.enqueue(suspicion);
        }
    }

    private void expireSuspicions() {
        if (suspicions.isEmpty()) {
            return;
        }
        for (int member : List.copyOf(suspicions.keySet())) {
            Suspicion suspicion = suspicions.get(member);
            long timeoutNanos = settings.suspicionTimeoutNanos(aliveCount, suspicion.accusers.size() - 1) * (1 + healthScore);
            if (now - suspicion.sinceNanos >= timeoutNanos) {
                applyMemberState(new Fact(FactKind.MEMBER.number(), member, memberVersion(member) - SUSPECT + DEAD, new byte[0]));
            }
        }
    }

    /** Handles a fact about the state of a member, from itself or from others. */
    private void applyMemberState(Fact fact) {
        int member = fact.subject();
        int state = state(fact.version());
        if (member == roster.self()) {
            refute(fact.version());
            return;
        }
        if (state == SUSPECT && fact.version() == memberVersion(member)) {
            confirm(fact);
            return;
        }
        if (!facts.putIfNewer(fact)) {
            return;
        }
        suspicions.remove(member);
        if (state == SUSPECT) {
            suspicions.put(member, new Suspicion(now, fact.value().length == 2 ? (int) ByteCursor.wrap(fact.value())
                    .readUnsigned(2) : member));
        }
        boolean nowAlive = state == ALIVE || state == SUSPECT;
        if (nowAlive != alive[member]) {
            alive[member] = nowAlive;
            aliveCount += nowAlive ? 1 : -1;
            callbacks.onLivenessChanged(member, nowAlive);
        }
    }

    /**
     * Refutes a newer fact about this member, such as a suspicion, its death, or a state from a generation that it does not
     * know, by publishing a higher incarnation.
     */
    private void refute(long version) {
        long own = incarnation * STATE_COUNT + (hasLeft ? LEFT : ALIVE);
        if (version > own) {
            healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + (state(version) == SUSPECT ? 1 : 0));
            incarnation = version / STATE_COUNT + 1;
            if (incarnation > generation && state(version) >= DEAD) {
                // The others know a later generation than this one, for instance because the clock was set back before a restart.
                generation = incarnation;
                Arrays.fill(sequenceNumbers, 0);
            }
            announceSelf();
        }
    }

    // ---- facts

    private void startSync() {
        int unreachable = random.nextInt(UNREACHABLE_CONTACT_ONE_IN) == 0 ? pickUnreachable() : -1;
        List<Integer> targets = unreachable >= 0 ? List.of(unreachable) : pickAlive(1, -1);
        targets.forEach(member -> sendSums(member, -1));
    }

    private void sendSums(int member, int group) {
        ByteCursor body = ByteCursor.allocate(1 + FactStore.GROUPS * FactStore.CHECKSUM_BYTES).put(group + 1, 1);
        facts.writeSums(body, group);
        send(member, SUMS, body);
    }

    private void sendVersions(int member, int leaf) {
        ByteCursor body = ByteCursor.allocate(maxBodyBytes());
        int count = Math.min(facts.factsInLeaf(leaf).size(), (maxBodyBytes() - 2) / VERSION_ENTRY_BYTES);
        body.put(leaf, 1).put(count, 1);
        facts.factsInLeaf(leaf).stream().limit(count)
                .forEach(fact -> body.put(fact.kind(), 1).put(fact.subject(), 2).put(fact.version(), Fact.VERSION_BYTES));
        send(member, VERSIONS, body);
    }

    /** Compares received checksums with its own and continues one level down where they differ. */
    private void onSums(int from, ByteCursor body) {
        int group = (int) body.readUnsigned(1) - 1;
        List<Integer> differing = facts.findDiffering(body, group);
        for (int i = 0; i < MAX_BRANCHES_PER_SYNC && !differing.isEmpty(); i++) {
            int drawn = differing.remove(random.nextInt(differing.size()));
            if (group < 0) {
                sendSums(from, drawn);
            } else {
                sendVersions(from, drawn);
            }
        }
    }

    /** Sends facts that are newer here, and its own versions if the other member has newer facts. */
    private void onVersions(int from, ByteCursor body) {
        int leaf = (int) body.readUnsigned(1);
        Map<Integer, Long> theirs = new HashMap<>();
        boolean missesNewer = false;
        for (long count = body.readUnsigned(1); count > 0; count--) {
            int kind = (int) body.readUnsigned(1);
            int subject = (int) body.readUnsigned(2);
            long version = body.readUnsigned(Fact.VERSION_BYTES);
            theirs.put(kind << 16 | subject, version);
            Fact own = facts.get(kind, subject);
            missesNewer |= own == null || own.version() < version;
        }
        ByteCursor newer = ByteCursor.allocate(maxBodyBytes());
        for (Fact fact : facts.factsInLeaf(leaf)) {
            if (fact.version() > theirs.getOrDefault(fact.key(), -1L)) {
                if (fact.encodedSize() > newer.remaining()) {
                    send(from, GOSSIP, newer);
                    newer = ByteCursor.allocate(maxBodyBytes());
                }
                fact.write(newer);
            }
        }
        if (newer.remaining() < maxBodyBytes()) {
            send(from, GOSSIP, newer);
        }
        if (missesNewer) {
            sendVersions(from, leaf);
        }
    }

    private static int maxBodyBytes() {
        return MAX_DATAGRAM_BYTES - MIN_DATAGRAM_BYTES;
    }

    // ---- datagrams

    /** Returns up to this number of random living members, without this one and another one. */
    private List<Integer> pickAlive(int count, int excluded) {
        Set<Integer> picked = new HashSet<>();
        for (int tries = 0; picked.size() < count && tries < 4 * count + 8; tries++) {
            int member = random.nextInt(roster.size());
            if (alive[member] && member != roster.self() && member != excluded) {
                picked.add(member);
            }
        }
        if (picked.isEmpty() && aliveCount > 1) {
            for (int i = 0; i < alive.length && picked.size() < count; i++) {
                if (alive[i] && i != roster.self() && i != excluded) {
                    picked.add(i);
                }
            }
        }
        return List.copyOf(picked);
    }

    /** Returns a random member that is not taken for alive, or -1. */
    private int pickUnreachable() {
        if (aliveCount == roster.size()) {
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
    private long send(int member, int type, ByteCursor body) {
        ByteCursor datagram = startDatagram(member, type).put(body.toByteArray());
        Fact receiverState = facts.get(FactKind.MEMBER.number(), member);
        if (receiverState != null && state(receiverState.version()) != ALIVE
                && datagram.remaining() >= receiverState.encodedSize()) {
            // Lifeguard's buddy system: a suspect gets the suspicion with the next datagram sent to it.
            receiverState.write(datagram);
        }
        facts.writeQueued(datagram, settings.maxSends(aliveCount));
        transmit(member, datagram);
        return sequenceNumbers[member];
    }

    private ByteCursor startDatagram(int member, int type) {
        return ByteCursor.allocate(MAX_DATAGRAM_BYTES - DatagramAuthenticator.TAG_BYTES).put(PROTOCOL_VERSION, 1).put(type, 1)
                .put(fleetTag, 4).put(roster.self(), 2).put(generation, 6)
                .put(++sequenceNumbers[member], 4);
    }

    private void transmit(int member, ByteCursor datagram) {
        byte[] tagged = authenticator.appendTag(datagram.toByteArray());
        sentDatagrams++;
        sentBytes += tagged.length;
        callbacks.send(member, tagged);
    }

    /** Handles a datagram received from the address of a member; -1 if the address belongs to no member. */
    public void onDatagram(long nowNanos, long nowUnixMillis, int from, byte[] datagram) {
        now = nowNanos;
        unixMillis = nowUnixMillis;
        receivedDatagrams++;
        receivedBytes += datagram.length;
        DropReason dropReason = handleDatagram(from, datagram);
        if (dropReason != null) {
            dropCounts.merge(dropReason, 1L, Long::sum);
        }
    }

    private DropReason handleDatagram(int from, byte[] datagram) {
        if (datagram.length < MIN_DATAGRAM_BYTES || datagram.length > MAX_DATAGRAM_BYTES) {
            return DropReason.LENGTH;
        }
        int length = datagram.length - DatagramAuthenticator.TAG_BYTES;
        ByteCursor in = ByteCursor.wrap(Arrays.copyOf(datagram, length));
        if (in.readUnsigned(1) != PROTOCOL_VERSION) {
            return DropReason.VERSION;
        }
        int type = (int) in.readUnsigned(1);
        if ((int) in.readUnsigned(4) != fleetTag) {
            return DropReason.FLEET;
        }
        if (!authenticator.hasValidTag(datagram)) {
            return DropReason.SEAL;
        }
        int sender = (int) in.readUnsigned(2);
        if (sender != from || sender == roster.self()) {
            return DropReason.SENDER;
        }
        long senderGeneration = in.readUnsigned(6);
        long sequence = in.readUnsigned(4);
        if (senderGeneration > unixMillis + MAX_CLOCK_AHEAD_MILLIS) {
            return DropReason.FUTURE;
        }
        DropReason replayReason = replayWindows[sender].accept(senderGeneration, sequence);
        if (replayReason != null) {
            if (replayReason == DropReason.OLD_LIFE) {
                // Tells a sender whose clock was set back of its later generation, so that it takes a still later one.
                ByteCursor notice = startDatagram(sender, GOSSIP);
                new Fact(FactKind.MEMBER.number(), sender, replayWindows[sender].generation() * STATE_COUNT + DEAD, new byte[0])
                        .write(notice);
                transmit(sender, notice);
            }
            return replayReason;
        }
        if (memberVersion(sender) < senderGeneration * STATE_COUNT) {
            applyMemberState(new Fact(FactKind.MEMBER.number(), sender, senderGeneration * STATE_COUNT + ALIVE, new byte[0]));
        }
        try {
            dispatch(sender, type, sequence, in);
            while (in.remaining() > 0) {
                handleFact(Fact.read(in));
            }
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            return DropReason.FORM;
        }
        return null;
    }

    private void dispatch(int sender, int type, long sequence, ByteCursor in) {
        switch (type) {
            case PING -> send(sender, ACK, ByteCursor.allocate(4).put(sequence, 4));
            case ACK -> {
                long ackedSequence = in.readUnsigned(4);
                relayAck(sender, ackedSequence);
                if (sender == probeTarget && ackedSequence == probeSequence) {
                    onProbeSucceeded();
                }
            }
            case RELAYED_ACK -> {
                // Names its target: sequence numbers are per receiver, so that another target's may be the same.
                if (in.readUnsigned(2) == probeTarget && in.readUnsigned(4) == probeSequence) {
                    onProbeSucceeded();
                }
            }
            case PING_REQ -> {
                int target = (int) in.readUnsigned(2);
                long requesterSequence = in.readUnsigned(4);
                if (target >= roster.size()) {
                    throw new IllegalArgumentException("indirect probe of an unknown member " + target);
                }
                long pingSequence = ping(target);
                relayedPings.put((long) target << 32 | pingSequence,
                        new RelayedPing(sender, requesterSequence, now
                        + (long) (settings.pingTimeoutNanos() * NACK_TIMEOUT_FRACTION)));
            }
            case NACK -> {
                if (probeTarget >= 0 && in.readUnsigned(4) == probeSequence) {
                    missingNacks--;
                }
            }
            case GOSSIP -> { }
            case SUMS -> onSums(sender, in);
            case VERSIONS -> onVersions(sender, in);
            default -> throw new IllegalArgumentException("datagram of an unknown type " + type);
        }
    }

    private void handleFact(Fact fact) {
        if (!facts.isKnownKind(fact.kind())) {
            return; // a kind of a newer build: skipped, and the rest still counts
        }
        if (fact.kind() == FactKind.MEMBER.number()) {
            if (fact.subject() >= roster.size() || fact.version() / STATE_COUNT > unixMillis + MAX_CLOCK_AHEAD_MILLIS) {
                throw new IllegalArgumentException("invalid member state: " + fact);
            }
            applyMemberState(fact);
        } else if (facts.putIfNewer(fact)) {
            callbacks.onFact(fact);
        }
    }
}
