package org.sequoianotch.protocol;

import java.util.List;

/**
 * Head of an answer between nodes.
 *
 * <p>This type is immutable.
 *
 * @param status the HTTP status; from 200 to 599
 * @param headers the HTTP headers to pass on; not null
 * @param bodyBytes length of the body, or {@link CallHeader#LENGTH_UNKNOWN}
 */
public record AnswerHeader(int status, List<HeaderField> headers, long bodyBytes) {
    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;

    /** Checks the components and copies the headers. */
    public AnswerHeader {
        headers = List.copyOf(headers);
        if (status < MIN_STATUS || status > MAX_STATUS || bodyBytes < CallHeader.LENGTH_UNKNOWN) {
            throw new IllegalArgumentException("status " + status + " or bodyBytes " + bodyBytes + " is out of range");
        }
    }
}
