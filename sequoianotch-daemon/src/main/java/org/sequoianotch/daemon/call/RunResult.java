package org.sequoianotch.daemon.call;

import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;

/**
 * The result of a request as it was reported to the caller.
 *
 * @param status the HTTP status
 * @param errorKind the error kind, or null if a complete response of a backend server was sent
 * @param attempts number of attempts that this node made; not negative
 */
record RunResult(int status, @Nullable ErrorKind errorKind, int attempts) {}
