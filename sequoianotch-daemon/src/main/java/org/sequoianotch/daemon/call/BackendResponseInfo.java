package org.sequoianotch.daemon.call;

import org.jspecify.annotations.Nullable;

/**
 * Information about the connection and the execution of the call in the head of a backend server's response.
 *
 * <p>This type is immutable.
 *
 * @param belongsToCall false if it responds to an earlier request on the same connection
 * @param namesCall true if it names the call, which a response to an earlier request cannot do
 * @param notExecuted true if the backend server states that it did not execute the request
 * @param invalid true if the backend server cannot have produced the head, so that the response must not be forwarded
 * @param statement what the instance says about itself, or null if the response may come from another instance
 * @param maxIdleMs how long the connection may stay idle, in milliseconds; zero if the response does not say
 */
public record BackendResponseInfo(
        boolean belongsToCall,
        boolean namesCall,
        boolean notExecuted,
        boolean invalid,
        @Nullable InstanceStatement statement,
        long maxIdleMs) {
    /** An ordinary response to the call, without further statements. */
    public static final BackendResponseInfo PLAIN =
            new BackendResponseInfo(true, false, false, false, InstanceStatement.NONE, 0);
}
