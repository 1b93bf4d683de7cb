package cinderhollow.cli;

import cinderhollow.lab.Lab;
import java.io.PrintWriter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import picocli.CommandLine;

/** All commands but the platform's own two, which {@link Main} answers itself. */
@Command(name = "cinderhollow", mixinStandardHelpOptions = true, version = "cinderhollow 0.1.0",
        description = "A load-balancing gateway for server fleets, and a lab to try it in.",
        subcommands = {DemoCommand.class, RunCommand.class, CheckCommand.class, LedgerCommand.class, ZoneCommand.class, LabCommand.class, EmulateCommand.class,
            Commands.Serve.class, Commands.Simhost.class})
final class Commands implements Runnable {
    @Spec
    private CommandSpec spec;

    static void run(String[] args) {
        CommandLine line = new CommandLine(new Commands());
        line.setExecutionExceptionHandler((fault, command, parsed) -> {
            // What a user can mend is one plain line; anything else is a fault of ours and shows where.
            if (fault instanceof IllegalArgumentException || fault instanceof java.io.IOException) {
                command.getErr().println("cinderhollow: " + fault.getMessage());
                return Main.EXIT_BAD_INPUT;
            }
            throw fault;
        });
        int code = line.execute(args);
        if (code != KEEPS_RUNNING) {
            System.exit(code);
        }
    }

    /** The exit code of a command whose process goes on after it. */
    static final int KEEPS_RUNNING = -1;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "name a command");
    }

    /** Runs a lab that is ended by a signal too, with all that it started. */
    static void closeOnExit(Lab lab) {
        Runtime.getRuntime().addShutdownHook(new Thread(lab::close));
    }

    static void print(CommandSpec spec, Object text) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(text);
        out.flush();
    }

    /** For the help alone. */
    @Command(name = "serve", description = "Be the gateway that the platform's LB_ variables describe. "
            + "Its one option is --operator FILE, in place of LB_OPERATOR.")
    static final class Serve implements Runnable {
        @Spec
        private CommandSpec spec;

        @Override
        public void run() {
            throw new ParameterException(spec.commandLine(), "serve takes --operator FILE or nothing");
        }
    }

    /** For the help alone. */
    @Command(name = "simhost", description = "Decide for the gateways on standard input, on the simulator's wire. "
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
