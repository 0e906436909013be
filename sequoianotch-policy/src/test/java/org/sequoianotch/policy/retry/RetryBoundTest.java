package org.sequoianotch.policy.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.policy.PolicyMode;
import org.sequoianotch.policy.TestLimits;
import org.sequoianotch.template.RepeatRule;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.ManualClock;

/** Guards against retries that multiply along a call chain, and against an allowance that grows or loses retries. */
final class RetryBoundTest {
    private static final int DEPTH = 7;
    private static final int FAN_OUT = 2;
    private static final ServiceRule RULE = new ServiceRule(ServiceName.of("caisse"), 10, 10, 100, 100, 0);

    @Property(seed = "20261204", tries = 300)
    void retriesOverAChainNeverExceedTheAllowance(
            @ForAll long seed, @ForAll @IntRange(max = 12) int allowed, @ForAll @IntRange(max = 100) int failPercent) {
        CallChain callChain = new CallChain(PolicyMode.PROTECTIVE, seed, failPercent);
        RetryAllowance allowance = RetryAllowance.of(allowed);
        callChain.call(0, allowance);
        assertThat(callChain.retries).isAtMost(allowed);
        assertThat(callChain.retries + callChain.lost + allowance.close()).isEqualTo(allowed);
    }

    @Test
    void naiveRetriesMultiply() {
        CallChain callChain = new CallChain(PolicyMode.NAIVE, 1, 50);
        callChain.call(0, RetryAllowance.of(3));
        assertThat(callChain.retries).isGreaterThan(3);
    }

    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void callsThatMayHaveRunAreRetriedOnlyOnSafeRoutes(ErrorKind kind) {
        for (RepeatRule rule : RepeatRule.values()) {
            boolean granted = policy().mayRetry(failedAttempt(kind, rule, 100), RetryAllowance.of(1));
            if (!kind.provesNotRun() && rule != RepeatRule.SAFE) {
                assertThat(granted).isFalse();
            }
            if (kind == ErrorKind.OVERLOADED || kind == ErrorKind.DRAINING) {
                assertThat(granted).isTrue();
            }
            if (kind.name().startsWith("KEY_") || kind == ErrorKind.BAD_REQUEST || kind == ErrorKind.UNKNOWN_SERVICE) {
                assertThat(granted).isFalse();
            }
        }
    }

    /** Guards against a retry storm of many requests, each of which stays within its allowance. */
    @Test
    void budgetBoundsTheRetriesOfManyRequests() {
        ServiceRule rule = new ServiceRule(ServiceName.of("caisse"), 10, 10, 100, 10, 0);
        RetryPolicy policy = PolicyMode.PROTECTIVE.newRetryPolicy(rule, TestLimits.ONE_NODE, ManualClock.startingAt(0));
        RetryAllowance unused = RetryAllowance.of(3);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            policy.onFirstAttempt(Criticality.STANDARD);
            RetryAllowance allowance = RetryAllowance.of(3);
            while (policy.mayRetry(failedAttempt(ErrorKind.OVERLOADED, RepeatRule.SAFE, 100), allowance)) {
                retries++;
            }
        }
        assertThat(retries).isAtMost(100 + 10);
        assertThat(policy.mayRetry(failedAttempt(ErrorKind.OVERLOADED, RepeatRule.SAFE, 100), unused))
                .isFalse();
        assertThat(unused.remaining()).isEqualTo(3);
    }

    @Test
    void noCallIsRetriedAfterTheDeadline() {
        assertThat(policy().mayRetry(failedAttempt(ErrorKind.OVERLOADED, RepeatRule.SAFE, 0), RetryAllowance.of(1)))
                .isFalse();
    }

    private static RetryPolicy policy() {
        return PolicyMode.PROTECTIVE.newRetryPolicy(RULE, TestLimits.ONE_NODE, ManualClock.startingAt(0));
    }

    private static FailedAttempt failedAttempt(ErrorKind kind, RepeatRule rule, double timeLeftMs) {
        return failedAttempt(kind, rule, Criticality.CRITICAL, timeLeftMs);
    }

    private static FailedAttempt failedAttempt(
            ErrorKind kind, RepeatRule rule, Criticality criticality, double timeLeftMs) {
        return new FailedAttempt(Failure.of(kind, ""), rule, criticality, 1, timeLeftMs);
    }

    /** Guards against refused lookups that exhaust the retries which bookings need. */
    @Test
    void budgetReservesRetriesForCriticalCalls() {
        RetryPolicy policy = policy();
        RetryAllowance allowance = RetryAllowance.of(100);
        FailedAttempt lookup = failedAttempt(ErrorKind.OVERLOADED, RepeatRule.SAFE, Criticality.STANDARD, 100);
        FailedAttempt booking = failedAttempt(ErrorKind.OVERLOADED, RepeatRule.NEVER, Criticality.CRITICAL, 100);
        while (policy.mayRetry(lookup, allowance)) {
            assertThat(allowance.remaining()).isAtLeast(1);
        }

        assertThat(policy.mayRetry(lookup, allowance)).isFalse();
        assertThat(policy.mayRetry(booking, allowance)).isTrue();
    }

    /** Guards against calls to a killed host that fail because the retry budget is exhausted. */
    @Test
    void retriesAfterUnreachableHostsAreLimitedByTheAllowanceOnly() {
        RetryPolicy policy = policy();
        FailedAttempt unreachable = failedAttempt(ErrorKind.NO_INSTANCE, RepeatRule.NEVER, Criticality.SHEDDABLE, 100);
        for (int i = 0; i < 100; i++) {
            RetryAllowance allowance = RetryAllowance.of(1);
            assertThat(policy.mayRetry(unreachable, allowance)).isTrue();
            assertThat(policy.mayRetry(unreachable, allowance)).isFalse();
        }
    }

    /** Call chain in which each instance calls the next service twice and any response may be lost. */
    private static final class CallChain {
        private final PolicyMode mode;
        private final Random random;
        private final int failPercent;
        private int retries;
        private int lost;

        CallChain(PolicyMode mode, long seed, int failPercent) {
            this.mode = mode;
            this.random = new Random(seed);
            this.failPercent = failPercent;
        }

        boolean call(int depth, RetryAllowance allowance) {
            RetryPolicy policy = mode.newRetryPolicy(RULE, TestLimits.ONE_NODE, ManualClock.startingAt(0));
            for (int attempts = 1; ; attempts++) {
                if (attempt(depth, allowance)) {
                    return true;
                }
                FailedAttempt failedAttempt = new FailedAttempt(
                        Failure.of(ErrorKind.CONNECTION_LOST, ""),
                        RepeatRule.SAFE,
                        Criticality.CRITICAL,
                        attempts,
                        1_000);
                if (!policy.mayRetry(failedAttempt, allowance)) {
                    return false;
                }
                retries++;
            }
        }

        private boolean attempt(int depth, RetryAllowance allowance) {
            RetryAllowance share = RetryAllowance.of(allowance.takeShare());
            boolean successful = true;
            for (int i = 0; i < FAN_OUT && depth + 1 < DEPTH && successful; i++) {
                successful = call(depth + 1, share);
            }
            int rest = share.close();
            if (random.nextInt(100) < failPercent) {
                lost += rest;
                return false;
            }
            allowance.giveBack(rest);
            return successful;
        }
    }
}
