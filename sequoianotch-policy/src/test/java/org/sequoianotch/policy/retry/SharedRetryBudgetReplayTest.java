package org.sequoianotch.policy.retry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.template.RepeatRule;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.ManualClock;

/**
 * Replays a service that turns away a part of its calls for some seconds, with many nodes that decide on their own.
 *
 * <p>Guards against retries of all nodes together that exceed the limit of a window, and against a budget that leaves
 * most of the limit unused while requests fail for want of a second attempt.
 */
final class SharedRetryBudgetReplayTest {
    private static final int PERCENT = 20;
    private static final int SLACK = 120;
    private static final long WINDOW_MS = 10_000;
    private static final double START_MS = 20_000;
    private static final double END_MS = 60_000;
    private static final double STEP_MS = 100;
    /** Half of the limit was left unused by a budget of half the percentage; the other part is a margin. */
    private static final double MIN_USED_PART = 0.75;

    private static final ServiceRule RULE =
            new ServiceRule(ServiceName.of("bellcat"), 100_000, 256, 300, PERCENT, 3_000);

    private final ManualClock clock = ManualClock.startingAt(0);
    private final List<Double> callsAtMs = new ArrayList<>();
    private final List<Double> retriesAtMs = new ArrayList<>();

    @ParameterizedTest
    @CsvSource({
        // nodes, calls per second of all nodes, share of critical calls, share rejected, seconds
        "93, 2000, 0, 0.55, 8.5",
        "93, 500, 0, 0.30, 5",
        "24, 400, 0, 0.55, 8",
        "24, 60, 0, 0.9, 20",
        "3, 1000, 0, 1.0, 2",
        "9, 2700, 0.25, 0.55, 8.5",
        "9, 600, 0.1, 0.40, 5",
        "24, 400, 1, 0.55, 8",
    })
    void retriesOfAllNodesUseTheLimitAndKeepIt(
            int nodes, double callsPerS, double criticalShare, double rejectedShare, double forS) {
        Random random = new Random(1);
        List<RedirectRetryPolicy> policies = new ArrayList<>();
        double[] weights = new double[nodes];
        double totalWeight = 0;
        for (int i = 0; i < nodes; i++) {
            policies.add(new RedirectRetryPolicy(RULE, new SharedRetryLimit(WINDOW_MS, SLACK, () -> nodes), clock));
            weights[i] = 0.2 + random.nextDouble();
            totalWeight += weights[i];
        }
        int rejected = 0;
        int criticalRejected = 0;
        int criticalRetried = 0;
        while (clock.monotonicMs() < END_MS) {
            double nowMs = clock.monotonicMs();
            RedirectRetryPolicy policy = policies.get(draw(weights, random.nextDouble() * totalWeight));
            Criticality criticality =
                    random.nextDouble() < criticalShare ? Criticality.CRITICAL : Criticality.SHEDDABLE;
            policy.onFirstAttempt(criticality);
            callsAtMs.add(nowMs);
            boolean troubled = nowMs >= START_MS && nowMs < START_MS + 1_000 * forS;
            if (troubled && random.nextDouble() < rejectedShare) {
                boolean retried = policy.mayRetry(rejection(criticality), RetryAllowance.of(1));
                rejected++;
                if (retried) {
                    retriesAtMs.add(nowMs);
                }
                if (criticality == Criticality.CRITICAL) {
                    criticalRejected++;
                    criticalRetried += retried ? 1 : 0;
                }
            }
            clock.advance(-Math.log(1 - random.nextDouble()) * 1_000 / callsPerS);
        }

        for (double fromMs = 0; fromMs < END_MS; fromMs += STEP_MS) {
            assertWithMessage("retries in the window from %s ms", fromMs)
                    .that(count(retriesAtMs, fromMs, WINDOW_MS))
                    .isAtMost(limit(fromMs));
        }
        double usable = Math.min(rejected, limit(START_MS) * Math.max(1, forS * 1_000 / WINDOW_MS));
        assertThat(retriesAtMs.size() / usable).isAtLeast(MIN_USED_PART);
        double criticalUsable = Math.min(criticalRejected, usable / 2);
        assertWithMessage("retries of critical calls, as part of those that half of the limit allows")
                .that(criticalRetried)
                .isAtLeast((int) (MIN_USED_PART * criticalUsable));
    }

    private static int draw(double[] weights, double point) {
        double left = point;
        for (int i = 0; i < weights.length - 1; i++) {
            left -= weights[i];
            if (left < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    private static FailedAttempt rejection(Criticality criticality) {
        Failure failure = Failure.of(ErrorKind.INSTANCE_REFUSED, "The instance rejected the call.");
        return new FailedAttempt(failure, RepeatRule.SAFE, criticality, 1, 500);
    }

    private double limit(double fromMs) {
        return PERCENT / 100.0 * count(callsAtMs, fromMs, WINDOW_MS) + SLACK;
    }

    private static double count(List<Double> timesMs, double fromMs, double lengthMs) {
        return timesMs.stream()
                .filter(atMs -> atMs >= fromMs && atMs < fromMs + lengthMs)
                .count();
    }
}
