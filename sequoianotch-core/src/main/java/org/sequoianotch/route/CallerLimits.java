package org.sequoianotch.route;

/**
 * What callers may send, and how long they may take.
 *
 * <p>This type is immutable.
 *
 * @param maxHeadBytes largest head of a request, in bytes; positive
 * @param maxBodyBytes largest body of a request, in bytes; not negative
 * @param headTimeoutMs longest time for the head of a request, in milliseconds; positive
 * @param idleTimeoutMs longest time for which a connection is kept without a request, in milliseconds; positive
 */
public record CallerLimits(int maxHeadBytes, long maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {
    /** Limits of a table that names none; 64 MiB is the largest upload that callers send.  */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 67_108_864, 3_000, 15_000);

    /** Checks the components. */
    public CallerLimits {
        if (maxHeadBytes < 1 || maxBodyBytes < 0 || headTimeoutMs < 1 || idleTimeoutMs < 1) {
            throw new IllegalArgumentException("one of the limits " + maxHeadBytes + " bytes of head, " + maxBodyBytes
                    + " bytes of body, " + headTimeoutMs + " ms for a head and " + idleTimeoutMs
                    + " ms of idleness is out of range");
        }
    }
}
