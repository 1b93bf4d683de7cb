package cinderhollow.lab;

import java.util.Locale;

/**
 * One trouble of a plan.
 *
 * @param atMillis when it begins, counted from the first arrival
 * @param who a node or a gateway by its number, or {@link #EVERYONE}
 * @param forMillis how long it lasts
 * @param size what it means depends on the kind: a factor, or a part of the requests
 */
record Fault(long atMillis, Kind kind, int who, long forMillis, double size) {
    /** For faults that aim at nobody in particular. */
    static final int EVERYONE = -1;

    /** Whom a kind of fault aims at. */
    enum Target { NODE, GATEWAY, DISCOVERY, ZONE }

    /** What may happen. */
    enum Kind {
        /** The process dies, its connections break; it is back, cold, when the time is over. */
        CRASH(Target.NODE),
        /** Leaves the list as draining, turns away what comes new, and is back warm when the time is over. */
        DRAIN(Target.NODE),
        /** Accepts and says nothing. */
        SILENT(Target.NODE),
        /** A machine that is cut off: open connections stay open and silent, new ones don't come up. */
        VANISH(Target.NODE),
        /** Works slower by the factor {@code size}. */
        SLOW(Target.NODE),
        /** Answers a part {@code size} of the requests with 500, at once and unseen. */
        ERRORS(Target.NODE),
        /** Runs a request and then spoils a part {@code size} of the answers. */
        SPOILT(Target.NODE),
        /** Sends more than belongs to it behind a part {@code size} of the answers. */
        SURPLUS(Target.NODE),
        /** Breaks the connection under a part {@code size} of the requests, before they run. */
        RESET_BEFORE(Target.NODE),
        /** Runs a request and then breaks the connection in place of a part {@code size} of the answers. */
        RESET_AFTER(Target.NODE),
        /** SIGKILL; a new process follows at the same address when the time is over. */
        KILL_GATEWAY(Target.GATEWAY),
        /**
         * SIGTERM, and SIGKILL as early as the platform may send it; clients go on using the connections that they have. A new
         * process follows at the same address when the time is over and the old one has ended.
         */
        STOP_GATEWAY(Target.GATEWAY),
        /** SIGTERM once more to a process that was told to end; nothing where none was. */
        STOP_AGAIN(Target.GATEWAY),
        /** SIGHUP: the configuration is read anew, which is the same. Not before the process is ready. */
        HANG_UP_GATEWAY(Target.GATEWAY),
        /** {@code size} clients connect and say nothing, and connect anew when they are closed. */
        CROWD(Target.GATEWAY),
        /** SIGSTOP, and SIGCONT when the time is over: what it knows is old by then, and nobody has told it so. */
        PAUSE_GATEWAY(Target.GATEWAY),
        /** Clients that send what can't be read, {@code size} connections at a time. */
        RUDE(Target.GATEWAY),
        /** Discovery answers 503 and its watches end. */
        DISCOVERY_DOWN(Target.DISCOVERY),
        /** Discovery moves to another address; the configuration is rewritten and each gateway gets SIGHUP. */
        DISCOVERY_MOVE(Target.DISCOVERY),
        /** All nodes of a zone accept and say nothing, and discovery does not notice. */
        ZONE_SILENT(Target.ZONE),
        /** All nodes of a zone die, and are back cold. */
        ZONE_CRASH(Target.ZONE),
        /** All nodes of a zone work slower by the factor {@code size}. */
        ZONE_SLOW(Target.ZONE),
        /** Nodes and gateways of a zone are cut off from the other zones. */
        ZONE_CUT(Target.ZONE),
        /** What a zone's gateways send to nodes of the others does not arrive; the other way all is well, datagrams too. */
        ZONE_CUT_OUT(Target.ZONE),
        /** Datagrams from and to a zone are lost, streams are not. */
        ZONE_MUTE(Target.ZONE);

        private final Target target;

        Kind(Target target) {
            this.target = target;
        }

        Target target() {
            return target;
        }

        String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    Fault {
        if (atMillis < 0 || forMillis <= 0) {
            throw new IllegalArgumentException("a fault's times can't be " + atMillis + "ms and " + forMillis + "ms");
        }
        if (!(size >= 0 && size <= 1e6)) {
            throw new IllegalArgumentException("a fault's size can't be " + size);
        }
        if (who < 0 && kind.target() != Target.DISCOVERY) {
            throw new IllegalArgumentException(kind.word() + " needs a " + kind.target().name().toLowerCase(Locale.ROOT));
        }
    }

    /** The name of whom it aims at, as lists and reports have it. */
    String whoText() {
        return switch (kind.target()) {
            case NODE -> Names.node(who);
            case GATEWAY -> Names.gateway(who);
            case DISCOVERY -> "discovery";
            case ZONE -> Site.ZONES.get(who);
        };
    }

    /** A line of a plan, as {@link Plan#parse} reads it. */
    @Override
    public String toString() {
        return "at " + atMillis + "ms " + kind.word() + " " + whoText() + " for " + forMillis + "ms size "
                + (size == Math.rint(size) ? String.valueOf((long) size) : String.valueOf(size));
    }
}
