package org.sequoianotch.daemon;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Entry point of {@code sequoianotchd}. This class is stateless. */
public final class Main {
    private Main() {}

    /**
     * Runs the command given by the arguments and exits with its exit code.
     *
     * @param arguments the command line; not null
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        System.exit(run(arguments).code());
    }

    private static ExitCode run(String[] arguments) throws InterruptedException {
        CliBuilder<DaemonCommand> builder = Cli.<DaemonCommand>builder("sequoianotchd")
                .withDescription("The node process of sequoianotch")
                .withDefaultCommand(RunCommand.class)
                .withCommand(RunCommand.class)
                .withCommand(CheckCommand.class);
        try {
            return builder.build().parse(arguments).run();
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.err.println("Usage: sequoianotchd [run|check] --settings FILE");
            return ExitCode.USAGE;
        }
    }
}
