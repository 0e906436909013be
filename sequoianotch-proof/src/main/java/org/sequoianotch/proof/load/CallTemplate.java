package org.sequoianotch.proof.load;

import java.util.List;
import java.util.Objects;
import org.sequoianotch.protocol.HeaderField;

/**
 * One kind of call that a load generator sends.
 *
 * <p>This type is immutable, as long as nobody changes the body.
 *
 * @param name name of the class of calls in reports; not null
 * @param method the HTTP method; not null
 * @param path path and query; not null
 * @param body the request body; not null, may be empty
 * @param keyed whether each call gets an idempotency key of its own
 */
public record CallTemplate(String name, String method, String path, byte[] body, boolean keyed) {
    /** Checks the components. */
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
