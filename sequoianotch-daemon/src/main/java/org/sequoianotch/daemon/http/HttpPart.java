package org.sequoianotch.daemon.http;

import java.util.List;
import org.sequoianotch.protocol.HeaderField;

/** One part of an HTTP message as it is handed from the event loop to the thread that serves the connection. */
sealed interface HttpPart {
    /** Memory that the part occupies in a queue, in bytes. */
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
     * Head of a response. A negative {@code bodyBytes} stands for a body of unknown length; {@code endIsMarked} tells
     * whether length or chunks show where the body ends.
     */
    record ResponseHead(int status, List<HeaderField> headers, boolean keepAlive, long bodyBytes, boolean endIsMarked)
            implements HttpPart {}

    /** A part of a body. */
    record Data(byte[] bytes) implements HttpPart {
        @Override
        public int sizeBytes() {
            return bytes.length;
        }
    }

    /** The proper end of a message. */
    record End() implements HttpPart {}

    /** The peer sent something that is not valid HTTP. Nothing follows. */
    record Malformed(String reason) implements HttpPart {}

    /** The connection is closed. Nothing follows. */
    record Closed(String reason) implements HttpPart {}
}
