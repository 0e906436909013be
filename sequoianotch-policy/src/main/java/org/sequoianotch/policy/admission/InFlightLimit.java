package org.sequoianotch.policy.admission;

/** How many calls may be in flight at an instance. Guarded by the admission that owns it. */
interface InFlightLimit {
    /** Returns the limit in force, at least 1. */
    int current();

    /** Takes in how a call ended. */
    void onEnd(double nowMs, CallResult result, double latencyMs, int inFlight);

    /** Returns a limit that never changes, for instances that announce how many calls they run at once. */
    static InFlightLimit fixed(int calls) {
        return new InFlightLimit() {
            @Override
            public int current() {
                return calls;
            }

            @Override
            public void onEnd(double nowMs, CallResult result, double latencyMs, int inFlight) {
                // The announced slots hold whatever the calls show.
            }
        };
    }
}
