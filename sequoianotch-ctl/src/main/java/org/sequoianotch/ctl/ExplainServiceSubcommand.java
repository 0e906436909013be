package org.sequoianotch.ctl;

import com.github.rvesse.airline.annotations.Command;

/** Registers {@link ExplainServiceCommand} also as {@code explain service NAME}. */
@Command(name = "service", description = "Explain what happened to the requests of a service")
public final class ExplainServiceSubcommand extends ExplainServiceCommand {
    /** Creates the command; the command line parser sets its options. */
    public ExplainServiceSubcommand() {}
}
