package org.sequoianotch.daemon.call;

/**
 * Options of the connections between a node and the backend servers on its host.
 *
 * <p>This type is immutable.
 *
 * @param drainNoticeMs how long calls are still sent to an instance after it announced that it drains, in milliseconds,
 *     so that other nodes learn of it first; not negative
 * @param acceptsCloseDelimitedBody whether a response with neither a length nor chunked encoding is complete when its
 *     connection is closed in order
 */
public record BackendOptions(long drainNoticeMs, boolean acceptsCloseDelimitedBody) {
    /** A draining instance gets no further calls, and every response must be delimited by a length or by chunks. */
    public static final BackendOptions STRICT = new BackendOptions(0, false);

    /**
     * Checks the notice period.
     *
     * @throws IllegalArgumentException if the notice is negative
     */
    public BackendOptions {
        if (drainNoticeMs < 0) {
            throw new IllegalArgumentException("drainNoticeMs is " + drainNoticeMs + ", but must not be negative");
        }
    }
}
