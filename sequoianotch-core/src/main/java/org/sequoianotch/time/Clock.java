package org.sequoianotch.time;

/**
 * Source of time, in milliseconds.
 *
 * <p>Decision logic reads the time only through this type, so that tests can run it with a {@link ManualClock}.
 *
 * <p>Implementations are thread-safe.
 */
public interface Clock {
    /**
     * Returns the wall-clock time, which may jump when the clock of the host is adjusted.
     *
     * @return milliseconds since the Unix epoch
     */
    long nowMs();

    /**
     * Returns a monotonic time for measuring durations.
     *
     * @return milliseconds, with fractions, since an arbitrary origin
     */
    double monotonicMs();

    /**
     * Waits for the given time.
     *
     * @param durationMs time to wait, in milliseconds; zero or a negative value returns at once
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    void sleep(long durationMs) throws InterruptedException;
}
