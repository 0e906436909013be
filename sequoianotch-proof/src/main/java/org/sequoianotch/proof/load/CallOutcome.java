package org.sequoianotch.proof.load;

import java.util.Objects;

/**
 * Result of one HTTP call as its caller sees it.
 *
 * <p>This type is immutable.
 *
 * @param status the HTTP status; 0 if no complete response arrived
 * @param outcome value of the {@code Sequoianotch-Outcome} header; not null, may be empty
 * @param requestId value of the {@code Sequoianotch-Request-Id} header; not null, may be empty
 * @param body the beginning of the response body as text; not null, may be empty
 * @param latencyMs time from the scheduled start to the end of the response or of the wait for it, in milliseconds
 */
public record CallOutcome(int status, String outcome, String requestId, String body, double latencyMs) {
    private static final int OK = 200;
    private static final int MULTIPLE_CHOICES = 300;

    /** Checks that no component is null. */
    public CallOutcome {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Tells whether the call succeeded.
     *
     * @return true for a complete response with a status from 200 to 299
     */
    public boolean isGood() {
        return status >= OK && status < MULTIPLE_CHOICES;
    }
}
