package cinderhollow.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.testing.Await;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs whole fleets with real gateways in processes of their own. */
class LabTest {
    private static final int TIMEOUT_SECONDS = 60;

    private static Report run(FleetConfig site, String plan) throws Exception {
        try (Lab lab = new Lab(site, FaultPlan.parse(plan, site.nodes(), site.gateways()),
                GatewayProcess.launcher(GatewayProcess.DEPLOYMENT_JVM_FLAGS), second -> { })) {
            return lab.run();
        }
    }

    /** Includes a killed gateway, whose open requests are excused, and nodes that reset connections after a request ran. */
    @Test
    void theRealGatewayKeepsTheRulesUnderFaults() throws Exception {
        Report report = run(FleetConfig.withDefaults(9, 3, 200, 12, 5), """
                at 500ms crash node-1 for 1500ms size 1
                at 1000ms drain node-2 for 4000ms size 1
                at 1500ms errors node-3 for 2000ms size 0.9
                at 2000ms kill-gateway gw-0 for 500ms size 1
                at 2500ms rude gw-1 for 500ms size 16
                at 3000ms reset-after node-4 for 3000ms size 0.2
                at 3500ms spoilt node-5 for 3000ms size 0.2
                at 4000ms discovery-move discovery for 1ms size 1
                at 5000ms surplus node-6 for 2000ms size 0.3
                at 5500ms vanish node-7 for 2000ms size 1
                at 6000ms stop-gateway gw-2 for 1500ms size 1
                at 7500ms discovery-down discovery for 1000ms size 1
                at 8000ms silent node-8 for 1000ms size 1
                at 9000ms reset-before node-0 for 1000ms size 0.5
                """);
        assertTrue(report.isClean(), report::toString);
        assertTrue(report.served() > report.requests() * 0.8, report::toString);
        assertEquals(0, report.openMalformedConnections());
    }

    /** Guards against reporting lateness as a breach when all cores are busy with other work. */
    @Test
    void aFullyLoadedMachineGivesNoFalseBreach() throws Exception {
        List<Process> busyLoops = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * Runtime.getRuntime().availableProcessors(); i++) {
                busyLoops.add(new ProcessBuilder("/bin/sh", "-c", "while :; do :; done").start());
            }
            Report report = run(FleetConfig.withDefaults(4, 2, 60, 4, 6), "at 500ms crash node-1 for 1000ms size 1\n"
                    + "at 600ms drain node-2 for 2000ms size 1\n");
            assertTrue(report.isClean(), report::toString);
        } finally {
            busyLoops.forEach(Process::destroyForcibly);
        }
    }

    @Test
    void aFleetTooLargeForTheDescriptorsIsRefusedInOneLine() {
        String line = assertThrows(IllegalArgumentException.class, () -> new Lab(FleetConfig.withDefaults(10_000, 50, 1, 1, 1),
                FaultPlan.empty(), GatewayProcess.launcher(List.of()), second -> { })).getMessage();
        assertTrue(line.startsWith("too few file descriptors: this run may need ") && !line.contains("\n"), line);
    }

    private static Process startCommand(Path folder, Path log, String... arguments) throws Exception {
        List<String> command = new ArrayList<>(GatewayProcess.javaCommand(List.of("-Xmx128m"), folder));
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    /** Guards against processes and temporary files that remain when the demo is interrupted by Ctrl-C. */
    @Test
    void anInterruptedDemoLeavesNothingBehind(@TempDir Path folder, @TempDir Path logs) throws Exception {
        Path log = logs.resolve("demo.log");
        Process demo = startCommand(folder, log, "demo", "--seconds", "600", "--nodes", "3", "--rate", "50");
        try {
            Await.until("the first seconds", () -> Files.readString(log).contains("   1s  served"));
            List<ProcessHandle> children = demo.descendants().toList();
            assertEquals(3, children.size(), "three gateways");
            new ProcessBuilder("/bin/sh", "-c", "kill -INT " + demo.pid()).start().waitFor();
            assertTrue(demo.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the demo exits after SIGINT");
            for (ProcessHandle child : children) {
                child.onExit().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            }
            try (Stream<Path> remaining = Files.list(folder)) {
                assertEquals(List.of(), remaining.filter(path -> !path.getFileName().toString().startsWith("hsperf")).toList());
            }
        } finally {
            demo.descendants().forEach(ProcessHandle::destroyForcibly);
            demo.destroyForcibly();
        }
    }

    private static String firstErrorLine(Path folder, int expectedExitCode, String... arguments) throws Exception {
        Path log = folder.resolve("out.log");
        Process process = startCommand(folder, log, arguments);
        try {
            assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } finally {
            process.destroyForcibly();
        }
        String text = Files.readString(log);
        assertEquals(expectedExitCode, process.exitValue(), text);
        assertFalse(text.contains("\tat "), text);
        return text.lines().findFirst().orElse("");
    }

    @Test
    void aUserErrorIsReportedInOneLine(@TempDir Path folder) throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String listen = "127.0.0.1:" + taken.getLocalPort();
            String line = firstErrorLine(folder, 1, "run", "--listen", listen, "--nodes", "127.0.0.1:1", "--class", "a:safe");
            assertTrue(line.startsWith("cinderhollow: can't listen on ") && line.contains("in use"), line);
        }
        String noClass = firstErrorLine(folder, 1, "run", "--nodes", "127.0.0.1:1");
        assertTrue(noClass.contains("no class of requests"), noClass);
        Path plan = Files.writeString(folder.resolve("plan"), "at 1ms explode node-0 for 1ms size 1\n");
        String badPlan = firstErrorLine(folder, 1, "demo", "--plan", plan.toString());
        assertTrue(badPlan.contains("line 1: no such fault: 'explode'"), badPlan);
        String badSize = firstErrorLine(folder, 1, "demo", "--nodes", "0");
        assertTrue(badSize.contains("nodes can't be 0"), badSize);
        String badWord = firstErrorLine(folder, 2, "demo", "--nodse", "3");
        assertTrue(badWord.contains("--nodse"), badWord);
    }
}
