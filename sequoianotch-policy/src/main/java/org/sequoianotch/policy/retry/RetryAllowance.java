package org.sequoianotch.policy.retry;

/**
 * Retries that a request may still use below one call.
 *
 * <p>Allowance is only ever moved: taken for a retry, handed to a callee as a share, or given back. The sum over the
 * tree of calls therefore cannot pass the number that the request started with, without any shared state. This class is
 * thread-safe.
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
     * @param count the number of retries; not negative
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
     * Returns the retries that are left.
     *
     * @return the number; not negative
     */
    public synchronized int remaining() {
        return remaining;
    }

    /**
     * Takes one retry.
     *
     * @return true if there was one
     */
    public synchronized boolean takeForRetry() {
        if (remaining == 0) {
            return false;
        }
        remaining--;
        return true;
    }

    /**
     * Takes the share of a callee: half of what is left, rounded down.
     *
     * @return the share; not negative
     */
    public synchronized int takeShare() {
        int share = remaining / 2;
        remaining -= share;
        return share;
    }

    /**
     * Takes back what a callee did not use. After {@link #close} it is dropped, because the rest was already returned.
     *
     * @param count the number; not negative
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
     * Ends the allowance, so that the rest can be returned to the caller.
     *
     * @return the retries that were left; zero if the allowance was closed before
     */
    public synchronized int close() {
        int rest = remaining;
        remaining = 0;
        closed = true;
        return rest;
    }
}
