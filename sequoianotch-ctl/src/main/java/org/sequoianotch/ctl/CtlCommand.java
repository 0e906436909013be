package org.sequoianotch.ctl;

/** A command of {@code sequoianotchctl}. */
public interface CtlCommand {
    /**
     * Runs the command.
     *
     * @param context where it prints; not null
     * @return how the process ends, never null
     * @throws InterruptedException if the thread is interrupted while waiting for the node
     */
    ExitCode run(CtlContext context) throws InterruptedException;
}
