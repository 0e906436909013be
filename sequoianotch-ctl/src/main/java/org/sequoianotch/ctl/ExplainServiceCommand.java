package org.sequoianotch.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.OptionalLong;
import org.sequoianotch.model.ServiceName;

/** Explains what happened to the requests of a service. */
@Command(name = "explain-service", description = "Explain what happened to the requests of a service")
public class ExplainServiceCommand extends RemoteCommand {
    @Arguments(title = "NAME", description = "Name of the service")
    @Required
    private String service = "";

    @Option(name = "--since", title = "DURATION", description = "How far to look back, such as 30m (default 1h)")
    private String since = "1h";

    /** Creates the command; the command line parser sets its options. */
    public ExplainServiceCommand() {}

    @Override
    ExitCode execute(CtlContext context, AdminClient client) throws InterruptedException {
        OptionalLong sinceMs = DurationText.parseMs(since);
        if (sinceMs.isEmpty()) {
            context.err().println("--since \"" + since + "\" must be a number with s, m, h or d, such as 30m.");
            return ExitCode.USAGE;
        }
        try {
            ServiceName name = ServiceName.of(service);
            return print(context, client.get("/v1/explain/service/" + name + "?since_ms=" + sinceMs.getAsLong()));
        } catch (IllegalArgumentException e) {
            context.err().println(e.getMessage());
            return ExitCode.USAGE;
        }
    }
}
