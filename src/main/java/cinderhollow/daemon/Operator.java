package cinderhollow.daemon;

import cinderhollow.core.Json;
import cinderhollow.operator.Finding;
import cinderhollow.operator.OperatorFile;
import cinderhollow.operator.Platform;
import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.Group;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.SettingsReader;
import cinderhollow.routes.Route;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The operator's file in a deployment: used whole, or not at all. Loaded only where one is named. */
public final class Operator {
    /** One screen of text. */
    private static final int MOST_SHOWN = 18;

    private Operator() { }

    /** The routes of the file; with any fault the gateway must not start, and the exception's text says why. */
    static List<Route> routes(String file, SettingsReader settings) {
        OperatorFile read = OperatorFile.read(Path.of(file), platform(settings));
        if (!read.findings().isEmpty()) {
            throw new IllegalArgumentException(text(file, read.findings(), MOST_SHOWN));
        }
        return read.routes();
    }

    private static Platform platform(SettingsReader settings) {
        boolean advice = settings.flag("allowed.retry_after", false);
        return new Platform(settings.read().classes(), settings.read().allowed().maxAttempts(),
                settings.flag("allowed.may_duplicate", false), advice ? settings.number("allowed.max_retry_after_ns", 0) : 0);
    }

    private static String text(String file, List<Finding> findings, int most) {
        List<String> lines = new ArrayList<>();
        lines.add("the operator's file " + file + " has " + findings.size() + (findings.size() == 1 ? " fault" : " faults")
                + "; nothing of it is used");
        findings.stream().limit(most).forEach(finding -> lines.add("  " + finding));
        if (findings.size() > most) {
            lines.add("  and " + (findings.size() - most) + " more: 'check " + file + "' shows all");
        }
        return String.join("\n", lines);
    }

    /**
     * What {@code check} prints: each route with its values, or all faults.
     *
     * @param config a gateway's JSON file, or null for a deployment with the usual two classes
     */
    public static String explain(Path file, Path config) throws IOException {
        OperatorFile read = OperatorFile.read(file, config == null ? usual()
                : platform(GatewayConfig.settings(Json.read(Files.readString(config)))));
        if (!read.findings().isEmpty()) {
            throw new IllegalArgumentException(text(file.toString(), read.findings(), Integer.MAX_VALUE));
        }
        return read.explained();
    }

    private static Platform usual() {
        return new Platform(List.of(
                new RequestClass("status", Effect.SAFE, Group.ALL, 0, TimeUnit.MILLISECONDS.toNanos(150),
                        TimeUnit.MILLISECONDS.toNanos(750), 1, 0, false),
                new RequestClass("submit", Effect.UNSAFE, Group.ALL, 0, TimeUnit.MILLISECONDS.toNanos(100),
                        TimeUnit.MILLISECONDS.toNanos(300), 5, 0, false)), 5, true, TimeUnit.MILLISECONDS.toNanos(400));
    }
}
