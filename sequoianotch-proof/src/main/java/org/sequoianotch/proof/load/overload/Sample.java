package org.sequoianotch.proof.load.overload;

/**
 * One request of a client, over all its tries.
 *
 * <p>This type is immutable.
 *
 * @param loadClass class of the request; not null
 * @param scheduledAtMs scheduled start on the monotonic clock, in milliseconds
 * @param startDelayMs time by which the request started late, in milliseconds, which shows how busy the machine is
 * @param failure how the last try failed: an error kind, a status, or that no answer came; empty if the request is good
 * @param requestId request id of the good try; empty if there was none
 * @param latencyMs time from the scheduled start to the end of the last try, in milliseconds
 */
record Sample(
        LoadClass loadClass,
        double scheduledAtMs,
        double startDelayMs,
        String failure,
        String requestId,
        double latencyMs) {
    double endedAtMs() {
        return scheduledAtMs + latencyMs;
    }

    boolean good() {
        return failure.isEmpty();
    }
}
