package org.sequoianotch.daemon.explain;

/**
 * Kind of an event in the timeline of a request. The ordinal is the wire value, so constants are only ever added at the
 * end.
 */
public enum EventKind {
    /** An entry node received the request. */
    RECEIVED(false),
    /** The ledger granted the idempotency key to the request. */
    CLAIMED(false),
    /** The ledger answered a repeated request, or refused it. */
    KEY_ANSWERED(true),
    /** A node refused the request or the call. */
    REFUSED(true),
    /** A node sent the call to an instance. */
    SENT(false),
    /** The instance's node admitted the call to its backend server. */
    ADMITTED(false),
    /** A node sent the call once more. */
    RETRIED(true),
    /** A backend server answered. */
    ANSWERED(false),
    /** An attempt failed. */
    FAILED(true),
    /** A node cancelled the call. */
    CANCELLED(true),
    /** Stands for events in the middle of a long timeline that are not kept. */
    LEFT_OUT(false);

    private final boolean notable;

    EventKind(boolean notable) {
        this.notable = notable;
    }

    /**
     * Tells whether a request with such an event is kept longer than an ordinary one.
     *
     * @return true if an operator is likely to ask about it
     */
    public boolean isNotable() {
        return notable;
    }
}
