package org.sequoianotch.policy.admission;

/** Permission for one call to the backend server. It must be released exactly once; later releases do nothing. */
public interface Permit {
    /**
     * Returns how long the call waited in the queue.
     *
     * @return the wait in milliseconds; not negative
     */
    double waitedMs();

    /**
     * Returns the permit after the call has ended.
     *
     * @param result how the call ended; not null
     * @param latencyMs time that the backend server took, in milliseconds; not negative
     */
    void release(CallResult result, double latencyMs);
}
