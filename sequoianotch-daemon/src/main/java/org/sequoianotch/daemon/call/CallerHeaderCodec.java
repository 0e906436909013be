package org.sequoianotch.daemon.call;

import io.vavr.control.Either;
import org.sequoianotch.daemon.http.BufferedResponse;
import org.sequoianotch.daemon.http.HttpExchange;
import org.sequoianotch.error.Failure;

/**
 * Reads the headers of requests from callers and writes refusals in the form that callers expect.
 *
 * <p>Implementations are thread-safe.
 */
public interface CallerHeaderCodec {
    /**
     * Reads the head of a request.
     *
     * @param exchange the request; not null
     * @return the values of the head, or the failure with which the request is refused; never null
     */
    Either<Failure, CallerRequestInfo> readRequest(HttpExchange exchange);

    /**
     * Returns the response that reports a failure to the caller.
     *
     * @param failure the failure; not null
     * @return the response, never null
     */
    BufferedResponse refusal(Failure failure);
}
