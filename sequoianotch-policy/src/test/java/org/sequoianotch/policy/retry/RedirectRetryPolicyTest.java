package org.sequoianotch.policy.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.template.RepeatRule;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.ManualClock;

/** Guards against bookings that are sent twice, and against redirects and retries without end. */
final class RedirectRetryPolicyTest {
    private static final int BUDGET_PERCENT = 20;
    private static final ServiceRule RULE = new ServiceRule(ServiceName.of("jury"), 10, 10, 100, BUDGET_PERCENT, 0);

    private static final SharedRetryLimit LIMIT = new SharedRetryLimit(10_000, 47, () -> 24);

    private final RedirectRetryPolicy policy = new RedirectRetryPolicy(RULE, LIMIT, ManualClock.startingAt(0));

    private boolean mayRetry(ErrorKind kind, RepeatRule repeat, int attempts) {
        FailedAttempt failedAttempt =
                new FailedAttempt(Failure.of(kind, "test"), repeat, Criticality.STANDARD, attempts, 100);
        return policy.mayRetry(failedAttempt, RetryAllowance.of(1));
    }

    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void callThatMayHaveRunIsNotRetriedOnUnsafeRoutes(ErrorKind kind) {
        boolean granted = mayRetry(kind, RepeatRule.NEVER, 1);

        assertThat(granted && !kind.provesNotRun()).isFalse();
    }

    /** Refusals by nodes take no work of instances, but a service that always refuses must not be called forever. */
    @ParameterizedTest
    @EnumSource(names = {"OVERLOADED", "DRAINING", "NO_INSTANCE"})
    void callsRefusedByNodesAreRedirectedUpToThreeTimes(ErrorKind kind) {
        for (int attempt = 1; attempt <= 3; attempt++) {
            assertThat(mayRetry(kind, RepeatRule.NEVER, attempt)).isTrue();
        }
        assertThat(mayRetry(kind, RepeatRule.NEVER, 4)).isFalse();
    }

    /** Repeated runs made their calls as first attempts, and the service below got more repeats than the budget. */
    @Test
    void callsOfRepeatedRunsUseUpTheBudget() {
        for (int i = 0; i < 100; i++) {
            policy.onFirstAttempt(Criticality.STANDARD);
        }
        // 80% of a fifth of 100 calls and of an equal part of the constant.
        int budget = (int) (0.8 * (20 + 47.0 / 24));
        for (int i = 0; i < budget - 2; i++) {
            policy.onFirstAttemptOfRepeatedRun(Criticality.STANDARD);
        }
        assertThat(mayRetry(ErrorKind.CONNECTION_LOST, RepeatRule.SAFE, 1)).isTrue();
        assertThat(mayRetry(ErrorKind.CONNECTION_LOST, RepeatRule.SAFE, 1)).isTrue();
        assertThat(mayRetry(ErrorKind.CONNECTION_LOST, RepeatRule.SAFE, 1)).isFalse();
    }

    @Test
    void idleNodeDoesNotAccumulateRetries() {
        assertThat(mayRetry(ErrorKind.CONNECTION_LOST, RepeatRule.SAFE, 1)).isTrue();

        assertThat(mayRetry(ErrorKind.CONNECTION_LOST, RepeatRule.SAFE, 1)).isFalse();
    }
}
