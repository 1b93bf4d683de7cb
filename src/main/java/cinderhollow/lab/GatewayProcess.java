package cinderhollow.lab;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A real gateway: this program's command {@code serve} in a process of its own, as in the deployment. */
public final class GatewayProcess implements GatewayLauncher.RunningGateway {
    /** JVM flags of the deployment's command, for a small footprint and a quick start. */
    public static final List<String> DEPLOYMENT_JVM_FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
            "-XX:CICompilerCount=1", "-Xms40m", "-Xmx64m", "-Xss512k", "-XX:-UsePerfData",
            "-XX:MaxDirectMemorySize=24m", "-Dio.netty.allocator.numDirectArenas=1",
            "-Dio.netty.allocator.numHeapArenas=1", "-Dio.netty.allocator.maxOrder=5",
            "-Djava.net.preferIPv4Stack=true");
    private static final int LOG_TAIL_LINES = 5;

    private final Process process;
    private final Path log;

    private GatewayProcess(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /** Returns a launcher of gateways with these JVM flags. */
    public static GatewayLauncher launcher(List<String> jvmFlags) {
        return spec -> start(jvmFlags, "serve", spec);
    }

    /** Returns a launcher that also sets these environment variables, such as {@code LD_PRELOAD}. */
    public static GatewayLauncher launcher(List<String> jvmFlags, Map<String, String> extraVariables) {
        return spec -> {
            Map<String, String> environment = new HashMap<>(spec.environment());
            environment.putAll(extraVariables);
            return start(jvmFlags, "serve", new GatewayLauncher.Spec(spec.number(), environment, spec.folder()));
        };
    }

    private static GatewayProcess start(List<String> jvmFlags, String subcommand, GatewayLauncher.Spec spec) throws IOException {
        List<String> command = new ArrayList<>(javaCommand(jvmFlags, spec.folder()));
        command.add(subcommand);
        Path log = spec.folder().resolve(LabNames.gatewayName(spec.number()) + ".log");
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(spec.environment());
        return new GatewayProcess(builder.start(), log);
    }

    /** Returns the command line of this program without a subcommand, with the Java runtime of this process. */
    static List<String> javaCommand(List<String> jvmFlags, Path tempFolder) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmFlags);
        command.add("-Djava.io.tmpdir=" + tempFolder);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add("cinderhollow.cli.Main");
        return command;
    }

    @Override
    public boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void terminate() {
        process.destroy();
    }

    @Override
    public void kill() {
        process.destroyForcibly();
    }

    @Override
    public void reload() {
        SignalSender.send("HUP", process.pid());
    }

    @Override
    public void setPaused(boolean paused) {
        SignalSender.send(paused ? "STOP" : "CONT", process.pid());
    }

    @Override
    public Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    @Override
    public boolean awaitExit(Duration timeout) throws InterruptedException {
        return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public String logTail() {
        try {
            List<String> lines = Files.readAllLines(log, StandardCharsets.UTF_8);
            String tail = String.join(" | ", lines.subList(Math.max(0, lines.size() - LOG_TAIL_LINES), lines.size()));
            return (process.isAlive() ? "" : "exit code " + process.exitValue() + ": ") + tail;
        } catch (IOException e) {
            return "could not read the log: " + e.getMessage();
        }
    }
}
