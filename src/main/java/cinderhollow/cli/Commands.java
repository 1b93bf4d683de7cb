package cinderhollow.cli;

import cinderhollow.lab.Lab;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The root command, with all subcommands except {@code serve} and {@code simhost}, which {@link Main} runs itself. */
@Command(name = "cinderhollow", mixinStandardHelpOptions = true, version = "cinderhollow 0.1.0",
        description = "A load-balancing gateway for server fleets, and a lab to test it.",
        subcommands = {DemoCommand.class, RunCommand.class, CheckCommand.class, LedgerCommand.class, ZoneCommand.class,
        LabCommand.class, EmulateCommand.class,
            Commands.Serve.class, Commands.Simhost.class})
final class Commands implements Runnable {
    @Spec
    private CommandSpec spec;

    static void run(String[] args) {
        CommandLine commandLine = new CommandLine(new Commands());
        commandLine.setExecutionExceptionHandler((fault, command, parsed) -> {
            // An error that the user can fix is printed as one line; any other is a bug and gets a stack trace.
            if (fault instanceof IllegalArgumentException || fault instanceof java.io.IOException) {
                command.getErr().println("cinderhollow: " + fault.getMessage());
                return Main.EXIT_BAD_INPUT;
            }
            throw fault;
        });
        int exitCode = commandLine.execute(args);
        if (exitCode != KEEPS_RUNNING) {
            System.exit(exitCode);
        }
    }

    /** Result of a command whose process keeps running after the command has returned; no exit code of the process. */
    static final int KEEPS_RUNNING = -1;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "no command given");
    }

    /** Closes the lab, and with it all processes that it started, when a signal ends this process. */
    static void closeOnExit(Lab lab) {
        Runtime.getRuntime().addShutdownHook(new Thread(lab::close));
    }

    static void print(CommandSpec spec, Object text) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(text);
        out.flush();
    }

    /** Shows {@code serve} in the help; {@link Main} runs the command. */
    @Command(name = "serve", description = "Run the gateway that the platform's LB_ variables describe. "
            + "Its one option is --operator FILE, in place of LB_OPERATOR.")
    static final class Serve implements Runnable {
        @Spec
        private CommandSpec spec;

        @Override
        public void run() {
            throw new ParameterException(spec.commandLine(), "serve takes no arguments but --operator FILE");
        }
    }

    /** Shows {@code simhost} in the help; {@link Main} runs the command. */
    @Command(name = "simhost", description = "Run the decision module for simulated gateways, on standard input and output. "
            + "Takes no options.")
    static final class Simhost implements Runnable {
        @Spec
        private CommandSpec spec;

        @Override
        public void run() {
            throw new ParameterException(spec.commandLine(), "simhost takes no options");
        }
    }
}
