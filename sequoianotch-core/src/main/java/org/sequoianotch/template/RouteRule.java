package org.sequoianotch.template;

import java.util.Objects;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.ServiceName;

/**
 * Rule for the calls of one service that match a method and a path prefix.
 *
 * <p>This type is immutable.
 *
 * @param service the service; not null
 * @param method the HTTP method, or {@code *} for any; not null
 * @param pathPrefix prefix of the path after the service name, starting with a slash; not null
 * @param criticality criticality of the calls; not null
 * @param repeat whether a call may be sent again; not null
 * @param deadlineMs total time limit of a caller's request, in milliseconds; positive
 * @param retryAllowance largest number of retries of a caller's request over its whole call chain; not negative
 */
public record RouteRule(
        ServiceName service,
        String method,
        String pathPrefix,
        Criticality criticality,
        RepeatRule repeat,
        long deadlineMs,
        int retryAllowance) {
    /** Value of {@code method} that matches every method. */
    public static final String ANY_METHOD = "*";

    /** Checks the path prefix and the ranges of the deadline and the retry allowance. */
    public RouteRule {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(criticality, "criticality");
        Objects.requireNonNull(repeat, "repeat");
        if (!pathPrefix.startsWith("/")) {
            throw new IllegalArgumentException("pathPrefix \"" + pathPrefix + "\" must start with a slash");
        }
        if (deadlineMs <= 0 || retryAllowance < 0) {
            throw new IllegalArgumentException(
                    "deadlineMs " + deadlineMs + " or retryAllowance " + retryAllowance + " is out of range");
        }
    }

    /**
     * Tells whether the rule matches a call.
     *
     * @param callMethod the HTTP method; not null
     * @param path the path after the service name; not null
     * @return true if method and path match
     */
    public boolean matches(String callMethod, String path) {
        return (method.equals(ANY_METHOD) || method.equals(callMethod)) && path.startsWith(pathPrefix);
    }

    /**
     * Returns the name of the rule in explanations of requests.
     *
     * @return service, method and path prefix, never null
     */
    public String label() {
        return service + " " + method + " " + pathPrefix;
    }
}
