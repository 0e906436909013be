package org.sequoianotch.daemon.explain;

/**
 * Kind of an event in the timeline of a request.
 *
 * <p>The ordinal is the wire value, so new constants must be added at the end.
 */
public enum EventKind {
    /** An entry node received the request. */
    RECEIVED(false),
    /** The ledger granted the idempotency key to the request. */
    CLAIMED(false),
    /** The ledger returned the stored response to a repeated request, or refused the request. */
    KEY_ANSWERED(true),
    /** A node refused the request or the call. */
    REFUSED(true),
    /** A node sent the call to an instance. */
    SENT(false),
    /** The instance's node admitted the call to its backend server. */
    ADMITTED(false),
    /** A node sent the call again. */
    RETRIED(true),
    /** A backend server responded. */
    ANSWERED(false),
    /** An attempt failed. */
    FAILED(true),
    /** A node cancelled the call. */
    CANCELLED(true),
    /** Replaces events that were dropped from the middle of a long timeline. */
    LEFT_OUT(false);

    private final boolean notable;

    EventKind(boolean notable) {
        this.notable = notable;
    }

    /**
     * Returns whether a request with such an event is kept longer than an ordinary one.
     *
     * @return true if an operator is likely to query the request
     */
    public boolean isNotable() {
        return notable;
    }
}
