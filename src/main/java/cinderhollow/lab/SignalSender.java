package cinderhollow.lab;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/**
 * Sends signals to processes through one shell that is kept running. Starting a process for each signal takes a tenth of a second
 * or more on a busy machine, so that a gateway would be paused later than recorded. The shell exits with this process.
 */
final class SignalSender {
    private static SignalSender shared;

    private final BufferedWriter shellInput;
    private final BufferedReader shellOutput;

    private SignalSender() throws IOException {
        // Uses the shell's builtin kill, since there may be no such command on the path.
        Process shell = new ProcessBuilder("/bin/sh").redirectError(ProcessBuilder.Redirect.INHERIT).start();
        shellInput = new BufferedWriter(new OutputStreamWriter(shell.getOutputStream(), StandardCharsets.US_ASCII));
        shellOutput = new BufferedReader(new InputStreamReader(shell.getInputStream(), StandardCharsets.US_ASCII));
    }

    /** Sends the signal of this name, such as STOP, and returns once it is sent. Does nothing if the process no longer exists. */
    static synchronized void send(String name, long pid) {
        try {
            if (shared == null) {
                shared = new SignalSender();
            }
            shared.runCommand("kill -" + name + " " + pid + " 2>/dev/null; echo sent");
        } catch (IOException e) {
            shared = null;
            throw new IllegalStateException("could not send a signal: " + e.getMessage(), e);
        }
    }

    private void runCommand(String line) throws IOException {
        shellInput.write(line + "\n");
        shellInput.flush();
        if (shellOutput.readLine() == null) {
            throw new IOException("the shell that sends signals has exited");
        }
    }
}
