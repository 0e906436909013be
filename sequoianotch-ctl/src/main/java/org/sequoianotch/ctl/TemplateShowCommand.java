package org.sequoianotch.ctl;

import com.github.rvesse.airline.annotations.Command;

/** Prints the templates in force on a node. */
@Command(name = "show", description = "Show the templates in force on the node and their revision")
public final class TemplateShowCommand extends RemoteCommand {
    /** Creates the command; the command line parser sets its options. */
    public TemplateShowCommand() {}

    @Override
    ExitCode execute(CtlContext context, AdminClient client) throws InterruptedException {
        return print(context, client.get("/v1/templates"));
    }
}
