package org.sequoianotch.daemon.explain;

import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.template.RouteRule;

/**
 * How a request from outside ended at its entry node.
 *
 * <p>This type is immutable.
 *
 * @param requestId the request; not null
 * @param rule the route rule in force; not null
 * @param revision the revision of the templates in force
 * @param status the HTTP status that the caller was sent
 * @param errorKind the error kind, or null if a backend server answered in full
 * @param latencyMs time from the arrival of the head to the end of the answer, in milliseconds
 * @param attempts attempts that the entry node made at instances; not negative
 */
public record RequestSummary(
        RequestId requestId,
        RouteRule rule,
        long revision,
        int status,
        @Nullable ErrorKind errorKind,
        double latencyMs,
        int attempts) {
    /** Checks the components. */
    public RequestSummary {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(rule, "rule");
    }

    /**
     * Returns the error kind.
     *
     * @return the kind, or empty if a backend server answered in full
     */
    public Optional<ErrorKind> error() {
        return Optional.ofNullable(errorKind);
    }
}
