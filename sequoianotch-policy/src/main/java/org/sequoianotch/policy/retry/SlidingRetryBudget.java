package org.sequoianotch.policy.retry;

import java.util.Arrays;
import org.sequoianotch.time.Clock;

/**
 * Retry budget of a node for one service, which depends on the calls of the last window.
 *
 * <p>It answers rejections that come in bursts: a service that turns away a part of its calls for some seconds, after
 * and before a time without any. A token bucket with a small capacity forgets the calls of that time, and one with a
 * large capacity exceeds the limit of a window. This budget counts calls and retries of the window in slices, and
 * counts the oldest slice only for the retries, so that the limit holds for each window.
 *
 * <p>This class is not thread-safe.
 */
final class SlidingRetryBudget {
    private static final int SLICES = 20;

    private final int percent;
    private final SharedRetryLimit limit;
    private final Clock clock;
    private final double sliceMs;
    /** Ring of the slices of the window and the one before it. */
    private final int[] calls = new int[SLICES + 1];

    private final int[] retries = new int[SLICES + 1];
    private long newestSlice;
    private long callsInRing;
    private long retriesInRing;

    SlidingRetryBudget(int percent, SharedRetryLimit limit, Clock clock) {
        this.percent = percent;
        this.limit = limit;
        this.clock = clock;
        this.sliceMs = (double) limit.windowMs() / SLICES;
        this.newestSlice = currentSlice();
    }

    private long currentSlice() {
        return (long) Math.floor(clock.monotonicMs() / sliceMs);
    }

    private int advance() {
        long slice = currentSlice();
        if (slice - newestSlice > SLICES) {
            Arrays.fill(calls, 0);
            Arrays.fill(retries, 0);
            callsInRing = 0;
            retriesInRing = 0;
            newestSlice = slice;
        }
        while (newestSlice < slice) {
            newestSlice++;
            int index = index(newestSlice);
            callsInRing -= calls[index];
            retriesInRing -= retries[index];
            calls[index] = 0;
            retries[index] = 0;
        }
        return index(newestSlice);
    }

    private static int index(long slice) {
        return (int) Math.floorMod(slice, SLICES + 1L);
    }

    void onFirstAttempt() {
        calls[advance()]++;
        callsInRing++;
    }

    boolean hasRetry() {
        advance();
        long callsInWindow = callsInRing - calls[index(newestSlice + 1)];
        return retriesInRing + 1 <= limit.retriesOfNode(percent, callsInWindow);
    }

    void take() {
        retries[advance()]++;
        retriesInRing++;
    }
}
