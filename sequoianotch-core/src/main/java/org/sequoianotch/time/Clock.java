package org.sequoianotch.time;

/**
 * Source of time, in milliseconds.
 *
 * <p>Decision code reads the time only through this type, so that tests can run it under a {@link ManualClock}.
 * Implementations are thread-safe.
 */
public interface Clock {
    /**
     * Returns the wall-clock time. It may jump when the host's clock is set.
     *
     * @return milliseconds since the Unix epoch
     */
    long nowMs();

    /**
     * Returns a time that never goes back, for measuring durations.
     *
     * @return milliseconds, with fractions, since an arbitrary origin
     */
    double monotonicMs();

    /**
     * Waits for the given time.
     *
     * @param durationMs how long to wait, in milliseconds; zero and less return at once
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    void sleep(long durationMs) throws InterruptedException;
}
