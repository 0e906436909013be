package org.sequoianotch.daemon.explain;

import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.model.HostId;

/**
 * How a request ended, as its entry node reports it to other nodes.
 *
 * <p>This type is immutable.
 *
 * @param host the entry node's host; not null
 * @param status the HTTP status that was sent to the caller
 * @param errorKind the error kind, or null if the caller got a complete response
 * @param latencyMs time from the arrival of the request head to the end of the response, in milliseconds
 * @param attempts number of attempts that the entry node made; not negative
 * @param revision revision of the templates that were in force
 * @param rule label of the route rule; not null
 */
public record RequestEnd(
        HostId host,
        int status,
        @Nullable ErrorKind errorKind,
        double latencyMs,
        int attempts,
        long revision,
        String rule) {
    /** Checks that the host and the rule are not null. */
    public RequestEnd {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(rule, "rule");
    }

    static RequestEnd of(HostId host, RequestSummary summary) {
        return new RequestEnd(
                host,
                summary.status(),
                summary.errorKind(),
                summary.latencyMs(),
                summary.attempts(),
                summary.revision(),
                summary.rule().label());
    }

    /**
     * Returns the error kind.
     *
     * @return the kind, or empty if the caller got a complete response
     */
    public Optional<ErrorKind> error() {
        return Optional.ofNullable(errorKind);
    }
}
