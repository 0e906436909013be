package org.sequoianotch.daemon.call;

import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;

/**
 * What a caller was told.
 *
 * @param status the HTTP status
 * @param errorKind the error kind, or null if a backend server answered in full
 * @param attempts attempts made for it on this node; not negative
 */
record RunResult(int status, @Nullable ErrorKind errorKind, int attempts) {}
