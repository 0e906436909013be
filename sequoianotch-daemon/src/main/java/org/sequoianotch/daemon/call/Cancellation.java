package org.sequoianotch.daemon.call;

import java.util.Objects;
import org.sequoianotch.error.Failure;

/**
 * The end of a request or a call before its response.
 *
 * <p>This type is immutable.
 *
 * @param cause what ended it; not null
 * @param detail a sentence for the record; not null
 */
record Cancellation(CancelCause cause, String detail) {
    Cancellation {
        Objects.requireNonNull(cause, "cause");
        Objects.requireNonNull(detail, "detail");
    }

    /** Returns the cancellation of a request whose connection was closed by its caller, or by this node as it stops. */
    static Cancellation ofClosedConnection(boolean closedByNode) {
        return closedByNode
                ? new Cancellation(CancelCause.NODE_STOPPED, "The node was stopped and closed the connection.")
                : new Cancellation(CancelCause.CALLER_LEFT, "The caller closed its connection.");
    }

    /** Returns the cancellation of a sub-request of the cancelled call. */
    Cancellation ofSubRequest() {
        return new Cancellation(cause.ofSubRequest(), "The call that this request serves was ended: " + detail);
    }

    /** Returns the failure that is recorded, and reported if somebody waits for a response. */
    Failure failure() {
        return Failure.of(cause.errorKind(), detail);
    }
}
