package org.sequoianotch.policy.retry;

import org.sequoianotch.time.Clock;

/**
 * Count of the events in a sliding window, kept in slices of the window.
 *
 * <p>This class is not thread-safe.
 */
final class SlidingCount {
    private static final int SLICES = 20;

    private final Clock clock;
    private final double sliceMs;
    /** Ring of the slices of the window and the one before them, which the window covers in part. */
    private final int[] events = new int[SLICES + 1];

    private long newestSlice;
    private long total;

    SlidingCount(long windowMs, Clock clock) {
        this.clock = clock;
        this.sliceMs = (double) windowMs / SLICES;
        this.newestSlice = currentSlice();
    }

    private long currentSlice() {
        return (long) Math.floor(clock.monotonicMs() / sliceMs);
    }

    private void advance() {
        long slice = currentSlice();
        newestSlice = Math.max(newestSlice, slice - events.length);
        while (newestSlice < slice) {
            newestSlice++;
            int index = index(newestSlice);
            total -= events[index];
            events[index] = 0;
        }
    }

    private int index(long slice) {
        return (int) Math.floorMod(slice, (long) events.length);
    }

    void increment() {
        advance();
        events[index(newestSlice)]++;
        total++;
    }

    /** Returns the events of at most the window. */
    long withinWindow() {
        advance();
        return total - events[index(newestSlice + 1)];
    }

    /** Returns the events of at least the window. */
    long coveringWindow() {
        advance();
        return total;
    }
}
