package org.sequoianotch.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.sequoianotch.model.RequestId;

/** Explains what happened to a request. */
@Command(name = "request", description = "Explain what happened to a request")
public final class ExplainCommand extends RemoteCommand {
    @Arguments(title = "REQUEST-ID", description = "Value of the Sequoianotch-Request-Id header")
    @Required
    private String requestId = "";

    /** Creates the command; the command line parser sets its options. */
    public ExplainCommand() {}

    @Override
    ExitCode execute(CtlContext context, AdminClient client) throws InterruptedException {
        if (RequestId.parse(requestId).isEmpty()) {
            context.err()
                    .println("\"" + requestId
                            + "\" is not a request id; expected 32 hexadecimal digits that are not all zero.");
            return ExitCode.USAGE;
        }
        return print(context, client.get("/v1/explain/" + requestId));
    }
}
