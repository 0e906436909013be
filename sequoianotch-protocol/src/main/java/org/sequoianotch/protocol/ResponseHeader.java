package org.sequoianotch.protocol;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.InstanceNotice;

/**
 * Head of a response between nodes: the HTTP status and header fields.
 *
 * <p>This type is immutable.
 *
 * @param status the HTTP status; 200 to 599
 * @param headers the HTTP header fields to forward; not null
 * @param bodyBytes length of the body in bytes, or {@link CallHeader#LENGTH_UNKNOWN}
 * @param notice what the instance has said about itself, or null if that is nothing
 */
public record ResponseHeader(int status, List<HeaderField> headers, long bodyBytes, @Nullable InstanceNotice notice) {
    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;

    /**
     * Checks the components and copies the headers.
     *
     * @throws IllegalArgumentException if the status or the length is out of range
     */
    public ResponseHeader {
        headers = List.copyOf(headers);
        if (status < MIN_STATUS || status > MAX_STATUS || bodyBytes < CallHeader.LENGTH_UNKNOWN) {
            throw new IllegalArgumentException(
                    "status " + status + " is not from 200 to 599, or bodyBytes " + bodyBytes + " is less than -1");
        }
    }

    /**
     * Creates the head of a response of an instance that has said nothing about itself.
     *
     * @param status the HTTP status; 200 to 599
     * @param headers the HTTP header fields to forward; not null
     * @param bodyBytes length of the body in bytes, or {@link CallHeader#LENGTH_UNKNOWN}
     */
    public ResponseHeader(int status, List<HeaderField> headers, long bodyBytes) {
        this(status, headers, bodyBytes, null);
    }
}
