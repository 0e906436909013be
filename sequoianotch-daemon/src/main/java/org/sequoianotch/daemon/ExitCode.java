package org.sequoianotch.daemon;

/** Exit codes of {@code sequoianotchd}. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The node could not start, for example because a port is in use. */
    START_FAILED(1),
    /** The command line is invalid. */
    USAGE(2),
    /** The settings or a template file are invalid. */
    WRONG_SETTINGS(3),
    /** The node stopped, but the shutdown timeout aborted requests in flight. */
    CUT_OFF(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the exit status
     */
    public int code() {
        return code;
    }
}
