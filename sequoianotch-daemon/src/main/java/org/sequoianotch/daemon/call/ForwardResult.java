package org.sequoianotch.daemon.call;

import io.vavr.control.Either;
import org.sequoianotch.error.Failure;

/**
 * The result of a call after all its attempts.
 *
 * @param response the response, or the failure to report; not null
 * @param attempts number of attempts; not negative
 */
record ForwardResult(Either<Failure, IncomingResponse> response, int attempts) {}
