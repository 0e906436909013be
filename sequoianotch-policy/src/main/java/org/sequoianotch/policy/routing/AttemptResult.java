package org.sequoianotch.policy.routing;

/** Result of one attempt at an instance, classified by what it indicates about the instance. */
public enum AttemptResult {
    /** The instance responded without a server error. */
    SUCCEEDED(false),
    /** The instance responded with a server error. */
    SERVER_ERROR(true),
    /** The instance's node refused the call because of load or draining. */
    REFUSED(false),
    /** The instance or its node could not be reached, or the connection was lost. */
    UNREACHABLE(true),
    /** The attempt timed out. */
    TIMED_OUT(true),
    /** The caller cancelled the attempt. */
    CANCELLED(false);

    private final boolean fault;

    AttemptResult(boolean fault) {
        this.fault = fault;
    }

    /**
     * Tells whether the result counts against the instance.
     *
     * @return true for errors, lost connections and timeouts
     */
    public boolean isFault() {
        return fault;
    }
}
