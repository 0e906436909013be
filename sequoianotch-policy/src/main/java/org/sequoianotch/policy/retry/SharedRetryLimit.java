package org.sequoianotch.policy.retry;

import java.util.Objects;
import java.util.function.IntSupplier;

/**
 * Limit on the retries that all nodes of a deployment together may send to one service.
 *
 * <p>In each window the instances of a service may receive a percentage of its calls, plus a constant, as retries. Each
 * node keeps the percentage for its own calls and an equal part of the constant, so that all of them keep the limit
 * without knowing the calls of each other.
 *
 * <p>This type is immutable, except for the number of nodes, which is looked up.
 *
 * @param windowMs length of the window in milliseconds; positive
 * @param slack retries allowed in each window beside the percentage; not negative
 * @param nodes returns the number of nodes that share the limit; not null
 */
public record SharedRetryLimit(long windowMs, int slack, IntSupplier nodes) {
    /**
     * Part of the limit that the nodes use. A retried call may have run, and the calls that its backend server makes
     * for it again are retries to the services below, which no node can tell from other calls.
     */
    private static final double USED_PART = 0.8;

    private static final double PERCENT = 100.0;

    /**
     * Checks the figures.
     *
     * @throws IllegalArgumentException if a figure is out of range
     */
    public SharedRetryLimit {
        Objects.requireNonNull(nodes, "nodes");
        if (windowMs <= 0) {
            throw new IllegalArgumentException("windowMs is " + windowMs + ", but must be positive");
        }
        if (slack < 0) {
            throw new IllegalArgumentException("slack is " + slack + ", but must not be negative");
        }
    }

    /**
     * Returns the retries that one node may send to a service in a window.
     *
     * @param percent retries allowed to all nodes for 100 calls of the service; not negative
     * @param calls calls of the node in the window; not negative
     * @return the number of retries, with a fraction
     */
    double retriesOfNode(int percent, long calls) {
        return USED_PART * (percent / PERCENT * calls + (double) slack / Math.max(1, nodes.getAsInt()));
    }
}
