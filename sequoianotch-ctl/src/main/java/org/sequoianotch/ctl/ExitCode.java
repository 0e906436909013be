package org.sequoianotch.ctl;

/** Exit codes of {@code sequoianotchctl}. */
public enum ExitCode {
    /** The command did what it was asked for. */
    OK(0),
    /** The node refused it, or a template has problems. Nothing was changed. */
    REFUSED(1),
    /** The command line is wrong, or a file cannot be read or written. */
    USAGE(2),
    /** The node is not reachable or gave no valid answer. */
    NOT_REACHABLE(3),
    /** It is not known whether a change was made; the same command with the same change id finds out. */
    IN_DOUBT(4);

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
