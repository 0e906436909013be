package org.sequoianotch.policy.retry;

/**
 * Number of retries that a request may still use in one call and its sub-calls.
 *
 * <p>Retries are only transferred: taken for a retry, passed to a callee as a share, or returned by it. The total over
 * the call tree therefore never exceeds the number that the request started with, and no shared state is needed. This
 * class is thread-safe.
 */
public final class RetryAllowance {
    private int remaining;
    private boolean closed;

    private RetryAllowance(int remaining) {
        this.remaining = remaining;
    }

    /**
     * Creates an allowance.
     *
     * @param count number of retries; not negative
     * @return the allowance, never null
     * @throws IllegalArgumentException if the count is negative
     */
    public static RetryAllowance of(int count) {
        if (count < 0) {
            throw new IllegalArgumentException("count is " + count + ", but must not be negative");
        }
        return new RetryAllowance(count);
    }

    /**
     * Returns the number of remaining retries.
     *
     * @return the number; not negative
     */
    public synchronized int remaining() {
        return remaining;
    }

    /**
     * Takes one retry.
     *
     * @return true if one was left
     */
    public synchronized boolean takeForRetry() {
        if (remaining == 0) {
            return false;
        }
        remaining--;
        return true;
    }

    /**
     * Takes the share of a callee: half of the remaining retries, rounded down.
     *
     * @return the share; not negative
     */
    public synchronized int takeShare() {
        int share = remaining / 2;
        remaining -= share;
        return share;
    }

    /**
     * Adds the retries that a callee did not use. After {@link #close} they are discarded, because the remaining
     * retries were already returned to the caller.
     *
     * @param count number of unused retries; not negative
     * @throws IllegalArgumentException if the count is negative
     */
    public synchronized void giveBack(int count) {
        if (count < 0) {
            throw new IllegalArgumentException("count is " + count + ", but must not be negative");
        }
        if (!closed) {
            remaining += count;
        }
    }

    /**
     * Closes the allowance, so that the remaining retries can be returned to the caller.
     *
     * @return the number of remaining retries; zero if the allowance was already closed
     */
    public synchronized int close() {
        int rest = remaining;
        remaining = 0;
        closed = true;
        return rest;
    }
}
