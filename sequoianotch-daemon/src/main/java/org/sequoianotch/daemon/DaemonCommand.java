package org.sequoianotch.daemon;

/** Command of {@code sequoianotchd}. */
interface DaemonCommand {
    /** Runs the command and returns the exit code. */
    ExitCode run() throws InterruptedException;
}
