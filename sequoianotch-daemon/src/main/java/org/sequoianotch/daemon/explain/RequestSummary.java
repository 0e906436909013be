package org.sequoianotch.daemon.explain;

import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.template.RouteRule;

/**
 * How a request of a caller ended at its entry node.
 *
 * <p>This type is immutable.
 *
 * @param requestId the request; not null
 * @param rule the route rule that was in force; not null
 * @param revision revision of the templates that were in force
 * @param status the HTTP status that was sent to the caller
 * @param errorKind the error kind, or null if a backend server sent a complete response
 * @param latencyMs time from the arrival of the request head to the end of the response, in milliseconds
 * @param attempts number of attempts that the entry node made at instances; not negative
 */
public record RequestSummary(
        RequestId requestId,
        RouteRule rule,
        long revision,
        int status,
        @Nullable ErrorKind errorKind,
        double latencyMs,
        int attempts) {
    /** Checks that the request and the rule are not null. */
    public RequestSummary {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(rule, "rule");
    }

    /**
     * Returns the error kind.
     *
     * @return the kind, or empty if a backend server sent a complete response
     */
    public Optional<ErrorKind> error() {
        return Optional.ofNullable(errorKind);
    }
}
