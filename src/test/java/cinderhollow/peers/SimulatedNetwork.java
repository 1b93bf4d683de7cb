package cinderhollow.peers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/** Network of members in simulated time, with delays, loss, duplicates, one-way or two-way partitions, and paused members. */
public final class SimulatedNetwork {
    public static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    static final long START_UNIX_MILLIS = 1_790_000_000_000L;
    static final FactKind NOTE_KIND = new FactKind(9, true, 0);

    /** Program that runs in a slot: does the work that is due, returns when the next is due, and receives datagrams. */
    public interface Member {
        long tick(long now, long unixMillis);

        void onDatagram(long now, long unixMillis, int from, byte[] datagram);
    }

    /** Creates the program of a slot for one of its runs. */
    public interface MemberFactory {
        Member make(MemberSlot slot, long unixMillis, long seed);
    }

    private record ScheduledTask(long atNanos, long sequence, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return atNanos != other.atNanos ? Long.compare(atNanos, other.atNanos) : Long.compare(sequence, other.sequence);
        }
    }

    /** One entry of the member list, across restarts. */
    public final class MemberSlot {
        public final int number;
        private Member member;
        Peers peers;
        final List<Fact> receivedFacts = new ArrayList<>();
        public long pausedUntilNanos;
        public long clockAheadMillis;
        int currentRun;

        MemberSlot(int number) {
            this.number = number;
        }

        public void start() {
            int runNumber = ++currentRun;
            member = factory.make(this, unixMillis(this), seed * 1_000 + number * 31 + runNumber);
            runTick(runNumber);
        }

        /** Sends a datagram to another member, without guarantee of delivery. */
        public void sendTo(int to, byte[] datagram) {
            SimulatedNetwork.this.transmit(this, slots.get(to), datagram);
        }

        private Member peers(long unixMillis, long itsSeed) {
            peers = new Peers(new Roster(number, slots.size(), "fleet", secret), GossipSettings.DEFAULT, List.of(NOTE_KIND),
                    itsSeed, unixMillis, new Peers.Callbacks() {
                @Override
                public void send(int member, byte[] datagram) {
                    sendTo(member, datagram);
                }

                @Override
                public void onFact(Fact fact) {
                    receivedFacts.add(fact);
                }

                @Override
                public void onLivenessChanged(int member, boolean alive) {
                    deathReports += alive ? 0 : 1;
                }
            });
            Peers made = peers;
            return new Member() {
                @Override
                public long tick(long at, long unix) {
                    return made.tick(at, unix);
                }

                @Override
                public void onDatagram(long at, long unix, int from, byte[] datagram) {
                    made.onDatagram(at, unix, from, datagram);
                }
            };
        }

        private void runTick(int runNumber) {
            if (runNumber != currentRun || member == null) {
                return;
            }
            if (now < pausedUntilNanos) {
                schedule(pausedUntilNanos, () -> runTick(runNumber));
                return;
            }
            long next = member.tick(now, unixMillis(this));
            schedule(Math.max(now + MS, Math.min(next, now + 25 * MS)), () -> runTick(runNumber));
        }

        public void kill() {
            member = null;
            peers = null;
            currentRun++;
        }
    }

    public final List<MemberSlot> slots = new ArrayList<>();
    public final SplittableRandom random;
    private final MemberFactory factory;
    final long seed;
    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>();
    byte[] secret = {1, 2, 3};
    public long now = SECOND;
    private long nextSequence;
    /** Ticks, datagrams and other events so far. */
    public long steps;
    public double lossRatio;
    public double duplicateRatio;
    public long maxDelayNanos = 5 * MS;
    /** Returns whether datagrams from the first member to the second arrive. */
    public BiPredicate<Integer, Integer> canDeliver = (from, to) -> true;
    int deathReports;
    final Set<Integer> oversizedLengths = new HashSet<>();

    /** Creates a network of plain gossip members. */
    SimulatedNetwork(int size, long seed) {
        this(size, seed, (slot, unixMillis, itsSeed) -> slot.peers(unixMillis, itsSeed));
    }

    /** Creates a network of the programs that the factory creates. */
    public SimulatedNetwork(int size, long seed, MemberFactory factory) {
        this.seed = seed;
        this.factory = factory;
        random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            slots.add(new MemberSlot(i));
        }
    }

    public SimulatedNetwork startAll() {
        slots.forEach(MemberSlot::start);
        return this;
    }

    public long unixMillis(MemberSlot slot) {
        return START_UNIX_MILLIS + now / MS + slot.clockAheadMillis;
    }

    public void schedule(long atNanos, Runnable task) {
        scheduledTasks.add(new ScheduledTask(atNanos, nextSequence++, task));
    }

    private void transmit(MemberSlot from, MemberSlot to, byte[] datagram) {
        if (datagram.length > Peers.MAX_DATAGRAM_BYTES) {
            oversizedLengths.add(datagram.length);
        }
        int copies = random.nextDouble() < duplicateRatio ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= lossRatio) {
                schedule(now + random.nextLong(MS, maxDelayNanos + 1), () -> deliver(from.number, to, datagram));
            }
        }
    }

    void deliver(int from, MemberSlot to, byte[] datagram) {
        if (to.member == null || !canDeliver.test(from, to.number)) {
            return;
        }
        if (now < to.pausedUntilNanos) {
            schedule(to.pausedUntilNanos, () -> deliver(from, to, datagram));
        } else {
            to.member.onDatagram(now, unixMillis(to), from, datagram);
        }
    }

    public void runFor(long nanos) {
        long end = now + nanos;
        while (!scheduledTasks.isEmpty() && scheduledTasks.peek().atNanos <= end) {
            ScheduledTask next = scheduledTasks.poll();
            now = next.atNanos;
            next.task.run();
            steps++;
        }
        now = end;
    }

    /** Runs until the condition holds, for a limited time; returns the nanoseconds that this took, or -1 if it never held. */
    public long runUntil(long maxNanos, java.util.function.BooleanSupplier condition) {
        long begin = now;
        while (now < begin + maxNanos) {
            runFor(20 * MS);
            if (condition.getAsBoolean()) {
                return now - begin;
            }
        }
        return -1;
    }

    /** Returns whether each running member takes exactly these for alive. */
    boolean doAllAgreeAlive(Set<Integer> living) {
        return slots.stream().filter(p -> p.peers != null && living.contains(p.number))
                .allMatch(p -> p.peers.aliveCount() == living.size() && living.stream().allMatch(p.peers::isAlive));
    }

    Set<Integer> allMembers() {
        Set<Integer> all = new HashSet<>();
        slots.forEach(p -> all.add(p.number));
        return all;
    }

    Set<Integer> allMembersExcept(Integer... excluded) {
        Set<Integer> all = allMembers();
        all.removeAll(Set.of(excluded));
        return all;
    }
}
