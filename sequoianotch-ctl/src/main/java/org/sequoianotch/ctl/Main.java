package org.sequoianotch.ctl;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Entry point of {@code sequoianotchctl}. This class is stateless. */
public final class Main {
    private static final String USAGE =
            """
            Usage: sequoianotchctl COMMAND [OPTIONS]
              status                                          what is degraded, members, services, load
              explain REQUEST-ID                              what happened to a request
              explain service NAME [--since 1h]               what happened to the requests of a service
              explain-service NAME [--since 1h]               the same
              report burn [--format text|json|html] [--output FILE]
              template check FILE                             checks a template without a node
              template show                                   templates in force
              template apply FILE --expect-revision N [--dry-run] [--wait SECONDS] [--change-id ID]
            Options: --node ADDRESS (127.0.0.1:8083), --key-file FILE (or SEQUOIANOTCH_OPERATOR_KEY), --json,
              --timeout-ms N (5000)""";

    private Main() {}

    /**
     * Runs the command given by the arguments and exits with its exit code.
     *
     * @param arguments the command line; not null
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        CtlContext context = new CtlContext(System.out, System.err, System.getenv());
        ExitCode code = run(context, arguments);
        System.out.flush();
        System.exit(code.code());
    }

    static ExitCode run(CtlContext context, String... arguments) throws InterruptedException {
        CtlCommand command;
        try {
            command = cli().parse(arguments);
        } catch (ParseException e) {
            context.err().println(e.getMessage());
            context.err().println(USAGE);
            return ExitCode.USAGE;
        }
        return command.run(context);
    }

    private static Cli<CtlCommand> cli() {
        CliBuilder<CtlCommand> builder =
                Cli.<CtlCommand>builder("sequoianotchctl").withDescription("The operator command of sequoianotch");
        builder.withCommand(StatusCommand.class).withCommand(ExplainServiceCommand.class);
        builder.withGroup("explain")
                .withDescription("What happened to requests")
                .withDefaultCommand(ExplainCommand.class)
                .withCommand(ExplainServiceSubcommand.class);
        builder.withGroup("report").withDescription("Reports").withCommand(ReportBurnCommand.class);
        builder.withGroup("template")
                .withDescription("Protection templates")
                .withCommand(TemplateCheckCommand.class)
                .withCommand(TemplateShowCommand.class)
                .withCommand(TemplateApplyCommand.class);
        return builder.build();
    }
}
