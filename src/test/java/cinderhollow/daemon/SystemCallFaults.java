package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Builds the library {@code src/test/c/syscall_faults.c}, which makes system calls of a process fail. */
final class SystemCallFaults {
    private SystemCallFaults() { }

    /** Returns an environment in which {@code percent} of the calls on files fail for {@code durationSeconds}, and no others. */
    static Map<String, String> fileFaultEnvironment(Path folder, int percent, long seed, int durationSeconds) throws Exception {
        Map<String, String> environment = new HashMap<>(faultEnvironment(folder, 0, seed, 0));
        environment.put("SYSCALL_FAULTS_FILES", String.valueOf(percent));
        environment.put("SYSCALL_FAULTS_UNTIL", String.valueOf(durationSeconds));
        return environment;
    }

    /** Returns an environment in which {@code percent} of the calls fail, from {@code delaySeconds} after the start on. */
    static Map<String, String> faultEnvironment(Path folder, int percent, long seed, int delaySeconds) throws Exception {
        Path library = folder.resolve("libsyscallfaults.so");
        Path errors = folder.resolve("gcc.log");
        Process compiler = new ProcessBuilder("gcc", "-O2", "-shared", "-fPIC", "-o", library.toString(),
                "src/test/c/syscall_faults.c", "-ldl").redirectErrorStream(true).redirectOutput(errors.toFile()).start();
        assertEquals(0, compiler.waitFor(), () -> {
            try {
                return Files.readString(errors);
            } catch (java.io.IOException e) {
                return e.toString();
            }
        });
        return Map.of("LD_PRELOAD", library.toString(), "SYSCALL_FAULTS_PERCENT", String.valueOf(percent),
                "SYSCALL_FAULTS_SEED", String.valueOf(seed), "SYSCALL_FAULTS_AFTER", String.valueOf(delaySeconds));
    }
}
