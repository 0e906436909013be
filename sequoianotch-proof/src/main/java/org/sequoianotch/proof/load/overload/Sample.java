package org.sequoianotch.proof.load.overload;

/**
 * Measured result of one client request over all its attempts.
 *
 * <p>This type is immutable.
 *
 * @param loadClass class of the request; not null
 * @param scheduledAtMs scheduled start on the monotonic clock, in milliseconds
 * @param startDelayMs delay of the actual start after the scheduled start, in milliseconds; large values show that the
 *     machine is overloaded
 * @param failure how the last attempt failed: an error kind, a status, or that no response arrived; not null, empty if
 *     the request succeeded
 * @param requestId request id of the successful attempt; not null, empty if there was none
 * @param latencyMs time from the scheduled start to the end of the last attempt, in milliseconds
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

    boolean isGood() {
        return failure.isEmpty();
    }
}
