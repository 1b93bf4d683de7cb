package cinderhollow.daemon;

import cinderhollow.core.Json;
import cinderhollow.evacuation.EvacuationSettings;
import cinderhollow.membership.EndpointList;
import cinderhollow.membership.Subset.FleetPosition;
import cinderhollow.operator.Finding;
import cinderhollow.operator.LedgerConfig;
import cinderhollow.operator.OperatorFile;
import cinderhollow.operator.PeersConfig;
import cinderhollow.operator.PlatformConstraints;
import cinderhollow.operator.ScalingConfig;
import cinderhollow.peers.Roster;
import cinderhollow.policy.Protocol.DedupGroup;
import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.Settings;
import cinderhollow.policy.SettingsReader;
import cinderhollow.routes.Route;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Loads the operator's file of a deployment, which is used whole or not at all. Loaded only where a file is named. */
public final class OperatorConfigLoader {
    /** Findings shown at most in the error message: about one screen of text. */
    private static final int MAX_FINDINGS_SHOWN = 18;

    private OperatorConfigLoader() { }

    /** The configuration of a valid file. */
    record LoadedConfig(List<Route> routes, EventLoopConfig eventLoops, LoopLedgerConfig ledger, SocketAddress adminAddress,
            PeersConfig peers) { }

    /**
     * Reads the file. Any fault in it causes an {@link IllegalArgumentException} that lists the faults, and the gateway must
     * not start.
     */
    static LoadedConfig read(String file, SettingsReader settings) {
        OperatorFile operatorFile = OperatorFile.read(Path.of(file), readPlatform(settings));
        if (!operatorFile.findings().isEmpty()) {
            throw new IllegalArgumentException(describeFindings(file, operatorFile.findings(), MAX_FINDINGS_SHOWN));
        }
        return new LoadedConfig(operatorFile.routes(), toEventLoopConfig(operatorFile.scalingConfig()),
                toLedgerConfig(operatorFile.ledgerConfig()),
                operatorFile.adminAddress() == null ? null : AdminClient.parseAddress(operatorFile.adminAddress()),
                operatorFile.peersConfig());
    }

    /** Returns the peers, from the operator's file or else from the platform's configuration. */
    static Peering readPeering(PeersConfig peers, SettingsReader settings, Json json) {
        Settings parsedSettings = settings.read();
        List<InetSocketAddress> members = new ArrayList<>();
        peers.members().forEach(member -> members.add(EndpointList.parseAddress(member)));
        if (members.isEmpty()) {
            json.field("peers").entries().forEach(peer -> members.add(EndpointList.parseAddress(peer.text())));
        }
        String listen = peers.listenAddress() == null ? json.field("peer_listen").text() : peers.listenAddress();
        int number = peers.memberNumber() < 0 ? parsedSettings.gatewayNumber() : peers.memberNumber();
        if (members.size() < 2 || number >= members.size() || listen.isEmpty()) {
            throw new IllegalArgumentException("[peers] and the platform's file give no usable members or listen address");
        }
        try {
            byte[] secret = peers.secretFile() == null ? new byte[0] : Files.readAllBytes(peers.secretFile());
            return new Peering(EndpointList.parseAddress(listen), members,
                    new Roster(number, members.size(), peers.fleet(), secret),
                    new EvacuationSettings(peers.zones(), peers.zones().indexOf(parsedSettings.zone()), peers.gatewaysByZone(),
                    peers.regionByZone(), peers.maxRegionsOut(), peers.holdNanos(), peers.maxHoldNanos()));
        } catch (IOException e) {
            throw new IllegalArgumentException("can't read the file with the fleet's secret: " + e.getMessage(), e);
        }
    }

    private static LoopLedgerConfig toLedgerConfig(LedgerConfig books) {
        return books == null ? null : new LoopLedgerConfig(books.logIntervalNanos(), books.directory(), books.syncIntervalNanos(),
                LoopLedgerConfig.DEFAULT_MAX_SEGMENT_BYTES, 0, 1);
    }

    private static EventLoopConfig toEventLoopConfig(ScalingConfig growth) {
        FleetPosition place = growth.subsetSize() == 0 ? null
                : new FleetPosition(growth.subsetSize(), growth.gatewaysByZone(), growth.zone(), growth.numberInZone());
        return growth.loopCount() == 1 && place == null ? null
                : new EventLoopConfig(growth.loopCount(), growth.listenerPerLoop(), false, growth.loopCount(), place);
    }

    private static PlatformConstraints readPlatform(SettingsReader settings) {
        boolean retryAfterAllowed = settings.flag("allowed.retry_after", false);
        Settings parsedSettings = settings.read();
        return new PlatformConstraints(parsedSettings.classes(), parsedSettings.upstreamOptions().maxAttempts(),
                settings.flag("allowed.may_duplicate", false),
                retryAfterAllowed ? settings.number("allowed.max_retry_after_ns", 0) : 0, parsedSettings.gateways(),
                parsedSettings.gatewayNumber(),
                parsedSettings.zone(), settings.flag("allowed.peers", true));
    }

    /** Returns the error message for a file with faults, which shows at most {@code most} of them. */
    private static String describeFindings(String file, List<Finding> findings, int maxShown) {
        List<String> lines = new ArrayList<>();
        lines.add("the operator's file " + file + " has " + findings.size() + (findings.size() == 1 ? " fault" : " faults")
                + "; nothing of it is used");
        findings.stream().limit(maxShown).forEach(finding -> lines.add("  " + finding));
        if (findings.size() > maxShown) {
            lines.add("  and " + (findings.size() - maxShown) + " more: 'check " + file + "' shows all");
        }
        return String.join("\n", lines);
    }

    /**
     * Returns the output of the command {@code check}: each route with its values. Faults in the file cause an {@link
     * IllegalArgumentException} that lists all of them.
     *
     * @param config a gateway's JSON file, or null for a deployment with the two default classes
     */
    public static String explain(Path file, Path config) throws IOException {
        OperatorFile operatorFile = OperatorFile.read(file, config == null ? defaultPlatform()
                : readPlatform(GatewayConfig.settings(Json.read(Files.readString(config)))));
        if (!operatorFile.findings().isEmpty()) {
            throw new IllegalArgumentException(describeFindings(file.toString(), operatorFile.findings(), Integer.MAX_VALUE));
        }
        return operatorFile.explain();
    }

    /** Returns the platform of a deployment with the two default classes. */
    private static PlatformConstraints defaultPlatform() {
        return new PlatformConstraints(List.of(
                new RequestClass("status", Effect.SAFE, DedupGroup.ALL, 0, TimeUnit.MILLISECONDS.toNanos(150),
                        TimeUnit.MILLISECONDS.toNanos(750), 1, 0, false),
                new RequestClass("submit", Effect.UNSAFE, DedupGroup.ALL, 0, TimeUnit.MILLISECONDS.toNanos(100),
                        TimeUnit.MILLISECONDS.toNanos(300), 5, 0, false)), 5, true, TimeUnit.MILLISECONDS.toNanos(400));
    }
}
