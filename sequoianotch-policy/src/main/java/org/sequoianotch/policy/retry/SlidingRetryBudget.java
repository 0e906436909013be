package org.sequoianotch.policy.retry;

import org.sequoianotch.model.Criticality;
import org.sequoianotch.time.Clock;

/**
 * Retry budget of a node for one service, which depends on the calls of the last window.
 *
 * <p>It answers rejections that come in bursts: a service that turns away a part of its calls for some seconds, after
 * and before a time without any. A token bucket with a small capacity forgets the calls of that time, and one with a
 * large capacity exceeds the limit of a window. This budget counts calls and retries of the window in slices, and
 * counts the oldest slice only for the retries, so that the limit holds for each window.
 *
 * <p>A part is reserved for critical calls in proportion to their number. Lookups are mostly more numerous than
 * bookings, and would otherwise use the whole budget within the first seconds of a trouble.
 *
 * <p>This class is not thread-safe.
 */
final class SlidingRetryBudget {
    /** Retries reserved for a critical call of the window; all of them need one only if the service is down. */
    private static final double RESERVED_FOR_CRITICAL_CALL = 0.3;

    /** Leaves a part to other calls, so that none of them starves. */
    private static final double MAX_RESERVED_PART = 0.6;

    private final int percent;
    private final SharedRetryLimit limit;
    private final SlidingCount calls;
    private final SlidingCount criticalCalls;
    private final SlidingCount retries;
    private final SlidingCount criticalRetries;

    SlidingRetryBudget(int percent, SharedRetryLimit limit, Clock clock) {
        this.percent = percent;
        this.limit = limit;
        this.calls = new SlidingCount(limit.windowMs(), clock);
        this.criticalCalls = new SlidingCount(limit.windowMs(), clock);
        this.retries = new SlidingCount(limit.windowMs(), clock);
        this.criticalRetries = new SlidingCount(limit.windowMs(), clock);
    }

    void onFirstAttempt(Criticality criticality) {
        calls.increment();
        if (criticality == Criticality.CRITICAL) {
            criticalCalls.increment();
        }
    }

    boolean hasRetry(Criticality criticality) {
        double allowed = limit.retriesOfNode(percent, calls.withinWindow());
        long used = retries.coveringWindow();
        if (criticality != Criticality.CRITICAL) {
            double reserved =
                    Math.min(MAX_RESERVED_PART * allowed, RESERVED_FOR_CRITICAL_CALL * criticalCalls.coveringWindow());
            used += (long) Math.ceil(Math.max(0, reserved - criticalRetries.coveringWindow()));
        }
        return used + 1 <= allowed;
    }

    void take(Criticality criticality) {
        retries.increment();
        if (criticality == Criticality.CRITICAL) {
            criticalRetries.increment();
        }
    }
}
