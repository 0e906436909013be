package org.sequoianotch.daemon.ledger;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Digest of a request's method, path and body length. It distinguishes a repeat from another request with the same key.
 *
 * <p>It consists of the first 16 bytes of a SHA-256 digest. This type is immutable.
 *
 * @param high the first 8 bytes
 * @param low the last 8 bytes
 */
public record Fingerprint(long high, long low) {
    /**
     * Computes the fingerprint of a request.
     *
     * @param method the HTTP method; not null
     * @param path the path with the service and the query; not null
     * @param bodyBytes length of the body, or a negative number if it is unknown
     * @return the fingerprint, never null
     */
    public static Fingerprint of(String method, String path, long bodyBytes) {
        String text = method + "\n" + path + "\n" + Math.max(-1, bodyBytes);
        ByteBuffer digest = ByteBuffer.wrap(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
        return new Fingerprint(digest.getLong(), digest.getLong());
    }

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform provides SHA-256", e);
        }
    }
}
