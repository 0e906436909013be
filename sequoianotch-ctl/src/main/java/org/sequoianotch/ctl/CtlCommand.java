package org.sequoianotch.ctl;

/** Command of {@code sequoianotchctl}. */
public interface CtlCommand {
    /**
     * Runs the command.
     *
     * @param context output streams and environment of the command; not null
     * @return the exit code of the process, never null
     * @throws InterruptedException if the thread is interrupted while waiting for the node
     */
    ExitCode run(CtlContext context) throws InterruptedException;
}
