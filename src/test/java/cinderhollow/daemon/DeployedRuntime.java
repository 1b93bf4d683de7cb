package cinderhollow.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The Java runtime as the deployment's command starts it, read from {@code deploy/balancer.toml}. */
final class DeployedRuntime {
    private static final Path DEPLOYMENT = Path.of("deploy", "balancer.toml");
    private static final Pattern RUN_COMMAND = Pattern.compile("^run = \"exec java (.*) -jar ", Pattern.MULTILINE);

    private DeployedRuntime() { }

    /** Returns the environment that gives a process the options of the deployment's command, and these beside them. */
    static Map<String, String> environment(String... moreOptions) throws IOException {
        return Map.of("JAVA_TOOL_OPTIONS", options() + " " + String.join(" ", List.of(moreOptions)));
    }

    /** The archive of loaded classes is left out: it belongs to the jar, and tests run from a folder of classes. */
    private static String options() throws IOException {
        Matcher command = RUN_COMMAND.matcher(Files.readString(DEPLOYMENT));
        if (!command.find()) {
            throw new IOException("no command in " + DEPLOYMENT);
        }
        return command.group(1).replaceAll("-Xshare:auto|-XX:SharedArchiveFile=\\S+", "");
    }
}
