package org.sequoianotch.proof.standin;

import java.util.Objects;

/**
 * A call that a stand-in backend server makes to another service for each request with a given path prefix.
 *
 * <p>This type is immutable.
 *
 * @param pathPrefix path prefix of the requests that trigger the call; not null
 * @param method the HTTP method of the call; not null
 * @param target service and path of the call, such as {@code /bellcat/bells}; not null
 * @param count number of such calls for each request, made one after the other; positive
 */
public record DownstreamCall(String pathPrefix, String method, String target, int count) {
    /** Checks that no text is null and that the count is positive. */
    public DownstreamCall {
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(target, "target");
        if (count < 1) {
            throw new IllegalArgumentException("count must be positive, but got " + count);
        }
    }

    /**
     * Parses a call such as {@code /bookings POST /bellcat/reservations} or {@code / GET /bellcat/bells 2}.
     *
     * @param text path prefix, method, target and optional count, separated by white space; not null
     * @return the call, never null
     * @throws IllegalArgumentException if the text does not have that form or the count is not a positive number
     */
    public static DownstreamCall parse(String text) {
        String[] words = text.trim().split("\\s+");
        if (words.length < 3 || words.length > 4) {
            throw new IllegalArgumentException(
                    "expected PREFIX METHOD /SERVICE/PATH [COUNT], but got \"" + text + "\"");
        }
        return new DownstreamCall(words[0], words[1], words[2], words.length == 4 ? Integer.parseInt(words[3]) : 1);
    }
}
