package org.sequoianotch.policy.naive;

import org.sequoianotch.model.Criticality;
import org.sequoianotch.policy.retry.FailedAttempt;
import org.sequoianotch.policy.retry.RetryAllowance;
import org.sequoianotch.policy.retry.RetryPolicy;

/**
 * Retry policy that grants up to three retries at each hop after any failure, regardless of the allowance.
 *
 * <p>This class is stateless and thread-safe.
 */
public final class NaiveRetryPolicy implements RetryPolicy {
    private static final int RETRIES = 3;

    /** Creates the policy. */
    public NaiveRetryPolicy() {}

    @Override
    public void onFirstAttempt(Criticality criticality) {
        // There is no budget.
    }

    @Override
    public void onFirstAttemptOfRepeatedRun(Criticality criticality) {
        // There is no budget.
    }

    @Override
    public boolean mayRetry(FailedAttempt failedAttempt, RetryAllowance allowance) {
        return failedAttempt.attempts() <= RETRIES;
    }
}
