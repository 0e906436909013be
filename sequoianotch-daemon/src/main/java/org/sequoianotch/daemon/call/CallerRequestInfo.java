package org.sequoianotch.daemon.call;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.protocol.HeaderField;

/**
 * The values that are read from the head of a request that is routed by its authority and path.
 *
 * <p>This type is immutable.
 *
 * @param requestId identifies the request in logs and explanations; not null
 * @param parentId the request that the calling instance was serving, or null if the request does not name one
 * @param authority host name that the request addresses; not null
 * @param timeLeftMs time until the deadline of the caller, in milliseconds; not negative
 * @param headers headers to forward to the backend server; not null
 */
public record CallerRequestInfo(
        RequestId requestId,
        @Nullable RequestId parentId,
        String authority,
        long timeLeftMs,
        List<HeaderField> headers) {
    /**
     * Checks the time left and copies the headers.
     *
     * @throws IllegalArgumentException if the time left is negative
     */
    public CallerRequestInfo {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(authority, "authority");
        headers = List.copyOf(headers);
        if (timeLeftMs < 0) {
            throw new IllegalArgumentException("timeLeftMs is " + timeLeftMs + ", but must not be negative");
        }
    }

    /**
     * Returns the request that the calling instance was serving when it sent this one.
     *
     * @return the parent request, or empty if the request does not name one
     */
    public Optional<RequestId> parent() {
        return Optional.ofNullable(parentId);
    }
}
