package org.sequoianotch.policy.retry;

import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.Clock;

/**
 * Retry policy that charges only calls which reached an instance to the retry budget.
 *
 * <p>A call that was refused before it reached an instance is redirected to another one, up to three times. The calls
 * of a repeated run use up the budget, but are always sent, because the run fails without them. This class is
 * thread-safe.
 */
public final class RedirectRetryPolicy implements RetryPolicy {
    /** After so many refusals in a row the service as a whole has no capacity, and further redirects add latency. */
    private static final int MAX_REDIRECTS = 3;

    private final SlidingRetryBudget budget;

    /**
     * Creates the policy of one service at one node.
     *
     * @param rule limits of the service, of which the retry budget applies to all nodes together; not null
     * @param limit limit on the retries of all nodes; not null
     * @param clock the clock; not null
     */
    public RedirectRetryPolicy(ServiceRule rule, SharedRetryLimit limit, Clock clock) {
        this.budget = new SlidingRetryBudget(rule.retryBudgetPercent(), limit, clock);
    }

    @Override
    public void onFirstAttempt(Criticality criticality) {
        synchronized (budget) {
            budget.onFirstAttempt(criticality);
        }
    }

    @Override
    public void onFirstAttemptOfRepeatedRun(Criticality criticality) {
        synchronized (budget) {
            budget.take(criticality);
        }
    }

    @Override
    public boolean mayRetry(FailedAttempt failedAttempt, RetryAllowance allowance) {
        ErrorKind kind = failedAttempt.failure().kind();
        if (failedAttempt.timeLeftMs() <= 0) {
            return false;
        }
        return switch (kind) {
            case OVERLOADED, DRAINING, NO_INSTANCE -> failedAttempt.attempts() <= MAX_REDIRECTS;
            case INSTANCE_REFUSED -> takeFromBudget(failedAttempt.criticality(), allowance);
            case CONNECTION_LOST, BACKEND_CUT_ANSWER -> failedAttempt.repeat().isRepeatableInDoubt()
                    && takeFromBudget(failedAttempt.criticality(), allowance);
            default -> false;
        };
    }

    private boolean takeFromBudget(Criticality criticality, RetryAllowance allowance) {
        synchronized (budget) {
            if (!budget.hasRetry(criticality) || !allowance.takeForRetry()) {
                return false;
            }
            budget.take(criticality);
            return true;
        }
    }
}
