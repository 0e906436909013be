package org.sequoianotch.error;

/** Whether a request ran, as reported to its caller. */
public enum Outcome {
    /** A backend server ran the request and sent a complete response. */
    COMPLETED("completed"),
    /** It is certain that no backend server ran the request. */
    NOT_RUN("not-run"),
    /** The request may or may not have run. */
    UNKNOWN("unknown");

    private final String headerValue;

    Outcome(String headerValue) {
        this.headerValue = headerValue;
    }

    /**
     * Returns the value of the {@code Sequoianotch-Outcome} header.
     *
     * @return the header value, never null
     */
    public String headerValue() {
        return headerValue;
    }
}
