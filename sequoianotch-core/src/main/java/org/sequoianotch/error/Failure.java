package org.sequoianotch.error;

import java.util.Objects;

/**
 * A failure, given by its error kind and the details of the case.
 *
 * <p>Methods that can fail return it as the left value of an {@code Either}. This type is immutable.
 *
 * @param kind the error kind; not null
 * @param detail what happened in this case, one or more plain sentences; not null, may be empty
 * @param retryAfterMs time to wait before a retry, in milliseconds; not negative, zero if waiting does not help
 */
public record Failure(ErrorKind kind, String detail, long retryAfterMs) {
    /** Checks that the retry delay is not negative. */
    public Failure {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(detail, "detail");
        if (retryAfterMs < 0) {
            throw new IllegalArgumentException("retryAfterMs is " + retryAfterMs + ", but must not be negative");
        }
    }

    /**
     * Creates a failure with the retry delay of its kind.
     *
     * @param kind the error kind; not null
     * @param detail what happened in this case; not null
     * @return the failure, never null
     */
    public static Failure of(ErrorKind kind, String detail) {
        return new Failure(kind, detail, kind.retryAfterMs());
    }

    /**
     * Returns a copy with a different retry delay.
     *
     * @param newRetryAfterMs time to wait before a retry, in milliseconds; not negative
     * @return the copy, never null
     */
    public Failure withRetryAfterMs(long newRetryAfterMs) {
        return new Failure(kind, detail, newRetryAfterMs);
    }

    /**
     * Tells whether this failure proves that the request did not run.
     *
     * @return true if no backend server ran the request
     */
    public boolean provesNotRun() {
        return kind.provesNotRun();
    }
}
