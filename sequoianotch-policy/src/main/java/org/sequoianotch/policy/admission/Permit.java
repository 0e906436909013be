package org.sequoianotch.policy.admission;

/** Permission for one call to the backend server, to be released exactly once; later releases have no effect. */
public interface Permit {
    /**
     * Returns the time that the call spent in the queue.
     *
     * @return the time in milliseconds; not negative
     */
    double waitedMs();

    /**
     * Releases the permit after the call has ended.
     *
     * @param result result of the call; not null
     * @param latencyMs latency of the backend server, in milliseconds; not negative
     */
    void release(CallResult result, double latencyMs);
}
