package org.sequoianotch.route;

/**
 * Size and time limits for the requests of callers.
 *
 * <p>This type is immutable.
 *
 * @param maxHeadBytes largest head of a request (request line and header fields), in bytes; positive
 * @param maxBodyBytes largest body of a request, in bytes; not negative
 * @param headTimeoutMs longest time to receive the head of a request, in milliseconds; positive
 * @param idleTimeoutMs time after which a connection without a request is closed, in milliseconds; positive
 */
public record CallerLimits(int maxHeadBytes, long maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {
    /** Limits of a route table that specifies none. 64 MiB is the largest upload that callers send. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 67_108_864, 3_000, 15_000);

    /** Checks that the limits are in range. */
    public CallerLimits {
        if (maxHeadBytes < 1 || maxBodyBytes < 0 || headTimeoutMs < 1 || idleTimeoutMs < 1) {
            throw new IllegalArgumentException("maxHeadBytes " + maxHeadBytes + ", maxBodyBytes " + maxBodyBytes
                    + ", headTimeoutMs " + headTimeoutMs + " or idleTimeoutMs " + idleTimeoutMs
                    + " is out of range");
        }
    }
}
