package org.sequoianotch.daemon.admin;

/** Errors of the admin listener, with their HTTP status codes and the error codes in the response body. */
enum AdminError {
    /** The request requires an operator key and carries none or an invalid one. */
    KEY_REQUIRED(401, "key_needed"),
    /** The request target or a parameter is malformed or missing. */
    BAD_REQUEST(400, "bad_question"),
    /** No resource exists at the path. */
    NOT_FOUND(404, "not_found"),
    /** The path does not support the request method. */
    METHOD_NOT_ALLOWED(405, "method_not_allowed"),
    /** The request body exceeds the maximum size. */
    TOO_LARGE(413, "too_large"),
    /** An unexpected exception was thrown while the request was handled. */
    INTERNAL(500, "internal");

    private final int status;
    private final String code;

    AdminError(int status, String code) {
        this.status = status;
        this.code = code;
    }

    int status() {
        return status;
    }

    String code() {
        return code;
    }
}
