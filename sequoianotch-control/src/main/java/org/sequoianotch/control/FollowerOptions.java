package org.sequoianotch.control;

import java.util.List;

/**
 * Options of a {@link ConfigurationFollower}.
 *
 * <p>This type is immutable.
 *
 * @param controlAddresses addresses of the control hosts' peer listeners, in order of preference; not null
 * @param pollWaitMs how long a control host holds a poll until there is a higher revision, in milliseconds; positive
 * @param responseTimeoutMs maximum wait for a response beyond the hold time, in milliseconds; positive
 * @param retryMs delay after a round in which no control host was in contact with the group, in milliseconds; positive
 * @param startupNeighbours number of neighbours polled at startup; not negative
 */
public record FollowerOptions(
        List<String> controlAddresses, long pollWaitMs, long responseTimeoutMs, long retryMs, int startupNeighbours) {
    private static final long DEFAULT_POLL_WAIT_MS = 5_000;
    private static final long DEFAULT_RESPONSE_TIMEOUT_MS = 1_000;
    private static final long DEFAULT_RETRY_MS = 500;
    private static final int DEFAULT_STARTUP_NEIGHBOURS = 5;

    /** Checks the components and copies the addresses. */
    public FollowerOptions {
        controlAddresses = List.copyOf(controlAddresses);
        if (pollWaitMs <= 0 || responseTimeoutMs <= 0 || retryMs <= 0 || startupNeighbours < 0) {
            throw new IllegalArgumentException("pollWaitMs " + pollWaitMs + ", responseTimeoutMs " + responseTimeoutMs
                    + " and retryMs " + retryMs + " must be positive, and startupNeighbours " + startupNeighbours
                    + " must not be negative");
        }
    }

    /**
     * Creates options with the default limits.
     *
     * @param controlAddresses addresses of the control hosts' peer listeners, in order of preference; not null
     * @return the options, never null
     */
    public static FollowerOptions of(List<String> controlAddresses) {
        return new FollowerOptions(
                controlAddresses,
                DEFAULT_POLL_WAIT_MS,
                DEFAULT_RESPONSE_TIMEOUT_MS,
                DEFAULT_RETRY_MS,
                DEFAULT_STARTUP_NEIGHBOURS);
    }
}
