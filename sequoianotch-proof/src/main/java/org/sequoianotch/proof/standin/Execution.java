package org.sequoianotch.proof.standin;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Record of one request that reached a stand-in backend server.
 *
 * <p>This type is immutable.
 *
 * @param requestId the trace id of the request; not null, empty if the request had none
 * @param key the idempotency key, or null if the request had none
 * @param method the HTTP method; not null
 * @param path path and query of the request; not null
 * @param bodyBytes number of bytes of the request body that were received; not negative
 * @param startedAtMs start time on the monotonic clock, in milliseconds
 * @param slotHeldMs time for which the request held a slot, without the wait for the slot and downstream calls, in
 *     milliseconds; not negative
 * @param result how the execution ended; not null
 */
public record Execution(
        String requestId,
        @Nullable String key,
        String method,
        String path,
        long bodyBytes,
        double startedAtMs,
        double slotHeldMs,
        Result result) {
    /** How an execution ended. */
    public enum Result {
        /** Still running. */
        RUNNING,
        /** The stand-in sent its response. A response truncated by an injected fault counts as well. */
        COMPLETED,
        /** The node closed the connection before the response was complete. */
        CANCELLED,
        /** The stand-in responded with an error status. */
        FAILED
    }

    /** Checks that no component except the key is null. */
    public Execution {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(result, "result");
    }
}
