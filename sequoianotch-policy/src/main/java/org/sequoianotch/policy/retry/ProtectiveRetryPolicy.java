package org.sequoianotch.policy.retry;

import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.Clock;

/**
 * Retry policy that is bounded by the allowance of the request, the budget of the service and the remaining time.
 *
 * <p>Calls on safe routes are retried after every failure that another attempt may avoid. Calls on other routes are
 * retried only if the failure also proves that the call did not run. Retries after an unreachable or draining host are
 * not charged to the budget. This class is thread-safe.
 */
public final class ProtectiveRetryPolicy implements RetryPolicy {
    private final RetryBudget budget;

    /**
     * Creates the policy of one service at one node.
     *
     * @param rule limits of the service; not null
     * @param clock the clock; not null
     */
    public ProtectiveRetryPolicy(ServiceRule rule, Clock clock) {
        this.budget = RetryBudget.of(rule.retryBudgetPercent(), clock);
    }

    @Override
    public void onFirstAttempt(Criticality criticality) {
        budget.onFirstAttempt();
    }

    @Override
    public void onFirstAttemptOfRepeatedRun(Criticality criticality) {
        // The allowance of a request bounds the retries of its whole chain.
        budget.onFirstAttempt();
    }

    @Override
    public boolean mayRetry(FailedAttempt failedAttempt, RetryAllowance allowance) {
        boolean repeatable = failedAttempt.repeat().isRepeatableInDoubt()
                || failedAttempt.failure().provesNotRun();
        if (!repeatable
                || failedAttempt.timeLeftMs() <= 0
                || !mayBenefitFromRetry(failedAttempt.failure().kind())) {
            return false;
        }
        if (addsNoLoad(failedAttempt.failure().kind())) {
            return allowance.takeForRetry();
        }
        // The budget is checked first, so that a refused retry does not consume the allowance of the request.
        synchronized (budget) {
            return budget.hasToken(failedAttempt.criticality())
                    && allowance.takeForRetry()
                    && budget.take(failedAttempt.criticality());
        }
    }

    /**
     * Tells whether the failed attempt reached no backend server, so that another one adds no load. A host that was
     * killed would otherwise exhaust the budget that the service needs for its other failures.
     */
    private static boolean addsNoLoad(ErrorKind kind) {
        return kind == ErrorKind.NO_INSTANCE || kind == ErrorKind.DRAINING;
    }

    /** Tells whether an immediate attempt at another instance may end differently. */
    private static boolean mayBenefitFromRetry(ErrorKind kind) {
        return switch (kind) {
                // NO_INSTANCE means that the host of the attempt was unreachable; another host may be reachable.
            case OVERLOADED,
                    INSTANCE_REFUSED,
                    DRAINING,
                    NO_INSTANCE,
                    CONNECTION_LOST,
                    BACKEND_CUT_ANSWER,
                    INTERNAL -> true;
            case BAD_REQUEST,
                    UNKNOWN_SERVICE,
                    KEY_REQUIRED,
                    KEY_REUSED,
                    KEY_IN_PROGRESS,
                    KEY_IN_DOUBT,
                    LEDGER_UNREACHABLE,
                    LEDGER_NOT_READY,
                    RETRIES_EXHAUSTED,
                    DEADLINE_BEFORE_RUN,
                    DEADLINE_IN_DOUBT,
                    BODY_INCOMPLETE,
                    BODY_TOO_LARGE,
                    NOT_CONFIGURED,
                    CALL_CANCELLED,
                    CALLER_GONE -> false;
        };
    }
}
