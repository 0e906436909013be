package org.sequoianotch.protocol;

import java.util.Objects;

/**
 * HTTP header field of a call or a response.
 *
 * <p>This type is immutable.
 *
 * @param name the field name; not null
 * @param value the field value; not null
 */
public record HeaderField(String name, String value) {
    /** Checks that no component is null. */
    public HeaderField {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(value, "value");
    }
}
