package org.sequoianotch.daemon.call;

import org.sequoianotch.time.Clock;

/** Time left of one request. This class is thread-safe. */
final class RequestTimer {
    private final RequestContext context;
    private final Clock clock;

    RequestTimer(RequestContext context, Clock clock) {
        this.context = context;
        this.clock = clock;
    }

    /** Time for a blocking step, at least 1 ms, because a step with no time at all would fail without being tried. */
    long leftMs() {
        return Math.max(1, context.timeLeftMs(clock));
    }

    boolean isOver() {
        return context.timeLeftMs(clock) <= 0;
    }
}
