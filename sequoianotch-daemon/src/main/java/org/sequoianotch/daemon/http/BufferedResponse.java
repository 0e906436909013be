package org.sequoianotch.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.sequoianotch.protocol.HeaderField;

/**
 * A response whose body is held in memory.
 *
 * <p>This type is immutable, provided that the body array is not modified.
 *
 * @param status the HTTP status
 * @param headers the headers without Content-Length and Transfer-Encoding; not null
 * @param body the body; not null
 */
public record BufferedResponse(int status, List<HeaderField> headers, byte[] body) {
    /** Copies the headers. */
    public BufferedResponse {
        headers = List.copyOf(headers);
    }

    /**
     * Creates a text response.
     *
     * @param status the HTTP status
     * @param contentType the media type; not null
     * @param text the body; not null
     * @return the response, never null
     */
    public static BufferedResponse ofText(int status, String contentType, String text) {
        return new BufferedResponse(
                status, List.of(new HeaderField("Content-Type", contentType)), text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Creates a plain text response of one line.
     *
     * @param status the HTTP status
     * @param line the line without its line terminator; not null
     * @return the response, never null
     */
    public static BufferedResponse ofLine(int status, String line) {
        return ofText(status, "text/plain; charset=utf-8", line + "\n");
    }

    /**
     * Returns a copy with an additional header.
     *
     * @param name the field name; not null
     * @param value the field value; not null
     * @return the copy, never null
     */
    public BufferedResponse plusHeader(String name, String value) {
        List<HeaderField> extended = new ArrayList<>(headers);
        extended.add(new HeaderField(name, value));
        return new BufferedResponse(status, extended, body);
    }
}
