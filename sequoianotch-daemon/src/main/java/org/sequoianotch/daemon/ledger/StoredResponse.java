package org.sequoianotch.daemon.ledger;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.protocol.HeaderField;

/**
 * Response of a backend server to a keyed request, stored for repeats of the request.
 *
 * <p>Of a response whose headers and body exceed {@link #MAX_BYTES}, only the status is stored and {@code tooLarge} is
 * set. This type is immutable; it copies the body in and out.
 *
 * @param status the HTTP status; from 100 to 599
 * @param headers the HTTP headers; not null, empty if the response was too large
 * @param body the whole body; not null, empty if the response was too large
 * @param tooLarge whether the response was too large to store
 */
public record StoredResponse(int status, List<HeaderField> headers, byte[] body, boolean tooLarge) {
    /** Largest size of headers and body that is stored, in bytes. */
    public static final int MAX_BYTES = 65_536;

    // Bytes that the encoding of one header field needs beyond its name and value.
    private static final int HEADER_OVERHEAD_BYTES = 6;

    /**
     * Checks and copies the components.
     *
     * @throws IllegalArgumentException if the status or the size of headers and body is out of range
     */
    public StoredResponse {
        headers = List.copyOf(headers);
        body = body.clone();
        if (status < 100 || status > 599 || sizeBytes(headers, body) > MAX_BYTES) {
            throw new IllegalArgumentException("Expected a status from 100 to 599 and at most " + MAX_BYTES
                    + " bytes of headers and body, but got status " + status + " and " + sizeBytes(headers, body)
                    + " bytes");
        }
    }

    /**
     * Creates the stored form of a response.
     *
     * @param status the HTTP status; from 100 to 599
     * @param headers the HTTP headers; not null
     * @param body the whole body; not null
     * @return the stored response, without headers and body if they exceed {@link #MAX_BYTES}; never null
     */
    public static StoredResponse of(int status, List<HeaderField> headers, byte[] body) {
        return sizeBytes(headers, body) > MAX_BYTES
                ? tooLarge(status)
                : new StoredResponse(status, headers, body, false);
    }

    /**
     * Creates the stored form of a response that was too large to store.
     *
     * @param status the HTTP status; from 100 to 599
     * @return the stored response without headers and body, never null
     */
    public static StoredResponse tooLarge(int status) {
        return new StoredResponse(status, List.of(), new byte[0], true);
    }

    @Override
    public byte[] body() {
        return body.clone();
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof StoredResponse response
                && status == response.status
                && tooLarge == response.tooLarge
                && headers.equals(response.headers)
                && Arrays.equals(body, response.body);
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, headers, Arrays.hashCode(body), tooLarge);
    }

    /** Returns the size of headers and body, in bytes. */
    int sizeBytes() {
        return sizeBytes(headers, body);
    }

    private static int sizeBytes(List<HeaderField> headers, byte[] body) {
        long size = body.length;
        for (HeaderField header : headers) {
            size += HEADER_OVERHEAD_BYTES
                    + header.name().getBytes(StandardCharsets.UTF_8).length
                    + header.value().getBytes(StandardCharsets.UTF_8).length;
        }
        return (int) Math.min(Integer.MAX_VALUE, size);
    }
}
