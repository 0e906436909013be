package org.sequoianotch.policy.naive;

import org.sequoianotch.policy.retry.RetryAllowance;
import org.sequoianotch.policy.retry.RetryPolicy;
import org.sequoianotch.policy.retry.RetryQuestion;

/** Up to three retries at each hop after any failure, whatever the allowance. This class is stateless. */
public final class NaiveRetryPolicy implements RetryPolicy {
    private static final int RETRIES = 3;

    /** Creates the policy. */
    public NaiveRetryPolicy() {}

    @Override
    public void onFirstAttempt() {
        // There is no budget.
    }

    @Override
    public boolean mayRetry(RetryQuestion question, RetryAllowance allowance) {
        return question.attempts() <= RETRIES;
    }
}
