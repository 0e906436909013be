package org.sequoianotch.daemon.call;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.protocol.HeaderField;
import org.sequoianotch.template.RouteRule;
import org.sequoianotch.template.ServiceRule;

/**
 * A call that a node forwards for a caller or for its backend server, with the rules in force for it.
 *
 * @param method the HTTP method; not null
 * @param path path and query after the service name; not null
 * @param headers the headers to forward; not null
 * @param bodyBytes length of the body, zero for none, or -1 if it is not known in advance
 * @param key text of the idempotency key, or null if there is none
 * @param route the route rule; not null
 * @param limits the limits of the service; not null
 * @param revision revision of the templates that the rules come from
 */
record OutboundCall(
        String method,
        String path,
        List<HeaderField> headers,
        long bodyBytes,
        @Nullable String key,
        RouteRule route,
        ServiceRule limits,
        long revision) {
    OutboundCall {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(limits, "limits");
        headers = List.copyOf(headers);
    }

    ServiceName service() {
        return route.service();
    }

    Optional<String> keyText() {
        return Optional.ofNullable(key);
    }

    /** Names the rule and its revision in event texts. */
    String ruleLabel() {
        return "rule \"" + route.label() + "\" of revision " + revision;
    }
}
