package org.sequoianotch.policy.retry;

import org.sequoianotch.model.Criticality;

/** Decides whether a failed attempt is retried. Implementations are thread-safe. */
public interface RetryPolicy {
    /**
     * Counts a first attempt; the retry budget is a percentage of these.
     *
     * @param criticality importance of the call; not null
     */
    void onFirstAttempt(Criticality criticality);

    /**
     * Counts the first attempt of a call that a repeated run makes. The run made the same call before, so that it is a
     * repeat for the service that is called.
     *
     * @param criticality importance of the call; not null
     */
    void onFirstAttemptOfRepeatedRun(Criticality criticality);

    /**
     * Decides whether the call may be retried and, if so, charges the retry to the allowance and the budget as far as
     * the policy requires it.
     *
     * @param failedAttempt the failed attempt; not null
     * @param allowance the allowance of the request at this node; not null
     * @return true if the call may be sent again
     */
    boolean mayRetry(FailedAttempt failedAttempt, RetryAllowance allowance);
}
