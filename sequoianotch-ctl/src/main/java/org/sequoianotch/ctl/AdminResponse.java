package org.sequoianotch.ctl;

/**
 * HTTP response of a node's admin listener.
 *
 * @param status the HTTP status code
 * @param body the response body; not null
 */
record AdminResponse(int status, String body) {
    private static final int OK = 200;

    boolean isOk() {
        return status == OK;
    }
}
