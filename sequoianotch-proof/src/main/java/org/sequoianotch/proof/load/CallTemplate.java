package org.sequoianotch.proof.load;

import java.util.List;
import java.util.Objects;
import org.sequoianotch.protocol.HeaderField;

/**
 * Template of the calls that a load generator or a scenario step sends.
 *
 * <p>The body is not copied, so it must not be modified. Under this condition, this type is immutable.
 *
 * @param name name of the calls in reports; not null
 * @param method the HTTP method; not null
 * @param path path and query; not null
 * @param body the request body; not null, may be empty
 * @param keyed whether each call carries an idempotency key
 */
public record CallTemplate(String name, String method, String path, byte[] body, boolean keyed) {
    /** Checks that no component is null. */
    public CallTemplate {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(body, "body");
    }

    List<HeaderField> headers(String key) {
        return keyed ? List.of(new HeaderField("Idempotency-Key", key)) : List.of();
    }
}
