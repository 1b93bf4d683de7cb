package cinderhollow.lab;

import java.util.Locale;

/**
 * One fault of a plan.
 *
 * @param atMillis when it begins, counted from the start of the arrivals
 * @param kind what happens
 * @param targetIndex number of the node, gateway or zone, or {@link #NO_TARGET}
 * @param durationMillis how long it lasts
 * @param size a factor, a fraction of the requests or a count, depending on the kind
 */
record Fault(long atMillis, Kind kind, int targetIndex, long durationMillis, double size) {
    /** Target index of faults of discovery, which have no numbered target. */
    static final int NO_TARGET = -1;

    /** What a kind of fault affects. */
    enum Target { NODE, GATEWAY, DISCOVERY, ZONE }

    /** Kinds of faults. Their names in lower case with hyphens are the keywords of a plan. */
    enum Kind {
        /** The node's process crashes and its connections are reset; it restarts cold at the end of the fault. */
        CRASH(Target.NODE),
        /** The node is listed as draining, then rejects new requests; it is up again, and warm, at the end of the fault. */
        DRAIN(Target.NODE),
        /** The node accepts connections and requests, but does not answer. */
        SILENT(Target.NODE),
        /** The node's machine is cut off: open connections stay open but silent, and new ones are not established. */
        VANISH(Target.NODE),
        /** The node works slower by the factor {@code size}. */
        SLOW(Target.NODE),
        /** The node answers a fraction {@code size} of the requests with 500 at once, without executing them. */
        ERRORS(Target.NODE),
        /** The node executes requests, but sends malformed HTTP in place of a fraction {@code size} of the answers. */
        SPOILT(Target.NODE),
        /** The node sends a surplus answer after a fraction {@code size} of the answers. */
        SURPLUS(Target.NODE),
        /** The node resets the connection of a fraction {@code size} of the requests before it executes them. */
        RESET_BEFORE(Target.NODE),
        /** The node executes requests, but resets the connection in place of a fraction {@code size} of the answers. */
        RESET_AFTER(Target.NODE),
        /** The gateway gets SIGKILL; a new process starts at the same address at the end of the fault. */
        KILL_GATEWAY(Target.GATEWAY),
        /**
         * The gateway gets SIGTERM, and SIGKILL as early as the platform may send it; clients go on using their open
         * connections. A new process starts at the same address once the fault has ended and the old process has exited.
         */
        STOP_GATEWAY(Target.GATEWAY),
        /** A gateway that is shutting down gets another SIGTERM; nothing happens if it is not shutting down. */
        STOP_AGAIN(Target.GATEWAY),
        /** The gateway gets SIGHUP and reloads its unchanged configuration. The signal is delayed until the process is ready. */
        HANG_UP_GATEWAY(Target.GATEWAY),
        /** {@code size} clients connect and send nothing, and connect again when they are closed. */
        CROWD(Target.GATEWAY),
        /** The gateway gets SIGSTOP, and SIGCONT at the end: its state is then stale, and nothing notifies it of that. */
        PAUSE_GATEWAY(Target.GATEWAY),
        /** Clients send malformed requests on {@code size} connections at the same time. */
        RUDE(Target.GATEWAY),
        /** Discovery answers 503, and its watches are closed. */
        DISCOVERY_DOWN(Target.DISCOVERY),
        /** Discovery moves to another address; the configuration is rewritten, and each gateway gets SIGHUP. */
        DISCOVERY_MOVE(Target.DISCOVERY),
        /** All nodes of a zone accept requests but do not answer, and discovery does not notice it. */
        ZONE_SILENT(Target.ZONE),
        /** All nodes of a zone crash, and restart cold at the end of the fault. */
        ZONE_CRASH(Target.ZONE),
        /** All nodes of a zone work slower by the factor {@code size}. */
        ZONE_SLOW(Target.ZONE),
        /** The nodes and gateways of a zone are cut off from the other zones, in both directions. */
        ZONE_CUT(Target.ZONE),
        /**
         * Streams from a zone's gateways to nodes of the other zones are cut. Streams in the other direction, and datagrams in
         * both, pass.
         */
        ZONE_CUT_OUT(Target.ZONE),
        /** Datagrams from and to a zone are lost; streams pass. */
        ZONE_MUTE(Target.ZONE);

        private final Target target;

        Kind(Target target) {
            this.target = target;
        }

        /** Returns what this kind affects. */
        Target target() {
            return target;
        }

        /** Returns the keyword of this kind in a plan, such as {@code kill-gateway}. */
        String keyword() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    Fault {
        if (atMillis < 0 || durationMillis <= 0) {
            throw new IllegalArgumentException("invalid times of a fault: " + atMillis + "ms and duration " + durationMillis
                    + "ms");
        }
        if (!(size >= 0 && size <= 1e6)) {
            throw new IllegalArgumentException("invalid size of a fault, must be 0 to 1000000: " + size);
        }
        if (targetIndex < 0 && kind.target() != Target.DISCOVERY) {
            throw new IllegalArgumentException(kind.keyword() + " needs a " + kind.target().name().toLowerCase(Locale.ROOT));
        }
    }

    /** Returns the name of the target, as in plans, discovery's list and reports. */
    String targetName() {
        return switch (kind.target()) {
            case NODE -> LabNames.nodeName(targetIndex);
            case GATEWAY -> LabNames.gatewayName(targetIndex);
            case DISCOVERY -> "discovery";
            case ZONE -> FleetConfig.ZONES.get(targetIndex);
        };
    }

    /** Returns the fault as a line of a plan that {@link FaultPlan#parse} can read. */
    @Override
    public String toString() {
        return "at " + atMillis + "ms " + kind.keyword() + " " + targetName() + " for " + durationMillis + "ms size "
                + (size == Math.rint(size) ? String.valueOf((long) size) : String.valueOf(size));
    }
}
