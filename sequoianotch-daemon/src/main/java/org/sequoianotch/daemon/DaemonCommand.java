package org.sequoianotch.daemon;

/** A command of {@code sequoianotchd}. */
interface DaemonCommand {
    /** Runs the command and returns the exit code. */
    ExitCode run() throws InterruptedException;
}
