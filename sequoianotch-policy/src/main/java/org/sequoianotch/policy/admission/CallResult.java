package org.sequoianotch.policy.admission;

/** Result of an admitted call, classified by what it indicates about the load of the backend server. */
public enum CallResult {
    /** The backend server responded without a server error. */
    SUCCEEDED(false),
    /** The backend server responded with an error that is not a sign of overload. */
    FAILED(false),
    /** The backend server shed the call, timed out or broke the connection. */
    OVERLOADED(true),
    /** The backend server failed the call after partial work because a sub-call failed, which is no sign of load. */
    SHED_DOWNSTREAM(false),
    /** The caller cancelled the call, so that its latency is not a valid sample. */
    CANCELLED(false);

    private final boolean signOfOverload;

    CallResult(boolean signOfOverload) {
        this.signOfOverload = signOfOverload;
    }

    /**
     * Tells whether the result indicates that the backend server is overloaded, so that its concurrency limit should be
     * lowered.
     *
     * @return true for a sign of overload
     */
    public boolean isSignOfOverload() {
        return signOfOverload;
    }
}
