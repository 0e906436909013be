package org.sequoianotch.policy.admission;

import java.util.Comparator;

/**
 * One call in the queue of an instance. The sequence number is unique, so that both orders are total.
 *
 * @param request the call; not null
 * @param sequence number in the order of arrival
 * @param arrivedAtMs monotonic time of arrival in milliseconds
 * @param expiresAtMs monotonic time at which the call leaves the queue, in milliseconds
 * @param latestStartMs monotonic time until which it has to start to meet its target, in milliseconds
 * @param promise promise of the decision; not null
 */
record QueuedCall(
        AdmissionRequest request,
        long sequence,
        double arrivedAtMs,
        double expiresAtMs,
        double latestStartMs,
        AdmissionPromise promise) {
    /** Sorts by criticality, then by the work already spent, the most important first. */
    static final Comparator<QueuedCall> BY_CLASS = Comparator.<QueuedCall, Integer>comparing(
                    call -> call.request().criticality().ordinal())
            .thenComparing(call -> -call.request().depth());

    /** Sorts the most important call first: by criticality, then the work already spent, then the earliest deadline. */
    static final Comparator<QueuedCall> BY_IMPORTANCE =
            BY_CLASS.thenComparingDouble(call -> call.request().deadlineAtMs()).thenComparingLong(QueuedCall::sequence);

    /** Sorts the call that misses its target first to the front. */
    static final Comparator<QueuedCall> BY_LATEST_START =
            Comparator.comparingDouble(QueuedCall::latestStartMs).thenComparingLong(QueuedCall::sequence);

    /** Sorts the call that expires first to the front. */
    static final Comparator<QueuedCall> BY_EXPIRY =
            Comparator.comparingDouble(QueuedCall::expiresAtMs).thenComparingLong(QueuedCall::sequence);
}
