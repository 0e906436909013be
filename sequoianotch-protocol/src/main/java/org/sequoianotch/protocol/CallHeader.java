package org.sequoianotch.protocol;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.InstanceNotice;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;

/**
 * Head of a call between nodes: the HTTP request line and header fields, and the context of the request.
 *
 * <p>This type is immutable.
 *
 * @param requestId the caller's request that the call belongs to; not null
 * @param service the called service; not null
 * @param method the HTTP method; not null
 * @param path the path after the service name, with its query; not null; starts with a slash
 * @param headers the HTTP header fields to forward; not null
 * @param timeLeftMs time until the deadline, in milliseconds; positive
 * @param targetLeftMs time until which a response has its full value for the caller, in milliseconds; zero or negative
 *     if it has passed, {@link #NO_TARGET} if there is none
 * @param criticality priority of the request when load is shed; not null
 * @param retryShare number of retries that the callee may use; not negative
 * @param depth number of calls above this one in the call chain; zero for the call of the entry node
 * @param idempotencyKey the idempotency key, or null if there is none
 * @param bodyBytes length of the body in bytes, or {@link #LENGTH_UNKNOWN}
 * @param repeated whether the call has reached an instance before, or is made by a run that was repeated itself
 * @param notice what the sending node remembers of the called instance, or null if that is nothing
 */
public record CallHeader(
        RequestId requestId,
        ServiceName service,
        String method,
        String path,
        List<HeaderField> headers,
        long timeLeftMs,
        long targetLeftMs,
        Criticality criticality,
        int retryShare,
        int depth,
        @Nullable String idempotencyKey,
        long bodyBytes,
        boolean repeated,
        @Nullable InstanceNotice notice) {
    /** Value of {@code bodyBytes} for a body whose length is not known in advance. */
    public static final long LENGTH_UNKNOWN = -1;

    /** Value of {@code targetLeftMs} for a request whose response has the same value until the deadline. */
    public static final long NO_TARGET = Long.MAX_VALUE;

    /**
     * Checks the components and copies the headers.
     *
     * @throws IllegalArgumentException if the path does not start with a slash or a number is out of range
     */
    public CallHeader {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(criticality, "criticality");
        headers = List.copyOf(headers);
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException("path \"" + path + "\" must start with a slash");
        }
        if (timeLeftMs <= 0 || retryShare < 0 || depth < 0 || bodyBytes < LENGTH_UNKNOWN) {
            throw new IllegalArgumentException("timeLeftMs " + timeLeftMs + ", retryShare " + retryShare + ", depth "
                    + depth + " or bodyBytes " + bodyBytes + " is out of range");
        }
    }

    /**
     * Creates the head of a call that is not repeated, to an instance of which nothing is remembered.
     *
     * @param requestId the caller's request that the call belongs to; not null
     * @param service the called service; not null
     * @param method the HTTP method; not null
     * @param path the path after the service name, with its query; not null; starts with a slash
     * @param headers the HTTP header fields to forward; not null
     * @param timeLeftMs time until the deadline, in milliseconds; positive
     * @param targetLeftMs time until which a response has its full value, in milliseconds, or {@link #NO_TARGET}
     * @param criticality priority of the request when load is shed; not null
     * @param retryShare number of retries that the callee may use; not negative
     * @param depth number of calls above this one in the call chain; not negative
     * @param idempotencyKey the idempotency key, or null if there is none
     * @param bodyBytes length of the body in bytes, or {@link #LENGTH_UNKNOWN}
     */
    public CallHeader(
            RequestId requestId,
            ServiceName service,
            String method,
            String path,
            List<HeaderField> headers,
            long timeLeftMs,
            long targetLeftMs,
            Criticality criticality,
            int retryShare,
            int depth,
            @Nullable String idempotencyKey,
            long bodyBytes) {
        this(
                requestId,
                service,
                method,
                path,
                headers,
                timeLeftMs,
                targetLeftMs,
                criticality,
                retryShare,
                depth,
                idempotencyKey,
                bodyBytes,
                false,
                null);
    }

    /**
     * Returns the idempotency key.
     *
     * @return the key, or empty if there is none
     */
    public Optional<String> key() {
        return Optional.ofNullable(idempotencyKey);
    }
}
