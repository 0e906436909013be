package org.sequoianotch.daemon.admin;

import java.util.Locale;

/** Errors of the admin listener, with the HTTP status of each. */
enum AdminError {
    /** No key was sent where one is needed, or a wrong one. */
    KEY_NEEDED(401),
    /** The question itself is malformed. */
    BAD_QUESTION(400),
    /** There is nothing at this path. */
    NOT_FOUND(404),
    /** The path does not have this method. */
    METHOD_NOT_ALLOWED(405),
    /** The body is too large. */
    TOO_LARGE(413),
    /** A defect of this program. */
    INTERNAL(500);

    private final int status;

    AdminError(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }

    String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
