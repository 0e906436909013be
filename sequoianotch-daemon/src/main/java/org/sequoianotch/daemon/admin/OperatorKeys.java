package org.sequoianotch.daemon.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoianotch.settings.ValueKind;

/**
 * Keys that authenticate operators.
 *
 * <p>Keys are stored and compared as digests, in constant time: {@link MessageDigest#isEqual} takes the same time
 * wherever two digests of equal length differ, and the comparison never stops at the first match.
 *
 * <p>This type is immutable.
 */
public final class OperatorKeys {
    private static final String SCHEME = "Bearer ";

    private final Map<String, byte[]> digestsByName;

    private OperatorKeys(Map<String, byte[]> digestsByName) {
        this.digestsByName = digestsByName;
    }

    /**
     * Parses the keys of a setting.
     *
     * @param text name=key pairs separated by commas; not null, may be empty
     * @return the keys, or empty if a pair has no name or no key, or a name occurs twice
     */
    public static Optional<OperatorKeys> parse(String text) {
        Map<String, byte[]> digests = new LinkedHashMap<>();
        for (String item : ValueKind.items(text)) {
            int equals = item.indexOf('=');
            if (equals <= 0 || equals == item.length() - 1) {
                return Optional.empty();
            }
            String name = item.substring(0, equals).trim();
            String key = item.substring(equals + 1).trim();
            if (name.isEmpty() || key.isEmpty() || digests.put(name, digest(key)) != null) {
                return Optional.empty();
            }
        }
        return Optional.of(new OperatorKeys(digests));
    }

    /**
     * Returns whether no key is configured.
     *
     * @return true if there is no key, so that no operator can authenticate
     */
    public boolean isEmpty() {
        return digestsByName.isEmpty();
    }

    /**
     * Authenticates the sender of an {@code Authorization} header.
     *
     * @param header value of the header; not null
     * @return the operator's name, or empty if the header does not carry a valid key
     */
    public Optional<String> authenticate(String header) {
        if (!header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        byte[] given = digest(header.substring(SCHEME.length()).trim());
        Optional<String> found = Optional.empty();
        for (Map.Entry<String, byte[]> entry : digestsByName.entrySet()) {
            if (MessageDigest.isEqual(entry.getValue(), given)) {
                found = Optional.of(entry.getKey());
            }
        }
        return found;
    }

    private static byte[] digest(String key) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform must support SHA-256", e);
        }
    }
}
