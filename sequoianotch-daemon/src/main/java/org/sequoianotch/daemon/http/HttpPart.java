package org.sequoianotch.daemon.http;

import java.util.List;
import org.sequoianotch.protocol.HeaderField;

/**
 * A part of an HTTP message, passed from the event loop to the thread that serves the connection.
 *
 * <p>Implementations are immutable.
 */
sealed interface HttpPart {
    /** Returns the size that is counted against the limit of the queue, in bytes. */
    default int sizeBytes() {
        return 1;
    }

    /** Head of a request. A negative {@code bodyBytes} stands for a body of unknown length. */
    record RequestHead(
            String method,
            String uri,
            List<HeaderField> headers,
            boolean keepAlive,
            boolean expectsContinue,
            boolean hasBody,
            long bodyBytes)
            implements HttpPart {}

    /**
     * Head of a response. A negative {@code bodyBytes} stands for a body of unknown length. {@code isDelimited} is true
     * if Content-Length, chunked encoding or the status shows where the body ends. {@code receivedAtMs} is the time at
     * which the head arrived, on the monotonic clock.
     */
    record ResponseHead(
            int status,
            List<HeaderField> headers,
            boolean keepAlive,
            long bodyBytes,
            boolean isDelimited,
            double receivedAtMs)
            implements HttpPart {}

    /** A part of a body. */
    record Data(byte[] bytes) implements HttpPart {
        @Override
        public int sizeBytes() {
            return bytes.length;
        }
    }

    /** The end of a complete message. */
    record End() implements HttpPart {}

    /** The peer sent invalid HTTP. No part follows. */
    record Malformed(String reason) implements HttpPart {}

    /** The connection is closed. No part follows. */
    record Closed(String reason) implements HttpPart {}
}
