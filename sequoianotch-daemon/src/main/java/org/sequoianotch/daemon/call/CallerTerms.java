package org.sequoianotch.daemon.call;

import java.util.List;
import java.util.Objects;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.protocol.HeaderField;

/**
 * What a caller demands of a request that is routed by its authority and path.
 *
 * <p>This type is immutable.
 *
 * @param requestId identifies the request in logs and explanations; not null
 * @param authority host name that the caller gave; not null
 * @param timeLeftMs how long the caller waits, in milliseconds; not negative
 * @param headers headers for the backend server; not null
 */
public record CallerTerms(RequestId requestId, String authority, long timeLeftMs, List<HeaderField> headers) {
    /** Copies the headers. */
    public CallerTerms {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(authority, "authority");
        headers = List.copyOf(headers);
        if (timeLeftMs < 0) {
            throw new IllegalArgumentException("timeLeftMs is " + timeLeftMs + ", but must not be negative");
        }
    }
}
