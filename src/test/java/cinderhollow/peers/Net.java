package cinderhollow.peers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/** Network of members in simulated time, with delays, loss, duplicates, one-way or two-way partitions, and paused members. */
public final class Net {
    public static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    static final long UNIX = 1_790_000_000_000L;
    static final Kind NOTE = new Kind(9, true, 0);

    /** Program that runs in a slot: does the work that is due, returns when the next is due, and receives datagrams. */
    public interface Member {
        long tick(long now, long unixMillis);

        void received(long now, long unixMillis, int from, byte[] datagram);
    }

    /** Creates the program of a slot for one of its runs. */
    public interface Maker {
        Member make(Place place, long unixMillis, long seed);
    }

    private record Due(long at, long turn, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(turn, other.turn);
        }
    }

    /** One entry of the member list, across restarts. */
    public final class Place {
        public final int number;
        private Member member;
        Peers peers;
        final List<Fact> told = new ArrayList<>();
        public long pausedUntil;
        public long clockAhead;
        int lives;

        Place(int number) {
            this.number = number;
        }

        public void start() {
            int life = ++lives;
            member = maker.make(this, unix(this), seed * 1_000 + number * 31 + life);
            run(life);
        }

        /** Sends a datagram to another member, without guarantee of delivery. */
        public void carry(int to, byte[] datagram) {
            Net.this.carry(this, places.get(to), datagram);
        }

        private Member peers(long unixMillis, long itsSeed) {
            peers = new Peers(new Roster(number, places.size(), "fleet", secret), GossipSettings.DEFAULT, List.of(NOTE),
                    itsSeed, unixMillis, new Peers.Host() {
                @Override
                public void send(int member, byte[] datagram) {
                    carry(member, datagram);
                }

                @Override
                public void told(Fact fact) {
                    told.add(fact);
                }

                @Override
                public void lives(int member, boolean alive) {
                    deaths += alive ? 0 : 1;
                }
            });
            Peers made = peers;
            return new Member() {
                @Override
                public long tick(long at, long unix) {
                    return made.tick(at, unix);
                }

                @Override
                public void received(long at, long unix, int from, byte[] datagram) {
                    made.received(at, unix, from, datagram);
                }
            };
        }

        private void run(int life) {
            if (life != lives || member == null) {
                return;
            }
            if (now < pausedUntil) {
                at(pausedUntil, () -> run(life));
                return;
            }
            long next = member.tick(now, unix(this));
            at(Math.max(now + MS, Math.min(next, now + 25 * MS)), () -> run(life));
        }

        public void kill() {
            member = null;
            peers = null;
            lives++;
        }
    }

    public final List<Place> places = new ArrayList<>();
    public final SplittableRandom random;
    private final Maker maker;
    final long seed;
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    byte[] secret = {1, 2, 3};
    public long now = SECOND;
    private long turns;
    /** Ticks, datagrams and other events so far. */
    public long steps;
    public double loss;
    public double repeats;
    public long mostDelay = 5 * MS;
    /** Returns whether datagrams from the first member to the second arrive. */
    public BiPredicate<Integer, Integer> open = (from, to) -> true;
    int deaths;
    final Set<Integer> tooLong = new HashSet<>();

    /** Creates a network of plain gossip members. */
    Net(int size, long seed) {
        this(size, seed, (place, unixMillis, itsSeed) -> place.peers(unixMillis, itsSeed));
    }

    /** Creates a network of the programs that the factory creates. */
    public Net(int size, long seed, Maker maker) {
        this.seed = seed;
        this.maker = maker;
        random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            places.add(new Place(i));
        }
    }

    public Net started() {
        places.forEach(Place::start);
        return this;
    }

    public long unix(Place place) {
        return UNIX + now / MS + place.clockAhead;
    }

    public void at(long time, Runnable work) {
        due.add(new Due(time, turns++, work));
    }

    private void carry(Place from, Place to, byte[] datagram) {
        if (datagram.length > Peers.LONGEST) {
            tooLong.add(datagram.length);
        }
        int copies = random.nextDouble() < repeats ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= loss) {
                at(now + random.nextLong(MS, mostDelay + 1), () -> arrive(from.number, to, datagram));
            }
        }
    }

    void arrive(int from, Place to, byte[] datagram) {
        if (to.member == null || !open.test(from, to.number)) {
            return;
        }
        if (now < to.pausedUntil) {
            at(to.pausedUntil, () -> arrive(from, to, datagram));
        } else {
            to.member.received(now, unix(to), from, datagram);
        }
    }

    public void run(long nanos) {
        long end = now + nanos;
        while (!due.isEmpty() && due.peek().at <= end) {
            Due next = due.poll();
            now = next.at;
            next.work.run();
            steps++;
        }
        now = end;
    }

    /** Runs until the condition holds, for a limited time; returns the nanoseconds that this took, or -1 if it never held. */
    public long until(long most, java.util.function.BooleanSupplier condition) {
        long begin = now;
        while (now < begin + most) {
            run(20 * MS);
            if (condition.getAsBoolean()) {
                return now - begin;
            }
        }
        return -1;
    }

    /** Returns whether each running member takes exactly these for alive. */
    boolean allSee(Set<Integer> living) {
        return places.stream().filter(p -> p.peers != null && living.contains(p.number))
                .allMatch(p -> p.peers.living() == living.size() && living.stream().allMatch(p.peers::isAlive));
    }

    Set<Integer> all() {
        Set<Integer> all = new HashSet<>();
        places.forEach(p -> all.add(p.number));
        return all;
    }

    Set<Integer> allBut(Integer... but) {
        Set<Integer> all = all();
        all.removeAll(Set.of(but));
        return all;
    }
}
