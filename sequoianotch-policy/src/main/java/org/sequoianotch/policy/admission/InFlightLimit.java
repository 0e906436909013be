package org.sequoianotch.policy.admission;

/**
 * Limit on the calls in flight at an instance.
 *
 * <p>Implementations are not thread-safe; the admission that owns the limit guards it.
 */
interface InFlightLimit {
    /** Returns the current limit, at least 1. */
    int current();

    /** Records the result of a completed call and the number of calls in flight, itself included. */
    void onEnd(double nowMs, CallResult result, double latencyMs, int inFlight);

    /** Returns a constant limit, for instances that announce how many calls they run concurrently. */
    static InFlightLimit fixed(int calls) {
        return new InFlightLimit() {
            @Override
            public int current() {
                return calls;
            }

            @Override
            public void onEnd(double nowMs, CallResult result, double latencyMs, int inFlight) {
                // The announced number of slots is exact, so results do not change it.
            }
        };
    }
}
