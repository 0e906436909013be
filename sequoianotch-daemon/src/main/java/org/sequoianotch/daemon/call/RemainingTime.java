package org.sequoianotch.daemon.call;

import org.sequoianotch.time.Clock;

/** The time until the deadline of a request. This class is thread-safe. */
final class RemainingTime {
    private final RequestContext context;
    private final Clock clock;

    RemainingTime(RequestContext context, Clock clock) {
        this.context = context;
        this.clock = clock;
    }

    /** Timeout of a blocking step, at least 1 ms, because with a timeout of zero the step would fail without a try. */
    long remainingMs() {
        return Math.max(1, context.timeLeftMs(clock));
    }

    boolean isExpired() {
        return context.timeLeftMs(clock) <= 0;
    }
}
