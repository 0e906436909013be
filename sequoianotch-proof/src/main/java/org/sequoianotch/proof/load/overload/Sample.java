package org.sequoianotch.proof.load.overload;

/**
 * One request of a client, over all its tries.
 *
 * <p>This type is immutable.
 *
 * @param loadClass class of the request; not null
 * @param scheduledAtMs scheduled start on the monotonic clock, in milliseconds
 * @param good whether a try was good
 * @param requestId request id of the good try; empty if there was none
 * @param latencyMs time from the scheduled start to the end of the last try, in milliseconds
 */
record Sample(LoadClass loadClass, double scheduledAtMs, boolean good, String requestId, double latencyMs) {}
