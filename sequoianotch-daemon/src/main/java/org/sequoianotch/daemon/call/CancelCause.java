package org.sequoianotch.daemon.call;

import org.sequoianotch.error.ErrorKind;

/**
 * What ended a request or a call before its response. Only after {@link #CALLER_LEFT} is nobody left to respond to; in
 * all other cases the caller still waits and gets a response.
 */
enum CancelCause {
    /** The caller of this request closed its connection. */
    CALLER_LEFT(ErrorKind.CALLER_GONE) {
        @Override
        CancelCause ofSubRequest() {
            return CALL_ABOVE_ENDED;
        }
    },
    /** The call that this one serves has ended, or the node that sent it cancelled it or is lost. */
    CALL_ABOVE_ENDED(ErrorKind.CALL_CANCELLED),
    /** The time limit passed. */
    TIME_LIMIT_PASSED(ErrorKind.DEADLINE_IN_DOUBT),
    /** This node is being stopped. */
    NODE_STOPPED(ErrorKind.DEADLINE_IN_DOUBT);

    private final ErrorKind errorKind;

    CancelCause(ErrorKind errorKind) {
        this.errorKind = errorKind;
    }

    /** Returns the error kind that is recorded, and reported if somebody waits for a response. */
    ErrorKind errorKind() {
        return errorKind;
    }

    /** Returns the cause from which the sub-requests of the cancelled call end, whose own callers still wait. */
    CancelCause ofSubRequest() {
        return this;
    }

    /** Returns whether the work is no longer wanted, so that its end says nothing about the instance that did it. */
    boolean isWithdrawal() {
        return this == CALLER_LEFT || this == CALL_ABOVE_ENDED;
    }
}
