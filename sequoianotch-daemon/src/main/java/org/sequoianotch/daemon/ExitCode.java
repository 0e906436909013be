package org.sequoianotch.daemon;

/** Exit codes of {@code sequoianotchd}. */
public enum ExitCode {
    /** The command did what it was asked for. */
    OK(0),
    /** The node could not start, for example because a port is in use. */
    START_FAILED(1),
    /** The command line is wrong. */
    USAGE(2),
    /** The settings or a template file are wrong. */
    WRONG_SETTINGS(3),
    /** The node stopped, but requests in flight were cut off by the shutdown timeout. */
    CUT_OFF(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the number that the process ends with.
     *
     * @return the exit code
     */
    public int code() {
        return code;
    }
}
