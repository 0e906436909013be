package org.sequoianotch.ctl;

import com.github.rvesse.airline.annotations.Command;

/** Prints the status of the deployment. */
@Command(name = "status", description = "Show what is degraded, the members, the services and their load")
public final class StatusCommand extends RemoteCommand {
    /** Creates the command; the command line parser sets its options. */
    public StatusCommand() {}

    @Override
    ExitCode execute(CtlContext context, AdminClient client) throws InterruptedException {
        return print(context, client.get("/v1/status"));
    }
}
