package org.sequoianotch.ctl;

/** Exit codes of {@code sequoianotchctl}. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The node refused the command, or a template is invalid. Nothing was changed. */
    REFUSED(1),
    /** The command line is invalid, or a file cannot be read or written. */
    USAGE(2),
    /** The node is not reachable or did not send a valid response. */
    NOT_REACHABLE(3),
    /** It is unknown whether a change was made; repeating the command with the same change id tells whether it was. */
    IN_DOUBT(4);

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
